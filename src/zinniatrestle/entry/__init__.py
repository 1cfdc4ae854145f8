"""The entry host: all slices put together, and its daemon."""

from zinniatrestle.entry.host import EntryHost
from zinniatrestle.entry.state import HostState

__all__ = ["EntryHost", "HostState"]
