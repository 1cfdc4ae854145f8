"""Seeded arrivals of jobs under several patterns of load and faults."""

import random
from dataclasses import dataclass
from enum import Enum
from typing import NamedTuple

from zinniatrestle.jobs import Step
from zinniatrestle.scheduling.state import ACCELERATOR_MILLICORES, MILLICORES_PER_CORE
from zinniatrestle.standins.model import step


class Pattern(Enum):
    """The load or fault that a workload adds to the usual arrivals."""

    CALM = "calm"
    URGENT_BURST = "urgent-burst"
    WIDE_BURST = "wide-burst"
    FAILING_WORKERS = "failing-workers"
    HANGING_WORKERS = "hanging-workers"
    SLOW_WORKERS = "slow-workers"
    HOPELESS_JOBS = "hopeless-jobs"


class Size(Enum):
    """The size of the deployment."""

    SMALL = "small"
    LARGE = "large"


class JobKind(NamedTuple):
    """A kind of job; rates per second for the whole fleet, times in seconds.

    `width` is the mean number of tasks and `widest` the maximum. `spread` and
    `estimate_error` are the largest relative deviations of the run time from `seconds`
    and of the estimate from the run time. `rack_bound` is a probability. `cpu` is in
    thousandths of a core. `worth` and `late_worth` are what callers gain from a job of
    the mean size.
    """

    queue: str
    rate: float
    width: float
    widest: int
    seconds: float
    spread: float
    cpu: int
    gpus: tuple[int, ...]
    gang: bool
    rack_bound: float
    estimate_error: float
    worth: float
    late_worth: float

    @property
    def mean_work(self) -> float:
        """Return the core-seconds of a job of the mean size."""
        gpus = sum(self.gpus) / len(self.gpus)
        cores = (self.cpu + gpus * ACCELERATOR_MILLICORES) / MILLICORES_PER_CORE
        return cores * self.seconds * self.width


class FleetPlan(NamedTuple):
    """The number of workers and of workers to a rack, the jobs and the speeds."""

    workers: int
    rack: int
    kinds: tuple[JobKind, ...]
    speeds: tuple[float, ...] = (1.0,)


WORKER_GPUS = 8
# Accelerators of a task, drawn uniformly, so 8 is twice as likely.
ANY_GPUS = (1, 2, 4, 8, 8)
# The job mix that users described: quick checks (urgent), wide and long builds (usual)
# and reports of many tasks (patient).
FLEETS = {
    Size.SMALL: FleetPlan(
        24,
        8,
        (
            JobKind(
                "urgent", 0.8, 3.0, 12, 2.5, 0.5, 3700, ANY_GPUS, True, 0.8, 0.5, 4, 0.8
            ),
            JobKind(
                "usual", 0.22, 5, 16, 11.0, 0.3, 13000, ANY_GPUS, True, 0.6, 0.9, 3, 0.9
            ),
            JobKind(
                "patient", 0.2, 14, 60, 9.5, 0.3, 2800, (1,), False, 0.0, 0.2, 1, 0.3
            ),
        ),
    ),
    Size.LARGE: FleetPlan(
        176,
        12,
        (
            JobKind(
                "urgent", 3.8, 5.0, 32, 2.5, 0.5, 3700, ANY_GPUS, True, 0.8, 0.5, 4, 0.8
            ),
            JobKind(
                "usual", 0.7, 13, 78, 11.0, 0.3, 13000, ANY_GPUS, True, 0.6, 0.9, 3, 0.9
            ),
            JobKind(
                "patient", 0.7, 39, 230, 9.5, 0.3, 2800, (1,), False, 0.0, 0.2, 1, 0.3
            ),
        ),
        speeds=(0.8, 1.0, 1.25),
    ),
}
# The factor on the rate of a kind in a burst, and its start and end.
BURST_FACTOR = 2.5
BURST_SECONDS = (8.0, 14.0)
# The share of jobs that fail in every attempt, and the failures they are given, which
# exceed the attempts of all queues.
HOPELESS_SHARE = 0.15
HOPELESS_FAILURES = 99


