"""Choose workers for the tasks of a step."""

from abc import ABC, abstractmethod
from collections.abc import Iterable
from dataclasses import dataclass, field

from zinniatrestle.ids import (
    FailureDomainId,
    RackId,
    RegionId,
    ServiceName,
    WorkerId,
)
from zinniatrestle.scheduling.speeds import estimated_speed, is_slow
from zinniatrestle.scheduling.state import (
    StepRun,
    Task,
    Worker,
    WorkerHealth,
)

# Speeds that differ by less count as equal, since they are told by whole percents.
SPEED_STEP = 0.2


@dataclass
class PlacementConstraints:
    """Where the tasks of a step may run."""

    service: ServiceName
    regions: frozenset[RegionId] = frozenset()
    evacuated: set[FailureDomainId] = field(default_factory=set)
    # Tickets of the workers that an advice service allows; None: all are allowed.
    tickets: dict[WorkerId, str] | None = None
    # As of when speeds are believed, in boot seconds.
    now: float = 0.0
    # The step has less time to spare than it runs, so that fast workers matter.
    time_critical: bool = False
    # Whether a place far from the data, or on several racks, is better than waiting.
    ignore_locality: bool = False


Assignment = dict[Task, Worker]


def permitted(worker: Worker, step: StepRun, constraints: PlacementConstraints) -> bool:
    """Tell whether a step may run at a worker at all, room and health aside."""
    entry = worker.entry
    if entry.service != constraints.service or entry.domain in constraints.evacuated:
        return False
    if constraints.regions and worker.region not in constraints.regions:
        return False
    if step.shape.label and step.shape.label not in entry.labels:
        return False
    if constraints.tickets is not None and worker.id not in constraints.tickets:
        return False
    return worker.usable()


def candidates(
    step: StepRun, workers: list[Worker], constraints: PlacementConstraints
) -> list[Worker]:
    """Return the workers to consider, room aside.

    Workers on which a task of the step failed or stood still, and those that crawl, are
    left out as long as the others could hold the step if they were empty.
    """
    avoided: set[WorkerId] = set()
    for task in step.tasks:
        avoided |= task.avoided_workers
    usable = [worker for worker in workers if permitted(worker, step, constraints)]
    others = [
        worker
        for worker in usable
        if worker.id not in avoided and not is_slow(worker, constraints.now)
    ]
    if len(others) < len(usable):
        needed = step.shape.count if step.shape.gang else 1
        if sum(empty_slots(worker, step) for worker in others) >= needed:
            usable = others
    return [
        worker for worker in usable if worker.health is not WorkerHealth.QUARANTINED
    ]


def by_rack(workers: Iterable[Worker]) -> dict[RackId, list[Worker]]:
    """Group workers by rack."""
    racks: dict[RackId, list[Worker]] = {}
    for worker in workers:
        racks.setdefault(worker.rack, []).append(worker)
    return racks


def fits_rack(step: StepRun, workers: list[Worker]) -> bool:
    """Tell whether a rack could hold all tasks of a step if it were empty."""
    return sum(empty_slots(worker, step) for worker in workers) >= step.shape.count


