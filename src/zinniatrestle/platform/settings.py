"""Decoder of the settings file that the platform gives to each process."""

import tomllib
from pathlib import Path
from typing import Any

import msgspec

from zinniatrestle.decoding import (
    Counter,
    Duration,
    Factor,
    PositiveCounter,
    PositiveFactor,
    convert,
)
from zinniatrestle.deployment import (
    Addresses,
    Bounds,
    Deployment,
    Identity,
    StoreLimits,
)
from zinniatrestle.errors import MalformedInputError, SettingsError
from zinniatrestle.ids import FailureDomainId, HostId, RegionId
from zinniatrestle.ingress.limits import Resources

SETTINGS_VARIABLE = "ZINNIATRESTLE_BOOT"
MS_PER_SECOND = 1000.0
INVOCATION = "invocation"


class BindAddresses(msgspec.Struct, frozen=True):
    """Addresses on which this process listens, each as IP:PORT."""

    frontendAddr: str = ""
    readiness: str = ""


class WireLimits(msgspec.Struct, frozen=True):
    """Resources of the machine.

    Its CPU is `cpuShare` of one core that is as fast as `cores` cores. `memoryMb` and
    `maxFds` are 0 if they are not known.
    """

    cpuShare: PositiveFactor = 1.0
    cores: PositiveFactor = 1.0
    memoryMb: Factor = 0
    maxFds: Counter = 0


class WireBounds(msgspec.Struct, frozen=True):
    """Time limits and factors of the platform; most names end in their unit."""

    contactMs: Duration = 4000
    ackTimeoutMs: Duration = 5000
    drainMs: Duration = 2500
    graceS: Duration = 6
    revokeMs: Duration = 5000
    strictRevocation: bool = True
    evacuateMs: Duration = 5000
    configApplyMs: Duration = 2500
    maxHoldMs: Duration = 10000
    stopTimeoutMs: Duration = 1000
    gangTimeoutMs: Duration = 3000
    status_s: Duration = 120
    # Time after the end of traffic by which accepted work that can run has to run.
    finish_s: Duration = 14
    farX: Factor = 3
    checkpointIntervalS: Duration = 2
    restoreMs: Duration = 250
    noticeMs: Duration = 5500
    leaseMs: Duration = 3000
    paceMs: Duration = 100
    harmMs: Duration = 4000
    reclaimMs: Duration = 3000
    migrateS: Duration = 1.5
    maintenanceS: Duration = 2


class StoreSection(msgspec.Struct, frozen=True):
    """Address of the store, and the rate limits that all hosts share."""

    address: str = ""
    form: str = "table"
    writesPerS: Factor = 100
    readsPerS: Factor = 100
    # Maximum size of a row's value, encoded as base64.
    rowBytes: PositiveCounter = 65_536


class CloudSection(msgspec.Struct, frozen=True):
    """Address and rate limits of the calls about machines."""

    address: str = ""
    ratePerS: Factor = 10
    dutyPerS: Factor = 10


class SettingsFile(msgspec.Struct, frozen=True):
    """The fields of the file that are used; others are ignored."""

    nodeName: str
    ip: str
    zone: str
    region: str
    bindAddresses: BindAddresses
    platform: StoreSection
    zones: dict[str, str] = {}
    orders: str = INVOCATION
    # Interval at which workers write their registry entries.
    heartbeatMs: Duration = 1500
    advice: str = ""
    limits: WireLimits = WireLimits()
    bounds: WireBounds = WireBounds()
    cloudApi: CloudSection = CloudSection()


def load(path: Path) -> Deployment:
    """Read and check the settings file; raises SettingsError."""
    return decode_text(read_text(path))


def read_text(path: Path) -> str:
    """Read the settings file; raises SettingsError."""
    try:
        return path.read_text()
    except (OSError, ValueError) as error:
        raise SettingsError(
            f"The settings file {path} can't be read: {error}."
        ) from error


def decode_text(text: str) -> Deployment:
    """Decode and check the text of a settings file; raises SettingsError."""
    try:
        document = tomllib.loads(text)
    except (ValueError, RecursionError) as error:
        # The parser also raises ValueError for long numbers, and RecursionError.
        raise SettingsError(f"The settings file can't be read: {error}.") from error
    return decode(document)


def decode(document: dict[str, Any]) -> Deployment:
    """Decode and check a settings document; raises SettingsError."""
    try:
        file = convert(document, SettingsFile, "The settings file")
    except MalformedInputError as error:
        raise SettingsError(error.detail) from error
    if file.platform.form != "table":
        raise SettingsError(
            "The form of the store is not supported: set platform.form to table."
        )
    if file.orders != INVOCATION:
        raise SettingsError(
            "This way of sending orders is not supported: set orders to invocation."
        )
    deployment = Deployment(
        identity=Identity(
            host=HostId(file.nodeName),
            address=file.ip,
            domain=FailureDomainId(file.zone),
            region=RegionId(file.region),
            speed=file.limits.cpuShare * file.limits.cores,
        ),
        addresses=Addresses(
            callers=file.bindAddresses.frontendAddr,
            readiness=file.bindAddresses.readiness,
            store=file.platform.address,
            machines=file.cloudApi.address,
            advice=file.advice,
        ),
        regions={
            FailureDomainId(zone): RegionId(region)
            for zone, region in file.zones.items()
        },
        bounds=_bounds(file.bounds, file.heartbeatMs),
        store=StoreLimits(
            file.platform.writesPerS,
            file.platform.readsPerS,
            file.platform.rowBytes,
        ),
        resources=Resources(file.limits.memoryMb, file.limits.maxFds),
    )
    deployment.check()
    return deployment


def _bounds(wire: WireBounds, heartbeat_ms: float) -> Bounds:
    return Bounds(
        contact=wire.contactMs / MS_PER_SECOND,
        acknowledgement=wire.ackTimeoutMs / MS_PER_SECOND,
        drain=wire.drainMs / MS_PER_SECOND,
        grace=wire.graceS,
        revocation=wire.revokeMs / MS_PER_SECOND,
        strict_revocation=wire.strictRevocation,
        evacuation=wire.evacuateMs / MS_PER_SECOND,
        configuration=wire.configApplyMs / MS_PER_SECOND,
        max_hold=wire.maxHoldMs / MS_PER_SECOND,
        stop=wire.stopTimeoutMs / MS_PER_SECOND,
        gang=wire.gangTimeoutMs / MS_PER_SECOND,
        status_retention=wire.status_s,
        finish=wire.finish_s,
        far_factor=wire.farX,
        checkpoint_interval=wire.checkpointIntervalS,
        restore=wire.restoreMs / MS_PER_SECOND,
        notice=wire.noticeMs / MS_PER_SECOND,
        lease=wire.leaseMs / MS_PER_SECOND,
        pace=wire.paceMs / MS_PER_SECOND,
        harm=wire.harmMs / MS_PER_SECOND,
        reclaim=wire.reclaimMs / MS_PER_SECOND,
        heartbeat=heartbeat_ms / MS_PER_SECOND,
        move=wire.migrateS,
        upkeep=wire.maintenanceS,
    )
