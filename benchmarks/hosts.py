"""Measure entry hosts as real processes on loopback.

`python benchmarks/hosts.py load` compares an entry host with a bare pass-through;
`... idle` measures the control cost per host at 6, 9 and 15 hosts; `... workers` the
cost of the scheduling host by workers of its failure domain; `... force` the time until
all hosts have applied a change of the configuration.
"""

import argparse
import asyncio
import os
import statistics
import sys
import time
from collections.abc import Callable, Coroutine
from pathlib import Path

sys.path.insert(0, str(Path(__file__).parents[1] / "tests"))

import aiohttp
from common.ports import ADDRESS
from common.processes import SERVICE, ChildProcess, ProcessCluster
from common.templates import apply_account, example_plan

from zinniatrestle.configuration.messages import DomainState, SetDomain
from zinniatrestle.gangs.messages import JobRow, JobSpec, TaskShape
from zinniatrestle.operators.messages import HostView, StatusView

TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
MIB = 1024 * 1024
KIB = 1024
CALLERS = 32
REQUESTS = 3000
IDLE_SECONDS = 20.0
CHANGES = 100
DOMAINS = ["lima", "arequipa", "trujillo"]


def cpu_seconds(pid: int) -> float:
    """Return the CPU time of a process in seconds."""
    fields = Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_SECOND


def resident_mib(pid: int) -> float:
    """Return the resident memory of a process in MiB."""
    return int(Path(f"/proc/{pid}/statm").read_text().split()[1]) * PAGE_BYTES / MIB


async def run_closed_loop(
    call: Callable[[], Coroutine], requests: int
) -> dict[str, float]:
    """Run a closed loop of CALLERS callers; return throughput and latencies."""
    latencies: list[float] = []
    left = iter(range(requests))

    async def caller():
        for _ in left:
            started = time.perf_counter()
            await call()
            latencies.append(time.perf_counter() - started)

    started = time.perf_counter()
    await asyncio.gather(*[caller() for _ in range(CALLERS)])
    seconds = time.perf_counter() - started
    latencies.sort()
    return {
        "per_second": round(requests / seconds),
        "p50_ms": round(1000 * statistics.median(latencies), 1),
        "p99_ms": round(1000 * latencies[int(0.99 * len(latencies))], 1),
    }


async def load():
    """Compare an entry host with a plain pass-through in the same run."""
    async with ProcessCluster(["lima"], hosts=1, minions=6, workers=1) as cluster:
        plan = example_plan(["lima"], queue_limit=1000)
        token = await apply_account(cluster, "norte", plan)
        minions = ",".join(host.address for host in cluster.listed if host.service)
        port = cluster.ports.reserve()
        script = Path(__file__).with_name("passthrough.py")
        passthrough = ChildProcess.__new__(ChildProcess)
        passthrough.popen = await asyncio.to_thread(start_script, script, port, minions)
        cluster.processes.append(passthrough)
        await asyncio.sleep(2)
        host = cluster.hosts["lima-1"]
        pid = host.process.popen.pid
        print(f"idle memory of the host: {resident_mib(pid):.1f} MiB")
        headers = {"Authorization": f"Bearer {token}"}
        number = iter(range(10**9))

        async def post(base: str, kind: str, keyed: bool):
            sent = dict(headers)
            if keyed:
                sent["Idempotency-Key"] = f"k{next(number)}"
            url = f"{base}/v1/services/{SERVICE}/{kind}"
            async with session.post(url, data=b"{}", headers=sent) as response:
                await response.read()
                assert response.status == 200, response.status

        connector = aiohttp.TCPConnector(limit=0)
        async with aiohttp.ClientSession(connector=connector) as session:
            passthrough_url = f"http://{ADDRESS}:{port}"
            print("| path | per_second | p50_ms | p99_ms |\n| --- | --- | --- | --- |")
            for name, base, kind, keyed in (
                ("pass-through", passthrough_url, "seat-check", False),
                ("entry host, repeatable", host.url, "seat-check", False),
                ("pass-through", passthrough_url, "seat-check", False),
                ("entry host, repeatable", host.url, "seat-check", False),
                ("entry host, at-most-once", host.url, "enrol", True),
            ):

                async def call(base=base, kind=kind, keyed=keyed):
                    await post(base, kind, keyed)

                row = await run_closed_loop(call, REQUESTS)
                print(f"| {name} | {' | '.join(str(v) for v in row.values())} |")
        counts = await cluster.counts()
        view = await cluster.client("lima-1").operator("GET", "/host", HostView)
        written = view.metrics["claims.written"] / max(
            1, view.metrics["claims.flushes"]
        )
        print(
            f"rows in one claim transaction: {written:.1f} ({counts.commits} commits)"
        )
        print(f"loaded memory of the host: {resident_mib(pid):.1f} MiB")


def start_script(script: Path, port: int, minions: str):
    """Start the pass-through server."""
    import subprocess

    return subprocess.Popen([sys.executable, str(script), str(port), minions])


