"""Feeds of tables: one full read, then the changes, and a full read after a gap."""

import asyncio
from abc import ABC, abstractmethod

from zinniatrestle.clock import boot_time
from zinniatrestle.errors import HistoryLostError, StoreUnavailableError
from zinniatrestle.events import Event, EventLog
from zinniatrestle.ids import BootSeconds, RowVersion, TableName
from zinniatrestle.rows.interfaces import RowStore
from zinniatrestle.rows.messages import Change, StoredRow

# Timeout of an answer, on top of the requested long-poll wait.
ANSWER_TIMEOUT_SECONDS = 1.0
# Timeout while the store is unreachable, short so that its recovery is detected soon;
# a slow store answers in less.
PROBE_TIMEOUT_SECONDS = 0.5
# Pause after a failed call.
RETRY_SECONDS = 0.2


class TableReader(ABC):
    """Receiver of the rows of a table and of their changes."""

    table: TableName

    @abstractmethod
    def snapshot(self, rows: list[StoredRow]):
        """Replace the known rows by those of a full read."""

    @abstractmethod
    def change(self, change: Change):
        """Apply one change."""

    def caught_up(self, asked_at: BootSeconds):  # noqa: B027
        """Handle that all rows written before `asked_at` have been applied."""


class Feed:
    """A long poll of one table's changes.

    `wait` is the longest time for which the store may delay an answer until a row
    changes, `pause` the time between an answer and the next call, both in seconds.
    """

    def __init__(
        self,
        store: RowStore,
        reader: TableReader,
        events: EventLog,
        wait: float,
        pause: float = 0.0,
    ):
        self.store = store
        self.reader = reader
        self.events = events
        self.wait = wait
        self.pause = pause
        self.version: RowVersion | None = None
        self.confirmed_at = BootSeconds(float("-inf"))
        self.reachable = True

    async def follow(self):
        """Follow the table until cancelled."""
        while True:
            try:
                await self.step()
            except HistoryLostError as error:
                self.version = None
                self.events.write(
                    Event.HISTORY_LOST, table=self.reader.table, reason=error.detail
                )
            except StoreUnavailableError as error:
                self._set_reachable(False, error.detail)
                await asyncio.sleep(RETRY_SECONDS)
                continue
            self._set_reachable(True, "")
            if self.pause:
                await asyncio.sleep(self.pause)

    async def step(self):
        """Read the full table the first time, else the changes since the last step."""
        asked_at = boot_time()
        if self.version is None:
            page = await self.store.all_rows(self.reader.table)
            self.reader.snapshot(page.rows)
            self.version = page.version
        else:
            wait, answer_timeout = self.wait, ANSWER_TIMEOUT_SECONDS
            if not self.reachable:
                wait, answer_timeout = 0.0, PROBE_TIMEOUT_SECONDS
            changes = await self.store.changes(
                self.reader.table, self.version, wait, answer_timeout
            )
            for change in changes.changes:
                self.reader.change(change)
            self.version = changes.version
        self.confirmed_at = max(self.confirmed_at, asked_at)
        self.reader.caught_up(asked_at)

    def _set_reachable(self, reachable: bool, reason: str):
        if reachable == self.reachable:
            return
        self.reachable = reachable
        event = Event.DEPENDENCY_REGAINED if reachable else Event.DEPENDENCY_LOST
        self.events.write(event, dependency=f"table {self.reader.table}", reason=reason)
