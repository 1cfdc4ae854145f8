"""Wall time, kept behind an abstract base so that tests can run in virtual time."""

import asyncio
import time
from abc import ABC, abstractmethod

from zinniatrestle.ids import BootSeconds, WallSeconds


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


async def wait_for_event(event: asyncio.Event, seconds: float) -> bool:
    """Wait for an event for some seconds; tell whether it came.

    `asyncio.wait_for` is not used, since up to Python 3.11 it loses a cancellation
    that comes together with the event.
    """
    try:
        async with asyncio.timeout(seconds):
            await event.wait()
    except TimeoutError:
        return False
    return True


def monotonic() -> float:
    """Return the event loop's time in seconds, for durations on one host."""
    return asyncio.get_running_loop().time()


def read_boot_clock() -> float:
    """Read the clock that also counts while the machine is suspended, in seconds."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def read_wall_clock() -> float:
    """Read the time of day, in seconds since the epoch."""
    return time.time()


def boot_time() -> BootSeconds:
    """Return seconds on the clock that also counts while the machine is suspended."""
    return BootSeconds(read_boot_clock())


def wall_time() -> WallSeconds:
    """Return the time of day, in seconds since the epoch."""
    return WallSeconds(read_wall_clock())
