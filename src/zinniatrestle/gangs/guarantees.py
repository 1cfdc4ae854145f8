"""Bind guaranteed cells to accelerators, so that they can always be reclaimed."""

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
from zinniatrestle.platform.interfaces import HostList
from zinniatrestle.platform.messages import HostRole, HostStanding, ListedHost

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


class CellRoom:
    """Hold the accelerators of a failure domain that are not bound yet."""

    def __init__(self, workers: Iterable[ListedHost]):
        self.free: Masks = {}
        self.racks: dict[RackId, list[WorkerId]] = {}
        self.full: Masks = {}
        for listed in workers:
            if not listed.accelerators or listed.standing is not HostStanding.LIVE:
                continue
            worker = WorkerId(listed.name)
            self.full[worker] = full_mask(listed.accelerators)
            self.free[worker] = self.full[worker]
            self.racks.setdefault(listed.rack, []).append(worker)

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
        for workers in self.racks.values():
            whole = all(self.free[worker] == self.full[worker] for worker in workers)
            if whole:
                return {worker: self.full[worker] for worker in workers}
        return None

    def _openness(self, worker: WorkerId) -> tuple[int, int]:
        """Order workers by what they and their rack have unbound."""
        for workers in self.racks.values():
            if worker not in workers:
                continue
            rack_free = sum(self.free[fellow].bit_count() for fellow in workers)
            return self.free[worker].bit_count(), rack_free
        return self.free[worker].bit_count(), 0


def bind(
    demands: list[tuple[ClientAccountId, Guarantee]],
    workers: Iterable[ListedHost],
    previous: Binding,
) -> Binding:
    """Bind all demands, keeping cells where they were as long as that works."""
    workers = list(workers)
    kept = _bind(demands, CellRoom(workers), previous)
    if not kept.unmet:
        return kept
    # Bound afresh from the largest cell down, aligned cells always pack.
    fresh = _bind(demands, CellRoom(workers), Binding())
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
    demands: list[tuple[ClientAccountId, Guarantee]], room: CellRoom, previous: Binding
) -> Binding:
    cells = []
    wanted = []
    for account, guarantee in demands:
        wanted.extend([(account, guarantee.cell)] * guarantee.count)
    for bound in previous.cells:
        demand = (bound.account, bound.cell)
        if demand not in wanted or not room.holds(bound.masks):
            continue
        wanted.remove(demand)
        room.take(bound.masks)
        cells.append(bound)
    unmet = []
    for account, cell in sorted(wanted, key=lambda item: LARGEST_FIRST.index(item[1])):
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
        binding = bind(demands_of(after, domain), workers, Binding())
        if not binding.unmet:
            return
        account, cell = binding.unmet[0]
        raise GuaranteeError(
            f"The workers of {domain} can't hold all guaranteed cells: no {cell.value} "
            f"is left for {account}. Lower a guarantee or add workers."
        )


def _is_worker_of(host: ListedHost, domain: FailureDomainId) -> bool:
    return host.role is HostRole.WORKER and host.domain == domain
