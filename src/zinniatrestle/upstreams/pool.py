"""Choose minions and hold their slots."""

import random
from collections.abc import Collection

from zinniatrestle.ids import FailureDomainId, HostId, MinionId, ServiceName
from zinniatrestle.logs import ComponentLog
from zinniatrestle.store.messages import HostRole, ListedHost, ListedHostState
from zinniatrestle.upstreams.messages import MinionAddress
from zinniatrestle.upstreams.slot_shares import SharingHosts, slot_share
from zinniatrestle.upstreams.state import Minion, MinionState

CHOICES = 2
EJECTED_SHARE = 0.67

log = ComponentLog("upstreams")


class UpstreamPool:
    """Hold the minions of this host's failure domain."""

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
        """Take in the platform's list of machines."""
        self.has_list = True
        self.listed = [host for host in listed if host.role is HostRole.MINION]
        seen = set()
        for host in listed:
            if host.role is not HostRole.MINION or host.domain != self.domain:
                continue
            seen.add(MinionId(host.name))
            self._take(host)
        for name in list(self.minions):
            if name in seen:
                continue
            log.info("Minion %s is gone from the list.", name)
            del self.minions[name]
        self.rebalance()

    def rebalance(self):
        """Work out anew which slots of each minion are this host's."""
        sharing_hosts = self.sharing_hosts.sharing_hosts()
        for name, minion in self.minions.items():
            minion.limit = slot_share(name, self.slots, self.host, sharing_hosts)

    def mark_leaving(self, name: MinionId, observed: bool = True):
        """Send nothing new to a minion that says it leaves, before the list does.

        `observed` marks are told to peers; marks that come from peers are not, or
        they would go round for ever.
        """
        minion = self.minions.get(name)
        if minion is None:
            return
        if minion.state is not MinionState.LEAVING:
            log.info("Minion %s is leaving.", name)
        minion.mark_leaving(observed)

    def leaving(self) -> list[MinionId]:
        """Return the minions that this host itself has seen leaving."""
        names = []
        for name, minion in self.minions.items():
            if minion.state is MinionState.LEAVING and minion.leaving_observed:
                names.append(name)
        return names

    def limit(self, name: MinionId) -> int:
        """Return how many slots of a minion this host may use."""
        return self.minions[name].limit

    def capacity(self, service: ServiceName) -> int:
        """Return this host's slots on all minions of a service that take work."""
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
        """Take a slot on the less loaded of two usable minions."""
        usable = []
        for name, minion in self.minions.items():
            if minion.address.service != service or name in tried:
                continue
            if minion.usable():
                usable.append(minion)
        if not usable:
            return None
        drawn = self.random.sample(usable, min(CHOICES, len(usable)))
        chosen = min(drawn, key=_load)
        chosen.in_use += 1
        return chosen

    def release(self, minion: Minion):
        """Free a slot."""
        minion.in_use -= 1

    def record_failure(self, minion: Minion):
        """Note a failure; never eject more than a share of the service."""
        service = minion.address.service
        fellows = [m for m in self.minions.values() if m.address.service == service]
        ejected = [m for m in fellows if m.state is MinionState.EJECTED]
        minion.record_failure(
            may_eject=len(ejected) + 1 <= EJECTED_SHARE * len(fellows)
        )
        if minion.state is MinionState.EJECTED:
            log.warning("Minion %s is ejected.", minion.address.minion)

    def _take(self, host: ListedHost):
        name = MinionId(host.name)
        address = MinionAddress(
            name, ServiceName(host.service), host.domain, host.address
        )
        minion = self.minions.get(name)
        # Another address under the same name is a replaced machine.
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
