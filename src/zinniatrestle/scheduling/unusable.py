"""Log which workers stay unusable although they answer, and why."""

from collections.abc import Iterable
from enum import Enum

from zinniatrestle.events import Event, EventLog
from zinniatrestle.ids import BootSeconds, WorkerId
from zinniatrestle.scheduling.state import Worker
from zinniatrestle.workers.messages import WorkerState

# Time in seconds for which a worker is unusable before it is logged. A new worker
# confirms the generation, and a stopped run is gone, within about two holds.
LOGGED_UNUSABLE_SECONDS = 3.0
# Time in seconds without a report after which a worker that is not silent has no
# working session: two missed holds would have marked it as silent.
NO_REPORT_SECONDS = 4.0
# Limit on the runs that a line names.
MAX_NAMED_RUNS = 5


class UnusableReason(Enum):
    """Condition because of which a worker that answers gets no tasks."""

    NOT_CONFIRMED = "not_confirmed"
    CORDONED = "cordoned"
    EXPIRY_RECORDED = "expiry_recorded"
    ENTRY_MISSING = "entry_missing"
    NOT_READY = "not_ready"
    UNKNOWN_RUNS = "unknown_runs"
    # It counts as usable, but its session has stopped.
    NO_REPORT = "no_report"


def unusable_reason(worker: Worker, now: BootSeconds) -> UnusableReason | None:
    """Return why a worker gets no tasks, or None if it does or can't be reached."""
    if worker.silent or worker.has_ended:
        return None
    if not worker.generation_confirmed:
        return UnusableReason.NOT_CONFIRMED
    if now - worker.reported_at > NO_REPORT_SECONDS:
        return UnusableReason.NO_REPORT
    if worker.cordoned:
        return UnusableReason.CORDONED
    if worker.expiry_recorded:
        return UnusableReason.EXPIRY_RECORDED
    if worker.missing_since is not None:
        return UnusableReason.ENTRY_MISSING
    if worker.entry.state is not WorkerState.READY:
        return UnusableReason.NOT_READY
    if worker.unknown_runs:
        return UnusableReason.UNKNOWN_RUNS
    return None


class UnusableWorkers:
    """Log each worker once when it stays unusable for one reason."""

    def __init__(self, events: EventLog):
        self.events = events
        self.since: dict[tuple[WorkerId, UnusableReason], BootSeconds] = {}
        self.logged: set[tuple[WorkerId, UnusableReason]] = set()

    def check(self, workers: Iterable[Worker], now: BootSeconds):
        """Note which workers are unusable now, and log those that have stayed so."""
        since: dict[tuple[WorkerId, UnusableReason], BootSeconds] = {}
        for worker in workers:
            reason = unusable_reason(worker, now)
            if reason is None:
                continue
            key = (worker.id, reason)
            since[key] = self.since.get(key, now)
            if key in self.logged or now - since[key] < LOGGED_UNUSABLE_SECONDS:
                continue
            self.logged.add(key)
            self.events.write(
                Event.WORKER_UNUSABLE,
                worker=worker.id,
                reason=reason.value,
                since=round(now - since[key], 2),
                state=worker.entry.state.value,
                unknown_runs=sorted(worker.unknown_runs)[:MAX_NAMED_RUNS],
                tasks=len(worker.tasks),
                reported=round(now - worker.reported_at, 2),
            )
        self.since = since
        self.logged &= since.keys()
