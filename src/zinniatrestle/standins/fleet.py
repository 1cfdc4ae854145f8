"""In-memory workers that run tasks under leases, with faults and a history."""

import asyncio
import random

import msgspec

from zinniatrestle.clock import monotonic, wall_time
from zinniatrestle.decoding import decode_msgpack
from zinniatrestle.ids import (
    FailureDomainId,
    Generation,
    InstanceId,
    RackId,
    RowName,
    RunNumber,
    ServiceName,
    TableName,
    TaskId,
    WorkerId,
)
from zinniatrestle.scheduling.state import FULL_PACE_PERCENT
from zinniatrestle.standins.rows import MemoryRows
from zinniatrestle.standins.runs import (
    EventKind,
    FaultMode,
    FleetTraits,
    SimulatedRun,
    SimulatedWorker,
    TaskScript,
    WorkerEvent,
    step_of,
)
from zinniatrestle.workers.interfaces import WorkerRows
from zinniatrestle.workers.messages import (
    EndedRun,
    HoldAnswer,
    Refusal,
    RefusedOrderError,
    RunningTask,
    RunOutcome,
    StartOrder,
    UnansweredOrderError,
    WorkerEntry,
    WorkerState,
)

WORKER_TABLE = TableName("workers")
TICK_SECONDS = 0.05
# A wait counts as over when less than this remains.
TIMER_TOLERANCE_SECONDS = 0.001
CHECKPOINT_SECONDS = 2.0
# A hold lists at most this many ends, the oldest first.
MAX_LISTED_ENDS = 500
# The registry removes an entry after this many missed heartbeats.
EXPIRY_HEARTBEATS = 3


class MemoryWorkerRows(WorkerRows):
    """Decode the table entries that stand-in workers write."""

    table = WORKER_TABLE

    def decode(self, name: RowName, value: bytes) -> WorkerEntry:
        """Return the entry; raises MalformedInputError if it can't be decoded."""
        return decode_msgpack(value, WorkerEntry, "The entry")


