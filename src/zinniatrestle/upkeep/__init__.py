"""Rolling maintenance of machines in waves, with draining and a concurrency limit."""

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
