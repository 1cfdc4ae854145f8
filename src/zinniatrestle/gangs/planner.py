"""Decide one round: which gangs stop and which start where."""

import msgspec

from zinniatrestle.configuration import ConfigurationState
from zinniatrestle.gangs.guarantees import Binding
from zinniatrestle.gangs.inventory import Inventory
from zinniatrestle.gangs.messages import Slot, TaskShape
from zinniatrestle.gangs.order import QUANTUM_SECONDS, OrderPolicy
from zinniatrestle.gangs.placement import ALL_ACCELERATORS, Masks, PlacementPolicy
from zinniatrestle.gangs.state import Gang
from zinniatrestle.gangs.usage import (
    add_masks,
    eviction_cost,
    exclude_workers,
    held_masks,
    overlaps,
    usage_by_account,
    workers_out_of_cores_or_memory,
)
from zinniatrestle.ids import WorkerId

# Only gangs of at most this share of a waiting gang's width are moved for it.
MOVED_SHARE = 0.5
MOST_MOVES = 16
# A gang that finds no other room for this long returns to workers it failed on.
AVOID_SECONDS = 10.0


class StartOrder(msgspec.Struct):
    """Start a gang at a placement."""

    gang: Gang
    placement: list[Slot]
    guaranteed: bool


class RoundDecision(msgspec.Struct):
    """What a scheduler does next: stops first, then starts."""

    stops: list[Gang]
    starts: list[StartOrder]


class RoundInput(msgspec.Struct):
    """What a round is decided from.

    `inventory` holds only what is free and is used up by the round.
    """

    inventory: Inventory
    binding: Binding
    state: ConfigurationState
    running: list[Gang]
    waiting: list[Gang]
    now: float
    admitted_share: float = 1.0


class Planner:
    """Decide rounds by an order and a placement policy."""

    def __init__(self, order: OrderPolicy, placement: PlacementPolicy):
        self.order = order
        self.placement = placement

    def plan(self, given: RoundInput) -> RoundDecision:
        """Return the next round."""
        return RoundPlan(self, given).decide()


