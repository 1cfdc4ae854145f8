"""The lease's record, by which the scheduling host informs all others."""

import msgspec

from zinniatrestle.ids import (
    ClientAccountId,
    Generation,
    HostId,
    InstanceId,
    QueueName,
    StoreMilliseconds,
    WorkerId,
)
from zinniatrestle.scheduling.pending_counts import PendingCounts
from zinniatrestle.workers.messages import WorkerEntry


class RunTimeStatistics(msgspec.Struct, frozen=True, array_like=True):
    """Run times of one queue: their number, their mean in seconds and mean errors.

    The errors are those of the callers' estimates and of the running mean.
    """

    count: int
    seconds: float
    estimate_error: float
    mean_error: float


class WorkerHealthRecord(msgspec.Struct, frozen=True, array_like=True):
    """Health of one instance of a worker that is quarantined, a canary or slow.

    Its quarantine lasts for another `quarantine_seconds` and is the last of
    `quarantines` in a row. `speed` is set if the worker is slow.
    """

    instance: InstanceId
    quarantine_seconds: float
    quarantines: int
    speed: float | None


class ReliabilityRecord(msgspec.Struct, frozen=True, array_like=True):
    """Decayed weights of the evidence about a worker (see `reliability.Evidence`)."""

    successes: float = 0.0
    failures: float = 0.0
    stalls: float = 0.0
    unanswered: float = 0.0
    refusals: float = 0.0
    joins: float = 0.0
    silences: float = 0.0
    returns: float = 0.0


class LeavingWorker(msgspec.Struct, frozen=True):
    """The entry of a worker that drains, and a time in ms that it was written after."""

    entry: WorkerEntry
    # The stored name is that of records which other versions read.
    written_after: StoreMilliseconds = msgspec.field(name="seen_at")


class ArrivalShapeRecord(msgspec.Struct, frozen=True, array_like=True):
    """Urgent tasks with `gpus` accelerators: their share of the steps, mean values.

    `cpu` is in thousandths of a core, `tasks` is per step.
    """

    gpus: int
    share: float
    cpu: int
    memory_mb: int
    tasks: float


class ArrivalRecord(msgspec.Struct, frozen=True, array_like=True):
    """Arrivals of urgent jobs of one account and queue.

    `interval` and `squared_interval` are means over the `intervals` between jobs, in
    seconds; `silent_seconds` have passed since the last job.
    """

    account: ClientAccountId
    queue: QueueName
    intervals: int
    steps: int
    interval: float
    squared_interval: float
    silent_seconds: float
    shapes: tuple[ArrivalShapeRecord, ...] = ()


class Handover(msgspec.Struct, frozen=True):
    """What a leader has learned and leaves to its successor.

    `lease_expiries` has, for instances of workers that don't answer, the store's time
    after which no lease there is valid. `leaving` has the draining workers with tasks,
    `reliability` those with the most evidence against them.
    `headroom_pressure` and `headroom_active` are the state of `Headroom`.
    """

    times: dict[QueueName, RunTimeStatistics] = {}
    health_records: dict[WorkerId, WorkerHealthRecord] = msgspec.field(
        name="doubts", default_factory=dict
    )
    lease_expiries: dict[WorkerId, dict[InstanceId, StoreMilliseconds]] = {}
    leaving: dict[WorkerId, LeavingWorker] = {}
    reliability: dict[WorkerId, ReliabilityRecord] = {}
    arrivals: tuple[ArrivalRecord, ...] = ()
    headroom_pressure: float = 0.0
    headroom_active: bool = False


class LeaseRecord(msgspec.Struct, frozen=True):
    """The scheduling lease: its holder, its expiry and what the holder publishes.

    `until`, `written_at` and `counted_at` are in ms of the store's clock, `pending` is
    the number of waiting jobs of each queue at `counted_at`. That is 0 if no host has
    counted them, and missing in records of former versions.
    """

    holder: HostId
    address: str
    until: float
    generation: Generation
    written_at: float
    pending: dict[QueueName, int] = {}
    handover: Handover = msgspec.field(name="learned", default=Handover())
    counted_at: float | None = None
    full_accounts: tuple[ClientAccountId, ...] = ()

    @property
    def counts(self) -> PendingCounts | None:
        """Return the published counts of waiting jobs, or None if there are none."""
        if self.counted_at is None:
            return PendingCounts(self.pending, self.written_at)
        if not self.counted_at:
            return None
        return PendingCounts(self.pending, self.counted_at, self.full_accounts)
