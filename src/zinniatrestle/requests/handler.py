"""Handling of requests from admission to the answer."""

import asyncio
from abc import ABC, abstractmethod

import msgspec
import xxhash

from zinniatrestle.burn import BurnRecorder
from zinniatrestle.clock import Clock, monotonic
from zinniatrestle.configuration import ConfigurationFollower
from zinniatrestle.configuration.messages import (
    AccountPlan,
    AccountState,
    DomainState,
    RequestKind,
    Semantics,
)
from zinniatrestle.errors import (
    KeyReusedError,
    NotRunError,
    PlatformError,
    RequestError,
    ResultCode,
    StoreUncertainError,
    UnknownOutcomeError,
    ZinniatrestleError,
)
from zinniatrestle.ids import FailureDomainId, HostId, RowKey, new_attempt_id
from zinniatrestle.logs import ComponentLog
from zinniatrestle.requests.claims import ClaimStore, claim_key
from zinniatrestle.requests.messages import (
    Answer,
    ClaimRow,
    ClaimState,
    KeyState,
    Request,
)
from zinniatrestle.requests.retention import OutcomeRetention
from zinniatrestle.requests.sending import Admitted, RequestSender
from zinniatrestle.upstreams.messages import AnswerLostError, UpstreamAnswer

# How long an answer waits until its outcome is recorded.
RECORD_TIMEOUT_SECONDS = 0.25
CLAIM_TIMEOUT_SECONDS = 1.0
# Share of a request's time-out that is left for a refusal to reach the caller.
ANSWER_MARGIN_SHARE = 0.2
MAX_ANSWER_MARGIN_SECONDS = 0.4
# Backoff between reads of a claim that another attempt holds.
FIRST_POLL_SECONDS = 0.05
MAX_POLL_SECONDS = 1.0

log = ComponentLog("requests")


class RequestForwarder(ABC):
    """Forward requests to another failure domain when this one can't serve them."""

    @abstractmethod
    async def forward(self, request: Request) -> Answer | None:
        """Return another domain's answer, or None if nothing was sent."""


class NoForwarder(RequestForwarder):
    """A forwarder that never forwards."""

    async def forward(self, request: Request) -> Answer | None:
        """Return None, as nothing is sent."""
        return None


class InFlightRequest:
    """An at-most-once request that this host is running."""

    def __init__(self, fingerprint: str, task: asyncio.Task):
        self.fingerprint = fingerprint
        self.task = task


