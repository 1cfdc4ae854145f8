"""Decoder of the rows that operators write: desired states, evacuations, waves."""

from typing import Annotated

import msgspec
from msgspec import Meta

from zinniatrestle.decoding import (
    Capacity,
    Counter,
    Duration,
    Factor,
    Name,
    decode_json,
)
from zinniatrestle.errors import MalformedInputError
from zinniatrestle.ids import (
    ApiKey,
    ClientAccountId,
    FailureDomainId,
    QueueName,
    RegionId,
    RowName,
    ServiceName,
    TableName,
)
from zinniatrestle.queues.follower import OperatorRows
from zinniatrestle.queues.messages import (
    Account,
    AdviceTerms,
    DesiredState,
    Evacuation,
    Queue,
    Service,
    Wave,
)

CONFIG_ROW = "config"
EVACUATE_PREFIX = "evacuate/"
WAVE_PREFIX = "wave/"
MS_PER_SECOND = 1000.0
# More digits are no number of a wave.
MAX_WAVE_DIGITS = 15

Priority = Annotated[int, Meta(ge=-(10**9), le=10**9)]


class WireAdvice(msgspec.Struct, frozen=True):
    """Times of a queue's advice service, and how long its tickets are valid."""

    decisionMs: Duration = 0.0
    perWorkerMs: Duration = 0.0
    validMs: Duration = 0.0


class WireRoute(msgspec.Struct, frozen=True):
    """A queue of jobs; `service` names the workers that run its tasks."""

    name: str
    host: str
    pathPrefix: str
    service: str
    priority: Priority = 0
    maxAttempts: Counter = 1
    stretch: Factor = 1.0
    targetLatencyMs: Duration = 0.0
    timeoutMs: Duration = 0.0
    allowAnonymous: bool = False
    allowedRegions: list[str] = []
    advice: WireAdvice | None = None


class WireService(msgspec.Struct, frozen=True):
    """A pool of workers; with `enforcesCapacity` they refuse runs that don't fit."""

    name: str
    enforcesCapacity: bool = False
    standby: bool = False


class WireGuaranteed(msgspec.Struct, frozen=True):
    """Accelerators that are guaranteed to a client account."""

    gpus: Capacity = 0


class WireTenant(msgspec.Struct, frozen=True):
    """A client account and the API keys of its callers."""

    name: str
    apiKeys: list[str] = []
    guaranteed: WireGuaranteed = WireGuaranteed()
    allowedRegions: list[str] = []


class WireLimits(msgspec.Struct, frozen=True):
    """Limits of requests and connections; 0 means that none is set."""

    maxBodyBytes: Counter = 0
    maxHeaderBytes: Counter = 0
    headerTimeoutMs: Duration = 0.0
    idleTimeoutMs: Duration = 0.0


class WireConfig(msgspec.Struct, frozen=True):
    """A complete desired state."""

    version: Counter
    routes: list[WireRoute] = []
    services: list[WireService] = []
    tenants: list[WireTenant] = []
    limits: WireLimits = WireLimits()


class WireWave(msgspec.Struct, frozen=True):
    """A maintenance wave: at most `cap` machines at a time, done in `durationS`."""

    wave: Counter
    machines: list[Name] = []
    durationS: Duration = 0.0
    cap: Counter = 1


class PlatformOperatorRows(OperatorRows):
    """Decoder of the operators' table."""

    table = TableName("op")

    def decode(
        self, name: RowName, value: bytes | None
    ) -> DesiredState | Evacuation | Wave | None:
        """Decode a row, or return None if its name has no meaning here.

        Raises MalformedInputError if the row can't be decoded.
        """
        if name.startswith(EVACUATE_PREFIX):
            return Evacuation(FailureDomainId(name.removeprefix(EVACUATE_PREFIX)))
        if name == CONFIG_ROW and value is not None:
            wire = decode_json(value, WireConfig, "The desired state")
            return _decode_desired_state(wire)
        if name.startswith(WAVE_PREFIX):
            return _decode_wave(name, value)
        return None


def _decode_desired_state(config: WireConfig) -> DesiredState:
    return DesiredState(
        version=config.version,
        queues=tuple(_decode_queue(route) for route in config.routes),
        services=tuple(
            Service(
                ServiceName(service.name), service.enforcesCapacity, service.standby
            )
            for service in config.services
        ),
        accounts=tuple(_decode_account(tenant) for tenant in config.tenants),
        largest_body=config.limits.maxBodyBytes,
        max_header_bytes=config.limits.maxHeaderBytes,
        header_timeout=config.limits.headerTimeoutMs / MS_PER_SECOND,
        idle_timeout=config.limits.idleTimeoutMs / MS_PER_SECOND,
    )


def _decode_queue(route: WireRoute) -> Queue:
    advice = None
    if route.advice is not None:
        advice = AdviceTerms(
            route.advice.decisionMs / MS_PER_SECOND,
            route.advice.perWorkerMs / MS_PER_SECOND,
            route.advice.validMs / MS_PER_SECOND,
        )
    return Queue(
        name=QueueName(route.name),
        host=route.host,
        path=route.pathPrefix,
        service=ServiceName(route.service),
        priority=route.priority,
        attempts=max(1, route.maxAttempts),
        stretch=route.stretch,
        target=route.targetLatencyMs / MS_PER_SECOND,
        timeout=route.timeoutMs / MS_PER_SECOND,
        anonymous=route.allowAnonymous,
        regions=frozenset(RegionId(region) for region in route.allowedRegions),
        advice=advice,
    )


def _decode_account(tenant: WireTenant) -> Account:
    return Account(
        name=ClientAccountId(tenant.name),
        keys=frozenset(ApiKey(key) for key in tenant.apiKeys),
        guaranteed=tenant.guaranteed.gpus,
        regions=frozenset(RegionId(region) for region in tenant.allowedRegions),
    )


def _decode_wave(name: RowName, value: bytes | None) -> Wave:
    """Decode a wave; a removed row gives a wave without machines."""
    number = _wave_number(name)
    if value is None:
        return Wave(number, (), 0.0, 0)
    wire = decode_json(value, WireWave, "The wave")
    if wire.wave != number:
        raise MalformedInputError(f"The wave has the number {wire.wave} in its row.")
    return Wave(number, tuple(wire.machines), wire.durationS, max(1, wire.cap))


def _wave_number(name: RowName) -> int:
    digits = name.removeprefix(WAVE_PREFIX)
    is_number = digits.isascii() and digits.isdecimal()
    if not is_number or len(digits) > MAX_WAVE_DIGITS:
        raise MalformedInputError(f"{WAVE_PREFIX} must be followed by a number.")
    return int(digits)
