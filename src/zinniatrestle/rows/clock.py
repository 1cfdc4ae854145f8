"""Bounds on the store's clock, which all hosts use as their common time."""

from zinniatrestle.ids import BootSeconds, StoreMilliseconds

MS_PER_SECOND = 1000.0


class StoreClock:
    """Lower and upper bounds on the store's current time, from its answers."""

    def __init__(self):
        self.now = StoreMilliseconds(0)
        self.sent_at = BootSeconds(0.0)
        self.answered_at = BootSeconds(0.0)

    def observe(
        self, now: StoreMilliseconds, sent_at: BootSeconds, answered_at: BootSeconds
    ):
        """Update the bounds from the time in an answer; stale answers are ignored."""
        if sent_at < self.sent_at:
            return
        self.now = now
        self.sent_at = sent_at
        self.answered_at = answered_at

    def earliest(self, at: BootSeconds) -> float:
        """Return a lower bound in milliseconds on the store's time at `at`."""
        return self.now + (at - self.answered_at) * MS_PER_SECOND

    def latest(self, at: BootSeconds) -> float:
        """Return an upper bound in milliseconds on the store's time at `at`."""
        return self.now + (at - self.sent_at) * MS_PER_SECOND
