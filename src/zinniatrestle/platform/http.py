"""Abstract HTTP client, and what is known of a call that fails."""

from abc import ABC, abstractmethod
from collections.abc import Callable
from enum import Enum
from typing import Any

from zinniatrestle.ids import BootSeconds

UNKNOWN_TIME = BootSeconds(float("-inf"))
# A body, or what returns it for the time at which the connection was opened.
Body = bytes | Callable[[BootSeconds], bytes]


class CallEffect(Enum):
    """Whether a failed call may have taken effect."""

    NO_EFFECT = "not_done"
    UNKNOWN = "unknown"


class CallError(Exception):
    """Signal a call that got no answer."""

    def __init__(
        self,
        effect: CallEffect,
        detail: str,
        connection_refused: bool = False,
        permitted: bool = True,
    ):
        super().__init__(detail)
        self.effect = effect
        self.detail = detail
        # Nothing listens at the address.
        self.connection_refused = connection_refused
        # Whether the caller was permitted to send it.
        self.permitted = permitted


class HttpAnswer:
    """Status and body of an answer, and the times of its connection and its call."""

    def __init__(
        self,
        status: int,
        body: bytes,
        opened_at: BootSeconds = UNKNOWN_TIME,
        sent_at: BootSeconds = UNKNOWN_TIME,
    ):
        self.status = status
        self.body = body
        self.opened_at = opened_at
        self.sent_at = sent_at


class HttpCaller(ABC):
    """HTTP client; a call that times out closes its connection."""

    @abstractmethod
    async def call(
        self,
        method: str,
        address: str,
        path: str,
        timeout: float,
        body: Body | None = None,
        headers: dict[str, str] | None = None,
        query: dict[str, Any] | None = None,
        extra_body_seconds: float = 0.0,
        may_send: Callable[[], bool] | None = None,
    ) -> HttpAnswer:
        """Make one call; raises CallError.

        `timeout` limits the wait for the answer, in seconds. Reading an answer whose
        data keeps arriving may take `extra_body_seconds` more. `may_send` is asked once
        the connection is open; if it returns False nothing is sent.
        """

    @abstractmethod
    async def close(self):
        """Close all connections."""
