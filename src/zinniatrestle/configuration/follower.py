"""Keep a host's configuration up to date from the store and from peers."""

import asyncio

import msgspec

from zinniatrestle.clock import Clock, wait_for_event
from zinniatrestle.configuration.keys import (
    ENTITY_PREFIX,
    HEAD_KEY,
    MAX_STORED_CHANGES,
    change_key,
)
from zinniatrestle.configuration.messages import (
    ChangeRecord,
    EntityRecord,
    Head,
    Snapshot,
)
from zinniatrestle.configuration.state import ConfigurationState
from zinniatrestle.errors import ConfigurationError, PlatformError, ResultCode
from zinniatrestle.ids import Revision
from zinniatrestle.logs import ComponentLog
from zinniatrestle.store.interfaces import TableService
from zinniatrestle.store.messages import ABSENT
from zinniatrestle.store.read_back import scan_all

POLL_SECONDS = 1.0
# Attempts to scan all entities without a concurrent change.
MAX_SNAPSHOT_ATTEMPTS = 5
# Changes held in memory for peers; a peer further behind gets a snapshot.
MAX_RECENT_CHANGES = 64

log = ComponentLog("configuration")


class ConfigurationFollower:
    """Maintain this host's copy of the configuration.

    `confirmed_wall` is the latest wall time, in seconds, at which the store is
    known to have held no newer revision than this copy; 0 means never.
    """

    def __init__(self, table: TableService, clock: Clock):
        self.table = table
        self.clock = clock
        self.state = ConfigurationState()
        self.recent_changes: dict[Revision, ChangeRecord] = {}
        self.head_version = ABSENT
        self.confirmed_wall = 0.0
        self.changed = asyncio.Event()
        self.wake = asyncio.Event()
        self.lock = asyncio.Lock()

    async def follow(self):
        """Poll the store until cancelled; setting `wake` starts the next poll early."""
        while True:
            try:
                await self.catch_up()
            except PlatformError as error:
                log.warning("Could not read the configuration store: %s", error.detail)
            await self._pause()

    async def catch_up(self):
        """Read the store and apply all revisions up to its newest one."""
        async with self.lock:
            read_started_wall = self.clock.wall()
            rows = await self.table.read([HEAD_KEY])
            row = rows.get(HEAD_KEY)
            if row is None:
                self._confirm(read_started_wall, Revision(0))
                return
            head = msgspec.json.decode(row.value, type=Head)
            await self._advance(head.revision)
            self.head_version = row.version
            self._confirm(read_started_wall, head.revision)

    def poll_if_newer(self, revision: Revision):
        """Poll the store at once if `revision` is newer than the one applied here."""
        if revision > self.state.revision:
            self.wake.set()

    def apply_from_peer(self, changes: list[ChangeRecord], snapshot: Snapshot | None):
        """Apply a snapshot and changes from a peer; ignore those not newer."""
        if snapshot is not None and self.state.load(snapshot):
            self._notify_changed()
        for record in changes:
            self._apply(record)

    def confirm_from_peer(self, confirmed_wall: float, revision: Revision):
        """Adopt a peer's confirmation of a revision that has been applied here.

        Ignores a confirmation dated in the future, which a skewed clock produces.
        """
        if confirmed_wall > self.clock.wall():
            return
        self._confirm(confirmed_wall, revision)

    def changes_since(
        self, revision: Revision
    ) -> tuple[list[ChangeRecord], Snapshot | None]:
        """Return the changes after `revision`, or a snapshot if some are missing."""
        wanted = range(revision + 1, self.state.revision + 1)
        if all(number in self.recent_changes for number in wanted):
            return [self.recent_changes[Revision(number)] for number in wanted], None
        return [], self.state.snapshot()

    def require(self) -> ConfigurationState:
        """Return the state; raises ConfigurationError before the first one is read."""
        if self.confirmed_wall == 0.0 and self.state.revision == 0:
            raise ConfigurationError(
                "This host has not loaded a configuration yet; try again later or "
                "use another host.",
                ResultCode.NO_CONFIGURATION,
            )
        return self.state

    async def _advance(self, target: Revision):
        missing = target - self.state.revision
        if missing <= 0:
            return
        if missing < MAX_STORED_CHANGES and self.state.revision > 0:
            wanted = range(self.state.revision + 1, target + 1)
            keys = [change_key(Revision(number)) for number in wanted]
            rows = await self.table.read(keys)
            for key in keys:
                if key not in rows:
                    break
                self._apply(msgspec.json.decode(rows[key].value, type=ChangeRecord))
        if self.state.revision < target:
            await self._load_snapshot()

    async def _load_snapshot(self):
        for _ in range(MAX_SNAPSHOT_ATTEMPTS):
            before = await self.table.read([HEAD_KEY])
            rows = await scan_all(self.table, ENTITY_PREFIX)
            after = await self.table.read([HEAD_KEY])
            if before[HEAD_KEY] != after[HEAD_KEY]:
                continue
            head = msgspec.json.decode(before[HEAD_KEY].value, type=Head)
            entities = []
            for row in sorted(rows, key=_templates_first):
                entities.append(msgspec.json.decode(row.value, type=EntityRecord))
            if self.state.load(Snapshot(head.revision, entities)):
                self._notify_changed()
            return

    def _apply(self, record: ChangeRecord):
        if not self.state.apply(record):
            return
        self.recent_changes[record.revision] = record
        self.recent_changes.pop(Revision(record.revision - MAX_RECENT_CHANGES), None)
        self._notify_changed()

    def _confirm(self, wall: float, revision: Revision):
        if revision > self.state.revision:
            return
        self.confirmed_wall = max(self.confirmed_wall, wall)

    def _notify_changed(self):
        log.info("Applied configuration revision %d.", self.state.revision)
        self.changed.set()
        self.changed = asyncio.Event()

    async def _pause(self):
        if await wait_for_event(self.wake, POLL_SECONDS):
            self.wake.clear()


def _templates_first(row) -> tuple[bool, str]:
    # Building an account's plan requires its template to be loaded first.
    return not row.key.startswith(f"{ENTITY_PREFIX}template/"), row.key
