"""Wall time, kept behind an abstract base so that tests can run in virtual time."""

import asyncio
import time
from abc import ABC, abstractmethod

from zinniatrestle.ids import WallSeconds


class Clock(ABC):
    """Tell wall time, for instants that several machines compare."""

    @abstractmethod
    def wall(self) -> WallSeconds:
        """Return seconds since the epoch."""


class SystemClock(Clock):
    """Tell the machine's own wall time."""

    def wall(self) -> WallSeconds:
        """Return seconds since the epoch."""
        return WallSeconds(time.time())


class LoopClock(Clock):
    """Tell wall time that advances with the event loop, real or virtual."""

    def __init__(self, origin: float = 1_800_000_000.0, offset: float = 0.0):
        self.origin = origin
        self.offset = offset

    def wall(self) -> WallSeconds:
        """Return the loop's time counted from `origin`, in seconds."""
        elapsed = asyncio.get_running_loop().time()
        return WallSeconds(self.origin + self.offset + elapsed)


def monotonic() -> float:
    """Return the event loop's time in seconds, for durations on one host."""
    return asyncio.get_running_loop().time()
