"""Serve failure domains that are out and have no host left, to move their jobs."""

import asyncio
from collections.abc import Callable

from zinniatrestle.configuration import ConfigurationFollower
from zinniatrestle.configuration.messages import DomainState
from zinniatrestle.errors import PlatformError
from zinniatrestle.gangs import DomainScheduler
from zinniatrestle.ids import FailureDomainId
from zinniatrestle.logs import ComponentLog

LOOK_SECONDS = 5.0

log = ComponentLog("orphans")


class OrphanedDomainScheduler:
    """Bid for the leases of failure domains that operators have taken out.

    A domain's own hosts renew its lease, so a bid succeeds only once none of them
    is left. Nothing can start in a domain that is out; its scheduler only settles
    and moves jobs, as its own would.
    """

    def __init__(
        self,
        domains: list[FailureDomainId],
        follower: ConfigurationFollower,
        build: Callable[[FailureDomainId], DomainScheduler],
    ):
        self.domains = domains
        self.follower = follower
        self.build = build
        self.serving: dict[FailureDomainId, list[asyncio.Task]] = {}
        self.schedulers: dict[FailureDomainId, DomainScheduler] = {}

    async def run(self):
        """Look after the other failure domains until cancelled."""
        try:
            while True:
                for domain in self.domains:
                    await self._look(domain)
                await asyncio.sleep(LOOK_SECONDS)
        finally:
            for domain in list(self.serving):
                self._end_tasks(domain)

    async def _look(self, domain: FailureDomainId):
        out = self.follower.state.domain_state(domain) is DomainState.OUT
        if out and domain not in self.serving:
            scheduler = self.build(domain)
            self.schedulers[domain] = scheduler
            self.serving[domain] = [
                asyncio.create_task(scheduler.lease.maintain()),
                asyncio.create_task(scheduler.run()),
            ]
        if not out and domain in self.serving:
            await self._give_back(domain)

    async def _give_back(self, domain: FailureDomainId):
        """Hand a returning failure domain to its own hosts."""
        scheduler = self.schedulers.pop(domain)
        await scheduler.resign()
        try:
            await scheduler.lease.release()
        except PlatformError as error:
            log.warning("The lease on %s is left to expire: %s", domain, error.detail)
        self._end_tasks(domain)

    def _end_tasks(self, domain: FailureDomainId):
        for task in self.serving.pop(domain):
            task.cancel()
