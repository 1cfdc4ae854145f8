"""Clusters of real processes on the loopback interface, with reserved ports."""

import asyncio
import os
import signal
import subprocess
import sys
from collections.abc import Awaitable, Callable
from typing import Any

import aiohttp
import msgspec

from common.ports import ADDRESS, PortReservations
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

SERVICE = "enrolment"
OPERATOR_TOKEN = "operator-token-of-the-test"
CLUSTER_KEY = "cluster-key-of-the-test"
REGIONS = {"lima": "coast", "trujillo": "coast", "arequipa": "south"}
WAIT_TIMEOUT_SECONDS = 40.0
POLL_SECONDS = 0.1


async def eventually(check: Callable[[], Awaitable[Any]], condition: str) -> Any:
    """Poll a check until its result is true, and return that result.

    Errors of the product and of connections count as false. Raises AssertionError
    after WAIT_TIMEOUT_SECONDS.
    """
    deadline = asyncio.get_running_loop().time() + WAIT_TIMEOUT_SECONDS
    while True:
        try:
            found = await check()
        except (ZinniatrestleError, aiohttp.ClientError, OSError):
            found = None
        if found:
            return found
        if asyncio.get_running_loop().time() > deadline:
            raise AssertionError(f"timed out waiting for: {condition}")
        await asyncio.sleep(POLL_SECONDS)


class ChildProcess:
    """A Python module that runs as a process of its own."""

    def __init__(self, arguments: list[str], environment: dict[str, str]):
        self.popen = subprocess.Popen(
            [sys.executable, "-m", *arguments],
            env={**os.environ, **environment},
            stdout=subprocess.DEVNULL,
            stderr=subprocess.DEVNULL,
        )

    def send_signal(self, number: int):
        """Send a signal."""
        self.popen.send_signal(number)

    async def wait_for_exit(self) -> int:
        """Wait until the process exits, and return its exit code."""
        return await asyncio.to_thread(self.popen.wait, WAIT_TIMEOUT_SECONDS)

    def kill(self):
        """Kill the process, even if it is stopped by SIGSTOP, and reap it."""
        if self.popen.poll() is None:
            self.popen.send_signal(signal.SIGCONT)
            self.popen.kill()
        self.popen.wait()


class HostProcess:
    """The ports of an entry host, and its process."""

    def __init__(self, name: str, domain: str, port: int, peer_port: int):
        self.name = name
        self.domain = domain
        self.port = port
        self.peer_port = peer_port
        self.process: ChildProcess | None = None

    @property
    def url(self) -> str:
        """Return the base URL."""
        return f"http://{ADDRESS}:{self.port}"

    @property
    def peer(self) -> str:
        """Return the entry of this host in the `peers` setting of other hosts."""
        region = REGIONS[self.domain]
        return f"{self.name}@{self.domain}/{region}={ADDRESS}:{self.peer_port}"


