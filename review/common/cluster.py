"""A small cluster for the scripts: hosts as processes, the platform as stand-ins.

The hosts are started with the command of the deploy file, each on a loopback address of
its own. Store and workers are the project's stand-ins, served by the script's process.
"""

import asyncio
import base64
import contextlib
import json
import os
import shlex
import socket
import sys
import tempfile
import time
import tomllib
from dataclasses import dataclass
from pathlib import Path

import aiohttp
import msgspec
import uvicorn
from starlette.requests import Request
from starlette.responses import Response

from zinniatrestle.ids import RowName, TableName
from zinniatrestle.standins.fleet import SimulatedFleet
from zinniatrestle.standins.runs import FleetTraits, SimulatedWorker
from zinniatrestle.standins.wire import (
    WireFleetWorker,
    WireStore,
    encode_server_row,
)
from zinniatrestle.web import HttpServer

ROOT = Path(__file__).resolve().parents[2]
HELD, BROKEN, NOT_RUN = 0, 1, 2
SERVERS = TableName("servers")
HEARTBEAT_SECONDS = 1.5
READY_SECONDS = 30.0
# Exit before the limit of 120 s, with time to end the processes.
MAX_SCRIPT_SECONDS = 110.0
CALLERS_PORT, READINESS_PORT = 8521, 8523
ROW_BYTES = 65_536
# The settings' time of a transaction, and 4 ms for the answer.
TRANSACTION_SECONDS = 0.012
READ_SECONDS = 0.004
ZONE, REGION = "lima-a", "lima"

# Kinds of workers that differ from the usual one.
LABELS: dict[str, str] = {}

SETTINGS = """
nodeName = "{name}"
role = "host"
machineClass = "frontend"
serves = ["frontend"]
ip = "{ip}"
zone = "lima-a"
region = "lima"
internalPortRange = [7000,7015]
seeds = []
bootstrap = true
discovery = "platform"
entry = "vip"
heartbeatMs = 1500
contracts = ["base","drain","config","cost","recover","sched","tenants","places",
  "platform","advice","upkeep","sharing"]
orders = "invocation"
advice = ""
[zones]
lima-a = "lima"
[bindAddresses]
frontendAddr = "{ip}:8521"
readiness = "{ip}:8523"
[limits]
cpuShare = 0.537
cores = 2
memoryMb = 300
maxFds = 4100
[bounds]
contactMs = 4000
ackTimeoutMs = 5000
drainMs = 2500
graceS = 6
configApplyMs = 2500
strictRevocation = true
revokeMs = 5000
evacuateMs = 5000
recoveryS = 12
maxHoldMs = 10000
stopTimeoutMs = 200
gangTimeoutMs = 3000
cancel_ms = 3000
visible_ms = 3000
finish_s = 14
status_s = 120
farX = 3
checkpointIntervalS = 2
restoreMs = 250
noticeMs = 5500
leaseMs = 3000
harmMs = 4000
reclaimMs = 2700
[platform]
address = "{store}"
form = "table"
writesPerS = 600
readsPerS = 2000
txnMs = 8.0
partitionWritesS = 150
rowBytes = 65536
historyS = 20
"""

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
            "stretch": 1.5,
            "targetLatencyMs": 400,
        }
    ],
    "services": [{"name": "service"}],
    "tenants": [{"name": "t", "apiKeys": ["key"], "guaranteed": {"gpus": 8}}],
    "limits": {"maxBodyBytes": 262144},
}


@contextlib.asynccontextmanager
async def serve(app):
    """Serve an application on a free port, and yield its address.

    The protocol is named, since without it the answers of a socket are delayed until
    the other side has acknowledged what came before.
    """
    with socket.socket(socket.AF_INET, socket.SOCK_STREAM, socket.IPPROTO_TCP) as bound:
        bound.bind(("127.0.0.1", 0))
        bound.listen(100)
        config = uvicorn.Config(
            app, log_config=None, lifespan="off", timeout_graceful_shutdown=0
        )
        server = HttpServer(config)
        serving = asyncio.create_task(server.serve(sockets=[bound]))
        try:
            yield f"127.0.0.1:{bound.getsockname()[1]}"
        finally:
            server.should_exit = True
            server.force_exit = True
            await serving


class Door:
    """A relay in front of a worker, which can refuse and reset connections."""

    def __init__(self, target: str):
        self.target = target
        self.server: asyncio.Server | None = None
        self.address = ""
        self.writers: set[asyncio.StreamWriter] = set()

    async def open(self):
        """Accept connections, at the same address as before."""
        port = int(self.address.rpartition(":")[2] or 0)
        self.server = await asyncio.start_server(self.relay, "127.0.0.1", port)
        self.address = f"127.0.0.1:{self.server.sockets[0].getsockname()[1]}"

    def close(self):
        """Refuse new connections, and reset those that are open."""
        self.server.close()
        for writer in self.writers:
            writer.transport.abort()

    async def relay(self, reader, writer):
        """Relay one connection in both directions."""
        ip, _, port = self.target.rpartition(":")
        to_reader, to_writer = await asyncio.open_connection(ip, int(port))
        pair = {writer, to_writer}
        self.writers |= pair
        try:
            await asyncio.gather(
                self.pump(reader, to_writer), self.pump(to_reader, writer)
            )
        finally:
            self.writers -= pair
            for each in pair:
                each.transport.abort()

    async def pump(self, reader, writer):
        """Copy one direction until either side ends."""
        with contextlib.suppress(OSError):
            while data := await reader.read(65_536):
                writer.write(data)
                await writer.drain()
        writer.transport.abort()


