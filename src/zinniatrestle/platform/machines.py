"""Client of the calls about machines, and the status rows of maintenance waves."""

from typing import Any

import msgspec

from zinniatrestle.ids import (
    FailureDomainId,
    Generation,
    HostId,
    MachineId,
    RowName,
    ServiceName,
    TableName,
    WorkerId,
)
from zinniatrestle.platform.http import CallEffect, CallError, HttpAnswer, HttpClient
from zinniatrestle.rows import Write
from zinniatrestle.upkeep.interfaces import MachineCalls, WaveRows
from zinniatrestle.upkeep.messages import (
    Machine,
    MachineRefusal,
    MachineRefusedError,
    MachineState,
    UnansweredMachineError,
    WaveState,
)

HOLDER_HEADER = "Zinniatrestle-Lease-Holder"
GENERATION_HEADER = "Zinniatrestle-Fencing-Token"
STATUS_TABLE = TableName("status")
OK = 200
REFUSALS_BY_REASON = {
    "fence": MachineRefusal.STALE_GENERATION,
    "busy": MachineRefusal.BUSY,
    "wave": MachineRefusal.OTHER_WAVE,
}
REFUSALS_BY_STATUS = {
    400: MachineRefusal.UNKNOWN_MACHINE,
    429: MachineRefusal.UNAVAILABLE,
    503: MachineRefusal.UNAVAILABLE,
}


class WireMachine(msgspec.Struct, frozen=True):
    """A machine; `id` is that of its worker, `pool` is the service that it serves."""

    machine: str
    pool: str | None = None
    state: str = ""
    zone: str = ""
    id: str | None = None


class WireMachines(msgspec.Struct, frozen=True):
    """A page of the list of machines."""

    machines: list[WireMachine] = []
    nextPageToken: str | None = None


class WireUpkeep(msgspec.Struct, frozen=True):
    """Call to take a machine down for a wave."""

    machine: str
    wave: int


class WireRefusal(msgspec.Struct, frozen=True):
    """Body of a refusal."""

    reason: str = ""


class WireStatus(msgspec.Struct, frozen=True):
    """Status of a wave."""

    wave: int
    state: str


class PlatformMachineCalls(MachineCalls):
    """Client of the platform; an empty `address` means that it has no such calls."""

    def __init__(self, client: HttpClient, address: str, host: HostId):
        self.client = client
        self.address = address
        self.host = host

    async def machines(self, timeout: float) -> list[Machine]:
        """Return all machines, read page by page."""
        machines: list[Machine] = []
        token: str | None = ""
        while token is not None:
            query = {"pageToken": token} if token else None
            answer = await self._call("GET", "/-/machines", timeout, query=query)
            page = _decode(answer, WireMachines)
            machines.extend(_decode_machine(entry) for entry in page.machines)
            token = page.nextPageToken or None
        return machines

    async def begin_upkeep(
        self, machine: MachineId, wave: int, generation: Generation, timeout: float
    ):
        """Take a machine down for a wave, which ends its runs at once."""
        body = msgspec.json.encode(WireUpkeep(machine, wave))
        headers = {HOLDER_HEADER: self.host, GENERATION_HEADER: str(generation)}
        path = "/-/machine-upkeep"
        await self._call("POST", path, timeout, body=body, headers=headers)

    async def _call(
        self, method: str, path: str, timeout: float, **options: Any
    ) -> HttpAnswer:
        if not self.address:
            raise MachineRefusedError(MachineRefusal.UNAVAILABLE)
        try:
            answer = await self.client.call(
                method, self.address, path, timeout, **options
            )
        except CallError as error:
            if error.effect is CallEffect.NO_EFFECT:
                raise MachineRefusedError(MachineRefusal.UNAVAILABLE) from error
            raise UnansweredMachineError(error.detail) from error
        if answer.status == OK:
            return answer
        if answer.status == 409:
            reason = REFUSALS_BY_REASON.get(_decode(answer, WireRefusal).reason)
            raise MachineRefusedError(reason or MachineRefusal.BUSY)
        if answer.status in REFUSALS_BY_STATUS:
            raise MachineRefusedError(REFUSALS_BY_STATUS[answer.status])
        raise UnansweredMachineError(
            f"The platform answered with status {answer.status}."
        )


class PlatformWaveRows(WaveRows):
    """Encode and decode the rows that show operators the status of waves."""

    def status(self, wave: int, state: WaveState) -> Write:
        """Return the write of a wave's status row."""
        value = msgspec.json.encode(WireStatus(wave, state.value))
        return Write(STATUS_TABLE, RowName(f"wave/{wave}"), value)

    def decode_status(self, value: bytes) -> WaveState | None:
        """Return the state in a status row, or None if it can't be decoded."""
        try:
            return WaveState(msgspec.json.decode(value, type=WireStatus).state)
        except (msgspec.DecodeError, ValueError):
            return None


def _decode_machine(wire: WireMachine) -> Machine:
    try:
        state = MachineState(wire.state)
    except ValueError:
        # A machine in an unknown state must not be taken down.
        state = MachineState.DOWN
    return Machine(
        MachineId(wire.machine),
        ServiceName(wire.pool or ""),
        state,
        FailureDomainId(wire.zone),
        WorkerId(wire.id or ""),
    )


def _decode(answer: HttpAnswer, body_type: type) -> Any:
    try:
        return msgspec.json.decode(answer.body, type=body_type)
    except msgspec.DecodeError as error:
        raise UnansweredMachineError(
            f"The platform's answer can't be decoded: {error}."
        ) from error
