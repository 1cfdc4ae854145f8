"""Description of the deployment that a process runs in; times are in seconds."""

from dataclasses import dataclass, field

from zinniatrestle.errors import SettingsError
from zinniatrestle.ids import FailureDomainId, HostId, RegionId
from zinniatrestle.ingress.limits import Resources

MAX_PORT = 65535
MAX_PORT_DIGITS = 5


@dataclass(frozen=True)
class Identity:
    """Name and location of this host; `speed` is its CPU capacity in cores."""

    host: HostId
    address: str
    domain: FailureDomainId
    region: RegionId
    speed: float = 1.0


@dataclass(frozen=True)
class Addresses:
    """Addresses to listen on and to call, each as IP:PORT; empty if there is none.

    The host listens on `callers` (the API for clients) and `readiness`; it calls the
    others.
    """

    callers: str
    readiness: str
    store: str
    machines: str = ""
    advice: str = ""


@dataclass(frozen=True)
class StoreLimits:
    """Limits of the store.

    `writes` and `reads` are rates in calls per second, shared by all hosts.
    `row_bytes` is the maximum size of a row's value as sent, that is in base64, which
    is a third larger than the value itself.
    """

    writes: float = 100.0
    reads: float = 100.0
    row_bytes: int = 65_536


@dataclass(frozen=True)
class Bounds:
    """Bounds set by the deployment, from which the time limits in use are computed.

    All are in seconds, except `strict_revocation` (a flag) and `far_factor` (a ratio).
    `lease` is for the scheduler's lease, `max_hold` for the extension of the leases of
    runs by a hold. `revocation` and `evacuation` bound the age of the desired state on
    a host that admits requests and that starts runs. `drain` is how long a draining
    worker keeps its runs if its entry doesn't say so, `stop` how long a run takes to
    stop, `upkeep` how long maintenance keeps a machine down. `finish` is how long an
    accepted job may wait for its first run while most of its service is idle.
    """

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
    finish: float = 14.0
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
    """All that the platform passes to a process at startup."""

    identity: Identity
    addresses: Addresses
    regions: dict[FailureDomainId, RegionId] = field(default_factory=dict)
    bounds: Bounds = field(default_factory=Bounds)
    store: StoreLimits = field(default_factory=StoreLimits)
    resources: Resources = field(default_factory=Resources)

    def check(self):
        """Validate the addresses and bounds that a host needs; raises SettingsError."""
        for name in ("callers", "readiness", "store"):
            split_address(name, getattr(self.addresses, name))
        for name in ("lease", "max_hold", "revocation", "grace"):
            if getattr(self.bounds, name) <= 0:
                raise SettingsError(f"The bound {name} must be greater than 0.")


def split_address(name: str, address: str) -> tuple[str, int]:
    """Split an address IP:PORT into IP and port; raises SettingsError."""
    ip, _, port = address.rpartition(":")
    if not ip or not is_port(port):
        raise SettingsError(f"The address {name} is not IP:PORT: {address!r}.")
    return ip, int(port)


def is_port(text: str) -> bool:
    """Return whether a text is a port to which a connection can be opened."""
    if not text.isascii() or not text.isdecimal() or len(text) > MAX_PORT_DIGITS:
        return False
    return 0 < int(text) <= MAX_PORT
