"""Slow down the tasks that fill before they harm the tasks that serve."""

from zinniatrestle.ids import BootSeconds
from zinniatrestle.scheduling.state import Task, TaskStatus, Worker

# Share of its bound at which a serving task's tail makes the fills beside it slower.
HIGH_TAIL = 0.75
# Share below which they may become faster again.
LOW_TAIL = 0.5
# Percent by which a fill becomes faster at a time.
STEP_UP = 20
# s; the least time between two steps up.
STEP_SECONDS = 1.5
# The share of its speed that a fill keeps when a tail is high but not over its bound.
SLOW_DOWN = 0.4
FULL = 100


class PaceController:
    """Choose the pace of the fills of one worker."""

    def __init__(self):
        self.raised_at: dict[Worker, BootSeconds] = {}

    def choose_paces(
        self, worker: Worker, figures: dict[Task, float], now: BootSeconds
    ) -> dict[Task, int]:
        """Return the fills whose pace is to change, with the percent."""
        serving = []
        fills = []
        for task in worker.tasks.values():
            if task.status is not TaskStatus.RUNNING:
                continue
            if task.step.shape.best_effort:
                fills.append(task)
                continue
            if task.step.shape.target_ms:
                serving.append(task)
        if not fills:
            return {}
        worst = 0.0
        for task in serving:
            tail = figures.get(task, 0.0) / task.step.shape.target_ms
            worst = max(worst, tail)
        if worst >= 1.0:
            self.raised_at[worker] = now
            return {task: 0 for task in fills if task.pace > 0}
        if worst >= HIGH_TAIL:
            self.raised_at[worker] = now
            slower = {}
            for task in fills:
                if task.pace > 0:
                    slower[task] = int(task.pace * SLOW_DOWN)
            return slower
        if worst > LOW_TAIL:
            return {}
        if now - self.raised_at.get(worker, BootSeconds(0.0)) < STEP_SECONDS:
            return {}
        self.raised_at[worker] = now
        faster = {}
        for task in fills:
            if task.pace < FULL:
                faster[task] = min(FULL, task.pace + STEP_UP)
        return faster
