"""Whole sites of real processes on loopback, with free ports."""

import asyncio
import os
import signal
import socket
import subprocess
import sys
from collections.abc import Awaitable, Callable
from typing import Any

import aiohttp
import msgspec

from zinniatrestle.configuration.messages import Change
from zinniatrestle.errors import ZinniatrestleError
from zinniatrestle.ids import FailureDomainId, Revision, new_operation_token
from zinniatrestle.operators.client import Client, ClientSettings
from zinniatrestle.operators.messages import ChangeAnswer, ChangeCall, StatusView
from zinniatrestle.retirement import Proof
from zinniatrestle.settings import ENVIRONMENT_PREFIX
from zinniatrestle.standins.messages import (
    MinionFaults,
    PlatformCounts,
    PlatformFaults,
    Run,
    WorkerStart,
)
from zinniatrestle.standins.site import minion_list, worker_list
from zinniatrestle.store.messages import ListedHost, WorkerReport

ADDRESS = "127.0.0.1"
SERVICE = "enrolment"
OPERATOR_TOKEN = "operator-token-of-the-test"
CLUSTER_KEY = "cluster-key-of-the-test"
REGIONS = {"lima": "coast", "trujillo": "coast", "arequipa": "south"}
PATIENCE_SECONDS = 40.0
LOOK_SECONDS = 0.1


def free_ports(count: int) -> list[int]:
    """Return ports that nobody listens on."""
    sockets = [socket.socket() for _ in range(count)]
    for entry in sockets:
        entry.bind((ADDRESS, 0))
    ports = [entry.getsockname()[1] for entry in sockets]
    for entry in sockets:
        entry.close()
    return ports


async def eventually(check: Callable[[], Awaitable[Any]], what: str) -> Any:
    """Return the first true result of a check."""
    deadline = asyncio.get_running_loop().time() + PATIENCE_SECONDS
    while True:
        try:
            found = await check()
        except (ZinniatrestleError, aiohttp.ClientError, OSError):
            found = None
        if found:
            return found
        if asyncio.get_running_loop().time() > deadline:
            raise AssertionError(f"never came: {what}")
        await asyncio.sleep(LOOK_SECONDS)


class Program:
    """One process."""

    def __init__(self, arguments: list[str], environment: dict[str, str]):
        self.process = subprocess.Popen(
            [sys.executable, "-m", *arguments],
            env={**os.environ, **environment},
            stdout=subprocess.DEVNULL,
            stderr=subprocess.DEVNULL,
        )

    def send(self, number: int):
        """Send a signal."""
        self.process.send_signal(number)

    async def ended(self) -> int:
        """Wait for the end and return the exit code."""
        return await asyncio.to_thread(self.process.wait, PATIENCE_SECONDS)

    def end(self):
        """End it whatever its state."""
        if self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
        self.process.wait()


class HostProgram:
    """Where one entry host listens, and its process."""

    def __init__(self, name: str, domain: str, port: int, peer_port: int):
        self.name = name
        self.domain = domain
        self.port = port
        self.peer_port = peer_port
        self.program: Program | None = None

    @property
    def url(self) -> str:
        """Return the base address."""
        return f"http://{ADDRESS}:{self.port}"

    @property
    def peer(self) -> str:
        """Return how peers write it."""
        region = REGIONS[self.domain]
        return f"{self.name}@{self.domain}/{region}={ADDRESS}:{self.peer_port}"


