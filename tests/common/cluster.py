"""Small clusters of domain schedulers on the embedded platform."""

import asyncio

from zinniatrestle.clock import LoopClock
from zinniatrestle.configuration import ChangeService, ConfigurationFollower
from zinniatrestle.configuration.messages import (
    ApplyAccount,
    Change,
    PutTemplate,
    Template,
)
from zinniatrestle.domains import PermitIssuer
from zinniatrestle.gangs import DomainScheduler, GuaranteeRule, JobService
from zinniatrestle.gangs.job_store import JobReader
from zinniatrestle.gangs.messages import JobRow, JobSpec
from zinniatrestle.gangs.order import AttainedServiceOrder
from zinniatrestle.gangs.placement import BestFitRack
from zinniatrestle.gangs.planner import Planner
from zinniatrestle.ids import (
    ClientAccountId,
    FailureDomainId,
    HostId,
    JobId,
    RackId,
    Revision,
    TemplateName,
    new_operation_token,
)
from zinniatrestle.in_progress import InProgress
from zinniatrestle.store.embedded import EmbeddedPlatform
from zinniatrestle.store.leases import Lease
from zinniatrestle.store.messages import HostRole, ListedHost

DOMAIN = FailureDomainId("lima")
ACCOUNT = ClientAccountId("norte")
WORKERS_PER_RACK = 8
GRACE_SECONDS = 30.0


def listed_worker(number: int, domain: FailureDomainId = DOMAIN) -> ListedHost:
    """Return a listed worker with 8 accelerators, in a rack of 8 workers."""
    return ListedHost(
        name=f"{domain}-w{number}",
        role=HostRole.WORKER,
        domain=domain,
        address="127.0.0.1:1",
        rack=RackId(f"{domain}-r{number // WORKERS_PER_RACK}"),
        accelerators=8,
        cores=32.0,
        memory_gb=128.0,
    )


def template_plan(**changes) -> dict:
    """Return the plan of a template with some fields changed."""
    body = {"domains": [DOMAIN], "offline_grace_seconds": GRACE_SECONDS}
    body.update(changes)
    return body


class GangCluster:
    """One failure domain with a scheduler on each of its hosts."""

    def __init__(self, workers: int, hosts: int = 1):
        self.clock = LoopClock()
        listed = [listed_worker(number) for number in range(workers)]
        self.platform = EmbeddedPlatform(listed, self.clock)
        self.schedulers: list[DomainScheduler] = []
        self.tasks: list[list[asyncio.Task]] = []
        for number in range(hosts):
            self.schedulers.append(self._scheduler(HostId(f"h{number}")))
        self.follower = self.schedulers[0].follower
        rules = [GuaranteeRule(self.platform.hosts)]
        self.changes = ChangeService(
            self.platform.table, self.follower, self.clock, rules
        )
        self.job_service = JobService(
            self.platform.table, self.platform.hosts, self.follower, self.clock
        )

    @classmethod
    async def start(cls, workers: int, hosts: int = 1, **changes) -> "GangCluster":
        """Return a running cluster with one account."""
        cluster = cls(workers, hosts)
        for scheduler in cluster.schedulers:
            cluster.tasks.append(cluster._run(scheduler))
        await cluster.apply_account(ACCOUNT, **changes)
        await asyncio.sleep(2)
        return cluster

    async def apply_account(self, account: ClientAccountId, **changes):
        """Apply an account with its own template."""
        name = TemplateName(f"for-{account}")
        await self.change(PutTemplate(Template(name, template_plan(**changes))))
        await self.change(ApplyAccount(account, name, f"digest-{account}"))

    async def change(self, change: Change) -> Revision:
        """Submit a configuration change."""
        return await self.changes.submit(change, new_operation_token())

    async def submit(self, spec: JobSpec, account: ClientAccountId = ACCOUNT) -> JobId:
        """Submit a job."""
        return (await self.job_service.submit(account, spec, None)).job

    async def row(self, job: JobId, account: ClientAccountId = ACCOUNT) -> JobRow:
        """Return a job's row."""
        return await JobReader(self.platform.table).find(account, job)

    def held_leases(self) -> int:
        """Return how many leases the workers hold."""
        total = 0
        for state in self.platform.workers.states.values():
            total += len(state.report().leases)
        return total

    async def kill(self, number: int):
        """Cancel a host's tasks without an orderly shutdown."""
        for task in self.tasks[number]:
            task.cancel()
        await asyncio.gather(*self.tasks[number], return_exceptions=True)

    def _scheduler(self, host: HostId) -> DomainScheduler:
        follower = ConfigurationFollower(self.platform.table, self.clock)
        lease = Lease(f"domain/{DOMAIN}", host, self.platform.table)
        return DomainScheduler(
            DOMAIN,
            self.platform,
            lease,
            follower,
            PermitIssuer(follower, self.clock),
            Planner(AttainedServiceOrder(), BestFitRack()),
            InProgress(),
            self.clock,
        )

    def _run(self, scheduler: DomainScheduler) -> list[asyncio.Task]:
        return [
            asyncio.create_task(scheduler.lease.maintain()),
            asyncio.create_task(scheduler.follower.follow()),
            asyncio.create_task(scheduler.run()),
        ]
