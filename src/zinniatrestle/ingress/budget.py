"""Decisions on which connections a listener has room for."""

from typing import NamedTuple

from zinniatrestle.ingress.states import ConnectionId, ConnectionPhase

# Objects of a connection and of its request in progress, without its buffers.
CONNECTION_BYTES = 8192
# The loss of a connection in an earlier phase costs its client less.
EVICTION_ORDER = (
    ConnectionPhase.REFUSED,
    ConnectionPhase.UNREAD,
    ConnectionPhase.INCOMPLETE,
    ConnectionPhase.IDLE,
    ConnectionPhase.IN_PROGRESS,
)


class Admission(NamedTuple):
    """Whether a new connection is admitted, and the connections evicted for it."""

    admitted: bool
    victims: list[ConnectionId]


class ConnectionBudget:
    """Account for the connections of one listener and their memory, in bytes."""

    def __init__(self, max_bytes: int, max_connections: int):
        self.max_bytes = max_bytes
        self.max_connections = max_connections
        # Bytes of all connections, with `CONNECTION_BYTES` for each.
        self.bytes = 0
        self.bytes_by_connection: dict[ConnectionId, int] = {}
        self.phases: dict[ConnectionId, ConnectionPhase] = {}
        # The connections of each phase, the longest in it first.
        self.by_phase: dict[ConnectionPhase, dict[ConnectionId, None]] = {
            phase: {} for phase in EVICTION_ORDER
        }

    def admit(self, connection: ConnectionId) -> Admission:
        """Add a connection if there is room, or if others can be evicted for it.

        A connection with a request in progress is not evicted for a new one.
        """
        victims = []
        while (
            len(self.phases) >= self.max_connections
            or self.bytes + CONNECTION_BYTES > self.max_bytes
        ):
            victim = self._next_victim()
            if victim is None or self.phases[victim] is ConnectionPhase.IN_PROGRESS:
                return Admission(False, victims)
            self.remove(victim)
            victims.append(victim)
        self.bytes += CONNECTION_BYTES
        self.bytes_by_connection[connection] = 0
        self.phases[connection] = ConnectionPhase.IDLE
        self.by_phase[ConnectionPhase.IDLE][connection] = None
        return Admission(True, victims)

    def move(self, connection: ConnectionId, phase: ConnectionPhase):
        """Record that a connection has entered a phase, unless it is in it already."""
        former = self.phases.get(connection)
        if former is None or former is phase:
            return
        del self.by_phase[former][connection]
        self.by_phase[phase][connection] = None
        self.phases[connection] = phase

    def hold(self, connection: ConnectionId, size: int):
        """Set the bytes that the buffers of a connection hold."""
        former = self.bytes_by_connection.get(connection)
        if former is None:
            return
        self.bytes += size - former
        self.bytes_by_connection[connection] = size

    def evict(self) -> list[ConnectionId]:
        """Remove and return connections until the others are within the budget."""
        victims = []
        while self.bytes > self.max_bytes:
            victim = self._next_victim()
            if victim is None:
                break
            self.remove(victim)
            victims.append(victim)
        return victims

    def remove(self, connection: ConnectionId):
        """Remove a connection, if it is known."""
        phase = self.phases.pop(connection, None)
        if phase is None:
            return
        del self.by_phase[phase][connection]
        self.bytes -= self.bytes_by_connection.pop(connection) + CONNECTION_BYTES

    def _next_victim(self) -> ConnectionId | None:
        for phase in EVICTION_ORDER:
            for connection in self.by_phase[phase]:
                return connection
        return None
