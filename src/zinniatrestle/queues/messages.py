"""The desired state: queues, services, client accounts, evacuations and waves."""

import msgspec

from zinniatrestle.ids import (
    ApiKey,
    ClientAccountId,
    FailureDomainId,
    QueueName,
    RegionId,
    ServiceName,
)


class AdviceTerms(msgspec.Struct, frozen=True):
    """Timing of the advice service of a queue, in seconds.

    A call takes `decision` plus `per_worker` for each worker asked about; a ticket is
    valid for `validity`.
    """

    decision: float = 0.0
    per_worker: float = 0.0
    validity: float = 0.0


class Queue(msgspec.Struct, frozen=True):
    """A queue: the host and path where jobs are submitted, and how they are scheduled.

    A lower `priority` is scheduled first. The objective for the completion time of a
    job is `stretch` times its longest chain of steps plus `target` seconds. `timeout`
    is in seconds.
    """

    name: QueueName
    host: str
    path: str
    service: ServiceName
    priority: int = 0
    attempts: int = 1
    stretch: float = 1.0
    target: float = 0.0
    timeout: float = 0.0
    anonymous: bool = False
    regions: frozenset[RegionId] = frozenset()
    advice: AdviceTerms | None = None


class Admission(msgspec.Struct, frozen=True):
    """Queue and client account of an admitted call; no account if it has no key."""

    queue: Queue
    account: ClientAccountId

    def permits(self, queue: QueueName, account: ClientAccountId) -> bool:
        """Return whether the call may be about a job of a queue and an account.

        A job without an account is everyone's, and so is one of the call's own queue if
        that needs no key.
        """
        if not account or account == self.account:
            return True
        return self.queue.anonymous and queue == self.queue.name


class Service(msgspec.Struct, frozen=True):
    """A pool of workers; with `enforces_capacity` they refuse tasks that don't fit."""

    name: ServiceName
    enforces_capacity: bool = False
    standby: bool = False


class Account(msgspec.Struct, frozen=True):
    """A client account; `guaranteed` accelerators are available to it at any time."""

    name: ClientAccountId
    keys: frozenset[ApiKey] = frozenset()
    guaranteed: int = 0
    regions: frozenset[RegionId] = frozenset()


def permitted_regions(
    queue: Queue | None, account: Account | None
) -> frozenset[RegionId] | None:
    """Return the regions in which an account's jobs of a queue may run.

    None stands for all. There may be none, if the two permit different regions.
    """
    regions = queue.regions if queue is not None else frozenset()
    if account is None or not account.regions:
        return regions or None
    return regions & account.regions if regions else account.regions


class DesiredState(msgspec.Struct, frozen=True):
    """One version of the configuration set by operators.

    `largest_body` and `max_header_bytes` are in bytes, `header_timeout` and
    `idle_timeout` in seconds; 0 if no limit is set.
    """

    version: int
    queues: tuple[Queue, ...] = ()
    services: tuple[Service, ...] = ()
    accounts: tuple[Account, ...] = ()
    largest_body: int = 0
    max_header_bytes: int = 0
    header_timeout: float = 0.0
    idle_timeout: float = 0.0


class Wave(msgspec.Struct, frozen=True):
    """A rolling maintenance of machines.

    Each machine is maintained once, `max_concurrent` at a time, and the whole wave
    within `duration` seconds.
    """

    number: int
    machines: tuple[str, ...]
    duration: float
    max_concurrent: int


class Evacuation(msgspec.Struct, frozen=True):
    """A failure domain whose workers get no new tasks."""

    domain: FailureDomainId
