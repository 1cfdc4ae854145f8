"""The store's clock, the one that all hosts share."""

from zinniatrestle.ids import BootSeconds, StoreMilliseconds

MILLISECONDS = 1000.0


class StoreClock:
    """Bound the store's present time by what its answers said."""

    def __init__(self):
        self.now = StoreMilliseconds(0)
        self.sent_at = BootSeconds(0.0)
        self.answered_at = BootSeconds(0.0)

    def observe(
        self, now: StoreMilliseconds, sent_at: BootSeconds, answered_at: BootSeconds
    ):
        """Take the time that an answer carried."""
        if sent_at < self.sent_at:
            return
        self.now = now
        self.sent_at = sent_at
        self.answered_at = answered_at

    def earliest(self, at: BootSeconds) -> float:
        """Return a time in milliseconds that the store has reached by `at`."""
        return self.now + (at - self.answered_at) * MILLISECONDS

    def latest(self, at: BootSeconds) -> float:
        """Return a time in milliseconds that the store has not passed at `at`."""
        return self.now + (at - self.sent_at) * MILLISECONDS
