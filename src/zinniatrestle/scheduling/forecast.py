"""When what runs will end, as of one instant."""

from zinniatrestle.ids import BootSeconds
from zinniatrestle.scheduling.durations import Durations
from zinniatrestle.scheduling.state import StepRun, Task


class Forecast:
    """Foretell ends, each worked out once."""

    def __init__(self, durations: Durations, now: BootSeconds):
        self.durations = durations
        self.now = now
        self.tasks: dict[Task, float] = {}
        self.gangs: dict[StepRun, float] = {}

    def remaining(self, task: Task) -> float:
        """Return how many seconds a run most likely needs still.

        The members of a gang end together, so it needs what its slowest member needs.
        """
        step = task.step
        if step.shape.gang:
            if step not in self.gangs:
                own = [
                    self._own(member) for member in step.tasks if member.is_allocated
                ]
                self.gangs[step] = max(own, default=0.0)
            return self.gangs[step]
        if task not in self.tasks:
            self.tasks[task] = self._own(task)
        return self.tasks[task]

    def _own(self, task: Task) -> float:
        return self.durations.remaining(task, self.now)