class RoundPlan:
    """Work out one round."""

    def __init__(self, planner: Planner, given: RoundInput):
        self.order = planner.order
        self.placement = planner.placement
        self.given = given
        self.inventory = given.inventory
        self.borrowers = [gang for gang in given.running if not gang.row.guaranteed]
        self.by_worker: dict[WorkerId, list[Gang]] = {}
        for gang in self.borrowers:
            for slot in gang.row.placement:
                self.by_worker.setdefault(slot.worker, []).append(gang)
        self.guaranteed_masks = held_masks(given.running)
        self.usage = usage_by_account(given.running)
        self.bound = given.binding.bound()
        self.unbound = self._unbound_masks()
        self.stops: list[Gang] = []
        self.starts: list[StartOrder] = []
        # The smallest gang of a shape that found no room; a larger one can't
        # either until something stops.
        self.no_room: dict[TaskShape, int] = {}
        self.no_victims: dict[tuple, int] = {}

    def decide(self) -> RoundDecision:
        """Return the round."""
        waiting = sorted(self.given.waiting, key=self._key)
        rest = []
        for gang in waiting:
            if not self._within_limits(gang):
                continue
            if not self._start_guaranteed(gang):
                rest.append(gang)
        for gang in rest:
            if not self._within_limits(gang):
                continue
            self._start_borrowing(gang)
        return RoundDecision(self.stops, self.starts)

    def _key(self, gang: Gang) -> tuple:
        # While capacity returns, gangs with a checkpoint go first.
        resumed_first = self.given.admitted_share < 1.0 and gang.row.progress == 0.0
        return (resumed_first, *self.order.key(gang, self.given.now))

    def _start_guaranteed(self, gang: Gang) -> bool:
        """Start a gang within its account's bound cells, if it fits them."""
        masks = self._guaranteed_room(gang)
        if not masks or not gang.row.spec.shape.accelerators:
            return False
        room = self.inventory.subset(masks)
        victims = self._borrowers_on(masks)
        for victim in victims:
            room.release(victim.row.placement, victim.row.spec.shape)
        placement = self.placement.place(
            room, gang.row.spec.tasks, gang.row.spec.shape, masks
        )
        if placement is None:
            return False
        self._evict(self._needed_victims(placement, gang.row.spec.shape, victims))
        self._start(gang, placement, guaranteed=True)
        return True

    def _guaranteed_room(self, gang: Gang) -> Masks:
        """Return the account's bound accelerators that none of its gangs holds."""
        masks = {}
        held = self.guaranteed_masks.get(gang.row.account, {})
        avoided = self._avoided(gang)
        for worker, mask in self.given.binding.masks(gang.row.account).items():
            if worker in avoided:
                continue
            left = mask & ~held.get(worker, 0)
            if left:
                masks[worker] = left
        return masks

    def _start_borrowing(self, gang: Gang):
        """Start a gang on free room, or on room that others must yield."""
        spec = gang.row.spec
        avoided = self._avoided(gang)
        smallest = self.no_room.get(spec.shape)
        if smallest is None or spec.tasks < smallest:
            placement = self._find_free(gang, avoided)
            if placement is not None:
                self._start(gang, placement, guaranteed=False)
                return
            if self._start_by_compaction(gang, avoided):
                return
            if not avoided:
                self.no_room[spec.shape] = spec.tasks
        self._start_by_preemption(gang, avoided)

    def _avoided(self, gang: Gang) -> frozenset[WorkerId]:
        """Return the workers that failed or refused the gang of late."""
        now = self.given.now
        avoided = set()
        for worker, wall in gang.refused_by.items():
            if now - wall <= AVOID_SECONDS:
                avoided.add(worker)
        if now - gang.row.queued <= AVOID_SECONDS:
            avoided.update(gang.row.failed_on)
        return frozenset(avoided)

    def _find_free(self, gang: Gang, avoided: frozenset[WorkerId]) -> list[Slot] | None:
        spec = gang.row.spec
        if not self.inventory.may_fit(spec.tasks, spec.shape):
            return None
        if spec.shape.accelerators and self.bound:
            masks = exclude_workers(self.unbound, avoided)
            placement = self.placement.place(
                self.inventory, spec.tasks, spec.shape, masks
            )
            if placement is not None:
                return placement
        masks = self._everything_but(avoided)
        return self.placement.place(self.inventory, spec.tasks, spec.shape, masks)

    def _everything_but(self, avoided: frozenset[WorkerId]) -> Masks | None:
        if not avoided:
            return None
        masks = dict.fromkeys(self.inventory.capacities, ALL_ACCELERATORS)
        return exclude_workers(masks, avoided)

    def _start_by_compaction(self, gang: Gang, avoided: frozenset[WorkerId]) -> bool:
        """Start a gang for which enough is free in pieces, by moving small gangs.

        They are checkpointed and start again in the same round, so that all a move
        costs is a restart.
        """
        spec = gang.row.spec
        if not spec.shape.accelerators:
            return False
        if not self.inventory.may_fit(spec.tasks, spec.shape):
            return False
        room = self.inventory.copy()
        masks = self._everything_but(avoided)
        released: list[Gang] = []
        for victim in self._movable(gang):
            room.release(victim.row.placement, victim.row.spec.shape)
            released.append(victim)
            placement = self.placement.place(room, spec.tasks, spec.shape, masks)
            if placement is None:
                continue
            moved = self._needed_victims(placement, spec.shape, released)
            return self._move(gang, placement, moved)
        return False

    def _movable(self, gang: Gang) -> list[Gang]:
        """Return small borrowers that may move, those on emptier workers first."""
        movable = []
        for victim in self.borrowers:
            if victim in self.stops or not victim.row.spec.checkpoints:
                continue
            if (
                victim.accelerator_equivalent
                > MOVED_SHARE * gang.accelerator_equivalent
            ):
                continue
            if self.given.now - victim.row.started < QUANTUM_SECONDS:
                continue
            movable.append(victim)
        movable.sort(key=self._held_beside)
        return movable[:MOST_MOVES]

    def _held_beside(self, gang: Gang) -> tuple[int, float]:
        """Return how much is held on the workers of a gang."""
        held = 0
        for slot in gang.row.placement:
            room = self.inventory.capacities.get(slot.worker)
            if room is not None:
                held += room.accelerators - room.free.bit_count()
        return held, gang.accelerator_equivalent

    def _move(self, gang: Gang, placement: list[Slot], moved: list[Gang]) -> bool:
        """Start a gang and place the moved ones anew, or do nothing at all."""
        room = self.inventory.copy()
        for victim in moved:
            room.release(victim.row.placement, victim.row.spec.shape)
        room.hold(placement, gang.row.spec.shape)
        again = []
        for victim in sorted(moved, key=lambda one: -one.accelerator_equivalent):
            spec = victim.row.spec
            slots = self.placement.place(room, spec.tasks, spec.shape, None)
            if slots is None:
                return False
            room.hold(slots, spec.shape)
            again.append((victim, slots))
        self._evict(moved)
        self._start(gang, placement, guaranteed=False)
        for victim, slots in again:
            self._start(victim, slots, guaranteed=False)
        return True

    def _start_by_preemption(self, gang: Gang, avoided: frozenset[WorkerId]):
        spec = gang.row.spec
        now = self.given.now
        key = (spec.shape, self.order.key(gang, now)[:2])
        if self.no_victims.get(key, spec.tasks + 1) <= spec.tasks:
            return
        yielding = []
        for victim in self.borrowers:
            if victim in self.stops:
                continue
            if self.order.is_preemptible(victim, gang, now):
                yielding.append(victim)
        yielding.sort(key=eviction_cost)
        room = self.inventory.copy()
        count = 1
        released = 0
        while released < len(yielding):
            for victim in yielding[released:count]:
                room.release(victim.row.placement, victim.row.spec.shape)
            released = min(count, len(yielding))
            count *= 2
            if not room.may_fit(spec.tasks, spec.shape):
                continue
            masks = self._everything_but(avoided)
            placement = self.placement.place(room, spec.tasks, spec.shape, masks)
            if placement is None:
                continue
            candidates = yielding[:released]
            self._evict(self._needed_victims(placement, spec.shape, candidates))
            self._start(gang, placement, guaranteed=False)
            return
        if not avoided:
            self.no_victims[key] = spec.tasks

    def _borrowers_on(self, masks: Masks) -> list[Gang]:
        """Return the borrowers on the workers of some masks."""
        found = {}
        for worker in masks:
            for gang in self.by_worker.get(worker, []):
                if gang not in self.stops:
                    found[gang.row.job] = gang
        return list(found.values())

    def _needed_victims(
        self, placement: list[Slot], shape: TaskShape, candidates: list[Gang]
    ) -> list[Gang]:
        """Return the candidates that must stop for a placement, cheapest first."""
        needed: list[Gang] = []
        masks: Masks = {}
        add_masks(masks, placement)
        for gang in candidates:
            if overlaps(gang.row.placement, masks):
                needed.append(gang)
        free = self._free_after(placement, shape, needed)
        short = workers_out_of_cores_or_memory(free)
        for gang in sorted(candidates, key=eviction_cost):
            if not short:
                break
            if gang in needed:
                continue
            if not any(slot.worker in short for slot in gang.row.placement):
                continue
            needed.append(gang)
            free = self._free_after(placement, shape, needed)
            short = workers_out_of_cores_or_memory(free)
        return needed

    def _free_after(
        self, placement: list[Slot], shape: TaskShape, stopped: list[Gang]
    ) -> dict[WorkerId, list[float]]:
        """Return cores and memory left on the placement's workers."""
        free = {}
        for slot in placement:
            room = self.inventory.capacities[slot.worker]
            free[slot.worker] = [
                room.cores_free - shape.cores * slot.tasks,
                room.memory_free - shape.memory_gb * slot.tasks,
            ]
        for gang in stopped:
            other = gang.row.spec.shape
            for slot in gang.row.placement:
                if slot.worker not in free:
                    continue
                free[slot.worker][0] += other.cores * slot.tasks
                free[slot.worker][1] += other.memory_gb * slot.tasks
        return free

    def _evict(self, victims: list[Gang]):
        for victim in victims:
            self.stops.append(victim)
            self.inventory.release(victim.row.placement, victim.row.spec.shape)
            self.usage[victim.row.account] -= victim.accelerator_equivalent
        if victims:
            self.no_room.clear()
            self.no_victims.clear()

    def _start(self, gang: Gang, placement: list[Slot], guaranteed: bool):
        self.inventory.hold(placement, gang.row.spec.shape)
        self.starts.append(StartOrder(gang, placement, guaranteed))
        account = gang.row.account
        self.usage[account] = self.usage.get(account, 0.0) + gang.accelerator_equivalent
        if guaranteed:
            held = self.guaranteed_masks.setdefault(account, {})
            add_masks(held, placement)

    def _within_limits(self, gang: Gang) -> bool:
        """Tell whether the account's quota and the re-admission allow a start."""
        plan = self.given.state.plans.get(gang.row.account)
        if plan is None:
            return False
        used = self.usage.get(gang.row.account, 0.0)
        if plan.quota and used + gang.accelerator_equivalent > plan.quota:
            return False
        if self.given.admitted_share >= 1.0:
            return True
        return self._within_readmission(gang)

    def _within_readmission(self, gang: Gang) -> bool:
        inventory = self.inventory
        share = self.given.admitted_share
        if gang.row.spec.shape.accelerators:
            used = inventory.accelerators - inventory.accelerators_free
            wanted = gang.row.spec.shape.accelerators * gang.row.spec.tasks
            return used + wanted <= share * inventory.accelerators
        used = inventory.cores - inventory.cores_free
        wanted = gang.row.spec.shape.cores * gang.row.spec.tasks
        return used + wanted <= share * inventory.cores

    def _unbound_masks(self) -> Masks:
        masks = {}
        for worker in self.inventory.capacities:
            masks[worker] = ~self.bound.get(worker, 0)
        return masks
