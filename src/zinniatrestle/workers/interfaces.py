"""Abstract bases of orders to workers and of their registry."""

from abc import ABC, abstractmethod

from zinniatrestle.ids import Generation, RowName, RunNumber, TableName, TaskId
from zinniatrestle.workers.messages import HoldAnswer, StartOrder, WorkerEntry


class WorkerOrders(ABC):
    """Give orders to workers; `timeout` in seconds is how long an answer may take.

    Each method raises RefusedOrderError when the worker surely did nothing, and
    UnansweredOrderError when it may have, or may yet.
    """

    @abstractmethod
    async def start(
        self, worker: WorkerEntry, order: StartOrder, timeout: float
    ) -> int:
        """Start a run; returns the worker's clock in milliseconds."""

    @abstractmethod
    async def stop(
        self,
        worker: WorkerEntry,
        task: TaskId,
        run: RunNumber,
        generation: Generation,
        timeout: float,
    ):
        """Stop a run, and keep it from starting if it has not come yet."""

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
        """Let a run work at a share of its speed."""

    @abstractmethod
    async def hold(
        self,
        worker: WorkerEntry,
        generation: Generation,
        acknowledged_end: int,
        deadline_ms: int | None,
        wait: float,
        timeout: float,
    ) -> HoldAnswer:
        """Extend the lease of all that runs, and wait up to `wait` s for an end.

        `timeout` comes on top of `wait`.
        """


class WorkerRows(ABC):
    """Decode the registry's rows; a damaged entry decodes to None."""

    table: TableName

    @abstractmethod
    def decode(self, name: RowName, value: bytes) -> WorkerEntry | None:
        """Return the entry, or None when it names no worker to use."""
