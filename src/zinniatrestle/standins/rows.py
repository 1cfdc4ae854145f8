"""An in-memory row store, with a view for each host that injects faults."""

import asyncio
import random
from collections.abc import Callable
from enum import Enum

from zinniatrestle.clock import boot_time, monotonic
from zinniatrestle.errors import (
    HistoryLostError,
    StoreUnavailableError,
    StoreUncertainError,
)
from zinniatrestle.ids import RowName, RowVersion, StoreMilliseconds, TableName
from zinniatrestle.rows import (
    ABSENT,
    Change,
    Changes,
    Expect,
    Page,
    RowStore,
    StoredRow,
    TransactionResult,
    Write,
)
from zinniatrestle.rows.clock import StoreClock
from zinniatrestle.rows.messages import Outcome
from zinniatrestle.rows.version_times import VersionTimes

PAGE_ROWS = 500
MAX_ENTRIES = 100
# The limit of a host's wait while the store is silent.
SILENCE_SECONDS = 1.0
# A wait counts as over when less than this remains.
TIMER_TOLERANCE_SECONDS = 0.001
# The time that a call takes without faults.
READ_SECONDS = 0.004
TRANSACTION_SECONDS = 0.012
# For how long feeds hear of no change before a compaction.
DEAF_SECONDS = 1.0


class Reachability(Enum):
    """How the store responds to a host."""

    SERVED = "served"
    REFUSED = "refused"
    SILENT = "silent"


class MemoryRows:
    """The rows of all tables, versioned by one counter."""

    def __init__(self, seed: int = 0):
        self.tables: dict[TableName, dict[RowName, StoredRow]] = {}
        self.version = RowVersion(0)
        self.history: list[tuple[TableName, Change]] = []
        self.history_start = RowVersion(0)
        self.changed = asyncio.Event()
        self.random = random.Random(seed)
        self.late_commit_tasks: set[asyncio.Task] = set()
        # Feeds hear of no change.
        self.is_feed_deaf = False
        self.observers: list[Callable[[list[Write]], None]] = []

    def row(self, table: TableName, name: RowName) -> StoredRow | None:
        """Return a row, or None."""
        return self.tables.get(table, {}).get(name)

    def apply(self, expects: list[Expect], writes: list[Write]) -> TransactionResult:
        """Apply a transaction atomically."""
        if len(expects) + len(writes) > MAX_ENTRIES:
            raise StoreUnavailableError("The transaction exceeds the limit of entries.")
        current = {}
        matches = True
        for expect in expects:
            row = self.row(expect.table, expect.name)
            version = row.version if row else ABSENT
            matches = matches and version == expect.version
            if row is not None:
                current[(expect.table, expect.name)] = row
        if not matches:
            return TransactionResult(Outcome.MISMATCH, self.version, current)
        self.version = RowVersion(self.version + 1)
        for write in writes:
            self._write(write)
        for observer in self.observers:
            observer(writes)
        self._wake_feeds()
        return TransactionResult(Outcome.APPLIED, self.version, {})

    def put(self, table: TableName, name: RowName, value: bytes | None):
        """Write a row unconditionally, or delete it if `value` is None."""
        self.apply([], [Write(table, name, value)])

    def drop_history(self):
        """Drop the history of changes; followers must read their table again."""
        self.history.clear()
        self.history_start = self.version
        self._wake_feeds()

    async def compact(self):
        """Drop the history after a second in which feeds hear of no change."""
        self.is_feed_deaf = True
        try:
            await asyncio.sleep(DEAF_SECONDS)
        finally:
            self.is_feed_deaf = False
            self.drop_history()

    def _wake_feeds(self):
        waiting, self.changed = self.changed, asyncio.Event()
        waiting.set()

    def _write(self, write: Write):
        table = self.tables.setdefault(write.table, {})
        change = Change(write.name, self.version, write.value)
        self.history.append((write.table, change))
        if write.value is None:
            table.pop(write.name, None)
            return
        table[write.name] = StoredRow(
            write.table, write.name, write.value, self.version
        )


