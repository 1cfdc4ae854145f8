"""Forecast the arrivals of urgent jobs from the recent ones."""

import math
from collections.abc import Iterable
from dataclasses import dataclass
from typing import NamedTuple

from zinniatrestle.ids import ClientAccountId, QueueName
from zinniatrestle.jobs.messages import Step
from zinniatrestle.scheduling.durations import RunningMean
from zinniatrestle.scheduling.messages import ArrivalRecord, ArrivalShapeRecord

# Bounds on the state, which is part of the lease's row.
MAX_PAIRS = 64
MAX_SHAPES = 5
# Bytes of the lease's row for the records of a handover, of which the row may hold
# 49,000, most of them for expiries of leases. Names may take 200 bytes each.
MAX_EXPORTED_BYTES = 6000
# Encoded sizes of a record without names and shapes, and of a shape.
RECORD_BYTES = 60
SHAPE_BYTES = 30
# Intervals between jobs that have to be known before more are expected.
MIN_INTERVALS = 3
# Jobs are no longer expected after this many mean intervals without one. If they arrive
# independently, a pause of that length has a probability of 0.7 %.
MAX_SILENT_INTERVALS = 5.0
# Jobs that arrive together count as at least this many seconds apart.
MIN_INTERVAL_SECONDS = 0.01
# Bound on the ratio of variance and mean of the number of arrivals; it is 1 for
# independent arrivals.
MAX_DISPERSION = 4.0
# Standard deviations of the number of arrivals by which the forecast exceeds its mean.
MARGIN_DEVIATIONS = 1.0
# Records with a larger number, or one that is not finite, are damaged.
MAX_RECORDED = 1e9
# Weight of the newest job in the shares of the shapes.
SHAPE_WEIGHT = 0.05


class ArrivalPair(NamedTuple):
    """Account and queue of an arrival."""

    account: ClientAccountId
    queue: QueueName


@dataclass(frozen=True)
class ExpectedTasks:
    """Tasks of one shape that are expected to arrive; `cpu` is in millicores."""

    pair: ArrivalPair
    gpus: int
    cpu: float
    memory_mb: float
    tasks: float


class ShapeStatistics:
    """Tasks with one number of accelerators: mean values, and share of the steps."""

    def __init__(self):
        self.share = 0.0
        self.cpu = RunningMean()
        self.memory_mb = RunningMean()
        self.tasks = RunningMean()

    def learn(self, shape: Step):
        """Add a step of this shape."""
        self.cpu.add(0 if shape.best_effort else shape.cpu)
        self.memory_mb.add(shape.memory_mb)
        self.tasks.add(shape.count)


class PairStatistics:
    """Intervals between the jobs of one account and queue, and their shapes."""

    def __init__(self):
        self.last_at = float("-inf")
        self.interval = RunningMean()
        self.squared_interval = RunningMean()
        self.steps = 0
        # By the number of accelerators per task.
        self.shapes: dict[int, ShapeStatistics] = {}

    def learn(self, at: float, steps: Iterable[Step]):
        """Add a job that arrived at `at`, with the steps that are ready at once."""
        if math.isfinite(self.last_at):
            seconds = max(0.0, at - self.last_at)
            self.interval.add(seconds)
            self.squared_interval.add(seconds * seconds)
        self.last_at = max(self.last_at, at)
        for shape in steps:
            self._learn_shape(shape)

    def _learn_shape(self, shape: Step):
        self.steps += 1
        weight = max(1 / self.steps, SHAPE_WEIGHT)
        for statistics in self.shapes.values():
            statistics.share *= 1 - weight
        if shape.gpus not in self.shapes and len(self.shapes) == MAX_SHAPES:
            del self.shapes[min(self.shapes, key=lambda gpus: self.shapes[gpus].share)]
        statistics = self.shapes.setdefault(shape.gpus, ShapeStatistics())
        statistics.share += weight
        statistics.learn(shape)

    def expected_jobs(self, now: float, seconds: float) -> float:
        """Return the mean number of jobs that arrive within `seconds`."""
        if self.interval.count < MIN_INTERVALS:
            return 0.0
        interval = max(self.interval.value, MIN_INTERVAL_SECONDS)
        if now - self.last_at > MAX_SILENT_INTERVALS * interval:
            return 0.0
        return seconds / interval

    def dispersion(self) -> float:
        """Return the ratio of variance and mean of the number of arrivals."""
        interval = max(self.interval.value, MIN_INTERVAL_SECONDS)
        variance = self.squared_interval.value - self.interval.value**2
        return min(MAX_DISPERSION, max(0.0, variance) / interval**2)


