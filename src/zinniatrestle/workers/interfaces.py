"""Abstract base classes of orders to workers and of their registry."""

from abc import ABC, abstractmethod

from zinniatrestle.ids import Generation, RowName, RunNumber, TableName, TaskId
from zinniatrestle.workers.messages import (
    Acknowledgement,
    HoldAnswer,
    StartOrder,
    WorkerEntry,
)


class OrderPermission(ABC):
    """Whether a host may still send orders under a generation.

    It is asked right before an order is sent, since opening a connection takes time in
    which the permission may run out.
    """

    @abstractmethod
    def permits_orders(self, generation: Generation) -> bool:
        """Return whether orders may be sent now."""

    @abstractmethod
    def permits_holds(self, generation: Generation) -> bool:
        """Return whether leases at workers may be extended now."""


class WorkerOrders(ABC):
    """Orders to workers; `timeout` bounds the wait for an answer, in seconds.

    Each method raises RefusedOrderError if the worker certainly did not carry out the
    order, and UnansweredOrderError if it may have, or may still do so.
    """

    @abstractmethod
    async def start(
        self, worker: WorkerEntry, order: StartOrder, timeout: float
    ) -> int:
        """Start a run and return the worker's clock in milliseconds."""

    @abstractmethod
    async def stop(
        self,
        worker: WorkerEntry,
        task: TaskId,
        run: RunNumber,
        generation: Generation,
        timeout: float,
    ):
        """Stop a run, or prevent its start if the start order has not arrived yet."""

    @abstractmethod
    async def pace(
        self,
        worker: WorkerEntry,
        task: TaskId,
        run: RunNumber,
        percent: int,
        generation: Generation,
        timeout: float,
    ):
        """Let a run work at `percent` of its speed."""

    @abstractmethod
    async def hold(
        self,
        worker: WorkerEntry,
        generation: Generation,
        acknowledgement: Acknowledgement,
        deadline_ms: int | None,
        wait: float,
        timeout: float,
    ) -> HoldAnswer:
        """Extend the leases of all runs and wait up to `wait` seconds for one to end.

        `deadline_ms` is the new expiry on the worker's clock; None extends nothing.
        Ends are acknowledged only where the instance that counts them may answer.
        The answer may take `timeout` seconds on top of `wait`.
        """


class WorkerRows(ABC):
    """Decoder of the registry's rows."""

    table: TableName

    @abstractmethod
    def decode(self, name: RowName, value: bytes) -> WorkerEntry:
        """Return the entry; raises MalformedInputError if it names no usable worker."""
