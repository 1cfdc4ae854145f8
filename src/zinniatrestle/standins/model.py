"""A deployment in one process and virtual time: hosts, store, workers and callers."""

import asyncio
import math
import random
from collections.abc import Coroutine
from typing import Any
from unittest import mock

import msgspec

from zinniatrestle.advice import Adviser
from zinniatrestle.clock import monotonic, wall_time
from zinniatrestle.deployment import Addresses, Bounds, Deployment, Identity
from zinniatrestle.errors import NotFoundError, NotRunError, UnknownOutcomeError
from zinniatrestle.events import Event, EventLog
from zinniatrestle.ids import (
    ClientAccountId,
    FailureDomainId,
    HostId,
    JobId,
    QueueName,
    RackId,
    RegionId,
    TaskId,
)
from zinniatrestle.jobs import JobIntake, JobState, Step
from zinniatrestle.jobs.intake import JobRequest
from zinniatrestle.jobs.messages import PROGRESS, decode_progress, row_name
from zinniatrestle.machines import MachineWatch
from zinniatrestle.metrics import Metrics
from zinniatrestle.queues import Admission, DesiredStateReader, OperatorState, Queue
from zinniatrestle.rows.feed import Feed
from zinniatrestle.scheduling.backlog import WorkSettings
from zinniatrestle.scheduling.context import Policy, SchedulerContext
from zinniatrestle.scheduling.leader_loop import run_while_leader
from zinniatrestle.scheduling.leadership import Leadership
from zinniatrestle.serving import Frontend, RetryLaterError
from zinniatrestle.standins.fleet import MemoryWorkerRows, SimulatedFleet
from zinniatrestle.standins.host_orders import HostOrders
from zinniatrestle.standins.machines import MemoryWaveRows, SimulatedMachines
from zinniatrestle.standins.operator import MemoryOperator, MemoryOperatorRows
from zinniatrestle.standins.rows import HostRows, MemoryRows
from zinniatrestle.standins.runs import FleetTraits, TaskScript
from zinniatrestle.upkeep import WaveRunner

# The wait of one long poll for changes of the desired state.
FEED_SECONDS = 0.8
# The Unix time in seconds at which virtual time starts.
ORIGIN = 1_800_000_000.0
# The deadline of calls by the model's callers.
CALL_SECONDS = 3.0
MS_PER_SECOND = 1000.0


def run_virtual(coroutine: Coroutine) -> Any:
    """Run a coroutine on an event loop whose clock jumps to the next timer.

    Tasks that are left when the coroutine ends are cancelled.
    """
    # An optional dependency, installed for experiments and tests only.
    import async_solipsism

    loop = async_solipsism.EventLoop()
    asyncio.set_event_loop(loop)
    clock = "zinniatrestle.clock"
    try:
        with (
            mock.patch(f"{clock}.read_boot_clock", lambda: ORIGIN + loop.time()),
            mock.patch(f"{clock}.read_wall_clock", lambda: ORIGIN + loop.time()),
        ):
            return loop.run_until_complete(_run_and_cancel_others(coroutine))
    finally:
        asyncio.set_event_loop(None)
        loop.close()


async def _run_and_cancel_others(coroutine: Coroutine) -> Any:
    try:
        return await coroutine
    finally:
        others = asyncio.all_tasks() - {asyncio.current_task()}
        for task in others:
            task.cancel()
        await asyncio.gather(*others, return_exceptions=True)


class EventCollector(EventLog):
    """An event log that collects its lines in a list."""

    def __init__(self, host: str, lines: list[dict[str, Any]]):
        super().__init__(host)
        self.lines = lines

    def write(self, event: Event, **fields: Any):
        """Append one line."""
        line = {"at": monotonic(), "host": self.host, "event": event.value, **fields}
        self.lines.append(line)

    def write_deduplicated(self, event: Event, reason: str, **fields: Any):
        """Append each line, including repeats."""
        self.write(event, reason=reason, **fields)


