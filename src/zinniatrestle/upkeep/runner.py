"""The task that leads waves of upkeep, on the host that schedules."""

import asyncio

import msgspec

from zinniatrestle.clock import boot_time, monotonic
from zinniatrestle.deployment import Bounds
from zinniatrestle.errors import StoreUnavailableError, StoreUncertainError
from zinniatrestle.events import Event, EventLog
from zinniatrestle.ids import BootSeconds, MachineId, RowName, RowVersion
from zinniatrestle.queues import OperatorState, Wave
from zinniatrestle.rows import ABSENT, Expect, RowStore, Write
from zinniatrestle.rows.retries import transact_with_retries
from zinniatrestle.scheduling.cluster_state import ClusterState
from zinniatrestle.scheduling.forecast import Forecast
from zinniatrestle.scheduling.leader_task import LeaderTask
from zinniatrestle.scheduling.leadership import Leadership, LeadershipStatus
from zinniatrestle.scheduling.preemption_costs import PreemptionCosts
from zinniatrestle.scheduling.state import Worker
from zinniatrestle.upkeep.interfaces import MachineCalls, WaveRows
from zinniatrestle.upkeep.messages import (
    WAVES,
    MachineRefusal,
    MachineRefusedError,
    UnansweredMachineError,
    WaveRecord,
    WaveState,
)
from zinniatrestle.upkeep.planner import drain_timeout, next_machines, tasks_to_stop
from zinniatrestle.upkeep.state import WaveProgress

# s; how often waves are looked for while there is none: a share of their time that
# does not matter.
IDLE_SECONDS = 0.5
# s; the pause between two looks at a wave: each lists all machines, which is charged.
LOOK_SECONDS = 1.0
# s; how long a call about machines may take.
CALL_SECONDS = 2.0
# s; how long a write to the store is tried before it is left for the next look.
WRITE_SECONDS = 2.0
MILLISECONDS = 1000.0


