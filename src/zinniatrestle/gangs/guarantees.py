"""Bind guaranteed cells to accelerators, so that they can always be reclaimed."""

from collections import Counter
from collections.abc import Iterable

import msgspec

from zinniatrestle.configuration import AcceptanceRule, ConfigurationState
from zinniatrestle.configuration.messages import AccountState, Cell, Guarantee
from zinniatrestle.errors import GuaranteeError
from zinniatrestle.gangs.blocks import (
    CELL_ACCELERATORS,
    free_blocks,
    full_mask,
    take_blocks,
)
from zinniatrestle.gangs.placement import Masks
from zinniatrestle.ids import ClientAccountId, FailureDomainId, RackId, WorkerId
from zinniatrestle.store.interfaces import HostList
from zinniatrestle.store.messages import HostRole, ListedHost, ListedHostState

LARGEST_FIRST = [Cell.RACK, Cell.WORKER, Cell.HALF, Cell.PAIR, Cell.ACCELERATOR]


class BoundCell(msgspec.Struct, frozen=True):
    """One guaranteed cell and the accelerators that it is bound to."""

    account: ClientAccountId
    cell: Cell
    masks: dict[WorkerId, int]


class Binding(msgspec.Struct, frozen=True):
    """All bound cells of a failure domain, and the demands that found no room."""

    cells: list[BoundCell] = []
    unmet: list[tuple[ClientAccountId, Cell]] = []

    def masks(self, account: ClientAccountId) -> Masks:
        """Return the accelerators bound to an account, by worker."""
        masks: Masks = {}
        for bound in self.cells:
            if bound.account != account:
                continue
            for worker, mask in bound.masks.items():
                masks[worker] = masks.get(worker, 0) | mask
        return masks

    def bound(self) -> Masks:
        """Return all bound accelerators, by worker."""
        masks: Masks = {}
        for bound in self.cells:
            for worker, mask in bound.masks.items():
                masks[worker] = masks.get(worker, 0) | mask
        return masks


class UnboundCapacity:
    """Hold the accelerators of a failure domain that are not bound yet."""

    def __init__(self, workers: Iterable[ListedHost]):
        self.free: Masks = {}
        self.racks: dict[RackId, list[WorkerId]] = {}
        self.full: Masks = {}
        self.rack_of: dict[WorkerId, RackId] = {}
        self.rack_free: Counter[RackId] = Counter()
        for listed in workers:
            if not listed.accelerators or listed.state is not ListedHostState.LIVE:
                continue
            worker = WorkerId(listed.name)
            self.full[worker] = full_mask(listed.accelerators)
            self.free[worker] = self.full[worker]
            self.racks.setdefault(listed.rack, []).append(worker)
            self.rack_of[worker] = listed.rack
            self.rack_free[listed.rack] += listed.accelerators

    def holds(self, masks: Masks) -> bool:
        """Tell whether accelerators are all there and unbound."""
        for worker, mask in masks.items():
            if self.free.get(worker, 0) & mask != mask:
                return False
        return True

    def take(self, masks: Masks):
        """Bind accelerators."""
        for worker, mask in masks.items():
            self.free[worker] &= ~mask
            self.rack_free[self.rack_of[worker]] -= mask.bit_count()

    def find(self, cell: Cell) -> Masks | None:
        """Return room for a cell that leaves larger cells whole, or None."""
        if cell is Cell.RACK:
            return self._find_rack()
        size = CELL_ACCELERATORS[cell]
        fitting = []
        for worker, free in self.free.items():
            if free_blocks(free, size):
                fitting.append(worker)
        if not fitting:
            return None
        chosen = min(fitting, key=self._openness)
        mask = take_blocks(self.free[chosen], size, 1)
        return {chosen: mask}

    def _find_rack(self) -> Masks | None:
        """Return the largest rack of which nothing is bound.

        A rack that lost a worker is smaller than the others.
        """
        largest = None
        for rack, workers in self.racks.items():
            if any(self.free[worker] != self.full[worker] for worker in workers):
                continue
            if largest is None or self.rack_free[rack] > self.rack_free[largest]:
                largest = rack
        if largest is None:
            return None
        return {worker: self.full[worker] for worker in self.racks[largest]}

    def _openness(self, worker: WorkerId) -> tuple[int, int]:
        """Order workers by what they and their rack have unbound."""
        return self.free[worker].bit_count(), self.rack_free[self.rack_of[worker]]


