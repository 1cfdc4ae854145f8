"""Rank workers by how much of their free capacity a placement leaves unusable.

Free capacity of a worker is unusable for a task shape as far as copies of the shape
leave it over. Weighted by the shapes that are in demand, this is the fragmentation.
"""

import math
from typing import NamedTuple

from zinniatrestle.ids import BootSeconds, ServiceName
from zinniatrestle.jobs.messages import Step
from zinniatrestle.scheduling.durations import Durations
from zinniatrestle.scheduling.state import StepRun, Worker

# Time after which a step counts half as much in the mix of shapes as a new one: several
# run times of the usual tasks, so that the mix outlasts a burst of one queue.
DEMAND_HALF_LIFE_SECONDS = 20.0
# Shapes per service in the mix; those with the least demand are dropped.
MAX_SHAPES = 16
# Time between updates of the mix that placements use, which drop cached fragmentation.
MIX_SECONDS = 2.0
# Time between checks of the load, which add up the capacities of all workers.
CHECK_SECONDS = 0.5
# Packing begins once this share of a resource of a service is allocated, and ends below
# the second one, so that it does not alternate.
BEGIN_ALLOCATED_SHARE = 0.5
END_ALLOCATED_SHARE = 0.4
# A shape is large if it needs more than this share of a worker in some resource, so
# that no second task of it fits there.
LARGE_SHARE = 0.5
# Shapes with a smaller share of the demand don't call for packing.
MIN_DEMAND_SHARE = 0.02
# Fragmentation, in shares of a worker, to which a delay of 1 s is equated until a
# worker is empty again. Without it short tasks keep workers in use that would be whole.
DELAY_WEIGHT_PER_SECOND = 0.1
# Ranks are rounded to multiples of this, in shares of a worker. Smaller differences
# matter less than keeping racks free.
RANK_CLASS_WIDTH = 0.01
# Limit on cached fragmentations; workers share most of their free capacities.
MAX_CACHED = 20_000


class Capacity(NamedTuple):
    """An amount of each resource; `cpu` in thousandths of a core."""

    cpu: int
    memory_mb: int
    gpus: int

    def fraction_of(self, whole: "Capacity") -> tuple[float, float, float]:
        """Return the amounts as shares of another; 0 of what the other lacks."""
        cpu = self.cpu / whole.cpu if whole.cpu else 0.0
        memory = self.memory_mb / whole.memory_mb if whole.memory_mb else 0.0
        gpus = self.gpus / whole.gpus if whole.gpus else 0.0
        return cpu, memory, gpus

    def minus(self, other: "Capacity") -> "Capacity":
        """Return what is left without another amount, at least nothing."""
        return Capacity(
            max(0, self.cpu - other.cpu),
            max(0, self.memory_mb - other.memory_mb),
            max(0, self.gpus - other.gpus),
        )


def needs_of(shape: Step) -> Capacity:
    """Return what one task of a step allocates."""
    return Capacity(0 if shape.best_effort else shape.cpu, shape.memory_mb, shape.gpus)


def free_capacity(worker: Worker) -> Capacity:
    """Return what is free on a worker."""
    return Capacity(
        max(0, worker.free_cpu), max(0, worker.free_memory), max(0, worker.free_gpus)
    )


def total_capacity(worker: Worker) -> Capacity:
    """Return the capacity of a worker when it is empty."""
    entry = worker.entry
    return Capacity(entry.cpu, entry.memory_mb, entry.gpus)


class Occupancy:
    """Estimates of when the workers are empty, kept between rounds."""

    def __init__(self, durations: Durations):
        self.durations = durations
        # By worker: the revision of its tasks, and when the last of them ends.
        self.ends_by_worker: dict[Worker, tuple[int, float]] = {}

    def ends_at(self, worker: Worker, now: float) -> float:
        """Return when the last run of a worker is expected to end (boot seconds).

        Long-running tasks are assumed not to end.
        """
        kept = self.ends_by_worker.get(worker)
        if kept is not None and kept[0] == worker.tasks_revision and now < kept[1]:
            return kept[1]
        ends_at = now
        for task in worker.tasks.values():
            if task.step.shape.long_running:
                ends_at = math.inf
                break
            ends_at = max(ends_at, now + self.durations.remaining(task, now))
        self.ends_by_worker[worker] = (worker.tasks_revision, ends_at)
        return ends_at

    def delay(self, worker: Worker, step: StepRun, now: float) -> float:
        """Return by how many seconds a task of a step delays the end of all runs."""
        if step.shape.long_running:
            return 0.0
        queue = step.job.submission.queue
        ends_at = now + self.durations.expected_seconds(queue, step.shape)
        return max(0.0, ends_at - self.ends_at(worker, now))

    def retain(self, workers: list[Worker]):
        """Drop the estimates of all other workers."""
        if len(self.ends_by_worker) <= len(workers):
            return
        known = set(workers)
        for worker in list(self.ends_by_worker):
            if worker not in known:
                del self.ends_by_worker[worker]


