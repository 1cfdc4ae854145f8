"""Clusters of real host processes and stand-ins of the platform."""

import asyncio
import contextlib
import os
import sys
from http import HTTPStatus
from pathlib import Path

import aiohttp
import msgspec
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from common.ports import PortReservations
from zinniatrestle.events.explain import read_lines
from zinniatrestle.ids import RowName, TableName, WorkerId
from zinniatrestle.jobs.messages import Step
from zinniatrestle.standins.fleet import SimulatedFleet
from zinniatrestle.standins.machines import SimulatedMachines
from zinniatrestle.standins.relay import LinkState, Relay
from zinniatrestle.standins.rows import MemoryRows
from zinniatrestle.standins.runs import EventKind, SimulatedWorker, TaskScript
from zinniatrestle.standins.wire import (
    WireFleetWorker,
    WireStore,
    encode_server_row,
    serve_app,
)

HOSTS = 2
WORKERS = 2
SERVERS = TableName("servers")
# Waits may take this long on a machine that is busy with other work.
WAIT_TIMEOUT_SECONDS = 60.0
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
        },
        {
            "name": "r-2",
            "host": "queue.example",
            "pathPrefix": "/open/",
            "service": "service",
            "priority": 1,
            "maxAttempts": 2,
            "stretch": 2.0,
            "targetLatencyMs": 400,
            "allowAnonymous": True,
        },
    ],
    "services": [{"name": "service"}],
    "tenants": [{"name": "t", "apiKeys": ["key"], "guaranteed": {"gpus": 8}}],
    "limits": {"maxBodyBytes": 10_000},
}


class Host:
    """An entry host that runs as a process of its own."""

    def __init__(
        self,
        number: int,
        store: str,
        folder: Path,
        ports: PortReservations,
        machines: str = "",
        settings: str = "",
        environment: dict[str, str] | None = None,
    ):
        self.environment = environment or {}
        self.name = f"host-{number}"
        self.frontend_port = ports.reserve()
        self.readiness_port = ports.reserve()
        self.metrics_port = ports.reserve()
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
            frontendAddr = "127.0.0.1:{self.frontend_port}"
            readiness = "127.0.0.1:{self.readiness_port}"
            [platform]
            address = "{store}"
            form = "table"
            [cloudApi]
            address = "{machines}"
            {settings}
            """
        )
        self.relay: Relay | None = None
        self.process: asyncio.subprocess.Process | None = None

    async def start(self, *flags: str, stdout: int | None = None):
        """Start the process; `stdout` replaces the log file for its event log."""
        environment = {
            **os.environ,
            **self.environment,
            "ZINNIATRESTLE_BOOT": str(self.settings),
        }
        with self.log.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "zinniatrestle.platform",
                "--metrics-port",
                str(self.metrics_port),
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
    """Stand-ins and host processes, with the calls of a client."""

    def __init__(self, folder: Path):
        self.wire = WireStore()
        self.rows: MemoryRows = self.wire.rows
        self.fleet = SimulatedFleet(self.rows)
        self.folder = folder
        self.hosts: list[Host] = []
        self.worker_addresses: dict[WorkerId, str] = {}
        # Links to the workers, if they are relayed.
        self.worker_links: dict[WorkerId, WorkerLink] = {}
        self.session = aiohttp.ClientSession()
        # Submissions that were not accepted, with the status and body of the answer.
        self.refusals: list[tuple[str, int, dict | None]] = []

    def list_worker(self, worker: SimulatedWorker):
        """Write a worker's entry to the platform's table of workers."""
        name = worker.entry.worker
        row = encode_server_row(worker.entry, self.worker_addresses[name])
        self.rows.put(SERVERS, RowName(name), row)

    def unlist_worker(self, worker: SimulatedWorker):
        """Remove a worker's entry."""
        self.rows.put(SERVERS, RowName(worker.entry.worker), None)

    async def wait_until_ready(self, host: Host):
        async with asyncio.timeout(WAIT_TIMEOUT_SECONDS):
            while await self.http_status(host.readiness_port, "/-/ready") != 200:
                await asyncio.sleep(0.05)

    async def http_status(self, port: int, path: str) -> int:
        try:
            async with self.session.get(f"http://127.0.0.1:{port}{path}") as response:
                return response.status
        except aiohttp.ClientError:
            return 0

    async def metrics(self, host: Host) -> str:
        url = f"http://127.0.0.1:{host.metrics_port}/metrics"
        async with self.session.get(url) as response:
            return await response.text()

    async def call(self, host: Host, method: str, path: str, body=None, key="key"):
        headers = {"Host": "queue.example", "Zinniatrestle-Deadline-Ms": "20000"}
        if key:
            headers["Api-Key"] = key
        data = msgspec.json.encode(body) if body is not None else None
        url = f"http://127.0.0.1:{host.frontend_port}{path}"
        async with self.session.request(
            method, url, data=data, headers=headers
        ) as response:
            text = await response.read()
            return response.status, msgspec.json.decode(text) if text else None

    async def submit(self, host: Host, job: str, seconds=0.3, steps=None) -> int:
        step_bodies = steps or [{"count": 2, "gpus": 1, "cpu": 100, "gang": True}]
        script_steps = [
            Step(
                count=step_body["count"],
                gpus=step_body.get("gpus", 0),
                gang=step_body.get("gang", False),
            )
            for step_body in step_bodies
        ]
        script = TaskScript(seconds=seconds, steps=tuple(script_steps))
        spec = script.encoded()
        body = {"spec": spec, "steps": step_bodies}
        status, answer = await self.call(host, "POST", f"/q/{job}", body)
        if status != HTTPStatus.OK:
            self.refusals.append((job, status, answer))
        return status

    async def state(self, host: Host, job: str) -> str:
        status, body = await self.call(host, "GET", f"/q/{job}")
        return body["state"] if status == 200 else str(status)

    async def wait_for_state(self, host: Host, job: str, state: str):
        async with asyncio.timeout(WAIT_TIMEOUT_SECONDS):
            while await self.state(host, job) != state:
                await asyncio.sleep(0.05)

    def starts(self, job: str) -> list:
        return [
            event
            for event in self.fleet.history
            if event.kind is EventKind.START and event.task.startswith(job)
        ]


