"""Find room for whole gangs."""

from abc import ABC, abstractmethod

from zinniatrestle.gangs.inventory import Inventory, WorkerCapacity
from zinniatrestle.gangs.messages import Slot, TaskShape
from zinniatrestle.ids import WorkerId

Masks = dict[WorkerId, int]
ALL_ACCELERATORS = -1


class PlacementPolicy(ABC):
    """Choose where the tasks of a gang go."""

    @abstractmethod
    def place(
        self, inventory: Inventory, tasks: int, shape: TaskShape, masks: Masks | None
    ) -> list[Slot] | None:
        """Return room for all tasks, or None.

        `masks` limits the workers and accelerators that may be used.
        """


class BestFitRack(PlacementPolicy):
    """Use the fullest rack that holds the gang, and its fullest workers.

    Large free blocks stay whole: a gang that fits one worker takes the worker with
    least room, and one that fits a rack never spans two.
    """

    def place(
        self, inventory: Inventory, tasks: int, shape: TaskShape, masks: Masks | None
    ) -> list[Slot] | None:
        """Return room for all tasks, or None."""
        best = None
        least = None
        racks = []
        for rooms in inventory.racks.values():
            fitting = _fitting(rooms, shape, masks)
            total = sum(count for _, count in fitting)
            if total == 0:
                continue
            racks.append((total, fitting))
            if total < tasks:
                continue
            left = total - tasks
            if least is None or left < least:
                least = left
                best = fitting
        if best is not None:
            return _fill(best, tasks, shape, masks)
        if sum(total for total, _ in racks) < tasks:
            return None
        racks.sort(key=lambda rack: -rack[0])
        spanned = []
        for _, fitting in racks:
            spanned.extend(_fullest_first(fitting))
        return fill_in_order(spanned, tasks, shape, masks)


def _fitting(
    rooms: list[WorkerCapacity], shape: TaskShape, masks: Masks | None
) -> list[tuple[WorkerCapacity, int]]:
    fitting = []
    for room in rooms:
        mask = ALL_ACCELERATORS if masks is None else masks.get(room.worker)
        if mask is None:
            continue
        count = room.fits(shape, mask)
        if count:
            fitting.append((room, count))
    return fitting


def _fullest_first(
    fitting: list[tuple[WorkerCapacity, int]],
) -> list[tuple[WorkerCapacity, int]]:
    return sorted(fitting, key=lambda pair: -pair[1])


def _fill(
    fitting: list[tuple[WorkerCapacity, int]],
    tasks: int,
    shape: TaskShape,
    masks: Masks | None,
) -> list[Slot]:
    """Fill whole workers first and put the rest where it fits most tightly."""
    slots = []
    left = list(fitting)
    remaining = tasks
    while remaining:
        enough = [pair for pair in left if pair[1] >= remaining]
        if enough:
            pair = min(enough, key=_room_left)
        else:
            pair = max(left, key=lambda entry: entry[1])
        left.remove(pair)
        room, count = pair
        taken = min(count, remaining)
        slots.append(room.slot(shape, _mask(masks, room), taken))
        remaining -= taken
    return slots


def fill_in_order(
    fitting: list[tuple[WorkerCapacity, int]],
    tasks: int,
    shape: TaskShape,
    masks: Masks | None,
) -> list[Slot]:
    """Fill workers one after another."""
    slots = []
    remaining = tasks
    for room, count in fitting:
        taken = min(count, remaining)
        slots.append(room.slot(shape, _mask(masks, room), taken))
        remaining -= taken
        if remaining == 0:
            break
    return slots


def _room_left(pair: tuple[WorkerCapacity, int]) -> tuple[int, int, float]:
    room, count = pair
    return count, room.free.bit_count(), room.cores_free


def _mask(masks: Masks | None, room: WorkerCapacity) -> int:
    return ALL_ACCELERATORS if masks is None else masks[room.worker]
