"""Plan one scheduling round: which gangs stop, and which start where."""

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
    exclude_workers,
    held_masks,
    overlaps,
    preemption_cost,
    usage_by_account,
    workers_out_of_cores_or_memory,
)
from zinniatrestle.ids import WorkerId

# Compaction relocates only gangs of at most this share of the waiting gang's size.
MAX_RELOCATED_SHARE = 0.5
MAX_RELOCATED_GANGS = 16
# How long a gang avoids workers that refused it and, once queued again, workers on
# which its tasks failed. If it finds no other capacity in that time, it may return.
AVOID_WORKERS_SECONDS = 10.0


class StartOrder(msgspec.Struct):
    """A decision to start a gang at a placement."""

    gang: Gang
    placement: list[Slot]
    guaranteed: bool


class RoundDecision(msgspec.Struct):
    """The gangs to stop and to start; all stops come before the starts."""

    stops: list[Gang]
    starts: list[StartOrder]


class RoundInput(msgspec.Struct):
    """The state from which a round is planned.

    `inventory` holds the free capacity; planning modifies it. `now` is in wall
    seconds. `admitted_share` limits the share of the capacity that may be in use while
    a failure domain returns to service.
    """

    inventory: Inventory
    binding: Binding
    state: ConfigurationState
    running: list[Gang]
    waiting: list[Gang]
    now: float
    admitted_share: float = 1.0


class Planner:
    """Plan rounds with an order policy and a placement policy."""

    def __init__(self, order: OrderPolicy, placement: PlacementPolicy):
        self.order = order
        self.placement = placement

    def plan(self, round_input: RoundInput) -> RoundDecision:
        """Return the gangs to stop and to start in the next round."""
        return RoundPlanner(self, round_input).decide()


