"""Retention of the outcomes of at-most-once requests, and a bound on their number."""

import asyncio
from collections import Counter

import msgspec

from zinniatrestle.clock import Clock
from zinniatrestle.errors import NotRunError, PlatformError, ResultCode
from zinniatrestle.ids import ClientAccountId, RowKey
from zinniatrestle.logs import ComponentLog
from zinniatrestle.requests.claims import CLAIM_PREFIX
from zinniatrestle.requests.messages import ClaimRow
from zinniatrestle.store.interfaces import TableService
from zinniatrestle.store.leases import Lease, LeaseOwnership
from zinniatrestle.store.messages import Check, Put, Row, Transaction

RETENTION_SECONDS = 72 * 3600.0
SWEEP_INTERVAL_SECONDS = 300.0
COUNTS_POLL_SECONDS = 30.0
# The sweep pauses between pages of rows to spread its load on the store.
PAGE_ROWS = 500
PAGE_PAUSE_SECONDS = 0.5
COUNTS_KEY = RowKey("claims/counts")

log = ComponentLog("claims")


class OutcomeRetention:
    """Delete outcomes after the retention period and bound them by account.

    An outcome is never deleted early to make room: that would free its key, and the
    request could run twice. Instead, new claims of the account are refused.

    One host, the holder of the lease, sweeps and publishes the counts; all hosts read
    them and add the claims that they have admitted since the counts last changed.
    """

    def __init__(self, table: TableService, lease: Lease, clock: Clock):
        self.table = table
        self.lease = lease
        self.clock = clock
        self.counts: dict[ClientAccountId, int] = {}
        self.claimed_since_read: Counter[ClientAccountId] = Counter()

    async def run(self):
        """Sweep while the lease is held and poll the counts, until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self.lease.maintain())
            group.create_task(self._run_sweeps())
            group.create_task(self._run_count_reads())

    def admit(self, account: ClientAccountId, limit: int):
        """Count a new claim; raises NotRunError if the account has too many."""
        if self.counts.get(account, 0) + self.claimed_since_read[account] >= limit:
            raise NotRunError(
                f"The account has its limit of {limit} outcomes; nothing was sent.",
                ResultCode.OUTCOMES_FULL,
            )
        self.claimed_since_read[account] += 1

    async def sweep(self):
        """Delete expired outcomes and publish the number left for each account."""
        counts: Counter[ClientAccountId] = Counter()
        after = RowKey("")
        cutoff = self.clock.wall() - RETENTION_SECONDS
        while True:
            rows = await self.table.scan(CLAIM_PREFIX, after, PAGE_ROWS)
            await self._delete_expired(rows, cutoff, counts)
            if len(rows) < PAGE_ROWS:
                break
            after = rows[-1].key
            await asyncio.sleep(PAGE_PAUSE_SECONDS)
        put = Put(COUNTS_KEY, msgspec.msgpack.encode(dict(counts)))
        await self.table.commit(Transaction(puts=[put]))

    async def read_counts(self):
        """Read the counts that were published last."""
        rows = await self.table.read([COUNTS_KEY])
        row = rows.get(COUNTS_KEY)
        if row is None:
            return
        counts = msgspec.msgpack.decode(row.value, type=dict[ClientAccountId, int])
        if counts != self.counts:
            self.counts = counts
            self.claimed_since_read.clear()

    async def _delete_expired(
        self, rows: list[Row], cutoff: float, counts: Counter[ClientAccountId]
    ):
        checks = []
        deletes = []
        for row in rows:
            claim = msgspec.msgpack.decode(row.value, type=ClaimRow)
            if claim.wall < cutoff:
                checks.append(Check(row.key, row.version))
                deletes.append(row.key)
                continue
            account = row.key[len(CLAIM_PREFIX) :].split("/", 1)[0]
            counts[ClientAccountId(account)] += 1
        if deletes:
            await self.table.commit(Transaction(checks=checks, deletes=deletes))

    async def _run_sweeps(self):
        while True:
            await asyncio.sleep(SWEEP_INTERVAL_SECONDS)
            if self.lease.ownership is not LeaseOwnership.HELD:
                continue
            try:
                await self.sweep()
            except PlatformError as error:
                log.warning("Sweep of expired outcomes failed: %s", error.detail)

    async def _run_count_reads(self):
        while True:
            try:
                await self.read_counts()
            except PlatformError as error:
                log.warning(
                    "Could not read outcome counts; using the previous ones: %s",
                    error.detail,
                )
            await asyncio.sleep(COUNTS_POLL_SECONDS)
