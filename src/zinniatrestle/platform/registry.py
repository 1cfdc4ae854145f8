"""Decoder of the registry, in which workers write their own entries."""

from ipaddress import IPv4Address
from typing import Annotated

import msgspec
from msgspec import Meta

from zinniatrestle.decoding import (
    Capacity,
    Counter,
    Duration,
    Name,
    TimeLeft,
    decode_json,
)
from zinniatrestle.deployment import is_port
from zinniatrestle.errors import MalformedInputError
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
MAX_LABELS = 100


class WireCapacity(msgspec.Struct, frozen=True):
    """Capacity of a worker; `cpu` is in thousandths of a core."""

    cpu: Capacity
    memMb: Capacity
    gpus: Capacity = 0


class WireServer(msgspec.Struct, frozen=True):
    """Entry of a worker; `sequence` counts the writes of the entry."""

    service: Name
    address: Name
    zone: Name
    state: WorkerState
    capacity: WireCapacity
    labels: Annotated[list[Name], Meta(max_length=MAX_LABELS)] = []
    sequence: Counter = 0
    coldRemainingMs: TimeLeft = 0.0
    remainingMs: TimeLeft | None = None
    # Declared as a float, since not all writers send an integer.
    born: Duration = 0


class PlatformWorkerRows(WorkerRows):
    """Decoder of the registry's rows."""

    table = TableName("servers")

    def decode(self, name: RowName, value: bytes) -> WorkerEntry:
        """Return the entry; raises MalformedInputError if it names no usable worker."""
        wire = decode_json(value, WireServer, "The entry")
        _check_name(name)
        _check_address(wire.address)
        remaining = None
        if wire.remainingMs is not None:
            remaining = max(0.0, wire.remainingMs / MS_PER_SECOND)
        return WorkerEntry(
            worker=WorkerId(name),
            service=ServiceName(wire.service),
            address=wire.address,
            domain=FailureDomainId(wire.zone),
            state=wire.state,
            cpu=wire.capacity.cpu,
            memory_mb=wire.capacity.memMb,
            gpus=wire.capacity.gpus,
            labels=frozenset(wire.labels),
            rack=_rack_from_labels(wire.labels),
            instance=InstanceId(int(wire.born)),
            sequence=wire.sequence,
            remaining=remaining,
            cold_start_seconds=max(0.0, wire.coldRemainingMs / MS_PER_SECOND),
        )


def _check_name(name: RowName):
    """Check that orders can carry a worker's id in a header."""
    if not name or " " in name or not name.isascii() or not name.isprintable():
        raise MalformedInputError(
            "The entry's name must consist of printable ASCII characters."
        )


def _check_address(address: str):
    ip, _, port = address.rpartition(":")
    if not _is_host_ip(ip) or not is_port(port):
        raise MalformedInputError("The entry's address must be the IP:PORT of a host.")


def _is_host_ip(text: str) -> bool:
    try:
        ip = IPv4Address(text)
    except ValueError:
        return False
    return not (ip.is_unspecified or ip.is_multicast)


def _rack_from_labels(labels: list[str]) -> RackId:
    """Return the rack, the second label; the first one is the worker's kind."""
    return RackId(labels[1]) if len(labels) > 1 else RackId("")
