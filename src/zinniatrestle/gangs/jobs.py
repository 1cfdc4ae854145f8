"""Accept jobs from clients and pass them to the schedulers."""

import msgspec
import xxhash

from zinniatrestle.clock import Clock
from zinniatrestle.configuration import ConfigurationFollower
from zinniatrestle.configuration.messages import AccountRecord, DomainState
from zinniatrestle.errors import (
    CallerError,
    GangError,
    KeyReusedError,
    NeverFitsError,
    ResultCode,
)
from zinniatrestle.gangs.inventory import Inventory, WorkerCapacity
from zinniatrestle.gangs.job_store import (
    JobReader,
    account_key,
    assignment_key,
    decode_job,
    inbox_put,
    job_key,
)
from zinniatrestle.gangs.messages import (
    ENDED_STATES,
    DomainSummary,
    InboxAction,
    JobRow,
    JobSpec,
)
from zinniatrestle.gangs.placement import BestFitRack
from zinniatrestle.ids import (
    ClientAccountId,
    FailureDomainId,
    JobId,
    RequestKey,
    new_job_id,
)
from zinniatrestle.logs import ComponentLog
from zinniatrestle.store.interfaces import HostList, TableService
from zinniatrestle.store.messages import (
    ABSENT,
    Check,
    HostRole,
    ListedHost,
    Put,
    Transaction,
)
from zinniatrestle.store.read_back import commit_with_read_back

MAX_TASKS = 4096
NO_SUMMARY = DomainSummary(FailureDomainId(""), 0.0)

log = ComponentLog("jobs")


class JobService:
    """Accept, show and cancel jobs; runs on every host."""

    def __init__(
        self,
        table: TableService,
        hosts: HostList,
        follower: ConfigurationFollower,
        clock: Clock,
    ):
        self.table = table
        self.hosts = hosts
        self.follower = follower
        self.clock = clock
        self.reader = JobReader(table)

    async def submit(
        self, account: ClientAccountId, spec: JobSpec, key: RequestKey | None
    ) -> JobRow:
        """Accept a job; idempotent for calls with the same key.

        Raises NeverFitsError if no permitted failure domain could ever run the job, and
        KeyReusedError if the key belongs to a job with another specification.
        """
        check_spec(spec)
        record = self.follower.require().active_account(account)
        domains = self._permitted_domains(record, spec)
        fitting = await self._fitting_domains(spec, domains, record)
        row = JobRow(
            job=_job_id(record, key),
            account=account,
            incarnation=record.incarnation,
            spec=spec,
            domain=await self._least_loaded(fitting, spec),
            submitted=self.clock.wall(),
            queued=self.clock.wall(),
        )
        return await self._insert(row)

    async def status(self, account: ClientAccountId, job: JobId) -> JobRow:
        """Return one of an account's jobs; raises NotFoundError."""
        return await self.reader.find(account, job)

    async def jobs(self, account: ClientAccountId) -> list[JobRow]:
        """Return an account's jobs, newest first."""
        rows = await self.reader.jobs_of(account)
        return sorted(rows, key=lambda row: -row.submitted)

    async def cancel(self, account: ClientAccountId, job: JobId) -> JobRow:
        """Request the cancellation of a job; idempotent."""
        row = await self.reader.find(account, job)
        if row.state in ENDED_STATES:
            return row
        put = inbox_put(row.domain, job, InboxAction.CANCEL)
        await commit_with_read_back(self.table, Transaction(puts=[put]))
        return row

    def _permitted_domains(
        self, record: AccountRecord, spec: JobSpec
    ) -> list[FailureDomainId]:
        plan = self.follower.state.plans[record.account]
        if not plan.jobs:
            raise GangError(
                f"Client account {record.account} may not run jobs.",
                ResultCode.KIND_NOT_PERMITTED,
            )
        wanted = spec.domains or plan.domains
        permitted = [domain for domain in wanted if domain in plan.domains]
        if not permitted:
            raise GangError(
                f"Client account {record.account} may not run jobs in "
                f"{', '.join(wanted)}.",
                ResultCode.KIND_NOT_PERMITTED,
            )
        return permitted

    async def _fitting_domains(
        self, spec: JobSpec, domains: list[FailureDomainId], record: AccountRecord
    ) -> list[FailureDomainId]:
        plan = self.follower.state.plans[record.account]
        wanted = spec.shape.accelerators * spec.tasks
        if plan.quota and wanted > plan.quota:
            raise NeverFitsError(
                f"The gang needs {wanted} accelerators and the account's quota is "
                f"{plan.quota:g}."
            )
        listed = await self.hosts.hosts()
        fitting = [
            domain for domain in domains if fits_empty_domain(spec, domain, listed)
        ]
        # A domain without listed workers may still get some, so it is not ruled out.
        domains_with_workers = {
            host.domain for host in listed if host.role is HostRole.WORKER
        }
        if not fitting:
            fitting = [
                domain for domain in domains if domain not in domains_with_workers
            ]
        if not fitting:
            raise NeverFitsError(
                f"No failure domain among {', '.join(domains)} can hold "
                f"{spec.tasks} tasks of this shape at once."
            )
        return fitting

    async def _least_loaded(
        self, domains: list[FailureDomainId], spec: JobSpec
    ) -> FailureDomainId:
        summaries = await self.reader.summaries(domains)
        state = self.follower.state
        best = domains[0]
        lowest = None
        for domain in domains:
            out = state.domain_state(domain) is DomainState.OUT
            load = (out, _relative_load(summaries.get(domain, NO_SUMMARY), spec))
            if lowest is None or load < lowest:
                lowest = load
                best = domain
        return best

    async def _insert(self, row: JobRow) -> JobRow:
        key = job_key(row.job)
        transaction = Transaction(
            checks=[Check(key, ABSENT)],
            puts=[
                Put(key, msgspec.msgpack.encode(row)),
                Put(assignment_key(row.domain, row.job), b""),
                Put(account_key(row.account, row.job), b""),
                inbox_put(row.domain, row.job, InboxAction.TAKE),
            ],
        )
        commit = await commit_with_read_back(self.table, transaction)
        if commit.committed:
            log.info(
                "Accepted job %s of %s for failure domain %s.",
                row.job,
                row.account,
                row.domain,
            )
            return row
        rows = await self.table.read([key])
        existing = decode_job(rows[key].value)
        if existing.spec != row.spec:
            raise KeyReusedError("The key was used for a different job; use a new one.")
        return existing


