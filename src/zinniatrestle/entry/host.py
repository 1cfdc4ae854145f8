"""Entry host: composes all its components from settings, platform and transport."""

import asyncio
import secrets
from collections.abc import Callable

from zinniatrestle.burn import BurnRecorder
from zinniatrestle.clock import Clock
from zinniatrestle.configuration import ChangeService, ConfigurationFollower
from zinniatrestle.domains import PermitIssuer
from zinniatrestle.entry.orphaned_domains import OrphanedDomainScheduler
from zinniatrestle.entry.state import HostState
from zinniatrestle.errors import PlatformError
from zinniatrestle.gangs import DomainScheduler, GuaranteeRule, JobService
from zinniatrestle.gangs.order import AttainedServiceOrder
from zinniatrestle.gangs.placement import BestFitRack
from zinniatrestle.gangs.planner import Planner
from zinniatrestle.ids import FailureDomainId, HostId, RegionId
from zinniatrestle.in_progress import InProgress
from zinniatrestle.ingress import ClientListener
from zinniatrestle.logs import ComponentLog
from zinniatrestle.peers import PeerIdentity, PeerMesh
from zinniatrestle.requests import RequestHandler
from zinniatrestle.requests.claims import ClaimStore
from zinniatrestle.requests.retention import OutcomeRetention
from zinniatrestle.requests.sending import RequestSender
from zinniatrestle.retirement import EvidenceCollector, RetirementProver
from zinniatrestle.settings import HostSettings
from zinniatrestle.store import Platform
from zinniatrestle.store.leases import Lease
from zinniatrestle.upstreams import UpstreamPool, UpstreamTransport

LIST_POLL_SECONDS = 1.0
DRAIN_POLL_SECONDS = 0.05
BOOT_ID_BYTES = 8
# The sweep of outcomes may pause for a while, so another host may take longer to
# acquire its lease, which then needs fewer renewals.
OUTCOMES_LEASE_TIME_FACTOR = 10.0

log = ComponentLog("host")


class EntryHost:
    """Own the components of an entry host and run their background tasks."""

    def __init__(
        self,
        settings: HostSettings,
        platform: Platform,
        transport: UpstreamTransport,
        clock: Clock,
    ):
        host = HostId(settings.host)
        domain = FailureDomainId(settings.domain)
        self.settings = settings
        self.platform = platform
        self.transport = transport
        self.clock = clock
        self.state = HostState.STARTING
        self.in_progress = InProgress()
        self.follower = ConfigurationFollower(platform.table, clock)
        self.burn = BurnRecorder(host, self.follower)
        self.identity = PeerIdentity(
            host,
            domain,
            secrets.token_hex(BOOT_ID_BYTES),
            settings.cluster_key.encode(),
        )
        self.mesh = PeerMesh(
            self.identity,
            RegionId(settings.region),
            settings.peer_addresses(),
            self.follower,
            self.in_progress,
            self.burn,
            clock,
        )
        self.pool = UpstreamPool(
            domain, host, self.mesh, settings.minion_slots, settings.seed
        )
        self.claims = ClaimStore(
            platform.table, settings.claim_batch, settings.claim_lanes
        )
        self.outcomes = OutcomeRetention(
            platform.table,
            Lease(
                "outcomes", host, platform.table, time_factor=OUTCOMES_LEASE_TIME_FACTOR
            ),
            clock,
        )
        self.sender = RequestSender(self.pool, transport, self.in_progress, clock)
        self.handler = RequestHandler(
            host,
            domain,
            self.follower,
            self.claims,
            self.outcomes,
            self.sender,
            self.mesh,
            self.burn,
            clock,
        )
        self.mesh.attach(self.pool, self.handler)
        self.scheduler = self._build_scheduler(domain)
        self.lease = self.scheduler.lease
        peer_domains = {peer.address.domain for peer in self.mesh.peers.values()}
        self.orphaned_domains = OrphanedDomainScheduler(
            sorted(peer_domains - {domain}), self.follower, self._build_scheduler
        )
        self.jobs = JobService(platform.table, platform.hosts, self.follower, clock)
        self.changes = ChangeService(
            platform.table, self.follower, clock, [GuaranteeRule(platform.hosts)]
        )
        collector = EvidenceCollector(self.mesh, platform, transport, clock)
        self.prover = RetirementProver(
            host, self.follower, collector, platform.objects, clock
        )
        # Replaced by the listener of the HTTP server.
        self.listener = ClientListener()
        self.metrics: Callable[[], dict[str, float]] = dict
        self.tasks: list[asyncio.Task] = []

    async def start(self):
        """Listen for peers and start all background tasks."""
        settings = self.settings
        await self.mesh.server.start(settings.address, settings.peer_port)
        for coroutine in (
            self.follower.follow(),
            self.claims.run(),
            self.outcomes.run(),
            self.mesh.run(),
            self.lease.maintain(),
            self.scheduler.run(),
            self.orphaned_domains.run(),
            self._poll_minion_list(),
        ):
            self.tasks.append(asyncio.create_task(coroutine))
        self.state = HostState.SERVING
        log.info("Host %s serves domain %s.", settings.host, settings.domain)

    @property
    def ready(self) -> bool:
        """Return whether the load balancer should route requests to this host."""
        configured = (
            self.follower.state.revision > 0 or self.follower.confirmed_wall > 0
        )
        return self.state is HostState.SERVING and configured and self.pool.has_list

    async def leave(self):
        """Start a planned shutdown: release leases and fail the readiness check.

        Returns after `notice_seconds`, in which the load balancer stops routing
        requests here.
        """
        log.info("Host %s is shutting down.", self.settings.host)
        self.state = HostState.LEAVING
        self.mesh.leaving = True
        self.mesh.announce()
        await self._release_leases()
        await asyncio.sleep(self.settings.notice_seconds)

    async def drain(self):
        """Wait for work in progress to finish, for at most `drain_seconds`."""
        try:
            async with asyncio.timeout(self.settings.drain_seconds):
                while self.in_progress.total:
                    await asyncio.sleep(DRAIN_POLL_SECONDS)
                await self.handler.drain()
        except TimeoutError:
            log.warning("Drain timed out with %d in progress.", self.in_progress.total)

    async def stop(self):
        """Send peers a last heartbeat, cancel all tasks and close all connections."""
        self.mesh.announce()
        await asyncio.sleep(DRAIN_POLL_SECONDS)
        self.state = HostState.STOPPED
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        await self.mesh.server.close()
        await self.transport.close()
        await self.platform.close()
        log.info("Host %s has stopped.", self.settings.host)

    def _build_scheduler(self, domain: FailureDomainId) -> DomainScheduler:
        host = HostId(self.settings.host)
        return DomainScheduler(
            domain,
            self.platform,
            Lease(f"domain/{domain}", host, self.platform.table),
            self.follower,
            PermitIssuer(self.follower, self.clock),
            Planner(AttainedServiceOrder(), BestFitRack()),
            self.in_progress,
            self.clock,
        )

    async def _release_leases(self):
        await self.scheduler.resign()
        try:
            await self.lease.release()
            await self.outcomes.lease.release()
        except PlatformError as error:
            log.warning("Release failed; the lease will expire: %s", error.detail)

    async def _poll_minion_list(self):
        """Poll the list of minions; keep the last one while the platform is down."""
        while True:
            try:
                self.pool.refresh(await self.platform.hosts.hosts())
            except PlatformError as error:
                log.warning("The list of minions is stale: %s", error.detail)
            for queue in self.sender.queues.values():
                queue.dispatch()
            await asyncio.sleep(LIST_POLL_SECONDS)
