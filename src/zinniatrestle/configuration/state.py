"""In-memory configuration of one host."""

from typing import assert_never

import msgspec

from zinniatrestle.configuration.messages import (
    AccountPlan,
    AccountRecord,
    AccountState,
    ApplyAccount,
    ChangeAccount,
    ChangeRecord,
    DomainRecord,
    DomainState,
    EntityRecord,
    PutTemplate,
    RetireAccount,
    SetDomain,
    Snapshot,
    TemplateRecord,
)
from zinniatrestle.configuration.templates import build_plan, check_template
from zinniatrestle.errors import (
    ConfigurationError,
    ConflictError,
    NotFoundError,
    ResultCode,
)
from zinniatrestle.ids import ClientAccountId, FailureDomainId, Revision, TemplateName


class ConfigurationState:
    """Templates, client accounts and failure domains at one revision.

    The revision never decreases: older changes and snapshots are ignored.
    """

    def __init__(self):
        self.revision = Revision(0)
        self.templates: dict[TemplateName, TemplateRecord] = {}
        self.accounts: dict[ClientAccountId, AccountRecord] = {}
        self.domains: dict[FailureDomainId, DomainRecord] = {}
        self.plans: dict[ClientAccountId, AccountPlan] = {}
        self.account_by_digest: dict[str, ClientAccountId] = {}

    def apply(self, record: ChangeRecord) -> bool:
        """Apply a change if it is the next revision; return whether it was applied."""
        if record.revision != self.revision + 1:
            return False
        self._store(self.entity_after(record))
        self.revision = record.revision
        return True

    def load(self, snapshot: Snapshot) -> bool:
        """Load a snapshot if it is newer; return whether it was loaded."""
        if snapshot.revision <= self.revision:
            return False
        for entity in snapshot.entities:
            self._store(entity)
        self.revision = snapshot.revision
        return True

    def snapshot(self) -> Snapshot:
        """Return all entities at the current revision."""
        entities: list[EntityRecord] = list(self.templates.values())
        entities.extend(self.accounts.values())
        entities.extend(self.domains.values())
        return Snapshot(self.revision, entities)

    def copy(self) -> "ConfigurationState":
        """Return an independent copy."""
        other = ConfigurationState()
        other.load(self.snapshot())
        return other

    def entity_after(self, record: ChangeRecord) -> EntityRecord:
        """Return the entity as the change leaves it.

        Raises TemplateError, NotFoundError or ConfigurationError if the change is
        invalid.
        """
        change = record.change
        match change:
            case PutTemplate():
                check_template(change.template)
                graces = self._longest_graces(change.template.name)
                return TemplateRecord(change.template, record.revision, graces)
            case ApplyAccount():
                return self._created_account(change, record)
            case ChangeAccount():
                return self._changed_account(change, record)
            case RetireAccount():
                account = self.active_account(change.account)
                return msgspec.structs.replace(
                    account,
                    state=AccountState.RETIRED,
                    revision=record.revision,
                    retired_wall=record.wall,
                )
            case SetDomain():
                return DomainRecord(
                    change.domain,
                    change.state,
                    record.revision,
                    record.wall,
                    change.reason,
                )
            case _:
                assert_never(change)

    def active_account(self, account: ClientAccountId) -> AccountRecord:
        """Return an account's record; raises NotFoundError unless it is active."""
        record = self.accounts.get(account)
        if record is None or record.state is not AccountState.ACTIVE:
            raise NotFoundError(f"No active client account is named {account}.")
        return record

    def domain_state(self, domain: FailureDomainId) -> DomainState:
        """Return the state of a failure domain; IN unless a change has set it."""
        record = self.domains.get(domain)
        return record.state if record else DomainState.IN

    def longest_grace(self, account: ClientAccountId) -> float:
        """Return the longest offline grace in seconds that any host may still apply.

        A partitioned host may hold an older revision with a longer grace.
        """
        record = self.accounts[account]
        template = self.templates[record.template]
        return max(
            self.plans[account].offline_grace_seconds,
            record.longest_grace,
            template.graces.get(account, 0.0),
        )

    def _longest_graces(self, name: TemplateName) -> dict[ClientAccountId, float]:
        graces = {}
        for account, record in self.accounts.items():
            if record.template == name:
                graces[account] = self.longest_grace(account)
        return graces

    def _created_account(
        self, change: ApplyAccount, record: ChangeRecord
    ) -> AccountRecord:
        old = self.accounts.get(change.account)
        if old is not None and old.state is AccountState.ACTIVE:
            raise ConflictError(
                f"Client account {change.account} already exists; change it instead."
            )
        account_with_digest = self.account_by_digest.get(change.token_digest)
        if account_with_digest is not None:
            raise ConfigurationError(
                "The token is already in use by an account; generate another one.",
                ResultCode.IN_USE,
            )
        applied = AccountRecord(
            account=change.account,
            template=change.template,
            parameters=change.parameters,
            token_digest=change.token_digest,
            state=AccountState.ACTIVE,
            incarnation=record.revision,
            revision=record.revision,
            longest_grace=self.longest_grace(change.account) if old else 0.0,
        )
        self._build_plan(applied)
        return applied

    def _changed_account(
        self, change: ChangeAccount, record: ChangeRecord
    ) -> AccountRecord:
        old = self.active_account(change.account)
        changed = msgspec.structs.replace(
            old,
            parameters={**old.parameters, **change.parameters},
            revision=record.revision,
            longest_grace=self.longest_grace(change.account),
        )
        self._build_plan(changed)
        return changed

    def _build_plan(self, account: AccountRecord) -> AccountPlan:
        template = self.templates.get(account.template)
        if template is None:
            raise NotFoundError(
                f"Template {account.template} does not exist; create it first."
            )
        return build_plan(template.template, account.parameters)

    def _store(self, entity: EntityRecord):
        match entity:
            case TemplateRecord():
                self._store_template(entity)
            case AccountRecord():
                self._store_account(entity)
            case DomainRecord():
                self.domains[entity.domain] = entity
            case _:
                assert_never(entity)

    def _store_template(self, entity: TemplateRecord):
        self.templates[entity.template.name] = entity
        for account in self.accounts.values():
            if account.template != entity.template.name:
                continue
            self.plans[account.account] = self._build_plan(account)

    def _store_account(self, entity: AccountRecord):
        old = self.accounts.get(entity.account)
        if old is not None:
            self.account_by_digest.pop(old.token_digest, None)
        self.accounts[entity.account] = entity
        self.account_by_digest[entity.token_digest] = entity.account
        self.plans[entity.account] = self._build_plan(entity)
