"""An event log for tests of what is logged."""

from typing import Any

from zinniatrestle.events import Event, EventLog


class EventList(EventLog):
    """An event log that keeps the fields of its events in a list."""

    def __init__(self):
        super().__init__()
        self.lines: list[dict[str, Any]] = []

    def write(self, event: Event, **fields: Any):
        """Append the fields of an event."""
        self.lines.append({"event": event.value, **fields})
