"""Client of the calls about machines: pages, refusals and lost answers."""

import asyncio

import msgspec
import pytest
from common.events import EventList
from common.permission import Permission
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from zinniatrestle.ids import Generation, HostId, MachineId
from zinniatrestle.machines import (
    MachineRefusal,
    MachineRefusedError,
    MachineState,
    UnansweredMachineError,
)
from zinniatrestle.platform.connections import ConnectionPool
from zinniatrestle.platform.machines import PlatformMachineCalls, PlatformWaveRows
from zinniatrestle.standins.wire import serve_app
from zinniatrestle.upkeep import WaveState

TIMEOUT_SECONDS = 1.0
ENTRY = {
    "machine": "m-1",
    "pool": "service",
    "state": "up",
    "zone": "zone-a",
    "labels": ["a", "r1-2"],
    "capacity": {"cpu": 1, "memMb": 1, "gpus": 0},
    "id": "i-1",
}


class MachineService:
    """A machine service whose answers are set by the test."""

    def __init__(self):
        self.pages = [{"machines": [ENTRY], "nextPageToken": None}]
        self.status = 200
        self.body: dict = {}
        self.silent = False
        self.requests: list[tuple[dict, dict]] = []

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
            await asyncio.sleep(2 * TIMEOUT_SECONDS)
        body = msgspec.json.decode(await request.body())
        self.requests.append((body, dict(request.headers)))
        return Response(msgspec.json.encode(self.body), self.status)


def run_with_service(check):
    async def run():
        service = MachineService()
        client = ConnectionPool()
        async with serve_app(service.app()) as address:
            try:
                calls = PlatformMachineCalls(
                    client, address, HostId("host-1"), Permission(), EventList()
                )
                await check(service, calls)
            finally:
                await client.close()

    asyncio.run(run())


async def begin(calls):
    await calls.begin_upkeep(MachineId("m-1"), 4, Generation(7), TIMEOUT_SECONDS)


def test_all_pages_of_machines_are_read():
    async def check(service, calls):
        second = {**ENTRY, "machine": "m-2", "state": "upkeep", "id": None}
        service.pages = [
            {"machines": [ENTRY], "nextPageToken": "1"},
            {"machines": [second], "nextPageToken": None},
        ]
        found = await calls.machines(TIMEOUT_SECONDS)
        assert [entry.machine for entry in found] == ["m-1", "m-2"]
        assert [entry.state for entry in found] == [
            MachineState.UP,
            MachineState.UPKEEP,
        ]
        assert found[0].worker == "i-1"

    run_with_service(check)


def test_a_machine_in_an_unknown_state_counts_as_down():
    async def check(service, calls):
        service.pages = [{"machines": [{**ENTRY, "state": "singing"}]}]
        (found,) = await calls.machines(TIMEOUT_SECONDS)
        assert found.state is MachineState.UNKNOWN

    run_with_service(check)


def test_an_upkeep_call_carries_its_wave_and_fencing_headers():
    async def check(service, calls):
        await begin(calls)
        ((body, headers),) = service.requests
        assert body == {"machine": "m-1", "wave": 4}
        assert headers["zinniatrestle-lease-holder"] == "host-1"
        assert headers["zinniatrestle-fencing-token"] == "7"

    run_with_service(check)


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
def test_a_refusal_is_decoded_into_its_reason(status, reason, refusal):
    async def check(service, calls):
        service.status, service.body = status, {"reason": reason}
        with pytest.raises(MachineRefusedError) as caught:
            await begin(calls)
        assert caught.value.refusal is refusal

    run_with_service(check)


# Guards against two hosts that take a machine down in turn.
def test_no_machine_is_taken_down_once_the_permission_has_run_out():
    async def check(service, calls):
        calls.permission.is_given = False
        with pytest.raises(MachineRefusedError):
            await begin(calls)
        assert service.requests == []

    run_with_service(check)


def test_a_call_without_an_answer_may_have_taken_effect():
    async def check(service, calls):
        service.silent = True
        with pytest.raises(UnansweredMachineError):
            await begin(calls)

    run_with_service(check)


def test_without_an_address_calls_are_refused():
    async def check():
        calls = PlatformMachineCalls(
            ConnectionPool(), "", HostId("host-1"), Permission(), EventList()
        )
        with pytest.raises(MachineRefusedError):
            await calls.machines(TIMEOUT_SECONDS)

    asyncio.run(check())


@pytest.mark.parametrize("state", list(WaveState))
def test_a_status_row_holds_the_state_of_its_wave(state):
    rows = PlatformWaveRows()
    write = rows.status(3, state)
    assert (write.table, write.name) == ("status", "wave/3")
    assert msgspec.json.decode(write.value) == {"wave": 3, "state": state.value}
    assert rows.decode_status(write.value) is state


@pytest.mark.parametrize("value", [b"", b"{}", b'{"wave":1,"state":"lost"}', b"\xff"])
def test_a_damaged_status_row_is_ignored(value):
    assert PlatformWaveRows().decode_status(value) is None
