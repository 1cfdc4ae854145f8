"""Sending of requests to minions, with retries and hedging."""

import asyncio

import msgspec

from zinniatrestle.clock import Clock, monotonic
from zinniatrestle.configuration.messages import AccountPlan, RequestKind
from zinniatrestle.errors import NotRunError, ResultCode, UnknownOutcomeError
from zinniatrestle.ids import (
    AttemptId,
    MinionId,
    Revision,
    ServiceName,
    new_attempt_id,
)
from zinniatrestle.in_progress import InProgress
from zinniatrestle.requests.admission import FairQueue
from zinniatrestle.requests.budget import RetryBudget
from zinniatrestle.requests.latency import LatencyRecord
from zinniatrestle.requests.messages import Request
from zinniatrestle.upstreams import UpstreamPool, UpstreamTransport
from zinniatrestle.upstreams.messages import (
    AnswerLostError,
    DeclinedError,
    UpstreamAnswer,
    UpstreamRequest,
)
from zinniatrestle.upstreams.state import Minion

MAX_ATTEMPTS = 4
RETRY_PAUSE_SECONDS = 0.02
# A cancelled attempt that took longer than this multiple of the hedge delay counts
# as a failure of its minion.
HUNG_FACTOR = 2.0
# Share of its latency objective that a quick request may spend in the queue.
QUEUE_TIME_SHARE = 0.5
MS_PER_SECOND = 1000
# How long an at-most-once attempt may run on after the caller's deadline, since its
# outcome is still recorded for the key.
LATE_ANSWER_TIMEOUT_SECONDS = 60.0


class Admitted(msgspec.Struct, frozen=True):
    """An admitted request with its limits in time.

    `deadline` and `send_by` are in monotonic seconds, `start_by` is in wall-clock
    seconds, as minions compare it with their own clocks. Nothing is sent after
    `send_by`, so that a refusal still reaches the caller before `deadline`.
    """

    request: Request
    kind: RequestKind
    plan: AccountPlan
    incarnation: Revision
    deadline: float
    send_by: float
    start_by: float


