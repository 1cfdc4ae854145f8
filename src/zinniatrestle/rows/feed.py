"""Follow a table: read it once, then what changes, and read it anew after a gap."""

import asyncio
from abc import ABC, abstractmethod

from zinniatrestle.clock import boot_time
from zinniatrestle.errors import HistoryLostError, StoreUnavailableError
from zinniatrestle.events import Event, EventLog
from zinniatrestle.ids import BootSeconds, RowVersion, TableName
from zinniatrestle.rows.interfaces import RowStore
from zinniatrestle.rows.messages import Change, StoredRow

# s; what an answer may take beyond the wait asked for.
ANSWER_TIMEOUT_SECONDS = 1.0
# s; the same while the store does not answer, so that its return is noticed soon; a
# slow store answers in less.
PROBE_TIMEOUT_SECONDS = 0.5
# s; the pause after a failed call.
RETRY_SECONDS = 0.2


class TableReader(ABC):
    """Take over what a table holds."""

    table: TableName

    @abstractmethod
    def snapshot(self, rows: list[StoredRow]):
        """Take all rows in place of what was known."""

    @abstractmethod
    def change(self, change: Change):
        """Take one change."""

    def caught_up(self, asked_at: BootSeconds):  # noqa: B027
        """Note that everything written before `asked_at` has been taken."""


class Feed:
    """The task that follows one table.

    `wait` is how long an answer may be held back until something changes, `pause`
    what is left between two answers, both in seconds.
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
        """Follow until cancelled."""
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
        """Read everything once, or the changes since the last step."""
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
