"""The leader's task that runs waves of machine maintenance."""

import asyncio

import msgspec

from zinniatrestle.clock import boot_time, monotonic
from zinniatrestle.deployment import Bounds
from zinniatrestle.errors import StoreUnavailableError, StoreUncertainError
from zinniatrestle.events import Event, EventLog
from zinniatrestle.ids import BootSeconds, MachineId, RowName, RowVersion
from zinniatrestle.machines.interfaces import MachineCalls
from zinniatrestle.machines.messages import (
    MachineRefusal,
    MachineRefusedError,
    UnansweredMachineError,
)
from zinniatrestle.queues import OperatorState, Wave
from zinniatrestle.rows import ABSENT, Expect, RowStore, Write
from zinniatrestle.rows.retries import transact_with_retries
from zinniatrestle.scheduling.cluster_state import ClusterState
from zinniatrestle.scheduling.forecast import Forecast
from zinniatrestle.scheduling.leader_task import LeaderTask
from zinniatrestle.scheduling.leadership import Leadership, LeadershipStatus
from zinniatrestle.scheduling.preemption_costs import PreemptionCosts
from zinniatrestle.scheduling.state import Worker
from zinniatrestle.supervision import Supervisor
from zinniatrestle.upkeep.interfaces import WaveRows
from zinniatrestle.upkeep.messages import (
    WAVES,
    WaveRecord,
    WaveState,
)
from zinniatrestle.upkeep.planner import drain_timeout, next_machines, tasks_to_stop
from zinniatrestle.upkeep.state import WaveProgress

# Interval of checks for new waves while there is none; negligible compared with the
# duration of a wave.
IDLE_POLL_SECONDS = 0.5
# Interval of updates of a wave. Each lists all machines, which the platform charges.
POLL_SECONDS = 1.0
CALL_TIMEOUT_SECONDS = 2.0
# Time for retries of a write to the store, before it waits for the next update.
WRITE_TIMEOUT_SECONDS = 2.0
MS_PER_SECOND = 1000.0


