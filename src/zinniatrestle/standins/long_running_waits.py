"""Check that no long-running task waits for long while there is room for it."""

from dataclasses import dataclass
from enum import Enum

from zinniatrestle.clock import monotonic
from zinniatrestle.ids import TaskId
from zinniatrestle.standins.ended_tasks import ReportedEnds
from zinniatrestle.standins.model import Model
from zinniatrestle.standins.room import (
    has_ample_room,
    is_idle,
    live_workers,
    usable_workers,
)
from zinniatrestle.standins.runs import EventKind

# The longest time in seconds for which a task may wait although it could run.
MAX_WAIT_SECONDS = 3.0
# Time in seconds from the end of a run on for which its task may wait in any case.
RESTART_SECONDS = 6.0
# The workers are calm once nothing has disturbed them for this time in seconds.
CALM_SECONDS = 4.0


class Promise(Enum):
    """What has to hold during a wait for it to break the promise."""

    CALM = "the deployment is calm"
    IDLE = "most of its service is idle"


@dataclass
class LongRunningWait:
    """A time in which a long-running task did not run although it could have."""

    task: TaskId
    promise: Promise
    since: float
    until: float

    def __str__(self):
        seconds = self.until - self.since
        return (
            f"LOST: {self.task} waits from {self.since:.1f} to {self.until:.1f} "
            f"({seconds:.1f} s) while {self.promise.value}"
        )


class LongRunningWaits:
    """Look for waits of long-running tasks, as the workers see them.

    `sample` is to be called often from the start of the model. The promise is broken
    if a task of an accepted, uncancelled job doesn't run for `MAX_WAIT_SECONDS` while
    all steps before its own have ended, its last run has ended `RESTART_SECONDS` ago,
    and there is room for it twice over. It holds at any time that is calm, and from
    `begins_at` on while less than half of the service's capacity is in use.
    """

    def __init__(self, model: Model, begins_at: float):
        self.model = model
        self.begins_at = begins_at
        self.ended_tasks = ReportedEnds(model.fleet)
        self.events_read = 0
        self.run_ended_at: dict[TaskId, float] = {}
        self.current: dict[tuple[TaskId, Promise], LongRunningWait] = {}
        self.broken: list[LongRunningWait] = []

    def sample(self):
        """Update all waits to the state of the workers now."""
        self.ended_tasks.update()
        self._read_ends_of_runs()
        now = monotonic()
        promises = self._promises(now)
        waiting = self._waiting_tasks(now) if promises else []
        found = [(task, promise) for task in waiting for promise in promises]
        for key in self.current.keys() - set(found):
            del self.current[key]
        for task, promise in found:
            wait = self.current.get((task, promise))
            if wait is None:
                wait = LongRunningWait(task, promise, now, now)
                self.current[task, promise] = wait
                continue
            wait.until = now
            if now - wait.since >= MAX_WAIT_SECONDS and wait not in self.broken:
                self.broken.append(wait)

    def violations(self) -> list[str]:
        """Return a line for each wait that broke the promise."""
        return [str(wait) for wait in self.broken]

    def _promises(self, now: float) -> list[Promise]:
        promises = []
        times = self.model.disturbance_times
        if not times or now - times[-1] >= CALM_SECONDS:
            promises.append(Promise.CALM)
        if now >= self.begins_at and is_idle(self.model):
            promises.append(Promise.IDLE)
        return promises

    def _read_ends_of_runs(self):
        history = self.model.fleet.history
        for event in history[self.events_read :]:
            if event.kind is EventKind.END:
                self.run_ended_at[event.task] = event.at
        self.events_read = len(history)

    def _waiting_tasks(self, now: float) -> list[TaskId]:
        """Return the long-running tasks that don't run although they could."""
        running: set[TaskId] = set()
        for worker in live_workers(self.model):
            running |= worker.running.keys()
        usable = usable_workers(self.model)
        waiting: list[TaskId] = []
        for job, outcome in self.model.jobs.items():
            if not outcome.long_running or not outcome.accepted or outcome.cancel_sent:
                continue
            if self.model.has_ended(job):
                continue
            for shape, tasks in self.ended_tasks.next_steps(job, outcome, now):
                if not shape.long_running or not has_ample_room(usable, shape, tasks):
                    continue
                for task in tasks:
                    ended_at = self.run_ended_at.get(task, float("-inf"))
                    if task not in running and now - ended_at >= RESTART_SECONDS:
                        waiting.append(task)
        return waiting
