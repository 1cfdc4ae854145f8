"""Daemon of an entry host on the platform, which assembles all its parts."""

import asyncio
import math
import signal
from collections.abc import Awaitable, Callable
from contextlib import suppress
from dataclasses import dataclass, field
from functools import partial
from pathlib import Path

import uvicorn
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from zinniatrestle import __version__
from zinniatrestle.deployment import Deployment, split_address
from zinniatrestle.errors import PlatformError, SettingsError
from zinniatrestle.events import Event, EventLog
from zinniatrestle.events.log import BUFFERED_LINES
from zinniatrestle.ingress import (
    Cause,
    ClientListener,
    HttpProtocol,
    IngressCounters,
    IngressSettings,
    LimitedServer,
    Listener,
    client_limits,
    descriptor_limit,
    probe_limits,
)
from zinniatrestle.ingress.interfaces import LimitLog
from zinniatrestle.jobs import IntakeSettings, JobIntake
from zinniatrestle.machines import MachineWatch
from zinniatrestle.metrics import Metrics
from zinniatrestle.platform.advice import PlatformAdviser
from zinniatrestle.platform.connections import ConnectionPool
from zinniatrestle.platform.job_api import JobApi, ReadinessApi
from zinniatrestle.platform.machines import PlatformMachineCalls, PlatformWaveRows
from zinniatrestle.platform.operator import PlatformOperatorRows
from zinniatrestle.platform.orders import PlatformWorkerOrders
from zinniatrestle.platform.registry import PlatformWorkerRows
from zinniatrestle.platform.settings import decode_text, load, read_text
from zinniatrestle.platform.store import PlatformStore
from zinniatrestle.queues import DesiredStateReader, OperatorState
from zinniatrestle.queues.follower import FEED_WAIT_SECONDS
from zinniatrestle.rows.feed import Feed
from zinniatrestle.scheduling.backlog import WorkSettings
from zinniatrestle.scheduling.context import SchedulerContext
from zinniatrestle.scheduling.leader_loop import run_while_leader
from zinniatrestle.scheduling.leader_task import LeaderTask
from zinniatrestle.scheduling.leadership import Leadership
from zinniatrestle.serving import Frontend
from zinniatrestle.settings import setting_error
from zinniatrestle.supervision import Supervisor
from zinniatrestle.upkeep import WaveRunner

# Several times the longest list of runs: 500 ends and all running tasks.
MAX_REPORT_BYTES = 4 * 2**20
# The settings file may change without a signal, and a change must take effect as fast
# as a new desired state.
SETTINGS_POLL_SECONDS = 1.0
# The platform probes readiness each second and takes a host out after two failures.
READINESS_NOTICE_SECONDS = 2.5
# The readiness notice ends at least twice this time before the end of the grace
# period, which leaves time for the rest of the shutdown.
SHUTDOWN_MARGIN_SECONDS = 1.0


@dataclass(frozen=True)
class DaemonSettings:
    """Settings of the daemon that are not in the platform's settings file."""

    settings: Path
    metrics_port: int = 9464
    log_lines: int = BUFFERED_LINES
    ingress: IngressSettings = field(default_factory=IngressSettings)
    intake: IntakeSettings = field(default_factory=IntakeSettings)
    work: WorkSettings = field(default_factory=WorkSettings)

    def check(self):
        """Check the settings; raises SettingsError."""
        self.ingress.check(setting_error)
        self.intake.check(setting_error)
        self.work.check(setting_error)
        if self.log_lines < 1:
            raise SettingsError(
                "log-lines must be at least 1, since log lines need a buffer."
            )


class LimitEvents(LimitLog):
    """Log events of connections that reached a limit."""

    def __init__(self, events: EventLog):
        self.events = events

    def write(self, cause: Cause, count: int):
        """Write that `count` connections reached limits, most of them for `cause`."""
        self.events.write(Event.CONNECTION_LIMIT, cause=cause.value, count=count)


