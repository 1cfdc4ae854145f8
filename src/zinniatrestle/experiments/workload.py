"""Arrivals of jobs by pattern, from a seed."""

import random
from dataclasses import dataclass
from enum import Enum
from typing import NamedTuple

from zinniatrestle.jobs import Step
from zinniatrestle.standins.model import step


class Pattern(Enum):
    """What makes a day heavy."""

    CALM = "calm"
    URGENT_BURST = "urgent-burst"
    WIDE_BURST = "wide-burst"
    FAILING_WORKERS = "failing-workers"
    HANGING_WORKERS = "hanging-workers"
    SLOW_WORKERS = "slow-workers"
    HOPELESS_JOBS = "hopeless-jobs"


class Kind(NamedTuple):
    """A kind of job; rates a second for 24 workers, times in seconds."""

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
    estimate_off: float


# The mix of the users' letter: quick checks, wide long builds, reports of many tasks.
KINDS = (
    Kind("urgent", 0.8, 3.0, 12, 2.5, 0.5, 3700, (1, 2, 4, 8, 8), True, 0.8, 0.5),
    Kind("usual", 0.22, 5.0, 16, 11.0, 0.3, 13000, (1, 2, 4, 8, 8), True, 0.6, 0.9),
    Kind("patient", 0.2, 14.0, 60, 9.5, 0.3, 2800, (1,), False, 0.0, 0.2),
)
# How much more of a kind arrives in a burst, and from when to when.
BURST_FACTOR = 2.5
BURST_SECONDS = (8.0, 14.0)
HOPELESS_SHARE = 0.15
HOPELESS_FAILURES = 99


class Arrival(NamedTuple):
    """A job that a caller hands in."""

    at: float
    queue: str
    steps: tuple[Step, ...]
    seconds: float
    failures: int


@dataclass(frozen=True)
class Workload:
    """A seeded day of `seconds` under a pattern."""

    pattern: Pattern = Pattern.CALM
    seed: int = 1
    seconds: float = 34.0
    load: float = 1.0

    def arrivals(self) -> list[Arrival]:
        """Return all arrivals in order."""
        rng = random.Random(f"{self.pattern.value}-{self.seed}")
        found = []
        for kind in KINDS:
            found.extend(self._of_kind(kind, rng))
        found.sort(key=lambda arrival: arrival.at)
        return found

    def _of_kind(self, kind: Kind, rng: random.Random) -> list[Arrival]:
        found = []
        at = 0.0
        while True:
            at += rng.expovariate(kind.rate * self.load * self._factor(kind, at))
            if at >= self.seconds:
                return found
            found.append(self._arrival(kind, at, rng))

    def _factor(self, kind: Kind, at: float) -> float:
        bursts = {Pattern.URGENT_BURST: "urgent", Pattern.WIDE_BURST: "usual"}
        if bursts.get(self.pattern) != kind.queue:
            return 1.0
        first, last = BURST_SECONDS
        return BURST_FACTOR if first <= at < last else 1.0

    def _arrival(self, kind: Kind, at: float, rng: random.Random) -> Arrival:
        width = min(kind.widest, max(1, round(rng.expovariate(1 / kind.width))))
        seconds = kind.seconds * rng.uniform(1 - kind.spread, 1 + kind.spread)
        off = rng.uniform(1 - kind.estimate_off, 1 + kind.estimate_off)
        gpus = rng.choice(kind.gpus)
        shape = step(
            width,
            cpu=kind.cpu,
            gpus=gpus,
            gang=kind.gang,
            rack_bound=rng.random() < kind.rack_bound,
            seconds=seconds * off,
            checkpointing=rng.random() < 0.45,
        )
        failures = 0
        if self.pattern is Pattern.HOPELESS_JOBS and rng.random() < HOPELESS_SHARE:
            failures = HOPELESS_FAILURES
        return Arrival(at, kind.queue, (shape,), seconds, failures)
