"""Throttle best-effort tasks before they harm the latency of serving tasks."""

from zinniatrestle.ids import BootSeconds
from zinniatrestle.scheduling.state import (
    FULL_PACE_PERCENT,
    Task,
    TaskStatus,
    Worker,
)

# Ratio of a serving task's tail latency to its target at which the best-effort tasks
# on its worker are slowed down.
HIGH_LATENCY_RATIO = 0.75
# Ratio up to which they may speed up again.
LOW_LATENCY_RATIO = 0.5
# Percentage points added to the pace of a best-effort task at a time.
INCREASE_PERCENT = 20
# Minimum time between two increases, and between a reduction and an increase.
INCREASE_INTERVAL_SECONDS = 1.5
# Share of its pace that a best-effort task keeps when a latency is high but within
# its target.
REDUCTION_FACTOR = 0.4


class PaceController:
    """Choose the pace of best-effort tasks from the latency of serving tasks."""

    def __init__(self):
        self.last_adjusted_at: dict[Worker, BootSeconds] = {}

    def choose_paces(
        self, worker: Worker, tail_latencies_ms: dict[Task, float], now: BootSeconds
    ) -> dict[Task, int]:
        """Return the best-effort tasks whose pace is to change, with it in percent.

        `tail_latencies_ms` holds what the worker reported for its serving tasks. A
        latency at or above its target suspends the best-effort tasks. A task whose pace
        is unknown gets one that harms no serving task.
        """
        serving = []
        best_effort_tasks = []
        for task in worker.tasks.values():
            if task.status is not TaskStatus.RUNNING:
                continue
            if task.step.shape.best_effort:
                best_effort_tasks.append(task)
                continue
            if task.step.shape.target_ms:
                serving.append(task)
        if not best_effort_tasks:
            return {}
        worst_ratio = 0.0
        for task in serving:
            ratio = tail_latencies_ms.get(task, 0.0) / task.step.shape.target_ms
            worst_ratio = max(worst_ratio, ratio)
        if worst_ratio >= 1.0:
            self.last_adjusted_at[worker] = now
            return {task: 0 for task in best_effort_tasks if task.pace != 0}
        if worst_ratio >= HIGH_LATENCY_RATIO:
            self.last_adjusted_at[worker] = now
            slower = {}
            for task in best_effort_tasks:
                if task.pace != 0:
                    slower[task] = int((task.pace or 0) * REDUCTION_FACTOR)
            return slower
        if worst_ratio > LOW_LATENCY_RATIO:
            return {}
        if (
            now - self.last_adjusted_at.get(worker, BootSeconds(0.0))
            < INCREASE_INTERVAL_SECONDS
        ):
            return {}
        self.last_adjusted_at[worker] = now
        faster = {}
        for task in best_effort_tasks:
            if not task.is_slowed:
                continue
            pace = (task.pace or 0) + INCREASE_PERCENT
            if task.pace is None and not serving:
                pace = FULL_PACE_PERCENT
            faster[task] = min(FULL_PACE_PERCENT, pace)
        return faster
