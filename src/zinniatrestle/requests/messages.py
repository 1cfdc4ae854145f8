"""Requests of callers, answers to them, and claims of idempotency keys."""

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
    """A caller's request; `timeout` is the time left to its deadline in seconds.

    `key` is the idempotency key.
    """

    account: ClientAccountId
    service: ServiceName
    kind: str
    body: bytes
    timeout: float
    key: RequestKey | None = None


class KeyState(Enum):
    """State of an idempotency key, as reported with an answer.

    FREE: nothing is recorded; the key may be sent again. CLOSED: the answer is
    final for this key. OPEN: the outcome is not known yet.
    """

    FREE = "free"
    CLOSED = "closed"
    OPEN = "open"


class Answer(msgspec.Struct, frozen=True):
    """The answer to a request.

    `repeated` is set if the answer was recorded by an earlier attempt with this key.
    """

    code: ResultCode
    detail: str = ""
    status: int = 0
    body: bytes = b""
    content_type: str = "application/json"
    key_state: KeyState = KeyState.FREE
    repeated: bool = False


class ClaimState(Enum):
    """State of a claim.

    CLAIMED: no outcome is recorded yet. DONE: the request ran and its answer is
    recorded. VOID: the request was not run and never will be with this key.
    """

    CLAIMED = "claimed"
    DONE = "done"
    VOID = "void"


class ClaimRow(msgspec.Struct, frozen=True):
    """Stored claim of the idempotency key of an at-most-once request.

    `fingerprint` is a hash of the service, kind and body; `wall` is the time of the
    claim in wall-clock seconds. `status` is the HTTP status of the answer if the claim
    is DONE, and the ResultCode of the refusal if it is VOID.
    """

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
