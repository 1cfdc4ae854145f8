"""Limits for the clients of a host, derived from its resources and settings."""

import resource
from collections.abc import Callable
from dataclasses import dataclass, replace

from zinniatrestle.errors import SettingsError
from zinniatrestle.queues.messages import DesiredState

MIB = 2**20
# Memory of a machine whose settings don't state it, in MB.
DEFAULT_MEMORY_MB = 512
# Limits of requests while the desired state doesn't set them.
DEFAULT_MAX_HEAD_BYTES = 65_536
DEFAULT_MAX_BODY_BYTES = 262_144
DEFAULT_HEAD_SECONDS = 10.0
DEFAULT_IDLE_SECONDS = 15.0
# Room for the request line beside the limit of the headers.
REQUEST_LINE_BYTES = 4096
# Descriptors for files, among them those of libraries and of standard streams.
FILE_DESCRIPTORS = 200
# Share of the other descriptors for the store, workers, peers, advice, readiness and
# metrics.
OWN_DESCRIPTOR_SHARE = 0.25
# A host with hardly any descriptors serves that many clients all the same.
MIN_CONNECTIONS = 16
# The system's limit may be infinite; a host never serves that many clients.
MAX_CONNECTIONS = 65_536
# Part of the host's own descriptors, and of the memory for clients, that each of the
# readiness and the metrics listener has for itself.
PROBE_SHARE = 1 / 8
MIN_PROBE_CONNECTIONS = 4
MAX_PROBE_CONNECTIONS = 16
PROBE_MEMORY_SHARE = 1 / 16


@dataclass(frozen=True)
class Resources:
    """Memory in MB and file descriptors of the machine; 0 if they are not known."""

    memory_mb: float = 0
    max_descriptors: int = 0

    @property
    def memory_bytes(self) -> float:
        """Return the memory of the machine, or of a usual one, in bytes."""
        return (self.memory_mb or DEFAULT_MEMORY_MB) * MIB


@dataclass(frozen=True)
class IngressSettings:
    """Settings of the limits for clients.

    `memory_share` is the part of the memory for clients; times are in seconds.
    `max_connections` is 0 if it is derived from the descriptors.
    """

    memory_share: float = 0.25
    body_timeout: float = 10.0
    write_timeout: float = 10.0
    max_connections: int = 0

    def check(self, error: Callable[[str, str], SettingsError]):
        """Check the settings; raises what `error` returns for a name and a problem."""
        if not 0 < self.memory_share <= 1:
            raise error(
                "client_memory_share",
                "The client_memory_share must be greater than 0 and at most 1.",
            )
        for name in ("body_timeout", "write_timeout"):
            if not 0 < getattr(self, name) < float("inf"):
                raise error(name, f"The {name} must be finite and greater than 0.")
        if self.max_connections < 0:
            raise error("max_connections", "The max_connections can't be negative.")


@dataclass(frozen=True)
class ConnectionLimits:
    """Limits of one listener; sizes are in bytes, times in seconds.

    `memory` and `connections` hold for all its connections together, the others for
    each connection.
    """

    memory: int = int(DEFAULT_MEMORY_MB * MIB * IngressSettings.memory_share)
    connections: int = MAX_CONNECTIONS
    max_head: int = DEFAULT_MAX_HEAD_BYTES
    max_body: int = DEFAULT_MAX_BODY_BYTES
    head_timeout: float = DEFAULT_HEAD_SECONDS
    body_timeout: float = IngressSettings.body_timeout
    write_timeout: float = IngressSettings.write_timeout
    idle_timeout: float = DEFAULT_IDLE_SECONDS

    def with_desired(self, desired: DesiredState | None) -> "ConnectionLimits":
        """Return these limits with those that the desired state sets."""
        if desired is None:
            return self
        return replace(
            self,
            max_head=(
                desired.max_header_bytes + REQUEST_LINE_BYTES
                if desired.max_header_bytes
                else self.max_head
            ),
            max_body=desired.largest_body or self.max_body,
            head_timeout=desired.header_timeout or self.head_timeout,
            idle_timeout=desired.idle_timeout or self.idle_timeout,
        )


def client_limits(
    settings: IngressSettings, resources: Resources, descriptors: int
) -> ConnectionLimits:
    """Return the limits of the client listener; `descriptors` is the process's limit.

    The readiness and the metrics listener have theirs besides, from `probe_limits`.
    """
    memory = _memory(settings, resources)
    usable = _usable_descriptors(resources, descriptors)
    connections = int(usable * (1 - OWN_DESCRIPTOR_SHARE))
    connections = max(MIN_CONNECTIONS, min(connections, MAX_CONNECTIONS))
    if settings.max_connections:
        # A larger number would take the descriptors of the store and the workers.
        connections = min(connections, settings.max_connections)
    return ConnectionLimits(
        memory=int(memory * (1 - 2 * PROBE_MEMORY_SHARE)),
        connections=connections,
        body_timeout=settings.body_timeout,
        write_timeout=settings.write_timeout,
    )


def probe_limits(
    settings: IngressSettings, resources: Resources, descriptors: int
) -> ConnectionLimits:
    """Return the limits of the readiness listener, and of the metrics listener."""
    own = _usable_descriptors(resources, descriptors) * OWN_DESCRIPTOR_SHARE
    connections = int(own * PROBE_SHARE)
    connections = max(MIN_PROBE_CONNECTIONS, min(connections, MAX_PROBE_CONNECTIONS))
    return ConnectionLimits(
        memory=int(_memory(settings, resources) * PROBE_MEMORY_SHARE),
        connections=connections,
        body_timeout=settings.body_timeout,
        write_timeout=settings.write_timeout,
    )


def descriptor_limit() -> int:
    """Return how many descriptors this process may open."""
    soft, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    return 2 * MAX_CONNECTIONS if soft == resource.RLIM_INFINITY else soft


def _memory(settings: IngressSettings, resources: Resources) -> float:
    """Return the bytes for all clients."""
    return resources.memory_bytes * settings.memory_share


def _usable_descriptors(resources: Resources, descriptors: int) -> int:
    usable = min(resources.max_descriptors or descriptors, descriptors)
    return max(0, usable - FILE_DESCRIPTORS)
