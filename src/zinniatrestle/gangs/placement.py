"""Place all tasks of a gang on workers."""

from abc import ABC, abstractmethod

from zinniatrestle.gangs.inventory import Inventory, WorkerCapacity
from zinniatrestle.gangs.messages import Slot, TaskShape
from zinniatrestle.ids import WorkerId

# Bit masks of accelerators, by worker.
Masks = dict[WorkerId, int]
ALL_ACCELERATORS = -1


class PlacementPolicy(ABC):
    """Choose the workers and accelerators of a gang."""

    @abstractmethod
    def place(
        self, inventory: Inventory, tasks: int, shape: TaskShape, masks: Masks | None
    ) -> list[Slot] | None:
        """Return slots for all tasks, or None if they don't all fit.

        `masks` limits the workers and accelerators that may be used; None allows all.
        """


class BestFitRack(PlacementPolicy):
    """Use the rack with the least capacity that fits the gang (best fit).

    A gang spans racks only if no single rack fits it. Tasks that fit one worker go to
    the worker with the least capacity. Both keep large free blocks unfragmented.
    """

    def place(
        self, inventory: Inventory, tasks: int, shape: TaskShape, masks: Masks | None
    ) -> list[Slot] | None:
        """Return slots for all tasks, or None if they don't all fit."""
        tightest = None
        fewest_left = None
        racks = []
        for capacities in inventory.racks.values():
            fitting = _fitting_tasks(capacities, shape, masks)
            total = sum(count for _, count in fitting)
            if total == 0:
                continue
            racks.append((total, fitting))
            if total < tasks:
                continue
            left = total - tasks
            if fewest_left is None or left < fewest_left:
                fewest_left = left
                tightest = fitting
        if tightest is not None:
            return _fill(tightest, tasks, shape, masks)
        if sum(total for total, _ in racks) < tasks:
            return None
        racks.sort(key=lambda rack: -rack[0])
        across_racks = []
        for _, fitting in racks:
            across_racks.extend(_most_tasks_first(fitting))
        return fill_in_order(across_racks, tasks, shape, masks)


def _fitting_tasks(
    capacities: list[WorkerCapacity], shape: TaskShape, masks: Masks | None
) -> list[tuple[WorkerCapacity, int]]:
    fitting = []
    for capacity in capacities:
        mask = ALL_ACCELERATORS if masks is None else masks.get(capacity.worker)
        if mask is None:
            continue
        count = capacity.fits(shape, mask)
        if count:
            fitting.append((capacity, count))
    return fitting


def _most_tasks_first(
    fitting: list[tuple[WorkerCapacity, int]],
) -> list[tuple[WorkerCapacity, int]]:
    return sorted(fitting, key=lambda pair: -pair[1])


def _fill(
    fitting: list[tuple[WorkerCapacity, int]],
    tasks: int,
    shape: TaskShape,
    masks: Masks | None,
) -> list[Slot]:
    """Fill the largest workers and put the remainder where it fits most tightly."""
    slots = []
    left = list(fitting)
    remaining = tasks
    while remaining:
        enough = [pair for pair in left if pair[1] >= remaining]
        if enough:
            pair = min(enough, key=_tightest_key)
        else:
            pair = max(left, key=lambda entry: entry[1])
        left.remove(pair)
        capacity, count = pair
        taken = min(count, remaining)
        slots.append(capacity.slot(shape, _mask_for(masks, capacity), taken))
        remaining -= taken
    return slots


def fill_in_order(
    fitting: list[tuple[WorkerCapacity, int]],
    tasks: int,
    shape: TaskShape,
    masks: Masks | None,
) -> list[Slot]:
    """Fill workers in the given order."""
    slots = []
    remaining = tasks
    for capacity, count in fitting:
        taken = min(count, remaining)
        slots.append(capacity.slot(shape, _mask_for(masks, capacity), taken))
        remaining -= taken
        if remaining == 0:
            break
    return slots


def _tightest_key(pair: tuple[WorkerCapacity, int]) -> tuple[int, int, float]:
    capacity, count = pair
    return count, capacity.free_mask.bit_count(), capacity.cores_free


def _mask_for(masks: Masks | None, capacity: WorkerCapacity) -> int:
    return ALL_ACCELERATORS if masks is None else masks[capacity.worker]