class RequestHandler:
    """Check, claim, send and answer requests on one host."""

    def __init__(
        self,
        host: HostId,
        domain: FailureDomainId,
        follower: ConfigurationFollower,
        claims: ClaimStore,
        outcomes: OutcomeRetention,
        sender: RequestSender,
        forwarder: RequestForwarder,
        burn: BurnRecorder,
        clock: Clock,
    ):
        self.host = host
        self.domain = domain
        self.follower = follower
        self.claims = claims
        self.outcomes = outcomes
        self.sender = sender
        self.forwarder = forwarder
        self.burn = burn
        self.clock = clock
        self.in_flight: dict[RowKey, InFlightRequest] = {}
        self.background: set[asyncio.Task] = set()

    async def handle(self, request: Request, forwarded: bool = False) -> Answer:
        """Return the answer to a request.

        Refusals, failures and unknown outcomes are answers, not exceptions.
        """
        started_at = monotonic()
        try:
            answer = await self._admit(request, forwarded, started_at)
        except ZinniatrestleError as error:
            answer = _answer_of_error(error)
        self.burn.record(
            request.account,
            request.service,
            request.kind,
            answer.code is ResultCode.OK,
            monotonic() - started_at,
        )
        return answer

    async def drain(self):
        """Wait until the outcomes that are written in the background are recorded."""
        while self.background:
            await asyncio.wait(set(self.background))

    async def _admit(
        self, request: Request, forwarded: bool, started_at: float
    ) -> Answer:
        admitted = self._check(request, started_at)
        incarnation_key = (request.account, admitted.incarnation)
        self.sender.in_progress.enter(*incarnation_key)
        try:
            if self._must_forward(request):
                return await self._forward(request, forwarded)
            if admitted.kind.semantics is Semantics.REPEATABLE:
                return _answer_of_upstream(await self.sender.send_repeatable(admitted))
            return await self._handle_at_most_once(admitted)
        finally:
            self.sender.in_progress.leave(*incarnation_key)

    def _check(self, request: Request, started_at: float) -> Admitted:
        """Check a request against the configuration; raises NotRunError."""
        state = self.follower.require()
        record = state.accounts.get(request.account)
        if record is None or record.state is not AccountState.ACTIVE:
            raise NotRunError(
                f"Client account {request.account} is retired.",
                ResultCode.ACCOUNT_RETIRED,
            )
        plan = state.plans[request.account]
        kind = _permitted_kind(plan, request)
        now = self.clock.wall()
        confirmed_until = self.follower.confirmed_wall + plan.offline_grace_seconds
        if now > confirmed_until:
            raise NotRunError(
                "The configuration has not been confirmed for longer than the "
                "account's offline_grace_seconds.",
                ResultCode.ACCOUNT_UNCONFIRMED,
            )
        self._check_key(request, kind)
        return Admitted(
            request,
            kind,
            plan,
            record.incarnation,
            deadline=started_at + request.timeout,
            send_by=started_at + request.timeout - _answer_margin(request.timeout),
            start_by=min(confirmed_until, now + request.timeout),
        )

    def _check_key(self, request: Request, kind: RequestKind):
        if kind.semantics is Semantics.AT_MOST_ONCE and request.key is None:
            raise NotRunError(
                f"Requests of kind {request.kind} need an Idempotency-Key header.",
                ResultCode.KEY_REQUIRED,
            )

    def _must_forward(self, request: Request) -> bool:
        if self.follower.state.domain_state(self.domain) is DomainState.OUT:
            return True
        return self.sender.pool.capacity(request.service) == 0

    async def _forward(self, request: Request, forwarded: bool) -> Answer:
        answer = None
        if not forwarded:
            answer = await self.forwarder.forward(request)
        if answer is None:
            raise NotRunError(
                f"No failure domain can serve {request.service} now; retry later.",
                ResultCode.NO_UPSTREAM,
            )
        return answer

    async def _handle_at_most_once(self, admitted: Admitted) -> Answer:
        """Wait for a run of the same key on this host, or claim the key and run."""
        request = admitted.request
        key = claim_key(request.account, request.key)
        fingerprint = xxhash.xxh3_128_hexdigest(
            f"{request.service}/{request.kind}/".encode() + request.body
        )
        row = ClaimRow(
            attempt=new_attempt_id(),
            host=self.host,
            incarnation=admitted.incarnation,
            fingerprint=fingerprint,
            state=ClaimState.CLAIMED,
            wall=self.clock.wall(),
        )
        in_flight = self.in_flight.get(key)
        if in_flight is not None and in_flight.fingerprint != fingerprint:
            raise _key_reused()
        if in_flight is None:
            self.outcomes.admit(request.account, admitted.plan.outcomes_limit)
            in_flight = self._start_run(key, row, admitted)
        remaining = admitted.deadline - monotonic()
        done, _ = await asyncio.wait({in_flight.task}, timeout=max(0.0, remaining))
        if done:
            return in_flight.task.result()
        raise UnknownOutcomeError(
            "The request is still running; repeat it with the same key for its answer."
        )

    def _start_run(
        self, key: RowKey, row: ClaimRow, admitted: Admitted
    ) -> "InFlightRequest":
        """Start a run in a task of its own.

        The run goes on if its caller disconnects: a cancelled run would leave a claim
        whose outcome is never recorded.
        """
        task = asyncio.create_task(self._run_in_progress(key, row, admitted))
        in_flight = InFlightRequest(row.fingerprint, task)
        self.in_flight[key] = in_flight
        self._track(task)
        task.add_done_callback(lambda _: self.in_flight.pop(key, None))
        return in_flight

    async def _run_in_progress(
        self, key: RowKey, row: ClaimRow, admitted: Admitted
    ) -> Answer:
        incarnation_key = (admitted.request.account, admitted.incarnation)
        self.sender.in_progress.enter(*incarnation_key)
        try:
            return await self._claim_and_run(key, row, admitted)
        finally:
            self.sender.in_progress.leave(*incarnation_key)

    async def _claim_and_run(
        self, key: RowKey, row: ClaimRow, admitted: Admitted
    ) -> Answer:
        holder = await self._claim(key, row, admitted)
        if holder.attempt != row.attempt:
            return await self._wait_for_holder(key, row, admitted)
        try:
            answer = await self.sender.send_once(admitted, row.attempt)
        except NotRunError as error:
            void = msgspec.structs.replace(
                row, state=ClaimState.VOID, status=error.code, detail=error.detail
            )
            await self._record(key, void)
            return _answer_of_row(void, repeated=False)
        except AnswerLostError as error:
            # The claim is left as it is, so that no host runs this key again.
            raise UnknownOutcomeError(
                "The request was sent but its answer was lost; the key is never run "
                "again."
            ) from error
        done = msgspec.structs.replace(
            row,
            state=ClaimState.DONE,
            status=answer.status,
            body=answer.body,
            content_type=answer.content_type,
        )
        await self._record(key, done)
        return _answer_of_row(done, repeated=False)

    async def _claim(self, key: RowKey, row: ClaimRow, admitted: Admitted) -> ClaimRow:
        """Claim a key before any byte is sent to a minion.

        Raises NotRunError after CLAIM_TIMEOUT_SECONDS if the store does not answer.
        """
        timeout = min(CLAIM_TIMEOUT_SECONDS, admitted.deadline - monotonic())
        try:
            async with asyncio.timeout(max(0.0, timeout)):
                return await self.claims.claim(key, row)
        except (TimeoutError, StoreUncertainError) as error:
            # The claim may have been written although nothing was sent: close the key.
            void = msgspec.structs.replace(
                row,
                state=ClaimState.VOID,
                status=ResultCode.CLAIMS_UNAVAILABLE,
                detail="The claim could not be confirmed; nothing was sent.",
            )
            self._track(asyncio.create_task(self.claims.void(key, void)))
            raise NotRunError(void.detail, ResultCode.CLAIMS_UNAVAILABLE) from error
        except PlatformError as error:
            raise NotRunError(
                "The claim could not be written to the store; nothing was sent.",
                ResultCode.CLAIMS_UNAVAILABLE,
            ) from error

    async def _wait_for_holder(
        self, key: RowKey, row: ClaimRow, admitted: Admitted
    ) -> Answer:
        """Poll the claim until the attempt that holds the key has an outcome."""
        pause = FIRST_POLL_SECONDS
        while True:
            holder = await self._read_claim(key)
            if holder is not None and holder.fingerprint != row.fingerprint:
                raise _key_reused()
            if holder is not None and holder.state is not ClaimState.CLAIMED:
                return _answer_of_row(holder, repeated=True)
            if monotonic() + pause >= admitted.deadline:
                raise UnknownOutcomeError(
                    "Another attempt holds the key and has no outcome yet; the key is "
                    "never run again."
                )
            await asyncio.sleep(pause)
            pause = min(2 * pause, MAX_POLL_SECONDS)

    async def _read_claim(self, key: RowKey) -> ClaimRow | None:
        try:
            return await self.claims.read(key)
        except PlatformError:
            return None

    async def _record(self, key: RowKey, row: ClaimRow):
        """Record an outcome, waiting up to RECORD_TIMEOUT_SECONDS.

        If the store is slower, the caller is answered first and the outcome is
        recorded in the background.
        """
        record = asyncio.create_task(self.claims.record(key, row))
        self._track(record)
        await asyncio.wait({record}, timeout=RECORD_TIMEOUT_SECONDS)

    def _track(self, task: asyncio.Task):
        self.background.add(task)
        task.add_done_callback(self._untrack)

    def _untrack(self, task: asyncio.Task):
        self.background.discard(task)
        if task.cancelled() or task.exception() is None:
            return
        if not isinstance(task.exception(), RequestError):
            log.error(
                "Unexpected error in a background task of a request: %r",
                task.exception(),
            )


