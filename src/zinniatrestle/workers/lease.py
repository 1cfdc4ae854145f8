"""Bounds on how long runs at a worker can continue without a further hold."""

from zinniatrestle.ids import BootSeconds

MS_PER_SECOND = 1000.0
# Least rate of a worker's clock relative to true time.
MIN_CLOCK_RATE = 0.98
# Timers at workers may fire late by up to this time.
TIMER_SLACK_SECONDS = 0.1


class WorkerLease:
    """A worker's clock and the latest deadline that may have reached the worker.

    `expires_at` is the time of this host after which no lease at the worker is valid.
    """

    def __init__(self):
        self.clock_ms: int | None = None
        self.read_at = BootSeconds(0.0)
        self.granted_until_ms = 0
        self.expires_at = BootSeconds(0.0)
        # The expiry allows for leases that another host may have granted.
        self.is_assumed = False

    def observe(self, clock_ms: int, answered_at: BootSeconds):
        """Record a reading of the worker's clock that arrived at `answered_at`.

        The reading is older than `answered_at` by the travel time of the answer.
        """
        if self.clock_ms is not None and clock_ms < self.clock_ms:
            return
        self.clock_ms = clock_ms
        self.read_at = answered_at
        self._update_expiry()

    def deadline(self, now: BootSeconds, seconds: float) -> int | None:
        """Return a deadline `seconds` ahead on the worker's clock, recorded as sent.

        Return None while the worker's clock is unknown.
        """
        if self.clock_ms is None:
            return None
        # The clock may have been read earlier, by the travel time of the answer.
        elapsed = (now - self.read_at) * MIN_CLOCK_RATE
        until = int(self.clock_ms + (elapsed + seconds) * MS_PER_SECOND)
        self.granted_until_ms = max(self.granted_until_ms, until)
        self._update_expiry()
        return until

    def latest_at(self, clock_ms: int) -> BootSeconds | None:
        """Return the latest time at which the worker's clock reads `clock_ms`.

        Return None while that clock is unknown.
        """
        if self.clock_ms is None:
            return None
        remaining = (clock_ms - self.clock_ms) / MS_PER_SECOND
        return BootSeconds(self.read_at + remaining / MIN_CLOCK_RATE)

    def assume_granted(self, now: BootSeconds, seconds: float):
        """Allow for leases of `seconds` that another host may have granted by now."""
        self.is_assumed = True
        self.expires_at = max(
            self.expires_at,
            BootSeconds(now + seconds / MIN_CLOCK_RATE + TIMER_SLACK_SECONDS),
        )

    def inherit(self, former: "WorkerLease"):
        """Allow for the leases at an instance whose runs may go on in this one."""
        self.expires_at = max(self.expires_at, former.expires_at)
        self.is_assumed = former.is_assumed

    def expired(self, now: BootSeconds) -> bool:
        """Return whether all leases at the worker have certainly expired."""
        return now > self.expires_at

    def _update_expiry(self):
        latest = self.latest_at(self.granted_until_ms)
        if latest is None:
            return
        self.expires_at = max(
            self.expires_at, BootSeconds(latest + TIMER_SLACK_SECONDS)
        )
