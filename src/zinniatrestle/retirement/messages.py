"""Evidence that a client account is retired, and its certificate."""

import hashlib
from enum import Enum

import msgspec

from zinniatrestle.ids import (
    ClientAccountId,
    FailureDomainId,
    HostId,
    Revision,
)
from zinniatrestle.upstreams.messages import MinionAddress


class PartKind(Enum):
    """Kind of a part that may run an account's work."""

    ENTRY_HOST = "entry host"
    MINION = "minion"
    WORKER = "worker"
    JOB = "job"


class Basis(Enum):
    """Basis on which a part is considered closed.

    OWN_REPORT: the part itself reported that it runs nothing. GRACE_PASSED: it is
    unreachable, and the account's offline grace is over. TABLE: the job's row is
    in a final state.
    """

    OWN_REPORT = "own report"
    GRACE_PASSED = "offline grace passed"
    TABLE = "table"


class ClosedPart(msgspec.Struct, frozen=True):
    """A part shown to run no work of the account."""

    kind: PartKind
    name: str
    domain: FailureDomainId
    basis: Basis
    wall: float
    revision: Revision = Revision(0)


class OpenPart(msgspec.Struct, frozen=True):
    """A part that may still run work of the account, and why.

    `since` is the wall time in seconds at which the account was retired.
    """

    kind: PartKind
    name: str
    domain: FailureDomainId
    since: float
    reason: str


class HostEvidence(msgspec.Struct, frozen=True):
    """Evidence that an entry host gives about itself.

    `boot` is unique to one run of the host's process, and `reached` lists the
    minions to which the host has sent requests of the account.
    """

    host: HostId
    domain: FailureDomainId
    boot: str
    revision: Revision
    in_progress: int
    wall: float
    reached: list[MinionAddress] = []


class DomainStatus(msgspec.Struct, frozen=True):
    """State of a failure domain at the time when the certificate was issued."""

    domain: FailureDomainId
    state: str


class Certificate(msgspec.Struct, frozen=True):
    """Certificate that no part runs work of an account's incarnation any more."""

    account: ClientAccountId
    incarnation: Revision
    retired_revision: Revision
    retired_wall: float
    issued_wall: float
    issuer: HostId
    parts: list[ClosedPart]
    domains: list[DomainStatus]


class SealedCertificate(msgspec.Struct, frozen=True):
    """A certificate with the SHA-256 digest of its canonical JSON."""

    certificate: Certificate
    sha256: str


class Proof(msgspec.Struct, frozen=True):
    """Result of a proof: the sealed certificate, or the parts still open."""

    account: ClientAccountId
    sealed: SealedCertificate | None = None
    open: list[OpenPart] = []
    closed: int = 0


def seal(certificate: Certificate) -> SealedCertificate:
    """Return a certificate with its digest."""
    return SealedCertificate(certificate, digest(certificate))


def digest(certificate: Certificate) -> str:
    """Return the SHA-256 of a certificate's canonical JSON."""
    body = msgspec.json.encode(certificate, order="sorted")
    return hashlib.sha256(body).hexdigest()