class Arrival(NamedTuple):
    """A job that a caller submits; times in seconds."""

    at: float
    queue: str
    steps: tuple[Step, ...]
    seconds: float
    failures: int

    @property
    def work(self) -> float:
        """Return the core-seconds of all its tasks."""
        return (
            sum(cores_per_task(shape) * shape.count for shape in self.steps)
            * self.seconds
        )


def cores_per_task(shape: Step) -> float:
    """Return the cores of a task, with its accelerators converted to cores."""
    return (shape.cpu + shape.gpus * ACCELERATOR_MILLICORES) / MILLICORES_PER_CORE


class JobValue(NamedTuple):
    """What callers gain from a job that completes on time or late."""

    on_time: float
    late: float


# The share of a job's worth that does not depend on its size, and the limit of its
# worth relative to that of its kind, both as users value jobs.
FIXED_WORTH_SHARE = 0.3
MAX_WORTH_FACTOR = 4.0


@dataclass(frozen=True)
class Workload:
    """Arrivals over `seconds` under a pattern, drawn from a seed."""

    pattern: Pattern = Pattern.CALM
    seed: int = 1
    seconds: float = 34.0
    load: float = 1.0
    size: Size = Size.SMALL

    @property
    def fleet(self) -> FleetPlan:
        """Return the fleet and the kinds of jobs."""
        return FLEETS[self.size]

    def value(self, arrival: "Arrival") -> JobValue:
        """Return what callers gain from a job."""
        kind = next(k for k in self.fleet.kinds if k.queue == arrival.queue)
        size = arrival.work / kind.mean_work
        factor = min(
            MAX_WORTH_FACTOR, FIXED_WORTH_SHARE + (1 - FIXED_WORTH_SHARE) * size
        )
        return JobValue(kind.worth * factor, kind.late_worth * factor)

    def arrivals(self) -> list[Arrival]:
        """Return all arrivals, sorted by time."""
        rng = random.Random(f"{self.pattern.value}-{self.seed}")
        arrivals = []
        for kind in self.fleet.kinds:
            arrivals.extend(self._arrivals_of_kind(kind, rng))
        arrivals.sort(key=lambda arrival: arrival.at)
        return arrivals

    def _arrivals_of_kind(self, kind: JobKind, rng: random.Random) -> list[Arrival]:
        arrivals = []
        at = 0.0
        while True:
            at += rng.expovariate(kind.rate * self.load * self._burst_factor(kind, at))
            if at >= self.seconds:
                return arrivals
            arrivals.append(self._arrival(kind, at, rng))

    def _burst_factor(self, kind: JobKind, at: float) -> float:
        bursts = {Pattern.URGENT_BURST: "urgent", Pattern.WIDE_BURST: "usual"}
        if bursts.get(self.pattern) != kind.queue:
            return 1.0
        start, end = BURST_SECONDS
        return BURST_FACTOR if start <= at < end else 1.0

    def _arrival(self, kind: JobKind, at: float, rng: random.Random) -> Arrival:
        width = min(kind.widest, max(1, round(rng.expovariate(1 / kind.width))))
        seconds = kind.seconds * rng.uniform(1 - kind.spread, 1 + kind.spread)
        estimate_factor = rng.uniform(1 - kind.estimate_error, 1 + kind.estimate_error)
        gpus = rng.choice(kind.gpus)
        # A job that exceeds the accelerators of a rack can't be bound to one.
        fits_rack = width * gpus <= self.fleet.rack * WORKER_GPUS
        shape = step(
            width,
            cpu=kind.cpu,
            gpus=gpus,
            gang=kind.gang,
            rack_bound=rng.random() < kind.rack_bound and fits_rack,
            seconds=seconds * estimate_factor,
            checkpointing=rng.random() < 0.45,
        )
        failures = 0
        if self.pattern is Pattern.HOPELESS_JOBS and rng.random() < HOPELESS_SHARE:
            failures = HOPELESS_FAILURES
        return Arrival(at, kind.queue, (shape,), seconds, failures)
