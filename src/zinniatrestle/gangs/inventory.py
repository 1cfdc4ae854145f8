"""The workers of one failure domain and what is free on them."""

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
ROUNDING_TOLERANCE = 1e-9


class WorkerCapacity:
    """Hold what is free on one worker."""

    __slots__ = (
        "accelerators",
        "cores",
        "cores_free",
        "free",
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
        self.free = full_mask(listed.accelerators)
        self.cores_free = listed.cores
        self.memory_free = listed.memory_gb
        self.usable = listed.state is ListedHostState.LIVE

    def copy(self) -> "WorkerCapacity":
        """Return a room of its own."""
        other = WorkerCapacity.__new__(WorkerCapacity)
        for name in WorkerCapacity.__slots__:
            setattr(other, name, getattr(self, name))
        return other

    def fits(self, shape: TaskShape, mask: int) -> int:
        """Return how many tasks fit on the accelerators of `mask`."""
        if not self.usable:
            return 0
        # Most rooms of a full domain end at the first of these checks.
        if self.cores_free < shape.cores - ROUNDING_TOLERANCE:
            return 0
        if self.memory_free < shape.memory_gb - ROUNDING_TOLERANCE:
            return 0
        count = UNLIMITED
        if shape.accelerators:
            free = self.free & mask
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
        """Return a slot for tasks that fit."""
        if not shape.accelerators:
            return Slot(self.worker, tasks)
        taken = take_blocks(self.free & mask, shape.accelerators, tasks)
        return Slot(self.worker, tasks, indices_of(taken))

    def hold(self, slot: Slot, shape: TaskShape):
        """Take a slot."""
        self.free &= ~mask_of(slot.accelerators)
        self.cores_free -= shape.cores * slot.tasks
        self.memory_free -= shape.memory_gb * slot.tasks

    def release(self, slot: Slot, shape: TaskShape):
        """Give a slot back."""
        self.free |= mask_of(slot.accelerators)
        self.cores_free += shape.cores * slot.tasks
        self.memory_free += shape.memory_gb * slot.tasks


class Inventory:
    """Hold the rooms of a failure domain, by worker and by rack."""

    def __init__(self, rooms: Iterable[WorkerCapacity]):
        self.capacities: dict[WorkerId, WorkerCapacity] = {}
        self.racks: dict[RackId, list[WorkerCapacity]] = {}
        for room in rooms:
            self.capacities[room.worker] = room
            self.racks.setdefault(room.rack, []).append(room)

    def may_fit(self, tasks: int, shape: TaskShape) -> bool:
        """Tell whether the sums of what is free leave a gang any chance."""
        accelerators = tasks * shape.accelerators
        cores = tasks * shape.cores
        for room in self.capacities.values():
            if not room.usable:
                continue
            accelerators -= room.free.bit_count()
            cores -= room.cores_free
            if accelerators <= 0 and cores <= ROUNDING_TOLERANCE:
                return True
        return False

    def copy(self) -> "Inventory":
        """Return an inventory of its own."""
        return Inventory(room.copy() for room in self.capacities.values())

    def subset(self, workers: Iterable[WorkerId]) -> "Inventory":
        """Return an inventory of its own of some of the workers."""
        known = [worker for worker in workers if worker in self.capacities]
        return Inventory(self.capacities[worker].copy() for worker in known)

    def hold(self, placement: list[Slot], shape: TaskShape):
        """Take a placement; slots on workers that are gone are passed over."""
        for slot in placement:
            room = self.capacities.get(slot.worker)
            if room is not None:
                room.hold(slot, shape)

    def release(self, placement: list[Slot], shape: TaskShape):
        """Give a placement back."""
        for slot in placement:
            room = self.capacities.get(slot.worker)
            if room is not None:
                room.release(slot, shape)

    @property
    def accelerators(self) -> int:
        """Return the number of accelerators on usable workers."""
        return sum(
            room.accelerators for room in self.capacities.values() if room.usable
        )

    @property
    def accelerators_free(self) -> int:
        """Return the number of free accelerators on usable workers."""
        total = 0
        for room in self.capacities.values():
            if room.usable:
                total += room.free.bit_count()
        return total

    @property
    def cores(self) -> float:
        """Return the number of cores on usable workers."""
        return sum(room.cores for room in self.capacities.values() if room.usable)

    @property
    def cores_free(self) -> float:
        """Return the number of free cores on usable workers."""
        return sum(room.cores_free for room in self.capacities.values() if room.usable)
