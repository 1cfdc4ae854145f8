"""Runs and workers of the stand-in fleet, and the history that checkers read."""

import asyncio
from dataclasses import dataclass, field
from enum import Enum

import msgspec

from zinniatrestle.clock import monotonic
from zinniatrestle.ids import Generation, RunNumber, TaskId, WorkerId
from zinniatrestle.jobs.messages import Step
from zinniatrestle.workers.messages import EndedRun, RunOutcome, WorkerEntry

NO_GENERATION = Generation(0)
NO_STEP = Step()
# s; how long a task that lasts takes until it is at work.
STARTUP_SECONDS = 0.5


class TaskScript(msgspec.Struct, frozen=True):
    """What a task does, carried in a job's text for workers."""

    seconds: float = 1.0
    # The steps of its job: what each task takes and where it runs at full speed.
    steps: tuple[Step, ...] = ()
    # Runs that fail before one succeeds; a task with many is hopeless.
    failures: int = 0

    def encoded(self) -> str:
        """Return the text that carries it."""
        return msgspec.json.encode(self).decode()


class FaultMode(Enum):
    """What is wrong with a worker that answers well."""

    NONE = "none"
    FAILS = "fails"
    HANGS = "hangs"
    SHEDS = "sheds"
    SLOW = "slow"


class EventKind(Enum):
    """What happened at a worker."""

    START = "start"
    END = "end"
    ACKNOWLEDGED = "noted"


@dataclass
class WorkerEvent:
    """One event of the history that checkers read."""

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
    # When a stop that is under way will have ended it.
    stops_at: float | None = None

    @property
    def shape(self) -> Step:
        """Return its step."""
        number = int(self.task.split(".")[2])
        steps = self.script.steps
        return steps[number] if number < len(steps) else NO_STEP

    def percent(self) -> float:
        """Return what it tells of its progress; what lasts tells 100 once at work."""
        if self.shape.long_running:
            return 100.0 if self.work_seconds >= STARTUP_SECONDS else 0.0
        return min(100.0, int(100 * self.work_seconds / max(self.script.seconds, 0.01)))

    @property
    def gang(self) -> int:
        """Return the members of its gang; 0: none."""
        return self.shape.count if self.shape.gang else 0


@dataclass
class SimulatedWorker:
    """A worker: its room, what runs on it and what ended."""

    entry: WorkerEntry
    max_lease_seconds: float
    alive: bool = True
    reachable: bool = True
    heartbeats: bool = True
    fault_mode: FaultMode = FaultMode.NONE
    # How fast it is when it is well, 1 being the usual speed.
    speed: float = 1.0
    generation: Generation = NO_GENERATION
    deadline: float = 0.0
    running: dict[TaskId, SimulatedRun] = field(default_factory=dict)
    ended: list[EndedRun] = field(default_factory=list)
    # The highest run of each task that was stopped or ended here.
    last_ended_run: dict[TaskId, int] = field(default_factory=dict)
    # Ends that were told only after the worker's lease had run out.
    expired_ends: set[int] = field(default_factory=set)
    end_count: int = 0
    started_at: float = 0.0
    changed: asyncio.Event = field(default_factory=asyncio.Event)

    def clock_ms(self) -> int:
        """Return the worker's own clock, which is a little slow."""
        return int((monotonic() - self.started_at) * 990)


def step_of(task: TaskId) -> str:
    """Return the step of a task, with its job and occurrence."""
    return task.rsplit(".", 1)[0]
