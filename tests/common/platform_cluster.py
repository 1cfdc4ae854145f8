"""Real daemons and stand-ins of the platform, for tests on whole processes."""

import asyncio
import contextlib
import os
import socket
import sys
from pathlib import Path

import aiohttp
import msgspec

from zinniatrestle.events.explain import read_lines
from zinniatrestle.ids import RowName, TableName
from zinniatrestle.jobs.messages import Step
from zinniatrestle.standins.fleet import SimulatedFleet
from zinniatrestle.standins.relay import Relay
from zinniatrestle.standins.rows import MemoryRows
from zinniatrestle.standins.runs import EventKind, TaskScript
from zinniatrestle.standins.wire import (
    WireFleetWorker,
    WireStore,
    encode_server_row,
    serve_app,
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
        self.relay: Relay | None = None
        self.process: asyncio.subprocess.Process | None = None

    async def start(self, *flags: str, stdout: int | None = None):
        """Start the daemon; `stdout` takes its lines in place of the log file."""
        environment = {**os.environ, "ZINNIATRESTLE_BOOT": str(self.settings)}
        with self.log.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "zinniatrestle.platform",
                "--metrics-port",
                str(self.metrics),
                *flags,
                stdout=log if stdout is None else stdout,
                stderr=log,
                env=environment,
            )

    async def kill(self):
        self.process.kill()
        await self.process.wait()

    def lines(self) -> list[dict]:
        with self.log.open() as log:
            return list(read_lines(log))


class PlatformCluster:
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

    async def metrics(self, host: Host) -> str:
        url = f"http://127.0.0.1:{host.metrics}/metrics"
        async with self.session.get(url) as response:
            return await response.text()

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
        kept = [
            Step(count=shape["count"], gang=shape.get("gang", False))
            for shape in shapes
        ]
        script = TaskScript(seconds=seconds, steps=tuple(kept))
        spec = script.encoded()
        body = {"spec": spec, "steps": shapes}
        status, _ = await self.call(host, "POST", f"/q/{job}", body)
        return status

    async def state(self, host: Host, job: str) -> str:
        status, body = await self.call(host, "GET", f"/q/{job}")
        return body["state"] if status == 200 else str(status)

    async def wait_for_state(self, host: Host, job: str, wanted: str):
        async with asyncio.timeout(LONGEST_SECONDS):
            while await self.state(host, job) != wanted:
                await asyncio.sleep(0.05)

    def starts(self, job: str) -> list:
        return [
            event
            for event in self.fleet.history
            if event.kind is EventKind.START and event.task.startswith(job)
        ]


async def relayed_store(stack, store: str) -> tuple[Relay, str]:
    """Return a relay of a host's own to the store, and its address."""
    ip, _, port = store.rpartition(":")
    relay = Relay(ip, int(port))
    server = await relay.start("127.0.0.1", 0)
    stack.callback(server.close)
    own = server.sockets[0].getsockname()[1]
    return relay, f"127.0.0.1:{own}"


def with_cluster(
    folder: Path,
    check,
    hosts: int = HOSTS,
    workers: int = WORKERS,
    relayed: bool = False,
):
    """Run a check on a site of its own; its processes end with it."""

    async def run():
        site = PlatformCluster(folder)
        async with contextlib.AsyncExitStack() as stack:
            stack.push_async_callback(site.session.close)
            store = await stack.enter_async_context(serve_app(site.wire.app()))
            config = msgspec.json.encode(CONFIG)
            site.rows.put(TableName("op"), RowName("config"), config)
            for number in range(workers):
                worker = site.fleet.add(f"i-{number}", "r1", "zone-a")
                app = WireFleetWorker(site.fleet, worker.entry).app()
                address = await stack.enter_async_context(serve_app(app))
                row = encode_server_row(worker.entry, address)
                site.rows.put(TableName("servers"), RowName(f"i-{number}"), row)
            working = asyncio.create_task(site.fleet.run())
            try:
                for number in range(hosts):
                    relay, address = None, store
                    if relayed:
                        relay, address = await relayed_store(stack, store)
                    host = Host(number, address, folder)
                    host.relay = relay
                    site.hosts.append(host)
                    await host.start()
                for host in site.hosts:
                    await site.ready(host)
                await check(site)
            finally:
                for host in site.hosts:
                    if host.process and host.process.returncode is None:
                        await host.kill()
                working.cancel()

    asyncio.run(run())


async def scheduling_host(site: PlatformCluster) -> Host:
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