class RoundPlanner:
    """Plan a single round.

    Gangs start on their account's guaranteed cells first. Any other gang is a borrower:
    it runs on free or unused guaranteed capacity and may be preempted.
    """

    def __init__(self, planner: Planner, round_input: RoundInput):
        self.order = planner.order
        self.placement = planner.placement
        self.round_input = round_input
        self.inventory = round_input.inventory
        self.borrowers = [
            gang for gang in round_input.running if not gang.row.guaranteed
        ]
        self.borrowers_by_worker: dict[WorkerId, list[Gang]] = {}
        for gang in self.borrowers:
            for slot in gang.row.placement:
                self.borrowers_by_worker.setdefault(slot.worker, []).append(gang)
        self.guaranteed_masks = held_masks(round_input.running)
        self.usage = usage_by_account(round_input.running)
        self.bound_masks = round_input.binding.bound()
        self.unbound_masks = self._unbound_masks()
        self.stops: list[Gang] = []
        self.starts: list[StartOrder] = []
        # Number of tasks of the smallest gang that could not be placed, by shape. A
        # larger gang can't be placed either until another gang stops.
        self.smallest_unplaceable: dict[TaskShape, int] = {}
        # The same for preemption, by shape and priority.
        self.smallest_without_victims: dict[tuple, int] = {}

    def decide(self) -> RoundDecision:
        """Return the gangs to stop and to start."""
        waiting = sorted(self.round_input.waiting, key=self._start_key)
        without_guarantee = []
        for gang in waiting:
            if not self._within_limits(gang):
                continue
            if not self._start_guaranteed(gang):
                without_guarantee.append(gang)
        for gang in without_guarantee:
            if not self._within_limits(gang):
                continue
            self._start_borrowing(gang)
        return RoundDecision(self.stops, self.starts)

    def _start_key(self, gang: Gang) -> tuple:
        # While a failure domain is readmitted in steps, gangs with a checkpoint start
        # first.
        without_checkpoint = (
            self.round_input.admitted_share < 1.0 and gang.row.progress == 0.0
        )
        return (without_checkpoint, *self.order.key(gang, self.round_input.now))

    def _start_guaranteed(self, gang: Gang) -> bool:
        """Start a gang on its account's guaranteed cells; return whether it fits."""
        masks = self._free_guaranteed_masks(gang)
        if not masks or not gang.row.spec.shape.accelerators:
            return False
        trial = self.inventory.subset(masks)
        victims = self._borrowers_on(masks)
        for victim in victims:
            trial.release(victim.row.placement, victim.row.spec.shape)
        placement = self.placement.place(
            trial, gang.row.spec.tasks, gang.row.spec.shape, masks
        )
        if placement is None:
            return False
        self._stop_gangs(self._needed_victims(placement, gang.row.spec.shape, victims))
        self._start(gang, placement, guaranteed=True)
        return True

    def _free_guaranteed_masks(self, gang: Gang) -> Masks:
        """Return the account's guaranteed accelerators not held by its own gangs."""
        masks = {}
        held = self.guaranteed_masks.get(gang.row.account, {})
        avoided = self._avoided_workers(gang)
        for worker, mask in self.round_input.binding.masks(gang.row.account).items():
            if worker in avoided:
                continue
            unheld = mask & ~held.get(worker, 0)
            if unheld:
                masks[worker] = unheld
        return masks

    def _start_borrowing(self, gang: Gang):
        """Start a gang on free capacity, by compaction, or by preemption."""
        spec = gang.row.spec
        avoided = self._avoided_workers(gang)
        smallest = self.smallest_unplaceable.get(spec.shape)
        if smallest is None or spec.tasks < smallest:
            placement = self._find_free(gang, avoided)
            if placement is not None:
                self._start(gang, placement, guaranteed=False)
                return
            if self._start_by_compaction(gang, avoided):
                return
            if not avoided:
                self.smallest_unplaceable[spec.shape] = spec.tasks
        self._start_by_preemption(gang, avoided)

    def _avoided_workers(self, gang: Gang) -> frozenset[WorkerId]:
        """Return the workers that recently refused the gang or failed its tasks."""
        now = self.round_input.now
        avoided = set()
        for worker, wall in gang.refused_by.items():
            if now - wall <= AVOID_WORKERS_SECONDS:
                avoided.add(worker)
        if now - gang.row.queued <= AVOID_WORKERS_SECONDS:
            avoided.update(gang.row.failed_on)
        return frozenset(avoided)

    def _find_free(self, gang: Gang, avoided: frozenset[WorkerId]) -> list[Slot] | None:
        """Return a placement on free capacity, preferably outside guaranteed cells."""
        spec = gang.row.spec
        if not self.inventory.may_fit(spec.tasks, spec.shape):
            return None
        if spec.shape.accelerators and self.bound_masks:
            masks = exclude_workers(self.unbound_masks, avoided)
            placement = self.placement.place(
                self.inventory, spec.tasks, spec.shape, masks
            )
            if placement is not None:
                return placement
        masks = self._masks_excluding(avoided)
        return self.placement.place(self.inventory, spec.tasks, spec.shape, masks)

    def _masks_excluding(self, avoided: frozenset[WorkerId]) -> Masks | None:
        if not avoided:
            return None
        masks = dict.fromkeys(self.inventory.capacities, ALL_ACCELERATORS)
        return exclude_workers(masks, avoided)

    def _start_by_compaction(self, gang: Gang, avoided: frozenset[WorkerId]) -> bool:
        """Start a gang on fragmented free capacity by relocating small gangs.

        Only gangs that write checkpoints are relocated, and they start again in the
        same round, so that a relocation costs no more than a restart.
        """
        spec = gang.row.spec
        if not spec.shape.accelerators:
            return False
        if not self.inventory.may_fit(spec.tasks, spec.shape):
            return False
        trial = self.inventory.copy()
        masks = self._masks_excluding(avoided)
        released: list[Gang] = []
        for victim in self._relocatable(gang):
            trial.release(victim.row.placement, victim.row.spec.shape)
            released.append(victim)
            placement = self.placement.place(trial, spec.tasks, spec.shape, masks)
            if placement is None:
                continue
            required = self._needed_victims(placement, spec.shape, released)
            return self._start_and_relocate(gang, placement, required)
        return False

    def _relocatable(self, gang: Gang) -> list[Gang]:
        """Return small borrowers to relocate, those on the emptiest workers first."""
        relocatable = []
        for victim in self.borrowers:
            if victim in self.stops or not victim.row.spec.checkpoints:
                continue
            if (
                victim.accelerator_equivalent
                > MAX_RELOCATED_SHARE * gang.accelerator_equivalent
            ):
                continue
            if self.round_input.now - victim.row.started < QUANTUM_SECONDS:
                continue
            relocatable.append(victim)
        relocatable.sort(key=self._occupancy)
        return relocatable[:MAX_RELOCATED_GANGS]

    def _occupancy(self, gang: Gang) -> tuple[int, float]:
        """Return the accelerators in use on a gang's workers, then the gang's size."""
        held = 0
        for slot in gang.row.placement:
            capacity = self.inventory.capacities.get(slot.worker)
            if capacity is not None:
                held += capacity.accelerators - capacity.free_mask.bit_count()
        return held, gang.accelerator_equivalent

    def _start_and_relocate(
        self, gang: Gang, placement: list[Slot], relocated: list[Gang]
    ) -> bool:
        """Start a gang and relocate others; change nothing unless all can be placed."""
        trial = self.inventory.copy()
        for victim in relocated:
            trial.release(victim.row.placement, victim.row.spec.shape)
        trial.hold(placement, gang.row.spec.shape)
        restarts = []
        for victim in sorted(relocated, key=lambda one: -one.accelerator_equivalent):
            spec = victim.row.spec
            slots = self.placement.place(trial, spec.tasks, spec.shape, None)
            if slots is None:
                return False
            trial.hold(slots, spec.shape)
            restarts.append((victim, slots))
        self._stop_gangs(relocated)
        self._start(gang, placement, guaranteed=False)
        for victim, slots in restarts:
            self._start(victim, slots, guaranteed=False)
        return True

    def _start_by_preemption(self, gang: Gang, avoided: frozenset[WorkerId]):
        """Start a gang by stopping borrowers that it may preempt, cheapest first.

        The number of candidates doubles with each attempt, to limit the attempts.
        """
        spec = gang.row.spec
        now = self.round_input.now
        key = (spec.shape, self.order.key(gang, now)[:2])
        if self.smallest_without_victims.get(key, spec.tasks + 1) <= spec.tasks:
            return
        preemptible = []
        for victim in self.borrowers:
            if victim in self.stops:
                continue
            if self.order.is_preemptible(victim, gang, now):
                preemptible.append(victim)
        preemptible.sort(key=preemption_cost)
        trial = self.inventory.copy()
        release_up_to = 1
        released = 0
        while released < len(preemptible):
            for victim in preemptible[released:release_up_to]:
                trial.release(victim.row.placement, victim.row.spec.shape)
            released = min(release_up_to, len(preemptible))
            release_up_to *= 2
            if not trial.may_fit(spec.tasks, spec.shape):
                continue
            masks = self._masks_excluding(avoided)
            placement = self.placement.place(trial, spec.tasks, spec.shape, masks)
            if placement is None:
                continue
            candidates = preemptible[:released]
            self._stop_gangs(self._needed_victims(placement, spec.shape, candidates))
            self._start(gang, placement, guaranteed=False)
            return
        if not avoided:
            self.smallest_without_victims[key] = spec.tasks

    def _borrowers_on(self, masks: Masks) -> list[Gang]:
        """Return the running borrowers on the workers in `masks`."""
        found = {}
        for worker in masks:
            for gang in self.borrowers_by_worker.get(worker, []):
                if gang not in self.stops:
                    found[gang.row.job] = gang
        return list(found.values())

    def _needed_victims(
        self, placement: list[Slot], shape: TaskShape, candidates: list[Gang]
    ) -> list[Gang]:
        """Return the candidates that must stop to make a placement possible.

        Those that hold its accelerators come first; the cheapest others follow until
        there are enough cores and memory.
        """
        needed: list[Gang] = []
        masks: Masks = {}
        add_masks(masks, placement)
        for gang in candidates:
            if overlaps(gang.row.placement, masks):
                needed.append(gang)
        free = self._cores_and_memory_after(placement, shape, needed)
        lacking = workers_out_of_cores_or_memory(free)
        for gang in sorted(candidates, key=preemption_cost):
            if not lacking:
                break
            if gang in needed:
                continue
            if not any(slot.worker in lacking for slot in gang.row.placement):
                continue
            needed.append(gang)
            free = self._cores_and_memory_after(placement, shape, needed)
            lacking = workers_out_of_cores_or_memory(free)
        return needed

    def _cores_and_memory_after(
        self, placement: list[Slot], shape: TaskShape, stopped: list[Gang]
    ) -> dict[WorkerId, list[float]]:
        """Return the cores and memory that a placement leaves on its workers."""
        free = {}
        for slot in placement:
            capacity = self.inventory.capacities[slot.worker]
            free[slot.worker] = [
                capacity.cores_free - shape.cores * slot.tasks,
                capacity.memory_free - shape.memory_gb * slot.tasks,
            ]
        for gang in stopped:
            other = gang.row.spec.shape
            for slot in gang.row.placement:
                if slot.worker not in free:
                    continue
                free[slot.worker][0] += other.cores * slot.tasks
                free[slot.worker][1] += other.memory_gb * slot.tasks
        return free

    def _stop_gangs(self, victims: list[Gang]):
        for victim in victims:
            self.stops.append(victim)
            self.inventory.release(victim.row.placement, victim.row.spec.shape)
            self.usage[victim.row.account] -= victim.accelerator_equivalent
        if victims:
            self.smallest_unplaceable.clear()
            self.smallest_without_victims.clear()

    def _start(self, gang: Gang, placement: list[Slot], guaranteed: bool):
        self.inventory.hold(placement, gang.row.spec.shape)
        self.starts.append(StartOrder(gang, placement, guaranteed))
        account = gang.row.account
        self.usage[account] = self.usage.get(account, 0.0) + gang.accelerator_equivalent
        if guaranteed:
            held = self.guaranteed_masks.setdefault(account, {})
            add_masks(held, placement)

    def _within_limits(self, gang: Gang) -> bool:
        """Return whether the account's quota and the readmission share allow it."""
        plan = self.round_input.state.plans.get(gang.row.account)
        if plan is None:
            return False
        used = self.usage.get(gang.row.account, 0.0)
        if plan.quota and used + gang.accelerator_equivalent > plan.quota:
            return False
        if self.round_input.admitted_share >= 1.0:
            return True
        return self._within_readmission(gang)

    def _within_readmission(self, gang: Gang) -> bool:
        inventory = self.inventory
        share = self.round_input.admitted_share
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
            masks[worker] = ~self.bound_masks.get(worker, 0)
        return masks