class SimulatedFleet:
    """All workers of a deployment; a host sends orders through its `HostOrders`.

    `gang_seconds` is how long a member waits for its gang, `stop_seconds` how long a
    stop takes, and `far_factor` the slowdown of work far from its data or its gang.
    """

    def __init__(
        self,
        rows: MemoryRows,
        seed: int = 0,
        gang_seconds: float = 3.0,
        stop_seconds: float = 0.0,
        far_factor: float = 3.0,
        traits: FleetTraits | None = None,
    ):
        self.traits = traits or FleetTraits()
        self.stop_seconds = stop_seconds
        self.far_factor = far_factor
        self.rows = rows
        self.random = random.Random(seed)
        self.workers: dict[WorkerId, SimulatedWorker] = {}
        self.history: list[WorkerEvent] = []
        self.gang_seconds = gang_seconds
        self.failed_runs: dict[TaskId, int] = {}
        # The share of orders that get no answer and are executed late.
        self.late_order_share = 0.0
        self.late_order_tasks: set[asyncio.Task] = set()
        # Pairs of a host and a worker that it can't reach.
        self.partitions: set[tuple[str, WorkerId]] = set()
        # Addresses of machines without power, at which nothing answers.
        self.unpowered: set[str] = set()

    def add(
        self,
        name: str,
        rack: str = "r1",
        domain: str = "a",
        cpu: int = 32_000,
        memory_mb: int = 131_072,
        gpus: int = 8,
    ) -> SimulatedWorker:
        """Add a worker and write its table entry."""
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
            instance=InstanceId(int(wall_time() * 1000) + len(self.workers)),
            sequence=1,
        )
        worker = SimulatedWorker(entry, 10.0, started_at=monotonic())
        if len(self.traits.clock_rates) > 1:
            worker.clock_rate = self.random.choice(self.traits.clock_rates)
        self.workers[entry.worker] = worker
        self.write(worker)
        return worker

    def write(self, worker: SimulatedWorker):
        """Write a worker's table entry, unless it can't reach the registry."""
        if not worker.heartbeats:
            return
        worker.missed_heartbeats = 0
        name = RowName(worker.entry.worker)
        self.rows.put(WORKER_TABLE, name, msgspec.msgpack.encode(worker.entry))

    def crash(self, worker: SimulatedWorker):
        """End a worker's process and all its runs at once."""
        worker.alive = False
        for run in list(worker.running.values()):
            self._record(EventKind.END, worker, run, RunOutcome.LEASE_EXPIRED)
        worker.running.clear()
        worker.ended.clear()

    def restart(self, worker: SimulatedWorker, clock_lag: float = 0.0):
        """Start a new instance of a worker under the same id.

        Its clock has been set back by `clock_lag` seconds, and with it the number of
        the instance.
        """
        if worker.alive:
            self.crash(worker)
        self.unpowered.discard(worker.entry.address)
        instance = InstanceId(int((wall_time() - clock_lag) * 1000))
        worker.entry = msgspec.structs.replace(worker.entry, instance=instance)
        worker.alive = True
        worker.generation = Generation(0)
        worker.deadline = 0.0
        worker.last_ended_run = {}
        worker.end_count = 0
        worker.expired_ends = set()
        worker.started_at = monotonic()
        self.write(worker)

    def replace(self, worker: SimulatedWorker, name: str) -> SimulatedWorker:
        """End a worker and add another one that answers at its address."""
        self.crash(worker)
        self.unpowered.discard(worker.entry.address)
        entry = worker.entry
        replacement = self.add(
            name, entry.rack, entry.domain, entry.cpu, entry.memory_mb, entry.gpus
        )
        replacement.entry = msgspec.structs.replace(
            replacement.entry, address=entry.address
        )
        self.write(replacement)
        return replacement

    def drain(self, worker: SimulatedWorker, remaining: float):
        """Announce that a worker leaves in `remaining` seconds."""
        worker.entry = msgspec.structs.replace(
            worker.entry, state=WorkerState.DRAINING, remaining=remaining
        )
        self.write(worker)

    def remove(self, worker: SimulatedWorker):
        """Remove a worker's table entry."""
        self.rows.put(WORKER_TABLE, RowName(worker.entry.worker), None)

    def cut_power(self, worker: SimulatedWorker):
        """End a worker whose machine loses power, so that calls to it get no answer."""
        self.crash(worker)
        self.unpowered.add(worker.entry.address)

    def retire(self, worker: SimulatedWorker):
        """End a worker that never comes back; its table entry stays for now."""
        self.crash(worker)
        self.workers.pop(worker.entry.worker, None)

    async def send_heartbeats(self, interval: float):
        """Write the entries of live workers again and again, until cancelled.

        An entry is removed once its worker has missed `EXPIRY_HEARTBEATS` of them.
        """
        while True:
            await asyncio.sleep(interval)
            for worker in list(self.workers.values()):
                entry = worker.entry
                if worker.alive and worker.heartbeats:
                    worker.entry = msgspec.structs.replace(
                        entry, sequence=entry.sequence + 1
                    )
                    self.write(worker)
                    continue
                worker.missed_heartbeats += 1
                if worker.missed_heartbeats == EXPIRY_HEARTBEATS:
                    self.remove(worker)

    async def run(self):
        """Advance all runs at each tick until cancelled."""
        last = monotonic()
        while True:
            await asyncio.sleep(TICK_SECONDS)
            now = monotonic()
            self._advance(now, now - last)
            last = now

    def _advance(self, now: float, passed: float):
        # The members of each run of a gang, with their racks.
        members_by_run: dict[tuple[str, int], list[tuple[RackId, SimulatedRun]]] = {}
        for worker in self.workers.values():
            for run in worker.running.values():
                if run.gang_size:
                    key = (step_of(run.task), run.run)
                    members_by_run.setdefault(key, []).append((worker.entry.rack, run))
        for worker in list(self.workers.values()):
            if not worker.alive:
                continue
            if worker.clock_ms() > worker.deadline:
                worker.expired_ends.update(end.number for end in worker.ended)
                for run in list(worker.running.values()):
                    self._end(worker, run, RunOutcome.LEASE_EXPIRED)
            for run in list(worker.running.values()):
                if run.task in worker.running:
                    self._advance_run(worker, run, now, passed, members_by_run)

    def _advance_run(
        self, worker, run: SimulatedRun, now: float, passed: float, members_by_run
    ):
        script = run.script
        if run.stops_at is not None:
            if now >= run.stops_at:
                self._end_stopped(worker, run)
            return
        members = members_by_run.get((step_of(run.task), run.run), [])
        if len(members) < run.gang_size:
            if run.at_work:
                self._end(worker, run, RunOutcome.MEMBER_ENDED)
            elif now - run.started_at > self.gang_seconds:
                self._end(worker, run, RunOutcome.GANG_INCOMPLETE)
            return
        run.at_work = True
        if worker.fault_mode is FaultMode.FAILS:
            self._end(worker, run, RunOutcome.FAILED)
            return
        if worker.fault_mode is FaultMode.HANGS:
            return
        if now < run.restored_at:
            return
        slowdown = self._slowdown_factor(worker, run, {rack for rack, _ in members})
        run.work_seconds += passed / slowdown * run.pace / FULL_PACE_PERCENT
        saved = int(run.work_seconds / CHECKPOINT_SECONDS)
        if self._has_checkpoints(run) and saved > float(run.checkpoint or 0):
            run.checkpoint = str(saved)
        if any(member.work_seconds < script.seconds for _, member in members):
            return
        if run.work_seconds < script.seconds:
            return
        failed = self.failed_runs.get(run.task, 0)
        if failed < script.failures:
            self.failed_runs[run.task] = failed + 1
            self._end(worker, run, RunOutcome.FAILED)
            return
        self._end(worker, run, RunOutcome.DONE)
        if not run.gang_size:
            return
        for other in self.workers.values():
            for member in list(other.running.values()):
                same = step_of(member.task) == step_of(run.task)
                if same and member.run == run.run:
                    self._end(other, member, RunOutcome.DONE)

    def _slowdown_factor(
        self, worker: SimulatedWorker, run: SimulatedRun, racks: set[RackId]
    ) -> float:
        """Return the run time at this worker, relative to the nominal one.

        `racks` are the racks of all members of the run's gang.
        """
        factor = 1 / worker.speed
        if worker.fault_mode is FaultMode.SLOW:
            factor *= worker.slow_factor
        shape = run.shape
        if shape.data_rack and worker.entry.rack != shape.data_rack:
            factor *= self.far_factor
        if shape.rack_bound and len(racks) > 1:
            factor *= self.far_factor
        return factor

    def _has_checkpoints(self, run: SimulatedRun) -> bool:
        return run.shape.checkpointing or not self.traits.checkpoints_by_step

    def _end_stopped(self, worker: SimulatedWorker, run: SimulatedRun):
        if self.traits.checkpoints_by_step and run.shape.checkpointing:
            # A stop takes a checkpoint of its own.
            run.checkpoint = str(run.work_seconds / CHECKPOINT_SECONDS or "")
        self._end(worker, run, RunOutcome.STOPPED)

    def _end(self, worker: SimulatedWorker, run: SimulatedRun, outcome: RunOutcome):
        del worker.running[run.task]
        worker.end_count += 1
        worker.last_ended_run[run.task] = max(
            worker.last_ended_run.get(run.task, 0), run.run
        )
        worker.ended.append(
            EndedRun(worker.end_count, run.task, run.run, outcome, run.checkpoint)
        )
        self._record(EventKind.END, worker, run, outcome)
        waiting, worker.changed = worker.changed, asyncio.Event()
        waiting.set()

    def _record(self, kind, worker, run: SimulatedRun, outcome=None):
        self.history.append(
            WorkerEvent(
                monotonic(),
                kind,
                worker.entry.worker,
                run.task,
                run.run,
                outcome,
                worker.generation,
            )
        )

    # Execution of orders at a worker

    def find_worker(self, entry: WorkerEntry) -> SimulatedWorker:
        """Return the worker of an entry; raises RefusedOrderError if it is down."""
        worker = self.workers.get(entry.worker)
        if worker is not None and worker.alive:
            return worker
        for other in self.workers.values():
            if other.alive and other.entry.address == entry.address:
                raise RefusedOrderError(Refusal.OTHER_INSTANCE)
        raise RefusedOrderError(Refusal.NOT_LISTENING)

    def _check_generation(self, worker: SimulatedWorker, generation: Generation):
        if generation < worker.generation:
            raise RefusedOrderError(Refusal.STALE_GENERATION, worker.clock_ms())
        worker.generation = generation

    def _extend_lease(self, worker: SimulatedWorker, deadline_ms: int):
        limit = worker.clock_ms() + worker.max_lease_seconds * 1000
        worker.deadline = min(max(worker.deadline, deadline_ms), limit)

    async def start(self, worker: WorkerEntry, order: StartOrder) -> int:
        """Start a run and return the worker's clock in ms; raises RefusedOrderError."""
        target = self.find_worker(worker)
        self._check_generation(target, order.generation)
        if target.fault_mode is FaultMode.SHEDS:
            raise RefusedOrderError(Refusal.UNHEALTHY)
        current = target.running.get(order.task)
        if current is not None and current.run == order.run:
            return target.clock_ms()
        if order.run <= target.last_ended_run.get(order.task, 0) or current is not None:
            # The lease of all other runs is extended nevertheless.
            self._extend_lease(target, order.deadline_ms)
            raise RefusedOrderError(Refusal.STALE_RUN, target.clock_ms())
        if order.deadline_ms <= target.clock_ms():
            raise RefusedOrderError(Refusal.TOO_LATE, target.clock_ms())
        self._extend_lease(target, order.deadline_ms)
        script = msgspec.json.decode(order.spec, type=TaskScript)
        run = SimulatedRun(order.task, order.run, script, monotonic())
        if order.checkpoint:
            run.checkpoint = order.checkpoint
            run.work_seconds = float(order.checkpoint) * CHECKPOINT_SECONDS
            if self.traits.checkpoints_by_step:
                run.restored_at = monotonic() + self.traits.restore_seconds
        target.running[order.task] = run
        self._record(EventKind.START, target, run)
        return target.clock_ms()

    async def stop(
        self,
        worker: WorkerEntry,
        task: TaskId,
        run: RunNumber,
        generation: Generation,
    ):
        """Stop a run, or refuse its start if that arrives later."""
        target = self.find_worker(worker)
        self._check_generation(target, generation)
        target.last_ended_run[task] = max(target.last_ended_run.get(task, 0), run)
        current = target.running.get(task)
        if current is None or current.run > run or current.stops_at is not None:
            return
        current.stops_at = monotonic() + self.stop_seconds
        if not self.stop_seconds:
            self._end_stopped(target, current)

    async def pace(
        self,
        worker: WorkerEntry,
        task: TaskId,
        run: RunNumber,
        percent: int,
        generation: Generation,
    ):
        """Set the share of its speed at which a run works."""
        target = self.find_worker(worker)
        self._check_generation(target, generation)
        current = target.running.get(task)
        if current is not None and current.run == run:
            current.pace = percent

    async def hold(
        self,
        worker: WorkerEntry,
        generation: Generation,
        acknowledged_end: int,
        deadline_ms: int | None,
        wait: float,
    ) -> HoldAnswer:
        """Extend the lease of all runs; wait up to `wait` seconds for one to end."""
        target = self.find_worker(worker)
        instance = target.entry.instance
        self._check_generation(target, generation)
        if deadline_ms is not None:
            self._extend_lease(target, deadline_ms)
        for end in target.ended:
            if end.number <= acknowledged_end and end.number not in target.expired_ends:
                run = SimulatedRun(end.task, end.run, TaskScript(), 0.0)
                self._record(EventKind.ACKNOWLEDGED, target, run, end.outcome)
        target.ended = [end for end in target.ended if end.number > acknowledged_end]
        wait_until = monotonic() + wait
        while (
            not target.ended
            and monotonic() < wait_until - TIMER_TOLERANCE_SECONDS
            and target.alive
        ):
            changed = target.changed
            try:
                async with asyncio.timeout(wait_until - monotonic()):
                    await changed.wait()
            except TimeoutError:
                break
        if not target.alive or target.entry.instance != instance:
            raise UnansweredOrderError("The worker ended during the hold.")
        running = []
        for run in target.running.values():
            load = target.tail_ms if run.shape.target_ms else 0.0
            running.append(
                RunningTask(run.task, run.run, run.checkpoint, run.percent(), load)
            )
        return HoldAnswer(
            target.clock_ms(),
            target.entry.instance,
            tuple(running),
            tuple(target.ended[:MAX_LISTED_ENDS]),
            lists_all_ends=len(target.ended) < MAX_LISTED_ENDS,
        )
