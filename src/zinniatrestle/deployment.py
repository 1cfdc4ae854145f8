"""What a process is told of the deployment it runs in; times are in seconds."""

from dataclasses import dataclass, field

from zinniatrestle.errors import SettingsError
from zinniatrestle.ids import FailureDomainId, HostId, RegionId

HIGHEST_PORT = 65535


@dataclass(frozen=True)
class Identity:
    """This host; `speed` is its processor's, in cores."""

    host: HostId
    address: str
    domain: FailureDomainId
    region: RegionId
    speed: float = 1.0


@dataclass(frozen=True)
class Addresses:
    """Where to listen and whom to call, each as IP:PORT; empty: not there."""

    callers: str
    readiness: str
    store: str
    machines: str = ""
    advice: str = ""


@dataclass(frozen=True)
class StoreLimits:
    """What the store takes.

    `writes` and `reads` are calls a second of all hosts together, `row_bytes` the
    largest value of a row as it is sent, which is a third more than it holds.
    """

    writes: float = 100.0
    reads: float = 100.0
    row_bytes: int = 65_536


@dataclass(frozen=True)
class Bounds:
    """Bounds that the deployment sets, from which time limits are computed."""

    contact: float = 4.0
    acknowledgement: float = 5.0
    drain: float = 2.5
    grace: float = 6.0
    revocation: float = 5.0
    strict_revocation: bool = True
    evacuation: float = 5.0
    configuration: float = 2.5
    max_hold: float = 10.0
    stop: float = 0.2
    gang: float = 3.0
    status_retention: float = 120.0
    far_factor: float = 3.0
    checkpoint_interval: float = 2.0
    restore: float = 0.25
    notice: float = 5.5
    lease: float = 3.0
    pace: float = 0.1
    harm: float = 4.0
    reclaim: float = 2.7
    heartbeat: float = 1.5
    move: float = 1.5
    upkeep: float = 2.0


@dataclass(frozen=True)
class Deployment:
    """Everything that the platform tells a process at its start."""

    identity: Identity
    addresses: Addresses
    regions: dict[FailureDomainId, RegionId] = field(default_factory=dict)
    bounds: Bounds = field(default_factory=Bounds)
    store: StoreLimits = field(default_factory=StoreLimits)

    def check(self):
        """Refuse what a host can't run with; raises SettingsError."""
        for name in ("callers", "readiness", "store"):
            split_address(name, getattr(self.addresses, name))
        for name in ("lease", "max_hold", "revocation", "grace"):
            if getattr(self.bounds, name) <= 0:
                raise SettingsError(f"The bound {name} must be above 0.")


def split_address(name: str, address: str) -> tuple[str, int]:
    """Return IP and port of an address; raises SettingsError."""
    ip, _, port = address.rpartition(":")
    if not ip or not port.isdigit() or not 0 < int(port) <= HIGHEST_PORT:
        raise SettingsError(f"The address {name} is not written IP:PORT: {address!r}.")
    return ip, int(port)
