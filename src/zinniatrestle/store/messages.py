"""What passes between a host and the platform's services."""

from enum import Enum

import msgspec

from zinniatrestle.ids import (
    AttemptId,
    ClientAccountId,
    Epoch,
    FailureDomainId,
    JobId,
    RackId,
    Revision,
    RowKey,
    WorkerId,
)

ABSENT = 0


class Row(msgspec.Struct, frozen=True):
    """One row of the table service; versions count up from 1."""

    key: RowKey
    version: int
    value: bytes


class Check(msgspec.Struct, frozen=True):
    """Demand that a row stands at a version (`ABSENT`: that there is none)."""

    key: RowKey
    version: int


class Put(msgspec.Struct, frozen=True):
    """Write a row."""

    key: RowKey
    value: bytes


class Transaction(msgspec.Struct, frozen=True):
    """Checks, puts and deletes that take effect together or not at all."""

    checks: list[Check] = []
    puts: list[Put] = []
    deletes: list[RowKey] = []


class Commit(msgspec.Struct, frozen=True):
    """Say whether a transaction took effect, or which checks failed."""

    committed: bool
    failed: list[RowKey] = []


class HostRole(Enum):
    """Kinds of machine on the platform's list."""

    ENTRY = "entry"
    MINION = "minion"
    WORKER = "worker"


class ListedHostState(Enum):
    """What the platform's list says of a machine."""

    LIVE = "live"
    LEAVING = "leaving"


class ListedHost(msgspec.Struct, frozen=True, array_like=True):
    """One line of the platform's list of machines."""

    name: str
    role: HostRole
    domain: FailureDomainId
    address: str
    state: ListedHostState = ListedHostState.LIVE
    service: str = ""
    rack: RackId = RackId("")
    accelerators: int = 0
    cores: float = 0.0
    memory_gb: float = 0.0


class LeaseState(Enum):
    """States of a task lease on a worker."""

    RESERVED = "reserved"
    RUNNING = "running"
    FINISHED = "finished"
    FAILED = "failed"


class TaskLease(msgspec.Struct, frozen=True, array_like=True):
    """One gang's hold on one worker."""

    job: JobId
    attempt: AttemptId
    account: ClientAccountId
    incarnation: Revision
    accelerators: list[int]
    state: LeaseState
    expires: float
    progress: float = 0.0
    checkpointed: float = 0.0


class Reserve(msgspec.Struct, frozen=True):
    """Ask a worker to hold room for tasks; refused after `start_by` (wall seconds).

    `accelerators` are indices on the worker; `cores` and `memory_gb` are sums over
    the `tasks` of the gang that run there.
    """

    job: JobId
    attempt: AttemptId
    account: ClientAccountId
    incarnation: Revision
    epoch: Epoch
    accelerators: list[int]
    start_by: float
    expires: float
    tasks: int = 1
    cores: float = 0.0
    memory_gb: float = 0.0


class Start(msgspec.Struct, frozen=True):
    """Ask a worker to start a reserved task; refused after `start_by`."""

    job: JobId
    attempt: AttemptId
    epoch: Epoch
    start_by: float
    expires: float
    command: list[str]
    progress: float = 0.0


class Renewal(msgspec.Struct, frozen=True, array_like=True):
    """Let one attempt run on until `expires`, and write a checkpoint if wanted."""

    attempt: AttemptId
    expires: float
    checkpoint: bool = False


class Renew(msgspec.Struct, frozen=True, array_like=True):
    """Extend the leases of running attempts on one worker."""

    renewals: list[Renewal]
    epoch: Epoch


class Stop(msgspec.Struct, frozen=True):
    """Ask a worker to end an attempt, with a checkpoint first if wanted."""

    attempt: AttemptId
    epoch: Epoch
    checkpoint: bool = False


class WorkerReport(msgspec.Struct, frozen=True, array_like=True):
    """A worker's own word on what it holds, and the newest epoch it has obeyed."""

    worker: WorkerId
    leases: list[TaskLease]
    epoch: Epoch
    wall: float
