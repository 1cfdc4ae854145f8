"""A randomized soak test: host processes, injected faults, and a check of invariants.

Run `python -m soak.soak SEED [SEED ...]` in the folder tests for chosen seeds.
"""

import asyncio
import random
import signal
import sys
import tempfile
from pathlib import Path

import aiohttp
import msgspec
from common.idle_jobs import IdleJobs
from common.platform_cluster import PlatformCluster, run_with_cluster

from soak.successions import SuccessionCounts
from zinniatrestle.clock import monotonic
from zinniatrestle.jobs.messages import Step
from zinniatrestle.standins.relay import LinkState, Relay
from zinniatrestle.standins.runs import EventKind, FaultMode, SimulatedWorker
from zinniatrestle.standins.wire import WireFault
from zinniatrestle.workers.messages import RunOutcome, WorkerState

# Faults are injected in the first phase; afterwards all jobs must end within the
# time-out, which covers the longest lease, a takeover and the longest job.
FAULT_PHASE_SECONDS = 12.0
# Faults are more frequent in the last part of that phase.
LAST_FAULTS_SECONDS = 3.0
JOB_END_TIMEOUT_SECONDS = 60.0
JOBS_PER_SECOND = 2.0
# How long the registry lists a worker without heartbeats.
EXPIRY_SECONDS = 4.5
NOT_FOUND_STATUS = "410"
# A call without an answer counts like one whose host does not know its outcome.
UNKNOWN_STATUS = 504
ENDED_STATES = frozenset({"completed", "failed", "cancelled"})


