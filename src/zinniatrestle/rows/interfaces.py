"""Abstract base class of a store of versioned rows."""

from abc import ABC, abstractmethod

from zinniatrestle.errors import StoreUnavailableError
from zinniatrestle.ids import RowName, RowVersion, TableName
from zinniatrestle.rows.clock import StoreClock
from zinniatrestle.rows.messages import (
    Changes,
    Expect,
    Page,
    StoredRow,
    TransactionResult,
    Write,
)
from zinniatrestle.rows.version_times import VersionTimes


class RowStore(ABC):
    """A store of versioned rows with optimistic transactions.

    Every method raises StoreUnavailableError if the call certainly had no effect.
    `version_times` is updated with each answer to a transaction.
    `transact` raises StoreUncertainError if the answer was lost, and `changes` raises
    HistoryLostError if the store no longer has the changes since a version.
    """

    clock: StoreClock
    version_times: VersionTimes

    @abstractmethod
    async def transact(
        self, expects: list[Expect], writes: list[Write], timeout: float
    ) -> TransactionResult:
        """Apply all writes if every expected version holds; `timeout` in seconds."""

    @abstractmethod
    async def page(self, table: TableName, start: RowName, end: RowName) -> Page:
        """Return rows from `start` to before `end`; an empty name is no bound."""

    @abstractmethod
    async def changes(
        self, table: TableName, after: RowVersion, wait: float, answer_timeout: float
    ) -> Changes:
        """Wait up to `wait` seconds for changes of a table after a version.

        The answer may take `answer_timeout` seconds on top of that.
        """

    async def row(self, table: TableName, name: RowName) -> StoredRow | None:
        """Return one row, or None if it does not exist."""
        found = await self.page(table, name, RowName(name + "\0"))
        return found.rows[0] if found.rows else None

    async def all_rows(self, table: TableName) -> Page:
        """Read a table page by page; the version returned is that of the first page."""
        first = await self.page(table, RowName(""), RowName(""))
        rows = list(first.rows)
        last = first
        while last.more:
            if not last.rows:
                raise StoreUnavailableError(
                    f"The store sent an empty page of the table {table}."
                )
            previous = rows[-1].name
            last = await self.page(table, RowName(previous + "\0"), RowName(""))
            if last.rows and last.rows[-1].name <= previous:
                raise StoreUnavailableError(
                    f"The store sent the same page of the table {table} again."
                )
            rows.extend(last.rows)
        return Page(rows, first.version, last.now)
