"""Collect evidence on whether any part of the system runs an account's work."""

import asyncio
from abc import ABC, abstractmethod

from zinniatrestle.clock import Clock
from zinniatrestle.errors import PeerError, RequestError, WorkerError
from zinniatrestle.gangs.job_store import JobReader
from zinniatrestle.gangs.messages import ENDED_STATES
from zinniatrestle.ids import (
    ClientAccountId,
    FailureDomainId,
    HostId,
    MinionId,
    Revision,
    ServiceName,
    WorkerId,
)
from zinniatrestle.retirement.messages import (
    Basis,
    ClosedPart,
    HostEvidence,
    OpenPart,
    PartKind,
)
from zinniatrestle.retirement.state import Findings, RetiredIncarnation
from zinniatrestle.store import Platform
from zinniatrestle.store.messages import HostRole, ListedHost
from zinniatrestle.upstreams import UpstreamTransport
from zinniatrestle.upstreams.messages import MinionAddress

QUERY_TIMEOUT_SECONDS = 2.0


class EntryHostDirectory(ABC):
    """Access to all entry hosts, including this one."""

    @abstractmethod
    def host_domains(self) -> dict[HostId, FailureDomainId]:
        """Return every configured entry host and its failure domain."""

    @abstractmethod
    async def evidence(
        self, host: HostId, account: ClientAccountId, incarnation: Revision
    ) -> HostEvidence:
        """Return a host's own evidence; raises PeerError if the host is unreachable."""


