"""How long tasks run, learned from those that ended."""

from zinniatrestle.ids import QueueName
from zinniatrestle.jobs.messages import Step
from zinniatrestle.scheduling.state import Job, StepRun, Task

MILLISECONDS = 1000.0
# s; what a task is taken to run for that says nothing, until one has ended.
UNKNOWN_SECONDS = 5.0
# Weight of the newest run in the running mean.
NEWEST_WEIGHT = 0.1
# Runs after which the mean is trusted more than the callers' estimates.
TRUSTED_RUNS = 5


class Mean:
    """A running mean that forgets old values."""

    def __init__(self):
        self.count = 0
        self.value = 0.0

    def add(self, value: float):
        """Take a value."""
        self.count += 1
        weight = max(1 / self.count, NEWEST_WEIGHT)
        self.value += weight * (value - self.value)


class Durations:
    """Estimate run times by queue, since callers' estimates are far off."""

    def __init__(self):
        self.means: dict[QueueName, Mean] = {}

    def learn(self, task: Task, seconds: float):
        """Take the time that a run without a checkpoint took."""
        self.means.setdefault(task.step.job.submission.queue, Mean()).add(seconds)

    def task(self, queue: QueueName, shape: Step) -> float:
        """Return how many seconds a task of a step most likely runs."""
        mean = self.means.get(queue)
        if mean is not None and mean.count >= TRUSTED_RUNS:
            return mean.value
        if shape.estimated_ms:
            return shape.estimated_ms / MILLISECONDS
        return mean.value if mean is not None else UNKNOWN_SECONDS

    def remaining(self, task: Task, now: float) -> float:
        """Return how many seconds a running task most likely needs still."""
        expected = self.task(task.step.job.submission.queue, task.step.shape)
        elapsed = now - task.started_at
        if task.percent >= 100:
            return 0.0
        if task.percent > 0:
            return elapsed * (100 - task.percent) / task.percent
        return max(expected - elapsed, 0.0)

    def chain(self, job: Job, first: StepRun | None = None) -> float:
        """Return the seconds of the longest chain of steps, from one or from all."""
        steps = job.submission.steps
        longest: list[float] = []
        for number, shape in enumerate(steps):
            own = self.task(job.submission.queue, shape)
            if first is not None and number == first.number:
                longest.append(own)
                continue
            before = max((longest[index] for index in shape.after), default=0.0)
            if first is not None and (not shape.after or before == 0.0):
                longest.append(0.0)
                continue
            longest.append(before + own)
        return max(longest, default=0.0)
