"""The entry host: composes all slices into one server, and its daemon."""

from zinniatrestle.entry.host import EntryHost
from zinniatrestle.entry.state import HostState

__all__ = ["EntryHost", "HostState"]
