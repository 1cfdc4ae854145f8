"""Quarantine workers on which the tasks of several jobs fail."""

from enum import Enum

from zinniatrestle.ids import JobId, WorkerId

FAILED_JOBS_BEFORE_QUARANTINE = 3
INITIAL_QUARANTINE_SECONDS = 60.0
MAX_QUARANTINE_SECONDS = 3600.0


class WorkerHealthState(Enum):
    """Health of a worker, which decides whether it may take tasks."""

    GOOD = "good"
    QUARANTINED = "quarantined"
    CANARY = "canary"


class WorkerHealth:
    """Health record of one worker.

    The quarantine doubles each time, up to a maximum, until a task succeeds.
    """

    def __init__(self):
        self.state = WorkerHealthState.GOOD
        self.failed_jobs: set[JobId] = set()
        self.quarantines = 0
        self.quarantined_until = 0.0

    def record_failure(self, job: JobId, now: float):
        """Record a failed task.

        Several jobs must fail before a quarantine, because failures of a single job may
        be the job's own fault. At a canary one failure is enough.
        """
        self.failed_jobs.add(job)
        threshold_reached = len(self.failed_jobs) >= FAILED_JOBS_BEFORE_QUARANTINE
        if not threshold_reached and self.state is not WorkerHealthState.CANARY:
            return
        seconds = INITIAL_QUARANTINE_SECONDS * 2**self.quarantines
        self.quarantined_until = now + min(seconds, MAX_QUARANTINE_SECONDS)
        self.quarantines += 1
        self.state = WorkerHealthState.QUARANTINED

    def record_success(self):
        """Record a task that finished."""
        self.failed_jobs.clear()
        self.quarantines = 0
        self.state = WorkerHealthState.GOOD

    def update_state(self, now: float):
        """Admit a canary gang once the quarantine is over."""
        if (
            self.state is WorkerHealthState.QUARANTINED
            and now >= self.quarantined_until
        ):
            self.state = WorkerHealthState.CANARY


class WorkerHealthTracker:
    """Health records of the workers of a failure domain."""

    def __init__(self):
        self.workers: dict[WorkerId, WorkerHealth] = {}

    def health_of(self, worker: WorkerId) -> WorkerHealth:
        """Return the health record of a worker."""
        return self.workers.setdefault(worker, WorkerHealth())

    def usable(self, worker: WorkerId, busy: bool, now: float) -> bool:
        """Return whether a worker may take a gang.

        After a quarantine it may run a single canary gang, so only if it is not `busy`.
        """
        health = self.workers.get(worker)
        if health is None:
            return True
        health.update_state(now)
        if health.state is WorkerHealthState.QUARANTINED:
            return False
        return health.state is WorkerHealthState.GOOD or not busy
