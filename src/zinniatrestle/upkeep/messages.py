"""Machines as the platform lists them, and what it answers to calls about them."""

from enum import Enum

import msgspec

from zinniatrestle.errors import PlatformError
from zinniatrestle.ids import (
    FailureDomainId,
    MachineId,
    ServiceName,
    TableName,
    WorkerId,
)

# What is known of each wave, for a successor.
WAVES = TableName("waves")


class MachineState(Enum):
    """Whether a machine works."""

    UP = "up"
    MOVING = "moving"
    UPKEEP = "upkeep"
    DOWN = "down"


class WaveState(Enum):
    """How far a wave is, as operators see it."""

    RUNNING = "running"
    COMPLETED = "completed"


class Machine(msgspec.Struct, frozen=True):
    """A machine, the service whose pool it is in, and the worker that runs on it."""

    machine: MachineId
    service: ServiceName
    state: MachineState
    domain: FailureDomainId
    worker: WorkerId


class WaveRecord(msgspec.Struct, frozen=True):
    """What is kept of a wave: since when it runs (store ms), and which have begun."""

    started_at: float
    begun: tuple[MachineId, ...] = ()


class MachineRefusal(Enum):
    """Why the platform refused a call about a machine."""

    STALE_GENERATION = "stale_generation"
    # It is not up, or it is leaving.
    BUSY = "busy"
    # It is not part of the wave.
    OTHER_WAVE = "other_wave"
    UNKNOWN_MACHINE = "unknown_machine"
    # The platform takes no more calls for now.
    UNAVAILABLE = "unavailable"


class MachineRefusedError(PlatformError):
    """Signal a call that the platform surely did not carry out."""

    def __init__(self, refusal: MachineRefusal):
        super().__init__(f"The platform refused the call: {refusal.value}.")
        self.refusal = refusal


class UnansweredMachineError(PlatformError):
    """Signal a call that may have been carried out, or may be later."""
