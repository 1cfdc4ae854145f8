"""OpenTelemetry metrics of an entry host."""

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
    """Export a host's metrics to an in-process reader, and over OTLP if configured."""

    def __init__(self, host: EntryHost):
        self.host = host
        self.reader = InMemoryMetricReader()
        readers: list[MetricReader] = [self.reader]
        if host.settings.otlp_endpoint:
            readers.append(_otlp_reader(host.settings.otlp_endpoint))
        otel_resource = Resource(
            {"service.name": METER_NAME, "host.name": host.settings.host}
        )
        self.provider = MeterProvider(readers, otel_resource)
        meter = self.provider.get_meter(METER_NAME)
        for name, unit, read in (
            ("requests.in_progress", "1", lambda: host.in_progress.total),
            ("requests.retries", "1", lambda: host.sender.retries),
            ("requests.hedges", "1", lambda: host.sender.hedges),
            ("claims.flushes", "1", lambda: host.claims.flushes),
            ("claims.written", "1", lambda: host.claims.written),
            ("configuration.revision", "1", lambda: host.follower.state.revision),
            ("peers.bytes", "By", self.peer_bytes),
            (
                "peers.handshakes_evicted",
                "1",
                lambda: host.mesh.server.evicted_handshakes,
            ),
            ("peers.cross_region", "By", lambda: host.mesh.cross_region_bytes),
            ("gangs.running", "1", lambda: len(host.scheduler.gang_table.holding())),
            ("gangs.queued", "1", lambda: len(host.scheduler.gang_table.queued())),
            ("connections.open", "1", lambda: len(host.listener.connections)),
            (
                "connections.closed",
                "1",
                lambda: host.listener.counters.closed.total(),
            ),
            (
                "calls.refused_at_ingress",
                "1",
                lambda: host.listener.counters.refused.total(),
            ),
            ("ingress.buffer_bytes", "By", lambda: host.listener.budget.bytes),
            ("process.memory", "By", resident_bytes),
            ("process.cpu", "s", time.process_time),
        ):
            meter.create_observable_gauge(name, [_gauge_callback(read)], unit)

    def values(self) -> dict[str, float]:
        """Return the current values of all metrics by name."""
        values_by_name: dict[str, float] = {}
        data = self.reader.get_metrics_data()
        if data is None:
            return values_by_name
        for resource_metrics in data.resource_metrics:
            for scope in resource_metrics.scope_metrics:
                for metric in scope.metrics:
                    for point in metric.data.data_points:
                        values_by_name[metric.name] = point.value
        return values_by_name

    def peer_bytes(self) -> int:
        """Return the number of bytes exchanged with peers."""
        mesh = self.host.mesh
        return mesh.server.bytes + sum(link.bytes for link in mesh.links.values())

    def close(self):
        """Flush pending exports and shut down the meter provider."""
        self.provider.shutdown()


def resident_bytes() -> int:
    """Return the process's resident memory in bytes."""
    if not sys.platform.startswith("linux"):
        return resource.getrusage(resource.RUSAGE_SELF).ru_maxrss * KIB
    with open("/proc/self/statm") as file:
        return int(file.read().split()[1]) * PAGE_BYTES


def _gauge_callback(read):
    def observe(options: CallbackOptions) -> list[Observation]:
        return [Observation(read())]

    return observe


def _otlp_reader(endpoint: str) -> MetricReader:
    # Imported lazily, because the exporter takes 5 MB.
    try:
        from opentelemetry.exporter.otlp.proto.http.metric_exporter import (
            OTLPMetricExporter,
        )
    except ImportError as error:
        raise SettingsError(
            "Install the extra zinniatrestle[otlp] to use --otlp-endpoint."
        ) from error
    return PeriodicExportingMetricReader(OTLPMetricExporter(endpoint=endpoint))
