"""How long what runs at a worker may still run without being held."""

from zinniatrestle.ids import BootSeconds

MILLISECONDS = 1000.0
# A worker's clock may run this much slower than true time.
MIN_CLOCK_RATE = 0.98
# s; timers fire a little late.
TIMER_SLACK_SECONDS = 0.1


class WorkerLease:
    """Track a worker's clock and the latest deadline that may have reached it."""

    def __init__(self):
        self.clock_ms: int | None = None
        self.read_at = BootSeconds(0.0)
        self.granted_until_ms = 0
        self.expires_at = BootSeconds(0.0)

    def observe(self, clock_ms: int, answered_at: BootSeconds):
        """Take a reading of the worker's clock, which may be older than it seems."""
        if self.clock_ms is not None and clock_ms < self.clock_ms:
            return
        self.clock_ms = clock_ms
        self.read_at = answered_at
        self._update_expiry()

    def deadline(self, now: BootSeconds, seconds: float) -> int | None:
        """Return a time on the worker's clock `seconds` ahead, and count it as sent."""
        if self.clock_ms is None:
            return None
        # The clock may have been read up to an answer's travel time before.
        elapsed = (now - self.read_at) * MIN_CLOCK_RATE
        until = int(self.clock_ms + (elapsed + seconds) * MILLISECONDS)
        self.granted_until_ms = max(self.granted_until_ms, until)
        self._update_expiry()
        return until

    def assume_granted(self, now: BootSeconds, seconds: float):
        """Count with leases that someone else granted until now, `seconds` long."""
        self.expires_at = max(
            self.expires_at,
            BootSeconds(now + seconds / MIN_CLOCK_RATE + TIMER_SLACK_SECONDS),
        )

    def expired(self, now: BootSeconds) -> bool:
        """Tell whether nothing that was held can run any more."""
        return now > self.expires_at

    def _update_expiry(self):
        if self.clock_ms is None:
            return
        left = (self.granted_until_ms - self.clock_ms) / MILLISECONDS
        latest = self.read_at + left / MIN_CLOCK_RATE + TIMER_SLACK_SECONDS
        self.expires_at = max(self.expires_at, BootSeconds(latest))
