"""What hosts tell each other about the answers they gave."""

import msgspec

from zinniatrestle.ids import ClientAccountId, HostId, ServiceName


class WindowCount(msgspec.Struct, frozen=True):
    """Answers of one kind within one window, and how many met the objective."""

    account: ClientAccountId
    service: ServiceName
    kind: str
    window_seconds: int
    total: int
    good: int


class HostBurn(msgspec.Struct, frozen=True):
    """One host's counts, and its latencies as encoded histograms."""

    host: HostId
    counts: list[WindowCount]
    latencies: dict[str, str] = {}


class BurnLine(msgspec.Struct, frozen=True):
    """One line of the report: burn rate 1 spends the error budget exactly."""

    account: ClientAccountId
    service: ServiceName
    kind: str
    latency_ms: float
    target: float
    burn_rates: dict[str, float]
    answers: int
    p50_ms: float
    p99_ms: float
    alert: str


class BurnReport(msgspec.Struct, frozen=True):
    """The merged report, with the hosts that were not heard from."""

    lines: list[BurnLine]
    hosts: list[HostId]
    missing: list[HostId]
