"""Write down what becomes of jobs, many in one transaction."""

import asyncio
from collections.abc import Iterable

from zinniatrestle.clock import boot_time, monotonic
from zinniatrestle.errors import (
    LeaseLostError,
    StoreUnavailableError,
    StoreUncertainError,
)
from zinniatrestle.events import Event, EventLog
from zinniatrestle.ids import JobId, RowVersion
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

# Entries of one transaction; the store takes 100, and a job needs up to 4.
JOBS_AT_ONCE = 24
# Bytes of one transaction; the store takes 1 MB, of which encoding takes a third.
BYTES_AT_ONCE = 500_000
# s; how long a write is tried before the lease is looked at again.
TRY_SECONDS = 2.0


class ProgressWriter:
    """Keep jobs' progress in the store.

    A change counts only once it is written: nothing starts, and no end is
    acknowledged, before `save` returns.
    """

    def __init__(self, store: RowStore, leadership: Leadership, events: EventLog):
        self.store = store
        self.leadership = leadership
        self.events = events
        self.dirty: dict[JobId, Job] = {}
        self.waiting: list[tuple[set[JobId], asyncio.Future]] = []
        self.wake = asyncio.Event()
        # Jobs found to have ended while a write was under way.
        self.ended: list[Job] = []
        self.writes = 0

    async def save(self, jobs: Iterable[Job]):
        """Wait until the jobs' present state is kept; raises LeaseLostError."""
        names = set()
        for job in jobs:
            self.dirty[job.id] = job
            names.add(job.id)
        if not names:
            return
        done = asyncio.get_running_loop().create_future()
        self.waiting.append((names, done))
        self.wake.set()
        await done

    async def run(self):
        """Write what is dirty until the lease is lost."""
        while True:
            await self.wake.wait()
            self.wake.clear()
            while self.dirty:
                await self._flush()

    async def _flush(self):
        batch: dict[JobId, Job] = {}
        size = 0
        for name, job in list(self.dirty.items()):
            value = encode_progress(job.to_progress(self._now()))
            if batch and size + len(value) > BYTES_AT_ONCE:
                break
            size += len(value)
            batch[name] = job
            if len(batch) == JOBS_AT_ONCE:
                break
        # A job that changes while it is written becomes dirty again.
        for name in batch:
            del self.dirty[name]
        while batch:
            expects, writes = self._transaction(batch)
            try:
                result = await transact_with_retries(
                    self.store, expects, writes, monotonic() + TRY_SECONDS
                )
            except (StoreUnavailableError, StoreUncertainError) as error:
                if not self.leadership.is_holder:
                    self._fail()
                    raise LeaseLostError("The lease was lost.") from error
                self.events.write_deduplicated(
                    Event.DEPENDENCY_LOST, error.detail, dependency="progress"
                )
                continue
            if result.applied:
                self._written(batch, result.version)
                break
            self._mismatch(batch, result)
        self._resolve()

    def _transaction(self, batch: dict[JobId, Job]):
        expects = [self.leadership.fence_expectation()]
        writes = []
        for job in batch.values():
            name = row_name(job.id)
            expects.append(Expect(PROGRESS, name, job.version))
            record = job.to_progress(self._now())
            writes.append(Write(PROGRESS, name, encode_progress(record)))
            if job.ended and not job.allocated_tasks() and not job.submission_deleted:
                writes.append(Write(SUBMISSIONS, name, None))
                if job.state is JobState.CANCELLED:
                    writes.append(Write(CANCELLATIONS, name, None))
        return expects, writes

    def _written(self, batch: dict[JobId, Job], version: RowVersion):
        self.writes += 1
        for job in batch.values():
            job.version = version
            if job.ended and not job.allocated_tasks():
                job.submission_deleted = True

    def _mismatch(self, batch: dict[JobId, Job], result: TransactionResult):
        """Learn what the store holds instead; raises LeaseLostError."""
        fence = result.current.get((FENCES, FENCE_ROW))
        if fence is None or fence.version != self.leadership.fence:
            self.leadership.step_down("The fence has moved.")
            self._fail()
            raise LeaseLostError("Another host schedules now.")
        for name, job in list(batch.items()):
            row = result.current.get((PROGRESS, row_name(name)))
            if row is None:
                self.events.write(Event.RUN_LOST, job=name, reason="no progress row")
                del batch[name]
                continue
            if row.version == job.version:
                continue
            job.version = row.version
            kept = decode_progress(row.value)
            if not kept.state.ended or job.ended:
                continue
            # A host has cancelled it, or it was taken up from an answer that is older
            # than its end.
            job.state = kept.state
            self.ended.append(job)

    def _resolve(self):
        left = []
        for names, done in self.waiting:
            if names & self.dirty.keys():
                left.append((names, done))
                continue
            if not done.done():
                done.set_result(None)
        self.waiting = left

    def _fail(self):
        for _, done in self.waiting:
            if not done.done():
                done.set_exception(LeaseLostError("The lease was lost."))
        self.waiting = []

    def _now(self) -> float:
        return self.store.clock.earliest(boot_time())
