"""Write the progress of jobs to the store, many jobs in one transaction."""

import asyncio
from collections.abc import Iterable

from zinniatrestle.clock import boot_time, monotonic
from zinniatrestle.deployment import StoreLimits
from zinniatrestle.errors import (
    LeaseLostError,
    StoreUnavailableError,
    StoreUncertainError,
)
from zinniatrestle.events import Event, EventLog
from zinniatrestle.ids import JobId, RowVersion
from zinniatrestle.jobs.intake import BASE64_FACTOR
from zinniatrestle.jobs.messages import (
    CANCELLATIONS,
    PROGRESS,
    SUBMISSIONS,
    JobState,
    decode_progress,
    encode_progress,
    row_name,
)
from zinniatrestle.rows import Expect, RowStore, TransactionResult, Write
from zinniatrestle.rows.retries import transact_with_retries
from zinniatrestle.scheduling.leadership import FENCE_ROW, FENCES, Leadership
from zinniatrestle.scheduling.state import Job

# The store accepts 100 entries in a transaction, and a job needs up to 4.
MAX_JOBS_PER_TRANSACTION = 24
# The store accepts 1 MB in a transaction, a third of which is taken by the encoding.
MAX_TRANSACTION_BYTES = 500_000
# A write is retried for this long before the lease is checked again.
WRITE_TIMEOUT_SECONDS = 2.0

# The jobs of a request whose changes are not stored yet, and its future.
Waiter = tuple[set[JobId], asyncio.Future]


class ProgressWriter:
    """Store the progress of jobs before it takes effect.

    No run starts, and no end of a run is acknowledged, before `save` returns.
    """

    def __init__(
        self,
        store: RowStore,
        leadership: Leadership,
        events: EventLog,
        limits: StoreLimits,
    ):
        self.store = store
        self.limits = limits
        self.leadership = leadership
        self.events = events
        self.dirty: dict[JobId, Job] = {}
        # Jobs of the write that is under way.
        self.writing: dict[JobId, Job] = {}
        self.waiters: list[Waiter] = []
        self.dirty_added = asyncio.Event()
        # Jobs that turned out to have ended in the store when a write did not apply.
        self.ended: list[Job] = []
        self.writes = 0

    def is_saving(self, job: JobId) -> bool:
        """Return whether changes of a job are not stored yet."""
        return job in self.dirty or job in self.writing

    async def save(self, jobs: Iterable[Job]):
        """Store the current state of jobs and wait for it; raises LeaseLostError."""
        await self.request(jobs)

    def request(self, jobs: Iterable[Job]) -> asyncio.Future:
        """Request to store the current state of jobs, and return a future of it.

        The future fails with LeaseLostError if the lease is lost first.
        """
        done = asyncio.get_running_loop().create_future()
        job_ids = set()
        for job in jobs:
            self.dirty[job.id] = job
            job_ids.add(job.id)
        if not job_ids:
            done.set_result(None)
            return done
        self.waiters.append((job_ids, done))
        self.dirty_added.set()
        return done

    async def run(self):
        """Write the jobs that have changed, until the lease is lost."""
        while True:
            await self.dirty_added.wait()
            self.dirty_added.clear()
            while self.dirty:
                await self._flush()

    async def _flush(self):
        batch: dict[JobId, Job] = {}
        size = 0
        for name, job in list(self.dirty.items()):
            value = self._encoded(job)
            if batch and size + len(value) > MAX_TRANSACTION_BYTES:
                break
            size += len(value)
            batch[name] = job
            if len(batch) == MAX_JOBS_PER_TRANSACTION:
                break
        # A job that changes during the write is marked dirty again, and the request for
        # that change waits for a later write.
        for name in batch:
            del self.dirty[name]
        self.writing = batch
        names = set(batch)
        covered = list(self.waiters)
        while batch:
            expects, writes, final = self._transaction(batch)
            try:
                result = await transact_with_retries(
                    self.store, expects, writes, monotonic() + WRITE_TIMEOUT_SECONDS
                )
            except (StoreUnavailableError, StoreUncertainError) as error:
                if not self.leadership.is_holder:
                    self._fail_waiters()
                    raise LeaseLostError("The lease was lost.") from error
                self.events.write_deduplicated(
                    Event.DEPENDENCY_LOST, error.detail, dependency="progress"
                )
                continue
            if result.applied:
                self._mark_written(batch, result.version, final)
                break
            self._handle_mismatch(batch, result)
        self.writing = {}
        self._complete_waiters(covered, names)

    def _transaction(
        self, batch: dict[JobId, Job]
    ) -> tuple[list[Expect], list[Write], set[Job]]:
        """Return the expectations and writes for a batch, and the jobs that it ends."""
        expects = [self.leadership.fence_expectation()]
        writes = []
        final = set()
        for job in batch.values():
            name = row_name(job.id)
            expects.append(Expect(PROGRESS, name, job.version))
            writes.append(Write(PROGRESS, name, self._encoded(job)))
            if job.ended and not job.allocated_tasks() and not job.submission_deleted:
                final.add(job)
                writes.append(Write(SUBMISSIONS, name, None))
                if job.state is JobState.CANCELLED:
                    writes.append(Write(CANCELLATIONS, name, None))
        return expects, writes, final

    def _encoded(self, job: Job) -> bytes:
        """Return the encoded state of a job, without checkpoints if it is too large.

        The store would refuse the row for ever, and with it those of all other jobs.
        """
        progress = job.to_progress(self._now())
        value = encode_progress(progress)
        if len(value) * BASE64_FACTOR <= self.limits.row_bytes:
            return value
        for task in progress.tasks.values():
            task.checkpoint = ""
        return encode_progress(progress)

    def _mark_written(
        self, batch: dict[JobId, Job], version: RowVersion, final: set[Job]
    ):
        """Record a write; a job that ended only meanwhile is written again."""
        self.writes += 1
        for job in batch.values():
            job.version = version
            if job in final:
                job.submission_deleted = True

    def _handle_mismatch(self, batch: dict[JobId, Job], result: TransactionResult):
        """Apply what the store holds instead; raises LeaseLostError."""
        fence = result.current.get((FENCES, FENCE_ROW))
        if fence is None or fence.version != self.leadership.fence:
            self.leadership.step_down("The fence has moved.")
            self._fail_waiters()
            raise LeaseLostError("Another host has acquired the lease.")
        for name, job in list(batch.items()):
            row = result.current.get((PROGRESS, row_name(name)))
            if row is None:
                self.events.write(Event.RUN_LOST, job=name, reason="no progress row")
                del batch[name]
                continue
            if row.version == job.version:
                continue
            job.version = row.version
            stored = decode_progress(row.value)
            if not stored.state.ended or job.ended:
                continue
            # Another host cancelled the job, or it was loaded from an answer that is
            # older than its end.
            job.state = stored.state
            self.ended.append(job)

    def _complete_waiters(self, waiters: list[Waiter], names: set[JobId]):
        """Complete those of `waiters` of which all jobs have been written."""
        for job_ids, done in waiters:
            job_ids -= names
            if not job_ids and not done.done():
                done.set_result(None)
        self.waiters = [waiter for waiter in self.waiters if waiter[0]]

    def _fail_waiters(self):
        for _, done in self.waiters:
            if not done.done():
                done.set_exception(LeaseLostError("The lease was lost."))
        self.waiters = []

    def _now(self) -> float:
        return self.store.clock.earliest(boot_time())
