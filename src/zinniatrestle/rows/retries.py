"""Transactions whose lost or late answers are settled by trying again beside them."""

import asyncio
import math

from zinniatrestle.clock import monotonic
from zinniatrestle.errors import StoreUnavailableError, StoreUncertainError
from zinniatrestle.rows.interfaces import RowStore
from zinniatrestle.rows.messages import Expect, Outcome, TransactionResult, Write

# s; the pause before a call that was surely not done is repeated.
RETRY_SECONDS = 0.1
# s; what is left of the time below which it counts as over.
TIMER_RESOLUTION_SECONDS = 0.001
# s; the longest wait for one answer, several times that of a slow store.
CALL_TIMEOUT_SECONDS = 2.0
# s; a try that has no answer yet gets another one beside it, since its connection may
# have gone silent; some twenty times what a transaction takes.
HEDGE_DELAY_SECONDS = 0.4
# s; how long after the time is up tries may take to tell what became of them.
GRACE_SECONDS = 0.05
# Tries that may be under way at once.
MAX_CONCURRENT_TRIES = 3


async def transact_with_retries(
    store: RowStore,
    expects: list[Expect],
    writes: list[Write],
    give_up_at: float,
    max_refusal_seconds: float = math.inf,
) -> TransactionResult:
    """Repeat a transaction until its fate is known or the loop's time is up.

    Calls that were surely not done are repeated for `max_refusal_seconds` at most.

    Raises StoreUnavailableError when it surely did not and will not apply, and
    StoreUncertainError when its fate is unknown. At least one of the expected rows
    must be among those written, so that the transaction can't apply twice.
    """
    settling = RetriedTransaction(
        store, expects, writes, give_up_at, max_refusal_seconds
    )
    return await settling.run()


class RetriedTransaction:
    """One transaction in several tries, some of them beside each other."""

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
        self.refuse_at = now + max_refusal_seconds
        self.next_try_at = now
        self.tries: set[asyncio.Task] = set()
        # An earlier try may have applied, or may yet.
        self.uncertain = False
        self.was_refused = False

    async def run(self) -> TransactionResult:
        """Return the result; raises as transact_with_retries does."""
        try:
            while True:
                self._give_up_if_late()
                self._start_try_if_due()
                done = await self._wait()
                results = [self._handle_result(ended) for ended in done]
                for result in results:
                    if result is not None:
                        return result
        finally:
            for running in self.tries:
                running.cancel()
            await asyncio.gather(*self.tries, return_exceptions=True)

    @property
    def may_have_applied(self) -> bool:
        """Tell whether a try may have applied, or may yet."""
        return self.uncertain or bool(self.tries)

    def _give_up_if_late(self):
        late = monotonic() - self.give_up_at
        if not self.may_have_applied and self._is_refused():
            raise StoreUnavailableError("The store turns this host away.")
        if late < -TIMER_RESOLUTION_SECONDS or (self.tries and late < GRACE_SECONDS):
            # Tries end by then and tell whether they may have applied.
            return
        if self.may_have_applied:
            raise StoreUncertainError("The store's answer was lost.")
        raise StoreUnavailableError("The store does not answer.")

    def _is_refused(self) -> bool:
        """Tell whether tries have been turned away for as long as is waited for."""
        return self.was_refused and monotonic() >= self.refuse_at

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
        """Wait until a try ends, the next one is due, or the time is up."""
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

    def _handle_result(self, ended: asyncio.Task) -> TransactionResult | None:
        """Take what became of a try; return the result if it settles the matter."""
        try:
            result = ended.result()
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
        # Versions only rise, so no other try can apply any more.
        return result

    def _was_applied(self, result: TransactionResult) -> bool:
        """Tell whether the current rows are the ones that an earlier try wrote."""
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
