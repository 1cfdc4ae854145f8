"""Check that no accepted job waits while most of its service is idle."""

from dataclasses import dataclass

from zinniatrestle.clock import monotonic
from zinniatrestle.ids import JobId, TaskId
from zinniatrestle.standins.checker import job_of
from zinniatrestle.standins.ended_tasks import EndedTasks, ReportedEnds
from zinniatrestle.standins.model import JobOutcome, Model
from zinniatrestle.standins.room import (
    has_ample_room,
    is_idle,
    live_workers,
    usable_workers,
)
from zinniatrestle.standins.runs import SimulatedWorker

# The longest time in seconds for which nothing of a job may run although it could.
MAX_IDLE_SECONDS = 3.0


@dataclass
class IdleWait:
    """A time in which nothing of a job ran although the step of `task` could have."""

    job: JobId
    task: TaskId
    since: float
    until: float

    def __str__(self):
        seconds = self.until - self.since
        return (
            f"LOST: {self.task} waits from {self.since:.1f} to {self.until:.1f} "
            f"({seconds:.1f} s) while most of its service is idle"
        )


class IdleWaits:
    """Look for waits of accepted jobs from `begins_at` on, as the workers see them.

    `sample` is to be called often from the start of the model. The promise is broken
    if nothing of an accepted, uncancelled job runs for `MAX_IDLE_SECONDS` while all
    steps before an unfinished one have ended, there is room for it twice over, and
    less than half of the service's capacity is in use. Long-running steps are left to
    `LongRunningWaits`. `ended_tasks` says which tasks have ended, by default those of
    which the scheduler can know.
    """

    def __init__(
        self, model: Model, begins_at: float, ended_tasks: EndedTasks | None = None
    ):
        self.model = model
        self.begins_at = begins_at
        self.ended_tasks = ended_tasks or ReportedEnds(model.fleet)
        self.current: dict[JobId, IdleWait] = {}
        # The longest wait of each job, whether it broke the promise or not.
        self.longest: dict[JobId, IdleWait] = {}
        self.broken: list[IdleWait] = []

    def sample(self):
        """Update all waits to the state of the workers now."""
        self.ended_tasks.update()
        now = monotonic()
        waiting = self._waiting_tasks(now) if now >= self.begins_at else {}
        for job in list(self.current):
            if job not in waiting:
                del self.current[job]
        for job, task in waiting.items():
            wait = self.current.get(job)
            if wait is None:
                self.current[job] = IdleWait(job, task, now, now)
                continue
            wait.until = now
            longest = self.longest.setdefault(job, wait)
            if now - wait.since > longest.until - longest.since:
                self.longest[job] = wait
            if now - wait.since >= MAX_IDLE_SECONDS and wait not in self.broken:
                self.broken.append(wait)

    def violations(self) -> list[str]:
        """Return a line for each wait that broke the promise."""
        return [str(wait) for wait in self.broken]

    def _waiting_tasks(self, now: float) -> dict[JobId, TaskId]:
        """Return the jobs that run nothing although they could, with one such task."""
        if not is_idle(self.model):
            return {}
        running = set()
        for worker in live_workers(self.model):
            for task in worker.running:
                # The repetition of a task that has ended is no work for its job.
                if task not in self.ended_tasks.done:
                    running.add(job_of(task))
        usable = usable_workers(self.model)
        waiting = {}
        for job, outcome in self.model.jobs.items():
            if not outcome.accepted or outcome.cancel_sent or job in running:
                continue
            if self.model.has_ended(job):
                continue
            task = self._task_with_room(job, outcome, usable, now)
            if task is not None:
                waiting[job] = task
        return waiting

    def _task_with_room(
        self,
        job: JobId,
        outcome: JobOutcome,
        usable: list[SimulatedWorker],
        now: float,
    ) -> TaskId | None:
        for shape, tasks in self.ended_tasks.next_steps(job, outcome, now):
            if shape.long_running:
                continue
            if has_ample_room(usable, shape, tasks):
                return tasks[0]
        return None
