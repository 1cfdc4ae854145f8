"""Choose workers for the tasks of a step."""

import heapq
from abc import ABC, abstractmethod
from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import Enum

from zinniatrestle.ids import (
    FailureDomainId,
    RackId,
    RegionId,
    ServiceName,
    WorkerId,
)
from zinniatrestle.scheduling.packing import (
    Packing,
    free_capacity,
    needs_of,
    total_capacity,
)
from zinniatrestle.scheduling.reliability import Reliability
from zinniatrestle.scheduling.speeds import (
    SPEED_VALID_SECONDS,
    estimated_speed,
    slow_workers,
)
from zinniatrestle.scheduling.state import (
    StepRun,
    Task,
    Worker,
    WorkerHealth,
)

# Speeds are rounded to multiples of this before workers are ranked by them: they are
# estimated from progress in whole percents, too coarse to tell smaller differences.
SPEED_CLASS_WIDTH = 0.2
# A worker below this speed is more likely impaired than slow by nature, and not one to
# send work to that could run elsewhere.
MIN_SOUND_SPEED = 0.7


class WorkerChoice(Enum):
    """Which of the permitted workers a step may use, from the strictest choice on."""

    # Those not in quarantine. Slow ones, and ones that the step avoids, only if the
    # others could not hold it.
    PREFERRED = "preferred"
    # Also slow ones and ones that the step avoids, if no fault of them is known.
    SOUND = "sound"
    # Also those in quarantine, but none on which the step has failed.
    UNTRIED = "untried"
    PERMITTED = "permitted"


UNHEALTHY_CHOICES = frozenset({WorkerChoice.UNTRIED, WorkerChoice.PERMITTED})


@dataclass
class PlacementConstraints:
    """Where the tasks of a step may run."""

    service: ServiceName
    # None: all.
    regions: frozenset[RegionId] | None = None
    evacuated: set[FailureDomainId] = field(default_factory=set)
    # Tickets of the workers that an advice service allows; None: all are allowed.
    tickets: dict[WorkerId, str] | None = None
    # Time at which worker speeds are estimated, in boot seconds.
    now: float = 0.0
    # The workers that are slow at that time; None: not looked up yet.
    slow: frozenset[Worker] | None = None
    # The step has less slack than run time, so that fast workers are preferred.
    time_critical: bool = False
    # The step has slack and can leave the fast workers to urgent steps.
    prefers_slow: bool = False
    # Running away from the data, or on several racks, is better than waiting.
    ignore_locality: bool = False
    choice: WorkerChoice = WorkerChoice.PREFERRED
    # What is known of the workers' reliability; None: nothing.
    reliability: Reliability | None = None
    # How long a run of the step is expected to take.
    run_seconds: float = 0.0
    # Ranks workers by fragmentation; None: the measured state doesn't call for it.
    packing: Packing | None = None


Assignment = dict[Task, Worker]


def is_allowed(
    worker: Worker, step: StepRun, constraints: PlacementConstraints
) -> bool:
    """Return whether a step may run on a worker once it is usable and has a ticket."""
    entry = worker.entry
    if entry.service != constraints.service or entry.domain in constraints.evacuated:
        return False
    if constraints.regions is not None and worker.region not in constraints.regions:
        return False
    return not step.shape.label or step.shape.label in entry.labels


def is_permitted(
    worker: Worker, step: StepRun, constraints: PlacementConstraints
) -> bool:
    """Return whether a step may run on a worker, free capacity and health aside."""
    if constraints.tickets is not None and worker.id not in constraints.tickets:
        return False
    return is_allowed(worker, step, constraints) and worker.usable()


def candidates(
    step: StepRun, workers: list[Worker], constraints: PlacementConstraints
) -> list[Worker]:
    """Return the workers to consider for a step, free capacity aside.

    A step avoids workers on which a task of it failed or stalled or was just refused.
    """
    usable = [worker for worker in workers if is_permitted(worker, step, constraints)]
    if constraints.choice is WorkerChoice.PERMITTED:
        return usable
    if constraints.choice is WorkerChoice.SOUND:
        return [worker for worker in usable if worker.health is WorkerHealth.SOUND]
    avoided = step.avoided_workers(constraints.now)
    if constraints.choice is WorkerChoice.UNTRIED:
        return [worker for worker in usable if worker.id not in avoided]
    usable = [
        worker for worker in usable if worker.health is not WorkerHealth.QUARANTINED
    ]
    slow = constraints.slow
    if slow is None:
        slow = slow_workers(usable, constraints.now)
    if not avoided and not slow:
        return usable
    preferred = [
        worker for worker in usable if worker.id not in avoided and worker not in slow
    ]
    if len(preferred) < len(usable):
        needed = step.shape.count if step.shape.gang else 1
        if sum(slots_when_empty(worker, step) for worker in preferred) >= needed:
            usable = preferred
    return usable


