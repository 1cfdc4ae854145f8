"""Relative speeds of workers, learned from tasks of one step on several of them."""

import statistics
from collections.abc import Iterable

from zinniatrestle.ids import BootSeconds
from zinniatrestle.scheduling.forecast import Forecast
from zinniatrestle.scheduling.order import Timeliness, timeliness
from zinniatrestle.scheduling.state import (
    DONE_PERCENT,
    StepRun,
    Task,
    TaskStatus,
    Worker,
)

# A step's tasks are compared only if they run on at least this many workers.
MIN_WORKERS = 3
# Weight of the newest comparison in the running estimate of a speed.
NEWEST_WEIGHT = 0.5
# Least time between two comparisons of a step's tasks.
COMPARE_SECONDS = 0.5
# A low speed expires after this time without a comparison, as slowness is often
# temporary.
SPEED_VALID_SECONDS = 8.0
# A worker below this share of the usual speed is taken to be faulty.
SLOW_SPEED = 0.5
# A worker below this share of the usual speed takes half of the slack that an urgent
# job usually has.
USUAL_SPEED = 0.9
# A run without progress can be judged only after this time.
MIN_PROGRESS_SECONDS = 0.6
# A run is restarted elsewhere if it takes at least this many times as long on its
# current worker, whose slowness may be temporary.
MIN_RESTART_GAIN = 1.5
# Time within which the slowness of a worker usually ends.
SLOWNESS_SECONDS = 6.0
# Overhead of restarting a run elsewhere.
RESTART_SECONDS = 0.5


class SpeedEstimator:
    """Estimate the speeds of workers relative to the usual speed, which is 1."""

    def __init__(self):
        self.compared_at: dict[StepRun, BootSeconds] = {}

    def compare(self, step: StepRun, now: BootSeconds):
        """Compare the progress of a step's tasks on their workers.

        The step's own rate is the median of its rates, each divided by the estimated
        speed of the worker. A worker of usual speed thus doesn't look slow next to
        fast ones.
        """
        if now - self.compared_at.get(step, BootSeconds(0.0)) < COMPARE_SECONDS:
            return
        self.compared_at[step] = now
        rates_by_worker = self._rates_by_worker(step)
        if len(rates_by_worker) < MIN_WORKERS:
            return
        median_rate = statistics.median(
            rate / estimated_speed(worker, now)
            for worker, rate in rates_by_worker.items()
        )
        if median_rate <= 0:
            return
        for worker, rate in rates_by_worker.items():
            observed = rate / median_rate
            worker.speed += NEWEST_WEIGHT * (observed - worker.speed)
            worker.speed_measured_at = now

    def forget(self, step: StepRun):
        """Remove the state of a step that has ended."""
        self.compared_at.pop(step, None)

    def _rates_by_worker(self, step: StepRun) -> dict[Worker, float]:
        """Return the mean rate of a step's runs on each worker, in percent a second."""
        samples: dict[Worker, list[float]] = {}
        for task in step.tasks:
            if self._is_comparable(task):
                samples.setdefault(task.worker, []).append(self._rate(task))
        if not any(rate for rates in samples.values() for rate in rates):
            return {}
        return {worker: statistics.mean(rates) for worker, rates in samples.items()}

    def _is_comparable(self, task: Task) -> bool:
        """Return whether a run's progress shows the speed of its worker."""
        if task.status is not TaskStatus.RUNNING or not task.baseline_at:
            return False
        if task.is_slowed or task.resumed:
            return False
        if task.progress_rate is None and self._is_too_recent(task):
            return False
        shape = task.step.shape
        return not shape.data_rack or task.worker.rack == shape.data_rack

    def _is_too_recent(self, task: Task) -> bool:
        """Return whether a run without a rate is too recent to count as stalled."""
        if task.percent > 0:
            return True
        return (
            task.reported_at - self._gang_started_at(task.step) < MIN_PROGRESS_SECONDS
        )

    def _rate(self, task: Task) -> float:
        """Return a run's recent rate, or its overall rate if it waits for its gang."""
        if task.percent < DONE_PERCENT:
            return task.progress_rate or 0.0
        seconds = max(
            task.percent_changed_at - self._gang_started_at(task.step),
            MIN_PROGRESS_SECONDS,
        )
        return (DONE_PERCENT - task.baseline_percent) / seconds

    def _gang_started_at(self, step: StepRun) -> BootSeconds:
        """Return when a gang started to work, which takes all its members."""
        return max(task.baseline_at for task in step.tasks)


def estimated_speed(worker: Worker, now: float) -> float:
    """Return a worker's estimated speed, or 1 if a low estimate has expired."""
    if worker.speed >= SLOW_SPEED:
        return worker.speed
    if now - worker.speed_measured_at > SPEED_VALID_SECONDS:
        return 1.0
    # Rates are divided by the result, so it must stay above 0.
    return max(worker.speed, 0.05)


def is_slow(worker: Worker, now: float) -> bool:
    """Return whether a worker is so slow that it is taken to be faulty."""
    return estimated_speed(worker, now) < SLOW_SPEED


def is_below_usual(worker: Worker, now: float) -> bool:
    """Return whether a worker is noticeably slower than usual."""
    return estimated_speed(worker, now) < USUAL_SPEED


def slow_workers(workers: Iterable[Worker], now: float) -> frozenset[Worker]:
    """Return the slow ones of some workers."""
    return frozenset(worker for worker in workers if is_slow(worker, now))


def should_restart(task: Task, forecast: Forecast) -> bool:
    """Return whether to restart a slow worker's run elsewhere, as it would be late."""
    if task.status is not TaskStatus.RUNNING or task.step.shape.long_running:
        return False
    if not is_slow(task.worker, forecast.now):
        return False
    step, durations = task.step, forecast.durations
    full_seconds = durations.expected_seconds(step.job.submission.queue, step.shape)
    remaining_seconds = full_seconds * (1 - task.percent / DONE_PERCENT)
    seconds_here = min(forecast.remaining(task), SLOWNESS_SECONDS + remaining_seconds)
    seconds_elsewhere = RESTART_SECONDS + (
        remaining_seconds if step.shape.checkpointing else full_seconds
    )
    if seconds_here < MIN_RESTART_GAIN * seconds_elsewhere:
        return False
    # A step that is on time anyway loses nothing on a slow worker.
    on_time = (
        timeliness(step, forecast.now + seconds_here, durations) is Timeliness.ON_TIME
    )
    return not on_time
