"""Abstract base classes of the platform's services."""

from abc import ABC, abstractmethod

from zinniatrestle.ids import RowKey, WorkerId
from zinniatrestle.store.messages import (
    Commit,
    ListedHost,
    Renew,
    Reserve,
    Row,
    Start,
    Stop,
    Transaction,
    WorkerReport,
)


class TableService(ABC):
    """A table of versioned rows with optimistic transactions.

    Every method raises StoreUnavailableError if the call had no effect. `commit`
    raises StoreUncertainError if the answer was lost.
    """

    @abstractmethod
    async def read(self, keys: list[RowKey]) -> dict[RowKey, Row]:
        """Return the rows that exist among `keys`, read as one consistent snapshot."""

    @abstractmethod
    async def scan(self, prefix: str, after: RowKey, limit: int) -> list[Row]:
        """Return at most `limit` rows under `prefix` after the key `after`, by key."""

    @abstractmethod
    async def commit(self, transaction: Transaction) -> Commit:
        """Apply a transaction if all its checks pass."""


class ObjectStore(ABC):
    """A store of objects that are written once and never changed."""

    @abstractmethod
    async def put_if_absent(self, name: str, body: bytes) -> bool:
        """Write an object and return True, or return False if the name exists."""

    @abstractmethod
    async def get(self, name: str) -> bytes | None:
        """Return the body of an object, or None if it does not exist."""


class HostList(ABC):
    """List of the live and the leaving hosts; it may lag behind."""

    @abstractmethod
    async def hosts(self) -> list[ListedHost]:
        """Return the hosts that the platform lists."""


class Workers(ABC):
    """Commands to workers.

    Every method raises WorkerError if the worker refuses or can't be reached.
    """

    @abstractmethod
    async def reserve(self, worker: WorkerId, command: Reserve):
        """Reserve accelerators, cores and memory for an attempt."""

    @abstractmethod
    async def start(self, worker: WorkerId, command: Start):
        """Start the tasks of a reserved attempt."""

    @abstractmethod
    async def renew(self, worker: WorkerId, command: Renew) -> WorkerReport:
        """Extend the leases of attempts and return the worker's report."""

    @abstractmethod
    async def stop(self, worker: WorkerId, command: Stop) -> float:
        """Stop an attempt and return its checkpointed progress in seconds."""

    @abstractmethod
    async def report(self, worker: WorkerId) -> WorkerReport:
        """Return the attempts that the worker holds now."""


class Platform(ABC):
    """All services of the platform."""

    table: TableService
    objects: ObjectStore
    hosts: HostList
    workers: Workers

    @abstractmethod
    async def close(self):
        """Close all connections."""
