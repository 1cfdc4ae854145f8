"""Read the desired state from the feed of the operators' table."""

from abc import ABC, abstractmethod

from zinniatrestle.errors import MalformedInputError
from zinniatrestle.events import Event, EventLog, RejectionLog
from zinniatrestle.ids import BootSeconds, RowName, TableName
from zinniatrestle.queues.messages import DesiredState, Evacuation, Wave
from zinniatrestle.queues.state import OperatorState
from zinniatrestle.rows import Change
from zinniatrestle.rows.feed import TableReader

# Longest wait for an answer of the feed. Each answer confirms the desired state, so
# several have to fit into the time within which a revoked key must stop working.
FEED_WAIT_SECONDS = 0.8


class OperatorRows(ABC):
    """Decode the rows that operators write."""

    table: TableName

    @abstractmethod
    def decode(
        self, name: RowName, value: bytes | None
    ) -> DesiredState | Evacuation | Wave | None:
        """Return the content of a row, or None for a row of another kind.

        A `value` of None stands for a removed row; the result then identifies what was
        removed. Raises MalformedInputError for a row with damaged content or an invalid
        name.
        """


class DesiredStateReader(TableReader):
    """Apply changes of the operators' table to a host's copy of the desired state."""

    def __init__(self, rows: OperatorRows, state: OperatorState, events: EventLog):
        self.rows = rows
        self.table = rows.table
        self.state = state
        self.events = events
        self.rejections = RejectionLog(events, f"table {self.table}")
        # Rows whose content is in force. A damaged new version replaces no content.
        self.applied: set[RowName] = set()

    def retain(self, names: set[RowName]):
        """Remove what is in force by rows other than these."""
        self.rejections.retain(names)
        for name in self.applied - names:
            self._remove(name)

    def change(self, change: Change):
        """Apply one change."""
        if change.value is None:
            self._remove(change.name)
            return
        self._apply(change.name, change.value)

    def caught_up(self, asked_at: BootSeconds):
        """Record the time at which the desired state was confirmed."""
        self.state.confirm(asked_at)

    def _apply(self, name: RowName, value: bytes):
        decoded = self._decode(name, value)
        if decoded is None:
            return
        self.rejections.accept(name)
        self.applied.add(name)
        if isinstance(decoded, DesiredState):
            installed = self.state.install(decoded)
            self.events.write(
                Event.DESIRED_STATE, version=decoded.version, taken=installed
            )
            return
        if isinstance(decoded, Evacuation):
            self.state.evacuated.add(decoded.domain)
            self.events.write(Event.EVACUATION, domain=decoded.domain, out=True)
            return
        self.state.waves[decoded.number] = decoded

    def _remove(self, name: RowName):
        self.rejections.accept(name)
        if name not in self.applied:
            return
        self.applied.discard(name)
        decoded = self._decode(name, None)
        if isinstance(decoded, Evacuation):
            self.state.evacuated.discard(decoded.domain)
            self.events.write(Event.EVACUATION, domain=decoded.domain, out=False)
        if isinstance(decoded, Wave):
            self.state.waves.pop(decoded.number, None)

    def _decode(
        self, name: RowName, value: bytes | None
    ) -> DesiredState | Evacuation | Wave | None:
        """Decode a row; a malformed one changes nothing and is logged."""
        try:
            return self.rows.decode(name, value)
        except MalformedInputError as error:
            self.rejections.reject(name, error.detail)
            return None
