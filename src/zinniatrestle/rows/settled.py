"""Transactions whose lost answers are settled by reading back."""

import asyncio
import math

from zinniatrestle.clock import monotonic
from zinniatrestle.errors import StoreUnavailableError, StoreUncertainError
from zinniatrestle.rows.interfaces import RowStore
from zinniatrestle.rows.messages import Expect, Outcome, TransactionResult, Write

# s; the pause before a call that failed is repeated.
RETRY_SECONDS = 0.1
# s; what is left of the time below which it counts as over.
TIMER_SECONDS = 0.001
# s; the longest wait for one answer, several times that of a slow store.
CALL_SECONDS = 2.0


async def transact_settled(
    store: RowStore,
    expects: list[Expect],
    writes: list[Write],
    give_up_at: float,
    call_seconds: float = CALL_SECONDS,
    refuse_seconds: float = math.inf,
) -> TransactionResult:
    """Repeat a transaction until its fate is known or the loop's time is up.

    Calls that were surely not done are repeated for `refuse_seconds` at most.

    Raises StoreUnavailableError when it surely did not and will not apply, and
    StoreUncertainError when its fate is unknown. At least one of the expected rows
    must be among those written, so that the transaction can't apply twice.
    """
    uncertain = False
    refuse_at = monotonic() + refuse_seconds
    while True:
        left = give_up_at - monotonic()
        if left < TIMER_SECONDS:
            if uncertain:
                raise StoreUncertainError("The store's answer was lost.")
            raise StoreUnavailableError("The store does not answer.")
        try:
            result = await store.transact(expects, writes, min(left, call_seconds))
        except StoreUncertainError:
            uncertain = True
            continue
        except StoreUnavailableError:
            if not uncertain and monotonic() >= refuse_at:
                raise
            await asyncio.sleep(min(RETRY_SECONDS, max(0.0, left)))
            continue
        if result.applied or not uncertain:
            return result
        if _was_applied(result, writes):
            return TransactionResult(Outcome.APPLIED, _version(result, writes), {})
        return result


def _was_applied(result: TransactionResult, writes: list[Write]) -> bool:
    """Tell whether the current rows are the ones that an earlier try wrote."""
    compared = 0
    for write in writes:
        row = result.current.get((write.table, write.name))
        if row is None:
            continue
        if row.value != write.value:
            return False
        compared += 1
    return compared > 0


def _version(result: TransactionResult, writes: list[Write]):
    versions = []
    for write in writes:
        row = result.current.get((write.table, write.name))
        if row is not None:
            versions.append(row.version)
    return max(versions)
