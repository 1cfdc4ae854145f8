"""Prove that a retired client account has no work running anywhere."""

from zinniatrestle.retirement.certificate import RetirementProver
from zinniatrestle.retirement.evidence import EntryHostDirectory, EvidenceCollector
from zinniatrestle.retirement.messages import HostEvidence, Proof

__all__ = [
    "EntryHostDirectory",
    "EvidenceCollector",
    "HostEvidence",
    "Proof",
    "RetirementProver",
]
