"""Clusters of complete entry hosts in virtual time, with fault injection by host."""

import asyncio
from collections.abc import Callable
from typing import Any

from zinniatrestle.clock import LoopClock, monotonic
from zinniatrestle.configuration.messages import (
    ApplyAccount,
    Change,
    PutTemplate,
    Template,
)
from zinniatrestle.entry import EntryHost
from zinniatrestle.ids import (
    ClientAccountId,
    FailureDomainId,
    RequestKey,
    Revision,
    ServiceName,
    TemplateName,
    new_operation_token,
)
from zinniatrestle.peers import PeerMesh
from zinniatrestle.peers.messages import Duty
from zinniatrestle.peers.state import Peer
from zinniatrestle.requests import Answer, Request
from zinniatrestle.retirement import Proof
from zinniatrestle.settings import HostSettings
from zinniatrestle.standins.embedded import EmbeddedMinions
from zinniatrestle.standins.faults import FaultyPlatform
from zinniatrestle.standins.messages import MinionFaults, PlatformFaults
from zinniatrestle.standins.site import minion_list, worker_list
from zinniatrestle.store.embedded import EmbeddedPlatform
from zinniatrestle.store.interfaces import Platform
from zinniatrestle.upstreams.messages import MinionAddress, UpstreamRequest
from zinniatrestle.upstreams.transport import UpstreamTransport

SERVICE = ServiceName("enrolment")
ACCOUNT = ClientAccountId("norte")
LIMA = FailureDomainId("lima")
AREQUIPA = FailureDomainId("arequipa")
GRACE_SECONDS = 20.0
ADDRESS = "127.0.0.1:1"
FIRST_PORT = 7000
# Calls of several hosts interleave only if each call takes some time.
LATENCY_SECONDS = 0.004


class Gate:
    """Blocks all calls of a frozen host until it is thawed."""

    def __init__(self):
        self.open = asyncio.Event()
        self.open.set()

    def freeze(self):
        """Block calls from now on."""
        self.open.clear()

    def thaw(self):
        """Let blocked calls continue."""
        self.open.set()


class GatedService:
    """Proxy whose calls wait at a gate before they take effect and after it."""

    def __init__(self, inner: Any, gate: Gate):
        self.inner = inner
        self.gate = gate

    def __getattr__(self, name: str) -> Callable:
        method = getattr(self.inner, name)

        async def call(*arguments):
            await self.gate.open.wait()
            result = await method(*arguments)
            await self.gate.open.wait()
            return result

        return call


class DetachedGatedService(GatedService):
    """Proxy whose calls take effect even if their caller is cancelled meanwhile.

    A process that is thawed sends what it was about to send, although its caller has
    timed out.
    """

    def __getattr__(self, name: str) -> Callable:
        call = super().__getattr__(name)

        async def call_detached(*arguments):
            return await asyncio.shield(asyncio.create_task(call(*arguments)))

        return call_detached


class GatedPlatform(Platform):
    """The platform as seen by one host that can be frozen."""

    def __init__(self, inner: FaultyPlatform, gate: Gate):
        self.inner = inner
        self.table = GatedService(inner.table, gate)
        self.objects = GatedService(inner.objects, gate)
        self.hosts = GatedService(inner.hosts, gate)
        self.workers = DetachedGatedService(inner.workers, gate)

    async def close(self):
        """Do nothing: the cluster keeps the shared stand-in."""


class GatedTransport(UpstreamTransport):
    """Transport to the minions of one host that can be frozen."""

    def __init__(self, inner: EmbeddedMinions, gate: Gate):
        self.inner = inner
        self.gate = gate

    async def send(self, minion: MinionAddress, request: UpstreamRequest):
        """Send one attempt once the gate is open, even if the caller is cancelled."""
        delivery = asyncio.create_task(self._send_through_gate(minion, request))
        return await asyncio.shield(delivery)

    async def _send_through_gate(self, minion: MinionAddress, request: UpstreamRequest):
        await self.gate.open.wait()
        answer = await self.inner.send(minion, request)
        await self.gate.open.wait()
        return answer

    async def running(self, minion: MinionAddress, account: ClientAccountId) -> int:
        """Return the number of attempts that a minion runs."""
        await self.gate.open.wait()
        return await self.inner.running(minion, account)

    async def close(self):
        """Do nothing: the cluster keeps the shared stand-in."""


def gate_mesh(mesh: PeerMesh, gate: Gate):
    """Make a mesh drop heartbeats and delay answers while its host is frozen."""
    on_heartbeat, serve = mesh.on_heartbeat, mesh.serve

    def gated_on_heartbeat(peer: Peer):
        if gate.open.is_set():
            on_heartbeat(peer)

    async def gated_serve(duty: Duty, body: bytes) -> bytes:
        await gate.open.wait()
        return await serve(duty, body)

    mesh.on_heartbeat = gated_on_heartbeat
    mesh.serve = gated_serve


