"""Judge workers by what runs there, since sick ones answer well."""

from zinniatrestle.ids import BootSeconds, JobId
from zinniatrestle.scheduling.state import Task, TaskStatus, Worker, WorkerHealth

# s; how long a worker is left alone after it failed, doubled each time it fails anew.
QUARANTINE_SECONDS = 4.0
LONGEST_QUARANTINE_SECONDS = 60.0
# Share of a service's workers that may be left alone at once: above it, failures are
# more likely the work's fault.
MAX_QUARANTINED_SHARE = 0.3
# s; a worker on which something ended well within this time is trusted more than a
# task that fails there.
TRUST_SECONDS = 5.0
# s; a run that fails sooner has done no work, which is rarely its own fault.
AT_ONCE_SECONDS = 0.3
# Other workers on which a task failed before the task is blamed.
BLAMED_AFTER = 1
# s; a run whose progress stands still for this time from one look to the next hangs,
# if it is expected to be short.
STALL_SECONDS = 1.0
# Share of its expected run time for which a run may stand still. Progress is told in
# whole percent, and slow workers far from the data make a twentieth of the usual.
STALL_SHARE = 0.2


class HealthMonitor:
    """Quarantine workers and let them back by a canary."""

    def __init__(self):
        self.blamed: set[JobId] = set()

    def failed(self, worker: Worker, task: Task, now: BootSeconds) -> bool:
        """Take a failure; tell whether the worker should be left alone."""
        task.avoided_workers.add(worker.id)
        if len(task.avoided_workers) > BLAMED_AFTER:
            self.blamed.add(task.step.job.id)
            return False
        if worker.health is WorkerHealth.CANARY:
            return True
        worker.failed_jobs[task.step.job.id] = now
        if task.start_time_known and now - task.started_at < AT_ONCE_SECONDS:
            return True
        if now - worker.last_success_at > TRUST_SECONDS:
            return True
        recent = 0
        for failed_at in worker.failed_jobs.values():
            recent += now - failed_at <= TRUST_SECONDS
        return recent > 1

    def succeeded(self, worker: Worker, now: BootSeconds) -> bool:
        """Take a success; tell whether the worker is restored by it."""
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
        """Leave a worker alone unless too many are; tell whether it is new."""
        if worker.health is WorkerHealth.QUARANTINED:
            return False
        peers = [peer for peer in workers if peer.entry.service == worker.entry.service]
        away = sum(peer.health is WorkerHealth.QUARANTINED for peer in peers)
        if away + 1 > MAX_QUARANTINED_SHARE * len(peers):
            return False
        seconds = min(
            QUARANTINE_SECONDS * 2**worker.quarantines, LONGEST_QUARANTINE_SECONDS
        )
        worker.quarantines += 1
        worker.quarantined_until = BootSeconds(now + seconds)
        worker.health = WorkerHealth.QUARANTINED
        return True

    def review(self, worker: Worker, now: BootSeconds):
        """Let a worker have a canary once its quarantine is over."""
        if worker.health is not WorkerHealth.QUARANTINED:
            return
        if now >= worker.quarantined_until:
            worker.health = WorkerHealth.CANARY

    def stalled(self, task: Task, expected: float) -> bool:
        """Tell whether a run that should take `expected` seconds stands still."""
        if task.percent >= 100 or task.pace < 100 or task.step.shape.best_effort:
            return False
        if task.step.shape.gang and not all_running(task.step.tasks):
            # It waits for members whose orders are under way.
            return False
        longest = max(STALL_SECONDS, STALL_SHARE * expected)
        return task.reported_at - task.percent_changed_at > longest

    def is_suspect(self, worker: Worker, task: Task) -> bool:
        """Tell whether a run that stands still may do so because of its worker.

        All members of a gang stand still together; a worker on which something else
        makes progress is not the one to blame.
        """
        for other in worker.tasks.values():
            if other.step is task.step or other.status is not TaskStatus.RUNNING:
                continue
            if other.percent_changed_at > task.percent_changed_at:
                return False
        return worker.last_success_at <= task.percent_changed_at


def all_running(tasks: list[Task]) -> bool:
    """Tell whether every task was confirmed to run."""
    return all(task.status is TaskStatus.RUNNING for task in tasks)
