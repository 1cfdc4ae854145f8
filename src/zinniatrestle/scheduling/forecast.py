"""Estimated remaining run times of the current runs, as of one instant."""

from zinniatrestle.ids import BootSeconds
from zinniatrestle.scheduling.durations import Durations
from zinniatrestle.scheduling.state import StepRun, Task


class Forecast:
    """Estimate when runs will end, and cache each estimate for one instant."""

    def __init__(self, durations: Durations, now: BootSeconds):
        self.durations = durations
        self.now = now
        self.remaining_by_task: dict[Task, float] = {}
        self.remaining_by_step: dict[StepRun, float] = {}

    def remaining(self, task: Task) -> float:
        """Return the estimated remaining run time of a task, in seconds.

        The members of a gang end together, so each of them gets the time of the
        slowest member.
        """
        step = task.step
        if step.shape.gang:
            if step not in self.remaining_by_step:
                estimates = [
                    self._estimate(member)
                    for member in step.tasks
                    if member.is_allocated
                ]
                self.remaining_by_step[step] = max(estimates, default=0.0)
            return self.remaining_by_step[step]
        if task not in self.remaining_by_task:
            self.remaining_by_task[task] = self._estimate(task)
        return self.remaining_by_task[task]

    def _estimate(self, task: Task) -> float:
        return self.durations.remaining(task, self.now)
