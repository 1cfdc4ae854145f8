"""Runs and workers of the simulated fleet, and the events of its history."""

import asyncio
from dataclasses import dataclass, field
from enum import Enum
from functools import cached_property

import msgspec

from zinniatrestle.clock import monotonic
from zinniatrestle.ids import Generation, RunNumber, TaskId, WorkerId
from zinniatrestle.jobs.messages import Step
from zinniatrestle.scheduling.state import FULL_PACE_PERCENT
from zinniatrestle.workers.messages import EndedRun, RunOutcome, WorkerEntry

NO_GENERATION = Generation(0)
NO_STEP = Step()
# The time in which a long-running task becomes ready.
STARTUP_SECONDS = 0.5
# The rate of a worker's own clock, which runs 1% slow.
CLOCK_MS_PER_SECOND = 990
# The run time of a task at a worker in fault mode SLOW, relative to a healthy one.
SLOW_WORKER_FACTOR = 6.0


class TaskScript(msgspec.Struct, frozen=True):
    """What a task does at a stand-in worker, encoded in the spec of its job.

    `seconds` is the run time at nominal speed.
    """

    seconds: float = 1.0
    # The steps of its job: the resources of a task and where it runs at full speed.
    steps: tuple[Step, ...] = ()
    # The number of runs that fail before one succeeds; more than the attempts of the
    # queue make a job hopeless.
    failures: int = 0

    def encoded(self) -> str:
        """Return the script as the text of a job's spec."""
        return msgspec.json.encode(self).decode()


class FaultMode(Enum):
    """How a worker misbehaves while it answers orders."""

    NONE = "none"
    # All runs fail.
    FAILS = "fails"
    # Runs make no progress.
    HANGS = "hangs"
    # Starts are refused as UNHEALTHY.
    SHEDS = "sheds"
    SLOW = "slow"


class OrderMode(Enum):
    """How a worker treats orders."""

    ANSWERED = "answered"
    DROPPED = "dropped"
    # They get no answer and are carried out seconds later.
    LATE = "late"


@dataclass(frozen=True)
class FleetTraits:
    """How closely a fleet follows the platform's workers.

    With the defaults all workers and messages are alike, as the seeds of earlier
    workloads require.
    """

    # Rates of the workers' own clocks, in milliseconds per second of true time.
    clock_rates: tuple[int, ...] = (CLOCK_MS_PER_SECOND,)
    # The longest time that a message takes beyond the usual one. Messages that are
    # under way together may overtake each other.
    max_extra_delay: float = 0.0
    # Only steps with checkpoints have them, then also at a stop, and a run that is
    # resumed works only after `restore_seconds`. Otherwise every run is resumed.
    checkpoints_by_step: bool = False
    restore_seconds: float = 0.25


class EventKind(Enum):
    """What an event of the history records."""

    START = "start"
    END = "end"
    # The scheduler acknowledged the end of a run.
    ACKNOWLEDGED = "noted"


@dataclass
class WorkerEvent:
    """One event of the history that the checker reads; `at` is monotonic seconds."""

    at: float
    kind: EventKind
    worker: WorkerId
    task: TaskId
    run: RunNumber
    outcome: RunOutcome | None = None
    generation: Generation = NO_GENERATION


@dataclass
class SimulatedRun:
    """A run at a worker."""

    task: TaskId
    run: RunNumber
    script: TaskScript
    started_at: float
    work_seconds: float = 0.0
    checkpoint: str = ""
    # It works from this time on, at the earliest.
    restored_at: float = 0.0
    # All members of its gang have been present.
    at_work: bool = False
    # The share of its speed at which it works, in percent.
    pace: int = FULL_PACE_PERCENT
    # The time at which a stop in progress ends it.
    stops_at: float | None = None

    @cached_property
    def shape(self) -> Step:
        """Return the step that the task belongs to."""
        number = int(self.task.split(".")[2])
        steps = self.script.steps
        return steps[number] if number < len(steps) else NO_STEP

    def percent(self) -> float:
        """Return the reported progress; a long-running task reports 100 when ready."""
        if self.shape.long_running:
            return 100.0 if self.work_seconds >= STARTUP_SECONDS else 0.0
        return min(100.0, int(100 * self.work_seconds / max(self.script.seconds, 0.01)))

    @property
    def gang_size(self) -> int:
        """Return the number of members of its gang, or 0 without a gang."""
        return self.shape.count if self.shape.gang else 0


@dataclass
class SimulatedWorker:
    """A worker: its entry, its runs and the ends not yet acknowledged."""

    entry: WorkerEntry
    max_lease_seconds: float
    alive: bool = True
    reachable: bool = True
    # It runs on behind a cut at which new connections are refused and open ones reset.
    refuses_connections: bool = False
    # Calls reach it, but its answers are lost.
    answers_lost: bool = False
    # The share of calls whose connection is reset before or after they are executed.
    reset_share: float = 0.0
    # Whether it reaches the registry, and how often it has not since its last write.
    heartbeats: bool = True
    missed_heartbeats: int = 0
    # How it treats orders; it answers holds in any case.
    order_mode: OrderMode = OrderMode.ANSWERED
    fault_mode: FaultMode = FaultMode.NONE
    # The speed relative to the nominal one, faults aside.
    speed: float = 1.0
    # The run time in fault mode SLOW, relative to the usual one.
    slow_factor: float = SLOW_WORKER_FACTOR
    # The rate of its own clock, in milliseconds per second.
    clock_rate: int = CLOCK_MS_PER_SECOND
    # The tail latency in ms that it reports for serving tasks.
    tail_ms: float = 0.0
    generation: Generation = NO_GENERATION
    # The end of the lease of all runs, in milliseconds of the worker's own clock.
    deadline: float = 0.0
    running: dict[TaskId, SimulatedRun] = field(default_factory=dict)
    ended: list[EndedRun] = field(default_factory=list)
    # The highest run of each task that was stopped or ended here.
    last_ended_run: dict[TaskId, int] = field(default_factory=dict)
    # The numbers of ends that were unacknowledged when the worker's lease expired.
    expired_ends: set[int] = field(default_factory=set)
    end_count: int = 0
    started_at: float = 0.0
    changed: asyncio.Event = field(default_factory=asyncio.Event)

    def clock_ms(self) -> int:
        """Return the worker's own clock, which runs slow."""
        return int((monotonic() - self.started_at) * self.clock_rate)

    def remaining_lease_seconds(self) -> float:
        """Return for how long the lease of all runs remains valid."""
        return (self.deadline - self.clock_ms()) / self.clock_rate


def step_of(task: TaskId) -> str:
    """Return the id of a task without its index: job, occurrence and step."""
    return task.rsplit(".", 1)[0]
