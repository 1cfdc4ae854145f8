"""Share one reading of the platform's list between the parts of a host."""

import asyncio

from zinniatrestle.clock import monotonic
from zinniatrestle.store.interfaces import HostList
from zinniatrestle.store.messages import ListedHost

MIN_REFRESH_SECONDS = 0.9
# A longer list is read less often, so that its bytes a second stay bounded.
MAX_HOSTS_READ_PER_SECOND = 50.0


class CachedHostList(HostList):
    """Read the list at most once in `FRESH_SECONDS`, a long one less often."""

    def __init__(self, inner: HostList):
        self.inner = inner
        self.listed: list[ListedHost] = []
        self.read_at = -MIN_REFRESH_SECONDS
        self.lock = asyncio.Lock()

    async def hosts(self) -> list[ListedHost]:
        """Return the machines known to the platform."""
        async with self.lock:
            max_age_seconds = max(
                MIN_REFRESH_SECONDS, len(self.listed) / MAX_HOSTS_READ_PER_SECOND
            )
            if monotonic() - self.read_at >= max_age_seconds:
                self.listed = await self.inner.hosts()
                self.read_at = monotonic()
        return self.listed