@dataclass(frozen=True)
class Shape:
    """What a cluster consists of.

    With `relayed` workers their connections can be refused and reset.
    """

    workers: int
    hosts: int = 2
    fleet: type[SimulatedFleet] = SimulatedFleet
    relayed: bool = False


class Record:
    """The record of a script: what was sent, answered and run."""

    def __init__(self, path: Path):
        self.file = path.open("w")
        self.began_at = time.monotonic()

    def write(self, text: str):
        """Write a line with the seconds since the script began."""
        passed = time.monotonic() - self.began_at
        self.file.write(f"{passed:8.3f} {text}\n")
        self.file.flush()


class HostProcess:
    """A host, started by the command of the deploy file."""

    def __init__(self, number: int, store: str, folder: Path):
        self.name = f"frontend-lima-a-{number}"
        self.ip = f"127.{os.getpid() % 250 + 1}.{os.getpid() // 250 % 250}.{number}"
        self.settings = folder / f"{self.name}.toml"
        self.log = folder / f"{self.name}.log"
        self.settings.write_text(
            SETTINGS.format(name=self.name, ip=self.ip, store=store)
        )
        self.process: asyncio.subprocess.Process | None = None

    async def start(self):
        """Start the process."""
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        command = shlex.split(deploy["roles"]["host"]["run"])
        environment = {
            "PATH": os.environ["PATH"],
            "HOME": os.environ.get("HOME", "/"),
            "PYTHONPATH": str(ROOT / "target/deps"),
            "ZINNIATRESTLE_BOOT": str(self.settings),
        }
        with self.log.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *command, stdout=log, stderr=log, cwd=ROOT, env=environment
            )

    async def end(self):
        """Kill the process if it runs."""
        if self.process is not None and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()

    def lines(self) -> list[dict]:
        """Return the lines of its log so far."""
        found = []
        for line in self.log.read_text().splitlines():
            with contextlib.suppress(ValueError):
                found.append(json.loads(line))
        return found


class LimitedStore(WireStore):
    """The store, which refuses larger values than `rowBytes` of the settings.

    The limit is that of the value before its encoding as base64, the more generous of
    the two readings of the page.
    """

    def __init__(self, record: Record):
        super().__init__()
        self.record = record
        self.refused: dict[str, int] = {}
        # How many times as long as usual each answer takes.
        self.slowness = 1.0

    async def transact(self, request: Request) -> Response:
        """Apply a transaction, or refuse it as a whole with status 400."""
        body = msgspec.json.decode(await request.body())
        for row in body.get("writes", []):
            size = len(base64.b64decode(row["value"]))
            if size <= ROW_BYTES:
                continue
            name = f"{row['table']}/{row['key']}"
            if name not in self.refused:
                self.record.write(f"store refuses {name}: {size} bytes")
            self.refused[name] = self.refused.get(name, 0) + 1
            return Response(status_code=400)
        await asyncio.sleep(TRANSACTION_SECONDS * self.slowness)
        return await super().transact(request)

    async def read(self, request: Request) -> Response:
        """Return rows of a table."""
        await asyncio.sleep(READ_SECONDS * self.slowness)
        return await super().read(request)

    async def feed(self, request: Request) -> Response:
        """Return the changes of a table after a version."""
        await asyncio.sleep(READ_SECONDS * self.slowness)
        return await super().feed(request)


