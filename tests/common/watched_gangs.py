"""A cluster whose workers are sampled continuously, for tests of gangs."""

import asyncio

from common.crashes import CallCounter
from common.gang_watcher import GangWatcher
from common.hosts import ACCOUNT, LIMA, HostCluster
from zinniatrestle.gangs.messages import JobRow, JobSpec, JobState, TaskShape

EIGHT_ACCELERATORS = TaskShape(accelerators=8, cores=8.0, memory_gb=8.0)
# Starts must end within a few seconds after a failure domain is taken out of service.
LAST_START_AFTER_OUT_SECONDS = 4.0
# An urgent gang, or one that reclaims guaranteed cells, must start within this time.
URGENT_START_SECONDS = 4.9
# Covers a lapsed lease, and the takeover and rebuild by another host.
TAKEOVER_SECONDS = 10.0


class WatchedGangCluster:
    """A cluster with a watcher that samples its workers."""

    def __init__(self, cluster: HostCluster):
        self.cluster = cluster
        self.watcher = GangWatcher(cluster.platform.workers, cluster.clock)
        self.watch_task = asyncio.create_task(self.watcher.watch())

    async def submit(self, spec: JobSpec, account=ACCOUNT, key=None) -> str:
        host = next(iter(self.cluster.hosts.values()))
        return (await host.jobs.submit(account, spec, key)).job

    async def row(self, job: str, account=ACCOUNT) -> JobRow:
        host = next(iter(self.cluster.hosts.values()))
        return await host.jobs.status(account, job)

    async def wait_for_state(
        self, job: str, state: JobState, seconds: float, account=ACCOUNT
    ):
        async with asyncio.timeout(seconds):
            while (await self.row(job, account)).state is not state:
                await asyncio.sleep(0.05)

    def scheduling_host(self, domain=LIMA) -> str:
        for name, host in self.cluster.hosts.items():
            if host.lease.held_until and self.cluster.domain_by_host[name] == domain:
                if host.lease.ownership.value == "held":
                    return name
        raise AssertionError("no host holds the scheduler's lease")

    def check_no_double_runs(self):
        assert self.watcher.double_runs == []

    def held_leases(self) -> int:
        total = 0
        for state in self.cluster.platform.workers.states.values():
            total += len(state.report().leases)
        return total


async def start_watched_cluster(
    domains=(LIMA,), plan=None, **sizes
) -> WatchedGangCluster:
    cluster = await HostCluster.start(list(domains), plan, **sizes)
    await asyncio.sleep(2)
    return WatchedGangCluster(cluster)


def count_scheduler_calls(watched: WatchedGangCluster, name: str, counter: CallCounter):
    scheduler = watched.cluster.hosts[name].scheduler
    scheduler.job_store.table = counter.wrap(scheduler.job_store.table)
    scheduler.fleet.workers = counter.wrap(scheduler.fleet.workers)
