"""Merge the counts of all hosts into a report of burn rates."""

from collections import Counter

from hdrh.histogram import HdrHistogram

from zinniatrestle.burn.messages import BurnLine, BurnReport, HostBurn
from zinniatrestle.burn.state import (
    LATENCY_UNITS_PER_SECOND,
    WINDOWS_SECONDS,
    SeriesKey,
    new_histogram,
)
from zinniatrestle.configuration import ConfigurationState
from zinniatrestle.configuration.messages import RequestKind
from zinniatrestle.ids import ClientAccountId, HostId

# Multi-window alerts: an alert needs the burn rate in both of its windows.
PAGE_WINDOWS_SECONDS = (300, 3600)
PAGE_BURN_RATE = 14.4
TICKET_WINDOWS_SECONDS = (1800, 21600)
TICKET_BURN_RATE = 6.0
LATENCY_UNITS_PER_MS = LATENCY_UNITS_PER_SECOND / 1000


def merge(
    state: ConfigurationState, burns: list[HostBurn], missing: list[HostId]
) -> BurnReport:
    """Return the report over `burns`; `missing` hosts are only listed."""
    total_counts: Counter[tuple[SeriesKey, int]] = Counter()
    good_counts: Counter[tuple[SeriesKey, int]] = Counter()
    for burn in burns:
        for count in burn.counts:
            series = (count.account, count.service, count.kind)
            total_counts[(series, count.window_seconds)] += count.total
            good_counts[(series, count.window_seconds)] += count.good
    lines = []
    for account, plan in state.plans.items():
        for kind in plan.kinds:
            if kind.objective is None:
                continue
            lines.append(_report_line(account, kind, total_counts, good_counts, burns))
    return BurnReport(lines, [burn.host for burn in burns], missing)


def burn_rate(total: int, good: int, target: float) -> float:
    """Return the share of bad answers divided by the share that `target` allows."""
    if total == 0:
        return 0.0
    bad_share = (total - good) / total
    return bad_share / max(1e-9, 1.0 - target)


def _report_line(
    account: ClientAccountId,
    kind: RequestKind,
    total_counts: Counter,
    good_counts: Counter,
    burns: list[HostBurn],
) -> BurnLine:
    series = (account, kind.service, kind.kind)
    objective = kind.objective
    rates = {}
    for window in WINDOWS_SECONDS:
        total = total_counts[(series, window)]
        good = good_counts[(series, window)]
        rates[window] = burn_rate(total, good, objective.target)
    latencies = _merged_latencies(f"{account}/{kind.service}/{kind.kind}", burns)
    return BurnLine(
        account=account,
        service=kind.service,
        kind=kind.kind,
        latency_ms=objective.latency_ms,
        target=objective.target,
        burn_rates={f"{window}s": round(rate, 3) for window, rate in rates.items()},
        answers=total_counts[(series, WINDOWS_SECONDS[-1])],
        p50_ms=latencies.get_value_at_percentile(50) / LATENCY_UNITS_PER_MS,
        p99_ms=latencies.get_value_at_percentile(99) / LATENCY_UNITS_PER_MS,
        alert=_alert(rates),
    )


def _alert(rates: dict[int, float]) -> str:
    if all(rates[window] >= PAGE_BURN_RATE for window in PAGE_WINDOWS_SECONDS):
        return "page"
    if all(rates[window] >= TICKET_BURN_RATE for window in TICKET_WINDOWS_SECONDS):
        return "ticket"
    return "ok"


def _merged_latencies(name: str, burns: list[HostBurn]) -> HdrHistogram:
    merged = new_histogram()
    for burn in burns:
        encoded = burn.latencies.get(name)
        if encoded is not None:
            merged.decode_and_add(encoded)
    return merged