def group_by_rack(workers: Iterable[Worker]) -> dict[RackId, list[Worker]]:
    """Group workers by rack."""
    workers_by_rack: dict[RackId, list[Worker]] = {}
    for worker in workers:
        workers_by_rack.setdefault(worker.rack, []).append(worker)
    return workers_by_rack


def fits_in_rack(step: StepRun, workers: list[Worker]) -> bool:
    """Return whether the workers of a rack could hold a whole step when empty."""
    return sum(slots_when_empty(worker, step) for worker in workers) >= step.shape.count


def can_run_near_data(step: StepRun, workers: list[Worker]) -> bool:
    """Return whether the workers of the data's rack could run a step when empty.

    A step that is neither a gang nor bound to a rack runs there task by task.
    """
    if step.shape.gang or step.shape.rack_bound:
        return fits_in_rack(step, workers)
    return any(slots_when_empty(worker, step) for worker in workers)


def slots_when_empty(worker: Worker, step: StepRun) -> int:
    """Return how many tasks of a step fit on a worker once all runs that end have."""
    shape = step.shape
    max_slots = shape.fitting(
        worker.unpinned_cpu, worker.unpinned_memory, worker.unpinned_gpus
    )
    if shape.max_per_worker:
        max_slots = min(max_slots, shape.max_per_worker)
    return max(0, max_slots)


def has_free_slots(step: StepRun, count: int, workers: list[Worker]) -> bool:
    """Return whether `count` tasks of a gang, or one of another step, may fit now.

    That is by free capacity alone, which is cheaper to see than where a step may run.
    """
    needed = count if step.shape.gang else 1
    gpus = step.shape.gpus
    slots = 0
    for worker in workers:
        if gpus and worker.free_gpus < gpus:
            continue
        slots += worker.slots(step)
        if slots >= needed:
            return True
    return False


def is_remote(step: StepRun) -> bool:
    """Return whether a step runs without the locality that it needs for full speed.

    That is outside the rack of its data or, for a rack-bound step, on several racks.
    """
    shape = step.shape
    if not (shape.data_rack or shape.rack_bound):
        return False
    racks = {task.worker.rack for task in step.tasks if task.worker is not None}
    if shape.data_rack and racks - {shape.data_rack}:
        return True
    return shape.rack_bound and len(racks) > 1


def locality_groups(
    step: StepRun, workers: list[Worker], constraints: PlacementConstraints
) -> list[list[Worker]]:
    """Return groups of workers on which a step runs at full speed, best first.

    All `workers` are added as the last group if no rack qualifies, or if running slower
    is better than waiting.
    """
    shape = step.shape
    workers_by_rack = group_by_rack(workers)
    found: list[list[Worker]] = []
    if shape.data_rack:
        in_data_rack = workers_by_rack.get(shape.data_rack, [])
        if in_data_rack and (not shape.rack_bound or fits_in_rack(step, in_data_rack)):
            found.append(in_data_rack)
    elif shape.rack_bound and shape.count > 1:
        found = [rack for rack in workers_by_rack.values() if fits_in_rack(step, rack)]
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
        """Return an assignment of all tasks of a gang or none, else as many as fit."""


