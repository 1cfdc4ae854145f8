"""Answers of services that can't be decoded: one error, whatever is wrong with them."""

import base64
import json

import msgspec
import pytest
from common.answers import run_with_answers
from common.events import EventList
from common.odd_input import (
    BEYOND_64_BITS,
    UNREADABLE,
    damaged_texts,
    deterministic,
    with_nested_field,
)
from common.permission import Permission
from hypothesis import given

from zinniatrestle.advice import AdviserError
from zinniatrestle.errors import StoreUnavailableError, StoreUncertainError
from zinniatrestle.ids import (
    Generation,
    HostId,
    MachineId,
    RowName,
    RowVersion,
    TableName,
    WorkerId,
)
from zinniatrestle.machines import (
    MachineRefusedError,
    MachineState,
    UnansweredMachineError,
)
from zinniatrestle.metrics import Metrics
from zinniatrestle.platform.advice import PlatformAdviser
from zinniatrestle.platform.connections import ConnectionPool
from zinniatrestle.platform.http import CallEffect, CallError, HttpAnswer
from zinniatrestle.platform.machines import PlatformMachineCalls, PlatformWaveRows
from zinniatrestle.platform.store import PlatformStore
from zinniatrestle.rows import Write

TIMEOUT_SECONDS = 2.0
SERVERS = TableName("servers")
VALUE = base64.b64encode(b"value").decode()
ROWS = {
    "ver": 9,
    "nowMs": 5000,
    "rows": [{"table": "servers", "key": "i-1", "part": "", "value": VALUE, "ver": 8}],
    "hasMore": False,
}
(ROW,) = ROWS["rows"]
MACHINE = {
    "machine": "m-1",
    "pool": "service",
    "state": "up",
    "zone": "zone-a",
    "id": "i-1",
}
MACHINES = {"machines": [MACHINE], "nextPageToken": None}
ADVICE = {"allowed": [["i-1", "ticket"]]}


def changed(document: dict, **changes) -> bytes:
    return msgspec.json.encode({**document, **changes})


DAMAGED_ROWS = {
    **UNREADABLE,
    "a nested unknown field": with_nested_field(ROWS),
    "a nested row": changed(ROWS)[:-1] + b',"rows":[' + with_nested_field(ROW) + b"]}",
    "a version beyond 64 bits": changed(ROWS, ver=BEYOND_64_BITS),
    "a negative version": changed(ROWS, ver=-1),
    "a time beyond 64 bits": changed(ROWS, nowMs=BEYOND_64_BITS),
    "a negative time": changed(ROWS, nowMs=-1),
    "rows of another type": changed(ROWS, rows=7),
    # The first page is followed by none.
    "an empty page with more to come": changed(ROWS, rows=[], hasMore=True),
    "the same page again and again": changed(ROWS, hasMore=True),
}


def new_store(client: ConnectionPool, address: str) -> PlatformStore:
    return PlatformStore(client, address, Metrics(), EventList())


# Guards against a store whose answer ends those who read it.
def test_a_read_with_a_damaged_answer_is_an_outage():
    async def check(service, client, address):
        store = new_store(client, address)
        for name, text in DAMAGED_ROWS.items():
            service.body = text
            with pytest.raises(StoreUnavailableError):
                await store.all_rows(SERVERS)
                pytest.fail(name)

    run_with_answers(check)


@pytest.mark.parametrize("status", [200, 412])
def test_a_write_with_a_damaged_answer_may_have_applied(status):
    async def check(service, client, address):
        store = new_store(client, address)
        service.status = status
        for name, text in DAMAGED_ROWS.items():
            if "page" in name:
                continue
            service.body = text
            with pytest.raises(StoreUncertainError):
                await store.transact(
                    [], [Write(SERVERS, RowName("n"), b"v")], TIMEOUT_SECONDS
                )
                pytest.fail(name)

    run_with_answers(check)


@pytest.mark.parametrize(
    "row, names",
    [
        ({**ROW, "key": "i-2", "value": "no base64"}, ["i-1", "i-2"]),
        ({**ROW, "key": "i-2", "value": 7}, ["i-1", "i-2"]),
        ({**ROW, "key": "i-2", "deleted": "maybe"}, ["i-1", "i-2"]),
        ({**ROW, "key": 7}, ["i-1"]),
        ({**ROW, "key": "i" * 500}, ["i-1"]),
        ({**ROW, "ver": BEYOND_64_BITS}, ["i-1"]),
        ({**ROW, "ver": -1}, ["i-1"]),
        ({}, ["i-1"]),
        (7, ["i-1"]),
        (None, ["i-1"]),
    ],
)
def test_a_row_that_cannot_be_read_hides_no_other(row, names):
    async def check(service, client, address):
        store = new_store(client, address)
        service.body = changed(ROWS, rows=[ROW, row])
        page = await store.all_rows(SERVERS)
        assert [row.name for row in page.rows] == names
        assert [row.value for row in page.rows][1:] == [b""] * (len(names) - 1)
        changes = await store.changes(SERVERS, RowVersion(0), 0.0, TIMEOUT_SECONDS)
        assert [change.name for change in changes.changes] == names
        (line,) = store.rejections.events.lines
        assert line["event"] == "input_rejected"

    run_with_answers(check)


