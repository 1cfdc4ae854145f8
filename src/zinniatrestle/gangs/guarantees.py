"""Bind guaranteed cells to accelerators, so that they can always be reclaimed.

A cell is a block of adjacent accelerators, a worker or a rack that an account is
guaranteed. Others may borrow its accelerators until the account needs them.
"""

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

CELLS_LARGEST_FIRST = [Cell.RACK, Cell.WORKER, Cell.HALF, Cell.PAIR, Cell.ACCELERATOR]


class BoundCell(msgspec.Struct, frozen=True):
    """One guaranteed cell and the accelerators that it is bound to."""

    account: ClientAccountId
    cell: Cell
    masks: dict[WorkerId, int]


class Binding(msgspec.Struct, frozen=True):
    """All bound cells of a failure domain, and the cells that could not be bound."""

    cells: list[BoundCell] = []
    unmet: list[tuple[ClientAccountId, Cell]] = []

    def masks(self, account: ClientAccountId) -> Masks:
        """Return the accelerators bound to an account, by worker."""
        masks: Masks = {}
        for bound_cell in self.cells:
            if bound_cell.account != account:
                continue
            for worker, mask in bound_cell.masks.items():
                masks[worker] = masks.get(worker, 0) | mask
        return masks

    def bound(self) -> Masks:
        """Return all bound accelerators, by worker."""
        masks: Masks = {}
        for bound_cell in self.cells:
            for worker, mask in bound_cell.masks.items():
                masks[worker] = masks.get(worker, 0) | mask
        return masks


class UnboundCapacity:
    """The accelerators of a failure domain that are not bound to a cell yet."""

    def __init__(self, workers: Iterable[ListedHost]):
        self.unbound: Masks = {}
        self.workers_by_rack: dict[RackId, list[WorkerId]] = {}
        self.all_masks: Masks = {}
        self.rack_of: dict[WorkerId, RackId] = {}
        self.rack_unbound: Counter[RackId] = Counter()
        for listed in workers:
            if not listed.accelerators or listed.state is not ListedHostState.LIVE:
                continue
            worker = WorkerId(listed.name)
            self.all_masks[worker] = full_mask(listed.accelerators)
            self.unbound[worker] = self.all_masks[worker]
            self.workers_by_rack.setdefault(listed.rack, []).append(worker)
            self.rack_of[worker] = listed.rack
            self.rack_unbound[listed.rack] += listed.accelerators

    def contains(self, masks: Masks) -> bool:
        """Return whether all accelerators in `masks` exist and are unbound."""
        for worker, mask in masks.items():
            if self.unbound.get(worker, 0) & mask != mask:
                return False
        return True

    def mark_bound(self, masks: Masks):
        """Mark accelerators as bound."""
        for worker, mask in masks.items():
            self.unbound[worker] &= ~mask
            self.rack_unbound[self.rack_of[worker]] -= mask.bit_count()

    def find_cell(self, cell: Cell) -> Masks | None:
        """Return accelerators for a cell, keeping larger blocks whole, or None."""
        if cell is Cell.RACK:
            return self._find_whole_rack()
        size = CELL_ACCELERATORS[cell]
        fitting = []
        for worker, free in self.unbound.items():
            if free_blocks(free, size):
                fitting.append(worker)
        if not fitting:
            return None
        chosen = min(fitting, key=self._unbound_key)
        mask = take_blocks(self.unbound[chosen], size, 1)
        return {chosen: mask}

    def _find_whole_rack(self) -> Masks | None:
        """Return the largest rack without bound accelerators, or None.

        Racks differ in size when some of their workers are lost.
        """
        largest = None
        for rack, workers in self.workers_by_rack.items():
            if any(
                self.unbound[worker] != self.all_masks[worker] for worker in workers
            ):
                continue
            if largest is None or self.rack_unbound[rack] > self.rack_unbound[largest]:
                largest = rack
        if largest is None:
            return None
        return {
            worker: self.all_masks[worker] for worker in self.workers_by_rack[largest]
        }

    def _unbound_key(self, worker: WorkerId) -> tuple[int, int]:
        """Return the unbound accelerators of a worker and of its rack, to sort by."""
        return self.unbound[worker].bit_count(), self.rack_unbound[self.rack_of[worker]]


def bind(
    demands: list[tuple[ClientAccountId, Guarantee]],
    workers: Iterable[ListedHost],
    previous: Binding,
) -> Binding:
    """Bind all demands, keeping previous bindings as long as all cells fit."""
    workers = list(workers)
    kept = _bind_to(demands, UnboundCapacity(workers), previous)
    if not kept.unmet:
        return kept
    # Aligned power-of-two cells pack without fragmentation when they are bound from
    # the largest to the smallest, so start over.
    fresh = _bind_to(demands, UnboundCapacity(workers), Binding())
    return fresh if len(fresh.unmet) < len(kept.unmet) else kept


def demands_of(
    state: ConfigurationState, domain: FailureDomainId
) -> list[tuple[ClientAccountId, Guarantee]]:
    """Return the guarantees of the active accounts in a failure domain."""
    demands = []
    for account, record in sorted(state.accounts.items()):
        if record.state is not AccountState.ACTIVE:
            continue
        for guarantee in state.plans[account].guarantees:
            if guarantee.domain == domain:
                demands.append((account, guarantee))
    return demands


def _bind_to(
    demands: list[tuple[ClientAccountId, Guarantee]],
    unbound: UnboundCapacity,
    previous: Binding,
) -> Binding:
    cells = []
    wanted: Counter[tuple[ClientAccountId, Cell]] = Counter()
    for account, guarantee in demands:
        wanted[(account, guarantee.cell)] += guarantee.count
    for bound_cell in previous.cells:
        demand = (bound_cell.account, bound_cell.cell)
        if not wanted[demand] or not unbound.contains(bound_cell.masks):
            continue
        wanted[demand] -= 1
        unbound.mark_bound(bound_cell.masks)
        cells.append(bound_cell)
    unmet = []
    missing = sorted(
        wanted.elements(), key=lambda item: CELLS_LARGEST_FIRST.index(item[1])
    )
    for account, cell in missing:
        masks = unbound.find_cell(cell)
        if masks is None:
            unmet.append((account, cell))
            continue
        unbound.mark_bound(masks)
        cells.append(BoundCell(account, cell, masks))
    return Binding(cells, unmet)


class GuaranteeRule(AcceptanceRule):
    """Refuse a configuration whose guaranteed cells don't all fit the workers."""

    def __init__(self, hosts: HostList):
        self.hosts = hosts
        self.bindings: dict[FailureDomainId, Binding] = {}

    async def check(self, after: ConfigurationState):
        """Raise GuaranteeError if a guaranteed cell can't be bound."""
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
        # Cells bound at an earlier check keep their accelerators.
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