class BestFit(PlacementPolicy):
    """Fill the fullest racks and workers first, so that whole ones stay free."""

    def place(
        self,
        step: StepRun,
        tasks: list[Task],
        workers: list[Worker],
        constraints: PlacementConstraints,
    ) -> Assignment:
        """Return an assignment of all tasks of a gang or none, else as many as fit."""
        usable = candidates(step, workers, constraints)
        found = self._place_in_best_group(
            step, tasks, usable, constraints, trust_canaries=False
        )
        takes_unhealthy = constraints.choice in UNHEALTHY_CHOICES
        if found or not (step.shape.gang or takes_unhealthy):
            return found
        # A gang may use canaries rather than wait until small tasks have shown that
        # each of them is healthy.
        return self._place_in_best_group(
            step, tasks, usable, constraints, trust_canaries=True
        )

    def _place_in_best_group(
        self,
        step: StepRun,
        tasks: list[Task],
        usable: list[Worker],
        constraints: PlacementConstraints,
        trust_canaries: bool,
    ) -> Assignment:
        best: Assignment = {}
        best_free_gpus = best_risk = best_speed = 0
        ranks_by_speed = step.shape.gang and constraints.time_critical
        for group in locality_groups(step, usable, constraints):
            slots = {
                worker: _usable_slots(worker, step, trust_canaries) for worker in group
            }
            total_slots = sum(slots.values())
            if step.shape.gang and total_slots < len(tasks):
                continue
            if not total_slots:
                continue
            if best and group is usable:
                continue
            free_gpus = sum(worker.free_gpus for worker in group)
            if (
                best
                and len(best) >= min(total_slots, len(tasks))
                and free_gpus >= best_free_gpus
                and not best_risk
                and not ranks_by_speed
            ):
                continue
            found = _fill(tasks, slots, constraints)
            risk = max(
                _risk_class(worker, step, constraints) for worker in found.values()
            )
            speed = _slowest_speed_class(found, constraints) if ranks_by_speed else 0
            if best and (risk or ranks_by_speed):
                rank = (risk, -speed, free_gpus)
                if rank >= (best_risk, -best_speed, best_free_gpus):
                    continue
            best, best_free_gpus = found, free_gpus
            best_risk, best_speed = risk, speed
        return best


class FirstFit(PlacementPolicy):
    """Take the first workers with free slots; the baseline in experiments."""

    def place(
        self,
        step: StepRun,
        tasks: list[Task],
        workers: list[Worker],
        constraints: PlacementConstraints,
    ) -> Assignment:
        """Return an assignment of all tasks of a gang or none, else as many as fit."""
        slots = {}
        for worker in workers:
            if is_permitted(worker, step, constraints):
                slots[worker] = worker.slots(step)
        if step.shape.gang and sum(slots.values()) < len(tasks):
            return {}
        remaining_tasks = iter(tasks)
        found: Assignment = {}
        for worker, count in slots.items():
            for _ in range(count):
                task = next(remaining_tasks, None)
                if task is None:
                    return found
                found[task] = worker
        return found


def _speed_class(worker: Worker, constraints: PlacementConstraints) -> int:
    return round(estimated_speed(worker, constraints.now) / SPEED_CLASS_WIDTH)


def _speed_rank(worker: Worker, constraints: PlacementConstraints) -> int:
    """Return the rank of a worker by its speed, before whether it is in use.

    Time-critical steps prefer the fastest; less urgent ones avoid impaired workers.
    """
    if constraints.time_critical:
        return -_speed_class(worker, constraints)
    if not constraints.prefers_slow or worker.speed >= MIN_SOUND_SPEED:
        return 0
    return constraints.now - worker.speed_measured_at <= SPEED_VALID_SECONDS


def _slowest_speed_class(
    assignment: Assignment, constraints: PlacementConstraints
) -> int:
    """Return the speed class of the slowest worker, at whose speed a gang ends."""
    return min(_speed_class(worker, constraints) for worker in assignment.values())


def _usable_slots(worker: Worker, step: StepRun, trust_canaries: bool) -> int:
    slots = worker.slots(step)
    if worker.health is not WorkerHealth.SOUND and not trust_canaries:
        # One unhealthy worker would make the whole gang fail.
        is_unfit = (step.shape.gang and step.shape.count > 1) or worker.tasks
        return 0 if is_unfit else min(slots, 1)
    return slots


def _risk_class(
    worker: Worker, step: StepRun, constraints: PlacementConstraints
) -> int:
    """Return the risk class of a worker for a gang, which one lost member ends."""
    reliability = constraints.reliability
    if reliability is None or not step.shape.gang or step.shape.count == 1:
        return 0
    if not reliability.suspects and worker.drain_deadline is None:
        return 0
    return reliability.risk_class(
        worker.id, constraints.run_seconds, constraints.now, worker.drain_deadline
    )


