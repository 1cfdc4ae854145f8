"""Log lines about input of others that is rejected because of its content."""

from zinniatrestle.events.log import EventLog
from zinniatrestle.events.messages import Event


class RejectionLog:
    """Log rejected input of one source, for each name once until its reason changes."""

    def __init__(self, events: EventLog, source: str):
        self.events = events
        self.source = source
        self.reasons: dict[str, str] = {}

    def reject(self, name: str, reason: str):
        """Log that input is rejected, unless that is known."""
        if self.reasons.get(name) == reason:
            return
        self.reasons[name] = reason
        self.events.write(
            Event.INPUT_REJECTED, source=self.source, name=name, reason=reason
        )

    def accept(self, name: str):
        """Record that input is valid or gone, so that new damage is logged."""
        self.reasons.pop(name, None)

    def retain(self, names: set[str]):
        """Forget all names but these."""
        for name in list(self.reasons):
            if name not in names:
                del self.reasons[name]