class ProcessCluster:
    """A platform, and in each failure domain hosts, minions and workers."""

    def __init__(
        self,
        domains: list[str],
        hosts: int = 2,
        minions: int = 2,
        workers: int = 8,
        extra: dict[str, str] | None = None,
    ):
        self.domains = domains
        self.extra = extra or {}
        self.host_count = hosts
        self.minion_count = minions
        self.worker_count = workers
        self.hosts: dict[str, HostProgram] = {}
        self.programs: list[Program] = []
        self.platform_url = ""
        self.listed: list[ListedHost] = []
        self.minion_programs: dict[str, Program] = {}
        self.worker_urls: dict[str, str] = {}
        self.session: aiohttp.ClientSession | None = None

    async def __aenter__(self) -> "ProcessCluster":
        self.session = aiohttp.ClientSession()
        try:
            await self._start()
        except BaseException:
            await self.__aexit__()
            raise
        return self

    async def __aexit__(self, *details):
        for program in self.programs:
            program.end()
        await self.session.close()

    async def _start(self):
        (port,) = free_ports(1)
        self.platform_url = f"http://{ADDRESS}:{port}"
        self._run(["zinniatrestle.standins", "platform", "--port", str(port)])
        for domain in self.domains:
            self._start_domain(domain)
        await eventually(self._platform_up, "the platform")
        await self.control("/control/hosts", self.listed)
        for host in self.hosts.values():
            self.start_host(host)
        await eventually(self._all_ready, "all hosts ready")

    def _start_domain(self, domain: str):
        ports = free_ports(self.minion_count + 1 + 2 * self.host_count)
        addresses = []
        for number in range(self.minion_count):
            port = ports.pop()
            addresses.append(f"{ADDRESS}:{port}")
            name = f"{domain}-{SERVICE}-{number}"
            arguments = ["minion", "--name", name, "--port", str(port)]
            program = self._run(["zinniatrestle.standins", *arguments])
            self.minion_programs[name] = program
        self.listed += minion_list(FailureDomainId(domain), SERVICE, addresses)
        port = ports.pop()
        count = str(self.worker_count)
        arguments = ["workers", "--domain", domain, "--count", count]
        self._run(["zinniatrestle.standins", *arguments, "--port", str(port)])
        self.worker_urls[domain] = f"http://{ADDRESS}:{port}"
        self.listed += worker_list(
            FailureDomainId(domain), self.worker_count, f"{ADDRESS}:{port}"
        )
        for number in range(self.host_count):
            name = f"{domain}-{number + 1}"
            self.hosts[name] = HostProgram(name, domain, ports.pop(), ports.pop())

    def start_host(self, host: HostProgram):
        """Start an entry host, or start it again."""
        others = [other.peer for other in self.hosts.values() if other is not host]
        settings = {
            "host": host.name,
            "domain": host.domain,
            "region": REGIONS[host.domain],
            "port": str(host.port),
            "peer_port": str(host.peer_port),
            "peers": ",".join(others),
            "cluster_key": CLUSTER_KEY,
            "operator_token": OPERATOR_TOKEN,
            "platform_url": self.platform_url,
            "notice_seconds": "0.5",
            **self.extra,
        }
        environment = {}
        for name, value in settings.items():
            environment[ENVIRONMENT_PREFIX + name.upper()] = value
        host.program = self._run(["zinniatrestle", "serve"], environment)

    def client(self, host: str, account_token: str = "") -> Client:
        """Return a client of one host."""
        return Client(
            ClientSettings(self.hosts[host].url, OPERATOR_TOKEN, account_token)
        )

    async def change(self, change: Change, host: str | None = None) -> Revision:
        """Make a change and wait until it is in force on the host that took it."""
        client = self.client(host or next(iter(self.hosts)))
        call = ChangeCall(new_operation_token(), change)
        answer = await client.operator("POST", "/changes", ChangeAnswer, call)
        return answer.revision

    async def wait_until_in_force(
        self, revision: Revision, hosts: list[str] | None = None
    ):
        """Wait until hosts have a revision in force."""

        async def check():
            for name in hosts or self.hosts:
                view = await self.client(name).operator("GET", "/status", StatusView)
                if view.hosts[0].revision < revision:
                    return False
            return True

        await eventually(check, f"revision {revision} in force")

    async def prove(self, host: str, account: str) -> Proof:
        """Ask a host for the proof on an account."""
        return await self.client(host).operator("GET", f"/proof/{account}", Proof)

    async def control(self, path: str, body: Any, base: str = ""):
        """Post to a stand-in's control."""
        url = (base or self.platform_url) + path
        data = msgspec.json.encode(body)
        async with self.session.post(url, data=data) as response:
            response.raise_for_status()

    async def show(self, url: str, wanted: Any) -> Any:
        """Read from a stand-in's control."""
        async with self.session.get(url) as response:
            return msgspec.json.decode(await response.read(), type=wanted)

    async def platform_faults(self, **faults):
        """Switch the platform's faults."""
        await self.control("/control/faults", PlatformFaults(**faults))

    async def minion_faults(self, name: str, **faults):
        """Switch a minion's faults."""
        await self.control(
            "/control/faults", MinionFaults(**faults), self.minion_url(name)
        )

    def minion_url(self, name: str) -> str:
        """Return a minion's base address."""
        for host in self.listed:
            if host.name == name:
                return f"http://{host.address}"
        raise KeyError(name)

    async def runs(self) -> list[Run]:
        """Return all runs on all minions that answer."""
        found = []
        for name in self.minion_programs:
            url = f"{self.minion_url(name)}/control/runs"
            found += await self.show(url, list[Run])
        return found

    async def starts(self, domain: str) -> list[WorkerStart]:
        """Return all starts on the workers of a failure domain."""
        url = f"{self.worker_urls[domain]}/control/starts"
        return await self.show(url, list[WorkerStart])

    async def leases(self, domain: str) -> list[WorkerReport]:
        """Return what the workers of a failure domain hold."""
        url = f"{self.worker_urls[domain]}/control/leases"
        return await self.show(url, list[WorkerReport])

    async def counts(self) -> PlatformCounts:
        """Return how often the table was used."""
        return await self.show(f"{self.platform_url}/control/counts", PlatformCounts)

    def _run(
        self, arguments: list[str], environment: dict[str, str] | None = None
    ) -> Program:
        program = Program(arguments, environment or {})
        self.programs.append(program)
        return program

    async def _platform_up(self) -> bool:
        await self.counts()
        return True

    async def _all_ready(self) -> bool:
        for host in self.hosts.values():
            async with self.session.get(f"{host.url}/readyz") as response:
                if response.status != 200:
                    return False
        for name in self.minion_programs:
            await self.show(f"{self.minion_url(name)}/control/runs", list[Run])
        for domain in self.domains:
            await self.starts(domain)
        return True
