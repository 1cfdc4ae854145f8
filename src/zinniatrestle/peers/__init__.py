"""Links between entry hosts, and the liveness of peers."""

from zinniatrestle.peers.framing import PeerIdentity
from zinniatrestle.peers.mesh import PeerMesh
from zinniatrestle.peers.state import PeerAddress, PeerState

__all__ = ["PeerAddress", "PeerIdentity", "PeerMesh", "PeerState"]
