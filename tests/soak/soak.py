"""A randomized soak: real daemons, faults from outside them, promises checked.

Run seeds by hand with `python -m soak.soak SEED [SEED ...]` from the folder tests.
"""

import asyncio
import random
import signal
import sys
import tempfile
from pathlib import Path

import aiohttp
from common.platform_cluster import PlatformCluster, with_cluster

from zinniatrestle.clock import monotonic
from zinniatrestle.standins.relay import LinkState, Relay
from zinniatrestle.standins.runs import EventKind, FaultMode
from zinniatrestle.standins.wire import WireFault
from zinniatrestle.workers.messages import RunOutcome

# s; how long faults come, and how long jobs may still end after them: the longest
# lease, a successor, and the longest job.
FAULT_SECONDS = 12.0
CALM_SECONDS = 60.0
JOBS_A_SECOND = 2.0
GONE = "410"


class Soak:
    """One seeded run on one site."""

    def __init__(self, site: PlatformCluster, relays: list[Relay], seed: int):
        self.site = site
        self.relays = relays
        self.rng = random.Random(seed)
        self.accepted: set[str] = set()
        self.refused: set[str] = set()
        self.unknown: set[str] = set()
        self.cancelled: dict[str, float] = {}
        self.found: list[str] = []
        self.restarting: set[str] = set()
        self.running: list[asyncio.Task] = []

    async def run(self) -> list[str]:
        """Return every broken promise, in words."""
        until = monotonic() + FAULT_SECONDS
        disturbing = asyncio.create_task(self._disturb(until))
        while monotonic() < until:
            await asyncio.sleep(self.rng.expovariate(JOBS_A_SECOND))
            self.running.append(asyncio.create_task(self._caller()))
        await disturbing
        await self._calm()
        await asyncio.gather(*self.running)
        await self._settle()
        self._check_history()
        return self.found

    async def _caller(self):
        job = f"{self.rng.getrandbits(64):016x}"
        steps = [{"count": self.rng.choice([1, 2, 4]), "gpus": 1, "gang": True}]
        tries = refusals = 0
        for _ in range(6):
            host = self.rng.choice(self.site.hosts)
            tries += 1
            try:
                status = await self.site.submit(
                    host, job, self.rng.uniform(0.2, 3.0), steps
                )
            except (aiohttp.ClientError, TimeoutError, OSError):
                await asyncio.sleep(0.3)
                continue
            if status == 200:
                self.accepted.add(job)
                break
            refusals += status in (429, 503)
            await asyncio.sleep(0.3)
        if job not in self.accepted:
            (self.refused if refusals == tries else self.unknown).add(job)
            return
        if self.rng.random() < 0.15:
            await self._cancel(job)

    async def _cancel(self, job: str):
        for _ in range(6):
            try:
                status, _ = await self.site.call(
                    self.rng.choice(self.site.hosts), "DELETE", f"/q/{job}"
                )
            except (aiohttp.ClientError, TimeoutError, OSError):
                continue
            if status == 200:
                self.cancelled[job] = monotonic()
                return

    async def _disturb(self, until: float):
        faults = [
            self._kill,
            self._stop_in_turn,
            self._pause,
            self._disturb_link,
            self._disturb_store,
            self._sicken,
            self._lose_orders,
        ]
        while monotonic() < until:
            await asyncio.sleep(self.rng.uniform(0.5, 2.0))
            fault = self.rng.choice(faults)
            self.running.append(asyncio.create_task(fault()))

    async def _kill(self):
        host = self.rng.choice(self.site.hosts)
        await self._restart(host, signal.SIGKILL, self.rng.uniform(0.1, 2.0))

    async def _stop_in_turn(self):
        for host in self.site.hosts:
            await self._restart(host, signal.SIGTERM, 0.0)

    async def _restart(self, host, number: signal.Signals, pause: float):
        """End a host's process and start it again, unless that is under way."""
        if host.name in self.restarting or host.process.returncode is not None:
            return
        self.restarting.add(host.name)
        host.process.send_signal(number)
        await host.process.wait()
        await asyncio.sleep(pause)
        await host.start()
        self.restarting.discard(host.name)

    async def _pause(self):
        host = self.rng.choice(self.site.hosts)
        if host.process.returncode is not None:
            return
        host.process.send_signal(signal.SIGSTOP)
        await asyncio.sleep(self.rng.uniform(0.5, 5.0))
        if host.process.returncode is None:
            host.process.send_signal(signal.SIGCONT)

    async def _disturb_link(self):
        relay = self.rng.choice(self.relays)
        relay.set_link(self.rng.choice(list(LinkState)))
        await asyncio.sleep(self.rng.uniform(0.5, 5.0))
        relay.set_link(LinkState.HEALTHY)

    async def _disturb_store(self):
        self.site.wire.fault = self.rng.choice(list(WireFault))
        await asyncio.sleep(self.rng.uniform(0.5, 3.0))
        self.site.wire.fault = WireFault.NONE

    async def _sicken(self):
        worker = self.rng.choice(list(self.site.fleet.workers.values()))
        worker.fault_mode = self.rng.choice([FaultMode.HANGS, FaultMode.SHEDS])
        await asyncio.sleep(2.0)
        worker.fault_mode = FaultMode.NONE

    async def _lose_orders(self):
        self.site.rows.drop_history()

    async def _calm(self):
        for relay in self.relays:
            relay.set_link(LinkState.HEALTHY)
        self.site.wire.fault = WireFault.NONE
        await asyncio.sleep(6.0)
        for host in self.site.hosts:
            if host.process.returncode is not None:
                await host.start()
            await self.site.ready(host)

    async def _settle(self):
        until = monotonic() + CALM_SECONDS
        waiting = set(self.accepted)
        while waiting and monotonic() < until:
            for job in list(waiting):
                try:
                    state = await self.site.state(self.site.hosts[0], job)
                except aiohttp.ClientError:
                    continue
                if state in ("completed", "failed", "cancelled"):
                    waiting.discard(job)
                if state == GONE:
                    self.found.append(f"LOST: {job} is not known")
                    waiting.discard(job)
            await asyncio.sleep(0.2)
        for job in waiting:
            self.found.append(f"LOST: {job} has not ended")

    def _check_history(self):
        places: dict[str, set] = {}
        done: set[str] = set()
        for event in self.site.fleet.history:
            job = event.task.split(".")[0]
            running = places.setdefault(event.task, set())
            if event.kind is EventKind.START:
                if running:
                    self.found.append(f"TWICE: {event.task} runs at two workers")
                if event.task in done:
                    self.found.append(f"TWICE: {event.task} starts after its end")
                if job in self.refused:
                    self.found.append(f"REFUSED: {event.task} runs")
                late = self.cancelled.get(job, float("inf")) + 3.0
                if event.at > late:
                    self.found.append(f"UNASKED: {event.task} starts when cancelled")
                running.add((event.worker, event.run))
                continue
            if event.kind is EventKind.END:
                running.discard((event.worker, event.run))
                continue
            if event.outcome is RunOutcome.DONE:
                done.add(event.task)


def play(seed: int, folder: Path) -> list[str]:
    """Return every broken promise of one seed."""
    found: list[str] = []

    async def check(site: PlatformCluster):
        relays = [host.relay for host in site.hosts]
        found.extend(await Soak(site, relays, seed).run())

    with_cluster(folder, check, hosts=3, workers=4, relayed=True)
    return found


def main():
    """Play the seeds named on the command line, and tell what broke."""
    broken = 0
    for text in sys.argv[1:]:
        folder = Path(tempfile.mkdtemp(prefix=f"soak-{text}-"))
        found = play(int(text), folder)
        broken += bool(found)
        print(f"seed {text}: {found or 'every promise held'} (logs in {folder})")
    sys.exit(broken > 0)


if __name__ == "__main__":
    main()
