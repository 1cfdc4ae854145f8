"""Abstract base of the calls about machines."""

from abc import ABC, abstractmethod

from zinniatrestle.ids import Generation, MachineId
from zinniatrestle.machines.messages import Machine


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
