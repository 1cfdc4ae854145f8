"""Abstract bases of calls about machines and of what operators read of waves."""

from abc import ABC, abstractmethod

from zinniatrestle.ids import Generation, MachineId
from zinniatrestle.rows import Write
from zinniatrestle.upkeep.messages import Machine, WaveState


class MachineCalls(ABC):
    """List machines and take them down; `timeout` in seconds is for each answer.

    Each method raises MachineRefusedError when the platform surely did nothing, and
    UnansweredMachineError when it may have, or may yet.
    """

    @abstractmethod
    async def machines(self, timeout: float) -> list[Machine]:
        """Return all machines."""

    @abstractmethod
    async def begin_upkeep(
        self, machine: MachineId, wave: int, generation: Generation, timeout: float
    ):
        """Take a machine down for a wave; what runs there ends at once.

        Succeeds as well if the machine has had its upkeep in that wave.
        """


class WaveRows(ABC):
    """Encode what operators read of waves."""

    @abstractmethod
    def status(self, wave: int, state: WaveState) -> Write:
        """Return the row that tells how far a wave is."""

    @abstractmethod
    def decode_status(self, value: bytes) -> WaveState | None:
        """Return what such a row tells, or None if it can't be read."""
