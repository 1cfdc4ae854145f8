"""Records of idempotency keys in the table, written in batches."""

import asyncio
from collections import deque

import msgspec

from zinniatrestle.errors import (
    PlatformError,
    ResultCode,
    StoreUnavailableError,
    StoreUncertainError,
)
from zinniatrestle.ids import ClientAccountId, RequestKey, RowKey
from zinniatrestle.logs import ComponentLog
from zinniatrestle.requests.messages import ClaimRow, ClaimState
from zinniatrestle.store.interfaces import TableService
from zinniatrestle.store.messages import ABSENT, Check, Put, Transaction

CLAIM_PREFIX = "claim/"
# Version of a row that was written once, by its claim; the outcome replaces it.
CLAIMED_ROW_VERSION = 1
RETRY_PAUSE_SECONDS = 0.5
READ_BACK_TRIES = 3

log = ComponentLog("claims")


def claim_key(account: ClientAccountId, key: RequestKey) -> RowKey:
    """Return the key of the row for an account's idempotency key."""
    return RowKey(f"{CLAIM_PREFIX}{account}/{key}")


class PendingWrite:
    """A row to write with the next flush; `done` is resolved by that flush."""

    def __init__(self, key: RowKey, row: ClaimRow, check: Check):
        self.key = key
        self.row = row
        self.check = check
        self.value = msgspec.msgpack.encode(row)
        self.done: asyncio.Future = asyncio.get_running_loop().create_future()


class ClaimStore:
    """Write claims and outcomes with group commit.

    Rows are appended to a queue and flushed together in one transaction, as in
    PIP-255: rows that arrive during a flush are batched into the next one, so the
    number of commits depends on the latency of the store, not on the number of
    requests. `lanes` is the number of concurrent flushes and `batch` the maximum
    number of rows in one.
    """

    def __init__(self, table: TableService, batch: int, lanes: int):
        self.table = table
        self.batch = batch
        self.lanes = lanes
        self.pending: deque[PendingWrite] = deque()
        self.wake = asyncio.Event()
        self.flushes = 0
        self.written = 0
        self.failing = False

    async def run(self):
        """Flush pending rows until cancelled."""
        async with asyncio.TaskGroup() as group:
            for _ in range(self.lanes):
                group.create_task(self._run_lane())

    async def claim(self, key: RowKey, row: ClaimRow) -> ClaimRow:
        """Claim a key; return the row that holds it, `row` or an earlier attempt's.

        Raises StoreUnavailableError when nothing was written and
        StoreUncertainError when it is unknown whether the write took effect.
        """
        existing = await self._write(PendingWrite(key, row, Check(key, ABSENT)))
        return existing or row

    async def record(self, key: RowKey, row: ClaimRow):
        """Write the outcome of a claim that this host holds.

        Retries without a time limit: as long as the outcome is missing, the key
        can't be answered and stays open.
        """
        while True:
            try:
                pending = PendingWrite(key, row, Check(key, CLAIMED_ROW_VERSION))
                await self._write(pending)
                return
            except PlatformError as error:
                log.warning("Could not write an outcome, will retry: %s", error.detail)
                await asyncio.sleep(RETRY_PAUSE_SECONDS)

    async def void(self, key: RowKey, row: ClaimRow):
        """Close a key whose claim by this host may or may not have been written.

        Writes nothing if no claim exists or another attempt holds the key.
        """
        while True:
            try:
                existing = await self.read(key)
                if existing is None or existing.attempt != row.attempt:
                    return
                await self.record(key, row)
                return
            except PlatformError:
                await asyncio.sleep(RETRY_PAUSE_SECONDS)

    async def read(self, key: RowKey) -> ClaimRow | None:
        """Return the row that holds a key, or None."""
        rows = await self.table.read([key])
        row = rows.get(key)
        return msgspec.msgpack.decode(row.value, type=ClaimRow) if row else None

    async def _write(self, pending: PendingWrite) -> ClaimRow | None:
        self.pending.append(pending)
        self.wake.set()
        return await pending.done

    async def _run_lane(self):
        while True:
            await self.wake.wait()
            batch = self._take_batch()
            if not batch:
                self.wake.clear()
                continue
            await self._flush(batch)

    def _take_batch(self) -> list[PendingWrite]:
        batch: list[PendingWrite] = []
        keys = set()
        deferred = []
        while self.pending and len(batch) < self.batch:
            pending = self.pending.popleft()
            if pending.done.done():
                continue
            if pending.key in keys:
                deferred.append(pending)
                continue
            keys.add(pending.key)
            batch.append(pending)
        self.pending.extendleft(reversed(deferred))
        return batch

    async def _flush(self, batch: list[PendingWrite]):
        """Commit a batch.

        If the checks of some rows fail, these rows are read back and the others are
        committed again without them.
        """
        while batch:
            transaction = Transaction(
                checks=[pending.check for pending in batch],
                puts=[Put(pending.key, pending.value) for pending in batch],
            )
            self.flushes += 1
            try:
                commit = await self.table.commit(transaction)
            except StoreUncertainError:
                await self._read_back(batch)
                return
            except PlatformError as error:
                self.failing = True
                _reject(batch, error)
                return
            self.failing = False
            if commit.committed:
                self.written += len(batch)
                _resolve_written(batch)
                return
            failed = [pending for pending in batch if pending.key in commit.failed]
            batch = [pending for pending in batch if pending.key not in commit.failed]
            await self._read_back(failed)

    async def _read_back(self, batch: list[PendingWrite]):
        keys = [pending.key for pending in batch]
        for _ in range(READ_BACK_TRIES):
            try:
                rows = await self.table.read(keys)
            except PlatformError:
                continue
            for pending in batch:
                row = rows.get(pending.key)
                _resolve(pending, row.value if row else None)
            return
        error = StoreUncertainError(
            "It is unknown whether the claim was written: its commit was not answered."
        )
        _reject(batch, error)


def _resolve_written(batch: list[PendingWrite]):
    for pending in batch:
        if not pending.done.done():
            pending.done.set_result(None)


def _reject(batch: list[PendingWrite], error: PlatformError):
    for pending in batch:
        if not pending.done.done():
            pending.done.set_exception(type(error)(error.detail, error.code))


def _resolve(pending: PendingWrite, value: bytes | None):
    """Resolve one pending write from the value that was read back.

    The value is either the one that was to be written, none, the earlier state of
    the same attempt, or the row of another attempt.
    """
    if pending.done.done():
        return
    if value == pending.value:
        pending.done.set_result(None)
        return
    if value is None:
        error = StoreUnavailableError("The write did not take effect.")
        pending.done.set_exception(error)
        return
    existing = msgspec.msgpack.decode(value, type=ClaimRow)
    is_own = existing.attempt == pending.row.attempt
    if is_own and existing.state is ClaimState.CLAIMED:
        error = StoreUnavailableError(
            "The write did not take effect.", ResultCode.STORE_UNAVAILABLE
        )
        pending.done.set_exception(error)
        return
    pending.done.set_result(existing)
