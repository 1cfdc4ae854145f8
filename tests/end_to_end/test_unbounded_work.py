"""A host process beside a client account that submits more work than a host can hold.

Only what doesn't depend on the speed of the machine is asserted: the process stays
alive, its memory stays under a bound, what was accepted is known, and an ordinary
request of another account is accepted, also once the process was killed and started
again.
"""

import asyncio
import re
from http import HTTPStatus

import aiohttp
import msgspec
import pytest
from common.platform_cluster import (
    CONFIG,
    WAIT_TIMEOUT_SECONDS,
    Host,
    PlatformCluster,
    run_with_cluster,
    scheduling_host,
)
from common.process_usage import peak_memory

from zinniatrestle.ids import RowName, TableName
from zinniatrestle.jobs.messages import Step
from zinniatrestle.standins.runs import TaskScript

MIB = 2**20
MEMORY_MB = 48
# A quarter of the memory is for accepted work; as much again is left for what the
# process allocates otherwise meanwhile.
MAX_GROWTH_BYTES = MEMORY_MB * MIB // 2
CLIENTS = 4
JOBS = 120
# What a submission may be answered with that isn't accepted.
REFUSALS = (HTTPStatus.TOO_MANY_REQUESTS, HTTPStatus.SERVICE_UNAVAILABLE)
TENANTS = [
    {"name": "t", "apiKeys": ["key"]},
    {"name": "ordinary", "apiKeys": ["ordinary-key"]},
]
# No worker has this many accelerators.
WAITING = [{"count": 1000, "gpus": 100}]
RUNNING = [{"count": 1000, "gpus": 1}]
CHAINED = [{"gpus": 100, "after": list(range(number))} for number in range(200)]
RECURRING = [{"count": 1, "gpus": 1}]


def spec(*shapes: Step) -> str:
    """Return what the stand-ins of workers need to run the steps of a job."""
    return TaskScript(seconds=0.3, steps=shapes).encoded()


BODIES = {
    "waiting-tasks": {"steps": WAITING},
    "tasks-that-run": {"spec": spec(Step(count=1000, gpus=1)), "steps": RUNNING},
    "steps-after-all-others": {"steps": CHAINED},
    "occurrences": {
        "spec": spec(Step(count=1, gpus=1)),
        "steps": RECURRING,
        "maxRuns": 10**9,
        "intervalMs": 1,
        "startAtMs": 1,
    },
}


def settings(memory_mb: int) -> str:
    return f"[limits]\nmemoryMb = {memory_mb}\n"


class Crowd:
    """Clients of one account that submit jobs to one host."""

    def __init__(self, cluster: PlatformCluster, host: Host, body: dict):
        self.cluster = cluster
        self.host = host
        self.body = body
        self.accepted: list[str] = []

    async def run(self):
        """Submit all jobs once; a call of unknown outcome is not repeated."""
        numbers = iter(range(JOBS))
        await asyncio.gather(*(self._submit(numbers) for _ in range(CLIENTS)))

    async def _submit(self, numbers):
        for number in numbers:
            job = f"{number:016x}"
            try:
                async with asyncio.timeout(20.0):
                    status, _ = await self.cluster.call(
                        self.host, "POST", f"/q/{job}", self.body
                    )
            except (aiohttp.ClientError, TimeoutError):
                continue
            if status == HTTPStatus.OK:
                self.accepted.append(job)
                continue
            if status == HTTPStatus.GATEWAY_TIMEOUT:
                # It may have been accepted, as without an answer.
                continue
            assert status in REFUSALS

    async def check_accepted(self):
        """Check that each accepted job is known."""
        for job in self.accepted:
            status = await until_answered(
                self.cluster, self.host, "GET", f"/q/{job}", None, "key"
            )
            assert status == HTTPStatus.OK


async def until_answered(cluster, host, method, path, body, key) -> int:
    """Return the status of a call, tried again while it gets no answer or a 503."""
    async with asyncio.timeout(WAIT_TIMEOUT_SECONDS):
        while True:
            try:
                async with asyncio.timeout(10.0):
                    status, _ = await cluster.call(host, method, path, body, key)
            except (aiohttp.ClientError, TimeoutError):
                status = 0
            if status not in (0, HTTPStatus.SERVICE_UNAVAILABLE):
                return status
            await asyncio.sleep(0.2)


