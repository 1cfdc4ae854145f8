"""Links to all peers of a host, and the calls that they serve."""

import asyncio

import msgspec

from zinniatrestle.burn import BurnRecorder, HostBurn
from zinniatrestle.clock import Clock
from zinniatrestle.configuration import ConfigurationFollower
from zinniatrestle.errors import (
    PeerError,
    ResultCode,
    UnknownOutcomeError,
)
from zinniatrestle.ids import (
    ClientAccountId,
    FailureDomainId,
    HostId,
    RegionId,
    Revision,
)
from zinniatrestle.in_progress import InProgress
from zinniatrestle.logs import ComponentLog
from zinniatrestle.peers.framing import PeerIdentity
from zinniatrestle.peers.links import PeerHandler, PeerLink, PeerServer
from zinniatrestle.peers.messages import (
    Duty,
    EvidenceCall,
    Heartbeat,
    PullAnswer,
    PullCall,
)
from zinniatrestle.peers.state import Peer, PeerAddress, PeerState
from zinniatrestle.requests.handler import RequestForwarder, RequestHandler
from zinniatrestle.requests.messages import Answer, Request
from zinniatrestle.retirement import EntryHostDirectory, HostEvidence
from zinniatrestle.upstreams import SharingHosts, UpstreamPool

PULL_TIMEOUT_SECONDS = 2.0
EVIDENCE_TIMEOUT_SECONDS = 2.0
BURN_TIMEOUT_SECONDS = 2.0
# Added to a request's own timeout when waiting for the host it was forwarded to.
FORWARD_MARGIN_SECONDS = 1.0

log = ComponentLog("peers")


