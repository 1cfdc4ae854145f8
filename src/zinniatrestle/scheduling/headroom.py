"""Hold free capacity back from less urgent steps for urgent jobs about to arrive."""

import math
from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import Enum

from zinniatrestle.deployment import Bounds
from zinniatrestle.ids import FailureDomainId, RegionId, ServiceName
from zinniatrestle.scheduling.draining import ORDER_LATENCY_SECONDS
from zinniatrestle.scheduling.forecast import Forecast
from zinniatrestle.scheduling.state import (
    ACCELERATOR_MILLICORES,
    Task,
    TaskStatus,
    Worker,
    WorkerHealth,
)

# Largest share of a service's capacity that is held back: the cost of a wrong forecast.
MAX_HEADROOM_SHARE = 0.15
# Time constant with which the weight of a past wait decays.
PRESSURE_DECAY_SECONDS = 30.0
# Headroom begins at this many recent waits of urgent steps for capacity, and may end
# when their weight has decayed to the lower value.
BEGIN_PRESSURE = 1.5
END_PRESSURE = 0.25
# A record with a larger value is damaged.
MAX_RESTORED_PRESSURE = 1e6
# Headroom ends once this many times the demand has been free for some seconds beside
# it, or without demand.
AMPLE_FACTOR = 1.0
AMPLE_SECONDS = 10.0


class HeadroomPhase(Enum):
    """Whether capacity is held back."""

    INACTIVE = "inactive"
    ACTIVE = "active"


@dataclass(frozen=True)
class UrgentDemand:
    """Urgent tasks of one shape about to arrive; `cpu` is in millicores.

    `regions` are None for all.
    """

    service: ServiceName
    regions: frozenset[RegionId] | None
    gpus: int
    cpu: int
    memory_mb: int
    tasks: int

    def permits(self, region: RegionId) -> bool:
        """Return whether the tasks may run in a region."""
        return self.regions is None or region in self.regions

    @property
    def weight(self) -> int:
        """Return the capacity for one task in thousandths of a core."""
        return self.cpu + self.gpus * ACCELERATOR_MILLICORES


