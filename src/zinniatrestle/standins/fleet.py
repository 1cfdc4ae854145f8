"""Workers in memory that run tasks under leases, with faults and a history."""

import asyncio
import random
from dataclasses import dataclass, field
from enum import Enum

import msgspec

from zinniatrestle.clock import monotonic, wall_time
from zinniatrestle.ids import (
    Born,
    FailureDomainId,
    Generation,
    RackId,
    RowName,
    RunNumber,
    ServiceName,
    TableName,
    TaskId,
    WorkerId,
)
from zinniatrestle.standins.rows import MemoryRows
from zinniatrestle.workers.interfaces import WorkerOrders, WorkerRows
from zinniatrestle.workers.messages import (
    EndedRun,
    HoldAnswer,
    HowEnded,
    Refusal,
    RefusedOrderError,
    RunningTask,
    StartOrder,
    UnansweredOrderError,
    WorkerEntry,
    WorkerState,
)

SERVERS = TableName("workers")
NO_GENERATION = Generation(0)
TICK_SECONDS = 0.05
# s; what is left of a wait below which it counts as over.
TIMER_SECONDS = 0.001
HEARTBEAT_SECONDS = 1.5
# Heartbeats without which an entry is removed.
MISSED_HEARTBEATS = 3
CHECKPOINT_SECONDS = 2.0


class TaskScript(msgspec.Struct, frozen=True):
    """What a task does, carried in a job's text for workers."""

    seconds: float = 1.0
    # What a task of each step takes, and the members of each step's gang; 0: no gang.
    cpu: tuple[int, ...] = ()
    gpus: tuple[int, ...] = ()
    gangs: tuple[int, ...] = ()
    # Runs that fail before one succeeds; a task with many is hopeless.
    failures: int = 0


class Sickness(Enum):
    """What is wrong with a worker that answers well."""

    NONE = "none"
    FAILS = "fails"
    HANGS = "hangs"
    SHEDS = "sheds"
    SLOW = "slow"


class EventKind(Enum):
    """What happened at a worker."""

    START = "start"
    END = "end"
    NOTED = "noted"


@dataclass
class WorkerEvent:
    """One event of the history that checkers read."""

    at: float
    kind: EventKind
    worker: WorkerId
    task: TaskId
    run: RunNumber
    how: HowEnded | None = None
    generation: Generation = NO_GENERATION


@dataclass
class SimulatedRun:
    """A run at a worker."""

    task: TaskId
    run: RunNumber
    script: TaskScript
    started_at: float
    done: float = 0.0
    checkpoint: str = ""
    # When a stop that is under way will have ended it.
    stopped_at: float | None = None

    @property
    def gang(self) -> int:
        """Return the members of its gang; 0: none."""
        return self._of_step(self.script.gangs)

    @property
    def cpu(self) -> int:
        """Return the thousandths of a core it takes."""
        return self._of_step(self.script.cpu)

    @property
    def gpus(self) -> int:
        """Return the accelerators it takes."""
        return self._of_step(self.script.gpus)

    def _of_step(self, values: tuple[int, ...]) -> int:
        number = int(self.task.split(".")[2])
        return values[number] if number < len(values) else 0


@dataclass
class SimulatedWorker:
    """A worker: its room, what runs on it and what ended."""

    entry: WorkerEntry
    run_limit: float
    alive: bool = True
    reachable: bool = True
    heartbeats: bool = True
    sickness: Sickness = Sickness.NONE
    generation: Generation = NO_GENERATION
    deadline: float = 0.0
    running: dict[TaskId, SimulatedRun] = field(default_factory=dict)
    ended: list[EndedRun] = field(default_factory=list)
    # The highest run of each task that was stopped or ended here.
    barred: dict[TaskId, int] = field(default_factory=dict)
    # Ends that were told only after the worker's lease had run out.
    lapsed_ends: set[int] = field(default_factory=set)
    count: int = 0
    born_at: float = 0.0
    changed: asyncio.Event = field(default_factory=asyncio.Event)

    def clock_ms(self) -> int:
        """Return the worker's own clock, which is a little slow."""
        return int((monotonic() - self.born_at) * 990)


class MemoryWorkerRows(WorkerRows):
    """Decode the entries that stand-in workers write."""

    table = SERVERS

    def decode(self, name: RowName, value: bytes) -> WorkerEntry | None:
        """Return the entry, or None when it names no worker to use."""
        try:
            return msgspec.msgpack.decode(value, type=WorkerEntry)
        except (msgspec.ValidationError, msgspec.DecodeError):
            return None


