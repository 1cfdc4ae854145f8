"""A feed applies changes and soon detects that the store has recovered."""

import asyncio

import pytest
from common.events import EventList

from zinniatrestle.clock import boot_time
from zinniatrestle.ids import RowName, TableName
from zinniatrestle.rows import Change
from zinniatrestle.rows.feed import (
    MAX_PAUSE_SECONDS,
    PROBE_TIMEOUT_SECONDS,
    REAPPLY_SECONDS,
    RETRY_SECONDS,
    Feed,
    TableReader,
)
from zinniatrestle.standins.model import run_virtual
from zinniatrestle.standins.rows import HostRows, MemoryRows, Reachability

TABLE = TableName("table")
WAIT_SECONDS = 0.8
ODD_VALUE = b"odd"


class RecordedNames(TableReader):
    """Record the names of a table's rows."""

    table = TABLE

    def __init__(self):
        self.names: set[str] = set()
        self.fails = True

    def retain(self, names):
        self.names &= names

    def change(self, change: Change):
        if change.value == ODD_VALUE and self.fails:
            raise RuntimeError("not expected")
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
        self.events = EventList()
        self.feed = Feed(self.store, self.reader, self.events, WAIT_SECONDS)

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


# Guards against a feed that one row ends.
def test_a_row_that_cannot_be_applied_holds_up_no_other():
    async def check(scenario):
        scenario.put("odd", ODD_VALUE)
        scenario.put("second")
        await asyncio.sleep(0.1)
        scenario.rows.drop_history()
        scenario.put("third")
        await asyncio.sleep(1.0)
        assert scenario.reader.names == {"first", "second", "third"}
        for line in scenario.events.lines:
            if line["event"] == "task_failed":
                assert (line["task"], line["row"]) == ("feed", "odd")

    run_with_feed(check)


def test_a_row_that_could_not_be_applied_is_tried_again():
    async def check(scenario):
        scenario.put("odd", ODD_VALUE)
        await asyncio.sleep(2 * REAPPLY_SECONDS)
        failures = [line for line in scenario.events.lines if "task" in line]
        assert 2 <= len(failures) <= 3
        scenario.reader.fails = False
        await asyncio.sleep(REAPPLY_SECONDS + 1.0)
        assert "odd" in scenario.reader.names
        assert scenario.feed.failed == {}

    run_with_feed(check)


def test_a_newer_value_replaces_one_that_could_not_be_applied():
    async def check(scenario):
        scenario.put("odd", ODD_VALUE)
        await asyncio.sleep(0.1)
        scenario.put("odd", None)
        await asyncio.sleep(0.1)
        scenario.reader.fails = False
        await asyncio.sleep(REAPPLY_SECONDS + 1.0)
        assert scenario.reader.names == {"first"}

    run_with_feed(check)


def test_a_feed_goes_on_after_an_unexpected_error_of_the_store():
    async def check(scenario):
        read = scenario.store.changes
        calls = []

        async def fail(*args):
            calls.append(args)
            raise RuntimeError("not expected")

        scenario.store.changes = fail
        await asyncio.sleep(10.0)
        assert 5 <= len(calls) <= 20
        scenario.store.changes = read
        scenario.put("second")
        await asyncio.sleep(MAX_PAUSE_SECONDS + 0.1)
        assert scenario.reader.names == {"first", "second"}

    run_with_feed(check)
