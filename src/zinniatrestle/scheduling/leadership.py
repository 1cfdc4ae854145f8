"""The lease by which one host at a time schedules, and its generation number."""

import asyncio
from enum import Enum

import msgspec

from zinniatrestle.clock import boot_time, event_within, monotonic
from zinniatrestle.deployment import Deployment
from zinniatrestle.errors import (
    HistoryLostError,
    LeaseLostError,
    StoreUnavailableError,
    StoreUncertainError,
)
from zinniatrestle.events import Event, EventLog
from zinniatrestle.ids import (
    BootSeconds,
    Generation,
    HostId,
    QueueName,
    RowName,
    RowVersion,
    TableName,
)
from zinniatrestle.rows import ABSENT, Expect, RowStore, Write
from zinniatrestle.rows.settled import transact_settled
from zinniatrestle.scheduling.messages import LearnedTimes, LeaseRecord

LEASES = TableName("leases")
LEASE_ROW = RowName("scheduler")
# Written only when the holder changes, so that each of the holder's transactions can
# expect the version it has had since.
FENCE_ROW = RowName("fence")
# Share of the deployment's bound on leases: the shorter, the sooner a successor comes.
LEASE_SHARE = 0.75
# Renewals in the time of one lease, so that two may fail.
RENEWALS = 3
# Share of the lease that the holder leaves unused, for clocks and for orders under way.
MARGIN = 0.1
# Share of the longest hold for which a holder goes on holding workers after its lease
# ran out, as in an outage of the store; a successor has to wait for it.
HOLD_ON_SHARE = 0.2
# s; the pause after a failed call.
RETRY_SECONDS = 0.2
MILLISECONDS = 1000.0


class Standing(Enum):
    """What a host may do as to scheduling."""

    FOLLOWER = "follower"
    HOLDER = "holder"
    # Nobody is known to have taken over, but the lease was not renewed in time.
    SUSPENDED = "suspended"