class Soak:
    """One seeded run on one cluster."""

    def __init__(self, cluster: PlatformCluster, relays: list[Relay], seed: int):
        self.cluster = cluster
        self.relays = relays
        self.rng = random.Random(seed)
        # Separate, so that the draws of `rng` for a kept seed stay the same.
        self.further_rng = random.Random(f"{seed}-further")
        self.cut_rng = random.Random(f"{seed}-cuts")
        self.give_up_rng = random.Random(f"{seed}-give-up")
        self.late_rng = random.Random(f"{seed}-late")
        self.unheard_rng = random.Random(f"{seed}-unheard")
        self.reborn_rng = random.Random(f"{seed}-reborn")
        self.key_rng = random.Random(f"{seed}-keys")
        self.succession_rng = random.Random(f"{seed}-successions")
        self.accepted: set[str] = set()
        self.refused: set[str] = set()
        self.unknown: set[str] = set()
        self.cancelled: dict[str, float] = {}
        # Jobs whose cancellation was sent, whether it was confirmed or not.
        self.cancelling: set[str] = set()
        self.idle_jobs = IdleJobs(cluster.fleet)
        self.violations: list[str] = []
        self.restarting: set[str] = set()
        self.background_tasks: list[asyncio.Task] = []

    async def run(self) -> list[str]:
        """Run the test and return a description of each violation."""
        deadline = monotonic() + FAULT_PHASE_SECONDS
        injecting = asyncio.gather(
            self._inject_faults(deadline),
            self._inject_last_faults(deadline),
            self._restart_workers(deadline),
            self._cut_off_workers(deadline),
            self._delay_writes(deadline),
            self._hide_heartbeats(deadline),
            self._restart_unlisted_workers(deadline),
            self._call_with_unknown_keys(deadline),
        )
        while monotonic() < deadline:
            await asyncio.sleep(self.rng.expovariate(JOBS_PER_SECOND))
            self.background_tasks.append(asyncio.create_task(self._submit_job()))
        await injecting
        self._clear_faults()
        await asyncio.gather(*self.background_tasks)
        quiet_from = monotonic()
        await self._check_hosts()
        watching = asyncio.create_task(self.idle_jobs.watch(quiet_from))
        await self._wait_for_job_ends()
        watching.cancel()
        successions = SuccessionCounts(self.cluster, self.succession_rng)
        self.violations.extend(await successions.run())
        for job in self.idle_jobs.lost:
            self.violations.append(f"LOST: {job} runs nothing despite ample room")
        self._check_history()
        return self.violations

    async def _submit_job(self):
        job = f"{self.rng.getrandbits(64):016x}"
        steps = [{"count": self.rng.choice([1, 2, 4]), "gpus": 1, "gang": True}]
        if self.further_rng.random() < 0.3:
            count = self.further_rng.randint(1, 4)
            steps.append({"count": count, "gpus": 2, "after": [0]})
        attempts = refusals = 0
        for _ in range(6):
            host = self.rng.choice(self.cluster.hosts)
            attempts += 1
            try:
                status = await self.cluster.submit(
                    host, job, self.rng.uniform(0.2, 3.0), steps
                )
            except (aiohttp.ClientError, TimeoutError, OSError):
                status = UNKNOWN_STATUS
            if status == 200:
                self.accepted.add(job)
                break
            if status == UNKNOWN_STATUS and self.give_up_rng.random() < 0.5:
                self.unknown.add(job)
                await self._cancel_job(job)
                return
            refusals += status in (429, 503)
            await asyncio.sleep(0.3)
        if job not in self.accepted:
            (self.refused if refusals == attempts else self.unknown).add(job)
            return
        self.idle_jobs.unfinished[job] = [
            Step(count=step["count"], gpus=step["gpus"], gang="gang" in step)
            for step in steps
        ]
        if self.rng.random() < 0.15:
            await self._cancel_job(job)

    async def _cancel_job(self, job: str):
        self.cancelling.add(job)
        self.idle_jobs.unfinished.pop(job, None)
        for _ in range(6):
            try:
                status, _ = await self.cluster.call(
                    self.rng.choice(self.cluster.hosts), "DELETE", f"/q/{job}"
                )
            except (aiohttp.ClientError, TimeoutError, OSError):
                continue
            if status == 200 or (status == 410 and job not in self.accepted):
                self.cancelled[job] = monotonic()
                return
            await asyncio.sleep(0.3)

    async def _inject_faults(self, deadline: float):
        faults = [
            self._kill_host,
            self._rolling_restart,
            self._freeze_host,
            self._set_link_fault,
            self._set_store_fault,
            self._set_worker_fault,
            self._drop_change_history,
        ]
        while monotonic() < deadline:
            await asyncio.sleep(self.rng.uniform(0.5, 2.0))
            fault = self.rng.choice(faults)
            self.background_tasks.append(asyncio.create_task(fault()))

    async def _inject_last_faults(self, deadline: float):
        faults = [
            self._kill_host,
            self._freeze_host,
            self._set_link_fault,
            self._set_store_fault,
            self._set_worker_fault,
            self._restart_worker,
        ]
        await asyncio.sleep(FAULT_PHASE_SECONDS - LAST_FAULTS_SECONDS)
        while monotonic() < deadline:
            await asyncio.sleep(self.further_rng.uniform(0.1, 1.0))
            fault = self.further_rng.choice(faults)
            self.background_tasks.append(asyncio.create_task(fault()))

    async def _restart_workers(self, deadline: float):
        while monotonic() < deadline:
            await asyncio.sleep(self.further_rng.uniform(2.0, 6.0))
            self.background_tasks.append(asyncio.create_task(self._restart_worker()))

    async def _restart_worker(self):
        """Crash a worker and start it again, registered meanwhile or not."""
        fleet = self.cluster.fleet
        worker = self.further_rng.choice(list(fleet.workers.values()))
        if not worker.alive:
            return
        fleet.crash(worker)
        if self.further_rng.random() < 0.5:
            self.cluster.unlist_worker(worker)
        await asyncio.sleep(self.further_rng.uniform(0.1, 4.0))
        fleet.restart(worker)
        self.cluster.list_worker(worker)

    async def _cut_off_workers(self, deadline: float):
        while monotonic() < deadline:
            await asyncio.sleep(self.cut_rng.uniform(1.0, 4.0))
            self.background_tasks.append(asyncio.create_task(self._cut_off_worker()))

    async def _cut_off_worker(self):
        """Refuse connections to a worker that runs on, registered meanwhile or not."""
        worker = self.cut_rng.choice(list(self.cluster.fleet.workers.values()))
        link = self.cluster.worker_links[worker.entry.worker]
        if link.link is LinkState.RESET:
            return
        link.refuse()
        is_unlisted = self.cut_rng.random() < 0.7
        # A draining worker that removes its entry has ended.
        if is_unlisted and worker.entry.state is WorkerState.READY:
            self.cluster.unlist_worker(worker)
        await asyncio.sleep(self.cut_rng.uniform(0.5, 6.0))
        await link.accept()
        if worker.alive:
            self.cluster.list_worker(worker)

    async def _hide_heartbeats(self, deadline: float):
        while monotonic() < deadline:
            await asyncio.sleep(self.unheard_rng.uniform(0.5, 3.0))
            self.background_tasks.append(asyncio.create_task(self._hide_heartbeat()))

    async def _hide_heartbeat(self):
        """Cut a draining worker off after a heartbeat that feeds do not tell of."""
        job = f"{self.unheard_rng.getrandbits(64):016x}"
        seconds = self.unheard_rng.uniform(8.0, 10.0)
        await self._submit_plain_job(job, seconds, self.unheard_rng)
        worker = self._worker_of(job)
        if worker is None:
            return
        self.cluster.fleet.drain(worker, 20.0)
        self.cluster.list_worker(worker)
        await asyncio.sleep(self.unheard_rng.uniform(0.2, 1.5))
        compaction = asyncio.create_task(self.cluster.rows.compact())
        await asyncio.sleep(0.02)
        sequence = worker.entry.sequence + 1
        entry = msgspec.structs.replace(worker.entry, sequence=sequence)
        worker.entry = entry
        self.cluster.list_worker(worker)
        link = self.cluster.worker_links[worker.entry.worker]
        is_cut_here = link.link is not LinkState.RESET
        if is_cut_here:
            link.refuse()
        await asyncio.sleep(EXPIRY_SECONDS)
        if worker.entry is entry:
            self.cluster.unlist_worker(worker)
        await compaction
        await asyncio.sleep(self.unheard_rng.uniform(0.0, 2.0))
        if is_cut_here:
            await link.accept()
        worker.entry = msgspec.structs.replace(worker.entry, state=WorkerState.READY)
        if worker.alive:
            self.cluster.list_worker(worker)

    async def _submit_plain_job(self, job: str, seconds: float, rng: random.Random):
        """Submit a job of one task once, and wait a moment for its start."""
        steps = [{"count": 1, "gpus": 1}]
        try:
            host = rng.choice(self.cluster.hosts)
            status = await self.cluster.submit(host, job, seconds, steps)
        except (aiohttp.ClientError, TimeoutError, OSError):
            status = UNKNOWN_STATUS
        if status == 200:
            self.accepted.add(job)
            self.idle_jobs.unfinished[job] = [Step(count=1, gpus=1)]
        else:
            (self.refused if status in (429, 503) else self.unknown).add(job)
        await asyncio.sleep(0.5)

    def _worker_of(self, job: str) -> SimulatedWorker | None:
        for worker in self.cluster.fleet.workers.values():
            if any(task.startswith(job) for task in worker.running):
                return worker
        return None

    async def _restart_unlisted_workers(self, deadline: float):
        while monotonic() < deadline:
            await asyncio.sleep(self.reborn_rng.uniform(1.0, 4.0))
            restart = asyncio.create_task(self._restart_unlisted_worker())
            self.background_tasks.append(restart)

    async def _restart_unlisted_worker(self):
        """Restart a worker that gets short tasks and reaches the registry later."""
        for _ in range(10):
            job = f"{self.reborn_rng.getrandbits(64):016x}"
            submission = self._submit_plain_job(job, 0.1, self.reborn_rng)
            self.background_tasks.append(asyncio.create_task(submission))
        fleet = self.cluster.fleet
        worker = self.reborn_rng.choice(list(fleet.workers.values()))
        link = self.cluster.worker_links[worker.entry.worker]
        if not worker.alive or link.link is not LinkState.HEALTHY:
            return
        fleet.crash(worker)
        link.set_link(LinkState.SILENT)
        await asyncio.sleep(self.reborn_rng.uniform(0.1, 1.0))
        link.forget_connections()
        fleet.restart(worker)
        if link.link is LinkState.SILENT:
            # It has not been cut off meanwhile.
            link.set_link(LinkState.HEALTHY)
        await asyncio.sleep(self.reborn_rng.uniform(1.0, 4.0))
        if worker.alive:
            self.cluster.list_worker(worker)

    async def _call_with_unknown_keys(self, deadline: float):
        while monotonic() < deadline:
            await asyncio.sleep(self.key_rng.uniform(0.2, 1.0))
            job = f"{self.key_rng.getrandbits(64):016x}"
            host = self.key_rng.choice(self.cluster.hosts)
            method = self.key_rng.choice(["POST", "GET", "DELETE"])
            try:
                status, _ = await self.cluster.call(
                    host, method, f"/open/{job}", {"steps": [{}]}, "unknown"
                )
            except (aiohttp.ClientError, TimeoutError, OSError):
                continue
            if status in (200, 410):
                self.violations.append(f"ROUTE: {method} with an unknown key: {status}")

    async def _kill_host(self):
        host = self.rng.choice(self.cluster.hosts)
        await self._restart_host(host, signal.SIGKILL, self.rng.uniform(0.1, 2.0))

    async def _rolling_restart(self):
        for host in self.cluster.hosts:
            await self._restart_host(host, signal.SIGTERM, 0.0)

    async def _restart_host(self, host, signal_number: signal.Signals, downtime: float):
        """End a host's process and start it again, unless a restart is in progress."""
        if host.name in self.restarting or host.process.returncode is not None:
            return
        self.restarting.add(host.name)
        host.process.send_signal(signal_number)
        await host.process.wait()
        await asyncio.sleep(downtime)
        await host.start()
        self.restarting.discard(host.name)

    async def _freeze_host(self):
        host = self.rng.choice(self.cluster.hosts)
        if host.process.returncode is not None:
            return
        host.process.send_signal(signal.SIGSTOP)
        await asyncio.sleep(self.rng.uniform(0.5, 5.0))
        if host.process.returncode is None:
            host.process.send_signal(signal.SIGCONT)

    async def _set_link_fault(self):
        relay = self.rng.choice(self.relays)
        relay.set_link(self.rng.choice(list(LinkState)))
        await asyncio.sleep(self.rng.uniform(0.5, 5.0))
        relay.set_link(LinkState.HEALTHY)

    async def _set_store_fault(self):
        self.cluster.wire.fault = self.rng.choice(list(WireFault))
        await asyncio.sleep(self.rng.uniform(0.5, 3.0))
        self.cluster.wire.fault = WireFault.NONE

    async def _delay_writes(self, deadline: float):
        """Leave some writes without an answer, and apply them seconds later."""
        while monotonic() < deadline:
            await asyncio.sleep(self.late_rng.uniform(1.0, 4.0))
            self.cluster.wire.late_share = self.late_rng.choice([0.35, 0.8])
            await asyncio.sleep(self.late_rng.uniform(0.5, 2.0))
            self.cluster.wire.late_share = 0.0

    async def _set_worker_fault(self):
        worker = self.rng.choice(list(self.cluster.fleet.workers.values()))
        worker.fault_mode = self.rng.choice([FaultMode.HANGS, FaultMode.SHEDS])
        await asyncio.sleep(2.0)
        worker.fault_mode = FaultMode.NONE

    async def _drop_change_history(self):
        self.cluster.rows.drop_history()

    def _clear_faults(self):
        for relay in self.relays:
            relay.set_link(LinkState.HEALTHY)
        self.cluster.wire.fault = WireFault.NONE

    async def _check_hosts(self):
        """Check that no host has ended by itself, and that all become ready."""
        for host in self.cluster.hosts:
            if host.process.returncode is not None:
                self.violations.append(f"EXIT: {host.name} ended by itself")
                await host.start()
            await self.cluster.wait_until_ready(host)

    async def _wait_for_job_ends(self):
        deadline = monotonic() + JOB_END_TIMEOUT_SECONDS
        waiting = set(self.accepted)
        while waiting and monotonic() < deadline:
            for job in list(waiting):
                try:
                    state = await self.cluster.state(self.cluster.hosts[0], job)
                except aiohttp.ClientError:
                    continue
                if state in ENDED_STATES:
                    waiting.discard(job)
                    self.idle_jobs.unfinished.pop(job, None)
                if state == "failed":
                    self.violations.append(f"LOST: {job} failed though no run did")
                if state == "cancelled" and job not in self.cancelling:
                    self.violations.append(f"LOST: {job} was cancelled by nobody")
                if state == NOT_FOUND_STATUS:
                    self.violations.append(f"LOST: {job} is unknown")
                    waiting.discard(job)
            await asyncio.sleep(0.2)
        for job in waiting:
            self.violations.append(f"LOST: {job} has not ended")

    def _check_history(self):
        running_by_task: dict[str, set] = {}
        done: set[str] = set()
        for event in self.cluster.fleet.history:
            job = event.task.split(".")[0]
            running = running_by_task.setdefault(event.task, set())
            if event.kind is EventKind.START:
                if running:
                    self.violations.append(f"TWICE: {event.task} runs on two workers")
                if event.task in done:
                    self.violations.append(
                        f"TWICE: {event.task} starts after it was done"
                    )
                if job in self.refused:
                    self.violations.append(
                        f"REFUSED: {event.task} runs although it was refused"
                    )
                latest_start = self.cancelled.get(job, float("inf")) + 3.0
                if event.at > latest_start:
                    self.violations.append(
                        f"UNASKED: {event.task} starts after it was cancelled"
                    )
                running.add((event.worker, event.run))
                continue
            if event.kind is EventKind.END:
                running.discard((event.worker, event.run))
                continue
            if event.outcome is RunOutcome.DONE:
                done.add(event.task)


def run_seed(seed: int, folder: Path) -> list[str]:
    """Run one seed and return a description of each violation."""
    violations: list[str] = []

    async def check(cluster: PlatformCluster):
        relays = [host.relay for host in cluster.hosts]
        violations.extend(await Soak(cluster, relays, seed).run())

    run_with_cluster(
        folder,
        check,
        hosts=3,
        workers=4,
        relayed=True,
        relayed_workers=True,
        lists_machines=True,
    )
    return violations


def main():
    """Run the seeds given on the command line, and print their violations."""
    failed_seeds = 0
    for seed in sys.argv[1:]:
        folder = Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
        violations = run_seed(int(seed), folder)
        failed_seeds += bool(violations)
        print(f"seed {seed}: {violations or 'no violations'} (logs in {folder})")
    sys.exit(failed_seeds > 0)


if __name__ == "__main__":
    main()