class WaveRunner(LeaderTask):
    """Lead waves of upkeep."""

    def __init__(
        self,
        calls: MachineCalls,
        rows: WaveRows,
        store: RowStore,
        operator: OperatorState,
        leadership: Leadership,
        bounds: Bounds,
        events: EventLog,
    ):
        self.calls = calls
        self.rows = rows
        self.store = store
        self.operator = operator
        self.leadership = leadership
        self.bounds = bounds
        self.events = events
        self.cluster: ClusterState | None = None
        self.waves: dict[int, WaveProgress] = {}
        self.versions: dict[int, RowVersion] = {}

    async def run(self, cluster: ClusterState):
        """Look after the waves that operators ask for, until cancelled."""
        self.cluster = cluster
        self.waves.clear()
        self.versions.clear()
        while True:
            self._forget_withdrawn()
            active = [
                wave
                for number, wave in sorted(self.operator.waves.items())
                if number not in self.waves or not self.waves[number].completed
            ]
            if not active:
                await asyncio.sleep(IDLE_SECONDS)
                continue
            for wave in active:
                try:
                    await self._look_after(wave)
                except (
                    MachineRefusedError,
                    UnansweredMachineError,
                    StoreUnavailableError,
                    StoreUncertainError,
                ) as error:
                    self.events.write_deduplicated(
                        Event.DEPENDENCY_LOST, error.detail, dependency="machines"
                    )
            await asyncio.sleep(LOOK_SECONDS)

    def _forget_withdrawn(self):
        for number in list(self.waves):
            if number not in self.operator.waves:
                self._release(self.waves.pop(number))
                self.versions.pop(number, None)

    async def _look_after(self, wave: Wave):
        progress = self.waves.get(wave.number)
        if progress is None:
            progress = await self._take_up(wave)
            self.waves[wave.number] = progress
            if progress.completed:
                return
        progress.wave = wave
        progress.observe(await self.calls.machines(CALL_SECONDS))
        workers = self._workers(progress)
        now = boot_time()
        forecast = Forecast(self.cluster.durations, now)
        costs = PreemptionCosts(forecast, self.bounds.checkpoint_interval)
        for machine in next_machines(progress, workers, costs, self.bounds, now):
            progress.draining[machine] = now
            self.events.write(Event.MACHINE_EMPTIED, wave=wave.number, machine=machine)
        for machine in list(progress.draining):
            await self._empty(progress, machine, workers.get(machine))
        if not progress.remaining():
            await self._tell(progress, WaveState.COMPLETED)
            progress.completed = True
            self._release(progress)

    async def _take_up(self, wave: Wave) -> WaveProgress:
        """Begin a wave, or go on with what a predecessor has kept of it."""
        row = await self.store.row(WAVES, self._name(wave))
        now = boot_time()
        if row is None:
            progress = WaveProgress(wave, now)
            self.versions[wave.number] = ABSENT
            await self._keep(progress)
            await self._tell(progress, WaveState.RUNNING)
            return progress
        kept = msgspec.msgpack.decode(row.value, type=WaveRecord)
        since = self.store.clock.earliest(now) - kept.started_at
        progress = WaveProgress(wave, BootSeconds(now - since / MILLISECONDS))
        progress.begun = {machine: now for machine in kept.begun}
        self.versions[wave.number] = row.version
        status = self.rows.status(wave.number, WaveState.RUNNING)
        told = await self.store.row(status.table, status.name)
        if told is not None:
            state = self.rows.decode_status(told.value)
            progress.completed = state is WaveState.COMPLETED
        if told is None:
            await self._tell(progress, WaveState.RUNNING)
        return progress

    async def _empty(
        self, progress: WaveProgress, machine: MachineId, worker: Worker | None
    ):
        """Stop what is to move off a machine; take it down once it is empty."""
        now = boot_time()
        if worker is not None:
            worker.cordoned = True
            waited = now - progress.draining[machine]
            for task in tasks_to_stop(
                worker, waited, drain_timeout(progress, self.bounds, now)
            ):
                self.cluster.stop(task, "upkeep of its machine")
                self.cluster.stop_gang(task.step)
            if worker.tasks:
                return
        if self.leadership.status is not LeadershipStatus.HOLDER:
            return
        wave = progress.wave.number
        try:
            await self.calls.begin_upkeep(
                machine, wave, self.leadership.generation, CALL_SECONDS
            )
        except UnansweredMachineError:
            # It counts as down until an answer comes, and is asked for again.
            progress.uncertain.add(machine)
            raise
        except MachineRefusedError as error:
            self._refused(progress, machine, error.refusal)
            return
        progress.uncertain.discard(machine)
        progress.begun[machine] = boot_time()
        progress.draining.pop(machine, None)
        self.events.write(Event.UPKEEP_BEGUN, wave=wave, machine=machine)
        await self._keep(progress)

    def _refused(
        self, progress: WaveProgress, machine: MachineId, refusal: MachineRefusal
    ):
        self.events.write_deduplicated(
            Event.UPKEEP_REFUSED,
            refusal.value,
            wave=progress.wave.number,
            machine=machine,
        )
        if refusal is MachineRefusal.STALE_GENERATION:
            self.leadership.step_down("machines follow another scheduler")
        if refusal in (MachineRefusal.OTHER_WAVE, MachineRefusal.UNKNOWN_MACHINE):
            # It does not stay, or is none of this wave's.
            progress.exclude(machine)
            worker = self._workers(progress).get(machine)
            if worker is not None:
                worker.cordoned = False

    async def _keep(self, progress: WaveProgress):
        """Keep for a successor what has begun; raises store errors."""
        wave = progress.wave
        age = (boot_time() - progress.started_at) * MILLISECONDS
        started_at = self.store.clock.earliest(boot_time()) - age
        record = WaveRecord(started_at, tuple(sorted(progress.begun)))
        name = self._name(wave)
        expects = [
            self.leadership.fence_expectation(),
            Expect(WAVES, name, self.versions[wave.number]),
        ]
        write = Write(WAVES, name, msgspec.msgpack.encode(record))
        result = await self._transact(expects, [write])
        if result.applied:
            self.versions[wave.number] = result.version
            return
        current = result.current.get((WAVES, name))
        if current is None or current.version == self.versions[wave.number]:
            self.leadership.step_down("The fence has moved.")
            return
        self.versions[wave.number] = current.version

    async def _tell(self, progress: WaveProgress, state: WaveState):
        """Tell operators how far a wave is; raises store errors."""
        write = self.rows.status(progress.wave.number, state)
        row = await self.store.row(write.table, write.name)
        version = ABSENT if row is None else row.version
        await self._transact([Expect(write.table, write.name, version)], [write])
        self.events.write(
            Event.WAVE,
            wave=progress.wave.number,
            state=state.value,
            begun=len(progress.begun),
            machines=len(progress.wave.machines),
        )

    async def _transact(self, expects: list[Expect], writes: list[Write]):
        return await transact_with_retries(
            self.store, expects, writes, monotonic() + WRITE_SECONDS
        )

    def _workers(self, progress: WaveProgress) -> dict[MachineId, Worker]:
        found = {}
        for machine, entry in progress.machines.items():
            worker = self.cluster.fleet.workers.get(entry.worker)
            if worker is not None:
                found[machine] = worker
        return found

    def _release(self, progress: WaveProgress):
        """Let the workers of a wave that ended have work again."""
        for worker in self._workers(progress).values():
            worker.cordoned = False
        progress.draining.clear()

    def _name(self, wave: Wave) -> RowName:
        return RowName(str(wave.number))
