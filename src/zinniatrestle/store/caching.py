"""Cache of the platform's list of hosts, shared by the parts of one host."""

import asyncio

from zinniatrestle.clock import monotonic
from zinniatrestle.store.interfaces import HostList
from zinniatrestle.store.messages import ListedHost

MIN_REFRESH_SECONDS = 0.9
# A longer list is read less often, to bound the bytes read per second.
MAX_HOSTS_READ_PER_SECOND = 50.0


class CachedHostList(HostList):
    """Cache the list for `MIN_REFRESH_SECONDS`, or for longer if it is long."""

    def __init__(self, inner: HostList):
        self.inner = inner
        self.listed: list[ListedHost] = []
        self.read_at = -MIN_REFRESH_SECONDS
        self.lock = asyncio.Lock()

    async def hosts(self) -> list[ListedHost]:
        """Return the listed hosts, at most as old as the cache allows."""
        async with self.lock:
            max_age_seconds = max(
                MIN_REFRESH_SECONDS, len(self.listed) / MAX_HOSTS_READ_PER_SECOND
            )
            if monotonic() - self.read_at >= max_age_seconds:
                self.listed = await self.inner.hosts()
                self.read_at = monotonic()
        return self.listed
