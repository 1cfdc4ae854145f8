"""Keep the outcomes of at-most-once requests for a time, and bound their number."""

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
SWEEP_SECONDS = 300.0
READ_SECONDS = 30.0
PAGE_ROWS = 500
PAGE_PAUSE_SECONDS = 0.5
COUNTS_KEY = RowKey("claims/counts")

log = ComponentLog("claims")


class OutcomeRetention:
    """Delete outcomes past their time and refuse accounts that have too many.

    An outcome is never dropped early to make room: that would open its key, and
    the request could run twice.
    """

    def __init__(self, table: TableService, lease: Lease, clock: Clock):
        self.table = table
        self.lease = lease
        self.clock = clock
        self.counts: dict[ClientAccountId, int] = {}
        self.claimed: Counter[ClientAccountId] = Counter()

    async def run(self):
        """Sweep under the lease and read the counts, until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self.lease.maintain())
            group.create_task(self._run_sweeps())
            group.create_task(self._run_reads())

    def admit(self, account: ClientAccountId, limit: int):
        """Count a claim in; raises NotRunError when the account has too many."""
        if self.counts.get(account, 0) + self.claimed[account] >= limit:
            raise NotRunError(
                f"The account has {limit} outcomes kept; nothing was sent.",
                ResultCode.OUTCOMES_FULL,
            )
        self.claimed[account] += 1

    async def sweep(self):
        """Delete what is past its time and publish how many outcomes are left."""
        counts: Counter[ClientAccountId] = Counter()
        after = RowKey("")
        oldest = self.clock.wall() - RETENTION_SECONDS
        while True:
            rows = await self.table.scan(CLAIM_PREFIX, after, PAGE_ROWS)
            await self._drop_old(rows, oldest, counts)
            if len(rows) < PAGE_ROWS:
                break
            after = rows[-1].key
            await asyncio.sleep(PAGE_PAUSE_SECONDS)
        put = Put(COUNTS_KEY, msgspec.msgpack.encode(dict(counts)))
        await self.table.commit(Transaction(puts=[put]))

    async def read_counts(self):
        """Take in the counts that were last published."""
        rows = await self.table.read([COUNTS_KEY])
        row = rows.get(COUNTS_KEY)
        if row is None:
            return
        counts = msgspec.msgpack.decode(row.value, type=dict[ClientAccountId, int])
        if counts != self.counts:
            self.counts = counts
            self.claimed.clear()

    async def _drop_old(
        self, rows: list[Row], oldest: float, counts: Counter[ClientAccountId]
    ):
        checks = []
        deletes = []
        for row in rows:
            claim = msgspec.msgpack.decode(row.value, type=ClaimRow)
            if claim.wall < oldest:
                checks.append(Check(row.key, row.version))
                deletes.append(row.key)
                continue
            account = row.key[len(CLAIM_PREFIX) :].split("/", 1)[0]
            counts[ClientAccountId(account)] += 1
        if deletes:
            await self.table.commit(Transaction(checks=checks, deletes=deletes))

    async def _run_sweeps(self):
        while True:
            await asyncio.sleep(SWEEP_SECONDS)
            if self.lease.ownership is not LeaseOwnership.HELD:
                continue
            try:
                await self.sweep()
            except PlatformError as error:
                log.warning("No sweep of outcomes: %s", error.detail)

    async def _run_reads(self):
        while True:
            try:
                await self.read_counts()
            except PlatformError as error:
                log.warning("The counts of outcomes are old: %s", error.detail)
            await asyncio.sleep(READ_SECONDS)
