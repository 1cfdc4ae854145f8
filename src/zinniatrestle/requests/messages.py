"""Requests of callers, their answers, and the claims on keys."""

from enum import Enum

import msgspec

from zinniatrestle.errors import ResultCode
from zinniatrestle.ids import (
    AttemptId,
    ClientAccountId,
    HostId,
    RequestKey,
    Revision,
    ServiceName,
)


class Request(msgspec.Struct, frozen=True):
    """A caller's request; `timeout` is what is left of its deadline, in seconds."""

    account: ClientAccountId
    service: ServiceName
    kind: str
    body: bytes
    timeout: float
    key: RequestKey | None = None


class KeyState(Enum):
    """What an answer says about its key.

    FREE: nothing is recorded, the key may be sent again. CLOSED: the answer is
    final for this key. OPEN: the truth is not known yet.
    """

    FREE = "free"
    CLOSED = "closed"
    OPEN = "open"


class Answer(msgspec.Struct, frozen=True):
    """The one true answer to a request."""

    code: ResultCode
    detail: str = ""
    status: int = 0
    body: bytes = b""
    content_type: str = "application/json"
    key_state: KeyState = KeyState.FREE
    repeated: bool = False


class ClaimState(Enum):
    """States of a claim on a request key."""

    CLAIMED = "claimed"
    DONE = "done"
    VOID = "void"


class ClaimRow(msgspec.Struct, frozen=True):
    """A key of an at-most-once request as the table keeps it."""

    attempt: AttemptId
    host: HostId
    incarnation: Revision
    fingerprint: str
    state: ClaimState
    wall: float
    status: int = 0
    body: bytes = b""
    content_type: str = ""
    detail: str = ""
