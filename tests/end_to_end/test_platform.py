"""Real daemons against stand-ins of the platform, over HTTP, with real signals."""

import asyncio
import contextlib
import os
import signal
import socket
import sys
from pathlib import Path

import aiohttp
import msgspec
import pytest

from zinniatrestle.events.explain import cause, read_lines, trail
from zinniatrestle.ids import RowName, TableName
from zinniatrestle.standins.fleet import EventKind, SimulatedFleet, TaskScript
from zinniatrestle.standins.rows import MemoryRows
from zinniatrestle.standins.wire import (
    WireFault,
    WireFleetWorker,
    WireStore,
    served,
    server_row,
)

HOSTS = 2
WORKERS = 2
# s; a machine that is busy with other things may take this long.
LONGEST_SECONDS = 60.0
CONFIG = {
    "version": 1,
    "routes": [
        {
            "name": "r-1",
            "host": "queue.example",
            "pathPrefix": "/q/",
            "service": "service",
            "priority": 0,
            "maxAttempts": 2,
            "stretch": 2.0,
            "targetLatencyMs": 400,
        }
    ],
    "services": [{"name": "service"}],
    "tenants": [{"name": "t", "apiKeys": ["key"], "guaranteed": {"gpus": 8}}],
    "limits": {"maxBodyBytes": 10_000},
}


def free_port() -> int:
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


class Host:
    """A daemon as a process of its own."""

    def __init__(self, number: int, store: str, folder: Path):
        self.name = f"host-{number}"
        self.callers, self.readiness = free_port(), free_port()
        self.metrics = free_port()
        self.settings = folder / f"{self.name}.toml"
        self.log = folder / f"{self.name}.log"
        self.settings.write_text(
            f"""
            nodeName = "{self.name}"
            ip = "127.0.0.1"
            zone = "zone-a"
            region = "region-a"
            [zones]
            zone-a = "region-a"
            [bindAddresses]
            frontendAddr = "127.0.0.1:{self.callers}"
            readiness = "127.0.0.1:{self.readiness}"
            [platform]
            address = "{store}"
            form = "table"
            """
        )
        self.process: asyncio.subprocess.Process | None = None

    async def start(self):
        environment = {**os.environ, "ZINNIATRESTLE_BOOT": str(self.settings)}
        with self.log.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "zinniatrestle.platform",
                "--metrics-port",
                str(self.metrics),
                stdout=log,
                stderr=log,
                env=environment,
            )

    async def kill(self):
        self.process.kill()
        await self.process.wait()

    def lines(self) -> list[dict]:
        with self.log.open() as log:
            return list(read_lines(log))


class Site:
    """The stand-ins and the daemons, with a client's calls."""

    def __init__(self, folder: Path):
        self.wire = WireStore()
        self.rows: MemoryRows = self.wire.rows
        self.fleet = SimulatedFleet(self.rows)
        self.folder = folder
        self.hosts: list[Host] = []
        self.session = aiohttp.ClientSession()

    async def ready(self, host: Host):
        async with asyncio.timeout(LONGEST_SECONDS):
            while await self.status(host.readiness, "/-/ready") != 200:
                await asyncio.sleep(0.05)

    async def status(self, port: int, path: str) -> int:
        try:
            async with self.session.get(f"http://127.0.0.1:{port}{path}") as response:
                return response.status
        except aiohttp.ClientError:
            return 0

    async def call(self, host: Host, method: str, path: str, body=None, key="key"):
        headers = {"Host": "queue.example", "Zinniatrestle-Deadline-Ms": "20000"}
        if key:
            headers["Api-Key"] = key
        data = msgspec.json.encode(body) if body is not None else None
        url = f"http://127.0.0.1:{host.callers}{path}"
        async with self.session.request(
            method, url, data=data, headers=headers
        ) as response:
            text = await response.read()
            return response.status, msgspec.json.decode(text) if text else None

    async def submit(self, host: Host, job: str, seconds=0.3, steps=None) -> int:
        shapes = steps or [{"count": 2, "gpus": 1, "cpu": 100, "gang": True}]
        gangs = [shape["count"] if shape.get("gang") else 0 for shape in shapes]
        script = TaskScript(seconds=seconds, gangs=tuple(gangs))
        spec = msgspec.json.encode(script).decode()
        body = {"spec": spec, "steps": shapes}
        status, _ = await self.call(host, "POST", f"/q/{job}", body)
        return status

    async def state(self, host: Host, job: str) -> str:
        status, body = await self.call(host, "GET", f"/q/{job}")
        return body["state"] if status == 200 else str(status)

    async def reach(self, host: Host, job: str, wanted: str):
        async with asyncio.timeout(LONGEST_SECONDS):
            while await self.state(host, job) != wanted:
                await asyncio.sleep(0.05)

    def starts(self, job: str) -> list:
        return [
            event
            for event in self.fleet.history
            if event.kind is EventKind.START and event.task.startswith(job)
        ]


