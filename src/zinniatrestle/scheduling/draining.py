"""Migrate runs off draining workers that would shut down before the runs end."""

from zinniatrestle.deployment import Bounds
from zinniatrestle.scheduling.forecast import Forecast
from zinniatrestle.scheduling.placement import PlacementConstraints, candidates
from zinniatrestle.scheduling.state import StepRun, Task, TaskStatus, Worker

# Margin for underestimates of the time that a run still needs.
ESTIMATE_MARGIN_SECONDS = 0.3
# Longest round trip of an order in normal operation.
ORDER_LATENCY_SECONDS = 0.3


def interrupted_tasks(worker: Worker, forecast: Forecast) -> list[Task]:
    """Return the tasks whose runs a draining worker would interrupt."""
    interrupted: list[Task] = []
    if worker.drain_deadline is None or worker.has_ended:
        return interrupted
    remaining_seconds = worker.drain_deadline - forecast.now
    for task in worker.tasks.values():
        if task.status not in (TaskStatus.PLACED, TaskStatus.RUNNING):
            continue
        if task.step.shape.long_running:
            interrupted.append(task)
            continue
        if forecast.remaining(task) + ESTIMATE_MARGIN_SECONDS > remaining_seconds:
            interrupted.append(task)
    return interrupted


def should_move(
    task: Task,
    workers: list[Worker],
    constraints: PlacementConstraints,
    bounds: Bounds,
    now: float,
) -> bool:
    """Return whether to stop a run now that its draining worker would interrupt.

    A run without checkpoints is stopped at once, since whatever more it does would be
    lost. Runs with checkpoints and long-running ones continue until just enough time
    is left to stop them, unless they fit on other workers.
    """
    step = task.step
    if not step.shape.checkpointing and not step.shape.long_running:
        return True
    if task.worker.drain_deadline - now < bounds.stop + 2 * ORDER_LATENCY_SECONDS:
        return True
    leaving = [task]
    if step.shape.gang:
        leaving = [member for member in step.tasks if _is_leaving(member)]
    return has_room(step, leaving, workers, constraints)


def has_room(
    step: StepRun,
    tasks: list[Task],
    workers: list[Worker],
    constraints: PlacementConstraints,
) -> bool:
    """Return whether the given tasks of a step fit on the candidate workers."""
    free = 0
    for worker in candidates(step, workers, constraints):
        free += worker.slots(step)
        if free >= len(tasks):
            return True
    return False


def _is_leaving(task: Task) -> bool:
    worker = task.worker
    return (
        task.is_allocated and worker is not None and worker.drain_deadline is not None
    )
