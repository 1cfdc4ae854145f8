"""Messages between a host and the platform's services."""

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

# Version of a row that does not exist.
ABSENT = 0


class Row(msgspec.Struct, frozen=True):
    """A row of the table service; `version` counts its writes from 1."""

    key: RowKey
    version: int
    value: bytes


class Check(msgspec.Struct, frozen=True):
    """Condition that a row has a version, or does not exist if it is `ABSENT`."""

    key: RowKey
    version: int


class Put(msgspec.Struct, frozen=True):
    """Write of a row."""

    key: RowKey
    value: bytes


class Transaction(msgspec.Struct, frozen=True):
    """Puts and deletes that are applied atomically if all checks pass."""

    checks: list[Check] = []
    puts: list[Put] = []
    deletes: list[RowKey] = []


class Commit(msgspec.Struct, frozen=True):
    """Result of a transaction; `failed` holds the keys whose checks failed."""

    committed: bool
    failed: list[RowKey] = []


class HostRole(Enum):
    """Role of a host on the platform's list."""

    ENTRY = "entry"
    MINION = "minion"
    WORKER = "worker"


class ListedHostState(Enum):
    """Whether a listed host stays or is about to leave."""

    LIVE = "live"
    LEAVING = "leaving"


class ListedHost(msgspec.Struct, frozen=True, array_like=True):
    """An entry of the platform's list of hosts."""

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
    """State of an attempt at a worker."""

    RESERVED = "reserved"
    RUNNING = "running"
    FINISHED = "finished"
    FAILED = "failed"


class TaskLease(msgspec.Struct, frozen=True, array_like=True):
    """What an attempt of a gang holds at a worker.

    `expires` is in wall-clock seconds; `progress` and `checkpointed` are in seconds of
    work.
    """

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
    """Command to reserve capacity for an attempt; refused after `start_by`.

    `start_by` and `expires` are in wall-clock seconds. `accelerators` are indices on
    the worker; `cores` and `memory_gb` are sums over the `tasks` of the attempt there.
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
    """Command to start a reserved attempt; refused after `start_by`.

    `start_by` and `expires` are in wall-clock seconds; `progress` is the checkpointed
    seconds of work from which the attempt resumes.
    """

    job: JobId
    attempt: AttemptId
    epoch: Epoch
    start_by: float
    expires: float
    command: list[str]
    progress: float = 0.0


class Renewal(msgspec.Struct, frozen=True, array_like=True):
    """Extension of one attempt to `expires`, with a checkpoint if asked for."""

    attempt: AttemptId
    expires: float
    checkpoint: bool = False


class Renew(msgspec.Struct, frozen=True, array_like=True):
    """Command to extend the leases of attempts at one worker."""

    renewals: list[Renewal]
    epoch: Epoch


class Stop(msgspec.Struct, frozen=True):
    """Command to stop an attempt, after a checkpoint if asked for."""

    attempt: AttemptId
    epoch: Epoch
    checkpoint: bool = False


class WorkerReport(msgspec.Struct, frozen=True, array_like=True):
    """The attempts that a worker holds, and the newest epoch that it has accepted."""

    worker: WorkerId
    leases: list[TaskLease]
    epoch: Epoch
    wall: float
