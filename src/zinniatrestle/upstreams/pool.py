"""Pool of minions: load balancing, slots and ejection."""

import random
from collections.abc import Collection

from zinniatrestle.ids import FailureDomainId, HostId, MinionId, ServiceName
from zinniatrestle.logs import ComponentLog
from zinniatrestle.store.messages import HostRole, ListedHost, ListedHostState
from zinniatrestle.upstreams.messages import MinionAddress
from zinniatrestle.upstreams.slot_shares import SharingHosts, slot_share
from zinniatrestle.upstreams.state import Minion, MinionState

# Load balancing by the power of two choices.
SAMPLED_MINIONS = 2
# Limit on the share of a service's minions that are ejected at the same time.
MAX_EJECTED_SHARE = 0.67

log = ComponentLog("upstreams")


class UpstreamPool:
    """The minions of this host's failure domain."""

    def __init__(
        self,
        domain: FailureDomainId,
        host: HostId,
        sharing_hosts: SharingHosts,
        slots: int,
        seed: int,
    ):
        self.domain = domain
        self.host = host
        self.sharing_hosts = sharing_hosts
        self.slots = slots
        self.random = random.Random(seed)
        self.minions: dict[MinionId, Minion] = {}
        self.listed: list[ListedHost] = []
        self.has_list = False
        self.known_addresses: dict[MinionId, MinionAddress] = {}

    def refresh(self, listed: list[ListedHost]):
        """Update the pool from the platform's list of hosts and minions."""
        self.has_list = True
        self.listed = [host for host in listed if host.role is HostRole.MINION]
        listed_names = set()
        for host in listed:
            if host.role is not HostRole.MINION or host.domain != self.domain:
                continue
            listed_names.add(MinionId(host.name))
            self._update_minion(host)
        for name in list(self.minions):
            if name in listed_names:
                continue
            log.info("Minion %s is no longer listed; removing it.", name)
            del self.minions[name]
        self.rebalance()

    def rebalance(self):
        """Recompute this host's share of each minion's slots."""
        sharing_hosts = self.sharing_hosts.sharing_hosts()
        for name, minion in self.minions.items():
            minion.limit = slot_share(name, self.slots, self.host, sharing_hosts)

    def mark_leaving(self, name: MinionId, observed: bool = True):
        """Stop sending to a minion that reports that it leaves.

        The minion reports it earlier than the platform's list does. Marks that this
        host has `observed` itself are announced to peers; marks received from peers
        are not, as they would circulate forever.
        """
        minion = self.minions.get(name)
        if minion is None:
            return
        if minion.state is not MinionState.LEAVING:
            log.info("Minion %s is leaving.", name)
        minion.mark_leaving(observed)

    def leaving(self) -> list[MinionId]:
        """Return the minions that this host itself has observed leaving."""
        names = []
        for name, minion in self.minions.items():
            if minion.state is MinionState.LEAVING and minion.leaving_observed:
                names.append(name)
        return names

    def limit(self, name: MinionId) -> int:
        """Return the number of slots of a minion that this host may use."""
        return self.minions[name].limit

    def capacity(self, service: ServiceName) -> int:
        """Return this host's slots on all minions of a service that accept requests."""
        total = 0
        for minion in self.minions.values():
            if minion.address.service != service:
                continue
            if minion.state in (MinionState.LEAVING, MinionState.EJECTED):
                continue
            total += minion.limit
        return total

    def free_slots(self) -> dict[ServiceName, int]:
        """Return this host's free slots by service."""
        free: dict[ServiceName, int] = {}
        for minion in self.minions.values():
            if minion.state is not MinionState.HEALTHY:
                continue
            service = minion.address.service
            left = max(0, minion.limit - minion.in_use)
            free[service] = free.get(service, 0) + left
        return free

    def choose(
        self, service: ServiceName, tried: Collection[MinionId]
    ) -> Minion | None:
        """Take a slot on the less loaded of two random usable minions.

        Minions in `tried` are left out; None if no usable minion is left.
        """
        usable = []
        for name, minion in self.minions.items():
            if minion.address.service != service or name in tried:
                continue
            if minion.usable():
                usable.append(minion)
        if not usable:
            return None
        sampled = self.random.sample(usable, min(SAMPLED_MINIONS, len(usable)))
        chosen = min(sampled, key=_load)
        chosen.in_use += 1
        return chosen

    def release(self, minion: Minion):
        """Release a slot that `choose` took."""
        minion.in_use -= 1

    def record_failure(self, minion: Minion):
        """Record a failure; ejects up to MAX_EJECTED_SHARE of a service's minions."""
        service = minion.address.service
        service_minions = [
            m for m in self.minions.values() if m.address.service == service
        ]
        ejected = [m for m in service_minions if m.state is MinionState.EJECTED]
        minion.record_failure(
            may_eject=len(ejected) + 1 <= MAX_EJECTED_SHARE * len(service_minions)
        )
        if minion.state is MinionState.EJECTED:
            log.warning(
                "Minion %s is ejected because of failures.", minion.address.minion
            )

    def _update_minion(self, host: ListedHost):
        name = MinionId(host.name)
        address = MinionAddress(
            name, ServiceName(host.service), host.domain, host.address
        )
        minion = self.minions.get(name)
        # A known name with a new address is a replaced machine with no history.
        if minion is None or minion.address.address != host.address:
            minion = Minion(address)
            self.minions[name] = minion
            self.known_addresses[name] = address
        if host.state is ListedHostState.LEAVING:
            self.mark_leaving(name)
        else:
            minion.expire_leaving()


def _load(minion: Minion) -> float:
    return minion.in_use / max(1, minion.limit)