class SimulatedFleet(WorkerOrders):
    """All workers; orders of one host go through a `HostOrders`."""

    def __init__(
        self,
        rows: MemoryRows,
        seed: int = 0,
        gang_seconds: float = 3.0,
        stop_seconds: float = 0.0,
    ):
        self.stop_seconds = stop_seconds
        self.rows = rows
        self.random = random.Random(seed)
        self.workers: dict[WorkerId, SimulatedWorker] = {}
        self.history: list[WorkerEvent] = []
        self.gang_seconds = gang_seconds
        self.failed_runs: dict[TaskId, int] = {}
        # Share of the orders that are left unanswered and carried out late.
        self.late = 0.0
        self.late_tasks: set[asyncio.Task] = set()
        # Hosts from which a worker can't be reached.
        self.cuts: set[tuple[str, WorkerId]] = set()

    def add(
        self,
        name: str,
        rack: str = "r1",
        domain: str = "a",
        cpu: int = 32_000,
        memory_mb: int = 131_072,
        gpus: int = 8,
    ) -> SimulatedWorker:
        """Add a worker."""
        entry = WorkerEntry(
            worker=WorkerId(name),
            service=ServiceName("service"),
            address=f"{name}:1",
            domain=FailureDomainId(domain),
            state=WorkerState.READY,
            cpu=cpu,
            memory_mb=memory_mb,
            gpus=gpus,
            labels=frozenset({"a", rack}),
            rack=RackId(rack),
            born=Born(int(wall_time() * 1000) + len(self.workers)),
            sequence=1,
        )
        worker = SimulatedWorker(entry, 10.0, born_at=monotonic())
        self.workers[entry.worker] = worker
        self.write(worker)
        return worker

    def write(self, worker: SimulatedWorker):
        """Write a worker's entry."""
        name = RowName(worker.entry.worker)
        self.rows.put(SERVERS, name, msgspec.msgpack.encode(worker.entry))

    def crash(self, worker: SimulatedWorker):
        """End everything on a worker at once."""
        worker.alive = False
        for run in list(worker.running.values()):
            self._record(EventKind.END, worker, run, HowEnded.LAPSED)
        worker.running.clear()
        worker.ended.clear()

    def restart(self, worker: SimulatedWorker):
        """Start a worker anew under the id that it had."""
        if worker.alive:
            self.crash(worker)
        born = Born(int(wall_time() * 1000))
        worker.entry = msgspec.structs.replace(worker.entry, born=born)
        worker.alive = True
        worker.generation = Generation(0)
        worker.deadline = 0.0
        worker.barred = {}
        worker.count = 0
        worker.lapsed_ends = set()
        worker.born_at = monotonic()
        self.write(worker)

    def drain(self, worker: SimulatedWorker, remaining: float):
        """Let a worker announce that it leaves."""
        worker.entry = msgspec.structs.replace(
            worker.entry, state=WorkerState.DRAINING, remaining=remaining
        )
        self.write(worker)

    def remove(self, worker: SimulatedWorker):
        """Remove a worker's entry."""
        self.rows.put(SERVERS, RowName(worker.entry.worker), None)

    async def run(self):
        """Let tasks work until cancelled."""
        last = monotonic()
        while True:
            await asyncio.sleep(TICK_SECONDS)
            now = monotonic()
            self._advance(now, now - last)
            last = now

    def _advance(self, now: float, passed: float):
        present: dict[tuple[str, int], int] = {}
        for worker in self.workers.values():
            for run in worker.running.values():
                if run.gang:
                    key = (_step(run.task), run.run)
                    present[key] = present.get(key, 0) + 1
        for worker in list(self.workers.values()):
            if not worker.alive:
                continue
            if worker.clock_ms() > worker.deadline:
                worker.lapsed_ends.update(end.number for end in worker.ended)
                for run in list(worker.running.values()):
                    self._end(worker, run, HowEnded.LAPSED)
            for run in list(worker.running.values()):
                if run.task in worker.running:
                    self._work(worker, run, now, passed, present)

    def _work(self, worker, run: SimulatedRun, now: float, passed: float, present):
        script = run.script
        if run.stopped_at is not None:
            if now >= run.stopped_at:
                self._end(worker, run, HowEnded.STOPPED)
            return
        if present.get((_step(run.task), run.run), 0) < run.gang:
            if run.done == 0.0 and now - run.started_at > self.gang_seconds:
                self._end(worker, run, HowEnded.ALONE)
            elif run.done > 0.0:
                self._end(worker, run, HowEnded.BROKEN)
            return
        if worker.sickness is Sickness.FAILS:
            self._end(worker, run, HowEnded.FAILED)
            return
        if worker.sickness is Sickness.HANGS:
            return
        run.done += passed / (6.0 if worker.sickness is Sickness.SLOW else 1.0)
        run.checkpoint = str(int(run.done / CHECKPOINT_SECONDS) or "")
        if run.done < script.seconds:
            return
        failed = self.failed_runs.get(run.task, 0)
        if failed < script.failures:
            self.failed_runs[run.task] = failed + 1
            self._end(worker, run, HowEnded.FAILED)
            return
        self._end(worker, run, HowEnded.DONE)
        if not run.gang:
            return
        for other in self.workers.values():
            for member in list(other.running.values()):
                same = _step(member.task) == _step(run.task)
                if same and member.run == run.run:
                    self._end(other, member, HowEnded.DONE)

    def _end(self, worker: SimulatedWorker, run: SimulatedRun, how: HowEnded):
        del worker.running[run.task]
        worker.count += 1
        worker.barred[run.task] = max(worker.barred.get(run.task, 0), run.run)
        worker.ended.append(
            EndedRun(worker.count, run.task, run.run, how, run.checkpoint)
        )
        self._record(EventKind.END, worker, run, how)
        waiting, worker.changed = worker.changed, asyncio.Event()
        waiting.set()

    def _record(self, kind, worker, run: SimulatedRun, how=None):
        self.history.append(
            WorkerEvent(
                monotonic(),
                kind,
                worker.entry.worker,
                run.task,
                run.run,
                how,
                worker.generation,
            )
        )

    def host(self, name: str) -> "HostOrders":
        """Return the orders of one host."""
        return HostOrders(self, name)

    # Orders, as they take effect at a worker

    def life(self, entry: WorkerEntry) -> SimulatedWorker:
        """Return the life that an entry names; raises RefusedOrderError."""
        worker = self.workers.get(entry.worker)
        if worker is None or not worker.alive:
            raise RefusedOrderError(Refusal.NOT_LISTENING)
        return worker

    def _check(self, worker: SimulatedWorker, generation: Generation):
        if generation < worker.generation:
            raise RefusedOrderError(Refusal.STALE_GENERATION, worker.clock_ms())
        worker.generation = generation

    async def start(self, worker: WorkerEntry, order: StartOrder) -> int:
        """Start a run; returns the worker's clock in milliseconds."""
        life = self.life(worker)
        self._check(life, order.generation)
        if life.sickness is Sickness.SHEDS:
            raise RefusedOrderError(Refusal.UNHEALTHY)
        present = life.running.get(order.task)
        if present is not None and present.run == order.run:
            return life.clock_ms()
        if order.run <= life.barred.get(order.task, 0) or present is not None:
            raise RefusedOrderError(Refusal.STALE_RUN, life.clock_ms())
        if order.deadline_ms <= life.clock_ms():
            raise RefusedOrderError(Refusal.TOO_LATE, life.clock_ms())
        limit = life.clock_ms() + life.run_limit * 1000
        life.deadline = min(max(life.deadline, order.deadline_ms), limit)
        script = msgspec.json.decode(order.spec, type=TaskScript)
        run = SimulatedRun(order.task, order.run, script, monotonic())
        if order.checkpoint:
            run.checkpoint = order.checkpoint
            run.done = float(order.checkpoint) * CHECKPOINT_SECONDS
        life.running[order.task] = run
        self._record(EventKind.START, life, run)
        return life.clock_ms()

    async def stop(
        self,
        worker: WorkerEntry,
        task: TaskId,
        run: RunNumber,
        generation: Generation,
    ):
        """Stop a run, and keep it from starting if it has not come yet."""
        life = self.life(worker)
        self._check(life, generation)
        life.barred[task] = max(life.barred.get(task, 0), run)
        present = life.running.get(task)
        if present is None or present.run > run or present.stopped_at is not None:
            return
        present.stopped_at = monotonic() + self.stop_seconds
        if not self.stop_seconds:
            self._end(life, present, HowEnded.STOPPED)

    async def pace(
        self,
        worker: WorkerEntry,
        task: TaskId,
        run: RunNumber,
        percent: int,
        generation: Generation,
    ):
        """Let a run work at a share of its speed."""
        self._check(self.life(worker), generation)

    async def hold(
        self,
        worker: WorkerEntry,
        generation: Generation,
        seen: int,
        deadline_ms: int | None,
        wait: float,
    ) -> HoldAnswer:
        """Extend the lease of all that runs, and wait up to `wait` s for an end."""
        life = self.life(worker)
        self._check(life, generation)
        if deadline_ms is not None:
            limit = life.clock_ms() + life.run_limit * 1000
            life.deadline = min(max(life.deadline, deadline_ms), limit)
        for end in life.ended:
            if end.number <= seen and end.number not in life.lapsed_ends:
                run = SimulatedRun(end.task, end.run, TaskScript(), 0.0)
                self._record(EventKind.NOTED, life, run, end.how)
        life.ended = [end for end in life.ended if end.number > seen]
        until = monotonic() + wait
        while not life.ended and monotonic() < until - TIMER_SECONDS and life.alive:
            changed = life.changed
            try:
                async with asyncio.timeout(until - monotonic()):
                    await changed.wait()
            except TimeoutError:
                break
        running = []
        for run in life.running.values():
            percent = min(99.0, int(100 * run.done / max(run.script.seconds, 0.01)))
            running.append(RunningTask(run.task, run.run, run.checkpoint, percent))
        return HoldAnswer(
            life.clock_ms(), life.entry.born, tuple(running), tuple(life.ended)
        )


