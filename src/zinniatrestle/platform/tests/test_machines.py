"""Calls about machines tell what was done from what was not."""

import asyncio

import msgspec
import pytest
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from zinniatrestle.ids import Generation, HostId, MachineId
from zinniatrestle.platform.http import HttpClient
from zinniatrestle.platform.machines import PlatformMachineCalls, PlatformWaveRows
from zinniatrestle.standins.wire import serve_app
from zinniatrestle.upkeep import (
    MachineRefusal,
    MachineRefusedError,
    MachineState,
    UnansweredMachineError,
    WaveState,
)

TIMEOUT = 1.0
ENTRY = {
    "machine": "m-1",
    "pool": "service",
    "state": "up",
    "zone": "zone-a",
    "labels": ["a", "r1-2"],
    "capacity": {"cpu": 1, "memMb": 1, "gpus": 0},
    "id": "i-1",
}


class Cloud:
    """Answer what a test tells it to."""

    def __init__(self):
        self.pages = [{"machines": [ENTRY], "nextPageToken": None}]
        self.status = 200
        self.body: dict = {}
        self.silent = False
        self.asked: list[tuple[dict, dict]] = []

    def app(self):
        return Starlette(
            routes=[
                Route("/-/machines", self.listing, methods=["GET"]),
                Route("/-/machine-upkeep", self.upkeep, methods=["POST"]),
            ]
        )

    async def listing(self, request: Request) -> Response:
        token = request.query_params.get("pageToken", "0")
        return Response(msgspec.json.encode(self.pages[int(token)]), self.status)

    async def upkeep(self, request: Request) -> Response:
        if self.silent:
            await asyncio.sleep(2 * TIMEOUT)
        body = msgspec.json.decode(await request.body())
        self.asked.append((body, dict(request.headers)))
        return Response(msgspec.json.encode(self.body), self.status)


def with_cloud(check):
    async def run():
        cloud = Cloud()
        client = HttpClient()
        async with serve_app(cloud.app()) as address:
            try:
                calls = PlatformMachineCalls(client, address, HostId("host-1"))
                await check(cloud, calls)
            finally:
                await client.close()

    asyncio.run(run())


async def begin(calls):
    await calls.begin_upkeep(MachineId("m-1"), 4, Generation(7), TIMEOUT)


def test_all_pages_of_machines_are_read():
    async def check(cloud, calls):
        second = {**ENTRY, "machine": "m-2", "state": "upkeep", "id": None}
        cloud.pages = [
            {"machines": [ENTRY], "nextPageToken": "1"},
            {"machines": [second], "nextPageToken": None},
        ]
        found = await calls.machines(TIMEOUT)
        assert [entry.machine for entry in found] == ["m-1", "m-2"]
        assert [entry.state for entry in found] == [
            MachineState.UP,
            MachineState.UPKEEP,
        ]
        assert found[0].worker == "i-1"

    with_cloud(check)


def test_a_state_of_an_unknown_name_is_none_to_take_down():
    async def check(cloud, calls):
        cloud.pages = [{"machines": [{**ENTRY, "state": "singing"}]}]
        (found,) = await calls.machines(TIMEOUT)
        assert found.state is MachineState.DOWN

    with_cloud(check)


def test_an_upkeep_names_its_wave_and_who_asks():
    async def check(cloud, calls):
        await begin(calls)
        ((body, headers),) = cloud.asked
        assert body == {"machine": "m-1", "wave": 4}
        assert headers["zinniatrestle-lease-holder"] == "host-1"
        assert headers["zinniatrestle-fencing-token"] == "7"

    with_cloud(check)


@pytest.mark.parametrize(
    "status, reason, refusal",
    [
        (409, "fence", MachineRefusal.STALE_GENERATION),
        (409, "busy", MachineRefusal.BUSY),
        (409, "wave", MachineRefusal.OTHER_WAVE),
        (409, "a new reason", MachineRefusal.BUSY),
        (400, "", MachineRefusal.UNKNOWN_MACHINE),
        (429, "", MachineRefusal.UNAVAILABLE),
        (503, "", MachineRefusal.UNAVAILABLE),
    ],
)
def test_a_refusal_says_why(status, reason, refusal):
    async def check(cloud, calls):
        cloud.status, cloud.body = status, {"reason": reason}
        with pytest.raises(MachineRefusedError) as caught:
            await begin(calls)
        assert caught.value.refusal is refusal

    with_cloud(check)


def test_a_call_without_an_answer_may_have_been_carried_out():
    async def check(cloud, calls):
        cloud.silent = True
        with pytest.raises(UnansweredMachineError):
            await begin(calls)

    with_cloud(check)


def test_without_an_address_nothing_is_called():
    async def check():
        calls = PlatformMachineCalls(HttpClient(), "", HostId("host-1"))
        with pytest.raises(MachineRefusedError):
            await calls.machines(TIMEOUT)

    asyncio.run(check())


@pytest.mark.parametrize("state", list(WaveState))
def test_what_operators_read_of_a_wave(state):
    rows = PlatformWaveRows()
    write = rows.status(3, state)
    assert (write.table, write.name) == ("status", "wave/3")
    assert msgspec.json.decode(write.value) == {"wave": 3, "state": state.value}
    assert rows.decode_status(write.value) is state


@pytest.mark.parametrize("value", [b"", b"{}", b'{"wave":1,"state":"lost"}', b"\xff"])
def test_a_damaged_status_tells_nothing(value):
    assert PlatformWaveRows().decode_status(value) is None
