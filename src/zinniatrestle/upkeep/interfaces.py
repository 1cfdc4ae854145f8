"""Abstract base of the status rows of waves."""

from abc import ABC, abstractmethod

from zinniatrestle.rows import Write
from zinniatrestle.upkeep.messages import WaveState


class WaveRows(ABC):
    """Encoder and decoder of the status rows of waves, which operators read."""

    @abstractmethod
    def status(self, wave: int, state: WaveState) -> Write:
        """Return the write of a wave's status row."""

    @abstractmethod
    def decode_status(self, value: bytes) -> WaveState | None:
        """Return the state in a status row, or None if it can't be decoded."""
