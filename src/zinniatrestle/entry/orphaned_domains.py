"""Schedulers for failure domains that are out of service and have no host left."""

import asyncio
from collections.abc import Callable

from zinniatrestle.configuration import ConfigurationFollower
from zinniatrestle.configuration.messages import DomainState
from zinniatrestle.errors import PlatformError
from zinniatrestle.gangs import DomainScheduler
from zinniatrestle.ids import FailureDomainId
from zinniatrestle.logs import ComponentLog

POLL_SECONDS = 5.0

log = ComponentLog("orphans")


class OrphanedDomainScheduler:
    """Schedule failure domains that operators have taken out of service.

    Runs a scheduler that competes for the domain's lease. The domain's own hosts renew
    that lease, so it can be taken only once none of them is left. Nothing can start in
    a domain that is out; the scheduler only suspends running gangs, records the
    outcomes of ended ones and moves jobs to other domains, as the domain's own
    scheduler would.
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
        self.tasks: dict[FailureDomainId, list[asyncio.Task]] = {}
        self.schedulers: dict[FailureDomainId, DomainScheduler] = {}

    async def run(self):
        """Poll the states of the failure domains until cancelled."""
        try:
            while True:
                for domain in self.domains:
                    await self._check_domain(domain)
                await asyncio.sleep(POLL_SECONDS)
        finally:
            for domain in list(self.tasks):
                self._cancel_tasks(domain)

    async def _check_domain(self, domain: FailureDomainId):
        out = self.follower.state.domain_state(domain) is DomainState.OUT
        if out and domain not in self.tasks:
            scheduler = self.build(domain)
            self.schedulers[domain] = scheduler
            self.tasks[domain] = [
                asyncio.create_task(scheduler.lease.maintain()),
                asyncio.create_task(scheduler.run()),
            ]
        if not out and domain in self.tasks:
            await self._return_domain(domain)

    async def _return_domain(self, domain: FailureDomainId):
        """Release the lease of a domain back in service to the domain's hosts."""
        scheduler = self.schedulers.pop(domain)
        await scheduler.resign()
        try:
            await scheduler.lease.release()
        except PlatformError as error:
            log.warning(
                "Release of the lease of %s failed; it will expire: %s",
                domain,
                error.detail,
            )
        self._cancel_tasks(domain)

    def _cancel_tasks(self, domain: FailureDomainId):
        for task in self.tasks.pop(domain):
            task.cancel()