class ModelHost:
    """One entry host of the model."""

    def __init__(self, model: "Model", name: str, region: str):
        self.model = model
        self.name = name
        self.store = HostRows(model.rows, 0.001)
        self.orders = HostOrders(model.fleet, name)
        self.deployment = Deployment(
            identity=Identity(
                HostId(name), name, FailureDomainId("a"), RegionId(region)
            ),
            addresses=Addresses("", "", ""),
            regions={FailureDomainId(domain): RegionId("r") for domain in "abc"},
            bounds=model.bounds,
        )
        self.tasks: list[asyncio.Task] = []
        self.start()

    def start(self):
        """Start the host's tasks with empty state, as a new process would."""
        events = EventCollector(self.name, self.model.lines)
        metrics = self.model.metrics
        self.operator = OperatorState()
        self.leadership = Leadership(self.store, self.deployment, events)
        self.intake = JobIntake(self.store, events, self.deployment)
        reader = DesiredStateReader(MemoryOperatorRows(), self.operator, events)
        feed = Feed(self.store, reader, events, FEED_SECONDS)
        self.frontend = Frontend(
            self.model.bounds,
            self.operator,
            self.intake,
            self.leadership,
            metrics,
            events,
            self.model.work.max_bytes(self.deployment.resources),
        )
        self.frontend.is_store_reachable = lambda: feed.reachable
        self.context = SchedulerContext(
            deployment=self.deployment,
            store=self.store,
            worker_rows=MemoryWorkerRows(),
            orders=self.orders,
            operator=self.operator,
            leadership=self.leadership,
            metrics=metrics,
            events=events,
        )
        machines = self.model.machines
        self.context.leader_tasks = []
        if self.model.lists_machines:
            self.context.leader_tasks.append(MachineWatch(machines, events))
        if self.model.upkeep:
            runner = WaveRunner(
                machines,
                MemoryWaveRows(),
                self.store,
                self.operator,
                self.leadership,
                self.model.bounds,
                events,
            )
            self.context.leader_tasks.append(runner)
        self.context.policy = self.model.policy
        self.context.work = self.model.work
        self.context.adviser = self.model.adviser
        self.tasks = [
            asyncio.create_task(self.leadership.run()),
            asyncio.create_task(feed.follow()),
            asyncio.create_task(run_while_leader(self.context)),
        ]

    async def kill(self):
        """Cancel the host's tasks, like a killed process."""
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        self.tasks = []

    @property
    def alive(self) -> bool:
        """Return whether the host's tasks run."""
        return bool(self.tasks)


class DueTimes(msgspec.Struct, frozen=True):
    """When the occurrences of a timed job are due; `first_at` is monotonic seconds."""

    occurrences: int
    first_at: float
    interval: float

    def due_by(self, now: float) -> int:
        """Return the number of occurrences that are due at a time."""
        passed = math.floor((now - self.first_at) / self.interval) + 1
        return min(self.occurrences, max(0, passed))


class JobOutcome(msgspec.Struct):
    """A submitted job and the answers its caller got; times are monotonic seconds.

    `seconds` is the run time of its tasks at nominal speed. `accepted` and `refused`
    are both false while the outcome of the submission is unknown, and `accepted_at` is
    when it was confirmed. `cancelled_at` is when its cancellation was acknowledged,
    `cancel_sent` whether one was attempted.
    """

    queue: QueueName
    sent_at: float
    seconds: float
    steps: tuple[Step, ...] = (Step(),)
    account: ClientAccountId = ClientAccountId("")
    due_times: DueTimes | None = None
    accepted: bool = False
    accepted_at: float | None = None
    refused: bool = False
    cancel_sent: bool = False
    cancelled_at: float | None = None
    completed_at: float | None = None

    @property
    def tasks(self) -> int:
        """Return the number of tasks of all its steps."""
        return sum(shape.count for shape in self.steps)

    @property
    def long_running(self) -> bool:
        """Return whether its tasks run until it is cancelled."""
        return any(shape.long_running for shape in self.steps)