def check_spec(spec: JobSpec):
    """Validate a job specification; raises CallerError."""
    if not 1 <= spec.tasks <= MAX_TASKS:
        raise CallerError(f"tasks must be between 1 and {MAX_TASKS}.")
    shape = spec.shape
    if shape.accelerators < 0 or shape.cores < 0 or shape.memory_gb < 0:
        raise CallerError(
            "The accelerators, cores and memory of a task can't be negative."
        )
    if not (shape.accelerators or shape.cores or shape.memory_gb):
        raise CallerError("A task must need accelerators, cores or memory.")
    if not spec.command:
        raise CallerError(
            "command must not be empty; give the command that the tasks run."
        )


def fits_empty_domain(
    spec: JobSpec, domain: FailureDomainId, listed: list[ListedHost]
) -> bool:
    """Return whether a gang fits a failure domain on which nothing else runs."""
    capacities = []
    for host in listed:
        if host.role is HostRole.WORKER and host.domain == domain:
            capacities.append(WorkerCapacity(host))
    policy = BestFitRack()
    return policy.place(Inventory(capacities), spec.tasks, spec.shape, None) is not None


def _relative_load(summary: DomainSummary, spec: JobSpec) -> float:
    """Return the share of a failure domain that is in use or wanted."""
    if spec.shape.accelerators:
        in_use = summary.accelerators - summary.accelerators_free
        return (in_use + summary.accelerators_wanted) / max(1, summary.accelerators)
    in_use = summary.cores - summary.cores_free
    return (in_use + summary.cores_wanted) / max(1.0, summary.cores)


def _job_id(record: AccountRecord, key: RequestKey | None) -> JobId:
    if key is None:
        return new_job_id()
    name = f"{record.account}/{record.incarnation}/{key}"
    return JobId(xxhash.xxh3_128_hexdigest(name.encode()))
