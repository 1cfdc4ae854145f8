"""Abstract bases of the platform's services."""

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
    """Keep rows under transactions.

    Every method raises StoreUnavailableError when the call had no effect;
    `commit` raises StoreUncertainError when the answer was lost.
    """

    @abstractmethod
    async def read(self, keys: list[RowKey]) -> dict[RowKey, Row]:
        """Return the rows that exist among `keys`, all of one instant."""

    @abstractmethod
    async def scan(self, prefix: str, after: RowKey, limit: int) -> list[Row]:
        """Return at most `limit` rows under `prefix` behind `after`, in order."""

    @abstractmethod
    async def commit(self, transaction: Transaction) -> Commit:
        """Apply a transaction if all its checks hold."""


class ObjectStore(ABC):
    """Keep objects that are written once."""

    @abstractmethod
    async def put_if_absent(self, name: str, body: bytes) -> bool:
        """Write an object unless one of that name exists; tell whether written."""

    @abstractmethod
    async def get(self, name: str) -> bytes | None:
        """Return an object's body, or None."""


class HostList(ABC):
    """List live and leaving machines, with a lag."""

    @abstractmethod
    async def hosts(self) -> list[ListedHost]:
        """Return the machines known to the platform."""


class Workers(ABC):
    """Command workers; each method raises WorkerError when refused or unreachable."""

    @abstractmethod
    async def reserve(self, worker: WorkerId, command: Reserve):
        """Hold accelerators for one attempt."""

    @abstractmethod
    async def start(self, worker: WorkerId, command: Start):
        """Start the tasks of a reserved attempt."""

    @abstractmethod
    async def renew(self, worker: WorkerId, command: Renew) -> WorkerReport:
        """Extend the leases of running attempts and return what the worker holds."""

    @abstractmethod
    async def stop(self, worker: WorkerId, command: Stop) -> float:
        """End an attempt and return its checkpointed progress in seconds."""

    @abstractmethod
    async def report(self, worker: WorkerId) -> WorkerReport:
        """Return what the worker holds now."""


class Platform(ABC):
    """Bundle the platform's services."""

    table: TableService
    objects: ObjectStore
    hosts: HostList
    workers: Workers

    @abstractmethod
    async def close(self):
        """Give back connections."""
