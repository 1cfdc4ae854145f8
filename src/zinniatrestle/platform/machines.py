"""Client of the calls about machines, and the status rows of maintenance waves."""

from functools import partial
from typing import Any

import msgspec

from zinniatrestle.decoding import Counter, Name, decode_json, summarize
from zinniatrestle.errors import MalformedInputError
from zinniatrestle.events import EventLog, RejectionLog
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
from zinniatrestle.machines.interfaces import MachineCalls
from zinniatrestle.machines.messages import (
    Machine,
    MachineRefusal,
    MachineRefusedError,
    MachineState,
    UnansweredMachineError,
)
from zinniatrestle.platform.http import CallEffect, CallError, HttpAnswer, HttpCaller
from zinniatrestle.rows import Write
from zinniatrestle.upkeep.interfaces import WaveRows
from zinniatrestle.upkeep.messages import WaveState
from zinniatrestle.workers.interfaces import OrderPermission

HOLDER_HEADER = "Zinniatrestle-Lease-Holder"
GENERATION_HEADER = "Zinniatrestle-Fencing-Token"
STATUS_TABLE = TableName("status")
MACHINES_PATH = "/-/machines"
MAX_PAGES = 1000
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


class WireMachineName(msgspec.Struct, frozen=True):
    """The field of a machine without which the list is of no use."""

    machine: Name


class WireMachine(msgspec.Struct, frozen=True):
    """A machine; `id` is that of its worker, `pool` is the service that it serves."""

    machine: Name
    pool: Name | None = None
    state: Name = ""
    zone: Name = ""
    id: Name | None = None


class WireMachines(msgspec.Struct, frozen=True):
    """A page of the list of machines, of which each is decoded by itself."""

    machines: list[msgspec.Raw] = []
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

    wave: Counter
    state: Name


class PlatformMachineCalls(MachineCalls):
    """Client of the platform; an empty `address` means that it has no such calls."""

    def __init__(
        self,
        client: HttpCaller,
        address: str,
        host: HostId,
        permission: OrderPermission,
        events: EventLog,
    ):
        self.client = client
        self.permission = permission
        self.address = address
        self.host = host
        self.rejections = RejectionLog(events, "list of machines")

    async def machines(self, timeout: float) -> list[Machine]:
        """Return all machines, read page by page."""
        machines: list[Machine] = []
        errors: list[MalformedInputError] = []
        token = ""
        for _ in range(MAX_PAGES):
            query = {"pageToken": token} if token else None
            answer = await self._call("GET", MACHINES_PATH, timeout, query=query)
            page = _decode(answer, WireMachines)
            for entry in page.machines:
                machines.append(_decode_machine(entry, errors))
            token = page.nextPageToken or ""
            if not token:
                self._log_damage(errors)
                return machines
        raise UnansweredMachineError(
            f"The list of machines has more than {MAX_PAGES} pages."
        )

    def _log_damage(self, errors: list[MalformedInputError]):
        if errors:
            self.rejections.reject(MACHINES_PATH, summarize(errors))
        else:
            self.rejections.accept(MACHINES_PATH)

    async def begin_upkeep(
        self, machine: MachineId, wave: int, generation: Generation, timeout: float
    ):
        """Take a machine down for a wave, which ends its runs at once."""
        body = msgspec.json.encode(WireUpkeep(machine, wave))
        headers = {HOLDER_HEADER: self.host, GENERATION_HEADER: str(generation)}
        path = "/-/machine-upkeep"
        may_send = partial(self.permission.permits_orders, generation)
        await self._call(
            "POST", path, timeout, body=body, headers=headers, may_send=may_send
        )

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
            return WaveState(decode_json(value, WireStatus, "The status").state)
        except (MalformedInputError, ValueError):
            return None


def _decode_machine(entry: msgspec.Raw, errors: list[MalformedInputError]) -> Machine:
    """Decode a machine; raises UnansweredMachineError if it has no name.

    With other damage its state is unknown, so that it is not taken down.
    """
    try:
        wire = decode_json(entry, WireMachine, "A machine")
    except MalformedInputError as error:
        errors.append(error)
        wire = WireMachine(_machine_name(entry))
    try:
        state = MachineState(wire.state)
    except ValueError:
        state = MachineState.UNKNOWN
    return Machine(
        MachineId(wire.machine),
        ServiceName(wire.pool or ""),
        state,
        FailureDomainId(wire.zone),
        WorkerId(wire.id or ""),
    )


def _machine_name(entry: msgspec.Raw) -> str:
    # A machine that is missing from the list counts as removed.
    try:
        return decode_json(entry, WireMachineName, "A machine").machine
    except MalformedInputError as error:
        raise UnansweredMachineError(error.detail) from error


def _decode(answer: HttpAnswer, body_type: type) -> Any:
    try:
        return decode_json(answer.body, body_type, "The platform's answer")
    except MalformedInputError as error:
        raise UnansweredMachineError(error.detail) from error
