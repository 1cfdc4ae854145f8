"""Capacity that gangs hold, by worker and by account, and the cost of preemption."""

from zinniatrestle.gangs.blocks import mask_of
from zinniatrestle.gangs.inventory import ROUNDING_TOLERANCE
from zinniatrestle.gangs.messages import Slot
from zinniatrestle.gangs.placement import Masks
from zinniatrestle.gangs.state import Gang
from zinniatrestle.ids import ClientAccountId, WorkerId

# Time that a restart costs each accelerator of a gang, even with a checkpoint.
RESTART_COST_SECONDS = 10.0


def preemption_cost(gang: Gang) -> tuple[float, float]:
    """Return the accelerator-seconds lost by stopping a gang, as a sort key.

    Among gangs of equal cost the one that started last comes first.
    """
    lost = gang.accelerator_equivalent * RESTART_COST_SECONDS
    if not gang.row.spec.checkpoints:
        lost += gang.row.service
    return lost, -gang.row.started


def workers_out_of_cores_or_memory(free: dict[WorkerId, list[float]]) -> set[WorkerId]:
    """Return the workers whose free cores or memory are below zero."""
    return {
        worker
        for worker, cores_and_memory in free.items()
        if min(cores_and_memory) < -ROUNDING_TOLERANCE
    }


def exclude_workers(masks: Masks, avoided: frozenset[WorkerId]) -> Masks:
    """Return the masks without those of `avoided` workers."""
    if not avoided:
        return masks
    return {worker: mask for worker, mask in masks.items() if worker not in avoided}


def overlaps(placement: list[Slot], masks: Masks) -> bool:
    """Return whether a placement holds accelerators that are in `masks`."""
    for slot in placement:
        mask = masks.get(slot.worker, 0)
        if mask and mask & mask_of(slot.accelerators):
            return True
    return False


def add_masks(masks: Masks, placement: list[Slot]):
    """Add a placement's accelerators to `masks`."""
    for slot in placement:
        held = masks.get(slot.worker, 0)
        masks[slot.worker] = held | mask_of(slot.accelerators)


def held_masks(running: list[Gang]) -> dict[ClientAccountId, Masks]:
    """Return the accelerators held on guaranteed cells, by account."""
    held: dict[ClientAccountId, Masks] = {}
    for gang in running:
        if gang.row.guaranteed:
            masks = held.setdefault(gang.row.account, {})
            add_masks(masks, gang.row.placement)
    return held


def usage_by_account(running: list[Gang]) -> dict[ClientAccountId, float]:
    """Return the accelerator equivalents held by each account."""
    usage: dict[ClientAccountId, float] = {}
    for gang in running:
        account = gang.row.account
        usage[account] = usage.get(account, 0.0) + gang.accelerator_equivalent
    return usage
