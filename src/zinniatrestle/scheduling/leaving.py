"""Move work off workers that leave before it can end there."""

from zinniatrestle.deployment import Bounds
from zinniatrestle.scheduling.forecast import Forecast
from zinniatrestle.scheduling.placement import Terms, candidates
from zinniatrestle.scheduling.state import StepRun, Task, TaskStatus, Worker

# s; by so much what a run still needs may be underestimated.
ESTIMATE_SECONDS = 0.3
# s; orders and their answers take so long at most, while nothing is wrong.
ORDER_SECONDS = 0.3


def cut_off(worker: Worker, forecast: Forecast) -> list[Task]:
    """Return the runs that a leaving worker will cut off."""
    found: list[Task] = []
    if worker.leaves_at is None or worker.over:
        return found
    left = worker.leaves_at - forecast.now
    for task in worker.tasks.values():
        if task.status not in (TaskStatus.PLACED, TaskStatus.RUNNING):
            continue
        if task.step.shape.lasting:
            found.append(task)
            continue
        if forecast.remaining(task) + ESTIMATE_SECONDS > left:
            found.append(task)
    return found


def should_move(
    task: Task, workers: list[Worker], terms: Terms, bounds: Bounds, now: float
) -> bool:
    """Tell whether to stop a run now that its worker would cut off.

    What has no checkpoints can't save anything by going on. The rest goes on until the
    last moment, unless there is room for it elsewhere.
    """
    step = task.step
    if not step.shape.checkpointing and not step.shape.lasting:
        return True
    if task.worker.leaves_at - now < bounds.stop + 2 * ORDER_SECONDS:
        return True
    return _has_room(step, workers, terms)


def _has_room(step: StepRun, workers: list[Worker], terms: Terms) -> bool:
    """Tell whether the members on leaving workers fit elsewhere right now."""
    leaving = 0
    for member in step.tasks:
        worker = member.worker
        if member.occupies and worker and worker.leaves_at is not None:
            leaving += 1
    if not step.shape.gang:
        leaving = 1
    free = 0
    for worker in candidates(step, workers, terms):
        free += worker.slots(step)
        if free >= leaving:
            return True
    return False
