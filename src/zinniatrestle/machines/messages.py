"""Machines as listed by the platform, and its refusals of calls about them."""

from enum import Enum

import msgspec

from zinniatrestle.errors import PlatformError
from zinniatrestle.ids import FailureDomainId, MachineId, ServiceName, WorkerId


class MachineState(Enum):
    """State of a machine, as listed by the platform."""

    UP = "up"
    MOVING = "moving"
    UPKEEP = "upkeep"
    DOWN = "down"
    # The entry is damaged, or gives a state that isn't known here.
    UNKNOWN = "unknown"


class Machine(msgspec.Struct, frozen=True):
    """A machine, the service whose pool it is in, and the worker that runs on it."""

    machine: MachineId
    service: ServiceName
    state: MachineState
    domain: FailureDomainId
    worker: WorkerId


class MachineRefusal(Enum):
    """Why the platform refused a call about a machine."""

    STALE_GENERATION = "stale_generation"
    # The machine is not up, or it is leaving.
    BUSY = "busy"
    # The machine is not part of the wave.
    OTHER_WAVE = "other_wave"
    UNKNOWN_MACHINE = "unknown_machine"
    # The platform accepts no more calls for now.
    UNAVAILABLE = "unavailable"


class MachineRefusedError(PlatformError):
    """Signal a call that the platform certainly did not carry out."""

    def __init__(self, refusal: MachineRefusal):
        super().__init__(f"The platform refused the call: {refusal.value}.")
        self.refusal = refusal


class UnansweredMachineError(PlatformError):
    """Signal a call that may have been carried out, or may still be."""
