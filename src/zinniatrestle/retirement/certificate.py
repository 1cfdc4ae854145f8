"""Issue the certificate of a client account's retirement, exactly once."""

import msgspec

from zinniatrestle.clock import Clock
from zinniatrestle.configuration import ConfigurationFollower
from zinniatrestle.configuration.messages import AccountRecord, AccountState
from zinniatrestle.errors import (
    NotFoundError,
    NotProvenError,
    ResultCode,
    StoreUncertainError,
)
from zinniatrestle.ids import ClientAccountId, HostId
from zinniatrestle.logs import ComponentLog
from zinniatrestle.retirement.evidence import EvidenceCollector
from zinniatrestle.retirement.messages import (
    Certificate,
    DomainStatus,
    Proof,
    SealedCertificate,
    seal,
)
from zinniatrestle.retirement.state import Findings, RetiredIncarnation
from zinniatrestle.store.interfaces import ObjectStore

# Allowance for clock skew between hosts, added to the end of the grace period.
CLOCK_SKEW_SECONDS = 1.0

log = ComponentLog("retirement")


class RetirementProver:
    """Issue retirement certificates, or report the parts that are still open."""

    def __init__(
        self,
        host: HostId,
        follower: ConfigurationFollower,
        collector: EvidenceCollector,
        objects: ObjectStore,
        clock: Clock,
    ):
        self.host = host
        self.follower = follower
        self.collector = collector
        self.objects = objects
        self.clock = clock

    async def prove(self, account: ClientAccountId) -> Proof:
        """Return the certificate, issued now or earlier, or the open parts.

        Raises NotFoundError for an unknown account, NotProvenError with NOT_RETIRED
        for an account that is not retired, and NotProvenError if the certificate
        could not be stored.
        """
        await self.follower.catch_up()
        record = self.follower.state.accounts.get(account)
        if record is None:
            raise NotFoundError(
                f"Client account {account} does not exist and never has."
            )
        if record.state is not AccountState.RETIRED:
            raise NotProvenError(
                f"Client account {account} is active; retire it first.",
                ResultCode.NOT_RETIRED,
            )
        stored = await self._stored_certificate(record)
        if stored is not None:
            return Proof(account, stored, closed=len(stored.certificate.parts))
        findings = await self.collector.collect(self._retired_incarnation(record))
        if findings.open:
            return Proof(account, None, findings.open, len(findings.closed))
        sealed = await self._issue_certificate(record, findings)
        return Proof(account, sealed, closed=len(sealed.certificate.parts))

    def _retired_incarnation(self, record: AccountRecord) -> RetiredIncarnation:
        grace = self.follower.state.longest_grace(record.account)
        return RetiredIncarnation(
            record.account,
            record.incarnation,
            record.revision,
            record.retired_wall,
            record.retired_wall + grace + CLOCK_SKEW_SECONDS,
        )

    async def _issue_certificate(
        self, record: AccountRecord, findings: Findings
    ) -> SealedCertificate:
        domains = []
        for domain in sorted(self.follower.state.domains):
            state = self.follower.state.domain_state(domain)
            domains.append(DomainStatus(domain, state.value))
        certificate = Certificate(
            account=record.account,
            incarnation=record.incarnation,
            retired_revision=record.revision,
            retired_wall=record.retired_wall,
            issued_wall=self.clock.wall(),
            issuer=self.host,
            parts=findings.closed,
            domains=domains,
        )
        sealed = seal(certificate)
        body = msgspec.json.encode(sealed)
        try:
            written = await self.objects.put_if_absent(certificate_name(record), body)
        except StoreUncertainError:
            written = False
        if written:
            log.info("Issued the retirement certificate of %s.", record.account)
            return sealed
        # Another host stored one first, or the answer to the write was lost. The
        # stored certificate is the valid one in both cases.
        stored = await self._stored_certificate(record)
        if stored is None:
            raise NotProvenError("The certificate could not be stored; try again.")
        return stored

    async def _stored_certificate(
        self, record: AccountRecord
    ) -> SealedCertificate | None:
        body = await self.objects.get(certificate_name(record))
        if body is None:
            return None
        return msgspec.json.decode(body, type=SealedCertificate)


def certificate_name(record: AccountRecord) -> str:
    """Return the object name of the certificate of an account's incarnation."""
    return f"certificates/{record.account}/{record.incarnation}.json"
