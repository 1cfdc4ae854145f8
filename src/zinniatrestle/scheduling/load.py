"""Whether the scheduling host keeps up with its work, and what is done less often."""

import asyncio
from enum import Enum

from zinniatrestle.clock import monotonic
from zinniatrestle.deployment import Bounds
from zinniatrestle.events import Event, EventLog
from zinniatrestle.metrics import Metrics

# Interval at which the delay of the event loop is measured.
SAMPLE_SECONDS = 0.1
# Weight of a new sample in the average delay.
SAMPLE_WEIGHT = 0.15
# Average delays at which overload begins and ends. Orders are repeated after 0.3 s, and
# a lease is renewed each 0.4 s.
OVERLOAD_SECONDS = 0.06
RECOVERED_SECONDS = 0.02
# Long-poll waits of holds, in normal operation and in overload. Workers wait for up to
# 2 s, and a lease outlasts several holds.
HOLD_WAIT_SECONDS = 0.7
OVERLOAD_HOLD_WAIT_SECONDS = 1.9
MAX_HOLD_WAIT_SHARE = 0.25
# Share of the time that rounds may take, so that answers and renewals of leases get the
# rest.
MAX_ROUND_SHARE = 0.25
# Longest pause between two rounds.
MAX_ROUND_PAUSE_SECONDS = 0.4


class LoadState(Enum):
    """Whether the scheduling host keeps up with its work."""

    NORMAL = "normal"
    OVERLOADED = "overloaded"


class LoadMeter:
    """Judge by the delay of the event loop whether this host keeps up."""

    def __init__(self, bounds: Bounds, events: EventLog, metrics: Metrics):
        self.max_hold_wait = bounds.max_hold * MAX_HOLD_WAIT_SHARE
        self.events = events
        self.metrics = metrics
        self.state = LoadState.NORMAL
        # Average time in seconds by which the event loop runs late.
        self.delay = 0.0
        self.round_seconds = 0.0
        self.overloaded_since = 0.0

    @property
    def is_overloaded(self) -> bool:
        """Return whether this host is overloaded."""
        return self.state is LoadState.OVERLOADED

    def hold_wait(self) -> float:
        """Return the long-poll wait of holds in seconds."""
        wait = OVERLOAD_HOLD_WAIT_SECONDS if self.is_overloaded else HOLD_WAIT_SECONDS
        return min(wait, self.max_hold_wait)

    def round_pause(self) -> float:
        """Return the least pause after a round in seconds."""
        pause = self.round_seconds * (1 / MAX_ROUND_SHARE - 1)
        return min(MAX_ROUND_PAUSE_SECONDS, pause)

    def record_round(self, seconds: float):
        """Record how long a round took."""
        self.round_seconds += SAMPLE_WEIGHT * (seconds - self.round_seconds)

    def record_delay(self, delay: float, now: float):
        """Record by how much a timer of the event loop was late."""
        self.delay += SAMPLE_WEIGHT * (delay - self.delay)
        self.metrics.loop_delay = self.delay
        if not self.is_overloaded and self.delay > OVERLOAD_SECONDS:
            self.state = LoadState.OVERLOADED
            self.overloaded_since = now
            self._log(began=True)
        elif self.is_overloaded and self.delay < RECOVERED_SECONDS:
            self.state = LoadState.NORMAL
            self._log(began=False, seconds=round(now - self.overloaded_since, 2))

    def _log(self, **fields):
        self.events.write(
            Event.HOST_OVERLOADED,
            delay=round(self.delay, 3),
            round=round(self.round_seconds, 4),
            **fields,
        )

    async def measure(self):
        """Measure the delay of the event loop until cancelled."""
        while True:
            due_at = monotonic() + SAMPLE_SECONDS
            await asyncio.sleep(SAMPLE_SECONDS)
            now = monotonic()
            self.record_delay(max(0.0, now - due_at), now)
