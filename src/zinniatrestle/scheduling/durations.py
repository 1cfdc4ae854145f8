"""How long tasks run, learned from those that ended and from what runs."""

import math
from collections.abc import Callable

from zinniatrestle.ids import QueueName
from zinniatrestle.jobs.messages import Step
from zinniatrestle.scheduling.messages import LearnedTimes
from zinniatrestle.scheduling.state import DONE_PERCENT, Job, StepRun, Task

MILLISECONDS = 1000.0
# s; what a task is taken to run for that says nothing, until one has ended.
UNKNOWN_SECONDS = 5.0
# s; a run that is about to end still has to be told of.
SOONEST_SECONDS = 0.1
# Share of the time it has run that an overdue run is taken to need still.
OVERDUE_SHARE = 0.25
# Weight of the newest run in the running means.
NEWEST_WEIGHT = 0.1
# Runs after which what was learned is trusted more than the callers' estimates.
TRUSTED_RUNS = 5

EstimateDuration = Callable[[QueueName, Step], float]


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

    def restore(self, count: int, value: float):
        """Go on from a mean of so many values."""
        self.count = count
        self.value = value


class QueueTimes:
    """Run times of one queue, and how far off two ways to foretell them were.

    Errors are logarithms, so that half and twice the time are equally wrong.
    """

    def __init__(self):
        self.seconds = Mean()
        self.estimate_error = Mean()
        self.mean_error = Mean()

    def learn(self, seconds: float, estimate: float):
        """Take a run time and what the caller had estimated; 0: nothing."""
        if seconds <= 0:
            return
        if self.seconds.count:
            self.mean_error.add(abs(math.log(self.seconds.value / seconds)))
        if estimate > 0:
            self.estimate_error.add(abs(math.log(estimate / seconds)))
        self.seconds.add(seconds)

    def trusts_estimates(self) -> bool:
        """Tell whether callers' estimates are better than the mean."""
        if self.seconds.count < TRUSTED_RUNS:
            return True
        if not self.estimate_error.count:
            return False
        return self.estimate_error.value < self.mean_error.value


class Durations:
    """Foretell run times by queue, since callers' estimates may be far off."""

    def __init__(self):
        self.queues: dict[QueueName, QueueTimes] = {}

    def learn(self, task: Task, seconds: float):
        """Take the time that a whole run took near its data."""
        step = task.step
        queue = step.job.submission.queue
        times = self.queues.setdefault(queue, QueueTimes())
        times.learn(seconds, step.shape.estimated_ms / MILLISECONDS)

    def export(self) -> dict[QueueName, LearnedTimes]:
        """Return what was learned, for a successor."""
        found = {}
        for queue, times in self.queues.items():
            found[queue] = LearnedTimes(
                times.seconds.count,
                round(times.seconds.value, 3),
                round(times.estimate_error.value, 3),
                round(times.mean_error.value, 3),
            )
        return found

    def restore(self, learned: dict[QueueName, LearnedTimes]):
        """Take over what a predecessor learned."""
        for queue, kept in learned.items():
            times = self.queues.setdefault(queue, QueueTimes())
            times.seconds.restore(kept.count, kept.seconds)
            times.estimate_error.restore(kept.count, kept.estimate_error)
            times.mean_error.restore(kept.count, kept.mean_error)

    def task(self, queue: QueueName, shape: Step) -> float:
        """Return how many seconds a task of a step most likely runs."""
        estimate = shape.estimated_ms / MILLISECONDS
        times = self.queues.get(queue)
        if times is None or not times.seconds.count:
            return estimate or UNKNOWN_SECONDS
        if estimate and times.trusts_estimates():
            return estimate
        return times.seconds.value

    def shortest(self, queue: QueueName, shape: Step) -> float:
        """Return how many seconds a task may run if it is one of the short ones."""
        expected = self.task(queue, shape)
        times = self.queues.get(queue)
        if times is not None and times.seconds.count >= TRUSTED_RUNS:
            expected = min(expected, times.seconds.value)
        if shape.estimated_ms:
            expected = min(expected, shape.estimated_ms / MILLISECONDS)
        return expected

    def remaining(self, task: Task, now: float) -> float:
        """Return how many seconds a run by itself most likely needs still."""
        if task.percent >= DONE_PERCENT:
            return 0.0
        expected = self.task(task.step.job.submission.queue, task.step.shape)
        if task.progress_rate == 0:
            # It stands still, and most likely has to start anew.
            return expected
        if task.progress_rate is not None:
            left = (DONE_PERCENT - task.percent) / task.progress_rate
            return max(left - (now - task.reported_at), SOONEST_SECONDS)
        left = expected * (1 - task.percent / DONE_PERCENT)
        elapsed = now - (task.baseline_at or task.started_at)
        # What has run longer than expected is none of those that end soon.
        return max(left - elapsed, OVERDUE_SHARE * elapsed, SOONEST_SECONDS)

    def chain(
        self,
        job: Job,
        first: StepRun | None = None,
        estimate_duration: EstimateDuration | None = None,
    ) -> float:
        """Return the seconds of the longest chain of steps, from one or from all."""
        estimate_duration = estimate_duration or self.task
        steps = job.submission.steps
        longest: list[float] = []
        for number, shape in enumerate(steps):
            own = estimate_duration(job.submission.queue, shape)
            if first is not None and number == first.number:
                longest.append(own)
                continue
            before = max((longest[index] for index in shape.after), default=0.0)
            if first is not None and (not shape.after or before == 0.0):
                longest.append(0.0)
                continue
            longest.append(before + own)
        return max(longest, default=0.0)
