"""A feed applies changes and soon detects that the store has recovered."""

import asyncio

import pytest

from zinniatrestle.clock import boot_time
from zinniatrestle.events import EventLog
from zinniatrestle.ids import RowName, TableName
from zinniatrestle.rows import Change, StoredRow
from zinniatrestle.rows.feed import (
    PROBE_TIMEOUT_SECONDS,
    RETRY_SECONDS,
    Feed,
    TableReader,
)
from zinniatrestle.standins.model import run_virtual
from zinniatrestle.standins.rows import HostRows, MemoryRows, Reachability

TABLE = TableName("table")
WAIT_SECONDS = 0.8


class RecordedNames(TableReader):
    """Record the names of a table's rows."""

    table = TABLE

    def __init__(self):
        self.names: set[str] = set()

    def snapshot(self, rows: list[StoredRow]):
        self.names = {row.name for row in rows}

    def change(self, change: Change):
        if change.value is None:
            self.names.discard(change.name)
        else:
            self.names.add(change.name)


class FeedScenario:
    """A feed of a store that one host uses."""

    def __init__(self):
        self.rows = MemoryRows()
        self.store = HostRows(self.rows)
        self.reader = RecordedNames()
        self.feed = Feed(self.store, self.reader, EventLog(), WAIT_SECONDS)

    def put(self, name: str, value: bytes | None = b"v"):
        self.rows.put(TABLE, RowName(name), value)


def run_with_feed(check):
    async def run():
        scenario = FeedScenario()
        scenario.put("first")
        following = asyncio.create_task(scenario.feed.follow())
        await asyncio.sleep(0.1)
        await check(scenario)
        following.cancel()

    run_virtual(run())


def test_rows_and_changes_are_applied_at_once():
    async def check(scenario):
        assert scenario.reader.names == {"first"}
        scenario.put("second")
        scenario.put("first", None)
        await asyncio.sleep(0.02)
        assert scenario.reader.names == {"second"}

    run_with_feed(check)


def test_the_table_is_read_again_after_lost_history():
    async def check(scenario):
        scenario.store.reachability = Reachability.REFUSED
        await asyncio.sleep(1.0)
        scenario.put("second")
        scenario.put("first", None)
        scenario.rows.drop_history()
        scenario.store.reachability = Reachability.SERVED
        await asyncio.sleep(0.5)
        assert scenario.reader.names == {"second"}

    run_with_feed(check)


@pytest.mark.parametrize("reachability", [Reachability.SILENT, Reachability.REFUSED])
@pytest.mark.parametrize("seconds", [3.0, 3.3, 3.7, 4.2])
def test_recovery_of_the_store_is_detected_soon(reachability, seconds):
    async def check(scenario):
        scenario.store.reachability = reachability
        await asyncio.sleep(seconds)
        assert not scenario.feed.reachable
        scenario.store.reachability = Reachability.SERVED
        recovered_at = boot_time()
        await asyncio.sleep(PROBE_TIMEOUT_SECONDS + RETRY_SECONDS + 0.05)
        assert scenario.feed.confirmed_at >= recovered_at

    run_with_feed(check)
