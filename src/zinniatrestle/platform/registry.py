"""Decoder of the registry, in which workers write their own entries."""

import msgspec

from zinniatrestle.ids import (
    FailureDomainId,
    InstanceId,
    RackId,
    RowName,
    ServiceName,
    TableName,
    WorkerId,
)
from zinniatrestle.workers.interfaces import WorkerRows
from zinniatrestle.workers.messages import WorkerEntry, WorkerState

MS_PER_SECOND = 1000.0


class WireCapacity(msgspec.Struct, frozen=True):
    """Capacity of a worker; `cpu` is in thousandths of a core."""

    cpu: int
    memMb: int
    gpus: int = 0


class WireServer(msgspec.Struct, frozen=True):
    """Entry of a worker; `sequence` counts the writes of the entry."""

    service: str
    address: str
    zone: str
    state: str
    capacity: WireCapacity
    labels: list[str] = []
    sequence: int = 0
    coldRemainingMs: float = 0.0
    remainingMs: float | None = None
    # Declared as a float, since not all writers send an integer.
    born: float = 0


class PlatformWorkerRows(WorkerRows):
    """Decoder of the registry's rows."""

    table = TableName("servers")

    def decode(self, name: RowName, value: bytes) -> WorkerEntry | None:
        """Return the entry, or None if it is damaged or its address is invalid."""
        try:
            wire = msgspec.json.decode(value, type=WireServer)
            state = WorkerState(wire.state)
        except (msgspec.ValidationError, msgspec.DecodeError, ValueError):
            return None
        ip, _, port = wire.address.rpartition(":")
        if not ip or not port.isdigit():
            return None
        remaining = None
        if wire.remainingMs is not None:
            remaining = wire.remainingMs / MS_PER_SECOND
        return WorkerEntry(
            worker=WorkerId(name),
            service=ServiceName(wire.service),
            address=wire.address,
            domain=FailureDomainId(wire.zone),
            state=state,
            cpu=wire.capacity.cpu,
            memory_mb=wire.capacity.memMb,
            gpus=wire.capacity.gpus,
            labels=frozenset(wire.labels),
            rack=_rack_from_labels(wire.labels),
            instance=InstanceId(int(wire.born)),
            sequence=wire.sequence,
            remaining=remaining,
            cold_start_seconds=wire.coldRemainingMs / MS_PER_SECOND,
        )


def _rack_from_labels(labels: list[str]) -> RackId:
    """Return the rack, the second label; the first one is the worker's kind."""
    return RackId(labels[1]) if len(labels) > 1 else RackId("")
