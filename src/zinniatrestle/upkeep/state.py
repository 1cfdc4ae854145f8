"""Progress of a wave."""

from collections.abc import Iterable

from zinniatrestle.ids import BootSeconds, MachineId, WorkerId
from zinniatrestle.machines.messages import (
    Machine,
    MachineState,
)
from zinniatrestle.queues import Wave

# Number of consecutive lists without a machine after which it counts as removed.
MAX_MISSED_LISTS = 3


class WaveProgress:
    """A wave, the machines whose maintenance has begun, and those being drained."""

    def __init__(self, wave: Wave, started_at: BootSeconds):
        self.wave = wave
        self.started_at = started_at
        self.machines: dict[MachineId, Machine] = {}
        # Machines whose maintenance has begun, with the time of the platform's answer.
        self.begun: dict[MachineId, BootSeconds] = {}
        # Machines that are cordoned and being drained, with the time of the start.
        self.draining: dict[MachineId, BootSeconds] = {}
        # Workers that get no tasks because their machines are drained.
        self.cordoned: dict[WorkerId, MachineId] = {}
        # Machines whose call was not answered; it may still be carried out at any time.
        self.uncertain: set[MachineId] = set()
        # Machines for which it is stored that an order may have been sent.
        self.ordered: set[MachineId] = set()
        # Number of lists in a row, up to the latest, without a machine of the wave.
        self.missed: dict[MachineId, int] = {}
        # Machines whose maintenance the platform refuses in this wave.
        self.excluded: set[MachineId] = set()
        self.completed = False

    def restore(
        self,
        begun: Iterable[MachineId],
        ordered: Iterable[MachineId],
        now: BootSeconds,
    ):
        """Restore what an earlier leader has stored.

        Its orders without an answer may be carried out yet: their machines count as
        down, and are ordered again.
        """
        self.begun = {machine: now for machine in begun}
        self.ordered = set(ordered)
        self.uncertain = self.ordered - self.begun.keys()
        self.draining = {machine: now for machine in self.uncertain}

    def observe(self, listed: list[Machine]):
        """Update the states of the wave's machines from a list of all machines."""
        wave_machines = set(self.wave.machines)
        self.machines = {
            entry.machine: entry for entry in listed if entry.machine in wave_machines
        }
        for machine in wave_machines:
            is_listed = machine in self.machines
            self.missed[machine] = 0 if is_listed else self.missed.get(machine, 0) + 1
            if self._is_gone(machine):
                self.draining.pop(machine, None)
                self.uncertain.discard(machine)

    def exclude(self, machine: MachineId):
        """Exclude a machine whose maintenance the platform refuses in this wave."""
        self.excluded.add(machine)
        self.draining.pop(machine, None)
        self.uncertain.discard(machine)

    def _is_gone(self, machine: MachineId) -> bool:
        if machine in self.excluded:
            return True
        return self.missed.get(machine, 0) >= MAX_MISSED_LISTS

    def down(self, now: BootSeconds, upkeep_seconds: float) -> set[MachineId]:
        """Return the machines that are, or may be, down for their maintenance."""
        unavailable = set(self.uncertain)
        for machine, entry in self.machines.items():
            if entry.state in (MachineState.UPKEEP, MachineState.MOVING):
                unavailable.add(machine)
        for machine, begun_at in self.begun.items():
            entry = self.machines.get(machine)
            if entry is None:
                continue
            if now - begun_at < upkeep_seconds or entry.state is not MachineState.UP:
                unavailable.add(machine)
        return unavailable

    def remaining(self) -> list[MachineId]:
        """Return the machines whose maintenance has not begun, without removed ones."""
        return [
            machine
            for machine in self.wave.machines
            if machine not in self.begun and not self._is_gone(machine)
        ]
