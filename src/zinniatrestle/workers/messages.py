"""Registry entries and reports of workers, and orders to them."""

from enum import Enum

import msgspec

from zinniatrestle.errors import WorkerError
from zinniatrestle.ids import (
    BootSeconds,
    FailureDomainId,
    Generation,
    InstanceId,
    RackId,
    RunNumber,
    ServiceName,
    TaskId,
    WorkerId,
)


class WorkerState(Enum):
    """Whether a worker takes new tasks."""

    READY = "ready"
    DRAINING = "draining"


class RunOutcome(Enum):
    """How a run ended; only FAILED counts against the job's attempts."""

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LEASE_EXPIRED = "lapsed"
    # Another member of the gang ended.
    MEMBER_ENDED = "broken"
    # The other members of the gang did not start in time.
    GANG_INCOMPLETE = "alone"
    # The worker gives an outcome that isn't known here.
    UNKNOWN = "unknown"


class Refusal(Enum):
    """Why an order was certainly not carried out."""

    STALE_GENERATION = "stale_generation"
    STALE_RUN = "stale_run"
    TOO_LATE = "too_late"
    NO_ROOM = "no_room"
    BAD_TICKET = "bad_ticket"
    OTHER_INSTANCE = "other_life"
    UNHEALTHY = "unhealthy"
    MALFORMED = "malformed"
    # Nothing listens at the address.
    NOT_LISTENING = "not_listening"
    # No connection could be opened in time.
    NOT_REACHED = "not_reached"
    # Not sent, as this host may not send orders or doesn't know the worker's clock.
    NOT_ORDERED = "not_ordered"
    # Not sent, as an order that was sent meanwhile got no answer.
    NOT_ANSWERING = "not_answering"


class WorkerEntry(msgspec.Struct, frozen=True):
    """A worker's entry in the platform's registry.

    `remaining` is the least number of seconds for which a draining worker stays.
    """

    worker: WorkerId
    service: ServiceName
    address: str
    domain: FailureDomainId
    state: WorkerState
    cpu: int
    memory_mb: int
    gpus: int
    labels: frozenset[str]
    rack: RackId
    instance: InstanceId
    sequence: int
    remaining: float | None = None
    cold_start_seconds: float = 0.0


class StartOrder(msgspec.Struct, frozen=True):
    """An order to start one run of a task; `deadline_ms` is on the worker's clock."""

    task: TaskId
    run: RunNumber
    spec: str
    deadline_ms: int
    generation: Generation
    checkpoint: str = ""
    ticket: str = ""


class RunningTask(msgspec.Struct, frozen=True):
    """A running task.

    `load` is the tail latency in ms of a serving task, else the CPU in use.
    """

    task: TaskId
    run: RunNumber
    checkpoint: str
    percent: float
    load: float = 0.0


class EndedRun(msgspec.Struct, frozen=True):
    """An ended run; `number` counts the runs that ended since the worker started."""

    number: int
    task: TaskId
    run: RunNumber
    outcome: RunOutcome
    checkpoint: str


class Acknowledgement(msgspec.Struct, frozen=True):
    """Ends up to `number` are stored and need not be reported again.

    `confirmed_at` is when the instance that counts them was last known to serve. Over a
    connection that is opened later another instance may answer, with its own numbers.
    """

    number: int = 0
    confirmed_at: BootSeconds = BootSeconds(float("-inf"))

    def number_over(self, opened_at: BootSeconds) -> int:
        """Return the number to send over a connection that was opened at a time."""
        return self.number if opened_at <= self.confirmed_at else 0


class HoldAnswer(msgspec.Struct, frozen=True):
    """The runs at a worker, and the ended ones that are not acknowledged yet.

    `clock_ms` is a reading of the worker's own monotonic clock. `unreadable_ends` has
    the numbers of listed ends that can't be decoded, and `damage` says what is wrong
    with the lists. Without `lists_all_ends` further runs may have ended, of which a
    later answer tells once these ends are acknowledged. `acknowledged_end` is the
    number that the hold has acknowledged, and `sent_at` when it was sent.
    """

    clock_ms: int
    instance: InstanceId
    running: tuple[RunningTask, ...]
    ended: tuple[EndedRun, ...]
    unreadable_ends: tuple[int, ...] = ()
    damage: str = ""
    lists_all_ends: bool = True
    acknowledged_end: int = 0
    sent_at: BootSeconds = BootSeconds(float("-inf"))

    @property
    def last_end(self) -> int:
        """Return the highest number of a listed end; 0 if there is none."""
        numbers = [end.number for end in self.ended]
        return max((*numbers, *self.unreadable_ends), default=0)


class RefusedOrderError(WorkerError):
    """Signal an order that the worker certainly did not carry out."""

    def __init__(self, refusal: Refusal, clock_ms: int | None = None):
        super().__init__(f"The worker refused the order: {refusal.value}.")
        self.refusal = refusal
        self.clock_ms = clock_ms


class UnansweredOrderError(WorkerError):
    """Signal an order that may have been carried out, or may still be."""


class MalformedAnswerError(UnansweredOrderError):
    """Signal an answer that can't be decoded, to an order that may be carried out."""
