"""Claim request keys in the table, many with one write."""

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
FIRST_VERSION = 1
RETRY_SECONDS = 0.5
READ_BACK_TRIES = 3

log = ComponentLog("claims")


def claim_key(account: ClientAccountId, key: RequestKey) -> RowKey:
    """Return the row of one account's request key."""
    return RowKey(f"{CLAIM_PREFIX}{account}/{key}")


class PendingWrite:
    """Hold one row that waits for the next flush."""

    def __init__(self, key: RowKey, row: ClaimRow, check: Check):
        self.key = key
        self.row = row
        self.check = check
        self.value = msgspec.msgpack.encode(row)
        self.done: asyncio.Future = asyncio.get_running_loop().create_future()


class ClaimStore:
    """Append claims and outcomes, and flush all that wait in one transaction.

    Append and flush are split as in PIP-255: while one flush is under way the next
    ones gather, so the number of writes follows the store's latency and not the
    number of requests.
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
        """Flush until cancelled."""
        async with asyncio.TaskGroup() as group:
            for _ in range(self.lanes):
                group.create_task(self._run_lane())

    async def claim(self, key: RowKey, row: ClaimRow) -> ClaimRow:
        """Claim a key; return the row that holds it, this one or an earlier.

        Raises StoreUnavailableError when nothing was written and
        StoreUncertainError when that can't be told.
        """
        held = await self._write(PendingWrite(key, row, Check(key, ABSENT)))
        return held or row

    async def record(self, key: RowKey, row: ClaimRow):
        """Write the outcome of a claim that this host holds, however long it takes."""
        while True:
            try:
                pending = PendingWrite(key, row, Check(key, FIRST_VERSION))
                await self._write(pending)
                return
            except PlatformError as error:
                log.warning("An outcome waits for the store: %s", error.detail)
                await asyncio.sleep(RETRY_SECONDS)

    async def void(self, key: RowKey, row: ClaimRow):
        """Close a key whose claim may or may not have been written by this host."""
        while True:
            try:
                found = await self.read(key)
                if found is None or found.attempt != row.attempt:
                    return
                await self.record(key, row)
                return
            except PlatformError:
                await asyncio.sleep(RETRY_SECONDS)

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
        put_off = []
        while self.pending and len(batch) < self.batch:
            pending = self.pending.popleft()
            if pending.done.done():
                continue
            if pending.key in keys:
                put_off.append(pending)
                continue
            keys.add(pending.key)
            batch.append(pending)
        self.pending.extendleft(reversed(put_off))
        return batch

    async def _flush(self, batch: list[PendingWrite]):
        """Write a batch; leave out rows whose check fails and write the others."""
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
                _refuse(batch, error)
                return
            self.failing = False
            if commit.committed:
                self.written += len(batch)
                _accept(batch)
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
                _settle(pending, row.value if row else None)
            return
        error = StoreUncertainError("The store lost the answer to a claim.")
        _refuse(batch, error)


def _accept(batch: list[PendingWrite]):
    for pending in batch:
        if not pending.done.done():
            pending.done.set_result(None)


def _refuse(batch: list[PendingWrite], error: PlatformError):
    for pending in batch:
        if not pending.done.done():
            pending.done.set_exception(type(error)(error.detail, error.code))


def _settle(pending: PendingWrite, value: bytes | None):
    """Tell one writer what the table holds after an unclear commit."""
    if pending.done.done():
        return
    if value == pending.value:
        pending.done.set_result(None)
        return
    if value is None:
        error = StoreUnavailableError("The write did not take effect.")
        pending.done.set_exception(error)
        return
    held = msgspec.msgpack.decode(value, type=ClaimRow)
    mine = held.attempt == pending.row.attempt
    if mine and held.state is ClaimState.CLAIMED:
        error = StoreUnavailableError(
            "The write did not take effect.", ResultCode.STORE_UNAVAILABLE
        )
        pending.done.set_exception(error)
        return
    pending.done.set_result(held)