class Room:
    """What is free at a worker now, and once the urgent runs that end soon have."""

    def __init__(self, worker: Worker):
        self.worker = worker
        self.cpu = worker.free_cpu
        self.memory_mb = worker.free_memory
        self.gpus = worker.free_gpus
        self.free_weight = max(0, self.cpu) + max(0, self.gpus) * ACCELERATOR_MILLICORES

    def release(self, task: Task):
        """Count the resources of a task as free."""
        shape = task.step.shape
        self.cpu += 0 if shape.best_effort else shape.cpu
        self.memory_mb += shape.memory_mb
        self.gpus += shape.gpus

    def slots(self, demand: UrgentDemand) -> int:
        """Return how many of the tasks fit."""
        slots = demand.tasks
        if demand.cpu:
            slots = min(slots, self.cpu // demand.cpu)
        if demand.memory_mb:
            slots = min(slots, self.memory_mb // demand.memory_mb)
        if demand.gpus:
            slots = min(slots, self.gpus // demand.gpus)
        return max(0, slots)

    def take(self, demand: UrgentDemand, tasks: int):
        """Deduct the resources of some of the tasks."""
        self.cpu -= tasks * demand.cpu
        self.memory_mb -= tasks * demand.memory_mb
        self.gpus -= tasks * demand.gpus


@dataclass
class HeadroomPlan:
    """Workers that less urgent steps don't see in one round.

    `needed` is the demand in accelerators, `gpus` are the accelerators that are free at
    the workers now.
    """

    workers: frozenset[Worker] = frozenset()
    gpus: int = 0
    needed: int = 0
    # Part of the demand for which there is no room.
    missing_tasks: int = 0
    reserved_weight: dict[ServiceName, int] = field(default_factory=dict)


class Headroom:
    """Decide whether and where capacity is held back.

    It is where urgent steps have recently waited for capacity or preempted other work.
    """

    def __init__(self, bounds: Bounds):
        # The time that a stop and a start take: capacity for jobs that arrive later can
        # be made by preemption.
        self.horizon = bounds.stop + 2 * ORDER_LATENCY_SECONDS
        self.phase = HeadroomPhase.INACTIVE
        self.pressure = 0.0
        self.pressure_at = 0.0
        # Since when the demand has been free beside the headroom.
        self.ample_since: float | None = None
        self.held: frozenset[Worker] = frozenset()

    def record_wait(self, now: float):
        """Record an urgent step that had to wait for capacity or to preempt."""
        self.pressure = self.pressure_now(now) + 1
        self.pressure_at = now

    def pressure_now(self, now: float) -> float:
        """Return the number of recent waits, in which old ones decay."""
        passed = max(0.0, now - self.pressure_at)
        return self.pressure * math.exp(-passed / PRESSURE_DECAY_SECONDS)

    def restore(self, pressure: float, is_active: bool, now: float):
        """Continue from the state of a predecessor."""
        if not 0 <= pressure <= MAX_RESTORED_PRESSURE:
            return
        self.pressure = pressure
        self.pressure_at = now
        if is_active:
            self.phase = HeadroomPhase.ACTIVE

    def plan(
        self,
        now: float,
        demands: list[UrgentDemand],
        workers: Iterable[Worker],
        evacuated: set[FailureDomainId],
        forecast: Forecast,
    ) -> HeadroomPlan:
        """Return the workers that are held back in this round, and update the phase."""
        pressure = self.pressure_now(now)
        if self.phase is HeadroomPhase.INACTIVE:
            if not demands or pressure < BEGIN_PRESSURE:
                self.held = frozenset()
                return HeadroomPlan()
            self.phase = HeadroomPhase.ACTIVE
            self.ample_since = None
        rooms: list[Room] = []
        capacity: dict[ServiceName, int] = {}
        for worker in workers:
            entry = worker.entry
            if entry.domain in evacuated or not worker.usable():
                continue
            if worker.health is not WorkerHealth.SOUND:
                continue
            weight = entry.cpu + entry.gpus * ACCELERATOR_MILLICORES
            capacity[entry.service] = capacity.get(entry.service, 0) + weight
            rooms.append(self._room(worker, forecast))
        plan = self._choose(demands, rooms, capacity)
        self._update_phase(now, pressure, demands, rooms, plan)
        if self.phase is HeadroomPhase.INACTIVE:
            plan = HeadroomPlan()
        self.held = plan.workers
        return plan

    def _room(self, worker: Worker, forecast: Forecast) -> Room:
        room = Room(worker)
        for task in worker.tasks.values():
            if task.status is not TaskStatus.RUNNING:
                continue
            if task.step.job.submission.priority or task.step.shape.long_running:
                continue
            if forecast.remaining(task) <= self.horizon:
                room.release(task)
        return room

    def _choose(
        self,
        demands: list[UrgentDemand],
        rooms: list[Room],
        capacity: dict[ServiceName, int],
    ) -> HeadroomPlan:
        plan = HeadroomPlan()
        held: dict[Worker, Room] = {}
        for demand in sorted(
            demands, key=lambda demand: (-demand.gpus, -demand.cpu, -demand.memory_mb)
        ):
            plan.needed += demand.gpus * demand.tasks
            plan.missing_tasks += self._hold(demand, rooms, capacity, held, plan)
        plan.workers = frozenset(held)
        plan.gpus = sum(max(0, worker.free_gpus) for worker in held)
        return plan

    def _hold(
        self,
        demand: UrgentDemand,
        rooms: list[Room],
        capacity: dict[ServiceName, int],
        held: dict[Worker, Room],
        plan: HeadroomPlan,
    ) -> int:
        """Hold workers for the tasks of a demand; return how many have no room.

        Workers that are held for larger tasks come first, then those that urgent runs
        leave soon, as holding them costs least, then the fullest ones.
        """
        limit = MAX_HEADROOM_SHARE * capacity.get(demand.service, 0)
        fitting = []
        for room in rooms:
            worker = room.worker
            if worker.entry.service != demand.service:
                continue
            if not demand.permits(worker.region):
                continue
            slots = room.slots(demand)
            if slots:
                fitting.append((room, slots))
        fitting.sort(
            key=lambda fit: (
                fit[0].worker not in held,
                fit[0].worker not in self.held,
                fit[0].free_weight,
                fit[0].worker.id,
            )
        )
        left = demand.tasks
        for room, slots in fitting:
            if not left:
                break
            if room.worker not in held:
                reserved = plan.reserved_weight.get(demand.service, 0)
                if reserved + room.free_weight > limit:
                    continue
                plan.reserved_weight[demand.service] = reserved + room.free_weight
                held[room.worker] = room
            taken = min(left, slots)
            room.take(demand, taken)
            left -= taken
        return left

    def _update_phase(
        self,
        now: float,
        pressure: float,
        demands: list[UrgentDemand],
        rooms: list[Room],
        plan: HeadroomPlan,
    ):
        """End the headroom once it has made no difference for some time."""
        if pressure > END_PRESSURE or not self._is_ample(demands, rooms, plan):
            self.ample_since = None
            return
        if self.ample_since is None:
            self.ample_since = now
        if now - self.ample_since >= AMPLE_SECONDS:
            self.phase = HeadroomPhase.INACTIVE
            self.ample_since = None

    def _is_ample(
        self, demands: list[UrgentDemand], rooms: list[Room], plan: HeadroomPlan
    ) -> bool:
        """Return whether the demand would fit beside the headroom as well."""
        if not demands:
            return True
        if plan.missing_tasks:
            return False
        others = []
        for room in rooms:
            if room.worker not in plan.workers:
                others.append(room)
        for demand in demands:
            slots = 0
            for room in others:
                if room.worker.entry.service != demand.service:
                    continue
                if not demand.permits(room.worker.region):
                    continue
                slots += room.slots(demand)
            if slots < AMPLE_FACTOR * demand.tasks:
                return False
        return True
