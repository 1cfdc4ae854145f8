"""Requests to minions, their answers, and errors of the transport."""

import msgspec

from zinniatrestle.errors import RequestError, ResultCode
from zinniatrestle.ids import (
    AttemptId,
    ClientAccountId,
    FailureDomainId,
    MinionId,
    Revision,
    ServiceName,
)


class MinionAddress(msgspec.Struct, frozen=True):
    """A minion with the address on which it listens."""

    minion: MinionId
    service: ServiceName
    domain: FailureDomainId
    address: str


class UpstreamRequest(msgspec.Struct, frozen=True):
    """One attempt of a request; a minion declines it after `start_by`.

    `start_by` is in wall-clock seconds, `timeout` in seconds.
    """

    service: ServiceName
    kind: str
    account: ClientAccountId
    incarnation: Revision
    attempt: AttemptId
    body: bytes
    start_by: float
    timeout: float


class UpstreamAnswer(msgspec.Struct, frozen=True):
    """A minion's complete answer; `leaving` is set if the minion shuts down soon."""

    status: int
    body: bytes
    content_type: str = "application/json"
    leaving: bool = False

    @property
    def failed(self) -> bool:
        """Return whether the minion failed while it ran the request."""
        return self.status >= 500


class DeclinedError(RequestError):
    """Signal that the minion was not reached or declined before it ran anything."""

    code = ResultCode.NOT_RUN

    def __init__(self, detail: str, leaving: bool = False):
        super().__init__(detail)
        self.leaving = leaving


class AnswerLostError(RequestError):
    """Signal that a request was sent and no complete answer came back."""

    code = ResultCode.UNKNOWN