def _probe_suspects(
    tasks: list[Task],
    ranked: list[Worker],
    avoided: set[WorkerId],
    constraints: PlacementConstraints,
) -> Assignment:
    """Assign a single task to each idle worker whose runs ended badly.

    Whether such a worker has recovered shows at little cost. A task at its last attempt
    and one that may become late by a failure are not used for that.
    """
    reliability = constraints.reliability
    step = tasks[0].step
    if reliability is None or not reliability.suspects:
        return {}
    if step.shape.gang or step.shape.long_running or constraints.time_critical:
        return {}
    attempts = step.job.submission.attempts
    able = [task for task in tasks if step.failure_count(task) + 1 < attempts]
    remaining_tasks = iter(able)
    found: Assignment = {}
    for worker in ranked:
        if worker.tasks or worker.reserved_tasks or worker.id in avoided:
            continue
        if worker.health is not WorkerHealth.SOUND:
            continue
        if not reliability.needs_probe(worker.id, constraints.now):
            continue
        task = next(remaining_tasks, None)
        if task is None:
            break
        found[task] = worker
    return found


def _fill(
    tasks: list[Task], slots: dict[Worker, int], constraints: PlacementConstraints
) -> Assignment:
    """Assign tasks to workers, those in use and in the fullest racks first.

    Workers that the step avoids come after the others, and unhealthy ones and canaries
    last. Gangs go to the workers of least risk first, time-critical steps to the
    fastest ones; less urgent ones with slack take workers in use first, the slowest
    among them and among empty ones. A single task probes an idle worker whose runs
    ended badly.
    """
    step = tasks[0].step
    avoided = step.avoided_workers(constraints.now)
    usable = [worker for worker, count in slots.items() if count]
    free_gpus_by_rack: dict[RackId, int] = {}
    for worker in slots:
        free_gpus_by_rack[worker.rack] = (
            free_gpus_by_rack.get(worker.rack, 0) + worker.free_gpus
        )

    def preference(worker: Worker) -> tuple:
        return (
            worker.health is not WorkerHealth.SOUND,
            worker.id in avoided,
            _risk_class(worker, step, constraints),
            _speed_rank(worker, constraints),
        )

    def fullness(worker: Worker) -> tuple:
        return (
            _speed_class(worker, constraints) if constraints.prefers_slow else 0,
            free_gpus_by_rack[worker.rack],
            worker.free_gpus,
            worker.free_cpu,
            worker.id,
        )

    keys = {worker: (preference(worker), fullness(worker)) for worker in usable}
    ranked = sorted(
        usable,
        key=lambda worker: (keys[worker][0], not worker.tasks, keys[worker][1]),
    )
    found = _probe_suspects(tasks, ranked, avoided, constraints)
    probed = set(found.values())
    remaining = [task for task in tasks if task not in found]
    slots_left = {worker: slots[worker] - (worker in probed) for worker in ranked}
    # A worker that is probed takes a further task only if no other has room for it.
    ranked.sort(key=lambda worker: worker in probed)
    if constraints.packing is not None and remaining:
        open_keys = {}
        for worker in ranked:
            first, last = keys[worker]
            if slots_left[worker]:
                open_keys[worker] = ((worker in probed, *first), last)
        found.update(_fill_packed(remaining, slots_left, open_keys, constraints))
        return found
    remaining_tasks = iter(remaining)
    for worker in ranked:
        for _ in range(slots_left[worker]):
            task = next(remaining_tasks, None)
            if task is None:
                return found
            found[task] = worker
    return found


def _fill_packed(
    tasks: list[Task],
    slots: dict[Worker, int],
    keys: dict[Worker, tuple[tuple, tuple]],
    constraints: PlacementConstraints,
) -> Assignment:
    """Assign each task to a worker in use at the lowest cost, else to an empty one.

    `keys` holds what ranks each worker before and after the cost.
    """
    packing, now = constraints.packing, constraints.now
    step = tasks[0].step
    needs = needs_of(step.shape)
    free = {worker: free_capacity(worker) for worker in keys}
    left = {worker: slots[worker] for worker in keys}

    def rank(worker: Worker) -> tuple:
        first, last = keys[worker]
        is_chosen = left[worker] < slots[worker]
        delay = 0.0
        if worker.tasks and not is_chosen:
            delay = packing.occupancy.delay(worker, step, now)
        cost = packing.cost(free[worker], total_capacity(worker), needs, delay)
        return (first, not (worker.tasks or is_chosen), cost, last)

    # The last key ends with the unique id, so workers are never compared.
    ranked = [(rank(worker), worker) for worker in keys]
    heapq.heapify(ranked)
    found: Assignment = {}
    for task in tasks:
        if not ranked:
            break
        worker = ranked[0][1]
        found[task] = worker
        free[worker] = free[worker].minus(needs)
        left[worker] -= 1
        if left[worker]:
            heapq.heapreplace(ranked, (rank(worker), worker))
        else:
            heapq.heappop(ranked)
    return found
