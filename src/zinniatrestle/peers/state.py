"""What a host knows of its peers."""

from enum import Enum

from zinniatrestle.clock import monotonic
from zinniatrestle.ids import FailureDomainId, HostId, RegionId, ServiceName
from zinniatrestle.peers.messages import Heartbeat

SILENCE_TIMEOUT_SECONDS = 3.0


class PeerState(Enum):
    """What a host makes of a peer.

    DEAD: nothing listens at its address. CUT_OFF: its address can't be reached.
    FROZEN: it is connected and says nothing.
    """

    UNKNOWN = "unknown"
    LIVE = "live"
    LEAVING = "leaving"
    FROZEN = "frozen"
    CUT_OFF = "cut off"
    DEAD = "dead"


class PeerAddress:
    """Where a peer listens, and where it stands."""

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
    """Hold what was last heard of one peer."""

    def __init__(self, address: PeerAddress):
        self.address = address
        self.state = PeerState.UNKNOWN
        self.heard_at = 0.0
        self.heartbeat: Heartbeat | None = None
        self.boot = ""
        self.last_drained = False

    def take_drained_change(self) -> bool:
        """Tell whether the peer gave its slots back or took them up since asked."""
        changed = self.drained != self.last_drained
        self.last_drained = self.drained
        return changed

    def record_heartbeat(self, heartbeat: Heartbeat):
        """Take a heartbeat in."""
        self.heard_at = monotonic()
        self.heartbeat = heartbeat
        leaving = heartbeat.leaving
        self.state = PeerState.LEAVING if leaving else PeerState.LIVE

    def mark_unreachable(self, state: PeerState):
        """Note that it can't be heard, once it has been silent for long enough."""
        if self.drained and state is PeerState.DEAD:
            return
        if monotonic() - self.heard_at >= SILENCE_TIMEOUT_SECONDS or not self.heard_at:
            self.state = state

    @property
    def drained(self) -> bool:
        """Tell whether it said farewell with nothing in progress."""
        if self.state is not PeerState.LEAVING or self.heartbeat is None:
            return False
        return self.heartbeat.in_progress == 0

    def free_slots(self, service: ServiceName) -> int:
        """Return the free slots that it told of."""
        if self.state is not PeerState.LIVE or self.heartbeat is None:
            return 0
        return self.heartbeat.free_slots.get(service, 0)