class WorkerLink(Relay):
    """A relay to a worker that can refuse connections and reset the open ones."""

    async def listen(self):
        """Accept connections, at the same address as before."""
        self.server = await self.start("127.0.0.1", getattr(self, "port", 0))
        self.port = self.server.sockets[0].getsockname()[1]

    def refuse(self):
        """Refuse new connections, and reset those that are open."""
        self.server.close()
        self.set_link(LinkState.RESET)

    async def accept(self):
        """Accept connections again."""
        self.set_link(LinkState.HEALTHY)
        await self.listen()


def machines_app(machines: SimulatedMachines) -> Starlette:
    """Return the list of machines over HTTP."""

    async def list_machines(request: Request) -> Response:
        listed = [
            {
                "machine": machine.machine,
                "pool": machine.service,
                "state": machine.state.value,
                "zone": machine.domain,
                "id": machine.worker,
            }
            for machine in await machines.machines(1.0)
        ]
        body = {"machines": listed, "nextPageToken": None}
        return Response(msgspec.json.encode(body), media_type="application/json")

    return Starlette(routes=[Route("/-/machines", list_machines, methods=["GET"])])


async def start_store_relay(stack, store: str) -> tuple[Relay, str]:
    """Start a TCP relay to the store for one host; return it and its address."""
    ip, _, port = store.rpartition(":")
    relay = Relay(ip, int(port))
    server = await relay.start("127.0.0.1", 0)
    stack.callback(server.close)
    relay_port = server.sockets[0].getsockname()[1]
    return relay, f"127.0.0.1:{relay_port}"


def run_with_cluster(
    folder: Path,
    check,
    hosts: int = HOSTS,
    workers: int = WORKERS,
    relayed: bool = False,
    relayed_workers: bool = False,
    lists_machines: bool = False,
    settings: str = "",
    environment: dict[str, str] | None = None,
):
    """Run a check on a new cluster, and end the processes afterwards.

    `settings` is added to the settings file of each host, `environment` to its
    environment variables.
    """

    async def run():
        cluster = PlatformCluster(folder)
        async with contextlib.AsyncExitStack() as stack:
            ports = stack.enter_context(PortReservations())
            stack.push_async_callback(cluster.session.close)
            store = await stack.enter_async_context(serve_app(cluster.wire.app()))
            config = msgspec.json.encode(CONFIG)
            cluster.rows.put(TableName("op"), RowName("config"), config)
            for number in range(workers):
                worker = cluster.fleet.add(f"i-{number}", "r1", "zone-a")
                app = WireFleetWorker(cluster.fleet, worker.entry).app()
                address = await stack.enter_async_context(serve_app(app))
                if relayed_workers:
                    ip, _, port = address.rpartition(":")
                    link = WorkerLink(ip, int(port))
                    await link.listen()
                    stack.callback(lambda link=link: link.server.close())
                    address = f"127.0.0.1:{link.port}"
                    cluster.worker_links[worker.entry.worker] = link
                cluster.worker_addresses[worker.entry.worker] = address
                cluster.list_worker(worker)
            machines = ""
            if lists_machines:
                app = machines_app(SimulatedMachines(cluster.fleet, 2.0))
                machines = await stack.enter_async_context(serve_app(app))
            fleet_task = asyncio.create_task(cluster.fleet.run())
            try:
                for number in range(hosts):
                    relay, address = None, store
                    if relayed:
                        relay, address = await start_store_relay(stack, store)
                    host = Host(
                        number, address, folder, ports, machines, settings, environment
                    )
                    host.relay = relay
                    cluster.hosts.append(host)
                    await host.start()
                for host in cluster.hosts:
                    await cluster.wait_until_ready(host)
                await check(cluster)
            finally:
                for host in cluster.hosts:
                    if host.process and host.process.returncode is None:
                        await host.kill()
                fleet_task.cancel()

    asyncio.run(run())


async def scheduling_host(cluster: PlatformCluster) -> Host:
    """Wait until a host holds the lease of the scheduler, and return it."""
    async with asyncio.timeout(WAIT_TIMEOUT_SECONDS):
        while True:
            holder_by_generation = {}
            for host in cluster.hosts:
                for line in host.lines():
                    if line["event"] == "lease_taken":
                        holder_by_generation[line["generation"]] = host
            if holder_by_generation:
                return holder_by_generation[max(holder_by_generation)]
            await asyncio.sleep(0.05)
