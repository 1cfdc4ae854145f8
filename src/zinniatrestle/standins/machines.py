"""In-memory machines that can be taken down for maintenance.

A machine runs one worker at a time; a new one starts when it returns to service.
"""

import asyncio
import contextlib

import msgspec

from zinniatrestle.clock import monotonic
from zinniatrestle.ids import (
    Generation,
    MachineId,
    RowName,
    ServiceName,
    TableName,
    WorkerId,
)
from zinniatrestle.machines.interfaces import MachineCalls
from zinniatrestle.machines.messages import (
    Machine,
    MachineRefusal,
    MachineRefusedError,
    MachineState,
    UnansweredMachineError,
)
from zinniatrestle.rows import Write
from zinniatrestle.standins.fleet import SimulatedFleet
from zinniatrestle.upkeep.interfaces import WaveRows
from zinniatrestle.upkeep.messages import WaveState

WAVE_STATUS = TableName("wave status")


class SimulatedMachine:
    """A machine and the worker that runs on it."""

    def __init__(self, machine: MachineId, worker: WorkerId):
        self.machine = machine
        self.worker = worker
        self.state = MachineState.UP
        # The highest fencing number that it has seen.
        self.generation = Generation(0)
        # The start time of its maintenance in each wave.
        self.upkeeps: dict[int, float] = {}


class SimulatedMachines(MachineCalls):
    """All machines of a fleet.

    `max_down` is the highest number of machines that were down at once. Each machine is
    down for `upkeep_seconds`.
    """

    def __init__(self, fleet: SimulatedFleet, upkeep_seconds: float):
        self.fleet = fleet
        self.upkeep_seconds = upkeep_seconds
        self.by_id: dict[MachineId, SimulatedMachine] = {}
        # The machines that the operator requested for each wave.
        self.waves: dict[int, tuple[MachineId, ...]] = {}
        # The number of next calls that are executed without an answer.
        self.answers_to_drop = 0
        # The next calls get no answer, and are carried out after these seconds.
        self.late_calls: list[float] = []
        self.calls = 0
        self.max_down = 0
        # Tasks that were running on a machine when it was taken down.
        self.interrupted_tasks: list[str] = []
        self.return_tasks: set[asyncio.Task] = set()
        # Whether calls are served.
        self.available = True
        self.known_workers: set[WorkerId] = set()

    def add_machines(self):
        """Add a machine for each worker that has joined the fleet."""
        for worker in self.fleet.workers:
            if worker in self.known_workers:
                continue
            self.known_workers.add(worker)
            machine = MachineId(f"m-{worker}")
            self.by_id[machine] = SimulatedMachine(machine, worker)

    async def machines(self, timeout: float) -> list[Machine]:
        """Return all machines and their states.

        One whose worker has crashed is down and names none; that of a worker that
        never comes back is not listed. Raises MachineRefusedError.
        """
        self.calls += 1
        if not self.available:
            raise MachineRefusedError(MachineRefusal.UNAVAILABLE)
        self.add_machines()
        found = []
        for entry in self.by_id.values():
            worker = self.fleet.workers.get(entry.worker)
            if worker is None:
                continue
            state, worker_id = entry.state, entry.worker
            if not worker.alive:
                worker_id = WorkerId("")
                if state is MachineState.UP:
                    state = MachineState.DOWN
            found.append(
                Machine(
                    entry.machine,
                    ServiceName(worker.entry.service),
                    state,
                    worker.entry.domain,
                    worker_id,
                )
            )
        return found

    async def begin_upkeep(
        self, machine: MachineId, wave: int, generation: Generation, timeout: float
    ):
        """Take a machine down for a wave; its runs end at once.

        A repeated call for the same wave has no effect. Raises MachineRefusedError or
        UnansweredMachineError.
        """
        if self.late_calls:
            seconds = self.late_calls.pop(0)
            self._carry_out_later(seconds, machine, wave, generation)
            await asyncio.sleep(timeout)
            raise UnansweredMachineError(
                "The machine service did not answer before the timeout."
            )
        has_begun = self._carry_out(machine, wave, generation)
        if has_begun and self.answers_to_drop:
            self.answers_to_drop -= 1
            await asyncio.sleep(timeout)
            raise UnansweredMachineError(
                "The machine service did not answer before the timeout."
            )

    def _carry_out_later(
        self, seconds: float, machine: MachineId, wave: int, generation: Generation
    ):
        async def carry_out():
            await asyncio.sleep(seconds)
            with contextlib.suppress(MachineRefusedError):
                self._carry_out(machine, wave, generation)

        task = asyncio.create_task(carry_out())
        self.return_tasks.add(task)
        task.add_done_callback(self.return_tasks.discard)

    def _carry_out(self, machine: MachineId, wave: int, generation: Generation) -> bool:
        """Take a machine down; return False if it was, in the same wave.

        Raises MachineRefusedError.
        """
        entry = self.by_id.get(machine)
        if entry is None:
            raise MachineRefusedError(MachineRefusal.UNKNOWN_MACHINE)
        if generation < entry.generation:
            raise MachineRefusedError(MachineRefusal.STALE_GENERATION)
        entry.generation = generation
        if machine not in self.waves.get(wave, ()):
            raise MachineRefusedError(MachineRefusal.OTHER_WAVE)
        if wave in entry.upkeeps:
            return False
        if entry.state is not MachineState.UP:
            raise MachineRefusedError(MachineRefusal.BUSY)
        self._take_down(entry, wave)
        return True

    def _take_down(self, entry: SimulatedMachine, wave: int):
        entry.upkeeps[wave] = monotonic()
        entry.state = MachineState.UPKEEP
        worker = self.fleet.workers[entry.worker]
        self.interrupted_tasks.extend(worker.running)
        self.fleet.crash(worker)
        self.fleet.remove(worker)
        down = sum(found.state is MachineState.UPKEEP for found in self.by_id.values())
        self.max_down = max(self.max_down, down)
        task = asyncio.create_task(self._return_to_service(entry, wave))
        self.return_tasks.add(task)
        task.add_done_callback(self.return_tasks.discard)

    async def _return_to_service(self, entry: SimulatedMachine, wave: int):
        await asyncio.sleep(self.upkeep_seconds)
        old = self.fleet.workers[entry.worker].entry
        worker = self.fleet.add(f"{old.worker}+{wave}", old.rack, old.domain)
        entry.worker = worker.entry.worker
        self.known_workers.add(entry.worker)
        entry.state = MachineState.UP


class MemoryWaveRows(WaveRows):
    """Encode the status rows of waves."""

    def status(self, wave: int, state: WaveState) -> Write:
        """Return the row with the state of a wave."""
        return Write(
            WAVE_STATUS, RowName(str(wave)), msgspec.msgpack.encode(state.value)
        )

    def decode_status(self, value: bytes) -> WaveState | None:
        """Return the state in a status row."""
        return WaveState(msgspec.msgpack.decode(value))
