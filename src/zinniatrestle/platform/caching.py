"""Share one reading of the platform's list between the parts of a host."""

import asyncio

from zinniatrestle.clock import monotonic
from zinniatrestle.platform.interfaces import HostList
from zinniatrestle.platform.messages import ListedHost

FRESH_SECONDS = 0.9


class CachedHostList(HostList):
    """Read the list at most once in `FRESH_SECONDS`."""

    def __init__(self, inner: HostList):
        self.inner = inner
        self.listed: list[ListedHost] = []
        self.read_at = -FRESH_SECONDS
        self.lock = asyncio.Lock()

    async def hosts(self) -> list[ListedHost]:
        """Return the machines known to the platform."""
        async with self.lock:
            if monotonic() - self.read_at >= FRESH_SECONDS:
                self.listed = await self.inner.hosts()
                self.read_at = monotonic()
        return self.listed
