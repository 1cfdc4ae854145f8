"""Decide which runs away from their data to restart near it, once there is room."""

from zinniatrestle.deployment import Bounds
from zinniatrestle.ids import RackId
from zinniatrestle.scheduling.health import all_running
from zinniatrestle.scheduling.placement import (
    PlacementConstraints,
    candidates,
    group_by_rack,
)
from zinniatrestle.scheduling.speeds import MIN_RESTART_GAIN, RESTART_SECONDS
from zinniatrestle.scheduling.state import (
    DONE_PERCENT,
    StepRun,
    Task,
    TaskStatus,
    Worker,
    WorkerHealth,
)

# A moved task may run away from its data again, if others take the room before it.
MAX_MOVES = 2


def tasks_to_move_near(
    step: StepRun,
    workers: list[Worker],
    constraints: PlacementConstraints,
    bounds: Bounds,
) -> list[Task]:
    """Return the tasks of a step, or its whole gang, to restart near the data now.

    `workers` are those that the step may use without a delay of others.
    """
    shape = step.shape
    if shape.long_running or not (shape.data_rack or shape.rack_bound):
        return []
    if shape.gang:
        return _gang_to_move(step, workers, constraints, bounds)
    remote = [
        task
        for task in step.tasks
        if shape.data_rack
        and _is_away(task)
        and _gains(task, bounds.far_factor, bounds)
    ]
    if not remote:
        return []
    slots = 0
    for worker in _healthy_by_rack(step, workers, constraints).get(shape.data_rack, ()):
        slots += worker.slots(step)
    remote.sort(key=lambda task: (task.percent, task.index))
    return remote[:slots]


def _gang_to_move(
    step: StepRun,
    workers: list[Worker],
    constraints: PlacementConstraints,
    bounds: Bounds,
) -> list[Task]:
    """Return the members of a gang that one rack would speed up and can hold now."""
    shape, tasks = step.shape, step.tasks
    slowdown = _gang_slowdown(step, bounds)
    if slowdown == 1.0 or not all_running(tasks):
        return []
    if any(task.worker.silent for task in tasks):
        return []
    slowest = min(tasks, key=lambda task: task.percent)
    if not _gains(slowest, slowdown, bounds):
        return []
    for rack, in_rack in _healthy_by_rack(step, workers, constraints).items():
        if shape.data_rack and rack != shape.data_rack:
            continue
        # Its members there make room when they are stopped.
        slots = sum(task.worker in in_rack for task in tasks)
        slots += sum(worker.slots(step) for worker in in_rack)
        if slots >= shape.count:
            return list(tasks)
    return []


def _gang_slowdown(step: StepRun, bounds: Bounds) -> float:
    """Return by which factor a gang is slower than in one rack, that of its data."""
    slowdown = 1.0
    racks = {task.worker.rack for task in step.tasks if task.worker is not None}
    if step.shape.data_rack and racks - {step.shape.data_rack}:
        slowdown *= bounds.far_factor
    if step.shape.rack_bound and len(racks) > 1:
        slowdown *= bounds.far_factor
    return slowdown


def _is_away(task: Task) -> bool:
    """Return whether a task runs in another rack than that of its data."""
    if task.status is not TaskStatus.RUNNING or task.worker.silent:
        return False
    return task.worker.rack != task.step.shape.data_rack


def _gains(task: Task, slowdown: float, bounds: Bounds) -> bool:
    """Return whether a run would end much sooner if it were restarted near its data.

    By its progress so far it would be `slowdown` times as fast there.
    """
    if task.moves >= MAX_MOVES or not task.progress_rate:
        return False
    remaining_percent = DONE_PERCENT - task.percent
    seconds_here = remaining_percent / task.progress_rate
    repeated_percent = DONE_PERCENT
    if task.step.shape.checkpointing:
        repeated_percent = remaining_percent
    seconds_near = repeated_percent / task.progress_rate / slowdown
    overhead = bounds.stop + RESTART_SECONDS
    return seconds_here >= MIN_RESTART_GAIN * (overhead + seconds_near)


def _healthy_by_rack(
    step: StepRun, workers: list[Worker], constraints: PlacementConstraints
) -> dict[RackId, list[Worker]]:
    """Return the workers that a step prefers, by rack."""
    healthy = []
    for worker in candidates(step, workers, constraints):
        if worker.health is WorkerHealth.SOUND:
            healthy.append(worker)
    return group_by_rack(healthy)
