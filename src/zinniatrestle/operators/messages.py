"""What operators send and are shown."""

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
    """A change with the token that makes repeats harmless."""

    token: OperationToken
    change: Change
    expected: Revision | None = None


class ChangeAnswer(msgspec.Struct, frozen=True):
    """The revision that a change made."""

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
    """A host and the revision that it has in force."""

    host: HostId
    domain: FailureDomainId
    standing: str
    revision: Revision


class StatusView(msgspec.Struct, frozen=True):
    """The newest accepted revision and where it is in force."""

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
    """What this host refuses now, and why."""

    what: str
    reason: str
    code: int


class HostView(msgspec.Struct, frozen=True):
    """What one host knows and refuses."""

    host: HostId
    state: str
    minions: list[MinionView]
    refusals: list[RefusalView]
    metrics: dict[str, float]


class ReportView(msgspec.Struct, frozen=True):
    """The burn report with what users measure beside it."""

    burn: BurnReport
    domains: list[DomainSummary]


class ConfigurationView(msgspec.Struct, frozen=True):
    """The configuration in force on the host that was asked."""

    revision: Revision
    templates: list[TemplateRecord]
    accounts: list[AccountView]
    domains: list[DomainRecord]
