"""Templates, client accounts and the changes that operators make to them."""

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
    """Shapes of adjacent accelerators that can be guaranteed."""

    ACCELERATOR = "accelerator"
    PAIR = "pair"
    HALF = "half"
    WORKER = "worker"
    RACK = "rack"


class Semantics(Enum):
    """Whether a request may be sent more than once."""

    REPEATABLE = "repeatable"
    AT_MOST_ONCE = "at-most-once"


class AccountState(Enum):
    """States of a client account."""

    ACTIVE = "active"
    RETIRED = "retired"


class DomainState(Enum):
    """States of a failure domain."""

    IN = "in"
    OUT = "out"


class Guarantee(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A number of cells that an account can always have in one failure domain."""

    domain: FailureDomainId
    cell: Cell
    count: int


class Objective(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The share of answers that must be true and within a latency."""

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
    """What a client account may do, once its parameters are filled in.

    `quota` bounds what its gangs hold at once, in accelerators (0: no bound).
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
    """A template's parameter; without a default each account must give it."""

    about: str
    default: ParameterValue | None = None


class Template(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A plan with gaps that parameters fill; a gap is written `$name`."""

    name: TemplateName
    plan: dict
    parameters: dict[str, Parameter] = {}


class PutTemplate(msgspec.Struct, frozen=True, tag="put-template"):
    """Create or replace a template."""

    template: Template


class ApplyAccount(msgspec.Struct, frozen=True, tag="apply-account"):
    """Create a client account; only the digest of its token is kept."""

    account: ClientAccountId
    template: TemplateName
    token_digest: str
    parameters: dict[str, ParameterValue] = {}


class ChangeAccount(msgspec.Struct, frozen=True, tag="change-account"):
    """Change parameters of a client account."""

    account: ClientAccountId
    parameters: dict[str, ParameterValue]


class RetireAccount(msgspec.Struct, frozen=True, tag="retire-account"):
    """End a client account for good."""

    account: ClientAccountId


class SetDomain(msgspec.Struct, frozen=True, tag="set-domain"):
    """Take a failure domain out or bring it back in."""

    domain: FailureDomainId
    state: DomainState
    reason: str = ""


Change = PutTemplate | ApplyAccount | ChangeAccount | RetireAccount | SetDomain


class ChangeRecord(msgspec.Struct, frozen=True):
    """An accepted change and the revision it made."""

    revision: Revision
    token: OperationToken
    wall: float
    change: Change


class TemplateRecord(msgspec.Struct, frozen=True, tag="template"):
    """A template as it is in force.

    `graces` keeps the longest offline grace, in seconds, that each of its accounts
    had under an earlier version: a host that was cut off may still go by it.
    """

    template: Template
    revision: Revision
    graces: dict[ClientAccountId, float] = {}


class AccountRecord(msgspec.Struct, frozen=True, tag="account"):
    """A client account as it is in force; `incarnation` tells re-creations apart."""

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
    """A failure domain as it is in force."""

    domain: FailureDomainId
    state: DomainState
    revision: Revision
    wall: float
    reason: str = ""


EntityRecord = TemplateRecord | AccountRecord | DomainRecord


class Head(msgspec.Struct, frozen=True):
    """The newest accepted revision."""

    revision: Revision
    token: OperationToken


class Snapshot(msgspec.Struct, frozen=True):
    """The whole configuration at one revision."""

    revision: Revision
    entities: list[EntityRecord]
