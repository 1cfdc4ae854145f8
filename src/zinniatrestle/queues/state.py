"""What a host believes of the desired state, and since when."""

from enum import Enum

from zinniatrestle.errors import AuthenticationError, NotFoundError
from zinniatrestle.ids import (
    ApiKey,
    BootSeconds,
    ClientAccountId,
    FailureDomainId,
    QueueName,
    ServiceName,
)
from zinniatrestle.queues.messages import Account, DesiredState, Queue, Service, Wave


class Freshness(Enum):
    """How well a host's belief is confirmed."""

    UNKNOWN = "unknown"
    FRESH = "fresh"
    STALE = "stale"


class OperatorState:
    """Hold the newest desired state, evacuations and waves."""

    def __init__(self):
        self.desired: DesiredState | None = None
        self.evacuated: set[FailureDomainId] = set()
        self.waves: dict[int, Wave] = {}
        self.confirmed_at = BootSeconds(float("-inf"))
        self.by_host: dict[str, list[Queue]] = {}
        self.queues: dict[QueueName, Queue] = {}
        self.services: dict[ServiceName, Service] = {}
        self.accounts: dict[ClientAccountId, Account] = {}
        self.owners: dict[ApiKey, ClientAccountId] = {}

    def install(self, desired: DesiredState) -> bool:
        """Take a desired state unless it is older; tell whether it was taken."""
        if self.desired is not None and desired.version <= self.desired.version:
            return False
        self.desired = desired
        self.queues = {queue.name: queue for queue in desired.queues}
        self.services = {service.name: service for service in desired.services}
        self.accounts = {account.name: account for account in desired.accounts}
        self.owners = {}
        for account in desired.accounts:
            for key in account.keys:
                self.owners[key] = account.name
        self.by_host = {}
        for queue in sorted(desired.queues, key=lambda queue: -len(queue.path)):
            self.by_host.setdefault(queue.host.lower(), []).append(queue)
        return True

    def confirm(self, asked_at: BootSeconds):
        """Note that the store held nothing newer at `asked_at` or later."""
        self.confirmed_at = max(self.confirmed_at, asked_at)

    def freshness(self, now: BootSeconds, longest_age: float) -> Freshness:
        """Tell whether the belief was confirmed within `longest_age` seconds."""
        if self.desired is None:
            return Freshness.UNKNOWN
        if now - self.confirmed_at > longest_age:
            return Freshness.STALE
        return Freshness.FRESH

    def queue_for(self, host: str, path: str) -> Queue:
        """Return the queue with the longest matching path; raises NotFoundError."""
        for queue in self.by_host.get(host.lower(), ()):
            if path.startswith(queue.path):
                return queue
        raise NotFoundError("No queue has this host and path.")

    def account_for(self, queue: Queue, key: ApiKey | None) -> ClientAccountId:
        """Return who owns a key; raises AuthenticationError."""
        owner = self.owners.get(key) if key else None
        if owner is not None:
            return owner
        if queue.anonymous:
            return ClientAccountId("")
        raise AuthenticationError("No client account has this key.")
