"""Division of a minion's slots between the hosts of its failure domain."""

from abc import ABC, abstractmethod

import xxhash

from zinniatrestle.ids import HostId, MinionId


class SharingHosts(ABC):
    """Provide the hosts that share the minions of this failure domain."""

    @abstractmethod
    def sharing_hosts(self) -> list[HostId]:
        """Return the sorted hosts that may use slots, this one included."""


class FixedSharingHosts(SharingHosts):
    """A fixed set of hosts."""

    def __init__(self, hosts: list[HostId]):
        self.hosts = sorted(hosts)

    def sharing_hosts(self) -> list[HostId]:
        """Return the fixed hosts, sorted."""
        return self.hosts


def slot_share(
    minion: MinionId, slots: int, host: HostId, sharing_hosts: list[HostId]
) -> int:
    """Return the number of a minion's slots that one host may use.

    The shares of all hosts sum to `slots`. A hash of the minion's name decides which
    hosts get the slots of the remainder, so that these are spread over the hosts.
    """
    if host not in sharing_hosts:
        return 0
    base, remainder = divmod(slots, len(sharing_hosts))
    first_index = xxhash.xxh32_intdigest(minion.encode()) % len(sharing_hosts)
    position = (sharing_hosts.index(host) - first_index) % len(sharing_hosts)
    return base + (1 if position < remainder else 0)
