"""Messages of the operators' HTTP API."""

import msgspec

from zinniatrestle.burn import BurnReport
from zinniatrestle.configuration.messages import (
    AccountRecord,
    Change,
    DomainRecord,
    TemplateRecord,
)
from zinniatrestle.gangs.messages import DomainSummary
from zinniatrestle.ids import (
    ClientAccountId,
    FailureDomainId,
    HostId,
    MinionId,
    OperationToken,
    Revision,
)


class ChangeCall(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A configuration change, with the token that makes its submission idempotent."""

    token: OperationToken
    change: Change
    expected: Revision | None = None


class ChangeAnswer(msgspec.Struct, frozen=True):
    """The revision that a change resulted in."""

    revision: Revision


class AccountView(msgspec.Struct, frozen=True):
    """A client account as operators see it, without the digest of its token."""

    account: ClientAccountId
    template: str
    parameters: dict
    state: str
    incarnation: Revision
    revision: Revision

    @classmethod
    def of(cls, record: AccountRecord) -> "AccountView":
        """Return the view of a record."""
        return cls(
            record.account,
            record.template,
            record.parameters,
            record.state.value,
            record.incarnation,
            record.revision,
        )


class HostStatus(msgspec.Struct, frozen=True):
    """An entry host and the configuration revision in force on it."""

    host: HostId
    domain: FailureDomainId
    standing: str
    revision: Revision


class StatusView(msgspec.Struct, frozen=True):
    """The newest accepted revision and the revision in force on each host."""

    accepted: Revision
    confirmed_age_seconds: float
    hosts: list[HostStatus]
    everywhere: bool


class MinionView(msgspec.Struct, frozen=True):
    """A minion as this host sees it."""

    minion: MinionId
    service: str
    state: str
    in_use: int
    share: int


class RefusalView(msgspec.Struct, frozen=True):
    """A kind of call that the host currently refuses, and why."""

    what: str
    reason: str
    code: int


class HostView(msgspec.Struct, frozen=True):
    """One host's view of its minions, with what it refuses and its metrics."""

    host: HostId
    state: str
    minions: list[MinionView]
    refusals: list[RefusalView]
    metrics: dict[str, float]


class ReportView(msgspec.Struct, frozen=True):
    """The burn report, and a summary of the jobs of each failure domain."""

    burn: BurnReport
    domains: list[DomainSummary]


class ConfigurationView(msgspec.Struct, frozen=True):
    """The configuration in force on the host that was asked."""

    revision: Revision
    templates: list[TemplateRecord]
    accounts: list[AccountView]
    domains: list[DomainRecord]
