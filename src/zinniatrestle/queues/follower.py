"""Follow what operators write."""

from abc import ABC, abstractmethod

from zinniatrestle.errors import CallerError
from zinniatrestle.events import Event, EventLog
from zinniatrestle.ids import BootSeconds, RowName, TableName
from zinniatrestle.queues.messages import DesiredState, Evacuation, Wave
from zinniatrestle.queues.state import OperatorState
from zinniatrestle.rows import Change, StoredRow
from zinniatrestle.rows.feed import TableReader

# s; a feed answers after this time at the latest, and each answer confirms the
# desired state, so several fit into the shortest time for which a key may be stale.
FEED_WAIT_SECONDS = 0.8


class OperatorRows(ABC):
    """Decode the rows that operators write; raises CallerError for damaged ones."""

    table: TableName

    @abstractmethod
    def decode(
        self, name: RowName, value: bytes | None
    ) -> DesiredState | Evacuation | Wave | None:
        """Return what a row says, or None for a row of no interest.

        A `value` of None asks what a row was about that has been removed.
        """


class DesiredStateReader(TableReader):
    """Keep a host's belief of the desired state up to date."""

    def __init__(self, rows: OperatorRows, state: OperatorState, events: EventLog):
        self.rows = rows
        self.table = rows.table
        self.state = state
        self.events = events

    def snapshot(self, rows: list[StoredRow]):
        """Take all rows in place of what was known."""
        self.state.evacuated.clear()
        self.state.waves.clear()
        for row in rows:
            self._apply(row.name, row.value)

    def change(self, change: Change):
        """Take one change."""
        if change.value is None:
            self._remove(change.name)
            return
        self._apply(change.name, change.value)

    def caught_up(self, asked_at: BootSeconds):
        """Note since when the desired state is confirmed."""
        self.state.confirm(asked_at)

    def _apply(self, name: RowName, value: bytes):
        try:
            decoded = self.rows.decode(name, value)
        except CallerError as error:
            self.events.write(Event.RELOAD_FAILED, row=name, reason=error.detail)
            return
        if isinstance(decoded, DesiredState):
            taken = self.state.install(decoded)
            self.events.write(Event.DESIRED_STATE, version=decoded.version, taken=taken)
            return
        if isinstance(decoded, Evacuation):
            self.state.evacuated.add(decoded.domain)
            self.events.write(Event.EVACUATION, domain=decoded.domain, out=True)
            return
        if isinstance(decoded, Wave):
            self.state.waves[decoded.number] = decoded

    def _remove(self, name: RowName):
        decoded = self.rows.decode(name, None)
        if isinstance(decoded, Evacuation):
            self.state.evacuated.discard(decoded.domain)
            self.events.write(Event.EVACUATION, domain=decoded.domain, out=False)
        if isinstance(decoded, Wave):
            self.state.waves.pop(decoded.number, None)
