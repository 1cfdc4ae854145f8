"""Accept, show and cancel jobs on any host."""

import asyncio

from zinniatrestle.clock import boot_time, monotonic
from zinniatrestle.deployment import Deployment
from zinniatrestle.errors import (
    CallerError,
    DamagedRowError,
    MalformedInputError,
    NotFoundError,
    NotRunError,
    ResultCode,
    StoreUnavailableError,
    StoreUncertainError,
    UnknownOutcomeError,
)
from zinniatrestle.events import Event, EventLog, RejectionLog
from zinniatrestle.ids import ClientAccountId, JobId, RowName, StoreMilliseconds
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
from zinniatrestle.jobs.withdrawals import (
    WITHDRAWALS,
    IntakeEpoch,
    IntakeSettings,
    Withdrawals,
)
from zinniatrestle.queues import Admission, Queue
from zinniatrestle.rows import Expect, RowStore, StoredRow, TransactionResult, Write
from zinniatrestle.rows.retries import RETRY_SECONDS, transact_with_retries

# Tasks of a job: a single progress row has to hold them all, at about 40 bytes each.
MAX_TASKS = 1000
# Bytes sent per byte of a row's value: base64 encodes three bytes as four.
BASE64_FACTOR = 4 / 3
MAX_SPEC_BYTES = 4000
# Share of a caller's time after which a host that can't reach the store answers, so
# that the caller can still retry on another host.
STORE_TIME_SHARE = 0.4
# Upper bound on that time for callers with a long timeout: a host that shuts down has
# to finish open requests within a third of its shutdown time.
MAX_STORE_SECONDS = 1.5
# How long a call that the store refused is retried before the caller is sent to another
# host.
REFUSAL_RETRY_SECONDS = 0.25


def check_task_count(tasks: int):
    """Raise CallerError if a job has too many tasks.

    Each step has at least one, so that a job with too many steps is refused before they
    are decoded.
    """
    if tasks > MAX_TASKS:
        raise CallerError(
            f"Split the job: it has more than {MAX_TASKS} tasks.", ResultCode.TOO_LARGE
        )


class JobRequest:
    """Job as requested: its steps, the spec passed to workers, and its schedule."""

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
        """Validate the request; raises CallerError if it can't be stored or run."""
        if len(self.spec.encode()) > MAX_SPEC_BYTES:
            raise CallerError(
                f"Shorten the spec to {MAX_SPEC_BYTES} bytes.", ResultCode.TOO_LARGE
            )
        if not self.steps:
            raise CallerError("The job has no steps; give it at least one.")
        check_task_count(sum(step.count for step in self.steps))
        for number, step in enumerate(self.steps):
            if step.count < 1:
                raise CallerError(f"Step {number} has no tasks; give it at least one.")
            if any(not 0 <= dependency < number for dependency in step.after):
                raise CallerError(f"Step {number} may depend on earlier steps only.")