class Model:
    """A deployment with callers; tests inject faults into its parts."""

    def __init__(
        self,
        seed: int = 0,
        hosts: int = 3,
        policy: Policy | None = None,
        bounds: Bounds | None = None,
        adviser: Adviser | None = None,
        upkeep: bool = False,
        traits: FleetTraits | None = None,
        lists_machines: bool = False,
        work: WorkSettings | None = None,
    ):
        self.upkeep = upkeep
        self.work = work or WorkSettings()
        # Whether hosts learn from the list of machines which workers have ended.
        self.lists_machines = lists_machines
        self.adviser = adviser
        self.seed = seed
        self.policy = policy
        self.random = random.Random(seed)
        self.bounds = bounds or Bounds()
        self.rows = MemoryRows(seed)
        self.fleet = SimulatedFleet(
            self.rows,
            seed,
            self.bounds.gang,
            self.bounds.stop,
            self.bounds.far_factor,
            traits,
        )
        self.machines = SimulatedMachines(self.fleet, self.bounds.upkeep)
        self.operator = MemoryOperator(self.rows)
        self.metrics = Metrics()
        self.hosts: list[ModelHost] = []
        self.host_count = hosts
        self.jobs: dict[JobId, JobOutcome] = {}
        self.fleet_task: asyncio.Task | None = None
        # The event log lines of all hosts.
        self.lines: list[dict[str, Any]] = []
        # Times at which a fault was injected or removed.
        self.disturbance_times: list[float] = []

    async def start(self, workers: int = 16, rack: int = 8, **capacity: int):
        """Start the hosts and the workers, `rack` to a rack.

        `capacity` overrides the default `cpu`, `memory_mb` and `gpus` of a worker.
        """
        self.operator.set_up()
        for number in range(workers):
            domain = "abc"[number // rack % 3]
            self.fleet.add(f"w{number}", f"rack-{number // rack}", domain, **capacity)
        self.machines.add_machines()
        self.fleet_task = asyncio.create_task(self.fleet.run())
        for number in range(self.host_count):
            self.hosts.append(ModelHost(self, f"host-{number}", "r"))
        await asyncio.sleep(1.0)

    async def stop(self):
        """Stop all hosts and workers."""
        for host in self.hosts:
            await host.kill()
        if self.fleet_task is not None:
            self.fleet_task.cancel()
            await asyncio.gather(self.fleet_task, return_exceptions=True)

    def leader(self) -> ModelHost | None:
        """Return the host that holds the scheduler's lease, or None."""
        for host in self.hosts:
            if host.alive and host.leadership.is_holder:
                return host
        return None

    async def submit(
        self,
        queue: str,
        steps: tuple[Step, ...],
        seconds: float,
        account: str = "first",
        due_times: DueTimes | None = None,
        gives_up: bool = False,
        **script,
    ) -> JobId:
        """Submit a job through any host, with up to five tries until it is accepted.

        The job counts as refused only if every try was refused. It is timed if there
        are `due_times`. A caller that `gives_up` cancels the job after a try with an
        unknown outcome.
        """
        job = JobId(f"{self.random.getrandbits(64):016x}")
        spec = TaskScript(seconds=seconds, steps=steps, **script).encoded()
        outcome = JobOutcome(
            QueueName(queue),
            monotonic(),
            seconds,
            steps,
            ClientAccountId(account),
            due_times,
        )
        self.jobs[job] = outcome
        request = JobRequest(spec, steps)
        if due_times is not None:
            first_due = wall_time() + due_times.first_at - monotonic()
            request.occurrences = due_times.occurrences
            request.first_due_ms = round(first_due * MS_PER_SECOND)
            request.every_ms = round(due_times.interval * MS_PER_SECOND)
        refusals = tries = 0
        for _ in range(5):
            host = self.random.choice(self.hosts)
            if not host.alive:
                await asyncio.sleep(0.2)
                continue
            tries += 1
            try:
                admission = host.frontend.admit(
                    "queues.example", f"/{queue}/", f"key-{account}"
                )
                await host.frontend.accept(
                    admission, job, request, monotonic() + CALL_SECONDS
                )
            except NotRunError:
                refusals += 1
                await asyncio.sleep(0.3)
                continue
            except UnknownOutcomeError:
                if gives_up:
                    await self.cancel(job)
                    return job
                continue
            outcome.accepted = True
            outcome.accepted_at = monotonic()
            return job
        outcome.refused = tries > 0 and refusals == tries
        return job

    async def cancel(self, job: JobId):
        """Cancel a job through any live host, with up to five tries."""
        outcome = self.jobs[job]
        outcome.cancel_sent = True
        queue = Queue(outcome.queue, "queues.example", f"/{outcome.queue}/", "service")
        admission = Admission(queue, outcome.account)
        for _ in range(5):
            host = self.random.choice(self.hosts)
            if not host.alive:
                await asyncio.sleep(0.2)
                continue
            try:
                await host.frontend.cancel(admission, job, monotonic() + CALL_SECONDS)
            except UnknownOutcomeError:
                continue
            except RetryLaterError as error:
                await asyncio.sleep(error.seconds)
                continue
            except NotFoundError:
                # Acknowledged as well: the job isn't stored, and must not be later.
                pass
            outcome.cancelled_at = monotonic()
            return

    def shape(self, task: TaskId) -> Step:
        """Return the step of a task as it was submitted."""
        job, _, number, _ = task.split(".")
        return self.jobs[JobId(job)].steps[int(number)]

    def state(self, job: JobId) -> JobState | None:
        """Return the stored state of a job, read past all faults of the store."""
        row = self.rows.row(PROGRESS, row_name(job))
        return decode_progress(row.value).state if row else None

    async def wait_for_jobs(self, seconds: float) -> bool:
        """Wait up to `seconds` for accepted jobs to end; return whether all did."""
        until = monotonic() + seconds
        while monotonic() < until:
            # Each end is noted before its row is purged.
            if all([self.has_ended(job) for job in self.jobs]):
                return True
            await asyncio.sleep(0.25)
        return False

    def has_ended(self, job: JobId) -> bool:
        """Return whether a job has ended or was not accepted."""
        state = self.state(job)
        if state is None:
            # The row of a job that ended long ago has been purged.
            return not self.jobs[job].accepted or bool(self.jobs[job].completed_at)
        if state.ended and self.jobs[job].completed_at is None:
            self.jobs[job].completed_at = monotonic()
        return state.ended


def step(
    count: int = 1,
    cpu: int = 1000,
    memory_mb: int = 1000,
    gpus: int = 1,
    gang: bool = False,
    seconds: float = 2.0,
    **more,
) -> Step:
    """Return a step with defaults for the model; `seconds` is its estimate."""
    if "data_rack" in more:
        more["data_rack"] = RackId(more["data_rack"])
    return Step(
        count=count,
        cpu=cpu,
        memory_mb=memory_mb,
        gpus=gpus,
        gang=gang,
        estimated_ms=int(seconds * 1000),
        **more,
    )
