"""Log lines about rows that are rejected because of their content."""

from zinniatrestle.events.log import EventLog
from zinniatrestle.events.messages import Event


class RejectionLog:
    """Log rejected rows of a table, each once for as long as its reason is the same."""

    def __init__(self, events: EventLog, table: str):
        self.events = events
        self.table = table
        self.reasons: dict[str, str] = {}

    def reject(self, row: str, reason: str):
        """Log that a row is rejected, unless that is known."""
        if self.reasons.get(row) == reason:
            return
        self.reasons[row] = reason
        self.events.write(
            Event.INPUT_REJECTED, table=self.table, row=row, reason=reason
        )

    def accept(self, row: str):
        """Record that a row is valid or removed, so that new damage is logged."""
        self.reasons.pop(row, None)

    def retain(self, rows: set[str]):
        """Forget the rows that no longer exist."""
        for row in list(self.reasons):
            if row not in rows:
                del self.reasons[row]
