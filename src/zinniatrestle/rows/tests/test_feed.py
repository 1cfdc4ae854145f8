"""A feed confirms what it knows, and notices soon when the store is back."""

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


class Names(TableReader):
    """Keep the names of a table's rows."""

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


class Scene:
    """A feed on a store with one host."""

    def __init__(self):
        self.rows = MemoryRows()
        self.store = HostRows(self.rows)
        self.reader = Names()
        self.feed = Feed(self.store, self.reader, EventLog(), WAIT_SECONDS)

    def put(self, name: str, value: bytes | None = b"v"):
        self.rows.put(TABLE, RowName(name), value)


def followed(check):
    async def run():
        scene = Scene()
        scene.put("first")
        following = asyncio.create_task(scene.feed.follow())
        await asyncio.sleep(0.1)
        await check(scene)
        following.cancel()

    run_virtual(run())


def test_rows_and_changes_are_taken_at_once():
    async def check(scene):
        assert scene.reader.names == {"first"}
        scene.put("second")
        scene.put("first", None)
        await asyncio.sleep(0.02)
        assert scene.reader.names == {"second"}

    followed(check)


def test_lost_history_is_read_anew():
    async def check(scene):
        scene.store.reachability = Reachability.REFUSED
        await asyncio.sleep(1.0)
        scene.put("second")
        scene.put("first", None)
        scene.rows.forget()
        scene.store.reachability = Reachability.SERVED
        await asyncio.sleep(0.5)
        assert scene.reader.names == {"second"}

    followed(check)


@pytest.mark.parametrize("reach", [Reachability.SILENT, Reachability.REFUSED])
@pytest.mark.parametrize("seconds", [3.0, 3.3, 3.7, 4.2])
def test_the_return_of_the_store_is_noticed_soon(reach, seconds):
    async def check(scene):
        scene.store.reachability = reach
        await asyncio.sleep(seconds)
        assert not scene.feed.reachable
        scene.store.reachability = Reachability.SERVED
        back_at = boot_time()
        await asyncio.sleep(PROBE_TIMEOUT_SECONDS + RETRY_SECONDS + 0.05)
        assert scene.feed.confirmed_at >= back_at

    followed(check)
