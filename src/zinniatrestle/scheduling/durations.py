"""Estimates of the run times of tasks, learned from ended and running ones."""

import math
from collections.abc import Callable

from zinniatrestle.ids import QueueName
from zinniatrestle.jobs.messages import Step
from zinniatrestle.scheduling.messages import RunTimeStatistics
from zinniatrestle.scheduling.state import DONE_PERCENT, Job, StepRun, Task

MS_PER_SECOND = 1000.0
# Estimate for a task without one of its caller, until a task of its queue has ended.
DEFAULT_RUN_SECONDS = 5.0
# Even a run that is about to end still has to be reported.
MIN_REMAINING_SECONDS = 0.1
# An overdue run is expected to need this share of its elapsed time in addition.
OVERDUE_SHARE = 0.25
# Weight of the newest value in a running mean.
NEWEST_WEIGHT = 0.1
# Callers' estimates are preferred until this many runs have been measured.
TRUSTED_RUNS = 5

# Queues whose run times are kept, those of the latest ends. A successor gets them in a
# row with all else that it inherits.
MAX_QUEUES = 200

EstimateDuration = Callable[[QueueName, Step], float]


class RunningMean:
    """A running mean in which old values decay."""

    def __init__(self):
        self.count = 0
        self.value = 0.0

    def add(self, value: float):
        """Add a value."""
        self.count += 1
        weight = max(1 / self.count, NEWEST_WEIGHT)
        self.value += weight * (value - self.value)

    def restore(self, count: int, value: float):
        """Continue from an earlier mean of `count` values."""
        self.count = count
        self.value = value


class QueueRunTimes:
    """Run times of one queue, with the errors of two ways to predict them.

    One is the caller's estimate, the other the mean of the run times so far.

    Errors are logarithms of ratios, so that half and twice the time are equally wrong.
    """

    def __init__(self):
        self.seconds = RunningMean()
        self.estimate_error = RunningMean()
        self.mean_error = RunningMean()

    def learn(self, seconds: float, estimate: float):
        """Add a run time and the caller's estimate, both in seconds; 0 means none."""
        if seconds <= 0:
            return
        if self.seconds.count:
            self.mean_error.add(abs(math.log(self.seconds.value / seconds)))
        if estimate > 0:
            self.estimate_error.add(abs(math.log(estimate / seconds)))
        self.seconds.add(seconds)

    def trusts_estimates(self) -> bool:
        """Return whether callers' estimates are more accurate than the mean."""
        if self.seconds.count < TRUSTED_RUNS:
            return True
        if not self.estimate_error.count:
            return False
        return self.estimate_error.value < self.mean_error.value


class Durations:
    """Predict run times by queue, since callers' estimates may be far off."""

    def __init__(self):
        self.queues: dict[QueueName, QueueRunTimes] = {}

    def learn(self, task: Task, seconds: float):
        """Record the seconds that a complete run near its data took."""
        step = task.step
        queue = step.job.submission.queue
        times = self.queues.pop(queue, None) or QueueRunTimes()
        times.learn(seconds, step.shape.estimated_ms / MS_PER_SECOND)
        self.queues[queue] = times
        if len(self.queues) > MAX_QUEUES:
            del self.queues[next(iter(self.queues))]

    def export(self) -> dict[QueueName, RunTimeStatistics]:
        """Return the statistics of each queue, for a successor."""
        statistics = {}
        for queue, times in self.queues.items():
            statistics[queue] = RunTimeStatistics(
                times.seconds.count,
                round(times.seconds.value, 3),
                round(times.estimate_error.value, 3),
                round(times.mean_error.value, 3),
            )
        return statistics

    def restore(self, learned: dict[QueueName, RunTimeStatistics]):
        """Restore the statistics that a predecessor exported."""
        for queue, record in learned.items():
            times = self.queues.setdefault(queue, QueueRunTimes())
            times.seconds.restore(record.count, record.seconds)
            times.estimate_error.restore(record.count, record.estimate_error)
            times.mean_error.restore(record.count, record.mean_error)

    def expected_seconds(self, queue: QueueName, shape: Step) -> float:
        """Return the expected run time in seconds of a task of a step."""
        estimate = shape.estimated_ms / MS_PER_SECOND
        times = self.queues.get(queue)
        if times is None or not times.seconds.count:
            return estimate or DEFAULT_RUN_SECONDS
        if estimate and times.trusts_estimates():
            return estimate
        return times.seconds.value

    def optimistic_seconds(self, queue: QueueName, shape: Step) -> float:
        """Return the run time in seconds by the most optimistic of the estimates."""
        expected = self.expected_seconds(queue, shape)
        times = self.queues.get(queue)
        if times is not None and times.seconds.count >= TRUSTED_RUNS:
            expected = min(expected, times.seconds.value)
        if shape.estimated_ms:
            expected = min(expected, shape.estimated_ms / MS_PER_SECOND)
        return expected

    def pessimistic_seconds(self, queue: QueueName, shape: Step) -> float:
        """Return the run time in seconds by the longest of the estimates."""
        expected = self.expected_seconds(queue, shape)
        times = self.queues.get(queue)
        if times is not None and times.seconds.count >= TRUSTED_RUNS:
            expected = max(expected, times.seconds.value)
        return max(expected, shape.estimated_ms / MS_PER_SECOND)

    def remaining(self, task: Task, now: float) -> float:
        """Return the expected remaining seconds of a run, regardless of its gang."""
        if task.percent >= DONE_PERCENT:
            return 0.0
        expected = self.expected_seconds(
            task.step.job.submission.queue, task.step.shape
        )
        if task.progress_rate == 0:
            # A stalled run most likely has to be restarted.
            return expected
        if task.progress_rate is not None:
            remaining = (DONE_PERCENT - task.percent) / task.progress_rate
            return max(remaining - (now - task.reported_at), MIN_REMAINING_SECONDS)
        remaining = expected * (1 - task.percent / DONE_PERCENT)
        elapsed = now - (task.baseline_at or task.started_at)
        # A run that has exceeded its estimate is unlikely to end soon.
        return max(remaining - elapsed, OVERDUE_SHARE * elapsed, MIN_REMAINING_SECONDS)

    def critical_path(
        self,
        job: Job,
        first: StepRun | None = None,
        estimate_duration: EstimateDuration | None = None,
    ) -> float:
        """Return the seconds of the longest chain of dependent steps.

        The chain starts with `first` if it is given, else with any step.
        """
        estimate_duration = estimate_duration or self.expected_seconds
        steps = job.submission.steps
        longest: list[float] = []
        for number, shape in enumerate(steps):
            own_seconds = estimate_duration(job.submission.queue, shape)
            if first is not None and number == first.number:
                longest.append(own_seconds)
                continue
            before = max((longest[index] for index in shape.after), default=0.0)
            if first is not None and (not shape.after or before == 0.0):
                longest.append(0.0)
                continue
            longest.append(before + own_seconds)
        return max(longest, default=0.0)