class Packing:
    """Cost of placements for one mix of task shapes.

    `mix` holds the weight of each shape. `scarcity` is the weight of a share of cores,
    memory and accelerators; its parts add up to 1.
    """

    def __init__(
        self,
        mix: dict[Capacity, float],
        scarcity: tuple[float, float, float],
        occupancy: Occupancy,
    ):
        self.occupancy = occupancy
        total = sum(mix.values())
        self.mix = [(shape, weight / total) for shape, weight in mix.items()]
        self.scarcity = scarcity
        self.cached: dict[tuple[Capacity, Capacity], float] = {}

    def fragmentation(self, free: Capacity, total: Capacity) -> float:
        """Return the unusable part of free capacity, as a share of the worker."""
        key = (free, total)
        known = self.cached.get(key)
        if known is not None:
            return known
        if len(self.cached) >= MAX_CACHED:
            self.cached.clear()
        unusable = 0.0
        for shape, weight in self.mix:
            unusable += weight * self._unusable_for(shape, free, total)
        self.cached[key] = unusable
        return unusable

    def cost(
        self, free: Capacity, total: Capacity, needs: Capacity, delay: float
    ) -> int:
        """Return the cost of a placement, in multiples of `RANK_CLASS_WIDTH`.

        `delay` is by how many seconds the worker is empty later. The fragmentation
        counts that is left, not what is added: nearly full workers are filled up.
        """
        left = self.fragmentation(free.minus(needs), total)
        return round((left + DELAY_WEIGHT_PER_SECOND * delay) / RANK_CLASS_WIDTH)

    def _unusable_for(self, shape: Capacity, free: Capacity, total: Capacity) -> float:
        copies = None
        for needed, available in zip(shape, free, strict=True):
            if not needed:
                continue
            fitting = available // needed
            copies = fitting if copies is None or fitting < copies else copies
        copies = copies or 0
        left = Capacity(
            free.cpu - copies * shape.cpu,
            free.memory_mb - copies * shape.memory_mb,
            free.gpus - copies * shape.gpus,
        )
        parts = left.fraction_of(total)
        return sum(
            weight * part for weight, part in zip(self.scarcity, parts, strict=True)
        )


class DecayingSum:
    """A sum in which a value counts half after `DEMAND_HALF_LIFE_SECONDS`."""

    def __init__(self):
        self.value = 0.0
        self.at = BootSeconds(0.0)

    def add(self, value: float, now: BootSeconds):
        """Add a value."""
        self.value = self.at_time(now) + value
        self.at = now

    def at_time(self, now: BootSeconds) -> float:
        """Return the sum at some time."""
        age = max(0.0, now - self.at)
        return self.value * 0.5 ** (age / DEMAND_HALF_LIFE_SECONDS)


class ServiceLoad:
    """Capacity of a service, what is free of it, and the capacity of a worker."""

    def __init__(self):
        self.total = Capacity(0, 0, 0)
        self.free = Capacity(0, 0, 0)
        # The most of each resource that a worker has.
        self.largest = Capacity(0, 0, 0)

    def add(self, workers: list[Worker]):
        """Add workers."""
        totals = [total_capacity(worker) for worker in workers]
        frees = [free_capacity(worker) for worker in workers]
        self.total = Capacity(*map(sum, zip(self.total, *totals, strict=True)))
        self.free = Capacity(*map(sum, zip(self.free, *frees, strict=True)))
        self.largest = Capacity(*map(max, zip(self.largest, *totals, strict=True)))

    def allocated_share(self) -> float:
        """Return the allocated share of the resource that is used most."""
        used = self.total.minus(self.free)
        return max(used.fraction_of(self.total))


