"""Write the progress of jobs to the store, many jobs in one transaction."""

import asyncio
from collections.abc import Iterable
from dataclasses import dataclass

from zinniatrestle.clock import boot_time, monotonic
from zinniatrestle.deployment import StoreLimits
from zinniatrestle.errors import (
    LeaseLostError,
    MalformedInputError,
    ResultCode,
    StoreUnavailableError,
    StoreUncertainError,
)
from zinniatrestle.events import Event, EventLog, RejectionLog
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
from zinniatrestle.supervision import Supervisor

# The store accepts 100 entries in a transaction, and a job needs up to 4.
MAX_JOBS_PER_TRANSACTION = 24
# The store accepts 1 MB in a transaction, a third of which is taken by the encoding.
MAX_TRANSACTION_BYTES = 500_000
# A write is retried for this long before the lease is checked again.
WRITE_TIMEOUT_SECONDS = 2.0
# Longest pause after an unexpected error, since starts and ends wait for the writer.
MAX_PAUSE_SECONDS = 1.0


@dataclass
class SaveRequest:
    """A request to store jobs, which is done once no job is left in `unsaved`."""

    unsaved: set[JobId]
    done: asyncio.Future


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
        self.supervisor = Supervisor(events)
        self.rejections = RejectionLog(events, f"table {PROGRESS}")
        # Jobs whose state can't be encoded.
        self.unwritable: set[JobId] = set()
        # Jobs whose state does not fit into a row, until they have ended.
        self.oversized: dict[JobId, Job] = {}
        # Jobs of the write that is under way.
        self.writing: dict[JobId, Job] = {}
        self.requests: list[SaveRequest] = []
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
        unsaved = set()
        for job in jobs:
            self.dirty[job.id] = job
            unsaved.add(job.id)
        if not unsaved:
            done.set_result(None)
            return done
        self.requests.append(SaveRequest(unsaved, done))
        self.dirty_added.set()
        return done

    async def run(self):
        """Write the jobs that have changed; raises LeaseLostError."""
        await self.supervisor.keep_running(
            "progress",
            self._write_changes,
            final_errors=(LeaseLostError,),
            longest_pause=MAX_PAUSE_SECONDS,
        )

    async def _write_changes(self):
        while True:
            if not self.dirty:
                self.dirty_added.clear()
                await self.dirty_added.wait()
            if not await self._flush():
                await asyncio.sleep(MAX_PAUSE_SECONDS)

    async def _flush(self) -> bool:
        """Write the jobs that changed first, as many as a transaction may have.

        Return whether there was a job that can be written.
        """
        # A job that changes during the write is marked dirty again, and the request for
        # that change waits for a later write.
        batch = self.writing = self._take_batch()
        names = set(batch)
        covered = list(self.requests)
        try:
            while batch:
                if await self._try_write(batch):
                    break
        except Exception:
            # What may not be stored is written again.
            self.dirty = {**batch, **self.dirty}
            raise
        finally:
            self.writing = {}
        self._complete(covered, names)
        return bool(names)

    def _take_batch(self) -> dict[JobId, Job]:
        """Remove jobs from the dirty ones, and return them."""
        batch: dict[JobId, Job] = {}
        size = 0
        for name, job in list(self.dirty.items()):
            try:
                value = self._encoded(job)
                if not self._fits(value):
                    self._set_aside(job, len(value))
                    continue
            except Exception as error:
                # Its changes count as not stored, and hold up no other job's.
                self._log_unwritable(name, error)
                continue
            self.unwritable.discard(name)
            self.oversized.pop(name, None)
            if batch and size + len(value) > MAX_TRANSACTION_BYTES:
                break
            size += len(value)
            batch[name] = job
            del self.dirty[name]
            if len(batch) == MAX_JOBS_PER_TRANSACTION:
                break
        return batch

    def _log_unwritable(self, name: JobId, error: Exception):
        if name in self.unwritable:
            return
        self.unwritable.add(name)
        self.supervisor.log_failure("progress", error, job=name)

    def _fits(self, value: bytes) -> bool:
        return len(value) * BASE64_FACTOR <= self.limits.row_bytes

    def _set_aside(self, job: Job, size: int):
        """Leave out a job that the store would refuse, with all others of its batch."""
        if job.id in self.oversized:
            return
        self.oversized[job.id] = job
        self.events.write(
            Event.ROW_TOO_LARGE,
            job=job.id,
            code=int(ResultCode.TOO_LARGE),
            bytes=size,
            limit=int(self.limits.row_bytes / BASE64_FACTOR),
        )

    async def _try_write(self, batch: dict[JobId, Job]) -> bool:
        """Write a batch and return whether it is stored; raises LeaseLostError.

        Jobs that the store has no row of are removed from the batch.
        """
        expects, writes, final = self._transaction(batch)
        deadline = monotonic() + WRITE_TIMEOUT_SECONDS
        try:
            result = await transact_with_retries(self.store, expects, writes, deadline)
        except (StoreUnavailableError, StoreUncertainError) as error:
            if not self.leadership.is_holder:
                self._fail_requests()
                raise LeaseLostError("The lease was lost.") from error
            self.events.write_deduplicated(
                Event.DEPENDENCY_LOST, error.detail, dependency="progress"
            )
            return False
        if not result.applied:
            self._handle_mismatch(batch, result)
            return False
        self._mark_written(batch, result.version, final)
        return True

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
        """Return the encoded state of a job, as far as it fits into a row.

        Checkpoints are left out first. Of a job that has ended, its runs are, which
        workers are told to stop once they report them.
        """
        progress = job.to_progress(self._now())
        value = encode_progress(progress)
        if self._fits(value):
            return value
        for task in progress.tasks.values():
            task.checkpoint = ""
        value = encode_progress(progress)
        if self._fits(value) or not job.ended:
            return value
        progress.tasks = {}
        progress.finished = []
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
            self._fail_requests()
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
            try:
                stored = decode_progress(row.value)
            except MalformedInputError as error:
                # The next try writes over the damage.
                self.rejections.reject(name, error.detail)
                continue
            if not stored.state.ended or job.ended:
                continue
            # Another host cancelled the job, or it was loaded from an answer that is
            # older than its end.
            job.state = stored.state
            self.ended.append(job)

    def _complete(self, requests: list[SaveRequest], names: set[JobId]):
        """Complete those of `requests` of which all jobs have been written."""
        for request in requests:
            request.unsaved -= names
            if not request.unsaved and not request.done.done():
                request.done.set_result(None)
        self.requests = [request for request in self.requests if request.unsaved]

    def _fail_requests(self):
        for request in self.requests:
            if not request.done.done():
                request.done.set_exception(LeaseLostError("The lease was lost."))
        self.requests = []

    def _now(self) -> float:
        return self.store.clock.earliest(boot_time())
