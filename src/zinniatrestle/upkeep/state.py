"""How far a wave is."""

from zinniatrestle.ids import BootSeconds, MachineId
from zinniatrestle.queues import Wave
from zinniatrestle.upkeep.messages import Machine, MachineState

# Lists that don't name a machine before it counts as gone for good.
MAX_MISSED_LISTS = 3


class WaveProgress:
    """A wave, the machines that have begun their upkeep, and those being emptied."""

    def __init__(self, wave: Wave, started_at: BootSeconds):
        self.wave = wave
        self.started_at = started_at
        self.machines: dict[MachineId, Machine] = {}
        # Machines that have begun, with the time of the answer.
        self.begun: dict[MachineId, BootSeconds] = {}
        # Machines that get no new work, with the time since when.
        self.draining: dict[MachineId, BootSeconds] = {}
        # Machines whose call got no answer; it may be carried out at any time.
        self.uncertain: set[MachineId] = set()
        # How many lists one after the other have not named a machine of the wave.
        self.missed: dict[MachineId, int] = {}
        self.completed = False

    def observe(self, listed: list[Machine]):
        """Take over a list of all machines."""
        wanted = set(self.wave.machines)
        self.machines = {
            entry.machine: entry for entry in listed if entry.machine in wanted
        }
        for machine in wanted:
            listed_now = machine in self.machines
            self.missed[machine] = 0 if listed_now else self.missed.get(machine, 0) + 1
            if self._is_gone(machine):
                self.draining.pop(machine, None)

    def exclude(self, machine: MachineId):
        """Leave a machine out for which the platform takes no upkeep in this wave."""
        self.missed[machine] = MAX_MISSED_LISTS
        self.draining.pop(machine, None)
        self.uncertain.discard(machine)

    def _is_gone(self, machine: MachineId) -> bool:
        return self.missed.get(machine, 0) >= MAX_MISSED_LISTS

    def down(self, now: BootSeconds, upkeep_seconds: float) -> set[MachineId]:
        """Return the machines that are down for their upkeep, or may be."""
        found = set(self.uncertain)
        for machine, entry in self.machines.items():
            if entry.state in (MachineState.UPKEEP, MachineState.MOVING):
                found.add(machine)
        for machine, begun_at in self.begun.items():
            entry = self.machines.get(machine)
            if entry is None:
                continue
            if now - begun_at < upkeep_seconds or entry.state is not MachineState.UP:
                found.add(machine)
        return found

    def remaining(self) -> list[MachineId]:
        """Return the machines that stay and have not begun."""
        return [
            machine
            for machine in self.wave.machines
            if machine not in self.begun and not self._is_gone(machine)
        ]
