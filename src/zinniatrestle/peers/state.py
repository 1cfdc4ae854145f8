"""Liveness and last heartbeat of each peer."""

from enum import Enum

from zinniatrestle.clock import monotonic
from zinniatrestle.ids import FailureDomainId, HostId, RegionId, ServiceName
from zinniatrestle.peers.messages import Heartbeat

# A peer without a heartbeat for this long is no longer considered live.
SILENCE_TIMEOUT_SECONDS = 3.0


class PeerState(Enum):
    """Liveness of a peer as seen by this host.

    DEAD: its address refuses connections. CUT_OFF: its address is unreachable or
    the handshake fails. FROZEN: it is connected but sends nothing.
    """

    UNKNOWN = "unknown"
    LIVE = "live"
    LEAVING = "leaving"
    FROZEN = "frozen"
    CUT_OFF = "cut off"
    DEAD = "dead"


class PeerAddress:
    """Network address and location of a peer."""

    def __init__(
        self,
        host: HostId,
        domain: FailureDomainId,
        region: RegionId,
        address: str,
        port: int,
    ):
        self.host = host
        self.domain = domain
        self.region = region
        self.address = address
        self.port = port


class Peer:
    """Liveness and last heartbeat of one peer."""

    def __init__(self, address: PeerAddress):
        self.address = address
        self.state = PeerState.UNKNOWN
        self.last_heartbeat_at = 0.0
        self.heartbeat: Heartbeat | None = None
        self.boot = ""
        self.last_drained = False

    def take_drained_change(self) -> bool:
        """Return whether `drained` has changed since the last call."""
        changed = self.drained != self.last_drained
        self.last_drained = self.drained
        return changed

    def record_heartbeat(self, heartbeat: Heartbeat):
        """Store a heartbeat and update the peer's state."""
        self.last_heartbeat_at = monotonic()
        self.heartbeat = heartbeat
        leaving = heartbeat.leaving
        self.state = PeerState.LEAVING if leaving else PeerState.LIVE

    def mark_unreachable(self, state: PeerState):
        """Set an unreachable state if the peer has been silent for the time-out.

        A drained peer that refuses connections has stopped as announced and stays
        LEAVING.
        """
        if self.drained and state is PeerState.DEAD:
            return
        if (
            monotonic() - self.last_heartbeat_at >= SILENCE_TIMEOUT_SECONDS
            or not self.last_heartbeat_at
        ):
            self.state = state

    @property
    def drained(self) -> bool:
        """Return whether the peer is leaving and reports nothing in progress."""
        if self.state is not PeerState.LEAVING or self.heartbeat is None:
            return False
        return self.heartbeat.in_progress == 0

    def free_slots(self, service: ServiceName) -> int:
        """Return the free slots for a service that the last heartbeat reported."""
        if self.state is not PeerState.LIVE or self.heartbeat is None:
            return 0
        return self.heartbeat.free_slots.get(service, 0)
