"""Policies for the order in which waiting steps are placed."""

from abc import ABC, abstractmethod
from enum import IntEnum
from typing import NamedTuple

from zinniatrestle.scheduling.durations import Durations, EstimateDuration
from zinniatrestle.scheduling.state import StepRun

# A job that takes longer than this many times its objective has no value to its caller.
USEFUL_OBJECTIVE_FACTOR = 3.0


class StartDeadlines(NamedTuple):
    """Latest starts (boot seconds) of a step whose job is to be on time, or useful."""

    latest_on_time_start: float
    latest_useful_start: float


def start_deadlines(step: StepRun, durations: Durations) -> StartDeadlines:
    """Return the latest times at which a step may start.

    A job's objective grows with its run time, so a job that turns out to be short has
    less slack. The on-time deadline therefore assumes the shortest likely run time.
    """
    job = step.job
    due = job.due_at
    if job.submission.timed:
        due = step.ready_at or job.due_at
    latest_on_time_start = _latest_start(
        step, durations, durations.optimistic_seconds, 1.0
    )
    latest_useful_start = _latest_start(
        step, durations, durations.expected_seconds, USEFUL_OBJECTIVE_FACTOR
    )
    return StartDeadlines(due + latest_on_time_start, due + latest_useful_start)


def latest_hopeful_start(step: StepRun, durations: Durations) -> float:
    """Return until when a step may start for its job to be on time, if all goes well.

    This is in boot seconds. The objective grows with the run time, so this assumes the
    longest likely one: until then it is too early to give the job up as late.
    """
    latest_start = _latest_start(step, durations, durations.pessimistic_seconds, 1.0)
    return step.job.due_at + latest_start


class Timeliness(IntEnum):
    """Value of a job's result to its caller; higher is better."""

    USELESS = 0
    LATE = 1
    ON_TIME = 2


def timeliness(step: StepRun, ends_at: float, durations: Durations) -> Timeliness:
    """Return how timely a job is if `step` ends at `ends_at` (boot seconds)."""
    deadlines = start_deadlines(step, durations)
    queue = step.job.submission.queue
    if ends_at <= deadlines.latest_on_time_start + durations.optimistic_seconds(
        queue, step.shape
    ):
        return Timeliness.ON_TIME
    if ends_at <= deadlines.latest_useful_start + durations.expected_seconds(
        queue, step.shape
    ):
        return Timeliness.LATE
    return Timeliness.USELESS


def _latest_start(
    step: StepRun,
    durations: Durations,
    estimate_duration: EstimateDuration,
    factor: float,
) -> float:
    """Return the latest start of a step, in seconds after its job is due.

    The job is to complete within `factor` times its objective. `estimate_duration`
    gives the run time of each step on the job's critical path.
    """
    job = step.job
    chain_seconds = durations.critical_path(job, estimate_duration=estimate_duration)
    objective = chain_seconds * job.submission.stretch + job.submission.target
    return factor * objective - durations.critical_path(job, step, estimate_duration)


class OrderPolicy(ABC):
    """Rank the waiting steps."""

    @abstractmethod
    def key(self, step: StepRun, now: float) -> tuple:
        """Return a sort key; the step with the smallest key is placed first."""


class PriorityDeadlineOrder(OrderPolicy):
    """Rank by queue priority, then jobs that can be on time, then earliest deadline.

    Queue priorities follow the value of jobs per core-second. Values differ so much
    between queues that a late job of one is worth more than an on-time job of the next,
    so priority ranks before timeliness. Jobs too late to be useful come last.
    """

    def __init__(self, durations: Durations):
        self.durations = durations

    def key(self, step: StepRun, now: float) -> tuple:
        """Return (useless, priority, late, latest on-time start, job id, step key)."""
        deadlines = start_deadlines(step, self.durations)
        job = step.job
        return (
            now > deadlines.latest_useful_start,
            job.submission.priority,
            now > deadlines.latest_on_time_start,
            deadlines.latest_on_time_start,
            job.id,
            step.key,
        )


class ArrivalOrder(OrderPolicy):
    """Rank by arrival time only (FIFO); the baseline in experiments."""

    def key(self, step: StepRun, now: float) -> tuple:
        """Return (arrival time, job id, step key)."""
        return (step.job.due_at, step.job.id, step.key)
