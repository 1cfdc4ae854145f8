"""Waves of maintenance: their state and stored progress."""

from enum import Enum

import msgspec

from zinniatrestle.ids import MachineId, TableName

# Table with the progress of each wave, read by a new leader.
WAVES = TableName("waves")


class WaveState(Enum):
    """State of a wave, as shown to operators."""

    RUNNING = "running"
    COMPLETED = "completed"


class WaveRecord(msgspec.Struct, frozen=True):
    """Stored progress of a wave.

    `started_at` is in milliseconds of the store's clock; `begun` are the machines whose
    maintenance has begun, `ordered` those for which an order may have been sent.
    """

    started_at: float
    begun: tuple[MachineId, ...] = ()
    ordered: tuple[MachineId, ...] = ()
