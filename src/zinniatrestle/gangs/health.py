"""Keep gangs off workers that fail everything they start."""

from enum import Enum

from zinniatrestle.ids import JobId, WorkerId

JOBS_BEFORE_QUARANTINE = 3
FIRST_QUARANTINE_SECONDS = 60.0
LONGEST_QUARANTINE_SECONDS = 3600.0


class WorkerHealthState(Enum):
    """Whether a worker may take tasks."""

    GOOD = "good"
    QUARANTINED = "quarantined"
    CANARY = "canary"


class WorkerHealth:
    """Judge one worker by the tasks that failed there."""

    def __init__(self):
        self.state = WorkerHealthState.GOOD
        self.failed_jobs: set[JobId] = set()
        self.quarantines = 0
        self.until = 0.0

    def record_failure(self, job: JobId, now: float):
        """Note a failed task; failures of one job alone may be the job's fault."""
        self.failed_jobs.add(job)
        enough = len(self.failed_jobs) >= JOBS_BEFORE_QUARANTINE
        if not enough and self.state is not WorkerHealthState.CANARY:
            return
        seconds = FIRST_QUARANTINE_SECONDS * 2**self.quarantines
        self.until = now + min(seconds, LONGEST_QUARANTINE_SECONDS)
        self.quarantines += 1
        self.state = WorkerHealthState.QUARANTINED

    def record_success(self):
        """Note a finished task."""
        self.failed_jobs.clear()
        self.quarantines = 0
        self.state = WorkerHealthState.GOOD

    def update_state(self, now: float):
        """Let a canary in once the quarantine is over."""
        if self.state is WorkerHealthState.QUARANTINED and now >= self.until:
            self.state = WorkerHealthState.CANARY


class WorkerHealthTracker:
    """Judge the workers of a failure domain."""

    def __init__(self):
        self.workers: dict[WorkerId, WorkerHealth] = {}

    def health_of(self, worker: WorkerId) -> WorkerHealth:
        """Return one worker's health."""
        return self.workers.setdefault(worker, WorkerHealth())

    def usable(self, worker: WorkerId, busy: bool, now: float) -> bool:
        """Tell whether a worker may take a gang; a canary runs alone."""
        health = self.workers.get(worker)
        if health is None:
            return True
        health.update_state(now)
        if health.state is WorkerHealthState.QUARANTINED:
            return False
        return health.state is WorkerHealthState.GOOD or not busy
