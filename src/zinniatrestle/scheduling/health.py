"""Detection of faulty workers by their runs, as they may answer holds normally."""

from zinniatrestle.ids import BootSeconds, JobId
from zinniatrestle.scheduling.state import Task, TaskStatus, Worker, WorkerHealth

# The quarantine after a first failure; it doubles with each further one in a row.
FIRST_QUARANTINE_SECONDS = 4.0
MAX_QUARANTINE_SECONDS = 60.0
# More doublings than these reach the maximum anyway, and their power overflows a float.
MAX_DOUBLINGS = 10
# Share of a service's workers that may be in quarantine at the same time. If more of
# them fail, the cause is more likely the tasks.
MAX_QUARANTINED_SHARE = 0.3
# A success within this time makes a single failure on the same worker count against the
# task rather than the worker.
TRUST_SECONDS = 5.0
# Failures of different jobs within this time, without a success in between, count
# against the worker although each job has failed elsewhere as well.
FAILURE_MEMORY_SECONDS = 30.0
# A run that fails sooner has done no work, which is rarely the fault of its task.
EARLY_FAILURE_SECONDS = 0.3
# If a task, or a gang, fails on more workers than this, it is taken to be faulty.
MAX_BLAMED_WORKERS = 1
# A run that is expected to be short has stalled if its reports show no progress for
# this time.
STALL_SECONDS = 1.0
# Share of its expected run time for which a longer run may report no progress. Progress
# is reported in whole percent, and a slow worker far from the data has a twentieth of
# the usual speed.
STALL_SHARE = 0.2


class HealthMonitor:
    """Quarantine faulty workers and restore them after a canary run succeeds."""

    def __init__(self):
        self.blamed_jobs: set[JobId] = set()

    def record_failure(self, worker: Worker, task: Task, now: BootSeconds) -> bool:
        """Record a failed run and return whether to quarantine the worker."""
        job = task.step.job.id
        task.avoided_workers |= {worker.id}
        task.failed_workers |= {worker.id}
        others = []
        for failed_job, failed_at in list(worker.failed_jobs.items()):
            if now - failed_at > FAILURE_MEMORY_SECONDS:
                del worker.failed_jobs[failed_job]
            elif failed_job != job:
                others.append(failed_job)
        worker.failed_jobs[job] = now
        if len(task.step.failed_workers(task)) > MAX_BLAMED_WORKERS:
            self.blamed_jobs.add(job)
            # Without a success in between, other jobs have failed here as well.
            return bool(others)
        if worker.health is WorkerHealth.CANARY:
            return True
        if task.start_time_known and now - task.started_at < EARLY_FAILURE_SECONDS:
            return True
        if now - worker.last_success_at > TRUST_SECONDS:
            return True
        recent_failures = 0
        for failed_at in worker.failed_jobs.values():
            recent_failures += now - failed_at <= TRUST_SECONDS
        return recent_failures > 1

    def record_success(self, worker: Worker, now: BootSeconds) -> bool:
        """Record a successful run and return whether it restores the worker."""
        worker.last_success_at = now
        worker.failed_jobs.clear()
        if worker.health is WorkerHealth.SOUND:
            return False
        worker.health = WorkerHealth.SOUND
        worker.quarantines = 0
        return True

    def quarantine(
        self, worker: Worker, workers: list[Worker], now: BootSeconds
    ) -> bool:
        """Quarantine a worker and return whether its quarantine is new.

        Do nothing if too many workers of its service are in quarantine.
        """
        if worker.health is WorkerHealth.QUARANTINED:
            return False
        peers = [peer for peer in workers if peer.entry.service == worker.entry.service]
        quarantined = sum(peer.health is WorkerHealth.QUARANTINED for peer in peers)
        if quarantined + 1 > MAX_QUARANTINED_SHARE * len(peers):
            return False
        seconds = min(
            FIRST_QUARANTINE_SECONDS * 2 ** min(worker.quarantines, MAX_DOUBLINGS),
            MAX_QUARANTINE_SECONDS,
        )
        worker.quarantines += 1
        worker.quarantined_until = BootSeconds(now + seconds)
        worker.health = WorkerHealth.QUARANTINED
        return True

    def start_canary_if_due(self, worker: Worker, now: BootSeconds):
        """Allow a canary run on a worker whose quarantine is over."""
        if worker.health is not WorkerHealth.QUARANTINED:
            return
        if now >= worker.quarantined_until:
            worker.health = WorkerHealth.CANARY

    def is_stalled(self, task: Task, expected: float) -> bool:
        """Return whether a run, expected to take `expected` seconds, has stalled."""
        if task.percent >= 100 or task.is_slowed or task.step.shape.best_effort:
            return False
        if task.step.shape.gang and not all_running(task.step.tasks):
            # The gang waits for members whose start is not confirmed yet.
            return False
        limit = max(STALL_SECONDS, STALL_SHARE * expected)
        return task.reported_at - task.percent_changed_at > limit

    def may_be_at_fault(self, worker: Worker, task: Task) -> bool:
        """Return whether a stalled run may have stalled because of its worker.

        All members of a gang stall together. A worker on which another step has made
        progress since is not at fault.
        """
        for other in worker.tasks.values():
            if other.step is task.step or other.status is not TaskStatus.RUNNING:
                continue
            if other.percent_changed_at > task.percent_changed_at:
                return False
        return worker.last_success_at <= task.percent_changed_at


def all_running(tasks: list[Task]) -> bool:
    """Return whether every task is confirmed to run."""
    return all(task.status is TaskStatus.RUNNING for task in tasks)