class JobIntake:
    """Accept, show and cancel jobs from the store alone, so that all hosts agree."""

    def __init__(
        self,
        store: RowStore,
        events: EventLog,
        deployment: Deployment,
        settings: IntakeSettings | None = None,
    ):
        self.store = store
        self.events = events
        self.limits = deployment.store
        self.epoch = IntakeEpoch()
        self.withdrawals = Withdrawals(
            store, events, deployment, settings or IntakeSettings()
        )
        self.rejections = RejectionLog(events, f"table {PROGRESS}")

    def check(self, job_request: JobRequest):
        """Raise CallerError for a request that can't be accepted, whatever is stored.

        Its dependencies alone may be too large for a row. That is known before they are
        encoded, and before anything is waited for.
        """
        job_request.check()
        dependencies = sum(len(step.after) for step in job_request.steps)
        if dependencies * BASE64_FACTOR > self.limits.row_bytes:
            raise _row_too_large()

    async def accept(
        self,
        job: JobId,
        job_request: JobRequest,
        queue: Queue,
        account: ClientAccountId,
        deadline: float,
    ):
        """Store a job; accepting a job that is stored already has no effect.

        Raises CallerError for an invalid request, NotRunError if the job is certain not
        to have been stored, WithdrawnError among them if it was cancelled before, and
        UnknownOutcomeError if that is still unknown at `deadline`, a time of the
        monotonic clock.
        """
        self.check(job_request)
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
        progress = JobProgress(
            queue=queue.name,
            timed=submission.timed,
            changed_at=now,
            account=account,
        )
        name = row_name(job)
        encoded = encode_submission(submission)
        if len(encoded) * BASE64_FACTOR > self.limits.row_bytes:
            raise _row_too_large()
        writes = [
            Write(PROGRESS, name, encode_progress(progress)),
            Write(SUBMISSIONS, name, encoded),
        ]
        try:
            result = await self._store_submission(
                name, writes, _store_deadline(deadline)
            )
        except StoreUnavailableError as error:
            self.events.write_deduplicated(
                Event.REQUEST_REFUSED, "store unavailable", job=job
            )
            raise NotRunError(error.detail, ResultCode.STORE_UNAVAILABLE) from error
        except StoreUncertainError as error:
            self.events.write(Event.REQUEST_REFUSED, job=job, reason="answer lost")
            raise UnknownOutcomeError(error.detail) from error
        if (WITHDRAWALS, name) in result.current:
            raise self.withdrawals.refusal()
        event = Event.JOB_ACCEPTED if result.applied else Event.JOB_REPEATED
        self.events.write(
            event,
            job=job,
            queue=queue.name,
            account=account,
            version=result.version,
            tasks=sum(step.count for step in job_request.steps),
        )

    async def _store_submission(
        self, name: RowName, writes: list[Write], give_up_at: float
    ) -> TransactionResult:
        """Store a submission under the present epoch, or return why it does not apply.

        That is a row of the job, or a mark. Raises StoreUnavailableError and
        StoreUncertainError.
        """
        began_at = boot_time()
        seconds = give_up_at - monotonic()
        while True:
            epoch = self.epoch.expectation()
            expects = [Expect(PROGRESS, name), Expect(WITHDRAWALS, name), epoch]
            result = await transact_with_retries(
                self.store,
                expects,
                writes,
                give_up_at,
                max_refusal_seconds=REFUSAL_RETRY_SECONDS,
            )
            rows = {(PROGRESS, name), (WITHDRAWALS, name)} & result.current.keys()
            if result.applied or rows:
                return result
            self.epoch.update(result)
            if self.epoch.expectation() == epoch:
                raise StoreUncertainError("The store's answer lacks a row.")
            # Nothing sent under the former epoch can be applied any more. The clock
            # includes the time for which this host was suspended, since a cancellation
            # counts on the end of this wait.
            if boot_time() - began_at >= seconds:
                raise StoreUnavailableError("The epoch of the intake has changed.")

    async def is_stored(self, job: JobId) -> bool:
        """Return whether a job has been accepted; raises StoreUnavailableError."""
        return await self.store.row(PROGRESS, row_name(job)) is not None

    async def state(self, job: JobId, admission: Admission) -> JobState:
        """Return a job's state; raises NotFoundError, StoreUnavailableError."""
        row = await self.store.row(PROGRESS, row_name(job))
        if row is None:
            raise NotFoundError("No such job.", ResultCode.NO_SUCH_JOB)
        progress = self._decode_progress(row)
        self._check_access(job, admission, progress)
        return progress.state

    def _check_access(self, job: JobId, admission: Admission, progress: JobProgress):
        """Raise NotFoundError for a job of another client account."""
        if admission.permits(progress.queue, progress.account):
            return
        self.events.write_deduplicated(
            Event.REQUEST_REFUSED,
            "job of another account",
            job=job,
            account=admission.account,
        )
        raise NotFoundError(
            "No such job of this client account.", ResultCode.NO_SUCH_JOB
        )

    def _decode_progress(self, row: StoredRow) -> JobProgress:
        """Decode a job's progress; raises DamagedRowError."""
        try:
            progress = decode_progress(row.value)
        except MalformedInputError as error:
            self.rejections.reject(row.name, error.detail)
            raise DamagedRowError(error.detail) from error
        if self.rejections.reasons:
            self.rejections.accept(row.name)
        return progress

    async def cancel(self, job: JobId, admission: Admission, deadline: float):
        """Cancel a job permanently, for an admitted call.

        Raises NotFoundError, UnknownOutcomeError, TooManyWithdrawalsError and
        DamagedRowError. After NotFoundError no acceptance of the job that began before
        can be applied.

        The state is written to the progress row, which every start of the job's tasks
        is checked against. After this returns, no task starts except those whose start
        was already under way.
        """
        name = row_name(job)
        deadline = _store_deadline(deadline)
        while monotonic() < deadline:
            try:
                row = await self.store.row(PROGRESS, name)
                if row is None:
                    if not await self.withdrawals.withdraw(
                        job, admission.account, deadline
                    ):
                        continue
                    raise NotFoundError("No such job.", ResultCode.NO_SUCH_JOB)
            except StoreUnavailableError:
                await asyncio.sleep(RETRY_SECONDS)
                continue
            progress = self._decode_progress(row)
            self._check_access(job, admission, progress)
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
                    self.store, expects, writes, deadline
                )
            except (StoreUnavailableError, StoreUncertainError) as error:
                raise UnknownOutcomeError(error.detail) from error
            if not result.applied:
                continue
            self.events.write(Event.JOB_CANCELLED, job=job, version=result.version)
            return
        raise UnknownOutcomeError("The store does not answer.")


def _row_too_large() -> CallerError:
    return CallerError(
        "Split the job: its steps don't fit into one row of the store.",
        ResultCode.TOO_LARGE,
    )


def _store_deadline(deadline: float) -> float:
    now = monotonic()
    return now + min(STORE_TIME_SHARE * (deadline - now), MAX_STORE_SECONDS)