class RequestSender:
    """Send admitted requests to minions."""

    def __init__(
        self,
        pool: UpstreamPool,
        transport: UpstreamTransport,
        in_progress: InProgress,
        clock: Clock,
        hedging: bool = True,
        limit_retries: bool = True,
    ):
        self.pool = pool
        self.transport = transport
        self.in_progress = in_progress
        self.clock = clock
        self.hedging = hedging
        self.limit_retries = limit_retries
        self.queues: dict[ServiceName, FairQueue] = {}
        self.budgets: dict[ServiceName, RetryBudget] = {}
        self.latencies: dict[tuple[ServiceName, str], LatencyRecord] = {}
        self.retries = 0
        self.hedges = 0

    def queue(self, service: ServiceName) -> FairQueue:
        """Return the queue in front of a service."""
        if service not in self.queues:
            self.queues[service] = FairQueue(lambda: self.pool.capacity(service))
        return self.queues[service]

    def budget(self, service: ServiceName) -> RetryBudget:
        """Return the retry budget of a service."""
        if service not in self.budgets:
            self.budgets[service] = RetryBudget()
        return self.budgets[service]

    def latency(self, kind: RequestKind) -> LatencyRecord:
        """Return the latency record of a kind of request."""
        key = (kind.service, kind.kind)
        # No setdefault: it would build a histogram, which is costly, for each request.
        if key not in self.latencies:
            self.latencies[key] = LatencyRecord()
        return self.latencies[key]

    async def send_once(self, admitted: Admitted, attempt: AttemptId) -> UpstreamAnswer:
        """Send an at-most-once request; try another minion only if one declined it."""
        tried: set[MinionId] = set()
        while True:
            try:
                minion = await self._acquire_slot(admitted, tried)
                tried.add(minion.address.minion)
                return await self._send_with_slot(
                    minion, admitted, attempt, LATE_ANSWER_TIMEOUT_SECONDS
                )
            except DeclinedError as declined:
                self._check_retry_time(admitted, declined)
                await asyncio.sleep(RETRY_PAUSE_SECONDS)

    async def send_repeatable(self, admitted: Admitted) -> UpstreamAnswer:
        """Send a repeatable request, with retries and hedging within the budget."""
        budget = self.budget(admitted.request.service)
        budget.deposit()
        tried: set[MinionId] = set()
        sent = False
        answer = None
        for _ in range(MAX_ATTEMPTS):
            try:
                answer = await self._send_hedged(admitted, tried)
                if not answer.failed:
                    return answer
                sent = True
            except DeclinedError as declined:
                self._check_retry_time(admitted, declined, sent)
                await asyncio.sleep(RETRY_PAUSE_SECONDS)
                continue
            except AnswerLostError:
                sent = True
            except NotRunError:
                if sent:
                    break
                raise
            if monotonic() >= admitted.send_by:
                break
            if self.limit_retries and not budget.withdraw():
                break
            self.retries += 1
        if answer is not None:
            return answer
        if not sent:
            raise NotRunError("Every minion that was tried declined the request.")
        raise UnknownOutcomeError(
            "The request was sent but its answer was lost; it may be repeated."
        )

    async def _send_hedged(
        self, admitted: Admitted, tried: set[MinionId]
    ) -> UpstreamAnswer:
        """Send an attempt, and a hedge if it takes longer than the hedge delay."""
        hedge_delay = self.latency(admitted.kind).hedge_delay()
        if not (self.hedging and admitted.kind.quick and hedge_delay is not None):
            return await self._send_to_next(admitted, tried)
        first = asyncio.create_task(self._send_to_next(admitted, tried))
        tasks = {first}
        try:
            done, _ = await asyncio.wait(tasks, timeout=hedge_delay)
            if not done and self.budget(admitted.request.service).withdraw():
                self.hedges += 1
                tasks.add(
                    asyncio.create_task(self._send_to_next(admitted, tried, False))
                )
            return await _first_success(tasks)
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)

    async def _send_to_next(
        self, admitted: Admitted, tried: set[MinionId], wait: bool = True
    ) -> UpstreamAnswer:
        minion = await self._acquire_slot(admitted, tried, wait)
        tried.add(minion.address.minion)
        return await self._send_with_slot(minion, admitted, new_attempt_id())

    async def _acquire_slot(
        self, admitted: Admitted, tried: set[MinionId], wait: bool = True
    ) -> Minion:
        """Wait for a slot of the account and choose a minion.

        With `wait` unset, raises NotRunError if no slot is free at once.
        """
        request = admitted.request
        queue = self.queue(request.service)
        await queue.acquire(
            request.account,
            admitted.plan.slot_share,
            self._queue_limit(admitted) if wait else 0,
            admitted.kind.quick,
            admitted.send_by,
        )
        minion = self.pool.choose(request.service, tried)
        if minion is None and tried:
            minion = self.pool.choose(request.service, ())
        if minion is None:
            queue.release(request.account)
            raise DeclinedError("No minion of the service accepts requests now.")
        return minion

    def _queue_limit(self, admitted: Admitted) -> int:
        """Return the maximum number of waiting requests of the account.

        For a quick request the queue is limited so that its expected time in the
        queue stays within QUEUE_TIME_SHARE of its latency objective. Requests that
        would be answered too late are refused at once, and the slots go to requests
        that can still meet their objective.
        """
        limit = admitted.plan.queue_limit
        objective = admitted.kind.objective
        median = self.latency(admitted.kind).median
        if not admitted.kind.quick or objective is None or not median:
            return limit
        request = admitted.request
        slots = self.queue(request.service).fair_slots(request.account)
        rounds = QUEUE_TIME_SHARE * objective.latency_ms / MS_PER_SECOND / median
        return min(limit, max(1, int(rounds * slots)))

    async def _send_with_slot(
        self,
        minion: Minion,
        admitted: Admitted,
        attempt: AttemptId,
        extra_seconds: float = 0.0,
    ) -> UpstreamAnswer:
        """Send one attempt to a minion whose slot is held; release the slot after it.

        The time-out is the time to the caller's deadline plus `extra_seconds`.
        """
        request = admitted.request
        name = minion.address.minion
        started_at = monotonic()
        upstream = UpstreamRequest(
            request.service,
            request.kind,
            request.account,
            admitted.incarnation,
            attempt,
            request.body,
            admitted.start_by,
            max(0.0, admitted.deadline - started_at) + extra_seconds,
        )
        try:
            self._check_may_start(admitted)
            self.in_progress.record_reached(request.account, name)
            answer = await self.transport.send(minion.address, upstream)
        except DeclinedError as declined:
            minion.record_declined()
            if declined.leaving:
                self.pool.mark_leaving(name)
            raise
        except AnswerLostError:
            self.pool.record_failure(minion)
            self._mark_abandoned(admitted)
            raise
        except asyncio.CancelledError:
            self._mark_abandoned(admitted)
            self._record_if_hung(minion, admitted, started_at)
            raise
        finally:
            self.pool.release(minion)
            self.queue(request.service).release(request.account)
        if answer.leaving:
            self.pool.mark_leaving(name)
        if answer.failed:
            self.pool.record_failure(minion)
            return answer
        minion.record_success()
        self.latency(admitted.kind).add(monotonic() - started_at)
        return answer

    def _mark_abandoned(self, admitted: Admitted):
        account = admitted.request.account
        self.in_progress.abandon(account, admitted.incarnation, admitted.start_by)

    def _record_if_hung(self, minion: Minion, admitted: Admitted, started_at: float):
        # The hedge wins against a hung minion and cancels its attempt, so without this
        # a hung minion would have no failures and never be ejected.
        hedge_delay = self.latency(admitted.kind).hedge_delay()
        if (
            hedge_delay is not None
            and monotonic() - started_at > HUNG_FACTOR * hedge_delay
        ):
            self.pool.record_failure(minion)

    def _check_may_start(self, admitted: Admitted):
        """Check right before sending that the request may still start."""
        if self.clock.wall() > admitted.start_by:
            raise NotRunError(
                "The configuration was not confirmed before the request could be sent.",
                ResultCode.ACCOUNT_UNCONFIRMED,
            )
        if monotonic() >= admitted.send_by:
            raise NotRunError(
                "The deadline passed before anything was sent.",
                ResultCode.DEADLINE_PASSED,
            )

    def _check_retry_time(
        self, admitted: Admitted, declined: DeclinedError, sent: bool = False
    ):
        if monotonic() + RETRY_PAUSE_SECONDS < admitted.send_by or sent:
            return
        raise NotRunError(declined.detail, ResultCode.NO_UPSTREAM) from declined


async def _first_success(tasks: set[asyncio.Task]) -> UpstreamAnswer:
    """Return the first success, or else the most severe outcome of all attempts."""
    pending = set(tasks)
    while pending:
        done, pending = await asyncio.wait(pending, return_when=asyncio.FIRST_COMPLETED)
        for task in done:
            if task.exception() is None and not task.result().failed:
                return task.result()
    return most_severe_outcome(tasks)


def most_severe_outcome(tasks: set[asyncio.Task]) -> UpstreamAnswer:
    """Return a failed answer if there is one, or else raise an attempt's error.

    A lost answer outweighs a refusal: the request may have run, so it must not be
    reported as not run.
    """
    for task in tasks:
        if task.exception() is None:
            return task.result()
    for task in tasks:
        if isinstance(task.exception(), AnswerLostError):
            raise task.exception()
    raise next(iter(tasks)).exception()
