"""Take, show and cancel jobs, at any host."""

import asyncio

from zinniatrestle.clock import boot_time, monotonic
from zinniatrestle.deployment import StoreLimits
from zinniatrestle.errors import (
    CallerError,
    NotFoundError,
    NotRunError,
    ResultCode,
    StoreUnavailableError,
    StoreUncertainError,
    UnknownOutcomeError,
)
from zinniatrestle.events import Event, EventLog
from zinniatrestle.ids import ClientAccountId, JobId, StoreMilliseconds
from zinniatrestle.jobs.messages import (
    CANCELLATIONS,
    PROGRESS,
    SUBMISSIONS,
    JobProgress,
    JobState,
    Step,
    Submission,
    decode_progress,
    encode_progress,
    encode_submission,
    row_name,
)
from zinniatrestle.queues import Queue
from zinniatrestle.rows import Expect, RowStore, Write
from zinniatrestle.rows.retries import RETRY_SECONDS, transact_with_retries

# Tasks; a row of progress has to hold them all, at some 40 bytes each.
MAX_TASKS = 1000
# Bytes sent for each byte of a row's value: base64 takes four for three.
BASE64_FACTOR = 4 / 3
MAX_SPEC_BYTES = 4000
# Share of a caller's time after which a host that does not reach the store answers, so
# that the caller can still try another host.
STORE_TIME_SHARE = 0.4
# s; the same for callers with much time: a host that stops finishes open requests
# within a third of its time for that.
MAX_STORE_SECONDS = 1.5
# s; how long a store that turns a host away is asked again before the caller is sent to
# another host.
REFUSE_SECONDS = 0.25


class JobRequest:
    """What a caller asks for: the steps, the text for workers and the times."""

    def __init__(
        self,
        spec: str,
        steps: tuple[Step, ...],
        occurrences: int = 0,
        first_due_ms: int = 0,
        every_ms: int = 0,
    ):
        self.spec = spec
        self.steps = steps
        self.occurrences = occurrences
        self.first_due_ms = first_due_ms
        self.every_ms = every_ms

    def check(self):
        """Refuse a plan that can't be kept or run; raises CallerError."""
        if len(self.spec.encode()) > MAX_SPEC_BYTES:
            raise CallerError(
                f"Shorten the spec to {MAX_SPEC_BYTES} bytes.", ResultCode.TOO_LARGE
            )
        if not self.steps:
            raise CallerError("Give the job a step.")
        if sum(step.count for step in self.steps) > MAX_TASKS:
            raise CallerError(
                f"Split the job: it has more than {MAX_TASKS} tasks.",
                ResultCode.TOO_LARGE,
            )
        for number, step in enumerate(self.steps):
            if step.count < 1:
                raise CallerError(f"Give step {number} a task.")
            if any(not 0 <= before < number for before in step.after):
                raise CallerError(f"Step {number} must come after earlier steps.")


class JobIntake:
    """Answer callers from the store alone, so that every host says the same."""

    def __init__(self, store: RowStore, events: EventLog, limits: StoreLimits):
        self.store = store
        self.events = events
        self.limits = limits

    async def accept(
        self,
        job: JobId,
        job_request: JobRequest,
        queue: Queue,
        account: ClientAccountId,
        give_up_at: float,
    ):
        """Keep a job, or find it kept already.

        Raises NotRunError when it surely is not kept and never will be, and
        UnknownOutcomeError when that can't be told by `give_up_at` (loop time).
        """
        job_request.check()
        now = StoreMilliseconds(int(self.store.clock.earliest(boot_time())))
        submission = Submission(
            job=job,
            queue=queue.name,
            account=account,
            service=queue.service,
            spec=job_request.spec,
            steps=job_request.steps,
            accepted_at=now,
            priority=queue.priority,
            attempts=queue.attempts,
            stretch=queue.stretch,
            target=queue.target,
            occurrences=job_request.occurrences,
            first_due_ms=job_request.first_due_ms,
            every_ms=job_request.every_ms,
        )
        progress = JobProgress(queue=queue.name, timed=submission.timed, changed_at=now)
        name = row_name(job)
        kept = encode_submission(submission)
        if len(kept) * BASE64_FACTOR > self.limits.row_bytes:
            raise CallerError(
                "Split the job: its steps are too many to be kept in one row.",
                ResultCode.TOO_LARGE,
            )
        writes = [
            Write(PROGRESS, name, encode_progress(progress)),
            Write(SUBMISSIONS, name, kept),
        ]
        try:
            result = await transact_with_retries(
                self.store,
                [Expect(PROGRESS, name)],
                writes,
                _try_until(give_up_at),
                refuse_seconds=REFUSE_SECONDS,
            )
        except StoreUnavailableError as error:
            self.events.write_deduplicated(
                Event.REQUEST_REFUSED, "store unavailable", job=job
            )
            raise NotRunError(error.detail, ResultCode.STORE_UNAVAILABLE) from error
        except StoreUncertainError as error:
            self.events.write(Event.REQUEST_REFUSED, job=job, reason="answer lost")
            raise UnknownOutcomeError(error.detail) from error
        event = Event.JOB_ACCEPTED if result.applied else Event.JOB_REPEATED
        self.events.write(
            event,
            job=job,
            queue=queue.name,
            account=account,
            version=result.version,
            tasks=sum(step.count for step in job_request.steps),
        )

    async def state(self, job: JobId) -> JobState:
        """Return where a job stands; raises NotFoundError, StoreUnavailableError."""
        row = await self.store.row(PROGRESS, row_name(job))
        if row is None:
            raise NotFoundError("No such job.", ResultCode.NO_SUCH_JOB)
        return decode_progress(row.value).state

    async def cancel(self, job: JobId, give_up_at: float):
        """Cancel a job for good; raises NotFoundError, UnknownOutcomeError.

        The mark is in the row that each start of the job's tasks is checked against,
        so nothing of it starts after this returns but what was under way.
        """
        name = row_name(job)
        give_up_at = _try_until(give_up_at)
        while monotonic() < give_up_at:
            try:
                row = await self.store.row(PROGRESS, name)
            except StoreUnavailableError:
                await asyncio.sleep(RETRY_SECONDS)
                continue
            if row is None:
                raise NotFoundError("No such job.", ResultCode.NO_SUCH_JOB)
            progress = decode_progress(row.value)
            if progress.state.ended:
                return
            progress.state = JobState.CANCELLED
            writes = [
                Write(PROGRESS, name, encode_progress(progress)),
                Write(CANCELLATIONS, name, b""),
            ]
            expects = [Expect(PROGRESS, name, row.version)]
            try:
                result = await transact_with_retries(
                    self.store, expects, writes, give_up_at
                )
            except (StoreUnavailableError, StoreUncertainError) as error:
                raise UnknownOutcomeError(error.detail) from error
            if not result.applied:
                continue
            self.events.write(Event.JOB_CANCELLED, job=job, version=result.version)
            return
        raise UnknownOutcomeError("The store does not answer.")


def _try_until(give_up_at: float) -> float:
    now = monotonic()
    return now + min(STORE_TIME_SHARE * (give_up_at - now), MAX_STORE_SECONDS)
