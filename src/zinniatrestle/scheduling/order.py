"""The order in which steps are placed."""

from abc import ABC, abstractmethod
from enum import IntEnum
from typing import NamedTuple

from zinniatrestle.scheduling.durations import Durations, EstimateDuration
from zinniatrestle.scheduling.state import StepRun

# A job that takes longer than this many times its objective is of no use to callers.
LATEST_FACTOR = 3.0


class StartDeadlines(NamedTuple):
    """When a step has to start so that its job is on time, or late but of use."""

    latest_on_time_start: float
    latest_useful_start: float


def start_deadlines(step: StepRun, durations: Durations) -> StartDeadlines:
    """Return until when (boot seconds) a step may start.

    Objectives grow with run times, so a job that turns out to be short has less time to
    wait; to be on time it has to start as if it were.
    """
    job = step.job
    due = job.due_at
    if job.submission.timed:
        due = step.ready_at or job.due_at
    latest_on_time_start = _latest_start(step, durations, durations.shortest, 1.0)
    latest_useful_start = _latest_start(step, durations, durations.task, LATEST_FACTOR)
    return StartDeadlines(due + latest_on_time_start, due + latest_useful_start)


class Timeliness(IntEnum):
    """Of what use a job is, the more the better."""

    USELESS = 0
    LATE = 1
    ON_TIME = 2


def timeliness(step: StepRun, ends_at: float, durations: Durations) -> Timeliness:
    """Tell of what use a job is if one of its steps ends at a time."""
    until = start_deadlines(step, durations)
    queue = step.job.submission.queue
    if ends_at <= until.latest_on_time_start + durations.shortest(queue, step.shape):
        return Timeliness.ON_TIME
    if ends_at <= until.latest_useful_start + durations.task(queue, step.shape):
        return Timeliness.LATE
    return Timeliness.USELESS


def _latest_start(
    step: StepRun,
    durations: Durations,
    estimate_duration: EstimateDuration,
    factor: float,
) -> float:
    """Return how many seconds after its job is due a step may start."""
    job = step.job
    chain = durations.chain(job, estimate_duration=estimate_duration)
    objective = chain * job.submission.stretch + job.submission.target
    return factor * objective - durations.chain(job, step, estimate_duration)


class OrderPolicy(ABC):
    """Rank steps that wait."""

    @abstractmethod
    def key(self, step: StepRun, now: float) -> tuple:
        """Return a sort key; the smallest goes first."""


class PriorityDeadlineOrder(OrderPolicy):
    """Rank by the queue's priority, then by what can be on time, then by slack.

    The queues' priorities follow worth per core-second, and so steeply that even a late
    job of one queue is worth more than a timely one of the next. What is of no more use
    goes last.
    """

    def __init__(self, durations: Durations):
        self.durations = durations

    def key(self, step: StepRun, now: float) -> tuple:
        """Return (useless, priority, late, latest start, id)."""
        until = start_deadlines(step, self.durations)
        job = step.job
        return (
            now > until.latest_useful_start,
            job.submission.priority,
            now > until.latest_on_time_start,
            until.latest_on_time_start,
            job.id,
            step.key,
        )


class ArrivalOrder(OrderPolicy):
    """Rank by arrival alone, as a baseline."""

    def key(self, step: StepRun, now: float) -> tuple:
        """Return (arrival, id)."""
        return (step.job.due_at, step.job.id, step.key)
