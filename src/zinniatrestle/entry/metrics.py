"""Metrics of an entry host by OpenTelemetry."""

import resource
import sys
import time

from opentelemetry.metrics import CallbackOptions, Observation
from opentelemetry.sdk.metrics import MeterProvider
from opentelemetry.sdk.metrics.export import (
    InMemoryMetricReader,
    MetricReader,
    PeriodicExportingMetricReader,
)
from opentelemetry.sdk.resources import Resource

from zinniatrestle.entry.host import EntryHost
from zinniatrestle.errors import SettingsError

KIB = 1024
METER_NAME = "zinniatrestle"
PAGE_BYTES = resource.getpagesize()


class HostMetrics:
    """Offer a host's counts through an in-process reader, and OTLP if set."""

    def __init__(self, host: EntryHost):
        self.host = host
        self.reader = InMemoryMetricReader()
        readers: list[MetricReader] = [self.reader]
        if host.settings.otlp_endpoint:
            readers.append(_otlp_reader(host.settings.otlp_endpoint))
        about = Resource({"service.name": METER_NAME, "host.name": host.settings.host})
        self.provider = MeterProvider(readers, about)
        meter = self.provider.get_meter(METER_NAME)
        for name, unit, read in (
            ("requests.in_progress", "1", lambda: host.in_progress.total),
            ("requests.retries", "1", lambda: host.sender.retries),
            ("requests.hedges", "1", lambda: host.sender.hedges),
            ("claims.flushes", "1", lambda: host.claims.flushes),
            ("claims.written", "1", lambda: host.claims.written),
            ("configuration.revision", "1", lambda: host.follower.state.revision),
            ("peers.bytes", "By", self.peer_bytes),
            ("peers.cross_region", "By", lambda: host.mesh.cross_region_bytes),
            ("gangs.running", "1", lambda: len(host.scheduler.table.holding())),
            ("gangs.queued", "1", lambda: len(host.scheduler.table.queued())),
            ("process.memory", "By", resident_bytes),
            ("process.cpu", "s", time.process_time),
        ):
            meter.create_observable_gauge(name, [_observer(read)], unit)

    def values(self) -> dict[str, float]:
        """Return all metrics by name."""
        found: dict[str, float] = {}
        data = self.reader.get_metrics_data()
        if data is None:
            return found
        for resource_metrics in data.resource_metrics:
            for scope in resource_metrics.scope_metrics:
                for metric in scope.metrics:
                    for point in metric.data.data_points:
                        found[metric.name] = point.value
        return found

    def peer_bytes(self) -> int:
        """Return the bytes that went between this host and its peers."""
        mesh = self.host.mesh
        return mesh.server.bytes + sum(link.bytes for link in mesh.links.values())

    def close(self):
        """Send what is left and end the exporters."""
        self.provider.shutdown()


def resident_bytes() -> int:
    """Return the process's resident memory in bytes."""
    if not sys.platform.startswith("linux"):
        return resource.getrusage(resource.RUSAGE_SELF).ru_maxrss * KIB
    with open("/proc/self/statm") as file:
        return int(file.read().split()[1]) * PAGE_BYTES


def _observer(read):
    def observe(options: CallbackOptions) -> list[Observation]:
        return [Observation(read())]

    return observe


def _otlp_reader(endpoint: str) -> MetricReader:
    # Imported only where used, since the exporter takes 5 MB.
    try:
        from opentelemetry.exporter.otlp.proto.http.metric_exporter import (
            OTLPMetricExporter,
        )
    except ImportError as error:
        raise SettingsError(
            "Install the extra zinniatrestle[otlp] to use --otlp-endpoint."
        ) from error
    return PeriodicExportingMetricReader(OTLPMetricExporter(endpoint=endpoint))
