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
    """How long the advice service of a queue takes, in seconds."""

    decision: float = 0.0
    per_worker: float = 0.0
    validity: float = 0.0


class Queue(msgspec.Struct, frozen=True):
    """Where jobs of one sort are handed in, and how they are treated.

    A lower `priority` goes first. `stretch` times a job's longest chain and `target`
    seconds more is the completion time aimed for.
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


class Service(msgspec.Struct, frozen=True):
    """A pool of workers; guarded workers refuse what does not fit."""

    name: ServiceName
    enforces_capacity: bool = False
    standby: bool = False


class Account(msgspec.Struct, frozen=True):
    """A client account; `guaranteed` accelerators are its own at all times."""

    name: ClientAccountId
    keys: frozenset[ApiKey] = frozenset()
    guaranteed: int = 0
    regions: frozenset[RegionId] = frozenset()


class DesiredState(msgspec.Struct, frozen=True):
    """One version of what operators want; `largest_body` is in bytes."""

    version: int
    queues: tuple[Queue, ...] = ()
    services: tuple[Service, ...] = ()
    accounts: tuple[Account, ...] = ()
    largest_body: int = 0


class Wave(msgspec.Struct, frozen=True):
    """A wave of upkeep: each machine once and in time, `max_concurrent` together."""

    number: int
    machines: tuple[str, ...]
    duration: float
    max_concurrent: int


class Evacuation(msgspec.Struct, frozen=True):
    """A failure domain whose workers are to get nothing."""

    domain: FailureDomainId