class HostOrders(WorkerOrders):
    """One host's way to the workers."""

    def __init__(self, fleet: SimulatedFleet, host: str, delay: float = 0.002):
        self.fleet = fleet
        self.host = host
        self.delay = delay
        self.timeout = 1.0

    async def start(self, worker: WorkerEntry, order: StartOrder) -> int:
        """Start a run; returns the worker's clock in milliseconds."""
        return await self._order(worker, lambda: self.fleet.start(worker, order))

    async def stop(
        self,
        worker: WorkerEntry,
        task: TaskId,
        run: RunNumber,
        generation: Generation,
    ):
        """Stop a run, and keep it from starting if it has not come yet."""
        await self._order(
            worker, lambda: self.fleet.stop(worker, task, run, generation)
        )

    async def pace(
        self,
        worker: WorkerEntry,
        task: TaskId,
        run: RunNumber,
        percent: int,
        generation: Generation,
    ):
        """Let a run work at a share of its speed."""
        await self._order(
            worker, lambda: self.fleet.pace(worker, task, run, percent, generation)
        )

    async def hold(
        self,
        worker: WorkerEntry,
        generation: Generation,
        seen: int,
        deadline_ms: int | None,
        wait: float,
    ) -> HoldAnswer:
        """Extend the lease of all that runs, and wait up to `wait` s for an end."""
        await self._travel(worker)
        answer = await self.fleet.hold(worker, generation, seen, deadline_ms, wait)
        await self._travel(worker)
        return answer

    async def _travel(self, worker: WorkerEntry):
        life = self.fleet.workers.get(worker.worker)
        cut = (self.host, worker.worker) in self.fleet.cuts
        if cut or (life is not None and not life.reachable):
            await asyncio.sleep(self.timeout)
            raise UnansweredOrderError("The worker is out of reach.")
        await asyncio.sleep(self.delay)

    async def _order(self, worker: WorkerEntry, act):
        await self._travel(worker)
        if self.fleet.random.random() < self.fleet.late:
            self._act_later(worker, act)
            await asyncio.sleep(self.timeout)
            raise UnansweredOrderError("The order got no answer.")
        answer = await act()
        await self._travel(worker)
        return answer

    def _act_later(self, worker: WorkerEntry, act):
        life = self.fleet.workers.get(worker.worker)
        born = life.entry.born if life else None

        async def later():
            await asyncio.sleep(self.fleet.random.uniform(2.0, 12.0))
            if life is None or life.entry.born != born:
                # The worker kept the order in its memory.
                return
            try:
                await act()
            except RefusedOrderError:
                # Nobody waits for the refusal of a late order.
                return

        task = asyncio.create_task(later())
        self.fleet.late_tasks.add(task)
        task.add_done_callback(self.fleet.late_tasks.discard)


def _step(task: TaskId) -> str:
    return task.rsplit(".", 1)[0]
