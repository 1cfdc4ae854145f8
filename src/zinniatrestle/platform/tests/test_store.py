"""Client of the store: refusals, lost answers and successes are kept apart."""

import asyncio

import pytest
from common.events import EventList

from zinniatrestle.errors import (
    HistoryLostError,
    StoreUnavailableError,
    StoreUncertainError,
)
from zinniatrestle.ids import RowName, RowVersion, TableName
from zinniatrestle.metrics import Metrics
from zinniatrestle.platform.connections import ConnectionPool
from zinniatrestle.platform.store import READ_TIMEOUT_SECONDS, PlatformStore
from zinniatrestle.rows import Expect, Write
from zinniatrestle.standins.wire import (
    ANSWER_PARTS,
    PART_PAUSE_SECONDS,
    WireFault,
    WireStore,
    serve_app,
)

TABLE = TableName("table")
NAME = RowName("name")
CALL_TIMEOUT_SECONDS = 0.5


def run_with_store(check):
    async def run():
        wire = WireStore()
        client = ConnectionPool()
        async with serve_app(wire.app()) as address:
            try:
                await check(
                    wire, PlatformStore(client, address, Metrics(), EventList())
                )
            finally:
                await client.close()

    asyncio.run(run())


# The stand-in gave all rows the part of the scheduler's tables, so no host saw a change
# of the registry or the configuration.
@pytest.mark.parametrize("table", ["table", "op", "servers"])
def test_changes_of_each_part_of_the_store_arrive(table):
    async def check(wire, store):
        wire.rows.put(TableName(table), NAME, b"value")
        wire.rows.put(TableName(table), NAME, None)
        wire.rows.put(TableName(table), RowName("other"), b"other")
        changes = await store.changes(
            TableName(table), RowVersion(0), 0.0, CALL_TIMEOUT_SECONDS
        )
        values = [(change.name, change.value) for change in changes.changes]
        assert values == [(NAME, None), ("other", b"other")]

    run_with_store(check)


def write(value: bytes = b"value") -> list[Write]:
    return [Write(TABLE, NAME, value)]


def test_a_written_row_is_read_back_with_its_version():
    async def check(wire, store):
        result = await store.transact(
            [Expect(TABLE, NAME)], write(), CALL_TIMEOUT_SECONDS
        )
        assert result.applied
        row = await store.row(TABLE, NAME)
        assert (row.value, row.version) == (b"value", result.version)
        assert store.clock.now > 0

    run_with_store(check)


def test_a_mismatch_returns_the_current_row():
    async def check(wire, store):
        await store.transact([], write(b"first"), CALL_TIMEOUT_SECONDS)
        result = await store.transact(
            [Expect(TABLE, NAME)], write(), CALL_TIMEOUT_SECONDS
        )
        assert not result.applied
        assert result.current[(TABLE, NAME)].value == b"first"

    run_with_store(check)


@pytest.mark.parametrize(
    "fault, error, written",
    [
        (WireFault.BUSY, StoreUnavailableError, False),
        (WireFault.REFUSED, StoreUnavailableError, False),
        (WireFault.SILENT, StoreUncertainError, False),
        (WireFault.LOST, StoreUncertainError, True),
        (WireFault.CUT, StoreUncertainError, True),
        (WireFault.GARBLED, StoreUncertainError, True),
    ],
)
def test_a_failed_transaction_shows_whether_it_may_have_applied(fault, error, written):
    async def check(wire, store):
        wire.fault = fault
        with pytest.raises(error):
            await store.transact([], write(), CALL_TIMEOUT_SECONDS)
        assert (wire.rows.row(TABLE, NAME) is not None) is written

    run_with_store(check)


@pytest.mark.parametrize(
    "fault",
    [WireFault.BUSY, WireFault.REFUSED, WireFault.CUT, WireFault.GARBLED],
)
def test_a_failed_read_raises_store_unavailable(fault):
    async def check(wire, store):
        wire.fault = fault
        with pytest.raises(StoreUnavailableError):
            await store.page(TABLE, RowName(""), RowName(""))

    run_with_store(check)


def test_a_slow_answer_is_read_while_data_keeps_arriving():
    async def check(wire, store):
        await store.transact([], write(), CALL_TIMEOUT_SECONDS)
        wire.fault = WireFault.TRICKLED
        assert ANSWER_PARTS * PART_PAUSE_SECONDS > READ_TIMEOUT_SECONDS
        page = await store.page(TABLE, RowName(""), RowName(""))
        assert [row.value for row in page.rows] == [b"value"]
        changes = await store.changes(TABLE, RowVersion(0), 0.0, CALL_TIMEOUT_SECONDS)
        assert len(changes.changes) == 1

    run_with_store(check)


def test_an_answer_that_stalls_times_out():
    async def check(wire, store):
        wire.fault = WireFault.STUCK
        with pytest.raises(StoreUnavailableError):
            await store.page(TABLE, RowName(""), RowName(""))

    run_with_store(check)


def test_an_unreachable_store_is_unavailable():
    async def check(wire, store):
        store.address = "127.0.0.1:1"
        with pytest.raises(StoreUnavailableError):
            await store.transact([], write(), CALL_TIMEOUT_SECONDS)

    run_with_store(check)


def test_changes_return_writes_and_removals_in_order():
    async def check(wire, store):
        await store.transact([], write(), CALL_TIMEOUT_SECONDS)
        first = await store.changes(TABLE, RowVersion(0), 0.0, CALL_TIMEOUT_SECONDS)
        wire.rows.put(TABLE, NAME, None)
        second = await store.changes(TABLE, first.version, 0.0, CALL_TIMEOUT_SECONDS)
        assert [change.value for change in second.changes] == [None]

    run_with_store(check)


def test_lost_history_raises_history_lost():
    async def check(wire, store):
        await store.transact([], write(), CALL_TIMEOUT_SECONDS)
        wire.rows.drop_history()
        with pytest.raises(HistoryLostError):
            await store.changes(TABLE, RowVersion(0), 0.0, CALL_TIMEOUT_SECONDS)

    run_with_store(check)


# Guards against a stand-in that skips the changes of which its feeds did not tell.
def test_a_change_that_a_feed_does_not_tell_of_leaves_a_gap():
    async def check(wire, store):
        await store.transact([], write(), CALL_TIMEOUT_SECONDS)
        first = await store.changes(TABLE, RowVersion(0), 0.0, CALL_TIMEOUT_SECONDS)
        compaction = asyncio.create_task(wire.rows.compact())
        await asyncio.sleep(0)
        wire.rows.put(TABLE, NAME, None)
        second = await store.changes(TABLE, first.version, 0.0, CALL_TIMEOUT_SECONDS)
        assert (second.changes, second.version) == ([], first.version)
        await compaction
        with pytest.raises(HistoryLostError):
            await store.changes(TABLE, second.version, 0.0, CALL_TIMEOUT_SECONDS)

    run_with_store(check)