class ProcessCluster:
    """A platform, and hosts, minions and workers in each failure domain."""

    def __init__(
        self,
        domains: list[str],
        hosts: int = 2,
        minions: int = 2,
        workers: int = 8,
        extra_settings: dict[str, str] | None = None,
    ):
        self.domains = domains
        self.extra_settings = extra_settings or {}
        self.host_count = hosts
        self.minion_count = minions
        self.worker_count = workers
        self.hosts: dict[str, HostProcess] = {}
        self.processes: list[ChildProcess] = []
        self.ports = PortReservations()
        self.platform_url = ""
        self.listed: list[ListedHost] = []
        self.minion_processes: dict[str, ChildProcess] = {}
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
        for process in self.processes:
            process.kill()
        self.ports.release()
        await self.session.close()

    async def _start(self):
        port = self.ports.reserve()
        self.platform_url = f"http://{ADDRESS}:{port}"
        self._run(["zinniatrestle.standins", "platform", "--port", str(port)])
        for domain in self.domains:
            self._start_domain(domain)
        await eventually(self._platform_answers, "the platform to answer")
        await self.post_control("/control/hosts", self.listed)
        for host in self.hosts.values():
            self.start_host(host)
        await eventually(self._all_ready, "all processes to be ready")

    def _start_domain(self, domain: str):
        addresses = []
        for number in range(self.minion_count):
            port = self.ports.reserve()
            addresses.append(f"{ADDRESS}:{port}")
            name = f"{domain}-{SERVICE}-{number}"
            arguments = ["minion", "--name", name, "--port", str(port)]
            process = self._run(["zinniatrestle.standins", *arguments])
            self.minion_processes[name] = process
        self.listed += minion_list(FailureDomainId(domain), SERVICE, addresses)
        port = self.ports.reserve()
        count = str(self.worker_count)
        arguments = ["workers", "--domain", domain, "--count", count]
        self._run(["zinniatrestle.standins", *arguments, "--port", str(port)])
        self.worker_urls[domain] = f"http://{ADDRESS}:{port}"
        self.listed += worker_list(
            FailureDomainId(domain), self.worker_count, f"{ADDRESS}:{port}"
        )
        for number in range(self.host_count):
            name = f"{domain}-{number + 1}"
            self.hosts[name] = HostProcess(
                name, domain, self.ports.reserve(), self.ports.reserve()
            )

    def start_host(self, host: HostProcess):
        """Start an entry host, or restart it."""
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
            **self.extra_settings,
        }
        environment = {}
        for name, value in settings.items():
            environment[ENVIRONMENT_PREFIX + name.upper()] = value
        host.process = self._run(["zinniatrestle", "serve"], environment)

    def client(self, host: str, account_token: str = "") -> Client:
        """Return a client of one host."""
        return Client(
            ClientSettings(self.hosts[host].url, OPERATOR_TOKEN, account_token)
        )

    async def change(self, change: Change, host: str | None = None) -> Revision:
        """Submit a change and return its revision, which is then in force on that host.

        The change goes to the first host unless another is named.
        """
        client = self.client(host or next(iter(self.hosts)))
        call = ChangeCall(new_operation_token(), change)
        answer = await client.operator("POST", "/changes", ChangeAnswer, call)
        return answer.revision

    async def wait_until_in_force(
        self, revision: Revision, hosts: list[str] | None = None
    ):
        """Wait until a revision is in force on some hosts, by default on all."""

        async def check():
            for name in hosts or self.hosts:
                view = await self.client(name).operator("GET", "/status", StatusView)
                if view.hosts[0].revision < revision:
                    return False
            return True

        await eventually(check, f"revision {revision} to be in force")

    async def prove(self, host: str, account: str) -> Proof:
        """Request the proof of an account's retirement from a host."""
        return await self.client(host).operator("GET", f"/proof/{account}", Proof)

    async def post_control(self, path: str, body: Any, base: str = ""):
        """Post to a control endpoint of a stand-in, by default of the platform."""
        url = (base or self.platform_url) + path
        data = msgspec.json.encode(body)
        async with self.session.post(url, data=data) as response:
            response.raise_for_status()

    async def get_control(self, url: str, answer_type: Any) -> Any:
        """Read from a control endpoint of a stand-in."""
        async with self.session.get(url) as response:
            return msgspec.json.decode(await response.read(), type=answer_type)

    async def set_platform_faults(self, **faults):
        """Replace the faults of the platform; without arguments, remove them."""
        await self.post_control("/control/faults", PlatformFaults(**faults))

    async def set_minion_faults(self, name: str, **faults):
        """Replace the faults of a minion; without arguments, remove them."""
        await self.post_control(
            "/control/faults", MinionFaults(**faults), self.minion_url(name)
        )

    def minion_url(self, name: str) -> str:
        """Return the base URL of a minion."""
        for host in self.listed:
            if host.name == name:
                return f"http://{host.address}"
        raise KeyError(name)

    async def runs(self) -> list[Run]:
        """Return the runs of all minions."""
        found = []
        for name in self.minion_processes:
            url = f"{self.minion_url(name)}/control/runs"
            found += await self.get_control(url, list[Run])
        return found

    async def starts(self, domain: str) -> list[WorkerStart]:
        """Return all starts on the workers of a failure domain."""
        url = f"{self.worker_urls[domain]}/control/starts"
        return await self.get_control(url, list[WorkerStart])

    async def leases(self, domain: str) -> list[WorkerReport]:
        """Return a report of its task leases from each worker of a failure domain."""
        url = f"{self.worker_urls[domain]}/control/leases"
        return await self.get_control(url, list[WorkerReport])

    async def counts(self) -> PlatformCounts:
        """Return the counts of calls, rows and bytes at the platform."""
        return await self.get_control(
            f"{self.platform_url}/control/counts", PlatformCounts
        )

    def _run(
        self, arguments: list[str], environment: dict[str, str] | None = None
    ) -> ChildProcess:
        process = ChildProcess(arguments, environment or {})
        self.processes.append(process)
        return process

    async def _platform_answers(self) -> bool:
        await self.counts()
        return True

    async def _all_ready(self) -> bool:
        for host in self.hosts.values():
            async with self.session.get(f"{host.url}/readyz") as response:
                if response.status != 200:
                    return False
        for name in self.minion_processes:
            await self.get_control(f"{self.minion_url(name)}/control/runs", list[Run])
        for domain in self.domains:
            await self.starts(domain)
        return True
