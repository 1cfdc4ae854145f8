"""Entries of workers in the registry; a damaged one names no worker."""

import asyncio

import msgspec
import pytest
from common.events import EventList
from common.odd_input import (
    BEYOND_64_BITS,
    UNREADABLE,
    badly_encoded,
    damaged_texts,
    deterministic,
    with_nested_field,
)
from hypothesis import given
from yarl import URL

from zinniatrestle.deployment import Addresses, Deployment, Identity
from zinniatrestle.errors import MalformedInputError
from zinniatrestle.ids import FailureDomainId, HostId, RegionId, RowName, TableName
from zinniatrestle.platform.registry import PlatformWorkerRows
from zinniatrestle.rows.feed import Feed
from zinniatrestle.scheduling.fleet import Fleet, FleetListener
from zinniatrestle.standins.rows import HostRows, MemoryRows
from zinniatrestle.workers.messages import WorkerState

SERVERS = TableName("servers")
ENTRY = {
    "service": "service",
    "address": "10.0.0.7:8080",
    "zone": "zone-a",
    "version": "v1",
    "slots": 8,
    "state": "ready",
    "coldRemainingMs": 0,
    "remainingMs": 1500,
    "capacity": {"cpu": 8000, "memMb": 1024, "gpus": 2},
    "labels": ["a", "r1-2"],
    "sequence": 4,
    "born": 1_800_000_000_000,
}


def text_of(entry: dict, **changes) -> bytes:
    return msgspec.json.encode({**entry, **changes})


def capacity(**changes) -> dict:
    return {"capacity": {**ENTRY["capacity"], **changes}}


DAMAGED = {
    **UNREADABLE,
    **badly_encoded("service"),
    "a nested unknown field": with_nested_field(ENTRY),
    "a state that is not named": text_of(ENTRY, state="unheard"),
    "a missing service": text_of({"address": "10.0.0.7:8080"}),
    "a service of another type": text_of(ENTRY, service=7),
    "no capacity": text_of(ENTRY, capacity=None),
    "a capacity of another type": text_of(ENTRY, **capacity(cpu="many")),
    "a capacity beyond 64 bits": text_of(ENTRY, **capacity(cpu=BEYOND_64_BITS)),
    "an absurd capacity": text_of(ENTRY, **capacity(memMb=2**62)),
    "a negative capacity": text_of(ENTRY, **capacity(gpus=-1)),
    "a sequence beyond 64 bits": text_of(ENTRY, sequence=BEYOND_64_BITS),
    "a negative sequence": text_of(ENTRY, sequence=-1),
    "a start beyond 64 bits": text_of(ENTRY, born=BEYOND_64_BITS),
    "a start before 1970": text_of(ENTRY, born=-1),
    "a start beyond all floats": text_of(ENTRY)[:-1] + b',"born":1e999}',
    "an absurd remaining time": text_of(ENTRY, remainingMs=1e300),
    "an absurd negative time": text_of(ENTRY, remainingMs=-1e300),
    "labels of another type": text_of(ENTRY, labels=[7]),
    "an address of another type": text_of(ENTRY, address=7),
}
ADDRESSES = [
    "",
    "nowhere",
    ":80",
    "10.0.0.7",
    "10.0.0.7:",
    "10.0.0.7:0",
    "10.0.0.7:65536",
    "10.0.0.7:99999",
    "10.0.0.7:-1",
    "10.0.0.7:http",
    # Digits, but no number.
    "10.0.0.7:\u00b2",
    "10.0.0.7:" + "1" * 5000,
    "10.0.0.7:80/path",
    "10.0.0.7:80:80",
    "10.0.0:80",
    "10.0.0.256:80",
    "0.0.0.0:80",
    "224.0.0.1:80",
    "::1:80",
    "[::1]:80",
    "user@10.0.0.7:80",
    "10.0.0.7 :80",
    "10.0.0.7\0:80",
]


@pytest.mark.parametrize("text", DAMAGED.values(), ids=DAMAGED.keys())
def test_a_damaged_entry_is_malformed_input(text):
    with pytest.raises(MalformedInputError):
        PlatformWorkerRows().decode(RowName("i-1"), text)


@pytest.mark.parametrize("address", ADDRESSES)
def test_an_entry_without_a_usable_address_is_malformed_input(address):
    with pytest.raises(MalformedInputError):
        PlatformWorkerRows().decode(RowName("i-1"), text_of(ENTRY, address=address))


# The name is sent in a header of each order.
@pytest.mark.parametrize("name", ["", "i-1\r\nHost: x", "i\0", "i-\u00b2", "i 1"])
def test_an_entry_under_a_name_that_no_order_can_carry_is_malformed_input(name):
    with pytest.raises(MalformedInputError):
        PlatformWorkerRows().decode(RowName(name), text_of(ENTRY))


