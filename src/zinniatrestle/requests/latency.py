"""Latencies of a kind of request, as seen by one host."""

from hdrh.histogram import HdrHistogram

LOWEST_US = 1
HIGHEST_US = 120_000_000
DIGITS = 2
ENOUGH = 50
HEDGE_PERCENTILE = 95.0
TYPICAL_PERCENTILE = 50.0
SHORTEST_PATIENCE_SECONDS = 0.01
US = 1_000_000


class LatencyRecord:
    """Keep a histogram of latencies and tell when an answer is late."""

    def __init__(self):
        self.histogram = HdrHistogram(LOWEST_US, HIGHEST_US, DIGITS)
        self.count = 0
        self.late_after: float | None = None
        self.median: float | None = None

    def add(self, seconds: float):
        """Note one latency."""
        microseconds = min(HIGHEST_US, max(LOWEST_US, int(seconds * US)))
        self.histogram.record_value(microseconds)
        self.count += 1
        # A percentile costs a walk over the histogram, so it is kept.
        if self.count % ENOUGH == 0:
            self.late_after = self.percentile(HEDGE_PERCENTILE)
            self.median = self.percentile(TYPICAL_PERCENTILE)

    def percentile(self, percent: float) -> float:
        """Return a percentile in seconds."""
        return self.histogram.get_value_at_percentile(percent) / US

    def hedge_delay(self) -> float | None:
        """Return how long to wait before a hedge, or None while too little is known."""
        if self.late_after is None:
            return None
        return max(SHORTEST_PATIENCE_SECONDS, self.late_after)
