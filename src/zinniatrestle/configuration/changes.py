"""Validate configuration changes and commit each as one revision."""

from abc import ABC, abstractmethod

import msgspec

from zinniatrestle.clock import Clock
from zinniatrestle.configuration.follower import ConfigurationFollower
from zinniatrestle.configuration.keys import (
    HEAD_KEY,
    MAX_STORED_CHANGES,
    change_key,
    entity_key,
    token_key,
)
from zinniatrestle.configuration.messages import (
    ApplyAccount,
    Change,
    ChangeAccount,
    ChangeRecord,
    Head,
    PutTemplate,
    RetireAccount,
    SetDomain,
)
from zinniatrestle.configuration.state import ConfigurationState
from zinniatrestle.errors import (
    ConfigurationError,
    ConflictError,
    ResultCode,
    StoreUncertainError,
    TemplateError,
)
from zinniatrestle.ids import OperationToken, Revision, RowKey
from zinniatrestle.logs import ComponentLog
from zinniatrestle.store.interfaces import TableService
from zinniatrestle.store.messages import ABSENT, Check, Put, Transaction
from zinniatrestle.store.read_back import commit_with_read_back

# Attempts to commit one change while other hosts commit changes concurrently.
MAX_COMMIT_ATTEMPTS = 20

log = ComponentLog("configuration")


class AcceptanceRule(ABC):
    """Check a proposed configuration before it is committed."""

    @abstractmethod
    async def check(self, after: ConfigurationState):
        """Raise ConfigurationError if the configuration `after` can't be satisfied."""


class ChangeService:
    """Validate and commit operators' changes with optimistic concurrency control."""

    def __init__(
        self,
        table: TableService,
        follower: ConfigurationFollower,
        clock: Clock,
        rules: list[AcceptanceRule],
    ):
        self.table = table
        self.follower = follower
        self.clock = clock
        self.rules = rules

    async def submit(
        self, change: Change, token: OperationToken, expected: Revision | None = None
    ) -> Revision:
        """Commit a change and return its revision.

        `expected` is the revision of the entity that the operator last read;
        raises ConflictError if the entity has changed since, or if concurrent
        changes prevented every attempt to commit. Idempotent: a `token` that was
        accepted before returns the revision of that change. Raises
        StoreUnavailableError if the store is unavailable and nothing changed.
        """
        for _ in range(MAX_COMMIT_ATTEMPTS):
            await self.follower.catch_up()
            accepted = await self._accepted_revision(token)
            if accepted is not None:
                return accepted
            record = self._record(change, token)
            self._check_expected(change, expected)
            await self._check_rules(record)
            if await self._commit(record):
                # Apply the record directly: reading it back from the store could
                # fail, and the operator would see an error for a committed change.
                self.follower.apply_from_peer([record], None)
                log.info("Committed configuration revision %d.", record.revision)
                return record.revision
        raise ConflictError("Concurrent changes prevented the commit; try again.")

    def _record(self, change: Change, token: OperationToken) -> ChangeRecord:
        revision = Revision(self.follower.state.revision + 1)
        return ChangeRecord(revision, token, self.clock.wall(), change)

    async def _check_rules(self, record: ChangeRecord):
        after = self.follower.state.copy()
        try:
            after.apply(record)
        except TemplateError as error:
            raise TemplateError(f"Nothing changed. {error.detail}") from error
        for rule in self.rules:
            await rule.check(after)

    def _check_expected(self, change: Change, expected: Revision | None):
        if expected is None:
            return
        found = entity_revision(self.follower.state, change)
        if found != expected:
            raise ConflictError(
                f"The entity is at revision {found}, not at the expected revision "
                f"{expected}; read it again and repeat the change."
            )

    async def _accepted_revision(self, token: OperationToken) -> Revision | None:
        key = token_key(token)
        rows = await self.table.read([key])
        if key not in rows:
            return None
        return msgspec.json.decode(rows[key].value, type=Revision)

    async def _commit(self, record: ChangeRecord) -> bool:
        head_version = self.follower.head_version
        head = Head(record.revision, record.token)
        entity = self.follower.state.entity_after(record)
        checks = [
            Check(HEAD_KEY, head_version),
            Check(change_key(record.revision), ABSENT),
        ]
        # The first put must be a row that no other writer overwrites: if the answer
        # to the commit is lost, reading it back shows whether the commit took effect.
        puts = [
            Put(change_key(record.revision), msgspec.json.encode(record)),
            Put(HEAD_KEY, msgspec.json.encode(head)),
            Put(entity_key(record.change), msgspec.json.encode(entity)),
            Put(token_key(record.token), msgspec.json.encode(record.revision)),
        ]
        transaction = Transaction(
            checks, puts, self._expired_change_keys(record.revision)
        )
        try:
            commit = await commit_with_read_back(self.table, transaction)
        except StoreUncertainError as error:
            raise ConfigurationError(
                "The change may have been accepted; repeat it with the same "
                f"operation token {record.token}.",
                ResultCode.CHANGE_UNKNOWN,
            ) from error
        return commit.committed

    def _expired_change_keys(self, revision: Revision) -> list[RowKey]:
        if revision <= MAX_STORED_CHANGES:
            return []
        return [change_key(Revision(revision - MAX_STORED_CHANGES))]


def entity_revision(state: ConfigurationState, change: Change) -> Revision:
    """Return the revision of the entity that a change modifies, 0 if it is new."""
    match change:
        case PutTemplate():
            record = state.templates.get(change.template.name)
        case ApplyAccount() | ChangeAccount() | RetireAccount():
            record = state.accounts.get(change.account)
        case SetDomain():
            record = state.domains.get(change.domain)
    return record.revision if record else Revision(0)