def test_an_entry_is_decoded_into_rack_capacity_and_state():
    entry = PlatformWorkerRows().decode(
        RowName("i-1"), text_of(ENTRY, state="draining", unknown={"deep": [[1]]})
    )
    assert entry.rack == "r1-2"
    assert (entry.cpu, entry.memory_mb, entry.gpus) == (8000, 1024, 2)
    assert entry.state is WorkerState.DRAINING
    assert (entry.remaining, entry.instance) == (1.5, 1_800_000_000_000)


# Guards against a draining worker whose entry is ignored, so that tasks start there.
def test_a_time_that_has_passed_counts_as_none_left():
    late = text_of(ENTRY, state="draining", remainingMs=-5, coldRemainingMs=-5)
    entry = PlatformWorkerRows().decode(RowName("i-1"), late)
    assert entry.state is WorkerState.DRAINING
    assert (entry.remaining, entry.cold_start_seconds) == (0.0, 0.0)


@deterministic
@given(damaged_texts(ENTRY))
def test_any_entry_is_usable_or_malformed_input(text):
    try:
        entry = PlatformWorkerRows().decode(RowName("i-1"), text)
    except MalformedInputError:
        return
    # What later parts need: rows, log lines, calls and sums of capacities.
    msgspec.msgpack.encode(entry)
    msgspec.json.encode(entry)
    assert 0 < URL(f"http://{entry.address}/-/hold").port < 2**16
    assert min(entry.cpu, entry.memory_mb, entry.gpus) >= 0
    assert 0 <= entry.cold_start_seconds < 2**53


class RecordedWorkers(FleetListener):
    """Record the workers that join."""

    def __init__(self):
        self.joined_workers: list[str] = []

    def joined(self, worker):
        self.joined_workers.append(worker.id)

    def drain_started(self, worker):
        pass

    def lease_expired(self, worker):
        pass

    def runs_ended(self, worker, reason):
        pass

    def ended(self, worker, reason, replaced):
        pass


class Registry:
    """The registry, and a fleet that follows it through a feed."""

    def __init__(self):
        self.rows = MemoryRows()
        self.events = EventList()
        self.listener = RecordedWorkers()
        identity = Identity(
            HostId("h"), "10.0.0.1", FailureDomainId("zone-a"), RegionId("region-a")
        )
        deployment = Deployment(identity, Addresses("", "", ""))
        store = HostRows(self.rows)
        self.fleet = Fleet(
            PlatformWorkerRows(),
            deployment,
            store.version_times,
            self.listener,
            self.events,
        )
        self.feed = Feed(store, self.fleet, self.events, 0.0)

    def put(self, name: str, value: bytes | None):
        self.rows.put(SERVERS, RowName(name), value)

    def rejections(self) -> list[dict]:
        return [line for line in self.events.lines if line["event"] == "input_rejected"]


def run_with_registry(check):
    async def run():
        await check(Registry())

    asyncio.run(run())


# Guards against a scheduler that one entry ends, on one host after the other.
@pytest.mark.parametrize("text", DAMAGED.values(), ids=DAMAGED.keys())
def test_a_damaged_entry_names_no_worker_and_the_others_hold(text):
    async def check(registry):
        registry.put("i-0", text_of(ENTRY))
        registry.put("i-1", text)
        registry.put("i-2", text_of(ENTRY))
        await registry.feed.step()
        registry.put("i-3", text)
        registry.put("i-4", text_of(ENTRY))
        await registry.feed.step()
        assert registry.listener.joined_workers == ["i-0", "i-2", "i-4"]
        rejections = registry.rejections()
        assert [line["name"] for line in rejections] == ["i-1", "i-3"]
        assert all(line["reason"] for line in rejections)

    run_with_registry(check)


def test_a_damaged_entry_is_logged_once_until_its_damage_changes():
    async def check(registry):
        nested, negative = with_nested_field(ENTRY), text_of(ENTRY, sequence=-1)
        for text in (nested, nested, negative, None, negative, text_of(ENTRY)):
            registry.put("i-1", text)
            registry.rows.drop_history()
            registry.feed.version = None
            await registry.feed.step()
            await registry.feed.step()
        reasons = [line["reason"] for line in registry.rejections()]
        assert len(reasons) == 3
        assert reasons[0] != reasons[1] == reasons[2]
        assert registry.listener.joined_workers == ["i-1"]

    run_with_registry(check)


def test_a_worker_keeps_its_entry_while_a_damaged_one_replaces_it():
    async def check(registry):
        registry.put("i-1", text_of(ENTRY))
        await registry.feed.step()
        registry.put("i-1", with_nested_field(ENTRY))
        await registry.feed.step()
        (worker,) = registry.fleet.workers.values()
        assert (worker.free_cpu, worker.missing_since) == (8000, None)
        registry.put("i-1", text_of(ENTRY, state="draining"))
        await registry.feed.step()
        assert worker.entry.state is WorkerState.DRAINING

    run_with_registry(check)