def empty_slots(worker: Worker, step: StepRun) -> int:
    """Return how many tasks of a step a worker holds when nothing else is there."""
    shape, entry = step.shape, worker.entry
    most = shape.count
    if shape.cpu and not shape.best_effort:
        most = min(most, entry.cpu // shape.cpu)
    if shape.memory_mb:
        most = min(most, entry.memory_mb // shape.memory_mb)
    if shape.gpus:
        most = min(most, entry.gpus // shape.gpus)
    if shape.max_per_worker:
        most = min(most, shape.max_per_worker)
    return most


def is_remote(step: StepRun) -> bool:
    """Tell whether a step runs away from its data, or on several racks in vain."""
    shape = step.shape
    racks = {task.worker.rack for task in step.tasks if task.worker is not None}
    if shape.data_rack and racks - {shape.data_rack}:
        return True
    return shape.rack_bound and len(racks) > 1


def groups(
    step: StepRun, workers: list[Worker], constraints: PlacementConstraints
) -> list[list[Worker]]:
    """Return sets of workers in which a step runs at full speed, best first.

    The last set is all workers, if running slower there is better than waiting.
    """
    shape = step.shape
    racks = by_rack(workers)
    found: list[list[Worker]] = []
    if shape.data_rack:
        near = racks.get(shape.data_rack, [])
        if near and (not shape.rack_bound or fits_rack(step, near)):
            found.append(near)
    elif shape.rack_bound and shape.count > 1:
        found = [rack for rack in racks.values() if fits_rack(step, rack)]
    else:
        return [workers]
    if not found or constraints.ignore_locality:
        found.append(workers)
    return found


class PlacementPolicy(ABC):
    """Choose workers for the waiting tasks of a step."""

    @abstractmethod
    def place(
        self,
        step: StepRun,
        tasks: list[Task],
        workers: list[Worker],
        constraints: PlacementConstraints,
    ) -> Assignment:
        """Return a place for all tasks of a gang or none, else for as many as fit."""


class BestFit(PlacementPolicy):
    """Fill the fullest workers and racks first, so that whole ones stay free."""

    def place(
        self,
        step: StepRun,
        tasks: list[Task],
        workers: list[Worker],
        constraints: PlacementConstraints,
    ) -> Assignment:
        """Return a place for all tasks of a gang or none, else for as many as fit."""
        usable = candidates(step, workers, constraints)
        found = self._choose(step, tasks, usable, constraints, trusting=False)
        if found or not step.shape.gang:
            return found
        # Wide work can't wait until small work has shown that each worker is sound.
        return self._choose(step, tasks, usable, constraints, trusting=True)

    def _choose(
        self,
        step: StepRun,
        tasks: list[Task],
        usable: list[Worker],
        constraints: PlacementConstraints,
        trusting: bool,
    ) -> Assignment:
        best: Assignment = {}
        best_left = 0
        for group in groups(step, usable, constraints):
            slots = {worker: _slots(worker, step, trusting) for worker in group}
            total = sum(slots.values())
            if step.shape.gang and total < len(tasks):
                continue
            if not total:
                continue
            left = sum(worker.free_gpus for worker in group)
            if best and len(best) >= min(total, len(tasks)) and left >= best_left:
                continue
            if best and group is usable:
                continue
            best = _fill(tasks, slots, constraints)
            best_left = left
        return best


class FirstFit(PlacementPolicy):
    """Take the first workers with room, as a baseline."""

    def place(
        self,
        step: StepRun,
        tasks: list[Task],
        workers: list[Worker],
        constraints: PlacementConstraints,
    ) -> Assignment:
        """Return a place for all tasks of a gang or none, else for as many as fit."""
        slots = {}
        for worker in workers:
            if permitted(worker, step, constraints):
                slots[worker] = worker.slots(step)
        if step.shape.gang and sum(slots.values()) < len(tasks):
            return {}
        chosen = iter(tasks)
        found: Assignment = {}
        for worker, count in slots.items():
            for _ in range(count):
                task = next(chosen, None)
                if task is None:
                    return found
                found[task] = worker
        return found


def _speed_class(worker: Worker, constraints: PlacementConstraints) -> int:
    return round(estimated_speed(worker, constraints.now) / SPEED_STEP)


def _slots(worker: Worker, step: StepRun, trusting: bool) -> int:
    slots = worker.slots(step)
    if worker.health is WorkerHealth.CANARY and not trusting:
        # A gang would be lost as a whole by one sick worker.
        return 0 if (step.shape.gang and step.shape.count > 1) or worker.tasks else 1
    return slots


def _fill(
    tasks: list[Task], slots: dict[Worker, int], constraints: PlacementConstraints
) -> Assignment:
    """Assign tasks, workers in use first, and those of the fullest racks.

    What is in a hurry goes to the fastest workers first.
    """
    rack_free: dict[RackId, int] = {}
    for worker in slots:
        rack_free[worker.rack] = rack_free.get(worker.rack, 0) + worker.free_gpus
    ranked = sorted(
        (worker for worker, count in slots.items() if count),
        key=lambda worker: (
            worker.health is WorkerHealth.CANARY,
            -_speed_class(worker, constraints) if constraints.time_critical else 0,
            not worker.tasks,
            rack_free[worker.rack],
            worker.free_gpus,
            worker.free_cpu,
            worker.id,
        ),
    )
    chosen = iter(tasks)
    found: Assignment = {}
    for worker in ranked:
        for _ in range(slots[worker]):
            task = next(chosen, None)
            if task is None:
                return found
            found[task] = worker
    return found
