"""Host lists with the shape of current deployments."""

from zinniatrestle.ids import FailureDomainId, RackId
from zinniatrestle.store.messages import HostRole, ListedHost

WORKERS_PER_RACK = 8
ACCELERATORS = 8
CORES = 32.0
MEMORY_GB = 128.0


def worker_list(domain: FailureDomainId, count: int, address: str) -> list[ListedHost]:
    """Return `count` workers with 8 accelerators each, 8 workers to a rack."""
    listed = []
    for number in range(count):
        listed.append(
            ListedHost(
                name=f"{domain}-worker-{number}",
                role=HostRole.WORKER,
                domain=domain,
                address=address,
                rack=RackId(f"{domain}-rack-{number // WORKERS_PER_RACK}"),
                accelerators=ACCELERATORS,
                cores=CORES,
                memory_gb=MEMORY_GB,
            )
        )
    return listed


def minion_list(
    domain: FailureDomainId, service: str, addresses: list[str]
) -> list[ListedHost]:
    """Return one minion of a service for each address."""
    listed = []
    for number, address in enumerate(addresses):
        listed.append(
            ListedHost(
                name=f"{domain}-{service}-{number}",
                role=HostRole.MINION,
                domain=domain,
                address=address,
                service=service,
            )
        )
    return listed