class HostCluster:
    """Entry hosts of several failure domains on one embedded platform."""

    def __init__(
        self,
        domains: list[FailureDomainId],
        hosts: int = 2,
        minions: int = 3,
        workers: int = 4,
        claim_batch: int = 64,
    ):
        self.clock = LoopClock()
        self.domains = domains
        self.minions = EmbeddedMinions(self.clock)
        listed = []
        for domain in domains:
            listed += minion_list(domain, SERVICE, [ADDRESS] * minions)
            listed += worker_list(domain, workers, ADDRESS)
        self.platform = EmbeddedPlatform(listed, self.clock)
        self.faults = PlatformFaults(latency_seconds=LATENCY_SECONDS)
        self.skews: dict[str, float] = {}
        self.claim_batch = claim_batch
        self.gates: dict[str, Gate] = {}
        self.views: dict[str, FaultyPlatform] = {}
        self.hosts: dict[str, EntryHost] = {}
        self.ports: dict[str, int] = {}
        self.domain_by_host: dict[str, FailureDomainId] = {}
        for domain in domains:
            for number in range(hosts):
                name = f"{domain}-{number + 1}"
                self.domain_by_host[name] = domain
                self.ports[name] = FIRST_PORT + len(self.ports)

    @classmethod
    async def start(
        cls, domains: list[FailureDomainId], plan: dict | None = None, **sizes
    ) -> "HostCluster":
        """Return a running cluster with one account."""
        cluster = cls(domains, **sizes)
        for name in cluster.domain_by_host:
            await cluster.boot(name)
        await asyncio.sleep(2)
        await cluster.apply_account(ACCOUNT, plan or default_plan(domains))
        await asyncio.sleep(1)
        return cluster

    async def boot(self, name: str):
        """Start a host, or restart it without any state."""
        gate = Gate()
        view = FaultyPlatform(self.platform, self.faults, name)
        host = EntryHost(
            self._settings(name),
            GatedPlatform(view, gate),
            GatedTransport(self.minions, gate),
            LoopClock(offset=self.skews.get(name, 0.0)),
        )
        gate_mesh(host.mesh, gate)
        self.gates[name] = gate
        self.views[name] = view
        self.hosts[name] = host
        await host.start()

    async def kill(self, name: str):
        """Crash a host: end it at once, without announcing that it leaves."""
        host = self.hosts.pop(name)
        for task in [*host.tasks, *host.handler.background]:
            task.cancel()
        await host.mesh.server.close()
        await asyncio.gather(*host.tasks, return_exceptions=True)

    async def apply_account(self, account: ClientAccountId, plan: dict) -> Revision:
        """Apply an account with a template of its own."""
        name = TemplateName(f"for-{account}")
        await self.change(PutTemplate(Template(name, plan)))
        return await self.change(ApplyAccount(account, name, f"digest-{account}"))

    async def change(self, change: Change, host: str | None = None) -> Revision:
        """Submit a change at one host."""
        receiver = self.hosts[host or next(iter(self.hosts))]
        return await receiver.changes.submit(change, new_operation_token())

    async def request(
        self,
        host: str,
        kind: str = "seat-check",
        key: str | None = None,
        body: bytes = b"{}",
        timeout: float = 5.0,
    ) -> Answer:
        """Send a request to one host."""
        idempotency_key = RequestKey(key) if key is not None else None
        request = Request(ACCOUNT, SERVICE, kind, body, timeout, idempotency_key)
        return await self.hosts[host].handler.handle(request)

    async def prove(self, host: str) -> Proof:
        """Return the proof of retirement of the account from one host."""
        return await self.hosts[host].prover.prove(ACCOUNT)

    def set_minion_faults(self, **faults):
        """Replace the faults of all minions; without arguments, remove them."""
        for host in self.platform.hosts.listed.values():
            if host.service:
                self.minions.faults[host.name] = MinionFaults(**faults)

    def cut(self, one: str, other: str):
        """Cut the links between two hosts."""
        for name, peer in ((one, other), (other, one)):
            host = self.hosts.get(name)
            if host is None:
                continue
            link = host.mesh.links[peer]
            link.peer.address.port = 1
            if link.stream is not None:
                link.stream.close()

    def heal(self, one: str, other: str):
        """Restore the links between two hosts."""
        for name, peer in ((one, other), (other, one)):
            host = self.hosts.get(name)
            if host is not None:
                host.mesh.links[peer].peer.address.port = self.ports[peer]

    def _settings(self, name: str) -> HostSettings:
        peers = []
        for other, domain in self.domain_by_host.items():
            if other != name:
                port = self.ports[other]
                peers.append(f"{other}@{domain}/region-{domain}=127.0.0.1:{port}")
        return HostSettings(
            host=name,
            domain=self.domain_by_host[name],
            region=f"region-{self.domain_by_host[name]}",
            peer_port=self.ports[name],
            peers=",".join(peers),
            cluster_key="cluster-key-of-the-test",
            operator_token="operator-token-of-the-test",
            platform_url="embedded",
            notice_seconds=1.0,
            claim_batch=self.claim_batch,
            seed=len(name),
        )


def default_plan(domains: list[FailureDomainId], **changes) -> dict:
    """Return a plan with a repeatable and an at-most-once kind."""
    plan = {
        "domains": list(domains),
        "offline_grace_seconds": GRACE_SECONDS,
        "kinds": [
            {
                "service": SERVICE,
                "kind": "seat-check",
                "semantics": "repeatable",
                "quick": True,
            },
            {"service": SERVICE, "kind": "enrol", "semantics": "at-most-once"},
        ],
    }
    plan.update(changes)
    return plan


async def wait_until(check: Callable[[], bool], seconds: float):
    """Wait in virtual time until `check` returns true; fail after `seconds`."""
    deadline = monotonic() + seconds
    while not check():
        assert monotonic() < deadline, "the condition did not hold in time"
        await asyncio.sleep(0.05)
