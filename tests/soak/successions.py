"""Counts of waiting jobs while the scheduling host is restarted."""

import asyncio
import random
import signal

import aiohttp
from common.platform_cluster import Host, PlatformCluster, scheduling_host

from zinniatrestle.clock import monotonic
from zinniatrestle.standins.runs import EventKind

# Each takes all accelerators, so they run one after the other.
JOBS = 6
JOB_SECONDS = 4.0
# Hosts and the store have to be calm for this long before a count is checked.
CALM_SECONDS = 4.0
# Jobs that were accepted this long before an answer have to be in its count.
COUNTED_AFTER_SECONDS = 5.0
WATCH_SECONDS = 8.0
ASK_SECONDS = 0.05


class SuccessionCounts:
    """Restart the scheduling host while jobs wait, and ask the others for counts."""

    def __init__(self, cluster: PlatformCluster, rng: random.Random):
        self.cluster = cluster
        self.rng = rng
        self.accepted: dict[str, float] = {}
        self.violations: list[str] = []

    async def run(self) -> list[str]:
        """Return a description of each count that was too low."""
        await asyncio.sleep(CALM_SECONDS)
        workers = len(self.cluster.fleet.workers)
        steps = [{"count": workers, "gpus": 8, "gang": True}]
        for _ in range(JOBS):
            job = f"{self.rng.getrandbits(64):016x}"
            host = self.rng.choice(self.cluster.hosts)
            status = await self.cluster.submit(host, job, JOB_SECONDS, steps)
            if status == 200:
                self.accepted[job] = monotonic()
        await asyncio.sleep(COUNTED_AFTER_SECONDS)
        restarted = await scheduling_host(self.cluster)
        restarting = asyncio.create_task(self._restart(restarted))
        until = monotonic() + WATCH_SECONDS
        while monotonic() < until:
            for host in self.cluster.hosts:
                if host is not restarted:
                    await self._ask(host)
            await asyncio.sleep(ASK_SECONDS)
        await restarting
        return self.violations

    async def _restart(self, host: Host):
        host.process.send_signal(self.rng.choice([signal.SIGTERM, signal.SIGKILL]))
        await host.process.wait()
        await asyncio.sleep(self.rng.uniform(0.0, 2.0))
        await host.start()

    async def _ask(self, host: Host):
        asked_at = monotonic()
        try:
            status, body = await self.cluster.call(host, "GET", "/q/")
        except (aiohttp.ClientError, OSError) as error:
            self.violations.append(f"EXIT: {host.name} answers no count: {error!r}")
            return
        if status != 200:
            return
        begun = {
            event.task.split(".")[0]
            for event in self.cluster.fleet.history
            if event.kind is EventKind.START
        }
        waiting = sum(
            job not in begun and asked_at - at > COUNTED_AFTER_SECONDS
            for job, at in self.accepted.items()
        )
        shown = body["pendingJobs"]
        if shown < waiting / 2:
            self.violations.append(
                f"MIXED: {host.name} shows {shown} of {waiting} waiting jobs"
            )
