"""Transactions with retries and hedged tries, which settle lost or late answers."""

import asyncio
import math

from zinniatrestle.clock import monotonic
from zinniatrestle.errors import StoreUnavailableError, StoreUncertainError
from zinniatrestle.rows.interfaces import RowStore
from zinniatrestle.rows.messages import Expect, Outcome, TransactionResult, Write

# Pause before a call that certainly had no effect is repeated.
RETRY_SECONDS = 0.1
# Less remaining time than this counts as none.
TIMER_RESOLUTION_SECONDS = 0.001
# Timeout of one try: several times the latency of a slow store.
CALL_TIMEOUT_SECONDS = 2.0
# A try without an answer is hedged by another one after this time, since its connection
# may be dead. It is some twenty times the latency of a transaction.
HEDGE_DELAY_SECONDS = 0.4
# Time after the deadline in which the tries in flight may still report their outcome.
GRACE_SECONDS = 0.05
# Bound on the tries in flight: with fewer, a few lost answers in a row use up the time
# that the holder of a lease has.
MAX_CONCURRENT_TRIES = 5


async def transact_with_retries(
    store: RowStore,
    expects: list[Expect],
    writes: list[Write],
    give_up_at: float,
    max_refusal_seconds: float = math.inf,
) -> TransactionResult:
    """Repeat a transaction until its outcome is known or `give_up_at` is reached.

    `give_up_at` is a time of the monotonic clock. Calls that certainly had no effect
    are repeated for at most `max_refusal_seconds`. At least one of the expected rows
    must be among those written, so that the transaction can't apply twice.

    Raises StoreUnavailableError if the transaction certainly did not and will not
    apply, and StoreUncertainError if its outcome is unknown.
    """
    transaction = RetriedTransaction(
        store, expects, writes, give_up_at, max_refusal_seconds
    )
    return await transaction.run()


class RetriedTransaction:
    """One transaction and its tries, some of which may be in flight concurrently."""

    def __init__(
        self,
        store: RowStore,
        expects: list[Expect],
        writes: list[Write],
        give_up_at: float,
        max_refusal_seconds: float,
    ):
        self.store = store
        self.expects = expects
        self.writes = writes
        self.give_up_at = give_up_at
        now = monotonic()
        self.stop_refused_at = now + max_refusal_seconds
        self.next_try_at = now
        self.tries: set[asyncio.Task] = set()
        # An earlier try may have applied, or may still apply.
        self.uncertain = False
        self.was_refused = False

    async def run(self) -> TransactionResult:
        """Return the result, or raise as transact_with_retries does."""
        try:
            while True:
                self._give_up_if_late()
                self._start_try_if_due()
                done = await self._wait()
                results = [self._handle_result(finished) for finished in done]
                for result in results:
                    if result is not None:
                        return result
        finally:
            for running in self.tries:
                running.cancel()
            await asyncio.gather(*self.tries, return_exceptions=True)

    @property
    def may_have_applied(self) -> bool:
        """Return whether a try may have applied, or may still apply."""
        return self.uncertain or bool(self.tries)

    def _give_up_if_late(self):
        late = monotonic() - self.give_up_at
        if not self.may_have_applied and self._refused_too_long():
            raise StoreUnavailableError(
                "The store refused every try of the transaction."
            )
        if late < -TIMER_RESOLUTION_SECONDS or (self.tries and late < GRACE_SECONDS):
            # The tries in flight end by then and show whether they may have applied.
            return
        if self.may_have_applied:
            raise StoreUncertainError("The store's answer to the transaction was lost.")
        raise StoreUnavailableError("The store did not accept the transaction in time.")

    def _refused_too_long(self) -> bool:
        """Return whether tries were refused and may no longer be repeated."""
        return self.was_refused and monotonic() >= self.stop_refused_at

    def _start_try_if_due(self):
        now = monotonic()
        seconds = min(self.give_up_at - now, CALL_TIMEOUT_SECONDS)
        if len(self.tries) >= MAX_CONCURRENT_TRIES or now < self.next_try_at:
            return
        if seconds < TIMER_RESOLUTION_SECONDS:
            return
        call = self.store.transact(self.expects, self.writes, seconds)
        self.tries.add(asyncio.create_task(call))
        self.next_try_at = now + HEDGE_DELAY_SECONDS

    async def _wait(self) -> set[asyncio.Task]:
        """Wait until a try ends, the next one is due, or the deadline is reached."""
        until = self.give_up_at
        if monotonic() > until - TIMER_RESOLUTION_SECONDS:
            until += GRACE_SECONDS
        elif len(self.tries) < MAX_CONCURRENT_TRIES:
            until = min(until, self.next_try_at)
        seconds = max(until - monotonic(), TIMER_RESOLUTION_SECONDS)
        if not self.tries:
            await asyncio.sleep(seconds)
            return set()
        done, self.tries = await asyncio.wait(
            self.tries, timeout=seconds, return_when=asyncio.FIRST_COMPLETED
        )
        return done

    def _handle_result(self, finished: asyncio.Task) -> TransactionResult | None:
        """Handle a finished try; return its result if that settles the transaction."""
        try:
            result = finished.result()
        except StoreUncertainError:
            self.uncertain = True
            self.next_try_at = monotonic()
            return None
        except StoreUnavailableError:
            self.was_refused = True
            self.next_try_at = monotonic() + RETRY_SECONDS
            return None
        if result.applied or not self.may_have_applied:
            return result
        if self._was_applied(result):
            version = self._written_version(result)
            return TransactionResult(Outcome.APPLIED, version, {})
        # Versions only increase, so no other try can apply any more.
        return result

    def _was_applied(self, result: TransactionResult) -> bool:
        """Return whether the current rows are those that an earlier try wrote."""
        compared = 0
        for write in self.writes:
            row = result.current.get((write.table, write.name))
            if row is None:
                continue
            if row.value != write.value:
                return False
            compared += 1
        return compared > 0

    def _written_version(self, result: TransactionResult):
        versions = []
        for write in self.writes:
            row = result.current.get((write.table, write.name))
            if row is not None:
                versions.append(row.version)
        return max(versions)
