"""Rolling maintenance of machines in waves, with draining and a concurrency limit."""

from zinniatrestle.upkeep.messages import WaveState
from zinniatrestle.upkeep.runner import WaveRunner

__all__ = ["WaveRunner", "WaveState"]