class ArrivalForecast:
    """Learn the arrivals of urgent jobs, and forecast those of the next seconds.

    All times are in boot seconds.
    """

    def __init__(self):
        self.pairs: dict[ArrivalPair, PairStatistics] = {}
        # Jobs that arrived before are part of the statistics of the predecessor, and
        # are read in any order.
        self.learned_until = float("-inf")

    def learn(self, pair: ArrivalPair, at: float, steps: Iterable[Step]):
        """Add a job that arrived at `at`, with the steps that are ready at once."""
        if at <= self.learned_until:
            return
        if pair not in self.pairs and len(self.pairs) == MAX_PAIRS:
            del self.pairs[min(self.pairs, key=lambda known: self.pairs[known].last_at)]
        self.pairs.setdefault(pair, PairStatistics()).learn(at, steps)

    def expected(self, now: float, seconds: float) -> list[ExpectedTasks]:
        """Return the tasks that are expected to arrive within `seconds`.

        They exceed the mean by the standard deviation of the number of jobs.
        """
        jobs_by_pair: dict[ArrivalPair, float] = {}
        total = variance = 0.0
        for pair, statistics in self.pairs.items():
            jobs = statistics.expected_jobs(now, seconds)
            if not jobs:
                continue
            jobs_by_pair[pair] = jobs
            total += jobs
            variance += jobs * statistics.dispersion()
        if not total:
            return []
        factor = 1 + MARGIN_DEVIATIONS * math.sqrt(variance) / total
        expected = []
        for pair, jobs in jobs_by_pair.items():
            statistics = self.pairs[pair]
            steps_per_job = statistics.steps / (statistics.interval.count + 1)
            for gpus, shape in statistics.shapes.items():
                steps = factor * jobs * steps_per_job * shape.share
                expected.append(
                    ExpectedTasks(
                        pair,
                        gpus,
                        shape.cpu.value,
                        shape.memory_mb.value,
                        steps * shape.tasks.value,
                    )
                )
        return expected

    def export(self, now: float) -> tuple[ArrivalRecord, ...]:
        """Return the statistics for a successor, as far as there is room for them.

        Pairs with the most recent arrivals come first.
        """
        records = []
        size = 0
        recent = sorted(self.pairs.items(), key=lambda known: -known[1].last_at)
        for pair, statistics in recent:
            size += RECORD_BYTES + SHAPE_BYTES * len(statistics.shapes)
            size += len(pair.account.encode()) + len(pair.queue.encode())
            if size > MAX_EXPORTED_BYTES:
                break
            shapes = tuple(
                ArrivalShapeRecord(
                    gpus,
                    round(shape.share, 3),
                    round(shape.cpu.value),
                    round(shape.memory_mb.value),
                    round(shape.tasks.value, 1),
                )
                for gpus, shape in statistics.shapes.items()
            )
            records.append(
                ArrivalRecord(
                    pair.account,
                    pair.queue,
                    statistics.interval.count,
                    statistics.steps,
                    round(statistics.interval.value, 3),
                    round(statistics.squared_interval.value, 3),
                    round(max(0.0, now - statistics.last_at), 1),
                    shapes,
                )
            )
        return tuple(records)

    def restore(self, records: Iterable[ArrivalRecord], now: float):
        """Restore the statistics that a predecessor exported.

        Jobs that arrived before `now` are not learned from any more.
        """
        self.learned_until = now
        for record in records:
            if len(self.pairs) == MAX_PAIRS:
                break
            if not _is_valid(record):
                continue
            statistics = PairStatistics()
            statistics.last_at = now - record.silent_seconds
            statistics.interval.restore(record.intervals, record.interval)
            statistics.squared_interval.restore(
                record.intervals, record.squared_interval
            )
            statistics.steps = record.steps
            for shape in record.shapes[:MAX_SHAPES]:
                restored = ShapeStatistics()
                restored.share = shape.share
                restored.cpu.restore(record.steps, shape.cpu)
                restored.memory_mb.restore(record.steps, shape.memory_mb)
                restored.tasks.restore(record.steps, shape.tasks)
                statistics.shapes[shape.gpus] = restored
            self.pairs[ArrivalPair(record.account, record.queue)] = statistics


def _is_valid(record: ArrivalRecord) -> bool:
    """Return whether the numbers of a record are in their range."""
    numbers = [
        record.intervals,
        record.steps,
        record.interval,
        record.squared_interval,
        record.silent_seconds,
    ]
    for shape in record.shapes:
        numbers += [shape.gpus, shape.share, shape.cpu, shape.memory_mb, shape.tasks]
    return all(0 <= number <= MAX_RECORDED for number in numbers)
