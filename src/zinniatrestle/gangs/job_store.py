"""Storage of jobs as rows of the table service."""

from collections.abc import Iterable

import msgspec

from zinniatrestle.errors import LeaseLostError, NotFoundError
from zinniatrestle.gangs.messages import (
    ENDED_STATES,
    DomainSummary,
    InboxAction,
    InboxEntry,
    JobRow,
)
from zinniatrestle.gangs.state import Gang
from zinniatrestle.ids import (
    ClientAccountId,
    Epoch,
    FailureDomainId,
    JobId,
    RowKey,
)
from zinniatrestle.store.interfaces import TableService
from zinniatrestle.store.messages import ABSENT, Check, Put, Transaction
from zinniatrestle.store.read_back import commit_with_read_back, scan_all

BATCH_ROWS = 100


def job_key(job: JobId) -> RowKey:
    """Return the row key of a job."""
    return RowKey(f"job/{job}")


def assignment_key(domain: FailureDomainId, job: JobId) -> RowKey:
    """Return the key of the row that assigns a job to a failure domain."""
    return RowKey(f"jobof/{domain}/{job}")


def account_key(account: ClientAccountId, job: JobId) -> RowKey:
    """Return the key of the row that lists a job under its account."""
    return RowKey(f"jobby/{account}/{job}")


def inbox_key(domain: FailureDomainId, entry: InboxEntry) -> RowKey:
    """Return the row key of an inbox entry."""
    return RowKey(f"inbox/{domain}/{entry.job}-{entry.action.value}")


def epoch_key(domain: FailureDomainId) -> RowKey:
    """Return the key of the row whose version fences off earlier schedulers."""
    return RowKey(f"gangs/epoch/{domain}")


def summary_key(domain: FailureDomainId) -> RowKey:
    """Return the row key of a failure domain's summary."""
    return RowKey(f"gangs/summary/{domain}")


def decode_job(value: bytes) -> JobRow:
    """Decode the value of a job's row."""
    return msgspec.msgpack.decode(value, type=JobRow)


def inbox_put(domain: FailureDomainId, job: JobId, action: InboxAction) -> Put:
    """Return the write that adds an entry to a failure domain's inbox."""
    entry = InboxEntry(job, action)
    return Put(inbox_key(domain, entry), msgspec.msgpack.encode(entry))


class JobReader:
    """Read-only access to jobs, for hosts that don't schedule them."""

    def __init__(self, table: TableService):
        self.table = table

    async def find(self, account: ClientAccountId, job: JobId) -> JobRow:
        """Return one of an account's jobs; raises NotFoundError."""
        key = job_key(job)
        rows = await self.table.read([key])
        if key in rows:
            row = decode_job(rows[key].value)
            if row.account == account:
                return row
        raise NotFoundError(f"Client account {account} has no job {job}.")

    async def jobs_of(self, account: ClientAccountId) -> list[JobRow]:
        """Return an account's jobs."""
        prefix = account_key(account, JobId(""))
        assigned = await scan_all(self.table, prefix)
        return await self._read(RowKey(row.key[len(prefix) :]) for row in assigned)

    async def summaries(
        self, domains: Iterable[FailureDomainId]
    ) -> dict[FailureDomainId, DomainSummary]:
        """Return the newest summaries of failure domains."""
        rows = await self.table.read([summary_key(domain) for domain in domains])
        found = {}
        for row in rows.values():
            summary = msgspec.msgpack.decode(row.value, type=DomainSummary)
            found[summary.domain] = summary
        return found

    async def _read(self, jobs: Iterable[str]) -> list[JobRow]:
        keys = [job_key(JobId(job)) for job in jobs]
        found = []
        for first in range(0, len(keys), BATCH_ROWS):
            rows = await self.table.read(keys[first : first + BATCH_ROWS])
            found.extend(decode_job(row.value) for row in rows.values())
        return found


