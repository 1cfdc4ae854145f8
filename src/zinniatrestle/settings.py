"""Settings of an entry host, validated before startup."""

from dataclasses import dataclass, field, fields

from zinniatrestle.errors import SettingsError
from zinniatrestle.ids import FailureDomainId, HostId, RegionId
from zinniatrestle.ingress.limits import IngressSettings
from zinniatrestle.peers.state import PeerAddress

ENVIRONMENT_PREFIX = "ZINNIATRESTLE_"
MIN_SECRET_LENGTH = 8
MAX_PORT = 65535


def flag_name(name: str) -> str:
    """Return the command-line flag of a setting."""
    return "--" + name.replace("_", "-")


def environment_variable(name: str) -> str:
    """Return the environment variable of a setting."""
    return ENVIRONMENT_PREFIX + name.upper()


def setting_error(name: str, problem: str) -> SettingsError:
    """Return a SettingsError that names the setting's flag and variable."""
    return SettingsError(
        f"{problem} Set {flag_name(name)} or {environment_variable(name)}."
    )


def about(text: str) -> dict[str, str]:
    """Return the metadata of a setting's field."""
    return {"about": text}


@dataclass(frozen=True)
class HostSettings:
    """Settings of one entry host."""

    host: str = field(default="", metadata=about("Name of this entry host."))
    domain: str = field(default="", metadata=about("Failure domain of this host."))
    region: str = field(default="", metadata=about("Region of this host."))
    address: str = field(default="127.0.0.1", metadata=about("IP number to listen on."))
    port: int = field(default=8080, metadata=about("Port for callers and operators."))
    peer_port: int = field(default=8081, metadata=about("Port for peers."))
    peers: str = field(
        default="",
        metadata=about("All other entry hosts: `host@domain/region=ip:port,...`."),
    )
    cluster_key: str = field(
        default="", metadata=about("Secret that all entry hosts share.")
    )
    operator_token: str = field(
        default="", metadata=about("Bearer token of operators.")
    )
    platform_url: str = field(
        default="", metadata=about("Base address of the platform's services.")
    )
    minion_slots: int = field(
        default=8, metadata=about("Requests that a minion runs at once.")
    )
    minion_connections: int = field(
        default=64, metadata=about("Connections that a minion takes from all hosts.")
    )
    claim_batch: int = field(
        default=64, metadata=about("Claims written in one transaction at most.")
    )
    claim_lanes: int = field(
        default=2, metadata=about("Claim transactions under way at once.")
    )
    largest_body: int = field(
        default=262_144, metadata=about("Largest request body, in bytes.")
    )
    client_memory_share: float = field(
        default=IngressSettings.memory_share,
        metadata=about("Share of 512 MB of memory for the connections of clients."),
    )
    body_timeout: float = field(
        default=IngressSettings.body_timeout,
        metadata=about("Time for the body of a request to arrive, in seconds."),
    )
    write_timeout: float = field(
        default=IngressSettings.write_timeout,
        metadata=about("Longest wait for a peer that reads nothing, in seconds."),
    )
    max_connections: int = field(
        default=IngressSettings.max_connections,
        metadata=about(
            "Connections of clients at most; 0: derived from the descriptors."
        ),
    )
    longest_timeout: float = field(
        default=60.0, metadata=about("Longest deadline of a request, in seconds.")
    )
    notice_seconds: float = field(
        default=5.0,
        metadata=about("Time for the balancer to notice a planned stop."),
    )
    drain_seconds: float = field(
        default=60.0, metadata=about("Longest wait for work in progress at a stop.")
    )
    otlp_endpoint: str = field(
        default="", metadata=about("OTLP/HTTP address for metrics; empty: none.")
    )
    seed: int = field(default=0, metadata=about("Seed of the choice of minions."))

    def check(self):
        """Validate all settings; raises SettingsError."""
        for name in ("host", "domain", "region", "platform_url"):
            if not getattr(self, name):
                raise setting_error(name, f"The {name} is missing.")
        for name in ("cluster_key", "operator_token"):
            if len(getattr(self, name)) < MIN_SECRET_LENGTH:
                raise setting_error(
                    name, f"The {name} has fewer than {MIN_SECRET_LENGTH} characters."
                )
        for name in ("port", "peer_port"):
            if not 0 < getattr(self, name) <= MAX_PORT:
                raise setting_error(name, f"The {name} must be 1 to {MAX_PORT}.")
        for entry in fields(self):
            value = getattr(self, entry.name)
            if entry.type in (int, float) and value < 0:
                raise setting_error(entry.name, f"The {entry.name} can't be negative.")
        for name in ("minion_slots", "claim_batch", "claim_lanes", "largest_body"):
            if getattr(self, name) < 1:
                raise setting_error(name, f"The {name} must be at least 1.")
        self.ingress_settings().check(setting_error)
        self.peer_addresses()

    def ingress_settings(self) -> IngressSettings:
        """Return the settings of the limits for clients."""
        return IngressSettings(
            self.client_memory_share,
            self.body_timeout,
            self.write_timeout,
            self.max_connections,
        )

    def peer_addresses(self) -> list[PeerAddress]:
        """Parse `peers` into addresses; raises SettingsError."""
        addresses = []
        for text in filter(None, self.peers.split(",")):
            addresses.append(_parse_peer(text.strip()))
        names = [address.host for address in addresses]
        if len(set(names)) != len(names) or self.host in names:
            raise setting_error("peers", "A peer is listed twice or is this host.")
        return addresses


def _parse_peer(text: str) -> PeerAddress:
    try:
        name, address_and_port = text.split("=")
        host, location = name.split("@")
        domain, region = location.split("/")
        address, port = address_and_port.rsplit(":", 1)
        return PeerAddress(
            HostId(host), FailureDomainId(domain), RegionId(region), address, int(port)
        )
    except ValueError:
        raise setting_error(
            "peers", f"The peer {text!r} is not of the form host@domain/region=ip:port."
        ) from None
