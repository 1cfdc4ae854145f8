"""Feeds of tables: one full read, then the changes, and a full read after a gap."""

import asyncio
from abc import ABC, abstractmethod
from collections.abc import Iterable

from zinniatrestle.clock import boot_time
from zinniatrestle.errors import HistoryLostError, StoreUnavailableError
from zinniatrestle.events import Event, EventLog
from zinniatrestle.ids import BootSeconds, RowName, RowVersion, TableName
from zinniatrestle.rows.interfaces import RowStore
from zinniatrestle.rows.messages import Change
from zinniatrestle.supervision import Supervisor

# Timeout of an answer, on top of the requested long-poll wait.
ANSWER_TIMEOUT_SECONDS = 1.0
# Timeout while the store is unreachable, short so that its recovery is detected soon;
# a slow store answers in less.
PROBE_TIMEOUT_SECONDS = 0.5
# Pause after a failed call.
RETRY_SECONDS = 0.2
# Pause after which changes that could not be applied are applied again.
REAPPLY_SECONDS = 5.0
# Longest pause of a feed that fails without a cause in the store: its data gets old.
MAX_PAUSE_SECONDS = 1.0


class TableReader(ABC):
    """Receiver of the rows of a table and of their changes."""

    table: TableName

    @abstractmethod
    def change(self, change: Change):
        """Apply one change, or a row of a full read."""

    def retain(self, names: set[RowName]):  # noqa: B027
        """Remove all rows but these, which a full read contains."""

    def caught_up(self, asked_at: BootSeconds):  # noqa: B027
        """Handle that all rows written before `asked_at` have been applied."""


class Feed:
    """A long poll of one table's changes.

    `wait` is the longest time for which the store may delay an answer until a row
    changes, `pause` the time between an answer and the next call, both in seconds. A
    change that the reader fails to apply holds up no other, and is tried again.
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
        self.supervisor = Supervisor(events)
        # The latest changes that the reader failed to apply.
        self.failed: dict[RowName, Change] = {}
        self.failed_at = BootSeconds(0.0)

    async def follow(self):
        """Follow the table until cancelled."""
        await self.supervisor.keep_running(
            "feed",
            self._follow,
            longest_pause=MAX_PAUSE_SECONDS,
            table=self.reader.table,
        )

    async def _follow(self):
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
            self.failed.clear()
            self._apply(Change(row.name, row.version, row.value) for row in page.rows)
            self.reader.retain({row.name for row in page.rows})
            self.version = page.version
        else:
            wait, answer_timeout = self.wait, ANSWER_TIMEOUT_SECONDS
            if not self.reachable:
                wait, answer_timeout = 0.0, PROBE_TIMEOUT_SECONDS
            changes = await self.store.changes(
                self.reader.table, self.version, wait, answer_timeout
            )
            self._apply(changes.changes)
            self.version = changes.version
        if self.failed and boot_time() - self.failed_at >= REAPPLY_SECONDS:
            self._apply(list(self.failed.values()))
        self.confirmed_at = max(self.confirmed_at, asked_at)
        self.reader.caught_up(asked_at)

    def _apply(self, changes: Iterable[Change]):
        for change in changes:
            try:
                self.reader.change(change)
            except Exception as error:
                self.failed[change.name] = change
                self.failed_at = boot_time()
                self.supervisor.log_failure(
                    "feed", error, table=self.reader.table, row=change.name
                )
                continue
            if self.failed:
                self.failed.pop(change.name, None)

    def _set_reachable(self, reachable: bool, reason: str):
        if reachable == self.reachable:
            return
        self.reachable = reachable
        event = Event.DEPENDENCY_REGAINED if reachable else Event.DEPENDENCY_LOST
        self.events.write(event, dependency=f"table {self.reader.table}", reason=reason)
