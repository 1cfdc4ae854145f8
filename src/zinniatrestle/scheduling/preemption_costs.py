"""What would be lost by stopping what runs."""

from dataclasses import dataclass

from zinniatrestle.scheduling.durations import Durations
from zinniatrestle.scheduling.forecast import Forecast
from zinniatrestle.scheduling.order import Timeliness, timeliness
from zinniatrestle.scheduling.state import StepRun, Task, TaskStatus, Worker

# How much more a unit of lost work weighs for each level that its queue stands higher,
# so that of similar losses the less urgent one is taken.
LEVEL_WEIGHT = 1.5
# Share of a job's work that counts as lost besides if a stop makes the job late:
# callers gain some two thirds less by a late job.
LATE_SHARE = 0.3
STOPPABLE = frozenset({TaskStatus.PLACED, TaskStatus.RUNNING})
# s; a stopped run starts again this much later, if there is room.
RESTART_SECONDS = 0.5


@dataclass(eq=False)
class PreemptionUnit:
    """What can only be stopped together: a task, or all members of a gang.

    `loss` is in thousandths of core-seconds; `rank` weighs it by urgency.
    """

    tasks: list[Task]
    loss: float
    rank: float

    @property
    def is_stopped(self) -> bool:
        """Tell whether it has been stopped since its loss was worked out."""
        return any(task.status not in STOPPABLE for task in self.tasks)


def work_lost(
    task: Task, durations: Durations, checkpoint_interval: float, now: float
) -> float:
    """Return what a run has done and not saved, in thousandths of core-seconds."""
    elapsed = max(0.0, now - task.started_at) if task.started_at else 0.0
    shape = task.step.shape
    if not task.start_known and task.percent:
        expected = durations.task(task.step.job.submission.queue, shape)
        elapsed = max(elapsed, expected * task.percent / 100)
    if shape.checkpointing:
        elapsed = min(elapsed, checkpoint_interval / 2)
    return elapsed * task.step.work


class PreemptionCosts:
    """Losses as of one instant, each worked out once."""

    def __init__(self, forecast: Forecast, checkpoint_interval: float):
        self.forecast = forecast
        self.durations = forecast.durations
        self.checkpoint_interval = checkpoint_interval
        self.now = forecast.now
        self.workers: dict[Worker, list[PreemptionUnit]] = {}
        self.gangs: dict[StepRun, PreemptionUnit] = {}

    def units_at(self, worker: Worker) -> list[PreemptionUnit]:
        """Return what may be stopped at a worker, the least loss first."""
        found = self.workers.get(worker)
        if found is not None:
            return found
        found = []
        for task in worker.tasks.values():
            if not _may_stop(task):
                continue
            unit = self._unit(task)
            if unit not in found:
                found.append(unit)
        found.sort(key=lambda unit: unit.rank)
        self.workers[worker] = found
        return found

    def loss_of(self, task: Task) -> float:
        """Return the work that stopping a task would throw away."""
        return work_lost(task, self.durations, self.checkpoint_interval, self.now)

    def _unit(self, task: Task) -> PreemptionUnit:
        step = task.step
        if not step.shape.gang:
            return self._weighed([task])
        unit = self.gangs.get(step)
        if unit is None:
            unit = self._weighed([member for member in step.tasks if member.occupies])
            self.gangs[step] = unit
        return unit

    def _weighed(self, tasks: list[Task]) -> PreemptionUnit:
        loss = sum(self.loss_of(task) for task in tasks)
        step = tasks[0].step
        if self._makes_late(tasks):
            whole = self.durations.task(step.job.submission.queue, step.shape)
            loss += LATE_SHARE * whole * step.work * len(tasks)
        weight = LEVEL_WEIGHT**-step.job.submission.priority
        return PreemptionUnit(tasks, loss, loss * weight)

    def _makes_late(self, tasks: list[Task]) -> bool:
        """Tell whether a job is on time now and would not be after a stop."""
        step = tasks[0].step
        left = max(self.forecast.remaining(task) for task in tasks)
        again = left
        if not step.shape.checkpointing:
            again = self.durations.task(step.job.submission.queue, step.shape)
        now = timeliness(step, self.now + left, self.durations)
        after = self.now + RESTART_SECONDS + again
        if now is not Timeliness.ON_TIME:
            return False
        return timeliness(step, after, self.durations) is not Timeliness.ON_TIME


def _may_stop(task: Task) -> bool:
    if task.status not in STOPPABLE:
        return False
    if task.step.shape.long_running:
        return False
    return task.step.job.submission.priority > 0
