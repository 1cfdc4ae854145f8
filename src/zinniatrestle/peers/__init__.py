"""Links between entry hosts, and the liveness of peers."""

from zinniatrestle.peers.framing import Identity
from zinniatrestle.peers.mesh import PeerMesh
from zinniatrestle.peers.state import PeerAddress, PeerState

__all__ = ["Identity", "PeerAddress", "PeerMesh", "PeerState"]
