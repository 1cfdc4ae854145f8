"""How fast workers are, learned from tasks of one step that run on several of them."""

import statistics

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

# Workers on which a step must run for its tasks to be compared.
LEAST_WORKERS = 3
# Weight of the newest comparison.
NEWEST_WEIGHT = 0.5
# s; a step's tasks are compared no more often.
COMPARE_SECONDS = 0.5
# s; a speed that was not seen for so long may have changed: slowness passes.
SPEED_VALID_SECONDS = 8.0
# A worker slower than this is taken to be sick.
SICK_SPEED = 0.5
FULL_PACE = 100
# s; a run whose progress stands still for less has not shown that it does.
LEAST_SECONDS = 0.6
# How much longer a run has to need here to start anew elsewhere: slowness may pass.
WORTH_RESTARTING = 1.5
# s; slowness of a worker passes within about this time.
PASSES_SECONDS = 6.0
# s; what a run needs besides its own time if it starts anew elsewhere.
RESTART_SECONDS = 0.5


class SpeedEstimator:
    """Believe speeds of workers, 1 being the usual one."""

    def __init__(self):
        self.compared_at: dict[StepRun, BootSeconds] = {}

    def compare(self, step: StepRun, now: BootSeconds):
        """Compare the progress of a step's tasks on their workers.

        The step's own pace is the middle one after the workers' believed speeds are
        taken out, so that one step on fast workers makes no usual one look slow.
        """
        if now - self.compared_at.get(step, BootSeconds(0.0)) < COMPARE_SECONDS:
            return
        self.compared_at[step] = now
        paces = self._paces(step)
        if len(paces) < LEAST_WORKERS:
            return
        usual = statistics.median(
            pace / estimated_speed(worker, now) for worker, pace in paces.items()
        )
        if usual <= 0:
            return
        for worker, pace in paces.items():
            seen = pace / usual
            worker.speed += NEWEST_WEIGHT * (seen - worker.speed)
            worker.speed_measured_at = now

    def forget(self, step: StepRun):
        """Drop what is kept for a step that has ended."""
        self.compared_at.pop(step, None)

    def _paces(self, step: StepRun) -> dict[Worker, float]:
        """Return the percent a second that a step's runs make on each worker."""
        found: dict[Worker, list[float]] = {}
        for task in step.tasks:
            if self._is_comparable(task):
                found.setdefault(task.worker, []).append(self._rate(task))
        if not any(rate for rates in found.values() for rate in rates):
            return {}
        return {worker: statistics.mean(rates) for worker, rates in found.items()}

    def _is_comparable(self, task: Task) -> bool:
        """Tell whether a run's progress shows how fast its worker is."""
        if task.status is not TaskStatus.RUNNING or not task.baseline_at:
            return False
        if task.pace < FULL_PACE or task.resumed:
            return False
        if task.progress_rate is None and self._is_young(task):
            return False
        shape = task.step.shape
        return not shape.data_rack or task.worker.rack == shape.data_rack

    def _is_young(self, task: Task) -> bool:
        """Tell whether a run has had no time to show progress."""
        if task.percent > 0:
            return True
        return task.reported_at - self._began_at(task.step) < LEAST_SECONDS

    def _rate(self, task: Task) -> float:
        """Return a run's rate of late, or the whole run's if it waits for others."""
        if task.percent < DONE_PERCENT:
            return task.progress_rate or 0.0
        seconds = max(
            task.percent_changed_at - self._began_at(task.step), LEAST_SECONDS
        )
        return (DONE_PERCENT - task.baseline_percent) / seconds

    def _began_at(self, step: StepRun) -> BootSeconds:
        """Return when a gang began: it works only once all its members are there."""
        return max(task.baseline_at for task in step.tasks)


def estimated_speed(worker: Worker, now: float) -> float:
    """Return a worker's speed as far as it was seen of late."""
    if (
        now - worker.speed_measured_at > SPEED_VALID_SECONDS
        and worker.speed < SICK_SPEED
    ):
        return 1.0
    return max(worker.speed, 0.05)


def is_slow(worker: Worker, now: float) -> bool:
    """Tell whether a worker is so slow that it is taken to be sick."""
    return estimated_speed(worker, now) < SICK_SPEED


def should_restart(task: Task, forecast: Forecast) -> bool:
    """Tell whether a run on a crawling worker is of more use if it starts elsewhere."""
    if task.status is not TaskStatus.RUNNING or task.step.shape.long_running:
        return False
    if not is_slow(task.worker, forecast.now):
        return False
    step, durations = task.step, forecast.durations
    whole = durations.task(step.job.submission.queue, step.shape)
    rest = whole * (1 - task.percent / DONE_PERCENT)
    here = min(forecast.remaining(task), PASSES_SECONDS + rest)
    again = RESTART_SECONDS + (rest if step.shape.checkpointing else whole)
    if here < WORTH_RESTARTING * again:
        return False
    # What is on time as it is loses nothing by a slow worker.
    on_time = timeliness(step, forecast.now + here, durations) is Timeliness.ON_TIME
    return not on_time
