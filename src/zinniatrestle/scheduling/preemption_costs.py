"""Preemption costs: the work lost by stopping running tasks."""

import math
from dataclasses import dataclass

from zinniatrestle.scheduling.durations import Durations
from zinniatrestle.scheduling.forecast import Forecast
from zinniatrestle.scheduling.order import Timeliness, timeliness
from zinniatrestle.scheduling.state import StepRun, Task, TaskStatus, Worker

# Factor by which lost work weighs more for each level of queue priority, so that of
# similar losses the one in the less urgent queue is chosen.
PRIORITY_LEVEL_WEIGHT = 1.5
# Share of a unit's whole work that is added to its loss if preemption makes the job
# late: a late job is worth about two thirds less to its caller.
LATENESS_PENALTY_SHARE = 0.3
PREEMPTIBLE_STATUSES = frozenset({TaskStatus.PLACED, TaskStatus.RUNNING})
# Factor on the weighted loss of runs that have not made up for an earlier preemption,
# so that a guarantee takes them last.
PROTECTED_WEIGHT = 4.0
# Delay until a preempted run starts again, if there is free capacity.
RESTART_DELAY_SECONDS = 0.5


@dataclass(eq=False)
class PreemptionUnit:
    """Unit of preemption: a single task, or all members of a gang.

    `loss` is in thousandths of core-seconds; `weighted_loss` is the loss weighted by
    queue priority. A protected unit has been preempted and has not gained as much work
    since as that restart cost; it is preempted again only for a guarantee.
    """

    tasks: list[Task]
    loss: float
    weighted_loss: float
    is_protected: bool = False

    @property
    def is_stopped(self) -> bool:
        """Return whether a task of the unit can't be preempted any more."""
        return any(task.status not in PREEMPTIBLE_STATUSES for task in self.tasks)


def work_lost(
    task: Task, durations: Durations, checkpoint_interval: float, now: float
) -> float:
    """Return the work lost if a run is lost, in thousandths of core-seconds.

    A run with checkpoints is expected to lose half a checkpoint interval at most.
    """
    seconds = _elapsed(task, durations, now)
    if task.step.shape.checkpointing:
        seconds = min(seconds, checkpoint_interval / 2)
    return seconds * task.step.task_weight


def _elapsed(task: Task, durations: Durations, now: float) -> float:
    """Return for how many seconds a run has worked.

    If the start of a run was not observed, its progress gives a lower bound.
    """
    elapsed = max(0.0, now - task.started_at) if task.started_at else 0.0
    if not task.start_time_known and task.percent:
        step = task.step
        expected = durations.expected_seconds(step.job.submission.queue, step.shape)
        elapsed = max(elapsed, expected * task.percent / 100)
    return elapsed


class PreemptionCosts:
    """Preemption costs as of one instant, each computed once.

    A run with checkpoints saves one when it is stopped, so it loses the
    `restore_seconds` that it takes to resume, any other what it has done. A run that
    has been stopping for longer than `max_stop_seconds` isn't expected to
    end any more.
    """

    def __init__(
        self,
        forecast: Forecast,
        restore_seconds: float,
        max_stop_seconds: float = math.inf,
    ):
        self.forecast = forecast
        self.durations = forecast.durations
        self.restore_seconds = restore_seconds
        self.max_stop_seconds = max_stop_seconds
        self.now = forecast.now
        self.units_by_worker: dict[Worker, list[PreemptionUnit]] = {}
        self.units_by_gang: dict[StepRun, PreemptionUnit] = {}

    def units_at(self, worker: Worker) -> list[PreemptionUnit]:
        """Return the units that may be preempted at a worker, cheapest first."""
        units = self.units_by_worker.get(worker)
        if units is not None:
            return units
        units = []
        for task in worker.tasks.values():
            if not _is_preemptible(task):
                continue
            unit = self._unit_of(task)
            if unit not in units:
                units.append(unit)
        units.sort(key=lambda unit: unit.weighted_loss)
        self.units_by_worker[worker] = units
        return units

    def ends_soon(self, task: Task) -> bool:
        """Return whether a run is being stopped and is expected to end in time."""
        if task.status is not TaskStatus.STOPPING:
            return False
        return self.now - task.status_at <= self.max_stop_seconds

    def loss_of(self, task: Task) -> float:
        """Return the work lost by stopping a task, in thousandths of core-seconds."""
        return self.seconds_lost(task) * task.step.task_weight

    def seconds_lost(self, task: Task) -> float:
        """Return the seconds of its run time that a task loses by being stopped."""
        elapsed = _elapsed(task, self.durations, self.now)
        if task.step.shape.checkpointing:
            return min(elapsed, self.restore_seconds)
        return elapsed

    def is_protected(self, task: Task) -> bool:
        """Return whether a run has not made up for the last preemption of its task."""
        if not task.restart_cost:
            return False
        gained = _elapsed(task, self.durations, self.now)
        if task.resumed:
            gained -= self.restore_seconds
        return gained < task.restart_cost

    def _unit_of(self, task: Task) -> PreemptionUnit:
        step = task.step
        if not step.shape.gang:
            return self._build_unit([task])
        unit = self.units_by_gang.get(step)
        if unit is None:
            unit = self._build_unit(
                [member for member in step.tasks if member.is_allocated]
            )
            self.units_by_gang[step] = unit
        return unit

    def _build_unit(self, tasks: list[Task]) -> PreemptionUnit:
        loss = sum(self.loss_of(task) for task in tasks)
        step = tasks[0].step
        if self._would_become_late(tasks):
            task_seconds = self.durations.expected_seconds(
                step.job.submission.queue, step.shape
            )
            loss += (
                LATENESS_PENALTY_SHARE * task_seconds * step.task_weight * len(tasks)
            )
        weight = PRIORITY_LEVEL_WEIGHT**-step.job.submission.priority
        is_protected = any(self.is_protected(task) for task in tasks)
        if is_protected:
            weight *= PROTECTED_WEIGHT
        return PreemptionUnit(tasks, loss, loss * weight, is_protected)

    def _would_become_late(self, tasks: list[Task]) -> bool:
        """Return whether a job is on time now, but not if its tasks are preempted."""
        step = tasks[0].step
        remaining = max(self.forecast.remaining(task) for task in tasks)
        rerun_seconds = remaining + self.restore_seconds
        if not step.shape.checkpointing:
            rerun_seconds = self.durations.expected_seconds(
                step.job.submission.queue, step.shape
            )
        current = timeliness(step, self.now + remaining, self.durations)
        ends_at = self.now + RESTART_DELAY_SECONDS + rerun_seconds
        if current is not Timeliness.ON_TIME:
            return False
        return timeliness(step, ends_at, self.durations) is not Timeliness.ON_TIME


def _is_preemptible(task: Task) -> bool:
    if task.status not in PREEMPTIBLE_STATUSES:
        return False
    if task.step.shape.long_running:
        return False
    return task.step.job.submission.priority > 0