class Leadership:
    """Contend for the lease, keep it, and follow its holder."""

    def __init__(self, store: RowStore, deployment: Deployment, events: EventLog):
        self.store = store
        self.identity = deployment.identity
        self.lease_seconds = deployment.bounds.lease * LEASE_SHARE
        self.hold_on = deployment.bounds.longest_hold * HOLD_ON_SHARE
        self.events = events
        self.record: LeaseRecord | None = None
        self.version = ABSENT
        self.fence = ABSENT
        self.generation = Generation(0)
        self.is_holder = False
        self.acquired = asyncio.Event()
        self.lost = asyncio.Event()
        self.lost.set()
        self.released = False
        self.pending: dict[QueueName, int] = {}
        # Run times, for the successor.
        self.learned: dict[QueueName, LearnedTimes] = {}
        # Until when (store time) the predecessor may have held workers.
        self.predecessor_until = 0.0
        self.feed_version: RowVersion | None = None

    @property
    def standing(self) -> Standing:
        """Tell what this host may do now."""
        if not self.is_holder or self.record is None:
            return Standing.FOLLOWER
        latest = self.store.clock.latest(boot_time())
        margin = self.lease_seconds * MILLISECONDS * MARGIN
        if latest + margin < self.record.until:
            return Standing.HOLDER
        return Standing.SUSPENDED

    def may_hold(self) -> bool:
        """Tell whether workers may still be held, under a lease that ran out or not."""
        if not self.is_holder or self.record is None:
            return False
        latest = self.store.clock.latest(boot_time())
        return latest < self.record.until + self.hold_on * MILLISECONDS

    def fence_expectation(self) -> Expect:
        """Return what each of the holder's transactions has to expect."""
        return Expect(LEASES, FENCE_ROW, self.fence)

    def pending_counts(
        self, now: BootSeconds, longest_age: float
    ) -> dict[QueueName, int] | None:
        """Return the queues' waiting jobs, or None if known for too long."""
        if self.is_holder:
            return self.pending
        if self.record is None:
            return None
        age = (self.store.clock.latest(now) - self.record.written_at) / MILLISECONDS
        return self.record.pending if age <= longest_age else None

    async def keep(self):
        """Follow, contend and renew until cancelled."""
        await asyncio.sleep(self._handicap())
        while True:
            try:
                if self.is_holder:
                    await self._renew()
                    await event_within(self.lost, self.lease_seconds / RENEWALS)
                    continue
                await self._follow()
                if self._may_take():
                    await self._take()
            except HistoryLostError:
                self.feed_version = None
            except LeaseLostError as error:
                self.lose(error.detail)
            except (StoreUnavailableError, StoreUncertainError) as error:
                self.events.fold(
                    Event.DEPENDENCY_LOST, error.detail, dependency="lease"
                )
                await asyncio.sleep(RETRY_SECONDS)

    def lose(self, reason: str):
        """Give the role up, since another host has it or may have it."""
        if not self.is_holder:
            return
        self.is_holder = False
        self.feed_version = None
        self.acquired.clear()
        self.lost.set()
        self.events.write(Event.LEASE_LOST, generation=self.generation, reason=reason)

    async def release(self):
        """Hand the role over at once; raises store errors."""
        self.released = True
        if not self.is_holder or self.record is None:
            return
        freed = msgspec.structs.replace(self.record, holder=HostId(""), until=0.0)
        self.lose("released")
        await self._write(freed, [Expect(LEASES, LEASE_ROW, self.version)], [])

    async def _follow(self):
        """Wait until the lease changes or may have run out."""
        if self.feed_version is None:
            page = await self.store.all_rows(LEASES)
            for row in page.rows:
                self._learn(row.name, row.value, row.version)
            self.feed_version = page.version
            return
        left = self.lease_seconds
        if self.record is not None and not self.released:
            now = self.store.clock.earliest(boot_time())
            left = (self.record.until - now) / MILLISECONDS
        wait = min(max(left, RETRY_SECONDS), self.lease_seconds / 2)
        changes = await self.store.changes(LEASES, self.feed_version, wait)
        for change in changes.changes:
            self._learn(change.name, change.value or b"", change.version)
        self.feed_version = changes.version

    def _learn(self, name: RowName, value: bytes, version: RowVersion):
        if name == FENCE_ROW:
            self.fence = version
            return
        if name != LEASE_ROW:
            return
        self.record = msgspec.msgpack.decode(value, type=LeaseRecord)
        self.version = version

    def _may_take(self) -> bool:
        if self.released:
            return False
        if self.record is None or not self.record.holder:
            return True
        if self._is_mine(self.record):
            # An earlier process of this host held it; it has ended.
            return True
        return self.store.clock.earliest(boot_time()) > self.record.until

    def _is_mine(self, record: LeaseRecord) -> bool:
        return (
            record.holder == self.identity.host
            and record.address == self.identity.address
        )

    async def _take(self):
        generation = Generation(1)
        if self.record is not None:
            generation = Generation(self.record.generation + 1)
        asked = self.store.clock.earliest(boot_time())
        record = self._extended(asked, generation)
        expects = [
            Expect(LEASES, LEASE_ROW, self.version),
            Expect(LEASES, FENCE_ROW, self.fence),
        ]
        fence = Write(LEASES, FENCE_ROW, msgspec.msgpack.encode(generation))
        result = await self._write(record, expects, [fence])
        if not result.applied:
            self.feed_version = None
            return
        if self.record is not None:
            self.predecessor_until = self.record.until + self.hold_on * MILLISECONDS
            self.learned = self.record.learned
        self.record = record
        self.version = self.fence = result.version
        self.generation = generation
        self.is_holder = True
        self.lost.clear()
        self.acquired.set()
        self.events.write(Event.LEASE_TAKEN, generation=generation)

    async def _renew(self):
        asked = self.store.clock.earliest(boot_time())
        record = self._extended(asked, self.generation)
        expects = [Expect(LEASES, LEASE_ROW, self.version), self.fence_expectation()]
        result = await self._write(record, expects, [])
        if not self.is_holder:
            return
        if result.applied:
            self.record = record
            self.version = result.version
            return
        # An earlier renewal whose answer was lost may have come through.
        row = result.current.get((LEASES, LEASE_ROW))
        if row is None:
            raise LeaseLostError("The lease is gone.")
        current = msgspec.msgpack.decode(row.value, type=LeaseRecord)
        if not self._is_mine(current) or current.generation != self.generation:
            raise LeaseLostError("Another host has taken the lease.")
        self.record = current
        self.version = row.version

    def _extended(self, asked: float, generation: Generation) -> LeaseRecord:
        return LeaseRecord(
            holder=self.identity.host,
            address=self.identity.address,
            until=asked + self.lease_seconds * MILLISECONDS,
            generation=generation,
            written_at=asked,
            pending=self.pending,
            learned=self.learned,
        )

    async def _write(
        self, record: LeaseRecord, expects: list[Expect], more: list[Write]
    ):
        # The time in the record is counted from now, so a late try would be of no use.
        give_up_at = monotonic() + self.lease_seconds / RENEWALS
        lease = Write(LEASES, LEASE_ROW, msgspec.msgpack.encode(record))
        return await transact_settled(
            self.store,
            expects,
            [lease, *more],
            give_up_at,
        )

    def _handicap(self) -> float:
        """Return how many seconds a slow host waits, so that a fast one leads."""
        return min(self.lease_seconds / RENEWALS, 0.1 / max(self.identity.speed, 0.1))
