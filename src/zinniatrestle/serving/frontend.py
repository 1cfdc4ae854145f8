"""Decide on callers' requests; knows nothing of their encoding."""

import math
from collections.abc import Callable
from typing import NamedTuple

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
from zinniatrestle.jobs import JobIntake, JobState
from zinniatrestle.jobs.intake import JobRequest
from zinniatrestle.metrics import Metrics
from zinniatrestle.queues import Freshness, OperatorState, Queue
from zinniatrestle.scheduling.leadership import Leadership

# s; the age up to which pending counts are told. Counts are written each second, and
# a successor takes over within the lease and a second.
MAX_COUNTS_AGE_SECONDS = 5.0
# Share of the time for which a taken key may still be used that a belief may age;
# the rest covers the answer's way back and the clock's error.
FRESH_SHARE = 0.6
# s; a caller that comes back earlier would most likely find the same.
RETRY_SECONDS = 1.0


class RetryLaterError(NotRunError):
    """Signal a request that did not run; callers may come back after `seconds`."""

    def __init__(self, detail: str, code: ResultCode, seconds: float = RETRY_SECONDS):
        super().__init__(detail, code)
        self.seconds = max(1, math.ceil(seconds))


class Admission(NamedTuple):
    """What an admitted request may use."""

    queue: Queue
    account: ClientAccountId


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
    ):
        self.bounds = bounds
        self.operator = operator
        self.intake = intake
        self.leadership = leadership
        self.metrics = metrics
        self.events = events
        self.stopping = False
        # Set by whoever follows the store.
        self.is_store_reachable: Callable[[], bool] = lambda: True

    @property
    def largest_body(self) -> int:
        """Return the largest body in bytes; 0: the desired state sets no bound."""
        return self.operator.desired.largest_body if self.operator.desired else 0

    def ready(self) -> bool:
        """Tell whether callers should come to this host."""
        if self.stopping or self._freshness() is not Freshness.FRESH:
            return False
        return self.is_store_reachable()

    def admit(self, host: str, path: str, key: ApiKey | None) -> Admission:
        """Return what a request may use.

        Raises RetryLaterError while the desired state is unknown or too old to judge
        keys by, NotFoundError and AuthenticationError.
        """
        self._require_fresh()
        try:
            queue = self.operator.queue_for(host, path)
            return Admission(queue, self.operator.account_for(queue, key))
        except (NotFoundError, AuthenticationError) as error:
            self._refused(error.code, path=path, version=self._version())
            raise

    async def accept(
        self,
        admission: Admission,
        job: JobId,
        job_request: JobRequest,
        give_up_at: float,
    ):
        """Keep a job; raises as JobIntake.accept does."""
        if not self.is_store_reachable():
            self._refused(ResultCode.STORE_UNAVAILABLE, job=job)
            raise RetryLaterError(
                "This host does not reach the store.", ResultCode.STORE_UNAVAILABLE
            )
        asked_at = boot_time()
        try:
            await self.intake.accept(
                job, job_request, admission.queue, admission.account, give_up_at
            )
        except NotRunError as error:
            self._refused(error.code, job=job)
            raise RetryLaterError(error.detail, error.code) from error
        self.metrics.accepted.add(1)
        self.metrics.acceptance.record(boot_time() - asked_at)

    async def show(self, job: JobId) -> JobState:
        """Return a job's state; raises NotFoundError, RetryLaterError."""
        try:
            return await self.intake.state(job)
        except StoreUnavailableError as error:
            self._refused(error.code, job=job)
            raise RetryLaterError(error.detail, error.code) from error

    async def cancel(self, job: JobId, give_up_at: float):
        """Cancel a job; raises as JobIntake.cancel does."""
        await self.intake.cancel(job, give_up_at)
        self.metrics.cancelled.add(1)

    def pending(self, queue: Queue) -> int:
        """Return how many jobs of a queue have not begun; raises RetryLaterError."""
        counts = self.leadership.pending_counts(boot_time(), MAX_COUNTS_AGE_SECONDS)
        if counts is None:
            self._refused(ResultCode.STORE_UNAVAILABLE, queue=queue.name)
            raise RetryLaterError(
                "The counts are too old to be told.", ResultCode.STORE_UNAVAILABLE
            )
        return counts.get(queue.name, 0)

    def _freshness(self) -> Freshness:
        longest = self.bounds.revocation * FRESH_SHARE
        if not self.bounds.strict_revocation:
            longest = math.inf
        return self.operator.freshness(boot_time(), longest)

    def _require_fresh(self):
        freshness = self._freshness()
        if freshness is Freshness.FRESH:
            return
        code = ResultCode.ACCOUNT_UNCONFIRMED
        if freshness is Freshness.UNKNOWN:
            code = ResultCode.NO_CONFIGURATION
        self._refused(code, freshness=freshness.value, version=self._version())
        raise RetryLaterError(f"The desired state is {freshness.value} here.", code)

    def _version(self) -> int:
        return self.operator.desired.version if self.operator.desired else 0

    def _refused(self, code: ResultCode, **fields):
        self.metrics.refused.add(1, {"code": code.name})
        age = boot_time() - self.operator.confirmed_at
        self.events.write_deduplicated(
            Event.REQUEST_REFUSED,
            code.name,
            code=int(code),
            age_s=round(age, 2) if math.isfinite(age) else None,
            **fields,
        )
