"""Client of the platform's metadata store, as a store of versioned rows."""

import msgspec

from zinniatrestle.clock import boot_time
from zinniatrestle.decoding import Counter, Name, decode_json
from zinniatrestle.errors import (
    HistoryLostError,
    MalformedInputError,
    StoreUnavailableError,
    StoreUncertainError,
)
from zinniatrestle.events import EventLog, RejectionLog
from zinniatrestle.ids import (
    BootSeconds,
    RowName,
    RowVersion,
    StoreMilliseconds,
    TableName,
)
from zinniatrestle.metrics import Metrics
from zinniatrestle.platform.http import CallEffect, CallError, HttpAnswer, HttpCaller
from zinniatrestle.rows import (
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

# All tables that the scheduler changes together are in this part, since a transaction
# can't span several parts.
SCHEDULER_PART = "jobs"
# The part that operators and workers write to.
SHARED_PART = ""
SHARED_TABLES = frozenset({"op", "servers", "status"})
# A read takes about 10 ms; an outage is detected within this time.
READ_TIMEOUT_SECONDS = 1.0
# Further time to read an answer whose data keeps arriving: a large desired state takes
# some seconds over the slowest links.
EXTRA_BODY_SECONDS = 10.0
MS_PER_SECOND = 1000.0
READ_PATH = "/-/rows-get"
OK = 200
MISMATCH_STATUS = 412
HISTORY_GONE_STATUS = 410
NO_EFFECT_STATUSES = frozenset({400, 403, 404, 413, 429, 503})


class WireRow(msgspec.Struct, frozen=True, omit_defaults=True):
    """A row; `ver` is the version of the last transaction that wrote it."""

    table: Name
    key: Name
    part: Name = ""
    value: bytes | None = None
    ver: Counter = 0
    deleted: bool = False


class WireRowName(msgspec.Struct, frozen=True):
    """The fields of a row without which it is of no use."""

    table: Name
    key: Name
    ver: Counter
    part: Name = ""


class WireExpected(msgspec.Struct, frozen=True):
    """The version that a row must have; 0 means that it must not exist."""

    table: str
    key: str
    part: str
    ver: int


class WireTransaction(msgspec.Struct, frozen=True, omit_defaults=True):
    """A transaction: expected versions, writes and removals."""

    expected: list[WireExpected] = []
    writes: list[WireRow] = []
    remove: list[WireRow] = []


class WireRows(msgspec.Struct, frozen=True):
    """Rows, each decoded by itself, the newest version of the store and its clock."""

    ver: Counter = 0
    nowMs: Counter = 0
    rows: list[msgspec.Raw] = []
    hasMore: bool = False


class PlatformStore(RowStore):
    """Client of the store, which also estimates the store's clock."""

    def __init__(
        self, client: HttpCaller, address: str, metrics: Metrics, events: EventLog
    ):
        self.client = client
        self.metrics = metrics
        self.address = address
        self.rejections = RejectionLog(events, "answer of the store")
        self.clock = StoreClock()
        self.version_times = VersionTimes()

    async def transact(
        self, expects: list[Expect], writes: list[Write], timeout: float
    ) -> TransactionResult:
        """Apply all writes if every row has its expected version.

        `timeout` is in seconds. Raises StoreUnavailableError if nothing was applied,
        and StoreUncertainError if the writes may have been.
        """
        transaction = WireTransaction()
        for expect in expects:
            row = WireExpected(
                expect.table, expect.name, part_of(expect.table), expect.version
            )
            transaction.expected.append(row)
        for write in writes:
            row = WireRow(write.table, write.name, part_of(write.table), write.value)
            if write.value is None:
                transaction.remove.append(row)
                continue
            transaction.writes.append(row)
        body = msgspec.json.encode(transaction)
        sent_at = boot_time()
        try:
            answer = await self.client.call(
                "POST", self.address, "/-/rows-tx", timeout, body
            )
        except CallError as error:
            self._record_call("write", error.effect.value, sent_at)
            if error.effect is CallEffect.NO_EFFECT:
                raise StoreUnavailableError(error.detail) from error
            raise StoreUncertainError(error.detail) from error
        self._record_call("write", str(answer.status), sent_at)
        if answer.status in NO_EFFECT_STATUSES:
            raise StoreUnavailableError(
                f"The store answered with status {answer.status}."
            )
        if answer.status not in (OK, MISMATCH_STATUS):
            raise StoreUncertainError(
                f"The store answered with status {answer.status}."
            )
        try:
            rows = self._decode(answer, sent_at)
        except StoreUnavailableError as error:
            raise StoreUncertainError(error.detail) from error
        self.version_times.observe(RowVersion(rows.ver), sent_at)
        if answer.status == OK:
            return TransactionResult(Outcome.APPLIED, RowVersion(rows.ver), {})
        current = {}
        for row in self._decode_rows(rows):
            if row.value is None or row.deleted:
                continue
            stored = _decode_row(row)
            current[(stored.table, stored.name)] = stored
        return TransactionResult(Outcome.MISMATCH, RowVersion(rows.ver), current)

    async def page(self, table: TableName, start: RowName, end: RowName) -> Page:
        """Return rows from `start` to before `end`; an empty name is no bound."""
        query = {"table": table, "part": part_of(table)}
        if start:
            query["from"] = start
        if end:
            query["target"] = end
        rows = await self._read(READ_PATH, query, READ_TIMEOUT_SECONDS)
        return Page(
            [
                _decode_row(row)
                for row in self._decode_rows(rows)
                if row.value is not None
            ],
            RowVersion(rows.ver),
            StoreMilliseconds(rows.nowMs),
            rows.hasMore,
        )

    async def changes(
        self, table: TableName, after: RowVersion, wait: float, answer_timeout: float
    ) -> Changes:
        """Wait up to `wait` seconds for changes of a table after a version.

        The answer may take `answer_timeout` seconds on top of that. Raises
        HistoryLostError if the store no longer has these changes.
        """
        query = {"table": table, "after": after, "waitMs": int(wait * MS_PER_SECOND)}
        rows = await self._read("/-/rows-feed", query, wait + answer_timeout)
        changes = []
        for row in self._decode_rows(rows):
            if row.part != part_of(table):
                continue
            value = None if row.deleted else row.value
            changes.append(Change(RowName(row.key), RowVersion(row.ver), value))
        return Changes(changes, RowVersion(rows.ver), StoreMilliseconds(rows.nowMs))

    async def _read(self, path: str, query: dict, timeout: float) -> WireRows:
        sent_at = boot_time()
        try:
            answer = await self.client.call(
                "GET",
                self.address,
                path,
                timeout,
                query=query,
                extra_body_seconds=EXTRA_BODY_SECONDS,
            )
        except CallError as error:
            self._record_call("read", error.effect.value, sent_at)
            raise StoreUnavailableError(error.detail) from error
        if path == READ_PATH:
            # Feed calls are not recorded, since they mostly wait for changes.
            self._record_call("read", str(answer.status), sent_at)
        if answer.status == HISTORY_GONE_STATUS:
            raise HistoryLostError(
                "The store no longer has the changes since this version."
            )
        if answer.status != OK:
            raise StoreUnavailableError(
                f"The store answered with status {answer.status}."
            )
        return self._decode(answer, sent_at)

    def _record_call(self, call: str, outcome: str, sent_at: BootSeconds):
        attributes = {"call": call, "outcome": outcome}
        self.metrics.store_time.record(boot_time() - sent_at, attributes)

    def _decode(self, answer: HttpAnswer, sent_at: BootSeconds) -> WireRows:
        try:
            rows = decode_json(answer.body, WireRows, "The store's answer")
        except MalformedInputError as error:
            raise StoreUnavailableError(error.detail) from error
        if rows.nowMs:
            self.clock.observe(StoreMilliseconds(rows.nowMs), sent_at, boot_time())
        return rows

    def _decode_rows(self, rows: WireRows) -> list[WireRow]:
        """Decode rows; one that can't be read hides no other."""
        decoded = []
        for entry in rows.rows:
            try:
                row = decode_json(entry, WireRow, "A row")
            except MalformedInputError as error:
                damaged = self._damaged_row(entry, error)
                if damaged is not None:
                    decoded.append(damaged)
                continue
            if self.rejections.reasons:
                self.rejections.accept(f"{row.table}/{row.key}")
            decoded.append(row)
        return decoded

    def _damaged_row(
        self, entry: msgspec.Raw, error: MalformedInputError
    ) -> WireRow | None:
        """Return a row with an empty value, or None if it has no name."""
        try:
            name = decode_json(entry, WireRowName, "A row")
        except MalformedInputError:
            self.rejections.reject("", error.detail)
            return None
        self.rejections.reject(f"{name.table}/{name.key}", error.detail)
        return WireRow(name.table, name.key, name.part, b"", name.ver)


def part_of(table: str) -> str:
    """Return the part of the store that holds a table."""
    return SHARED_PART if table in SHARED_TABLES else SCHEDULER_PART


def _decode_row(row: WireRow) -> StoredRow:
    return StoredRow(
        TableName(row.table), RowName(row.key), row.value or b"", RowVersion(row.ver)
    )
