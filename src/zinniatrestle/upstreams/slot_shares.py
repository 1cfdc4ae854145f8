"""Share a minion's slots between the hosts of its failure domain."""

from abc import ABC, abstractmethod

import xxhash

from zinniatrestle.ids import HostId, MinionId


class SharingHosts(ABC):
    """Tell which hosts share the minions of this failure domain."""

    @abstractmethod
    def sharing_hosts(self) -> list[HostId]:
        """Return the hosts that may use slots, this one among them, sorted."""


class FixedSharingHosts(SharingHosts):
    """Share between hosts that never change."""

    def __init__(self, hosts: list[HostId]):
        self.hosts = sorted(hosts)

    def sharing_hosts(self) -> list[HostId]:
        """Return the hosts it was given."""
        return self.hosts


def slot_share(
    minion: MinionId, slots: int, host: HostId, sharing_hosts: list[HostId]
) -> int:
    """Return how many of a minion's slots one host may use.

    The shares of all hosts sum to `slots`; which host gets the odd slots differs
    from minion to minion.
    """
    if host not in sharing_hosts:
        return 0
    base, odd = divmod(slots, len(sharing_hosts))
    turn = xxhash.xxh32_intdigest(minion.encode()) % len(sharing_hosts)
    place = (sharing_hosts.index(host) - turn) % len(sharing_hosts)
    return base + (1 if place < odd else 0)