@deterministic
@given(damaged_texts(ROWS))
def test_any_rows_are_usable_or_an_outage(text):
    store = new_store(ConnectionPool(), "")
    try:
        rows = store._decode(HttpAnswer(200, text), 0.0)
        decoded = store._decode_rows(rows)
    except StoreUnavailableError:
        return
    msgspec.msgpack.encode([rows.ver, rows.nowMs])
    msgspec.json.encode([[row.table, row.key, row.ver] for row in decoded])


DAMAGED_MACHINES = {
    **UNREADABLE,
    "a nested unknown field": with_nested_field(MACHINES),
    "machines of another type": changed(MACHINES, machines=7),
    "a token of another type": changed(MACHINES, nextPageToken=7),
    "pages without an end": changed(MACHINES, nextPageToken="next"),
    # A machine that isn't listed would count as removed.
    "a machine without a name": changed(MACHINES, machines=[MACHINE, {}]),
    "a name of another type": changed(MACHINES, machines=[{**MACHINE, "machine": 7}]),
    "no machine": changed(MACHINES, machines=[None]),
}


@pytest.fixture
def few_pages(monkeypatch):
    monkeypatch.setattr("zinniatrestle.platform.machines.MAX_PAGES", 5)


def new_calls(client: ConnectionPool, address: str) -> PlatformMachineCalls:
    return PlatformMachineCalls(
        client, address, HostId("host"), Permission(), EventList()
    )


def test_a_damaged_list_of_machines_is_no_answer(few_pages):
    async def check(service, client, address):
        calls = new_calls(client, address)
        for name, text in DAMAGED_MACHINES.items():
            service.body = text
            with pytest.raises(UnansweredMachineError):
                await calls.machines(TIMEOUT_SECONDS)
                pytest.fail(name)

    run_with_answers(check)


@pytest.mark.parametrize(
    "damage", [{"state": 7}, {"pool": 7}, {"zone": None}, {"id": 7}, {"id": "i" * 500}]
)
def test_a_machine_with_damage_is_down_and_the_others_hold(damage):
    async def check(service, client, address):
        calls = new_calls(client, address)
        damaged = {**MACHINE, "machine": "m-2", **damage}
        service.body = changed(MACHINES, machines=[damaged, MACHINE])
        for _ in range(2):
            found = await calls.machines(TIMEOUT_SECONDS)
        assert [machine.machine for machine in found] == ["m-2", "m-1"]
        states = [machine.state for machine in found]
        assert states == [MachineState.UNKNOWN, MachineState.UP]
        assert len(calls.rejections.events.lines) == 1

    run_with_answers(check)


def test_a_refusal_of_an_upkeep_that_cannot_be_read_is_no_success():
    async def check(service, client, address):
        calls = new_calls(client, address)
        service.status = 409
        for text in UNREADABLE.values():
            service.body = text
            with pytest.raises((UnansweredMachineError, MachineRefusedError)):
                await calls.begin_upkeep(
                    MachineId("m-1"), 4, Generation(7), TIMEOUT_SECONDS
                )

    run_with_answers(check)


@pytest.mark.parametrize("text", UNREADABLE.values(), ids=UNREADABLE.keys())
def test_a_damaged_status_of_a_wave_is_none(text):
    assert PlatformWaveRows().decode_status(text) is None


DAMAGED_ADVICE = {
    **UNREADABLE,
    "a nested unknown field": with_nested_field(ADVICE),
    "no list": changed(ADVICE, allowed=7),
    "a row that is too short": changed(ADVICE, allowed=[["i-1"]]),
    "a ticket of another type": changed(ADVICE, allowed=[["i-1", 7]]),
    "a ticket that is too long": changed(ADVICE, allowed=[["i-1", "t" * 5000]]),
}


def test_damaged_advice_is_none():
    async def check(service, client, address):
        adviser = PlatformAdviser(client, address)
        for name, text in DAMAGED_ADVICE.items():
            service.body = text
            with pytest.raises(AdviserError):
                await adviser.advise("a.0.0", [WorkerId("i-1")], TIMEOUT_SECONDS)
                pytest.fail(name)

    run_with_answers(check)


# Guards against an answer that takes all of the process's memory.
def test_an_answer_that_is_too_large_is_not_read():
    async def check(service, client, address):
        service.body = b" " * (client.max_answer_bytes + 1)
        with pytest.raises(CallError) as caught:
            await client.call("GET", address, "/", TIMEOUT_SECONDS)
        assert caught.value.effect is CallEffect.UNKNOWN
        service.body = json.dumps(ROWS).encode()
        assert (await client.call("GET", address, "/", TIMEOUT_SECONDS)).status == 200

    run_with_answers(check)


@pytest.mark.parametrize(
    "address, headers",
    [
        ("127.0.0.1:99999", {}),
        ("127.0.0.1:http", {}),
        ("[::1", {}),
        ("127.0.0.1:1", {"Name": "a\r\nb: c"}),
        ("", {}),
    ],
)
def test_a_call_that_cannot_be_made_is_an_error_of_the_call(address, headers):
    async def check(service, client, _):
        with pytest.raises(CallError):
            await client.call("GET", address, "/", TIMEOUT_SECONDS, headers=headers)

    run_with_answers(check)


def test_a_header_that_cannot_be_sent_is_an_error_of_the_call():
    async def check(service, client, address):
        with pytest.raises(CallError):
            await client.call(
                "GET", address, "/", TIMEOUT_SECONDS, headers={"Name": "a\r\nb: c"}
            )
        assert service.calls == 0

    run_with_answers(check)
