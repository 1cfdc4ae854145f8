"""Abstract bases of the calls about machines and of the status rows of waves."""

from abc import ABC, abstractmethod

from zinniatrestle.ids import Generation, MachineId
from zinniatrestle.rows import Write
from zinniatrestle.upkeep.messages import Machine, WaveState


class MachineCalls(ABC):
    """Calls about machines; `timeout` bounds the wait for an answer, in seconds.

    Each method raises MachineRefusedError if the platform certainly did nothing, and
    UnansweredMachineError if it may have carried out the call or may still do so.
    """

    @abstractmethod
    async def machines(self, timeout: float) -> list[Machine]:
        """Return all machines."""

    @abstractmethod
    async def begin_upkeep(
        self, machine: MachineId, wave: int, generation: Generation, timeout: float
    ):
        """Take a machine down for its maintenance in a wave; its tasks end at once.

        Idempotent: succeeds if the machine already had its maintenance in that wave.
        """


class WaveRows(ABC):
    """Encoder and decoder of the status rows of waves, which operators read."""

    @abstractmethod
    def status(self, wave: int, state: WaveState) -> Write:
        """Return the write of a wave's status row."""

    @abstractmethod
    def decode_status(self, value: bytes) -> WaveState | None:
        """Return the state in a status row, or None if it can't be decoded."""
