"""Decisions on callers' requests, independent of their encoding."""

import math
from collections.abc import Callable

from zinniatrestle.clock import boot_time
from zinniatrestle.deployment import Bounds
from zinniatrestle.errors import (
    AuthenticationError,
    NotFoundError,
    NotRunError,
    ResultCode,
    StoreUnavailableError,
)
from zinniatrestle.events import Event, EventLog
from zinniatrestle.ids import ApiKey, ClientAccountId, JobId
from zinniatrestle.jobs import JobIntake, JobState, WithdrawalError
from zinniatrestle.jobs.intake import JobRequest
from zinniatrestle.metrics import Metrics
from zinniatrestle.queues import Admission, Freshness, OperatorState, Queue
from zinniatrestle.scheduling.backlog import work_bytes
from zinniatrestle.scheduling.leadership import Leadership
from zinniatrestle.serving.allowance import AcceptanceAllowance, AcceptedJob

# Maximum age of the pending counts that callers get, by the promise made to them.
MAX_COUNTS_AGE_SECONDS = 2.0
# Maximum age of the desired state, as a share of the time in which a revoked key must
# stop working; the rest covers the latency of the answer and clock errors.
FRESH_SHARE = 0.6
# A caller that retries earlier would most likely get the same answer.
RETRY_AFTER_SECONDS = 1.0
# The same for an account of which work has to end first.
BACKLOG_RETRY_SECONDS = 5.0
# Maximum age of the record that an account is full. Without a leader there is no newer
# one, and jobs are accepted again.
MAX_FULL_AGE_SECONDS = 10.0


class RetryLaterError(NotRunError):
    """Signal a request that did not run; callers may retry after `seconds`."""

    def __init__(
        self, detail: str, code: ResultCode, seconds: float = RETRY_AFTER_SECONDS
    ):
        super().__init__(detail, code)
        self.seconds = max(1, math.ceil(seconds))


class BacklogFullError(RetryLaterError):
    """Signal an account with as much accepted work as a host may hold of it."""

    def __init__(self):
        super().__init__(
            "The account has too much accepted work that has not ended.",
            ResultCode.BACKLOG_FULL,
            BACKLOG_RETRY_SECONDS,
        )


