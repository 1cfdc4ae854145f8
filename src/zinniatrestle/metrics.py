"""Counters, histograms and gauges of a platform host, in the Prometheus text format."""

from collections.abc import Callable

from opentelemetry.exporter.prometheus import PrometheusMetricReader
from opentelemetry.metrics import CallbackOptions, Observation
from opentelemetry.sdk.metrics import MeterProvider
from opentelemetry.sdk.metrics.view import ExplicitBucketHistogramAggregation, View
from prometheus_client import REGISTRY, generate_latest

from zinniatrestle.ingress.listener import ClientListener, IngressCounters

METER_NAME = "zinniatrestle"
# From one network round trip up to the longest job.
BUCKET_BOUNDS_SECONDS = (0.01, 0.03, 0.1, 0.3, 1.0, 3.0, 10.0, 30.0, 100.0)


class Metrics:
    """The metrics of a host; docs/OPERATIONS.md describes each of them."""

    def __init__(self, exported: bool = False):
        readers = [PrometheusMetricReader()] if exported else []
        buckets = ExplicitBucketHistogramAggregation(BUCKET_BOUNDS_SECONDS)
        view = View(instrument_unit="s", aggregation=buckets)
        self.provider = MeterProvider(readers, views=[view], shutdown_on_exit=False)
        meter = self.meter = self.provider.get_meter(METER_NAME)
        self.accepted = meter.create_counter("jobs_accepted", "1")
        self.refused = meter.create_counter("requests_refused", "1")
        self.cancelled = meter.create_counter("jobs_cancelled", "1")
        self.withdrawn = meter.create_counter("jobs_withdrawn", "1")
        self.ended = meter.create_counter("jobs_ended", "1")
        self.starts = meter.create_counter("runs_started", "1")
        self.start_failures = meter.create_counter("runs_not_started", "1")
        self.ends = meter.create_counter("runs_ended", "1")
        self.lost_runs = meter.create_counter("runs_lost", "1")
        self.late_ends = meter.create_counter("late_ends", "1")
        self.preemptions = meter.create_counter("runs_preempted", "1")
        self.gangs_broken = meter.create_counter("gangs_broken", "1")
        self.restarts_delayed = meter.create_counter("restarts_delayed", "1")
        self.jobs_deferred = meter.create_counter("jobs_deferred", "1")
        self.rows_too_large = meter.create_counter("rows_too_large", "1")
        # In core-seconds.
        self.work_lost = meter.create_counter("work_lost", "1")
        self.moves_to_make_room = meter.create_counter("moves_to_make_room", "1")
        self.work_moved = meter.create_counter("work_moved", "1")
        self.quarantines = meter.create_counter("workers_quarantined", "1")
        self.store_time = meter.create_histogram("store_call_time", "s")
        self.waiting = meter.create_histogram("job_waiting_time", "s")
        self.urgent_wait = meter.create_histogram("urgent_wait", "s")
        self.completion = meter.create_histogram("job_completion_time", "s")
        self.acceptance = meter.create_histogram("acceptance_time", "s")
        self.rounds = meter.create_histogram("scheduling_round_time", "s")
        # Average delay of the event loop while this host schedules.
        self.loop_delay = 0.0
        self.add_gauge("event_loop_delay", "s", lambda: self.loop_delay)
        # Waiting steps by reason, and those that wait although there is ample room;
        # counted by the scheduler while it decides.
        self.steps_waiting: dict[str, int] = {}
        self.steps_waiting_despite_room = 0
        meter.create_observable_gauge("steps_waiting", [self._observe_waiting], "1")
        self.add_gauge(
            "steps_waiting_despite_room", "1", lambda: self.steps_waiting_despite_room
        )

        # Capacity held back for urgent jobs; set by the scheduler while it decides.
        self.headroom_workers = 0
        self.headroom_accelerators = 0
        self.add_gauge("headroom_workers", "1", lambda: self.headroom_workers)
        self.add_gauge("headroom_accelerators", "1", lambda: self.headroom_accelerators)
        # Marks of cancelled jobs in the store, as the scheduler has read them last.
        self.withdrawals_stored = 0
        self.add_gauge("withdrawals_stored", "1", lambda: self.withdrawals_stored)
        # Memory of the accepted jobs that the scheduler holds.
        self.work_bytes = 0
        self.add_gauge("work_bytes", "By", lambda: self.work_bytes)
        # Connections of clients, and what was closed or refused of them.
        self.listeners: list[ClientListener] = []
        self.ingress = IngressCounters()
        meter.create_observable_gauge(
            "connections_open", [self._observe_connections], "1"
        )
        meter.create_observable_counter(
            "connections_closed", [self._observe_closed], "1"
        )
        meter.create_observable_counter(
            "calls_refused_at_ingress", [self._observe_refused], "1"
        )
        self.add_gauge(
            "ingress_buffer_bytes",
            "By",
            lambda: sum(listener.budget.bytes for listener in self.listeners),
        )

    def _observe_connections(self, options: CallbackOptions) -> list[Observation]:
        return [
            Observation(len(listener.connections), {"listener": listener.name.value})
            for listener in self.listeners
        ]

    def _observe_closed(self, options: CallbackOptions) -> list[Observation]:
        return [
            Observation(count, {"cause": cause.value})
            for cause, count in self.ingress.closed.items()
        ]

    def _observe_refused(self, options: CallbackOptions) -> list[Observation]:
        return [
            Observation(count, {"cause": cause.value})
            for cause, count in self.ingress.refused.items()
        ]

    def _observe_waiting(self, options: CallbackOptions) -> list[Observation]:
        return [
            Observation(count, {"reason": reason})
            for reason, count in self.steps_waiting.items()
        ]

    def add_gauge(self, name: str, unit: str, read: Callable[[], float]):
        """Register a gauge whose value is read at each collection."""

        def observe_value(options: CallbackOptions) -> list[Observation]:
            return [Observation(read())]

        self.meter.create_observable_gauge(name, [observe_value], unit)

    def text(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return generate_latest(REGISTRY)

    def close(self):
        """Shut down the meter provider."""
        self.provider.shutdown()