class Cluster:
    """Hosts, store, workers and a client."""

    def __init__(self, folder: Path, record: Record, shape: Shape):
        self.folder = folder
        self.record = record
        self.wire = LimitedStore(record)
        self.rows = self.wire.rows
        # Only steps that ask for checkpoints have them, as the pages say.
        self.fleet = shape.fleet(
            self.rows, stop_seconds=0.1, traits=FleetTraits(checkpoints_by_step=True)
        )
        self.hosts: list[HostProcess] = []
        self.addresses: dict[str, str] = {}
        self.doors: dict[str, Door] = {}
        self.session = aiohttp.ClientSession(timeout=aiohttp.ClientTimeout(total=5.0))

    def list_worker(self, worker: SimulatedWorker):
        """Write a worker's entry, as its heartbeat does."""
        entry = worker.entry
        worker.entry = msgspec.structs.replace(entry, sequence=entry.sequence + 1)
        row = encode_server_row(worker.entry, self.addresses[entry.worker])
        if entry.worker in LABELS:
            listed = msgspec.json.decode(row)
            listed["labels"] = [LABELS[entry.worker], entry.rack]
            row = msgspec.json.encode(listed)
        self.rows.put(SERVERS, RowName(entry.worker), row)

    async def send_heartbeats(self):
        """Write the entries of workers; the registry removes one after three misses."""
        missed: dict[str, int] = {}
        while True:
            await asyncio.sleep(HEARTBEAT_SECONDS)
            for worker in list(self.fleet.workers.values()):
                name = worker.entry.worker
                if worker.alive and worker.heartbeats:
                    missed[name] = 0
                    self.list_worker(worker)
                    continue
                missed[name] = missed.get(name, 0) + 1
                if missed[name] == 3:
                    self.rows.put(SERVERS, RowName(name), None)

    async def call(
        self, host: HostProcess, method: str, path: str, body=None, quiet=False
    ):
        """Call a host as a client does, and record both; status 0 is no answer."""
        headers = {
            "Host": "queue.example",
            "Api-Key": "key",
            "Zinniatrestle-Deadline-Ms": "3000",
        }
        data = msgspec.json.encode(body) if body is not None else None
        url = f"http://{host.ip}:{CALLERS_PORT}{path}"
        try:
            async with self.session.request(
                method, url, data=data, headers=headers
            ) as response:
                status, text = response.status, (await response.read()).decode()
        except (aiohttp.ClientError, TimeoutError) as error:
            status, text = 0, type(error).__name__
        if not quiet:
            self.record.write(f"client {method} {path} at {host.name}: {status} {text}")
        return status, text

    async def is_ready(self, host: HostProcess) -> bool:
        """Return whether the readiness probe of a host is answered with 200."""
        url = f"http://{host.ip}:{READINESS_PORT}/-/ready"
        try:
            async with self.session.get(url) as response:
                return response.status == 200
        except (aiohttp.ClientError, TimeoutError):
            return False

    async def wait_for(self, condition, seconds: float = READY_SECONDS) -> bool:
        """Wait until a condition holds, and return whether it does."""
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            result = condition()
            if asyncio.iscoroutine(result):
                result = await result
            if result:
                return True
            await asyncio.sleep(0.02)
        return False

    def scheduling_host(self) -> HostProcess | None:
        """Return the host that took the scheduler's lease last."""
        newest, found = 0, None
        for host in self.hosts:
            for line in host.lines():
                if line.get("event") == "lease_taken" and line["generation"] > newest:
                    newest, found = line["generation"], host
        return found

    def record_history(self):
        """Record what ran at the workers."""
        for event in self.fleet.history:
            at = event.at - self.record.began_at
            outcome = event.outcome.value if event.outcome else ""
            self.record.file.write(
                f"{at:8.3f} worker {event.worker}: {event.kind.value} {event.task} "
                f"run {event.run} generation {event.generation} {outcome}\n"
            )


async def _run(check, folder: Path, record: Record, shape: Shape) -> int:
    cluster = Cluster(folder, record, shape)
    async with contextlib.AsyncExitStack() as stack:
        stack.push_async_callback(cluster.session.close)
        store = await stack.enter_async_context(serve(cluster.wire.app()))
        cluster.rows.put(
            TableName("op"), RowName("config"), msgspec.json.encode(CONFIG)
        )
        for number in range(shape.workers):
            worker = cluster.fleet.add(f"w-{number}", f"r{number // 8}", ZONE)
            app = WireFleetWorker(cluster.fleet, worker.entry).app()
            address = await stack.enter_async_context(serve(app))
            if shape.relayed:
                door = Door(address)
                await door.open()
                stack.callback(door.close)
                cluster.doors[worker.entry.worker] = door
                address = door.address
            cluster.addresses[worker.entry.worker] = address
            cluster.list_worker(worker)
        tasks = [
            asyncio.create_task(cluster.fleet.run()),
            asyncio.create_task(cluster.send_heartbeats()),
        ]
        try:
            for number in range(1, shape.hosts + 1):
                cluster.hosts.append(HostProcess(number, store, folder))
                await cluster.hosts[-1].start()
            for host in cluster.hosts:
                if not await cluster.wait_for(lambda host=host: cluster.is_ready(host)):
                    record.write(f"{host.name} is not ready")
                    return NOT_RUN
            if not await cluster.wait_for(lambda: cluster.scheduling_host()):
                record.write("no host took the lease")
                return NOT_RUN
            record.write(f"all ready; {cluster.scheduling_host().name} schedules")
            return await check(cluster)
        finally:
            cluster.record_history()
            for host in cluster.hosts:
                await host.end()
            for task in tasks:
                task.cancel()


def main(check, case: Path, shape: Shape):
    """Run a check of a case on a new cluster, and exit with its result."""
    record = Record(case / "record.txt")
    folder = tempfile.TemporaryDirectory(prefix="review-")
    result = NOT_RUN
    try:
        with folder as name:
            running = _run(check, Path(name), record, shape)
            result = asyncio.run(asyncio.wait_for(running, MAX_SCRIPT_SECONDS))
    except Exception as error:
        record.write(f"the script failed: {type(error).__name__}: {error}")
    record.write(
        {HELD: "the rule held", BROKEN: "the rule was broken"}.get(
            result, "the case could not run"
        )
    )
    sys.exit(result)


def has_trouble() -> bool:
    """Return whether the disruption is to happen."""
    return os.environ.get("TROUBLE", "1") != "0"
