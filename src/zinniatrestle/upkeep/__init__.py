"""Waves of upkeep: each machine once, a few at a time, without cutting work off."""

from zinniatrestle.upkeep.interfaces import MachineCalls
from zinniatrestle.upkeep.keeper import WaveKeeper
from zinniatrestle.upkeep.messages import (
    Machine,
    MachineRefusal,
    MachineRefusedError,
    MachineState,
    UnansweredMachineError,
    WaveState,
)

__all__ = [
    "Machine",
    "MachineCalls",
    "MachineRefusal",
    "MachineRefusedError",
    "MachineState",
    "UnansweredMachineError",
    "WaveKeeper",
    "WaveState",
]
