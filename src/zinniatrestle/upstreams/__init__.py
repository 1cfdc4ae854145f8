"""Minions of this failure domain: slots, health, and the transport to them."""

from zinniatrestle.upstreams.pool import UpstreamPool
from zinniatrestle.upstreams.slot_shares import FixedSharingHosts, SharingHosts
from zinniatrestle.upstreams.transport import UpstreamTransport

__all__ = ["FixedSharingHosts", "SharingHosts", "UpstreamPool", "UpstreamTransport"]
