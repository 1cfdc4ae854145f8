"""Abstract base of a store of versioned rows."""

from abc import ABC, abstractmethod

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


class RowStore(ABC):
    """Keep rows under transactions.

    Every method raises StoreUnavailableError when the call surely had no effect.
    `transact` raises StoreUncertainError when the answer was lost, and `changes`
    HistoryLostError when the store no longer knows what changed since a version.
    """

    clock: StoreClock

    @abstractmethod
    async def transact(
        self, expects: list[Expect], writes: list[Write], timeout: float
    ) -> TransactionResult:
        """Apply all writes if every expected version holds; `timeout` in seconds."""

    @abstractmethod
    async def page(self, table: TableName, start: RowName, end: RowName) -> Page:
        """Return rows from `start` up to but without `end`; empty: no bound."""

    @abstractmethod
    async def changes(
        self, table: TableName, after: RowVersion, wait: float, answer_timeout: float
    ) -> Changes:
        """Wait up to `wait` seconds for changes of a table after a version.

        `answer_timeout` in seconds is what the answer may take beyond that.
        """

    async def row(self, table: TableName, name: RowName) -> StoredRow | None:
        """Return one row, or None."""
        found = await self.page(table, name, RowName(name + "\0"))
        return found.rows[0] if found.rows else None

    async def all_rows(self, table: TableName) -> Page:
        """Return a table, page by page, with the version of its first page."""
        first = await self.page(table, RowName(""), RowName(""))
        rows = list(first.rows)
        last = first
        while last.more:
            last = await self.page(table, RowName(rows[-1].name + "\0"), RowName(""))
            rows.extend(last.rows)
        return Page(rows, first.version, last.now)
