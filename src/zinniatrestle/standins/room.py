"""Free capacity of the workers of a model, as the workers see it."""

from collections.abc import Iterator

from zinniatrestle.ids import FailureDomainId, RowName, TaskId
from zinniatrestle.jobs.messages import Step
from zinniatrestle.standins.fleet import WORKER_TABLE
from zinniatrestle.standins.model import Model
from zinniatrestle.standins.operator import EVACUATION_PREFIX, OPERATOR_TABLE
from zinniatrestle.standins.runs import FaultMode, SimulatedWorker, step_of
from zinniatrestle.workers.messages import WorkerState

# A step could run if there is room for this many times what it needs to start.
ROOM_FACTOR = 2
# A service is idle while a smaller share of its capacity is in use.
BUSY_SHARE = 0.5
# Thousandths of a core to which one accelerator is equated in a worker's capacity.
ACCELERATOR_MILLICORES = 8000
# Fault modes in which a worker's free capacity is of no use to a task.
UNFIT_MODES = frozenset({FaultMode.FAILS, FaultMode.HANGS, FaultMode.SHEDS})


def live_workers(model: Model) -> Iterator[SimulatedWorker]:
    """Return the workers whose processes run."""
    for worker in model.fleet.workers.values():
        if worker.alive:
            yield worker


def usable_workers(model: Model) -> list[SimulatedWorker]:
    """Return the workers whose free capacity every host may use."""
    return [worker for worker in live_workers(model) if _is_usable(model, worker)]


def is_idle(model: Model) -> bool:
    """Return whether less than `BUSY_SHARE` of the capacity of all is in use."""
    capacity = used = 0
    for worker in live_workers(model):
        entry = worker.entry
        capacity += entry.cpu + entry.gpus * ACCELERATOR_MILLICORES
        for run in worker.running.values():
            used += counted_cpu(run.shape) + run.shape.gpus * ACCELERATOR_MILLICORES
    return used < BUSY_SHARE * capacity


def has_ample_room(
    workers: list[SimulatedWorker], shape: Step, tasks: list[TaskId]
) -> bool:
    """Return whether tasks of a step, all of a gang, fit `ROOM_FACTOR` times."""
    needed = ROOM_FACTOR * (shape.count if shape.gang else 1)
    slots = 0
    for worker in workers:
        slots += _slots(worker, shape, step_of(tasks[0]))
    return slots >= needed


def counted_cpu(shape: Step) -> int:
    """Return the capacity that a task takes; one at best effort takes none."""
    return 0 if shape.best_effort else shape.cpu


def _is_usable(model: Model, worker: SimulatedWorker) -> bool:
    entry = worker.entry
    if not worker.reachable or worker.answers_lost or worker.reset_share:
        return False
    if worker.fault_mode in UNFIT_MODES:
        return False
    if entry.state is not WorkerState.READY:
        return False
    if model.rows.row(WORKER_TABLE, RowName(entry.worker)) is None:
        return False
    if any(name == entry.worker for _, name in model.fleet.partitions):
        return False
    return not _is_evacuated(model, entry.domain)


def _is_evacuated(model: Model, domain: FailureDomainId) -> bool:
    name = RowName(EVACUATION_PREFIX + domain)
    return model.rows.row(OPERATOR_TABLE, name) is not None


def _slots(worker: SimulatedWorker, shape: Step, step: str) -> int:
    """Return how many tasks of a step fit on a worker beside what runs there."""
    runs = [run.shape for run in worker.running.values()]
    slots = ROOM_FACTOR * shape.count
    if counted_cpu(shape):
        free_cpu = worker.entry.cpu - sum(counted_cpu(run) for run in runs)
        slots = min(slots, free_cpu // shape.cpu)
    if shape.memory_mb:
        free_memory = worker.entry.memory_mb - sum(run.memory_mb for run in runs)
        slots = min(slots, free_memory // shape.memory_mb)
    if shape.gpus:
        free_gpus = worker.entry.gpus - sum(run.gpus for run in runs)
        slots = min(slots, free_gpus // shape.gpus)
    if shape.max_per_worker:
        on_worker = sum(step_of(task) == step for task in worker.running)
        slots = min(slots, shape.max_per_worker - on_worker)
    return max(0, slots)