async def idle():
    """Print the control cost per host at several numbers of hosts."""
    print(
        "| hosts | cpu % of a core | peers B/s | platform B/s | memory MiB |\n"
        "| --- | --- | --- | --- | --- |"
    )
    for count in (2, 3, 5):
        async with ProcessCluster(
            DOMAINS, hosts=count, minions=1, workers=8
        ) as cluster:
            await apply_account(cluster, "norte", example_plan(DOMAINS))
            await asyncio.sleep(5)
            before = await snapshot(cluster)
            await asyncio.sleep(IDLE_SECONDS)
            after = await snapshot(cluster)
        hosts = len(cluster.hosts)
        cpu = [100 * value for value in rates(before, after, 0)]
        peers = rates(before, after, 1)
        platform = (after["platform"][1] - before["platform"][1]) / IDLE_SECONDS
        memory = max(value[2] for name, value in after.items() if name != "platform")
        print(
            f"| {hosts} | mean {statistics.mean(cpu):.2f}, max {max(cpu):.2f} "
            f"| mean {statistics.mean(peers):.0f}, max {max(peers):.0f} "
            f"| mean {platform / hosts:.0f} | max {memory:.1f} |",
            flush=True,
        )


async def workers():
    """Print the cost of the scheduling host by workers, each with 12 running tasks."""
    print(
        "| workers | tasks | cpu % of a core | to platform and workers B/s "
        "| memory MiB |\n| --- | --- | --- | --- | --- |"
    )
    for count in (8, 32, 96):
        async with ProcessCluster(
            ["lima"], hosts=1, minions=1, workers=count
        ) as cluster:
            plan = example_plan(["lima"], offline_grace_seconds=600.0)
            token = await apply_account(cluster, "norte", plan)
            client = cluster.client("lima-1", token)
            shape = TaskShape(0, cores=2.0, memory_gb=4.0)
            for _ in range(count):
                spec = JobSpec(12, ["sleep", "9000"], shape)
                await client.account("POST", "/jobs", JobRow, spec)
            await asyncio.sleep(15)
            before = await snapshot(cluster)
            before_bytes = await worker_bytes(cluster)
            await asyncio.sleep(IDLE_SECONDS)
            after = await snapshot(cluster)
            after_bytes = await worker_bytes(cluster)
        (cpu,) = rates(before, after, 0)
        platform = after["platform"][1] - before["platform"][1]
        traffic = (platform + after_bytes - before_bytes) / IDLE_SECONDS
        memory = after["lima-1"][2]
        print(
            f"| {count} | {12 * count} | {100 * cpu:.2f} | {traffic:.0f} "
            f"| {memory:.1f} |",
            flush=True,
        )


async def worker_bytes(cluster: ProcessCluster) -> int:
    """Return the bytes that the workers received and sent."""
    return await cluster.get_control(
        f"{cluster.worker_urls['lima']}/control/bytes", int
    )


def rates(before: dict, after: dict, column: int) -> list[float]:
    """Return the growth per second of one column for each host."""
    found = []
    for name, values in before.items():
        if name != "platform":
            found.append((after[name][column] - values[column]) / IDLE_SECONDS)
    return found


async def snapshot(cluster: ProcessCluster) -> dict[str, tuple[float, float, float]]:
    """Return CPU seconds, peer bytes and resident MiB of each host.

    The entry `platform` has the bytes of the platform in place of the peer bytes.
    """
    found = {}
    for name, host in cluster.hosts.items():
        pid = host.process.popen.pid
        view = await cluster.client(name).operator("GET", "/host", HostView)
        traffic = view.metrics["peers.bytes"]
        found[name] = (cpu_seconds(pid), traffic, resident_mib(pid))
    counts = await cluster.counts()
    found["platform"] = (0.0, counts.bytes_in + counts.bytes_out, 0.0)
    return found


async def propagate():
    """Print the time from acceptance of a change until all hosts have applied it."""
    async with ProcessCluster(DOMAINS, hosts=3, minions=1, workers=1) as cluster:
        await apply_account(cluster, "norte", example_plan(DOMAINS))
        seconds = []
        names = list(cluster.hosts)
        for number in range(CHANGES):
            state = DomainState.OUT if number % 2 else DomainState.IN
            receiver = names[number % len(names)]
            revision = await cluster.change(
                SetDomain(f"d{number % 7}", state), receiver
            )
            started = time.perf_counter()
            await asyncio.gather(
                *[wait_for_revision(cluster, name, revision) for name in cluster.hosts]
            )
            seconds.append(time.perf_counter() - started)
        seconds.sort()
        print(
            f"{CHANGES} changes on {len(names)} hosts: p50 "
            f"{1000 * statistics.median(seconds):.0f} ms, max "
            f"{1000 * seconds[-1]:.0f} ms after acceptance"
        )


async def wait_for_revision(cluster: ProcessCluster, name: str, revision: int):
    """Wait until a host has applied a revision."""
    client = cluster.client(name)
    while True:
        view = await client.operator("GET", "/status", StatusView)
        if view.hosts[0].revision >= revision:
            return
        await asyncio.sleep(0.005)


def main():
    """Run the measurement named on the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("what", choices=["load", "idle", "workers", "force"])
    measurements = {"load": load, "idle": idle, "workers": workers, "force": propagate}
    asyncio.run(measurements[parser.parse_args().what]())


if __name__ == "__main__":
    main()
