"""Messages between peers and their encoding in Cap'n Proto."""

from enum import Enum
from pathlib import Path

import capnp
import msgspec

from zinniatrestle.configuration.messages import ChangeRecord, Snapshot
from zinniatrestle.ids import (
    ClientAccountId,
    FailureDomainId,
    HostId,
    MinionId,
    Revision,
    ServiceName,
)
from zinniatrestle.store.messages import ListedHost

SCHEMA = capnp.load(str(Path(__file__).with_name("peers.capnp")))
MS_PER_SECOND = 1000


class Duty(Enum):
    """Method of a call to a peer."""

    PULL = "pull"
    EVIDENCE = "evidence"
    BURN = "burn"
    FORWARD = "forward"


class Hello(msgspec.Struct, frozen=True):
    """Handshake message; `proof` is an HMAC with the cluster key."""

    host: HostId
    domain: FailureDomainId
    boot: str
    nonce: bytes
    proof: bytes = b""


class Heartbeat(msgspec.Struct, frozen=True):
    """Periodic report of a host to its peers.

    `confirmed_wall` is the wall time in seconds at which the host's configuration
    was last confirmed to be the newest.
    """

    revision: Revision
    confirmed_wall: float
    leaving: bool = False
    in_progress: int = 0
    leaving_minions: list[MinionId] = []
    free_slots: dict[ServiceName, int] = {}


class Call(msgspec.Struct, frozen=True):
    """Call to a peer; the body is MessagePack."""

    duty: Duty
    body: bytes


class Answer(msgspec.Struct, frozen=True):
    """Answer to a call; a code other than 0 means that it was refused."""

    code: int
    detail: str
    body: bytes


Content = Hello | Heartbeat | Call | Answer


class Frame(msgspec.Struct, frozen=True):
    """One message on a link; an answer has the number of its call."""

    number: int
    content: Content


class PullCall(msgspec.Struct, frozen=True):
    """Request the configuration changes after revision `since`."""

    since: Revision


class PullAnswer(msgspec.Struct, frozen=True):
    """Newer changes, or a snapshot if the changes are no longer available.

    `machines` is the peer's last copy of the platform's host list. It is sent to a
    host without any configuration, which may be starting during a platform outage.
    """

    revision: Revision
    confirmed_wall: float
    changes: list[ChangeRecord]
    snapshot: Snapshot | None = None
    machines: list[ListedHost] = []


class EvidenceCall(msgspec.Struct, frozen=True):
    """Request a host's evidence on an incarnation of an account."""

    account: ClientAccountId
    incarnation: Revision


def encode(frame: Frame) -> bytes:
    """Return the Cap'n Proto encoding of a frame."""
    message = SCHEMA.Frame.new_message(id=frame.number)
    content = frame.content
    match content:
        case Hello():
            part = message.init("hello")
            part.host = content.host
            part.domain = content.domain
            part.boot = content.boot
            part.nonce = content.nonce
            part.proof = content.proof
        case Heartbeat():
            _encode_heartbeat(message.init("heartbeat"), content)
        case Call():
            part = message.init("call")
            part.duty = content.duty.value
            part.body = content.body
        case Answer():
            part = message.init("answer")
            part.code = content.code
            part.detail = content.detail
            part.body = content.body
    return message.to_bytes()


def decode(data: bytes) -> Frame:
    """Return the decoded frame; raises capnp.KjException if `data` is malformed."""
    with SCHEMA.Frame.from_bytes(data) as message:
        return Frame(message.id, _decode_content(message))


def _encode_heartbeat(part, heartbeat: Heartbeat):
    part.revision = heartbeat.revision
    part.confirmedMs = int(heartbeat.confirmed_wall * MS_PER_SECOND)
    part.leaving = heartbeat.leaving
    part.inProgress = heartbeat.in_progress
    if heartbeat.leaving_minions:
        part.leavingMinions = heartbeat.leaving_minions
    if not heartbeat.free_slots:
        return
    slots = part.init("freeSlots", len(heartbeat.free_slots))
    for entry, (service, free) in zip(slots, heartbeat.free_slots.items(), strict=True):
        entry.service = service
        entry.free = free


def _decode_content(message) -> Content:
    match str(message.which()):
        case "hello":
            part = message.hello
            return Hello(
                HostId(part.host),
                FailureDomainId(part.domain),
                part.boot,
                bytes(part.nonce),
                bytes(part.proof),
            )
        case "heartbeat":
            return _decode_heartbeat(message.heartbeat)
        case "call":
            part = message.call
            return Call(Duty(str(part.duty)), bytes(part.body))
        case _:
            part = message.answer
            return Answer(part.code, part.detail, bytes(part.body))


def _decode_heartbeat(part) -> Heartbeat:
    free = {ServiceName(entry.service): entry.free for entry in part.freeSlots}
    return Heartbeat(
        revision=Revision(part.revision),
        confirmed_wall=part.confirmedMs / MS_PER_SECOND,
        leaving=part.leaving,
        in_progress=part.inProgress,
        leaving_minions=[MinionId(name) for name in part.leavingMinions],
        free_slots=free,
    )