def with_site(folder: Path, check):
    async def run():
        site = Site(folder)
        async with contextlib.AsyncExitStack() as stack:
            stack.push_async_callback(site.session.close)
            store = await stack.enter_async_context(served(site.wire.app()))
            config = msgspec.json.encode(CONFIG)
            site.rows.put(TableName("op"), RowName("config"), config)
            for number in range(WORKERS):
                worker = site.fleet.add(f"i-{number}", "r1", "zone-a")
                app = WireFleetWorker(site.fleet, worker.entry).app()
                address = await stack.enter_async_context(served(app))
                row = server_row(worker.entry, address)
                site.rows.put(TableName("servers"), RowName(f"i-{number}"), row)
            working = asyncio.create_task(site.fleet.run())
            try:
                for number in range(HOSTS):
                    host = Host(number, store, folder)
                    site.hosts.append(host)
                    await host.start()
                for host in site.hosts:
                    await site.ready(host)
                await check(site)
            finally:
                for host in site.hosts:
                    if host.process.returncode is None:
                        await host.kill()
                working.cancel()

    asyncio.run(run())


async def holder(site: Site) -> Host:
    """Return the host that schedules, once one does."""
    async with asyncio.timeout(LONGEST_SECONDS):
        while True:
            taken = {}
            for host in site.hosts:
                for line in host.lines():
                    if line["event"] == "lease_taken":
                        taken[line["generation"]] = host
            if taken:
                return taken[max(taken)]
            await asyncio.sleep(0.05)


def test_a_job_runs_from_post_to_completed_and_is_explained(tmp_path):
    async def check(site):
        first, second = site.hosts
        job = "00000000000000a1"
        steps = [{"count": 2, "gpus": 1, "gang": True}, {"count": 1, "after": [0]}]
        assert await site.submit(first, job, steps=steps) == 200
        assert await site.submit(second, job, steps=steps) == 200
        await site.reach(second, job, "completed")
        assert len(site.starts(job)) == 3
        assert await site.call(first, "GET", "/q/") == (200, {"pendingJobs": 0})
        lines = [line for host in site.hosts for line in host.lines()]
        assert "completed" in cause(trail(lines, job), job)
        assert await site.status(first.metrics, "/metrics") == 200

    with_site(tmp_path, check)


@pytest.mark.parametrize(
    "method, path, key, status",
    [
        ("GET", "/q/00000000000000ff", "key", 410),
        ("DELETE", "/q/00000000000000ff", "key", 410),
        ("GET", "/q/00000000000000ff", "other", 401),
        ("GET", "/elsewhere/00000000000000ff", "key", 404),
        ("GET", "/q/notanid", "key", 404),
    ],
)
def test_callers_errors_have_their_status_and_code(tmp_path, method, path, key, status):
    async def check(site):
        told, body = await site.call(site.hosts[0], method, path, key=key)
        assert told == status
        assert body["code"] > 0

    with_site(tmp_path, check)


@pytest.mark.parametrize("body", [[], {"steps": []}, {"steps": [{"count": "x"}]}])
def test_a_bad_body_is_refused_and_kept_nowhere(tmp_path, body):
    async def check(site):
        status, answer = await site.call(
            site.hosts[0], "POST", "/q/00000000000000a2", body
        )
        assert (status, answer["code"]) == (400, 100)
        assert await site.state(site.hosts[0], "00000000000000a2") == "410"

    with_site(tmp_path, check)


@pytest.mark.parametrize("number", [signal.SIGTERM, signal.SIGKILL])
def test_a_running_job_survives_the_host_that_schedules_it(tmp_path, number):
    async def check(site):
        job = "00000000000000a3"
        scheduling = await holder(site)
        other = next(host for host in site.hosts if host is not scheduling)
        assert await site.submit(other, job, seconds=6.0) == 200
        async with asyncio.timeout(LONGEST_SECONDS):
            while len(site.starts(job)) < 2:
                await asyncio.sleep(0.05)
        scheduling.process.send_signal(number)
        await scheduling.process.wait()
        await site.reach(other, job, "completed")
        assert len(site.starts(job)) == 2

    with_site(tmp_path, check)


def test_a_planned_stop_answers_what_is_open_and_ends_cleanly(tmp_path):
    async def check(site):
        host = site.hosts[0]
        host.process.send_signal(signal.SIGTERM)
        statuses = []
        while host.process.returncode is None:
            try:
                statuses.append(await site.submit(host, "00000000000000a4"))
            except aiohttp.ClientConnectorError:
                break
            await asyncio.sleep(0.05)
        assert await host.process.wait() == 0
        assert set(statuses) <= {200}
        assert host.lines()[-1]["event"] == "stopped"

    with_site(tmp_path, check)


def test_a_cancelled_job_stops_and_a_store_that_is_out_is_told(tmp_path):
    async def check(site):
        job = "00000000000000a5"
        host = site.hosts[0]
        assert await site.submit(host, job, seconds=60.0) == 200
        await site.reach(host, job, "running")
        assert (await site.call(host, "DELETE", f"/q/{job}"))[0] == 200
        async with asyncio.timeout(LONGEST_SECONDS):
            while any(worker.running for worker in site.fleet.workers.values()):
                await asyncio.sleep(0.05)
        assert await site.state(host, job) == "cancelled"
        site.wire.fault = WireFault.BUSY
        assert await site.submit(host, "00000000000000a6") == 503
        site.wire.fault = WireFault.NONE
        assert await site.state(host, "00000000000000a6") in ("410", "503")

    with_site(tmp_path, check)