@dataclass
class Daemon:
    """Parts of an entry host and the asyncio tasks that run them."""

    options: DaemonSettings
    deployment: Deployment
    events: EventLog
    metrics: Metrics
    operator: OperatorState = field(default_factory=OperatorState)
    tasks: list[asyncio.Task] = field(default_factory=list)

    def __post_init__(self):
        addresses = self.deployment.addresses
        self.supervisor = Supervisor(self.events)
        self.ingress_counters = self.metrics.ingress = IngressCounters(
            LimitEvents(self.events)
        )
        self.client = ConnectionPool()
        self.worker_client = ConnectionPool(MAX_REPORT_BYTES)
        self.store = PlatformStore(
            self.client, addresses.store, self.metrics, self.events
        )
        self.leadership = Leadership(self.store, self.deployment, self.events)
        reader = DesiredStateReader(PlatformOperatorRows(), self.operator, self.events)
        self.feed = Feed(self.store, reader, self.events, FEED_WAIT_SECONDS)
        self.frontend = Frontend(
            self.deployment.bounds,
            self.operator,
            JobIntake(self.store, self.events, self.deployment, self.options.intake),
            self.leadership,
            self.metrics,
            self.events,
            self.options.work.max_bytes(self.deployment.resources),
        )
        self.frontend.is_store_reachable = lambda: self.feed.reachable
        self.metrics.add_gauge("log_lines_dropped", "1", lambda: self.events.dropped)
        self.metrics.add_gauge("jobs_waiting", "1", self._jobs_waiting)
        self.metrics.add_gauge("lease_held", "1", lambda: self.leadership.is_holder)
        self.context = SchedulerContext(
            deployment=self.deployment,
            store=self.store,
            worker_rows=PlatformWorkerRows(),
            orders=PlatformWorkerOrders(self.worker_client, self.leadership),
            operator=self.operator,
            leadership=self.leadership,
            metrics=self.metrics,
            events=self.events,
            adviser=PlatformAdviser(self.client, addresses.advice),
            leader_tasks=self._leader_tasks(),
            work=self.options.work,
        )

    def _leader_tasks(self) -> list[LeaderTask]:
        host = self.deployment.identity.host
        address = self.deployment.addresses.machines
        calls = PlatformMachineCalls(
            self.client, address, host, self.leadership, self.events
        )
        waves = WaveRunner(
            calls,
            PlatformWaveRows(),
            self.store,
            self.operator,
            self.leadership,
            self.deployment.bounds,
            self.events,
        )
        if not address:
            return [waves]
        return [waves, MachineWatch(calls, self.events)]

    async def run(self, stop: asyncio.Event, reload: asyncio.Event):
        """Serve until `stop` is set, then shut down gracefully."""
        identity = self.deployment.identity
        self.events.write(
            Event.STARTED,
            version=__version__,
            domain=identity.domain,
            speed=identity.speed,
            store=self.deployment.addresses.store,
        )
        servers = self._servers()
        serving = [asyncio.create_task(server.serve()) for server in servers]
        scheduler_task = self._start_task(
            "scheduler", partial(run_while_leader, self.context)
        )
        lease_task = self._start_task("lease", self.leadership.run)
        self._start_task("desired state", self.feed.follow)
        self._start_task("settings", partial(self._watch_settings, reload))
        stopping = asyncio.create_task(stop.wait())
        await asyncio.wait([*serving, stopping], return_when=asyncio.FIRST_COMPLETED)
        await self._stop(scheduler_task, lease_task)
        for server in servers:
            server.should_exit = True
        await asyncio.gather(*serving)
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        await self.client.close()
        await self.worker_client.close()
        self.events.write(Event.STOPPED)

    async def _stop(self, scheduler_task: asyncio.Task, lease_task: asyncio.Task):
        """Release the lease, and serve until the platform sends no more callers."""
        self.frontend.stopping = True
        # Clients go to another host with their next request.
        for listener in self.metrics.listeners:
            listener.stopping = True
        self.events.write(Event.STOPPING, holder=self.leadership.is_holder)
        self.leadership.released = True
        scheduler_task.cancel()
        await asyncio.gather(scheduler_task, return_exceptions=True)
        lease_task.cancel()
        await asyncio.gather(lease_task, return_exceptions=True)
        grace = self.deployment.bounds.grace
        readiness_notice = asyncio.create_task(
            asyncio.sleep(
                min(READINESS_NOTICE_SECONDS, grace - 2 * SHUTDOWN_MARGIN_SECONDS)
            )
        )
        try:
            await self.leadership.release()
        except PlatformError as error:
            self.events.write(
                Event.DEPENDENCY_LOST, dependency="lease", reason=error.detail
            )
        await readiness_notice

    def _jobs_waiting(self) -> float:
        """Return the number of jobs that have not begun, NaN while it is unknown.

        The lease holder counts them; other hosts read its last count from the lease.
        """
        total = self.leadership.pending_counts.total
        return total if total is not None else math.nan

    def _start_task(
        self, name: str, run: Callable[[], Awaitable[None]]
    ) -> asyncio.Task:
        task = asyncio.create_task(self.supervisor.keep_running(name, run))
        self.tasks.append(task)
        return task

    async def _watch_settings(self, reload: asyncio.Event):
        """Reload the settings file when it changes or on a signal."""
        known_text = None
        while True:
            with suppress(TimeoutError):
                async with asyncio.timeout(SETTINGS_POLL_SECONDS):
                    await reload.wait()
            signalled = reload.is_set()
            reload.clear()
            try:
                text = read_text(self.options.settings)
                if text == known_text and not signalled:
                    continue
                known_text = text
                deployment = decode_text(text)
            except SettingsError as error:
                self.events.write_deduplicated(
                    Event.RELOAD_FAILED, error.detail, code=int(error.code)
                )
                continue
            if deployment == self.deployment:
                if signalled:
                    self.events.write(Event.RELOADED, changed=False)
                continue
            self.deployment = deployment
            self.context.deployment = deployment
            self.frontend.bounds = deployment.bounds
            self.events.write(Event.RELOADED, changed=True)

    def _servers(self) -> list[LimitedServer]:
        addresses = self.deployment.addresses
        ip = self.deployment.identity.address
        callers = split_address("callers", addresses.callers)
        readiness = split_address("readiness", addresses.readiness)
        metrics = (ip, self.options.metrics_port)
        return [
            self._server(Listener.CALLERS, callers, JobApi(self.frontend).app()),
            self._server(
                Listener.READINESS, readiness, ReadinessApi(self.frontend).app()
            ),
            self._server(Listener.METRICS, metrics, self._metrics_app()),
        ]

    def _server(
        self, name: Listener, address: tuple[str, int], app: Starlette
    ) -> LimitedServer:
        ip, port = address
        config = uvicorn.Config(
            app,
            host=ip,
            port=port,
            loop="asyncio",
            http=HttpProtocol,
            ws="none",
            log_config=None,
            access_log=False,
            lifespan="off",
            server_header=False,
            date_header=False,
            timeout_graceful_shutdown=2,
        )
        derive = client_limits if name is Listener.CALLERS else probe_limits
        limits = derive(
            self.options.ingress, self.deployment.resources, descriptor_limit()
        )
        listener = ClientListener(
            limits, name, self.ingress_counters, lambda: self.operator.desired
        )
        self.metrics.listeners.append(listener)
        return LimitedServer(config, listener)

    def _metrics_app(self) -> Starlette:
        async def show_metrics(request: Request) -> Response:
            return Response(self.metrics.text(), media_type="text/plain")

        return Starlette(routes=[Route("/metrics", show_metrics, methods=["GET"])])


async def serve_on_platform(options: DaemonSettings):
    """Run an entry host of the platform until SIGTERM; raises SettingsError."""
    options.check()
    deployment = load(options.settings)
    events = EventLog(deployment.identity.host, max_lines=options.log_lines)
    events.open()
    stop, reload = asyncio.Event(), asyncio.Event()
    loop = asyncio.get_running_loop()
    for signum in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signum, stop.set)
    loop.add_signal_handler(signal.SIGHUP, reload.set)
    metrics = Metrics(exported=True)
    try:
        await Daemon(options, deployment, events, metrics).run(stop, reload)
    finally:
        metrics.close()
        events.close()
