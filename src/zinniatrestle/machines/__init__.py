"""The platform's machines: calls about them, and which workers they no longer run."""

from zinniatrestle.machines.interfaces import MachineCalls
from zinniatrestle.machines.messages import (
    Machine,
    MachineRefusal,
    MachineRefusedError,
    MachineState,
    UnansweredMachineError,
)
from zinniatrestle.machines.watch import MachineWatch

__all__ = [
    "Machine",
    "MachineCalls",
    "MachineRefusal",
    "MachineRefusedError",
    "MachineState",
    "MachineWatch",
    "UnansweredMachineError",
]
