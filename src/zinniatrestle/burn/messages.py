"""Burn counts that hosts exchange, and the report merged from them."""

import msgspec

from zinniatrestle.ids import ClientAccountId, HostId, ServiceName


class WindowCount(msgspec.Struct, frozen=True):
    """Answers to one kind of request in a time window, and those that were good."""

    account: ClientAccountId
    service: ServiceName
    kind: str
    window_seconds: int
    total: int
    good: int


class HostBurn(msgspec.Struct, frozen=True):
    """Counts of one host, and its latencies as encoded HDR histograms.

    The keys of `latencies` have the form `account/service/kind`.
    """

    host: HostId
    counts: list[WindowCount]
    latencies: dict[str, str] = {}


class BurnLine(msgspec.Struct, frozen=True):
    """Burn of one kind of request against its objective.

    `burn_rates` maps each window, such as `300s`, to a burn rate; a rate of 1 uses
    up exactly the error budget. `alert` is `page`, `ticket` or `ok`.
    """

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
    """Report merged from `hosts`; the hosts in `missing` did not answer."""

    lines: list[BurnLine]
    hosts: list[HostId]
    missing: list[HostId]
