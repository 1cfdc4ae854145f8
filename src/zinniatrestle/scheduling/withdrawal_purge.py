"""Remove the marks of cancelled jobs once no acceptance needs to see them."""

import asyncio

from zinniatrestle.clock import boot_time
from zinniatrestle.errors import MalformedInputError, PlatformError
from zinniatrestle.events import Event, RejectionLog
from zinniatrestle.ids import BootSeconds, RowName, RowVersion
from zinniatrestle.jobs.withdrawals import WITHDRAWALS, begin_epoch, decode_withdrawal
from zinniatrestle.rows import Expect, StoredRow, Write
from zinniatrestle.scheduling.context import SchedulerContext

# The store accepts 100 entries in a transaction; a removal takes two, the fence one.
MAX_REMOVALS = 48
# Share of the retention after which the marks are looked through again.
INTERVAL_SHARE = 0.1
WRITE_TIMEOUT_SECONDS = 1.0
MS_PER_SECOND = 1000.0


class WithdrawalPurge:
    """Remove marks after the retention, under a new epoch of the intake."""

    def __init__(self, context: SchedulerContext):
        self.context = context
        self.store = context.store
        self.retention = context.deployment.bounds.status_retention
        self.rejections = RejectionLog(context.events, f"table {WITHDRAWALS}")
        # Since when marks are known whose time can't be read.
        self.damaged: dict[tuple[RowName, RowVersion], BootSeconds] = {}

    async def run(self):
        """Remove marks from time to time, until cancelled."""
        while True:
            await asyncio.sleep(self.retention * INTERVAL_SHARE)
            try:
                await self._purge()
            except PlatformError as error:
                # What is left is removed at the next interval.
                self.context.events.write_deduplicated(
                    Event.DEPENDENCY_LOST,
                    error.detail,
                    dependency=f"table {WITHDRAWALS}",
                )

    async def _purge(self):
        page = await self.store.all_rows(WITHDRAWALS)
        self.context.metrics.withdrawals_stored = len(page.rows)
        expired = [row for row in page.rows if self._has_expired(row)]
        present = {(row.name, row.version) for row in page.rows}
        for row_version in self.damaged.keys() - present:
            del self.damaged[row_version]
        if not expired:
            return
        fence = self.context.leadership.fence_expectation()
        # An acceptance from before a mark's removal must not be applied after it.
        await begin_epoch(self.store, fence, WRITE_TIMEOUT_SECONDS)
        removed = 0
        for first in range(0, len(expired), MAX_REMOVALS):
            rows = expired[first : first + MAX_REMOVALS]
            expects = [Expect(WITHDRAWALS, row.name, row.version) for row in rows]
            writes = [Write(WITHDRAWALS, row.name, None) for row in rows]
            result = await self.store.transact(
                [fence, *expects], writes, WRITE_TIMEOUT_SECONDS
            )
            if result.applied:
                removed += len(rows)
        self.context.metrics.withdrawals_stored -= removed
        self.context.events.write(
            Event.WITHDRAWALS_PURGED, removed=removed, stored=len(page.rows) - removed
        )

    def _has_expired(self, row: StoredRow) -> bool:
        now = boot_time()
        try:
            withdrawal = decode_withdrawal(row.value)
        except MalformedInputError as error:
            self.rejections.reject(row.name, error.detail)
            known_at = self.damaged.setdefault((row.name, row.version), now)
            return now - known_at > self.retention
        age_ms = self.store.clock.earliest(now) - withdrawal.at
        return age_ms > self.retention * MS_PER_SECOND
