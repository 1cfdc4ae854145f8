"""Service-level burn: counts on each host, merged into one report."""

from zinniatrestle.burn.messages import BurnReport, HostBurn
from zinniatrestle.burn.report import merge
from zinniatrestle.burn.state import BurnLedger

__all__ = ["BurnLedger", "BurnReport", "HostBurn", "merge"]