class WaveRunner(LeaderTask):
    """Run the waves of maintenance that operators request."""

    name = "waves"

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
        self.supervisor = Supervisor(events)
        self.cluster: ClusterState | None = None
        self.waves: dict[int, WaveProgress] = {}
        self.versions: dict[int, RowVersion] = {}

    async def run(self, cluster: ClusterState):
        """Advance all waves until cancelled."""
        self.cluster = cluster
        self.waves.clear()
        self.versions.clear()
        while True:
            self._drop_withdrawn_waves()
            active = [
                wave
                for number, wave in sorted(self.operator.waves.items())
                if number not in self.waves or not self.waves[number].completed
            ]
            if not active:
                await asyncio.sleep(IDLE_POLL_SECONDS)
                continue
            for wave in active:
                try:
                    await self._advance(wave)
                except (
                    MachineRefusedError,
                    UnansweredMachineError,
                    StoreUnavailableError,
                    StoreUncertainError,
                ) as error:
                    self.events.write_deduplicated(
                        Event.DEPENDENCY_LOST, error.detail, dependency="machines"
                    )
                except Exception as error:
                    # The other waves go on.
                    self.supervisor.log_failure(self.name, error, wave=wave.number)
            await asyncio.sleep(POLL_SECONDS)

    def _drop_withdrawn_waves(self):
        for number in list(self.waves):
            if number not in self.operator.waves:
                self._uncordon_workers(self.waves.pop(number), is_over=True)
                self.versions.pop(number, None)

    async def _advance(self, wave: Wave):
        progress = self.waves.get(wave.number)
        if progress is None:
            progress = await self._load_or_start(wave)
            self.waves[wave.number] = progress
            if progress.completed:
                return
        progress.wave = wave
        progress.observe(await self.calls.machines(CALL_TIMEOUT_SECONDS))
        self._uncordon_workers(progress)
        workers = self._workers(progress)
        now = boot_time()
        forecast = Forecast(self.cluster.durations, now)
        costs = PreemptionCosts(forecast, self.bounds.restore)
        for machine in next_machines(progress, workers, costs, self.bounds, now):
            progress.draining[machine] = now
            self.events.write(Event.MACHINE_EMPTIED, wave=wave.number, machine=machine)
        for machine in list(progress.draining):
            await self._drain(progress, machine, workers.get(machine))
        if not progress.remaining():
            await self._publish_state(progress, WaveState.COMPLETED)
            progress.completed = True
            self._uncordon_workers(progress, is_over=True)

    async def _load_or_start(self, wave: Wave) -> WaveProgress:
        """Load the progress that an earlier leader has stored, or start a new wave."""
        row = await self.store.row(WAVES, self._row_name(wave))
        now = boot_time()
        if row is None:
            progress = WaveProgress(wave, now)
            self.versions[wave.number] = ABSENT
            await self._save_progress(progress)
            await self._publish_state(progress, WaveState.RUNNING)
            return progress
        record = msgspec.msgpack.decode(row.value, type=WaveRecord)
        since = self.store.clock.earliest(now) - record.started_at
        progress = WaveProgress(wave, BootSeconds(now - since / MS_PER_SECOND))
        progress.restore(record.begun, record.ordered, now)
        self.versions[wave.number] = row.version
        status = self.rows.status(wave.number, WaveState.RUNNING)
        status_row = await self.store.row(status.table, status.name)
        if status_row is not None:
            state = self.rows.decode_status(status_row.value)
            progress.completed = state is WaveState.COMPLETED
        if status_row is None:
            await self._publish_state(progress, WaveState.RUNNING)
        return progress

    async def _drain(
        self, progress: WaveProgress, machine: MachineId, worker: Worker | None
    ):
        """Cordon a machine, stop its tasks, and begin its maintenance once empty."""
        now = boot_time()
        if worker is not None:
            worker.cordoned = True
            progress.cordoned[worker.id] = machine
            waited = now - progress.draining[machine]
            for task in tasks_to_stop(
                worker, waited, drain_timeout(progress, self.bounds, now)
            ):
                self.cluster.stop(task, "maintenance of its machine")
                self.cluster.stop_gang(task.step)
            if worker.tasks:
                return
        if machine not in progress.ordered:
            # A successor has to know of the order before the platform does.
            if not await self._save_progress(progress, machine):
                return
            progress.ordered.add(machine)
        if self.leadership.status is not LeadershipStatus.HOLDER:
            return
        wave = progress.wave.number
        try:
            await self.calls.begin_upkeep(
                machine, wave, self.leadership.generation, CALL_TIMEOUT_SECONDS
            )
        except UnansweredMachineError:
            # The machine counts as down until a call is answered; the call is retried.
            progress.uncertain.add(machine)
            raise
        except MachineRefusedError as error:
            self._handle_refusal(progress, machine, error.refusal)
            return
        progress.uncertain.discard(machine)
        progress.begun[machine] = boot_time()
        progress.draining.pop(machine, None)
        self.events.write(Event.UPKEEP_BEGUN, wave=wave, machine=machine)
        await self._save_progress(progress)

    def _handle_refusal(
        self, progress: WaveProgress, machine: MachineId, refusal: MachineRefusal
    ):
        self.events.write_deduplicated(
            Event.UPKEEP_REFUSED,
            refusal.value,
            wave=progress.wave.number,
            machine=machine,
        )
        if refusal is MachineRefusal.STALE_GENERATION:
            self.leadership.step_down("the platform has seen a newer generation")
        if refusal in (MachineRefusal.OTHER_WAVE, MachineRefusal.UNKNOWN_MACHINE):
            # The machine is being removed or is not part of this wave.
            progress.exclude(machine)
            self._uncordon_workers(progress)

    async def _save_progress(
        self, progress: WaveProgress, ordering: MachineId | None = None
    ) -> bool:
        """Store the progress, and that a machine is to be ordered down.

        Return whether it is stored; raises store errors.
        """
        wave = progress.wave
        age = (boot_time() - progress.started_at) * MS_PER_SECOND
        started_at = self.store.clock.earliest(boot_time()) - age
        ordered = set(progress.ordered)
        if ordering is not None:
            ordered.add(ordering)
        record = WaveRecord(
            started_at, tuple(sorted(progress.begun)), tuple(sorted(ordered))
        )
        name = self._row_name(wave)
        expects = [
            self.leadership.fence_expectation(),
            Expect(WAVES, name, self.versions[wave.number]),
        ]
        write = Write(WAVES, name, msgspec.msgpack.encode(record))
        result = await self._transact(expects, [write])
        if result.applied:
            self.versions[wave.number] = result.version
            return True
        current = result.current.get((WAVES, name))
        if current is None or current.version == self.versions[wave.number]:
            self.leadership.step_down("another generation holds the fence")
            return False
        self.versions[wave.number] = current.version
        return False

    async def _publish_state(self, progress: WaveProgress, state: WaveState):
        """Write the status row that operators read; raises store errors."""
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
            self.store, expects, writes, monotonic() + WRITE_TIMEOUT_SECONDS
        )

    def _workers(self, progress: WaveProgress) -> dict[MachineId, Worker]:
        workers = {}
        for machine, entry in progress.machines.items():
            worker = self.cluster.fleet.workers.get(entry.worker)
            if worker is not None:
                workers[machine] = worker
        return workers

    def _uncordon_workers(self, progress: WaveProgress, is_over: bool = False):
        """Uncordon the workers whose machines are drained no longer.

        That is all of them if the wave is over. A machine may be missing from the
        latest list while its worker lives.
        """
        now = boot_time()
        for worker_id, machine in list(progress.cordoned.items()):
            begun_at = progress.begun.get(machine)
            is_down = begun_at is not None and now - begun_at < self.bounds.upkeep
            if not is_over and (machine in progress.draining or is_down):
                continue
            del progress.cordoned[worker_id]
            worker = self.cluster.fleet.workers.get(worker_id)
            if worker is not None:
                worker.cordoned = False

    def _row_name(self, wave: Wave) -> RowName:
        return RowName(str(wave.number))