def bind(
    demands: list[tuple[ClientAccountId, Guarantee]],
    workers: Iterable[ListedHost],
    previous: Binding,
) -> Binding:
    """Bind all demands, keeping cells where they were as long as that works."""
    workers = list(workers)
    kept = _bind(demands, UnboundCapacity(workers), previous)
    if not kept.unmet:
        return kept
    # Bound afresh from the largest cell down, aligned cells always pack.
    fresh = _bind(demands, UnboundCapacity(workers), Binding())
    return fresh if len(fresh.unmet) < len(kept.unmet) else kept


def demands_of(
    state: ConfigurationState, domain: FailureDomainId
) -> list[tuple[ClientAccountId, Guarantee]]:
    """Return what the active accounts are guaranteed in a failure domain."""
    demands = []
    for account, record in sorted(state.accounts.items()):
        if record.state is not AccountState.ACTIVE:
            continue
        for guarantee in state.plans[account].guarantees:
            if guarantee.domain == domain:
                demands.append((account, guarantee))
    return demands


def _bind(
    demands: list[tuple[ClientAccountId, Guarantee]],
    room: UnboundCapacity,
    previous: Binding,
) -> Binding:
    cells = []
    wanted: Counter[tuple[ClientAccountId, Cell]] = Counter()
    for account, guarantee in demands:
        wanted[(account, guarantee.cell)] += guarantee.count
    for bound in previous.cells:
        demand = (bound.account, bound.cell)
        if not wanted[demand] or not room.holds(bound.masks):
            continue
        wanted[demand] -= 1
        room.take(bound.masks)
        cells.append(bound)
    unmet = []
    missing = sorted(wanted.elements(), key=lambda item: LARGEST_FIRST.index(item[1]))
    for account, cell in missing:
        masks = room.find(cell)
        if masks is None:
            unmet.append((account, cell))
            continue
        room.take(masks)
        cells.append(BoundCell(account, cell, masks))
    return Binding(cells, unmet)


class GuaranteeRule(AcceptanceRule):
    """Refuse a configuration whose guaranteed shapes don't all fit the workers."""

    def __init__(self, hosts: HostList):
        self.hosts = hosts
        self.bindings: dict[FailureDomainId, Binding] = {}

    async def check(self, after: ConfigurationState):
        """Raise GuaranteeError when a cell finds no room."""
        domains = set()
        for plan in after.plans.values():
            domains.update(guarantee.domain for guarantee in plan.guarantees)
        if not domains:
            return
        listed = await self.hosts.hosts()
        for domain in sorted(domains):
            self._check_domain(after, domain, listed)

    def _check_domain(
        self,
        after: ConfigurationState,
        domain: FailureDomainId,
        listed: list[ListedHost],
    ):
        workers = [host for host in listed if _is_worker_of(host, domain)]
        # Only what a change adds has to find room anew.
        previous = self.bindings.get(domain, Binding())
        binding = bind(demands_of(after, domain), workers, previous)
        if not binding.unmet:
            self.bindings[domain] = binding
            return
        account, cell = binding.unmet[0]
        raise GuaranteeError(
            f"The workers of {domain} can't hold all guaranteed cells: no {cell.value} "
            f"is left for {account}. Lower a guarantee or add workers."
        )


def _is_worker_of(host: ListedHost, domain: FailureDomainId) -> bool:
    return host.role is HostRole.WORKER and host.domain == domain
