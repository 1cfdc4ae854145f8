"""Evidence that a client account is gone, and the certificate of it."""

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
    """Parts of the system that may run an account's work."""

    ENTRY_HOST = "entry host"
    MINION = "minion"
    WORKER = "worker"
    JOB = "job"


class Basis(Enum):
    """What a closed part rests on."""

    OWN_REPORT = "own report"
    GRACE_PASSED = "offline grace passed"
    TABLE = "table"


class ClosedPart(msgspec.Struct, frozen=True):
    """A part that is shown to run nothing of the account."""

    kind: PartKind
    name: str
    domain: FailureDomainId
    basis: Basis
    wall: float
    revision: Revision = Revision(0)


class OpenPart(msgspec.Struct, frozen=True):
    """A part that can't be shown to run nothing of the account."""

    kind: PartKind
    name: str
    domain: FailureDomainId
    since: float
    reason: str


class HostEvidence(msgspec.Struct, frozen=True):
    """An entry host's own word; `boot` tells its restarts apart."""

    host: HostId
    domain: FailureDomainId
    boot: str
    revision: Revision
    in_progress: int
    wall: float
    reached: list[MinionAddress] = []


class DomainStatus(msgspec.Struct, frozen=True):
    """A failure domain as it was when the certificate was issued."""

    domain: FailureDomainId
    state: str


class Certificate(msgspec.Struct, frozen=True):
    """The proof that one life of a client account has ended everywhere."""

    account: ClientAccountId
    incarnation: Revision
    retired_revision: Revision
    retired_wall: float
    issued_wall: float
    issuer: HostId
    parts: list[ClosedPart]
    domains: list[DomainStatus]


class SealedCertificate(msgspec.Struct, frozen=True):
    """A certificate with the digest of its canonical encoding."""

    certificate: Certificate
    sha256: str


class Proof(msgspec.Struct, frozen=True):
    """Either the certificate, or what is open."""

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
