"""Count all and good answers in time buckets on one host."""

from collections import deque

from hdrh.histogram import HdrHistogram

from zinniatrestle.burn.messages import HostBurn, WindowCount
from zinniatrestle.clock import monotonic
from zinniatrestle.configuration import ConfigurationFollower
from zinniatrestle.configuration.messages import Objective, RequestKind
from zinniatrestle.ids import ClientAccountId, HostId, ServiceName

BUCKET_SECONDS = 60
WINDOWS_SECONDS = (300, 1800, 3600, 21600)
MAX_BUCKETS = WINDOWS_SECONDS[-1] // BUCKET_SECONDS
# Latencies are recorded in units of 0.1 ms, from 0.1 ms to 60 s, with two
# significant digits (an error of at most 1%).
MIN_LATENCY_UNITS = 1
MAX_LATENCY_UNITS = 600_000
SIGNIFICANT_DIGITS = 2
COUNTER_BYTES = 4
LATENCY_UNITS_PER_SECOND = 10_000
# Counts every successful answer as good.
NO_OBJECTIVE = Objective(latency_ms=float("inf"), target=0.0)

SeriesKey = tuple[ClientAccountId, ServiceName, str]


def new_histogram() -> HdrHistogram:
    """Return an empty latency histogram."""
    return HdrHistogram(
        MIN_LATENCY_UNITS, MAX_LATENCY_UNITS, SIGNIFICANT_DIGITS, COUNTER_BYTES
    )


class Bucket:
    """All and good answers in one interval of BUCKET_SECONDS."""

    def __init__(self, number: int):
        self.number = number
        self.total = 0
        self.good = 0


class RequestSeries:
    """Answers to one account's requests of one kind: counts and latencies."""

    def __init__(self):
        self.buckets: deque[Bucket] = deque(maxlen=MAX_BUCKETS)
        self.latencies = new_histogram()

    def add(self, number: int, good: bool, seconds: float):
        """Count one answer in the bucket `number`."""
        if not self.buckets or self.buckets[-1].number != number:
            self.buckets.append(Bucket(number))
        bucket = self.buckets[-1]
        bucket.total += 1
        bucket.good += good
        value = min(
            MAX_LATENCY_UNITS,
            max(MIN_LATENCY_UNITS, int(seconds * LATENCY_UNITS_PER_SECOND)),
        )
        self.latencies.record_value(value)

    def count_window(self, number: int, seconds: int) -> tuple[int, int]:
        """Return the numbers of all and of good answers in the last `seconds`.

        `number` is the current bucket.
        """
        oldest = number - seconds // BUCKET_SECONDS
        total = 0
        good = 0
        for bucket in reversed(self.buckets):
            if bucket.number <= oldest:
                break
            total += bucket.total
            good += bucket.good
        return total, good


class BurnRecorder:
    """Count the answers of one host.

    Only requests permitted by an account's plan are counted, so that clients can't
    add series without bound.
    """

    def __init__(self, host: HostId, follower: ConfigurationFollower):
        self.host = host
        self.follower = follower
        self.series: dict[SeriesKey, RequestSeries] = {}

    def record(
        self,
        account: ClientAccountId,
        service: ServiceName,
        kind: str,
        succeeded: bool,
        seconds: float,
    ):
        """Count an answer; ignores requests that the account's plan does not permit."""
        objective = self._objective(account, service, kind)
        if objective is None:
            return
        key = (account, service, kind)
        if key not in self.series:
            self.series[key] = RequestSeries()
        series = self.series[key]
        good = succeeded and seconds * 1000 <= objective.latency_ms
        series.add(self._current_bucket(), good, seconds)

    def host_burn(self) -> HostBurn:
        """Return this host's counts for all windows, and its latencies."""
        number = self._current_bucket()
        counts = []
        latencies = {}
        for (account, service, kind), series in self.series.items():
            for seconds in WINDOWS_SECONDS:
                total, good = series.count_window(number, seconds)
                counts.append(WindowCount(account, service, kind, seconds, total, good))
            name = f"{account}/{service}/{kind}"
            latencies[name] = series.latencies.encode().decode()
        return HostBurn(self.host, counts, latencies)

    def _current_bucket(self) -> int:
        return int(monotonic() // BUCKET_SECONDS)

    def _objective(
        self, account: ClientAccountId, service: ServiceName, kind: str
    ) -> Objective | None:
        plan = self.follower.state.plans.get(account)
        if plan is None:
            return None
        request_kind = _find_request_kind(plan.kinds, service, kind)
        if request_kind is None:
            return None
        return request_kind.objective or NO_OBJECTIVE


def _find_request_kind(
    kinds: list[RequestKind], service: ServiceName, kind: str
) -> RequestKind | None:
    for entry in kinds:
        if entry.service == service and entry.kind == kind:
            return entry
    return None
