"""Clocks: an abstract wall clock, replaceable in tests, and the system's clocks."""

import asyncio
import time
from abc import ABC, abstractmethod

from zinniatrestle.ids import BootSeconds, WallSeconds


class Clock(ABC):
    """Source of wall time, for timestamps that several machines compare."""

    @abstractmethod
    def wall(self) -> WallSeconds:
        """Return seconds since the Unix epoch."""


class SystemClock(Clock):
    """The wall clock of this machine."""

    def wall(self) -> WallSeconds:
        """Return seconds since the Unix epoch."""
        return WallSeconds(time.time())


class LoopClock(Clock):
    """Wall clock that advances with the event loop, whether real or virtual.

    `origin` is the wall time at loop time 0; tests change `offset` to make the clock
    jump. Both are in seconds.
    """

    def __init__(self, origin: float = 1_800_000_000.0, offset: float = 0.0):
        self.origin = origin
        self.offset = offset

    def wall(self) -> WallSeconds:
        """Return the loop's time plus `origin` and `offset`, in seconds."""
        elapsed = asyncio.get_running_loop().time()
        return WallSeconds(self.origin + self.offset + elapsed)


async def wait_for_event(event: asyncio.Event, seconds: float) -> bool:
    """Wait for an event with a time-out; return whether it was set.

    `asyncio.wait_for` is not used because, up to Python 3.11, it swallows a
    cancellation that arrives at the same time as the event.
    """
    try:
        async with asyncio.timeout(seconds):
            await event.wait()
    except TimeoutError:
        return False
    return True


def monotonic() -> float:
    """Return the event loop's monotonic time in seconds, for durations on one host."""
    return asyncio.get_running_loop().time()


def read_boot_clock() -> float:
    """Read the monotonic clock that includes time in suspend, in seconds."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def read_wall_clock() -> float:
    """Read the system's wall clock, in seconds since the Unix epoch."""
    return time.time()


def boot_time() -> BootSeconds:
    """Return seconds on the monotonic clock that includes time in suspend."""
    return BootSeconds(read_boot_clock())


def wall_time() -> WallSeconds:
    """Return the system's wall time, in seconds since the Unix epoch."""
    return WallSeconds(read_wall_clock())