class PeerMesh(PeerHandler, EntryHostDirectory, RequestForwarder, SharingHosts):
    """Connect this host to its peers and serve their calls."""

    def __init__(
        self,
        identity: PeerIdentity,
        region: RegionId,
        addresses: list[PeerAddress],
        follower: ConfigurationFollower,
        in_progress: InProgress,
        burn: BurnRecorder,
        clock: Clock,
    ):
        self.identity = identity
        self.region = region
        self.follower = follower
        self.in_progress = in_progress
        self.burn = burn
        self.clock = clock
        self.peers = {address.host: Peer(address) for address in addresses}
        self.links: dict[HostId, PeerLink] = {}
        for host, peer in self.peers.items():
            self.links[host] = PeerLink(peer, identity, self)
        self.server = PeerServer(identity, self.peers, self)
        self.pool: UpstreamPool | None = None
        self.handler: RequestHandler | None = None
        self.leaving = False
        self.cross_region_bytes = 0
        self.active_pulls: dict[HostId, asyncio.Task] = {}

    def attach(self, pool: UpstreamPool, handler: RequestHandler):
        """Set the collaborators that are created after the mesh."""
        self.pool = pool
        self.handler = handler

    async def run(self):
        """Keep all links connected until cancelled."""
        async with asyncio.TaskGroup() as group:
            for link in self.links.values():
                group.create_task(link.run())
            group.create_task(self._announce_revisions())

    def announce(self):
        """Send a heartbeat to all peers now instead of at the next interval."""
        for link in self.links.values():
            link.heartbeat_due.set()

    # Heartbeats and calls served for peers.

    def heartbeat(self) -> Heartbeat:
        """Return the heartbeat to send to peers now."""
        return Heartbeat(
            revision=self.follower.state.revision,
            confirmed_wall=self.follower.confirmed_wall,
            leaving=self.leaving,
            in_progress=self.in_progress.total,
            leaving_minions=self.pool.leaving(),
            free_slots=self.pool.free_slots(),
        )

    def on_heartbeat(self, peer: Peer):
        """Process the heartbeat just recorded in `peer`."""
        heartbeat = peer.heartbeat
        if heartbeat.revision > self.follower.state.revision:
            self._pull_from(peer.address.host)
        else:
            self.follower.confirm_from_peer(
                heartbeat.confirmed_wall, heartbeat.revision
            )
        if peer.take_drained_change():
            self.pool.rebalance()
        for minion in heartbeat.leaving_minions:
            self.pool.mark_leaving(minion, observed=False)

    async def serve(self, duty: Duty, body: bytes) -> bytes:
        """Return the encoded answer to a peer's call."""
        match duty:
            case Duty.PULL:
                return self._serve_pull(msgspec.msgpack.decode(body, type=PullCall))
            case Duty.EVIDENCE:
                call = msgspec.msgpack.decode(body, type=EvidenceCall)
                evidence = self.local_evidence(call.account, call.incarnation)
                return msgspec.msgpack.encode(evidence)
            case Duty.BURN:
                return msgspec.msgpack.encode(self.burn.host_burn())
            case Duty.FORWARD:
                request = msgspec.msgpack.decode(body, type=Request)
                answer = await self.handler.handle(request, forwarded=True)
                return msgspec.msgpack.encode(answer)

    # Calls to peers.

    def host_domains(self) -> dict[HostId, FailureDomainId]:
        """Return every configured entry host and its failure domain."""
        hosts = {host: peer.address.domain for host, peer in self.peers.items()}
        hosts[self.identity.host] = self.identity.domain
        return hosts

    async def evidence(
        self, host: HostId, account: ClientAccountId, incarnation: Revision
    ) -> HostEvidence:
        """Return a host's own evidence; raises PeerError if the host is unreachable."""
        if host == self.identity.host:
            return self.local_evidence(account, incarnation)
        body = msgspec.msgpack.encode(EvidenceCall(account, incarnation))
        answer = await self.links[host].call(
            Duty.EVIDENCE, body, EVIDENCE_TIMEOUT_SECONDS
        )
        return msgspec.msgpack.decode(answer, type=HostEvidence)

    def local_evidence(
        self, account: ClientAccountId, incarnation: Revision
    ) -> HostEvidence:
        """Return this host's evidence about itself."""
        now = self.clock.wall()
        reached = []
        for minion in self.in_progress.reached.get(account, ()):
            reached.append(self.pool.known_addresses[minion])
        return HostEvidence(
            host=self.identity.host,
            domain=self.identity.domain,
            boot=self.identity.boot,
            revision=self.follower.state.revision,
            in_progress=self.in_progress.count(account, incarnation, now),
            wall=now,
            reached=reached,
        )

    async def host_burns(self) -> tuple[list[HostBurn], list[HostId]]:
        """Return the burn counts of all hosts that answer, and the other hosts."""
        hosts = list(self.links)
        answers = await asyncio.gather(*[self._request_burn(host) for host in hosts])
        found = [self.burn.host_burn()]
        missing = []
        for host, answer in zip(hosts, answers, strict=True):
            if answer is None:
                missing.append(host)
                continue
            found.append(answer)
        return found, missing

    async def forward(self, request: Request) -> Answer | None:
        """Forward a request to a host of another failure domain with free slots.

        Returns None if no host took the request, so that it was not run. Raises
        UnknownOutcomeError if a host may have run it but its answer was lost.
        """
        for peer in self._forward_targets(request):
            try:
                return await self._forward_to(peer, request)
            except PeerError as error:
                if error.code is not ResultCode.PEER_UNREACHABLE:
                    raise UnknownOutcomeError(
                        "The request was forwarded to another failure domain, whose "
                        "answer was not received."
                    ) from error
        return None

    def sharing_hosts(self) -> list[HostId]:
        """Return the hosts of this failure domain that share its slots.

        An unreachable host keeps its share, because it may still be serving; only
        a host that left with nothing in progress loses it.
        """
        hosts = [self.identity.host]
        for host, peer in self.peers.items():
            if peer.address.domain == self.identity.domain and not peer.drained:
                hosts.append(host)
        return sorted(hosts)

    async def _announce_revisions(self):
        while True:
            await self.follower.changed.wait()
            self.announce()

    async def _request_burn(self, host: HostId) -> HostBurn | None:
        try:
            answer = await self.links[host].call(Duty.BURN, b"", BURN_TIMEOUT_SECONDS)
        except PeerError:
            return None
        return msgspec.msgpack.decode(answer, type=HostBurn)

    def _pull_from(self, host: HostId):
        if host in self.active_pulls:
            return
        task = asyncio.create_task(self._pull(host))
        self.active_pulls[host] = task
        task.add_done_callback(lambda _: self.active_pulls.pop(host, None))

    async def _pull(self, host: HostId):
        body = msgspec.msgpack.encode(PullCall(self.follower.state.revision))
        try:
            answer = await self.links[host].call(Duty.PULL, body, PULL_TIMEOUT_SECONDS)
        except PeerError:
            self.follower.wake.set()
            return
        pulled = msgspec.msgpack.decode(answer, type=PullAnswer)
        self.follower.apply_from_peer(pulled.changes, pulled.snapshot)
        if not self.pool.has_list and pulled.machines:
            self.pool.refresh(pulled.machines)
        self.follower.confirm_from_peer(pulled.confirmed_wall, pulled.revision)

    def _serve_pull(self, call: PullCall) -> bytes:
        changes, snapshot = self.follower.changes_since(call.since)
        answer = PullAnswer(
            self.follower.state.revision,
            self.follower.confirmed_wall,
            changes,
            snapshot,
            self.pool.listed if call.since == 0 else [],
        )
        return msgspec.msgpack.encode(answer)

    def _forward_targets(self, request: Request) -> list[Peer]:
        """Return live peers of other failure domains that have free slots.

        Peers of this region come first, then those with more free slots.
        """
        targets = []
        for peer in self.peers.values():
            if peer.address.domain == self.identity.domain:
                continue
            if peer.state is PeerState.LIVE and peer.free_slots(request.service):
                targets.append(peer)
        return sorted(targets, key=lambda peer: self._forward_rank(peer, request))

    def _forward_rank(self, peer: Peer, request: Request) -> tuple[bool, int]:
        return peer.address.region != self.region, -peer.free_slots(request.service)

    async def _forward_to(self, peer: Peer, request: Request) -> Answer:
        body = msgspec.msgpack.encode(request)
        timeout = request.timeout + FORWARD_MARGIN_SECONDS
        link = self.links[peer.address.host]
        answer = await link.call(Duty.FORWARD, body, timeout)
        if peer.address.region != self.region:
            self.cross_region_bytes += len(body) + len(answer)
        return msgspec.msgpack.decode(answer, type=Answer)
