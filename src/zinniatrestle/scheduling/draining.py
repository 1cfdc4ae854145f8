"""Move work off workers that leave before it can end there."""

from zinniatrestle.deployment import Bounds
from zinniatrestle.scheduling.forecast import Forecast
from zinniatrestle.scheduling.placement import PlacementConstraints, candidates
from zinniatrestle.scheduling.state import StepRun, Task, TaskStatus, Worker

# s; by so much what a run still needs may be underestimated.
ESTIMATE_MARGIN_SECONDS = 0.3
# s; orders and their answers take so long at most, while nothing is wrong.
ORDER_LATENCY_SECONDS = 0.3


def interrupted_tasks(worker: Worker, forecast: Forecast) -> list[Task]:
    """Return the runs that a leaving worker will cut off."""
    found: list[Task] = []
    if worker.drain_deadline is None or worker.has_ended:
        return found
    left = worker.drain_deadline - forecast.now
    for task in worker.tasks.values():
        if task.status not in (TaskStatus.PLACED, TaskStatus.RUNNING):
            continue
        if task.step.shape.long_running:
            found.append(task)
            continue
        if forecast.remaining(task) + ESTIMATE_MARGIN_SECONDS > left:
            found.append(task)
    return found


def should_move(
    task: Task,
    workers: list[Worker],
    constraints: PlacementConstraints,
    bounds: Bounds,
    now: float,
) -> bool:
    """Tell whether to stop a run now that its worker would cut off.

    What has no checkpoints can't save anything by going on. The rest goes on until the
    last moment, unless there is room for it elsewhere.
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
    """Tell whether some tasks of a step fit elsewhere right now."""
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
