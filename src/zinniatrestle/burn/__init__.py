"""Error-budget burn rates: answers counted on each host, merged into one report."""

from zinniatrestle.burn.messages import BurnReport, HostBurn
from zinniatrestle.burn.report import merge
from zinniatrestle.burn.state import BurnRecorder

__all__ = ["BurnRecorder", "BurnReport", "HostBurn", "merge"]
