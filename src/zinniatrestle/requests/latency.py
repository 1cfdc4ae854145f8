"""Latency histogram of a kind of request, as measured by one host."""

from hdrh.histogram import HdrHistogram

LOWEST_US = 1
HIGHEST_US = 120_000_000
SIGNIFICANT_DIGITS = 2
# The cached percentiles are computed again after each REFRESH_COUNT latencies; until
# the first computation requests are not hedged.
REFRESH_COUNT = 50
HEDGE_PERCENTILE = 95.0
MEDIAN_PERCENTILE = 50.0
MIN_HEDGE_DELAY_SECONDS = 0.01
US_PER_SECOND = 1_000_000


class LatencyRecord:
    """Histogram of latencies with the hedge delay derived from it.

    `hedge_percentile` and `median` are in seconds and None until enough latencies
    are recorded.
    """

    def __init__(self):
        self.histogram = HdrHistogram(LOWEST_US, HIGHEST_US, SIGNIFICANT_DIGITS)
        self.count = 0
        self.hedge_percentile: float | None = None
        self.median: float | None = None

    def add(self, seconds: float):
        """Record one latency in seconds."""
        microseconds = min(HIGHEST_US, max(LOWEST_US, int(seconds * US_PER_SECOND)))
        self.histogram.record_value(microseconds)
        self.count += 1
        # Computing a percentile walks over the whole histogram, so it is cached.
        if self.count % REFRESH_COUNT == 0:
            self.hedge_percentile = self.percentile(HEDGE_PERCENTILE)
            self.median = self.percentile(MEDIAN_PERCENTILE)

    def percentile(self, percent: float) -> float:
        """Return a percentile of the latencies in seconds."""
        return self.histogram.get_value_at_percentile(percent) / US_PER_SECOND

    def hedge_delay(self) -> float | None:
        """Return the seconds to wait before hedging, or None with too few latencies."""
        if self.hedge_percentile is None:
            return None
        return max(MIN_HEDGE_DELAY_SECONDS, self.hedge_percentile)