class Frontend:
    """Admit callers by the desired state and answer them from the store."""

    def __init__(
        self,
        bounds: Bounds,
        operator: OperatorState,
        intake: JobIntake,
        leadership: Leadership,
        metrics: Metrics,
        events: EventLog,
        max_work_bytes: float = math.inf,
    ):
        self.bounds = bounds
        self.operator = operator
        self.intake = intake
        self.leadership = leadership
        self.metrics = metrics
        self.events = events
        self.allowance = AcceptanceAllowance(max_work_bytes)
        self.stopping = False
        # Replaced by the component that follows the store.
        self.is_store_reachable: Callable[[], bool] = lambda: True

    @property
    def largest_body(self) -> int:
        """Return the largest body in bytes; 0 if the desired state sets no bound."""
        return self.operator.desired.largest_body if self.operator.desired else 0

    def ready(self) -> bool:
        """Return whether load balancers should send callers to this host."""
        if self.stopping or self._freshness() is not Freshness.FRESH:
            return False
        return self.is_store_reachable()

    def admit(self, host: str, path: str, key: ApiKey | None) -> Admission:
        """Return the queue and the account of a request.

        Raises RetryLaterError while the desired state is unknown or too old to check
        keys against, NotFoundError if no queue has this path, and AuthenticationError
        if the key does not permit it.
        """
        self._require_fresh()
        try:
            queue = self.operator.queue_for(host, path)
            return Admission(queue, self.operator.account_for(queue, key))
        except (NotFoundError, AuthenticationError) as error:
            self._record_refusal(error.code, path=path, version=self._version())
            raise

    async def accept(
        self,
        admission: Admission,
        job: JobId,
        job_request: JobRequest,
        give_up_at: float,
    ):
        """Accept a job and store it durably.

        Raises RetryLaterError if it was certainly not stored; other errors are those of
        JobIntake.accept.
        """
        if not self.is_store_reachable():
            self._record_refusal(ResultCode.STORE_UNAVAILABLE, job=job)
            raise RetryLaterError(
                "This host can't reach the store.", ResultCode.STORE_UNAVAILABLE
            )
        started_at = boot_time()
        self.intake.check(job_request)
        await self._require_room(admission.account, job, work_bytes(job_request))
        try:
            await self.intake.accept(
                job, job_request, admission.queue, admission.account, give_up_at
            )
        except NotRunError as error:
            raise self._retry_later(job, error) from error
        self.metrics.accepted.add(1)
        self.metrics.acceptance.record(boot_time() - started_at)

    async def _require_room(self, account: ClientAccountId, job: JobId, size: int):
        """Raise RetryLaterError if an account is full, unless the job is stored.

        `size` is that of the job in bytes, which count as accepted from now on.
        """
        counts = self.leadership.pending_counts
        if counts.counts is not None:
            self.allowance.update(counts.counts.counted_at)
        is_full = counts.is_full(account, MAX_FULL_AGE_SECONDS)
        if not is_full and self.allowance.has_room(account, size):
            accepted_at = self.intake.store.clock.latest(boot_time())
            self.allowance.take(account, AcceptedJob(accepted_at, size))
            return
        try:
            if await self.intake.is_stored(job):
                return
        except StoreUnavailableError as error:
            raise self._retry_later(job, error) from error
        self._record_refusal(
            ResultCode.BACKLOG_FULL, job=job, account=account, counted=is_full
        )
        raise BacklogFullError

    async def show(self, admission: Admission, job: JobId) -> JobState:
        """Return a job's state; raises NotFoundError and RetryLaterError."""
        try:
            return await self.intake.state(job, admission)
        except StoreUnavailableError as error:
            self._record_refusal(error.code, job=job)
            raise RetryLaterError(error.detail, error.code) from error

    async def cancel(self, admission: Admission, job: JobId, give_up_at: float):
        """Cancel a job.

        Raises RetryLaterError if it was certainly not cancelled; other errors are those
        of JobIntake.cancel.
        """
        try:
            await self.intake.cancel(job, admission, give_up_at)
        except WithdrawalError as error:
            raise self._retry_later(job, error) from error
        except NotFoundError:
            self.metrics.withdrawn.add(1)
            raise
        self.metrics.cancelled.add(1)

    def _retry_later(
        self, job: JobId, error: NotRunError | StoreUnavailableError
    ) -> RetryLaterError:
        """Count a refusal, and return the error that tells the caller of it."""
        self._record_refusal(error.code, job=job)
        seconds = RETRY_AFTER_SECONDS
        if isinstance(error, WithdrawalError):
            seconds = error.seconds
        return RetryLaterError(error.detail, error.code, seconds)

    async def pending(self, queue: Queue) -> int:
        """Return the number of waiting jobs of a queue.

        Raises RetryLaterError if there are no counts of the last
        MAX_COUNTS_AGE_SECONDS, for example while a new leader has not counted yet.
        """
        counts = await self.leadership.pending_counts.recent(
            MAX_COUNTS_AGE_SECONDS, may_read=self.is_store_reachable()
        )
        if counts is None:
            self._record_refusal(ResultCode.STORE_UNAVAILABLE, queue=queue.name)
            raise RetryLaterError(
                "The pending counts are out of date.", ResultCode.STORE_UNAVAILABLE
            )
        return counts.get(queue.name, 0)

    def _freshness(self) -> Freshness:
        max_age = self.bounds.revocation * FRESH_SHARE
        if not self.bounds.strict_revocation:
            max_age = math.inf
        return self.operator.freshness(boot_time(), max_age)

    def _require_fresh(self):
        freshness = self._freshness()
        if freshness is Freshness.FRESH:
            return
        code = ResultCode.ACCOUNT_UNCONFIRMED
        if freshness is Freshness.UNKNOWN:
            code = ResultCode.NO_CONFIGURATION
        self._record_refusal(code, freshness=freshness.value, version=self._version())
        raise RetryLaterError(
            f"The desired state on this host is {freshness.value}.", code
        )

    def _version(self) -> int:
        return self.operator.desired.version if self.operator.desired else 0

    def _record_refusal(self, code: ResultCode, **fields):
        self.metrics.refused.add(1, {"code": code.name})
        age = boot_time() - self.operator.confirmed_at
        self.events.write_deduplicated(
            Event.REQUEST_REFUSED,
            code.name,
            code=int(code),
            age_s=round(age, 2) if math.isfinite(age) else None,
            **fields,
        )
