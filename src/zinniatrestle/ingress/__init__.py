"""Limits for the clients of the HTTP servers of a host."""

from zinniatrestle.ingress.limits import (
    ConnectionLimits,
    IngressSettings,
    Resources,
    client_limits,
    descriptor_limit,
    probe_limits,
)
from zinniatrestle.ingress.listener import ClientListener, IngressCounters
from zinniatrestle.ingress.protocol import HttpProtocol
from zinniatrestle.ingress.server import LimitedServer
from zinniatrestle.ingress.states import Cause, Listener

__all__ = [
    "Cause",
    "ClientListener",
    "ConnectionLimits",
    "HttpProtocol",
    "LimitedServer",
    "IngressCounters",
    "IngressSettings",
    "Listener",
    "Resources",
    "client_limits",
    "descriptor_limit",
    "probe_limits",
]