async def submit_ordinary(cluster, host, job: str) -> int:
    body = {"spec": spec(Step()), "steps": [{"count": 1, "cpu": 100}]}
    return await until_answered(
        cluster, host, "POST", f"/q/{job}", body, "ordinary-key"
    )


async def use_two_accounts(cluster):
    """Set the desired state with two client accounts, and wait for it."""
    config = {**CONFIG, "version": 2, "tenants": TENANTS}
    config["limits"] = {"maxBodyBytes": 262_144}
    cluster.rows.put(TableName("op"), RowName("config"), msgspec.json.encode(config))
    for host in cluster.hosts:
        while not any(
            line["event"] == "desired_state" and line.get("version") == 2
            for line in host.lines()
        ):
            await asyncio.sleep(0.05)


def check_growth(host: Host, before: int):
    growth = peak_memory(host.process.pid) - before
    print(f"{host.name}: before {before / MIB:.1f} MB, growth {growth / MIB:.1f} MB")
    assert host.process.returncode is None
    assert growth <= MAX_GROWTH_BYTES


# Guards against accepted work of one account that ends the host which schedules, and
# each of its successors after it.
@pytest.mark.parametrize("name", BODIES)
def test_much_work_of_one_account(tmp_path, name):
    async def check(cluster):
        (host,) = cluster.hosts
        await use_two_accounts(cluster)
        assert await submit_ordinary(cluster, host, "00000000000000f0") == 200
        before = peak_memory(host.process.pid)
        crowd = Crowd(cluster, host, BODIES[name])
        await crowd.run()
        assert await submit_ordinary(cluster, host, "00000000000000f1") == 200
        check_growth(host, before)
        print(f"accepted {len(crowd.accepted)} of {JOBS}")
        await host.kill()
        await host.start()
        await cluster.wait_until_ready(host)
        assert await submit_ordinary(cluster, host, "00000000000000f2") == 200
        await crowd.check_accepted()
        check_growth(host, before)

    run_with_cluster(tmp_path, check, hosts=1, settings=settings(MEMORY_MB))


# Guards against a bound that only the host knows which schedules.
def test_much_work_that_another_host_accepts(tmp_path):
    async def check(cluster):
        await use_two_accounts(cluster)
        leader = await scheduling_host(cluster)
        (other,) = [host for host in cluster.hosts if host is not leader]
        assert await submit_ordinary(cluster, other, "00000000000000f0") == 200
        before = [peak_memory(host.process.pid) for host in cluster.hosts]
        crowd = Crowd(cluster, other, BODIES["waiting-tasks"])
        await crowd.run()
        assert await submit_ordinary(cluster, other, "00000000000000f1") == 200
        assert await submit_ordinary(cluster, leader, "00000000000000f2") == 200
        print(f"accepted {len(crowd.accepted)} of {JOBS}")
        for host, size in zip(cluster.hosts, before, strict=True):
            check_growth(host, size)
        await crowd.check_accepted()

    run_with_cluster(tmp_path, check, hosts=2, settings=settings(MEMORY_MB))


# Guards against stored work that ends a successor with less memory.
def test_much_work_that_a_larger_host_has_accepted(tmp_path):
    async def check(cluster):
        (host,) = cluster.hosts
        await use_two_accounts(cluster)
        assert await submit_ordinary(cluster, host, "00000000000000f0") == 200
        before = peak_memory(host.process.pid)
        crowd = Crowd(cluster, host, BODIES["waiting-tasks"])
        await crowd.run()
        await host.kill()
        text = host.settings.read_text()
        host.settings.write_text(
            re.sub(r"memoryMb = \d+", f"memoryMb = {MEMORY_MB}", text)
        )
        await host.start()
        await cluster.wait_until_ready(host)
        assert await submit_ordinary(cluster, host, "00000000000000f1") == 200
        print(f"accepted {len(crowd.accepted)} of {JOBS}")
        await crowd.check_accepted()
        check_growth(host, before)

    run_with_cluster(tmp_path, check, hosts=1, settings=settings(100 * MEMORY_MB))