class ServiceDemand:
    """Task shapes demanded of one service, and the packing that they call for."""

    def __init__(self, occupancy: Occupancy):
        self.occupancy = occupancy
        self.task_seconds: dict[Capacity, DecayingSum] = {}
        # The part of the demand that is for rack-bound gangs.
        self.rack_bound = DecayingSum()
        self.packing: Packing | None = None
        self.updated_at = BootSeconds(float("-inf"))

    def count(self, needs: Capacity, task_seconds: float, now: BootSeconds):
        """Count the tasks of a step."""
        self.task_seconds.setdefault(needs, DecayingSum()).add(task_seconds, now)
        if len(self.task_seconds) > MAX_SHAPES:
            least = min(
                self.task_seconds,
                key=lambda shape: (self.task_seconds[shape].at_time(now), shape),
            )
            del self.task_seconds[least]

    def update(self, load: ServiceLoad, now: BootSeconds):
        """Begin, continue or end packing, as the load and the mix call for it."""
        allocated = load.allocated_share()
        if allocated < END_ALLOCATED_SHARE:
            self.packing = None
            self.updated_at = BootSeconds(float("-inf"))
            return
        if self.packing is None and allocated < BEGIN_ALLOCATED_SHARE:
            return
        if now - self.updated_at < MIX_SECONDS:
            return
        self.updated_at = now
        self.packing = self._build_packing(load, now)

    def _build_packing(self, load: ServiceLoad, now: BootSeconds) -> Packing | None:
        """Return the packing for a mix of large and other shapes, else None."""
        demanded_seconds = sum(
            demand.at_time(now) for demand in self.task_seconds.values()
        )
        if self.rack_bound.at_time(now) > MIN_DEMAND_SHARE * demanded_seconds:
            # The rank by racks keeps whole ones free for these.
            return None
        mix: dict[Capacity, float] = {}
        by_resource = [0.0, 0.0, 0.0]
        for shape, demand in self.task_seconds.items():
            parts = shape.fraction_of(load.largest)
            seconds = demand.at_time(now)
            weight = seconds * max(parts)
            if weight <= 0:
                continue
            mix[shape] = weight
            for index, part in enumerate(parts):
                by_resource[index] += seconds * part
        total = sum(mix.values())
        large = other = False
        for shape, weight in mix.items():
            if weight < MIN_DEMAND_SHARE * total:
                continue
            if max(shape.fraction_of(load.largest)) > LARGE_SHARE:
                large = True
            else:
                other = True
        if not (large and other):
            return None
        demanded = sum(by_resource)
        cpu, memory, gpus = (part / demanded for part in by_resource)
        return Packing(mix, (cpu, memory, gpus), self.occupancy)


class Demand:
    """The current and recent demand of all services, by the shapes of their tasks."""

    def __init__(self, durations: Durations):
        self.durations = durations
        self.occupancy = Occupancy(durations)
        self.services: dict[ServiceName, ServiceDemand] = {}
        self.checked_at = BootSeconds(float("-inf"))

    def count(self, step: StepRun, now: BootSeconds):
        """Count the tasks of a step that is ready, once."""
        if step.demand_counted:
            return
        step.demand_counted = True
        submission = step.job.submission
        seconds = self.durations.expected_seconds(submission.queue, step.shape)
        demand = self.services.get(submission.service)
        if demand is None:
            demand = self.services[submission.service] = ServiceDemand(self.occupancy)
        task_seconds = seconds * step.shape.count
        demand.count(needs_of(step.shape), task_seconds, now)
        if step.shape.rack_bound and step.shape.count > 1:
            demand.rack_bound.add(task_seconds, now)

    def begin_round(self, workers: list[Worker], now: BootSeconds):
        """Decide for each service whether its workers are packed from now on."""
        if now - self.checked_at < CHECK_SECONDS:
            return
        self.checked_at = now
        self.occupancy.retain(workers)
        for service, demand in self.services.items():
            load = ServiceLoad()
            load.add([worker for worker in workers if worker.entry.service == service])
            demand.update(load, now)

    def packing(self, service: ServiceName) -> Packing | None:
        """Return the packing of a service, or None if its state calls for none."""
        demand = self.services.get(service)
        return demand.packing if demand is not None else None
