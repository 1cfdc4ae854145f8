"""Free capacity of the workers of one failure domain."""

from collections.abc import Iterable

from zinniatrestle.gangs.blocks import (
    block_size,
    free_blocks,
    full_mask,
    indices_of,
    mask_of,
    take_blocks,
)
from zinniatrestle.gangs.messages import Slot, TaskShape
from zinniatrestle.ids import RackId, WorkerId
from zinniatrestle.store.messages import ListedHost, ListedHostState

UNLIMITED = 1 << 30
# Absorbs rounding errors in sums of cores and memory.
ROUNDING_TOLERANCE = 1e-9


class WorkerCapacity:
    """Free accelerators (as a bit mask), cores and memory of one worker."""

    __slots__ = (
        "accelerators",
        "cores",
        "cores_free",
        "free_mask",
        "memory_free",
        "memory_gb",
        "rack",
        "usable",
        "worker",
    )

    def __init__(self, listed: ListedHost):
        self.worker = WorkerId(listed.name)
        self.rack = listed.rack
        self.accelerators = listed.accelerators
        self.cores = listed.cores
        self.memory_gb = listed.memory_gb
        self.free_mask = full_mask(listed.accelerators)
        self.cores_free = listed.cores
        self.memory_free = listed.memory_gb
        self.usable = listed.state is ListedHostState.LIVE

    def copy(self) -> "WorkerCapacity":
        """Return an independent copy."""
        other = WorkerCapacity.__new__(WorkerCapacity)
        for name in WorkerCapacity.__slots__:
            setattr(other, name, getattr(self, name))
        return other

    def fits(self, shape: TaskShape, mask: int) -> int:
        """Return how many tasks fit on the accelerators of `mask`."""
        if not self.usable:
            return 0
        # These checks come first because most workers of a full domain fail them.
        if self.cores_free < shape.cores - ROUNDING_TOLERANCE:
            return 0
        if self.memory_free < shape.memory_gb - ROUNDING_TOLERANCE:
            return 0
        count = UNLIMITED
        if shape.accelerators:
            free = self.free_mask & mask
            if free.bit_count() < shape.accelerators:
                return 0
            count = len(free_blocks(free, block_size(shape.accelerators)))
        if shape.cores > 0:
            count = min(count, int(self.cores_free / shape.cores + ROUNDING_TOLERANCE))
        if shape.memory_gb > 0:
            count = min(
                count, int(self.memory_free / shape.memory_gb + ROUNDING_TOLERANCE)
            )
        return count

    def slot(self, shape: TaskShape, mask: int, tasks: int) -> Slot:
        """Return a slot for tasks; they must fit."""
        if not shape.accelerators:
            return Slot(self.worker, tasks)
        taken = take_blocks(self.free_mask & mask, shape.accelerators, tasks)
        return Slot(self.worker, tasks, indices_of(taken))

    def hold(self, slot: Slot, shape: TaskShape):
        """Subtract a slot from the free capacity."""
        self.free_mask &= ~mask_of(slot.accelerators)
        self.cores_free -= shape.cores * slot.tasks
        self.memory_free -= shape.memory_gb * slot.tasks

    def release(self, slot: Slot, shape: TaskShape):
        """Add a slot to the free capacity."""
        self.free_mask |= mask_of(slot.accelerators)
        self.cores_free += shape.cores * slot.tasks
        self.memory_free += shape.memory_gb * slot.tasks


class Inventory:
    """Free capacity of a failure domain, by worker and by rack."""

    def __init__(self, capacities: Iterable[WorkerCapacity]):
        self.capacities: dict[WorkerId, WorkerCapacity] = {}
        self.racks: dict[RackId, list[WorkerCapacity]] = {}
        for capacity in capacities:
            self.capacities[capacity.worker] = capacity
            self.racks.setdefault(capacity.rack, []).append(capacity)

    def may_fit(self, tasks: int, shape: TaskShape) -> bool:
        """Return False if the total free accelerators or cores can't hold a gang.

        This is a cheap check before a placement; True does not promise that one exists.
        """
        accelerators = tasks * shape.accelerators
        cores = tasks * shape.cores
        for capacity in self.capacities.values():
            if not capacity.usable:
                continue
            accelerators -= capacity.free_mask.bit_count()
            cores -= capacity.cores_free
            if accelerators <= 0 and cores <= ROUNDING_TOLERANCE:
                return True
        return False

    def copy(self) -> "Inventory":
        """Return an independent copy."""
        return Inventory(capacity.copy() for capacity in self.capacities.values())

    def subset(self, workers: Iterable[WorkerId]) -> "Inventory":
        """Return an independent copy of some of the workers."""
        known = [worker for worker in workers if worker in self.capacities]
        return Inventory(self.capacities[worker].copy() for worker in known)

    def hold(self, placement: list[Slot], shape: TaskShape):
        """Subtract a placement, ignoring slots on workers that are not listed."""
        for slot in placement:
            capacity = self.capacities.get(slot.worker)
            if capacity is not None:
                capacity.hold(slot, shape)

    def release(self, placement: list[Slot], shape: TaskShape):
        """Add a placement, ignoring slots on workers that are not listed."""
        for slot in placement:
            capacity = self.capacities.get(slot.worker)
            if capacity is not None:
                capacity.release(slot, shape)

    @property
    def accelerators(self) -> int:
        """Return the number of accelerators on usable workers."""
        return sum(
            capacity.accelerators
            for capacity in self.capacities.values()
            if capacity.usable
        )

    @property
    def accelerators_free(self) -> int:
        """Return the number of free accelerators on usable workers."""
        total = 0
        for capacity in self.capacities.values():
            if capacity.usable:
                total += capacity.free_mask.bit_count()
        return total

    @property
    def cores(self) -> float:
        """Return the number of cores on usable workers."""
        return sum(
            capacity.cores for capacity in self.capacities.values() if capacity.usable
        )

    @property
    def cores_free(self) -> float:
        """Return the number of free cores on usable workers."""
        return sum(
            capacity.cores_free
            for capacity in self.capacities.values()
            if capacity.usable
        )
