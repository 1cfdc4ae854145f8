"""States of a connection, and the causes for which one is closed or refused."""

from enum import Enum
from typing import NewType

ConnectionId = NewType("ConnectionId", int)


class Listener(Enum):
    """Address at which a connection was accepted."""

    CALLERS = "callers"
    READINESS = "readiness"
    METRICS = "metrics"


class ConnectionPhase(Enum):
    """What a connection is occupied with."""

    IDLE = "idle"
    # The head or the body of a request is not complete.
    INCOMPLETE = "incomplete"
    # A request is complete, and its response is not.
    IN_PROGRESS = "in_progress"
    # The peer has not read the responses.
    UNREAD = "unread"
    # It is refused, and stays open only for the peer to read why.
    REFUSED = "refused"


class MessagePart(Enum):
    """Part of a request that the next byte belongs to."""

    START = "start"
    HEAD = "head"
    BODY = "body"
    # The size of a chunk, or the end of its data.
    CHUNK_LINE = "chunk_line"
    CHUNK_DATA = "chunk_data"
    TRAILERS = "trailers"
    COMPLETE = "complete"


class Cause(Enum):
    """Why a connection was closed or a request refused."""

    MEMORY = "memory"
    CONNECTIONS = "connections"
    NOT_ADMITTED = "not_admitted"
    HEAD_TOO_LARGE = "head_too_large"
    BODY_TOO_LARGE = "body_too_large"
    HEAD_TIMEOUT = "head_timeout"
    BODY_TIMEOUT = "body_timeout"
    WRITE_TIMEOUT = "write_timeout"
    IDLE = "idle"
    MALFORMED = "malformed"
    # Closed by the peer, or after a response that ends the connection.
    ENDED = "ended"


# Causes that are no sign of a limit that was reached.
ORDINARY_CAUSES = frozenset({Cause.IDLE, Cause.MALFORMED, Cause.ENDED})