def _answer_margin(timeout: float) -> float:
    return min(MAX_ANSWER_MARGIN_SECONDS, ANSWER_MARGIN_SHARE * timeout)


def _key_reused() -> KeyReusedError:
    return KeyReusedError(
        "The idempotency key was used for a different request; use a new key."
    )


def _permitted_kind(plan: AccountPlan, request: Request) -> RequestKind:
    for kind in plan.kinds:
        if kind.service == request.service and kind.kind == request.kind:
            return kind
    raise NotRunError(
        f"The account's plan has no kind {request.kind} of {request.service}.",
        ResultCode.KIND_NOT_PERMITTED,
    )


def _answer_of_upstream(answer: UpstreamAnswer) -> Answer:
    code = ResultCode.UPSTREAM_FAILED if answer.failed else ResultCode.OK
    return Answer(
        code=code,
        status=answer.status,
        body=answer.body,
        content_type=answer.content_type,
    )


def _answer_of_row(row: ClaimRow, repeated: bool) -> Answer:
    if row.state is ClaimState.VOID:
        return Answer(
            code=ResultCode(row.status),
            detail=row.detail,
            key_state=KeyState.CLOSED,
            repeated=repeated,
        )
    answer = _answer_of_upstream(UpstreamAnswer(row.status, row.body, row.content_type))
    return msgspec.structs.replace(answer, key_state=KeyState.CLOSED, repeated=repeated)


def _answer_of_error(error: ZinniatrestleError) -> Answer:
    key_state = KeyState.FREE
    if isinstance(error, (UnknownOutcomeError, AnswerLostError)):
        key_state = KeyState.OPEN
    return Answer(code=error.code, detail=error.detail, key_state=key_state)
