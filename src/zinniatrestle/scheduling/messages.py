"""What a scheduling host leaves for all others to read."""

import msgspec

from zinniatrestle.ids import Generation, HostId, InstanceId, QueueName, WorkerId


class RunTimeStatistics(msgspec.Struct, frozen=True, array_like=True):
    """Run times of one queue: how many, their mean (s), and the mean errors."""

    count: int
    seconds: float
    estimate_error: float
    mean_error: float


class WorkerHealthRecord(msgspec.Struct, frozen=True, array_like=True):
    """What speaks against one life of a worker.

    It is left alone for `quarantine_seconds` more, after `quarantines` in a row;
    `speed` is told of one that crawls.
    """

    instance: InstanceId
    quarantine_seconds: float
    quarantines: int
    speed: float | None


class Handover(msgspec.Struct, frozen=True):
    """What a successor is spared to find out."""

    times: dict[QueueName, RunTimeStatistics] = {}
    health_records: dict[WorkerId, WorkerHealthRecord] = msgspec.field(
        name="doubts", default_factory=dict
    )


class LeaseRecord(msgspec.Struct, frozen=True):
    """Who schedules, until when by the store's clock, what waits and what is known."""

    holder: HostId
    address: str
    until: float
    generation: Generation
    written_at: float
    pending: dict[QueueName, int] = {}
    handover: Handover = msgspec.field(name="learned", default=Handover())