class HostRows(RowStore):
    """One host's view of the rows, with injected faults.

    `delay` is the one-way latency in seconds, on top of the time of a call.
    """

    def __init__(self, rows: MemoryRows, delay: float = 0.0):
        self.rows = rows
        self.delay = delay
        self.clock = StoreClock()
        self.version_times = VersionTimes()
        self.reachability = Reachability.SERVED
        # The share of transactions that are applied without an answer.
        self.lost_answer_share = 0.0
        # The share of unanswered transactions that are applied seconds later.
        self.late_commit_share = 0.0
        self.latency_factor = 1.0
        self.calls = 0

    async def transact(
        self, expects: list[Expect], writes: list[Write], timeout: float
    ) -> TransactionResult:
        """Apply all writes if every row has its expected version.

        Raises StoreUncertainError if the answer is lost.
        """
        sent_at = boot_time()
        await self._cross_network(TRANSACTION_SECONDS, timeout)
        if self.rows.random.random() < self.lost_answer_share:
            if self.rows.random.random() < self.late_commit_share:
                self._apply_later(expects, writes)
            else:
                self.rows.apply(expects, writes)
            await asyncio.sleep(timeout)
            raise StoreUncertainError("The answer was lost.")
        result = self.rows.apply(expects, writes)
        self._observe(sent_at)
        self.version_times.observe(result.version, sent_at)
        return result

    async def page(self, table: TableName, start: RowName, end: RowName) -> Page:
        """Return rows from `start` to before `end`."""
        sent_at = boot_time()
        await self._cross_network(READ_SECONDS, SILENCE_SECONDS)
        names = sorted(self.rows.tables.get(table, {}))
        found = []
        for name in names:
            if name < start or (end and name >= end):
                continue
            found.append(self.rows.tables[table][name])
        now = self._observe(sent_at)
        more = len(found) > PAGE_ROWS
        return Page(found[:PAGE_ROWS], self.rows.version, now, more)

    async def changes(
        self, table: TableName, after: RowVersion, wait: float, answer_timeout: float
    ) -> Changes:
        """Wait up to `wait` seconds for changes of a table after a version.

        Raises HistoryLostError if the history no longer reaches back to it.
        """
        sent_at = boot_time()
        deadline = monotonic() + wait
        await self._cross_network(READ_SECONDS, answer_timeout)
        while True:
            if after < self.rows.history_start:
                raise HistoryLostError("The history was dropped.")
            is_deaf = self.rows.is_feed_deaf
            found = [] if is_deaf else self._changes_since(table, after)
            remaining = deadline - monotonic()
            if found or remaining < TIMER_TOLERANCE_SECONDS:
                now = self._observe(sent_at)
                return Changes(found, after if is_deaf else self.rows.version, now)
            changed = self.rows.changed
            try:
                async with asyncio.timeout(remaining):
                    await changed.wait()
            except TimeoutError:
                continue
            self._require_served()

    def _changes_since(self, table: TableName, after: RowVersion) -> list[Change]:
        newest: dict[RowName, Change] = {}
        for name, change in reversed(self.rows.history):
            if change.version <= after:
                break
            if name == table:
                newest.setdefault(change.name, change)
        return sorted(newest.values(), key=lambda change: change.version)

    async def _cross_network(self, seconds: float, timeout: float):
        self.calls += 1
        if self.reachability is Reachability.SILENT:
            await asyncio.sleep(min(timeout, SILENCE_SECONDS))
            raise StoreUnavailableError("The store does not answer.")
        self._require_served()
        seconds = seconds * self.latency_factor + 2 * self.delay
        if seconds > timeout:
            await asyncio.sleep(timeout)
            raise StoreUnavailableError("The store did not answer before the timeout.")
        await asyncio.sleep(seconds)
        self._require_served()

    def _require_served(self):
        if self.reachability is not Reachability.SERVED:
            raise StoreUnavailableError("The store does not serve this host.")

    def _observe(self, sent_at) -> StoreMilliseconds:
        now = StoreMilliseconds(int(boot_time() * 1000))
        self.clock.observe(now, sent_at, boot_time())
        return now

    def _apply_later(self, expects: list[Expect], writes: list[Write]):
        async def apply_late():
            await asyncio.sleep(self.rows.random.uniform(1.0, 6.0))
            self.rows.apply(expects, writes)

        task = asyncio.create_task(apply_late())
        self.rows.late_commit_tasks.add(task)
        task.add_done_callback(self.rows.late_commit_tasks.discard)
