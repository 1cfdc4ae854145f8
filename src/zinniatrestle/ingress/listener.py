"""Connections of a listener: admission, eviction, time limits and counters."""

from collections import Counter
from collections.abc import Callable
from itertools import count

from zinniatrestle.ingress.budget import ConnectionBudget
from zinniatrestle.ingress.interfaces import ClientConnection, LimitLog
from zinniatrestle.ingress.limits import ConnectionLimits
from zinniatrestle.ingress.states import (
    ORDINARY_CAUSES,
    Cause,
    ConnectionId,
    ConnectionPhase,
    Listener,
)
from zinniatrestle.queues.messages import DesiredState

# A paused connection holds at most that many bytes that are not parsed.
READ_BYTES = 16_384
LOG_SECONDS = 1.0


class NoLimitLog(LimitLog):
    """Log that writes nothing."""

    def write(self, cause: Cause, count: int):
        """Write nothing."""


class IngressCounters:
    """Counts of a process, which all its listeners share."""

    def __init__(self, log: LimitLog | None = None):
        self.log = log or NoLimitLog()
        self.closed: Counter[Cause] = Counter()
        self.refused: Counter[Cause] = Counter()
        # Limits reached since the last line of the log.
        self.unwritten: Counter[Cause] = Counter()
        self.written_at = float("-inf")

    def close(self, cause: Cause):
        """Count a connection that was closed."""
        self.closed[cause] += 1
        if cause not in ORDINARY_CAUSES:
            self.unwritten[cause] += 1

    def refuse(self, cause: Cause):
        """Count a request that was refused before it reached the application."""
        self.refused[cause] += 1

    def write(self, now: float):
        """Write what was counted, at most one line in `LOG_SECONDS`."""
        if not self.unwritten or now - self.written_at < LOG_SECONDS:
            return
        ((cause, _),) = self.unwritten.most_common(1)
        self.log.write(cause, self.unwritten.total())
        self.unwritten.clear()
        self.written_at = now


class ClientListener:
    """The connections of one listener, and the limits in force for them."""

    def __init__(
        self,
        limits: ConnectionLimits | None = None,
        name: Listener = Listener.CALLERS,
        counters: IngressCounters | None = None,
        desired: Callable[[], DesiredState | None] = lambda: None,
    ):
        self.base = self.limits = limits or ConnectionLimits()
        self.name = name
        self.counters = counters or IngressCounters()
        self.desired = desired
        self.known_desired: DesiredState | None = None
        self.budget = ConnectionBudget(self.base.memory, self.base.connections)
        self.connections: dict[ConnectionId, ClientConnection] = {}
        self.numbers = count()
        # The host stops, so that each response ends its connection.
        self.stopping = False
        # Shared by all connections, as each read is parsed or copied at once.
        self.buffer = memoryview(bytearray(READ_BYTES))

    def current_limits(self) -> ConnectionLimits:
        """Return the limits in force, also those that the desired state sets."""
        desired = self.desired()
        if desired is not self.known_desired:
            self.known_desired = desired
            self.limits = self.base.with_desired(desired)
        return self.limits

    def admit(self, connection: ClientConnection) -> ConnectionId | None:
        """Admit a new connection, and close others for it; None if it is refused."""
        number = ConnectionId(next(self.numbers))
        admission = self.budget.admit(number)
        for victim in admission.victims:
            self._evict(victim, Cause.CONNECTIONS)
        if not admission.admitted:
            self.counters.close(Cause.NOT_ADMITTED)
            return None
        self.connections[number] = connection
        return number

    def move(self, number: ConnectionId, phase: ConnectionPhase):
        """Record the phase of a connection."""
        self.budget.move(number, phase)

    def hold(self, number: ConnectionId, size: int):
        """Set the bytes that a connection holds; may close it, or others."""
        self.budget.hold(number, size)
        if self.budget.bytes <= self.budget.max_bytes:
            return
        for victim in self.budget.evict():
            self._evict(victim, Cause.MEMORY)

    def remove(self, number: ConnectionId, cause: Cause):
        """Forget a connection that is closed; `cause` is of the first call."""
        if self.connections.pop(number, None) is None:
            return
        self.budget.remove(number)
        self.counters.close(cause)

    def sweep(self, now: float):
        """Close the connections whose time limits have passed, and write the log."""
        for connection in list(self.connections.values()):
            connection.check_time(now)
        self.counters.write(now)

    def _evict(self, number: ConnectionId, cause: Cause):
        connection = self.connections.pop(number)
        self.counters.close(cause)
        connection.close_now(cause)
