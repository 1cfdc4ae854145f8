"""Stored and exchanged forms of jobs, placements and domain summaries."""

from enum import Enum

import msgspec

from zinniatrestle.configuration.messages import Semantics
from zinniatrestle.errors import ResultCode
from zinniatrestle.ids import (
    AttemptId,
    ClientAccountId,
    FailureDomainId,
    JobId,
    Revision,
    WorkerId,
)

NO_ATTEMPT = AttemptId("")


class TaskShape(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Resources that each task of a gang needs."""

    accelerators: int = 0
    cores: float = 1.0
    memory_gb: float = 1.0


class JobSpec(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A job as submitted by its client account."""

    tasks: int
    command: list[str]
    shape: TaskShape = TaskShape()
    declared_seconds: float = 0.0
    urgent: bool = False
    checkpoints: bool = True
    semantics: Semantics = Semantics.REPEATABLE
    domains: list[FailureDomainId] = []


class JobState(Enum):
    """States of a job."""

    QUEUED = "queued"
    STARTING = "starting"
    RUNNING = "running"
    DONE = "done"
    FAILED = "failed"
    CANCELLED = "cancelled"
    UNKNOWN = "unknown"


ENDED_STATES = frozenset(
    {JobState.DONE, JobState.FAILED, JobState.CANCELLED, JobState.UNKNOWN}
)
HOLDING_STATES = frozenset({JobState.STARTING, JobState.RUNNING})


class Slot(msgspec.Struct, frozen=True):
    """The tasks of a gang on one worker and the accelerators they hold."""

    worker: WorkerId
    tasks: int
    accelerators: list[int] = []


class JobRow(msgspec.Struct, frozen=True):
    """A job as stored in the table; times are wall seconds.

    `progress` is the run time in seconds that the last checkpoint covers, `service` the
    accelerator-seconds used by ended attempts, and `failed_on` the workers on which
    tasks failed.
    """

    job: JobId
    account: ClientAccountId
    incarnation: Revision
    spec: JobSpec
    domain: FailureDomainId
    submitted: float
    state: JobState = JobState.QUEUED
    attempt: AttemptId = NO_ATTEMPT
    attempts: int = 0
    failures: int = 0
    failed_on: list[WorkerId] = []
    placement: list[Slot] = []
    guaranteed: bool = False
    progress: float = 0.0
    service: float = 0.0
    queued: float = 0.0
    started: float = 0.0
    ended: float = 0.0
    code: ResultCode = ResultCode.OK
    detail: str = ""


class InboxAction(Enum):
    """Action that a scheduler is asked for: take a job into its queue or cancel it."""

    TAKE = "take"
    CANCEL = "cancel"


class InboxEntry(msgspec.Struct, frozen=True):
    """An entry in the inbox of a failure domain's scheduler."""

    job: JobId
    action: InboxAction


class DomainSummary(msgspec.Struct, frozen=True):
    """Use of a failure domain and demand for it, in accelerators and cores.

    `unusable` counts the free accelerators if they are too fragmented for the largest
    waiting gang. `service_done` is in accelerator-seconds.
    """

    domain: FailureDomainId
    wall: float
    accelerators: int = 0
    accelerators_free: int = 0
    accelerators_wanted: int = 0
    cores: float = 0.0
    cores_free: float = 0.0
    cores_wanted: float = 0.0
    unusable: int = 0
    running: int = 0
    queued: int = 0
    done: int = 0
    service_done: float = 0.0
    completion_mean: float = 0.0
