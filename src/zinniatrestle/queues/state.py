"""A host's copy of the desired state, and when it was last confirmed."""

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
    """Whether a host's copy of the desired state is recent enough."""

    UNKNOWN = "unknown"
    FRESH = "fresh"
    STALE = "stale"


class OperatorState:
    """The newest desired state, evacuations and waves known to this host."""

    def __init__(self):
        self.desired: DesiredState | None = None
        self.evacuated: set[FailureDomainId] = set()
        self.waves: dict[int, Wave] = {}
        self.confirmed_at = BootSeconds(float("-inf"))
        self.queues_by_host: dict[str, list[Queue]] = {}
        self.queues: dict[QueueName, Queue] = {}
        self.services: dict[ServiceName, Service] = {}
        self.accounts: dict[ClientAccountId, Account] = {}
        self.account_by_key: dict[ApiKey, ClientAccountId] = {}

    def install(self, desired: DesiredState) -> bool:
        """Install a desired state if it is newer; return whether it was installed."""
        if self.desired is not None and desired.version <= self.desired.version:
            return False
        self.desired = desired
        self.queues = {queue.name: queue for queue in desired.queues}
        self.services = {service.name: service for service in desired.services}
        self.accounts = {account.name: account for account in desired.accounts}
        self.account_by_key = {}
        for account in desired.accounts:
            for key in account.keys:
                self.account_by_key[key] = account.name
        self.queues_by_host = {}
        for queue in sorted(desired.queues, key=lambda queue: -len(queue.path)):
            self.queues_by_host.setdefault(queue.host.lower(), []).append(queue)
        return True

    def confirm(self, asked_at: BootSeconds):
        """Record that the store held nothing newer at `asked_at` or later."""
        self.confirmed_at = max(self.confirmed_at, asked_at)

    def freshness(self, now: BootSeconds, max_age: float) -> Freshness:
        """Return FRESH if the copy was confirmed within the last `max_age` seconds."""
        if self.desired is None:
            return Freshness.UNKNOWN
        if now - self.confirmed_at > max_age:
            return Freshness.STALE
        return Freshness.FRESH

    def queue_for(self, host: str, path: str) -> Queue:
        """Return the queue with the longest matching path; raises NotFoundError."""
        for queue in self.queues_by_host.get(host.lower(), ()):
            if path.startswith(queue.path):
                return queue
        raise NotFoundError("No queue has this host and path.")

    def account_for(self, queue: Queue, key: ApiKey | None) -> ClientAccountId:
        """Return the client account of a key, or an empty id for callers without one.

        Raises AuthenticationError for an unknown key, on any queue, and for a call
        without a key if the queue is not anonymous.
        """
        if key is None:
            if queue.anonymous:
                return ClientAccountId("")
            raise AuthenticationError("Send a key of a client account with the call.")
        account = self.account_by_key.get(key)
        if account is None:
            raise AuthenticationError("No client account has this key.")
        return account