class SchedulerJobStore:
    """Write access for the scheduler of one failure domain, fenced by its epoch."""

    def __init__(self, table: TableService, domain: FailureDomainId):
        self.table = table
        self.domain = domain
        self.fence = Check(epoch_key(domain), ABSENT)

    async def take_over(self, epoch: Epoch) -> list[Gang]:
        """Fence off earlier schedulers and return the jobs that have not ended.

        Raises LeaseLostError if another scheduler has a newer epoch or takes over at
        the same time.
        """
        key = epoch_key(self.domain)
        rows = await self.table.read([key])
        row = rows.get(key)
        stored_epoch = (
            msgspec.msgpack.decode(row.value, type=Epoch) if row else Epoch(0)
        )
        if stored_epoch > epoch:
            raise LeaseLostError(f"A newer scheduler serves {self.domain}.")
        version = row.version if row else ABSENT
        put = Put(key, msgspec.msgpack.encode(epoch))
        transaction = Transaction(checks=[Check(key, version)], puts=[put])
        commit = await commit_with_read_back(self.table, transaction)
        if not commit.committed:
            raise LeaseLostError(f"Another scheduler is taking over {self.domain}.")
        self.fence = Check(key, version + 1)
        prefix = assignment_key(self.domain, JobId(""))
        assigned = await scan_all(self.table, prefix)
        return await self.load(JobId(row.key[len(prefix) :]) for row in assigned)

    async def load(self, jobs: Iterable[JobId]) -> list[Gang]:
        """Load the gangs of some jobs."""
        keys = [job_key(job) for job in jobs]
        gangs = []
        for first in range(0, len(keys), BATCH_ROWS):
            rows = await self.table.read(keys[first : first + BATCH_ROWS])
            for row in rows.values():
                gangs.append(Gang(decode_job(row.value), row.version))
        return gangs

    async def save(self, gangs: list[Gang]):
        """Write the rows of gangs in batches; raises LeaseLostError if fenced off."""
        for first in range(0, len(gangs), BATCH_ROWS):
            await self._save_batch(gangs[first : first + BATCH_ROWS])

    async def inbox(self) -> list[InboxEntry]:
        """Return the first entries of the inbox, up to `BATCH_ROWS`."""
        rows = await self.table.scan(f"inbox/{self.domain}/", RowKey(""), BATCH_ROWS)
        return [msgspec.msgpack.decode(row.value, type=InboxEntry) for row in rows]

    async def clear(self, entries: list[InboxEntry]):
        """Delete inbox entries that have been processed."""
        deletes = [inbox_key(self.domain, entry) for entry in entries]
        transaction = Transaction(checks=[self.fence], deletes=deletes)
        commit = await self.table.commit(transaction)
        if not commit.committed:
            raise LeaseLostError(f"A newer scheduler serves {self.domain}.")

    async def reassign(self, gang: Gang, target: FailureDomainId):
        """Reassign a waiting job to another failure domain's scheduler."""
        row = msgspec.structs.replace(gang.row, domain=target)
        job = row.job
        transaction = Transaction(
            checks=[self.fence, Check(job_key(job), gang.version)],
            puts=[
                Put(job_key(job), msgspec.msgpack.encode(row)),
                Put(assignment_key(target, job), b""),
                inbox_put(target, job, InboxAction.TAKE),
            ],
            deletes=[assignment_key(self.domain, job)],
        )
        commit = await commit_with_read_back(self.table, transaction)
        if not commit.committed:
            raise LeaseLostError(f"Another writer changed job {job}.")

    async def summarize(self, summary: DomainSummary):
        """Publish the failure domain's summary."""
        put = Put(summary_key(self.domain), msgspec.msgpack.encode(summary))
        await self.table.commit(Transaction(checks=[self.fence], puts=[put]))

    async def _save_batch(self, gangs: list[Gang]):
        checks = [self.fence]
        puts = []
        deletes = []
        for gang in gangs:
            key = job_key(gang.row.job)
            checks.append(Check(key, gang.version))
            puts.append(Put(key, msgspec.msgpack.encode(gang.row)))
            if gang.row.state in ENDED_STATES:
                deletes.append(assignment_key(self.domain, gang.row.job))
        commit = await commit_with_read_back(
            self.table, Transaction(checks, puts, deletes)
        )
        if not commit.committed:
            raise LeaseLostError(f"Another writer changed job rows of {self.domain}.")
        for gang in gangs:
            gang.version += 1