class EvidenceCollector:
    """Collect the evidence on a retired incarnation of an account."""

    def __init__(
        self,
        hosts: EntryHostDirectory,
        platform: Platform,
        transport: UpstreamTransport,
        clock: Clock,
    ):
        self.hosts = hosts
        self.platform = platform
        self.transport = transport
        self.clock = clock

    async def collect(self, retired: RetiredIncarnation) -> Findings:
        """Query the hosts, then minions, workers and jobs, then the hosts again.

        If every host reports the retirement's revision in both rounds without a
        restart, all of them had applied it by the end of the first round, because
        a host's revision never decreases between restarts. No new work can start
        from then on, so what minions and workers report after the first round
        remains true.
        """
        findings = Findings()
        first = await self._query_hosts(retired)
        listed = await self.platform.hosts.hosts()
        await asyncio.gather(
            self._collect_minions(retired, first, listed, findings),
            self._collect_workers(retired, listed, findings),
            self._collect_jobs(retired, findings),
        )
        second = await self._query_hosts(retired)
        self._classify_hosts(retired, first, second, findings)
        return findings

    async def _query_hosts(
        self, retired: RetiredIncarnation
    ) -> dict[HostId, HostEvidence | None]:
        names = list(self.hosts.host_domains())
        answers = await asyncio.gather(*[self._query_host(n, retired) for n in names])
        return dict(zip(names, answers, strict=True))

    async def _query_host(
        self, name: HostId, retired: RetiredIncarnation
    ) -> HostEvidence | None:
        call = self.hosts.evidence(name, retired.account, retired.incarnation)
        try:
            async with asyncio.timeout(QUERY_TIMEOUT_SECONDS):
                return await call
        except (PeerError, TimeoutError):
            return None

    def _classify_hosts(
        self,
        retired: RetiredIncarnation,
        first: dict[HostId, HostEvidence | None],
        second: dict[HostId, HostEvidence | None],
        findings: Findings,
    ):
        for name, domain in self.hosts.host_domains().items():
            before = first.get(name)
            after = second.get(name)
            reason = _host_open_reason(retired, before, after)
            if reason is None:
                findings.closed.append(
                    ClosedPart(
                        PartKind.ENTRY_HOST,
                        name,
                        domain,
                        Basis.OWN_REPORT,
                        after.wall,
                        after.revision,
                    )
                )
                continue
            unreachable = before is None or after is None
            self._record_unproven(
                retired,
                findings,
                PartKind.ENTRY_HOST,
                name,
                domain,
                reason,
                unreachable,
            )

    async def _collect_minions(
        self,
        retired: RetiredIncarnation,
        evidence: dict[HostId, HostEvidence | None],
        listed: list[ListedHost],
        findings: Findings,
    ):
        minions: dict[MinionId, MinionAddress] = {}
        for answer in evidence.values():
            for address in answer.reached if answer else []:
                minions[address.minion] = address
        for host in listed:
            if host.role is HostRole.MINION:
                name = MinionId(host.name)
                minions[name] = MinionAddress(
                    name, ServiceName(host.service), host.domain, host.address
                )
        queries = [self._query_minion(m, retired, findings) for m in minions.values()]
        await asyncio.gather(*queries)

    async def _query_minion(
        self, minion: MinionAddress, retired: RetiredIncarnation, findings: Findings
    ):
        """Query a minion; an unreachable one stays open even after the grace period."""
        call = self.transport.running(minion, retired.account)
        reason = "unreachable"
        try:
            async with asyncio.timeout(QUERY_TIMEOUT_SECONDS):
                running = await call
        except (RequestError, TimeoutError):
            running = None
        if running == 0:
            part = ClosedPart(
                PartKind.MINION,
                minion.minion,
                minion.domain,
                Basis.OWN_REPORT,
                self.clock.wall(),
            )
            findings.closed.append(part)
            return
        if running:
            reason = f"running {running} attempts of the account"
        self._record_open(
            retired, findings, PartKind.MINION, minion.minion, minion.domain, reason
        )

    async def _collect_workers(
        self, retired: RetiredIncarnation, listed: list[ListedHost], findings: Findings
    ):
        domains = {}
        for host in listed:
            if host.role is HostRole.WORKER:
                domains[WorkerId(host.name)] = host.domain
        for row in await self._job_rows(retired):
            for slot in row.placement:
                domains.setdefault(slot.worker, row.domain)
        queries = []
        for worker, domain in domains.items():
            queries.append(self._query_worker(worker, domain, retired, findings))
        await asyncio.gather(*queries)

    async def _query_worker(
        self,
        worker: WorkerId,
        domain: FailureDomainId,
        retired: RetiredIncarnation,
        findings: Findings,
    ):
        call = self.platform.workers.report(worker)
        try:
            async with asyncio.timeout(QUERY_TIMEOUT_SECONDS):
                report = await call
        except (WorkerError, TimeoutError):
            self._record_unproven(
                retired,
                findings,
                PartKind.WORKER,
                worker,
                domain,
                "unreachable",
                unreachable=True,
            )
            return
        lease_count = 0
        for lease in report.leases:
            incarnation = (lease.account, lease.incarnation)
            lease_count += incarnation == (retired.account, retired.incarnation)
        if lease_count:
            reason = f"holding {lease_count} leases of the account"
            self._record_open(
                retired, findings, PartKind.WORKER, worker, domain, reason
            )
            return
        part = ClosedPart(
            PartKind.WORKER, worker, domain, Basis.OWN_REPORT, self.clock.wall()
        )
        findings.closed.append(part)

    async def _collect_jobs(self, retired: RetiredIncarnation, findings: Findings):
        for row in await self._job_rows(retired):
            if row.state in ENDED_STATES:
                part = ClosedPart(
                    PartKind.JOB, row.job, row.domain, Basis.TABLE, self.clock.wall()
                )
                findings.closed.append(part)
                continue
            self._record_unproven(
                retired,
                findings,
                PartKind.JOB,
                row.job,
                row.domain,
                f"the job row is in state {row.state.value}",
                unreachable=True,
            )

    async def _job_rows(self, retired: RetiredIncarnation) -> list:
        rows = await JobReader(self.platform.table).jobs_of(retired.account)
        return [row for row in rows if row.incarnation == retired.incarnation]

    def _record_unproven(
        self,
        retired: RetiredIncarnation,
        findings: Findings,
        kind: PartKind,
        name: str,
        domain: FailureDomainId,
        reason: str,
        unreachable: bool,
    ):
        """Record a part as closed if it is unreachable and the grace period is over."""
        now = self.clock.wall()
        if unreachable and now > retired.grace_end_wall:
            part = ClosedPart(kind, name, domain, Basis.GRACE_PASSED, now)
            findings.closed.append(part)
            return
        self._record_open(retired, findings, kind, name, domain, reason)

    def _record_open(
        self,
        retired: RetiredIncarnation,
        findings: Findings,
        kind: PartKind,
        name: str,
        domain: FailureDomainId,
        reason: str,
    ):
        findings.open.append(OpenPart(kind, name, domain, retired.wall, reason))


def _host_open_reason(
    retired: RetiredIncarnation, before: HostEvidence | None, after: HostEvidence | None
) -> str | None:
    """Return why a host's evidence leaves it open, or None if it is closed."""
    if before is None or after is None:
        return "unreachable"
    if before.boot != after.boot:
        return "restarted between the two queries"
    if min(before.revision, after.revision) < retired.revision:
        return f"has applied only revision {before.revision}"
    if before.in_progress or after.in_progress:
        return (
            f"{max(before.in_progress, after.in_progress)} requests or job starts "
            "in progress"
        )
    return None
