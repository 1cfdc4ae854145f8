"""What gangs hold: masks by worker, use by account, and what stopping one loses."""

from zinniatrestle.gangs.blocks import mask_of
from zinniatrestle.gangs.inventory import ROUNDING_TOLERANCE
from zinniatrestle.gangs.messages import Slot
from zinniatrestle.gangs.placement import Masks
from zinniatrestle.gangs.state import Gang
from zinniatrestle.ids import ClientAccountId, WorkerId

RESTART_SECONDS = 10.0


def eviction_cost(gang: Gang) -> tuple[float, float]:
    """Return what stopping a gang loses, in accelerator-seconds."""
    lost = gang.accelerator_equivalent * RESTART_SECONDS
    if not gang.row.spec.checkpoints:
        lost += gang.row.service
    return lost, -gang.row.started


def workers_out_of_cores_or_memory(free: dict[WorkerId, list[float]]) -> set[WorkerId]:
    """Return the workers that lack cores or memory."""
    return {worker for worker, left in free.items() if min(left) < -ROUNDING_TOLERANCE}


def exclude_workers(masks: Masks, avoided: frozenset[WorkerId]) -> Masks:
    """Return masks without some workers."""
    if not avoided:
        return masks
    return {worker: mask for worker, mask in masks.items() if worker not in avoided}


def overlaps(placement: list[Slot], masks: Masks) -> bool:
    """Tell whether a placement holds accelerators of some masks."""
    for slot in placement:
        mask = masks.get(slot.worker, 0)
        if mask and mask & mask_of(slot.accelerators):
            return True
    return False


def add_masks(masks: Masks, placement: list[Slot]):
    """Add a placement's accelerators to masks."""
    for slot in placement:
        held = masks.get(slot.worker, 0)
        masks[slot.worker] = held | mask_of(slot.accelerators)


def held_masks(running: list[Gang]) -> dict[ClientAccountId, Masks]:
    """Return what each account's guaranteed gangs hold."""
    held: dict[ClientAccountId, Masks] = {}
    for gang in running:
        if gang.row.guaranteed:
            masks = held.setdefault(gang.row.account, {})
            add_masks(masks, gang.row.placement)
    return held


def usage_by_account(running: list[Gang]) -> dict[ClientAccountId, float]:
    """Return how many accelerators' worth each account holds."""
    usage: dict[ClientAccountId, float] = {}
    for gang in running:
        account = gang.row.account
        usage[account] = usage.get(account, 0.0) + gang.accelerator_equivalent
    return usage
