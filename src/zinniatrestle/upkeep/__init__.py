"""Waves of upkeep: each machine once, a few at a time, without cutting work off."""

from zinniatrestle.upkeep.interfaces import MachineCalls
from zinniatrestle.upkeep.messages import (
    Machine,
    MachineRefusal,
    MachineRefusedError,
    MachineState,
    UnansweredMachineError,
    WaveState,
)
from zinniatrestle.upkeep.runner import WaveRunner

__all__ = [
    "Machine",
    "MachineCalls",
    "MachineRefusal",
    "MachineRefusedError",
    "MachineState",
    "UnansweredMachineError",
    "WaveRunner",
    "WaveState",
]
