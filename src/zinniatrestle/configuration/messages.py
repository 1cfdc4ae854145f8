"""Records of the configuration and the changes that operators submit."""

from enum import Enum

import msgspec

from zinniatrestle.ids import (
    ClientAccountId,
    FailureDomainId,
    OperationToken,
    Revision,
    ServiceName,
    TemplateName,
)

ParameterValue = int | float | str | list[str]


class Cell(Enum):
    """Groups of adjacent accelerators that an account can be guaranteed."""

    ACCELERATOR = "accelerator"
    PAIR = "pair"
    HALF = "half"
    WORKER = "worker"
    RACK = "rack"


class Semantics(Enum):
    """Whether a request may be executed more than once."""

    REPEATABLE = "repeatable"
    AT_MOST_ONCE = "at-most-once"


class AccountState(Enum):
    """Lifecycle state of a client account."""

    ACTIVE = "active"
    RETIRED = "retired"


class DomainState(Enum):
    """Whether a failure domain is in service."""

    IN = "in"
    OUT = "out"


class Guarantee(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Number of cells reserved for an account in one failure domain."""

    domain: FailureDomainId
    cell: Cell
    count: int


class Objective(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Service-level objective: `target` is the share of good answers (0 to 1).

    An answer is good if it succeeds within `latency_ms`.
    """

    latency_ms: float
    target: float


class RequestKind(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A kind of request that an account may send to a service."""

    service: ServiceName
    kind: str
    semantics: Semantics
    quick: bool = False
    objective: Objective | None = None


class AccountPlan(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Permissions and limits of a client account, built from its template.

    `quota` is the maximum number of accelerators that the account's gangs hold at
    the same time (0: unlimited). `offline_grace_seconds` is how long a host that
    can't confirm its configuration goes on serving the account.
    """

    domains: list[FailureDomainId]
    kinds: list[RequestKind] = []
    guarantees: list[Guarantee] = []
    slot_share: int = 1
    queue_limit: int = 64
    outcomes_limit: int = 100_000
    jobs: bool = True
    quota: float = 0.0
    offline_grace_seconds: float = 30.0


class Parameter(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Parameter of a template; required of each account if it has no default."""

    about: str
    default: ParameterValue | None = None


class Template(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Account plan with placeholders of the form `$name` for parameters."""

    name: TemplateName
    plan: dict
    parameters: dict[str, Parameter] = {}


class PutTemplate(msgspec.Struct, frozen=True, tag="put-template"):
    """Create or replace a template."""

    template: Template


class ApplyAccount(msgspec.Struct, frozen=True, tag="apply-account"):
    """Create a client account; the token itself is never stored, only its digest."""

    account: ClientAccountId
    template: TemplateName
    token_digest: str
    parameters: dict[str, ParameterValue] = {}


class ChangeAccount(msgspec.Struct, frozen=True, tag="change-account"):
    """Replace the given parameters of a client account and keep the others."""

    account: ClientAccountId
    parameters: dict[str, ParameterValue]


class RetireAccount(msgspec.Struct, frozen=True, tag="retire-account"):
    """Retire a client account; its work is refused from then on."""

    account: ClientAccountId


class SetDomain(msgspec.Struct, frozen=True, tag="set-domain"):
    """Take a failure domain out of service or bring it back."""

    domain: FailureDomainId
    state: DomainState
    reason: str = ""


Change = PutTemplate | ApplyAccount | ChangeAccount | RetireAccount | SetDomain


class ChangeRecord(msgspec.Struct, frozen=True):
    """A committed change, with the revision it made and its wall time in seconds."""

    revision: Revision
    token: OperationToken
    wall: float
    change: Change


class TemplateRecord(msgspec.Struct, frozen=True, tag="template"):
    """Current version of a template.

    `graces` holds, for each account, the longest offline grace in seconds under any
    earlier version of the template: a partitioned host may still apply it.
    """

    template: Template
    revision: Revision
    graces: dict[ClientAccountId, float] = {}


class AccountRecord(msgspec.Struct, frozen=True, tag="account"):
    """Current version of a client account.

    `incarnation` is the revision that created the account; it differs if an account
    of the same name is created again. `longest_grace` is the longest offline grace
    in seconds that the account has had before this version.
    """

    account: ClientAccountId
    template: TemplateName
    parameters: dict[str, ParameterValue]
    token_digest: str
    state: AccountState
    incarnation: Revision
    revision: Revision
    retired_wall: float = 0.0
    longest_grace: float = 0.0


class DomainRecord(msgspec.Struct, frozen=True, tag="domain"):
    """Current state of a failure domain, and the wall time when it was set."""

    domain: FailureDomainId
    state: DomainState
    revision: Revision
    wall: float
    reason: str = ""


EntityRecord = TemplateRecord | AccountRecord | DomainRecord


class Head(msgspec.Struct, frozen=True):
    """The newest committed revision and the operation token that made it."""

    revision: Revision
    token: OperationToken


class Snapshot(msgspec.Struct, frozen=True):
    """All entities of the configuration at one revision."""

    revision: Revision
    entities: list[EntityRecord]
