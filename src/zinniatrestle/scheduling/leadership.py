"""The lease by which one host at a time schedules, and its generation number."""

import asyncio
from enum import Enum

import msgspec

from zinniatrestle.clock import boot_time, monotonic, wait_for_event
from zinniatrestle.deployment import Deployment
from zinniatrestle.errors import (
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
from zinniatrestle.rows import (
    ABSENT,
    Change,
    Expect,
    RowStore,
    StoredRow,
    TransactionResult,
    Write,
)
from zinniatrestle.rows.feed import Feed, TableReader
from zinniatrestle.rows.retries import TIMER_RESOLUTION_SECONDS, transact_with_retries
from zinniatrestle.scheduling.messages import Handover, LeaseRecord

LEASES = TableName("leases")
LEASE_ROW = RowName("scheduler")
# Written only when the holder changes or gives the lease up, so that each of the
# holder's transactions can expect its version, and all hosts hear of it at once.
FENCES = TableName("fences")
FENCE_ROW = RowName("scheduler")
# Shares of the deployment's bound on leases. The shorter a lease, the sooner a
# successor comes; a slow store needs a longer one.
MIN_LEASE_SHARE = 0.4
MAX_LEASE_SHARE = 0.75
# Writes to the store that fit into a lease at least.
WRITES_PER_LEASE = 4
# How many times as long as a read a write takes.
WRITE_TO_READ_RATIO = 2.0
# Share by which the time that writes take is believed to fall after a faster one.
WRITE_TIME_DECAY = 0.2
# Renewals in the time of one lease, so that two may fail.
RENEWALS_PER_LEASE = 3
# Share of the lease that the holder leaves unused, for clocks and for orders under way.
EXPIRY_MARGIN_SHARE = 0.1
# Share of the longest hold for which a holder goes on holding workers after its lease
# ran out, as in an outage of the store; a successor has to wait for it.
HOLD_EXTENSION_SHARE = 0.2
# Tries to give the lease up: the last renewal may come between.
RELEASE_ATTEMPTS = 3
# s; the pause after a failed call.
RETRY_SECONDS = 0.2
# s; the least pause between an answer and the next renewal.
MIN_PAUSE_SECONDS = 0.05
# s; a feed of changes that are rare; a lease that runs out is found by a read.
FENCE_FEED_SECONDS = 5.0
# s; how long a host of one core leaves the lease to faster ones.
CONTENTION_DELAY_SECONDS = 0.1
MILLISECONDS = 1000.0


class LeadershipStatus(Enum):
    """What a host may do as to scheduling."""

    FOLLOWER = "follower"
    HOLDER = "holder"
    # Nobody is known to have taken over, but the lease was not renewed in time.
    SUSPENDED = "suspended"


class FenceReader(TableReader):
    """Take over versions of the fence."""

    table = FENCES

    def __init__(self, leadership: "Leadership"):
        self.leadership = leadership

    def snapshot(self, rows: list[StoredRow]):
        """Take the fence's version; without a row nobody has scheduled yet."""
        for row in rows:
            self.leadership.on_fence_change(row.version)

    def change(self, change: Change):
        """Take a newer version."""
        self.leadership.on_fence_change(change.version)


class Leadership:
    """Contend for the lease, keep it, and follow its holder."""

    def __init__(self, store: RowStore, deployment: Deployment, events: EventLog):
        self.store = store
        self.identity = deployment.identity
        bound = deployment.bounds.lease
        self.min_lease = bound * MIN_LEASE_SHARE
        self.max_lease = bound * MAX_LEASE_SHARE
        self.hold_extension = deployment.bounds.max_hold * HOLD_EXTENSION_SHARE
        self.events = events
        self.fence_feed = Feed(store, FenceReader(self), events, FENCE_FEED_SECONDS)
        self.record: LeaseRecord | None = None
        self.version = ABSENT
        # The newest version of the fence that is known, and the one that this host
        # raised: a former holder must never write under its successor's.
        self.fence = ABSENT
        self.own_fence = ABSENT
        self.fence_changed = asyncio.Event()
        # s; how long a write of the lease takes.
        self.write_seconds = 0.0
        self.generation = Generation(0)
        self.is_holder = False
        self.acquired = asyncio.Event()
        self.lost = asyncio.Event()
        self.lost.set()
        self.released = False
        self.pending: dict[QueueName, int] = {}
        self.handover = Handover()
        # Until when (store time) the predecessor may have held workers.
        self.predecessor_hold_until = 0.0

    @property
    def lease_seconds(self) -> float:
        """Return how long a lease lasts that is written now."""
        needed = WRITES_PER_LEASE * self.write_seconds
        return min(self.max_lease, max(self.min_lease, needed))

    @property
    def status(self) -> LeadershipStatus:
        """Tell what this host may do now."""
        if not self.is_holder or self.record is None:
            return LeadershipStatus.FOLLOWER
        latest = self.store.clock.latest(boot_time())
        margin = self.lease_seconds * MILLISECONDS * EXPIRY_MARGIN_SHARE
        if latest + margin < self.record.until:
            return LeadershipStatus.HOLDER
        return LeadershipStatus.SUSPENDED

    def may_hold(self) -> bool:
        """Tell whether workers may still be held, under a lease that ran out or not."""
        if not self.is_holder or self.record is None:
            return False
        latest = self.store.clock.latest(boot_time())
        return latest < self.record.until + self.hold_extension * MILLISECONDS

    def fence_expectation(self) -> Expect:
        """Return what each of the holder's transactions has to expect."""
        return Expect(FENCES, FENCE_ROW, self.own_fence)

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

    async def run(self):
        """Follow, contend and renew until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self.fence_feed.follow())
            await asyncio.sleep(self._contention_delay())
            while True:
                await self._step()

    async def _step(self):
        try:
            if self.is_holder:
                asked_at = monotonic()
                await self._renew()
                # A slow store's answer takes its part of the time between renewals.
                pause = asked_at + self.lease_seconds / RENEWALS_PER_LEASE - monotonic()
                await wait_for_event(self.lost, max(pause, MIN_PAUSE_SECONDS))
                return
            await self._read_lease()
            if self._may_acquire():
                await self._acquire()
                return
            await self._wait_for_expiry()
        except LeaseLostError as error:
            self.step_down(error.detail)
        except (StoreUnavailableError, StoreUncertainError) as error:
            self.events.write_deduplicated(
                Event.DEPENDENCY_LOST, error.detail, dependency="lease"
            )
            await asyncio.sleep(RETRY_SECONDS)

    def step_down(self, reason: str):
        """Give the role up, since another host has it or may have it."""
        if not self.is_holder:
            return
        self.is_holder = False
        self.acquired.clear()
        self.lost.set()
        self.events.write(Event.LEASE_LOST, generation=self.generation, reason=reason)

    async def release(self):
        """Hand the role over at once; raises store errors."""
        self.released = True
        if not self.is_holder or self.record is None:
            return
        freed = msgspec.structs.replace(self.record, holder=HostId(""), until=0.0)
        fence = self.fence_expectation()
        version = self.version
        self.step_down("released")
        for _ in range(RELEASE_ATTEMPTS):
            expects = [Expect(LEASES, LEASE_ROW, version), fence]
            more = [self._fence_write(freed.generation)]
            result = await self._write(freed, expects, more)
            row = result.current.get((LEASES, LEASE_ROW))
            if result.applied or row is None or row.version == version:
                return
            # A renewal was under way when the host began to stop.
            version = row.version

    def on_fence_change(self, version: RowVersion):
        """Note that the holder has changed or has given the lease up."""
        if version <= self.fence:
            return
        self.fence = version
        self.fence_changed.set()
        self.step_down("the fence has moved")

    async def _read_lease(self):
        """Read who holds the lease."""
        begun_at = boot_time()
        row = await self.store.row(LEASES, LEASE_ROW)
        self._update_write_time(WRITE_TO_READ_RATIO * (boot_time() - begun_at))
        self._set_record(row)

    def _set_record(self, row: StoredRow | None):
        if row is None:
            self.record = None
            self.version = ABSENT
            return
        self.record = msgspec.msgpack.decode(row.value, type=LeaseRecord)
        self.version = row.version

    async def _wait_for_expiry(self):
        """Wait until the lease is given up or may have run out."""
        left = self.max_lease
        if self.record is not None and not self.released:
            now = self.store.clock.earliest(boot_time())
            left = (self.record.until - now) / MILLISECONDS + self._contention_delay()
        if await wait_for_event(
            self.fence_changed, max(left, TIMER_RESOLUTION_SECONDS)
        ):
            self.fence_changed.clear()
            await asyncio.sleep(self._contention_delay())

    def _may_acquire(self) -> bool:
        if self.released:
            return False
        if self.record is None or not self.record.holder:
            return True
        if self._is_own_record(self.record):
            # An earlier process of this host held it; it has ended.
            return True
        return self.store.clock.earliest(boot_time()) > self.record.until

    def _is_own_record(self, record: LeaseRecord) -> bool:
        return (
            record.holder == self.identity.host
            and record.address == self.identity.address
        )

    async def _acquire(self):
        generation = Generation(1)
        if self.record is not None:
            generation = Generation(self.record.generation + 1)
        asked = self.store.clock.earliest(boot_time())
        record = self._extended_record(asked, generation)
        expects = [
            Expect(LEASES, LEASE_ROW, self.version),
            Expect(FENCES, FENCE_ROW, self.fence),
        ]
        result = await self._write(record, expects, [self._fence_write(generation)])
        if not result.applied:
            fence = result.current.get((FENCES, FENCE_ROW))
            if fence is not None:
                self.on_fence_change(fence.version)
            return
        if self.record is not None:
            self.predecessor_hold_until = (
                self.record.until + self.hold_extension * MILLISECONDS
            )
            self.handover = self.record.handover
        self.record = record
        self.version = self.fence = self.own_fence = result.version
        self.fence_changed.clear()
        self.generation = generation
        self.is_holder = True
        self.lost.clear()
        self.acquired.set()
        self.events.write(Event.LEASE_TAKEN, generation=generation)

    async def _renew(self):
        asked = self.store.clock.earliest(boot_time())
        record = self._extended_record(asked, self.generation)
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
        if not self._is_own_record(current) or current.generation != self.generation:
            raise LeaseLostError("Another host has taken the lease.")
        self.record = current
        self.version = row.version

    def _extended_record(self, asked: float, generation: Generation) -> LeaseRecord:
        return LeaseRecord(
            holder=self.identity.host,
            address=self.identity.address,
            until=asked + self.lease_seconds * MILLISECONDS,
            generation=generation,
            written_at=asked,
            pending=self.pending,
            handover=self.handover,
        )

    def _fence_write(self, generation: Generation) -> Write:
        return Write(FENCES, FENCE_ROW, msgspec.msgpack.encode(generation))

    async def _write(
        self, record: LeaseRecord, expects: list[Expect], more: list[Write]
    ) -> TransactionResult:
        # The time in the record is counted from now: an answer that comes later than
        # it lasts is of no use, and a sooner one is, however slow the store.
        give_up_at = monotonic() + self.lease_seconds
        lease = Write(LEASES, LEASE_ROW, msgspec.msgpack.encode(record))
        begun_at = boot_time()
        try:
            return await transact_with_retries(
                self.store, expects, [lease, *more], give_up_at
            )
        finally:
            self._update_write_time(boot_time() - begun_at)

    def _update_write_time(self, seconds: float):
        if seconds < self.write_seconds:
            seconds = self.write_seconds + WRITE_TIME_DECAY * (
                seconds - self.write_seconds
            )
        self.write_seconds = seconds

    def _contention_delay(self) -> float:
        """Return how many seconds a slow host waits, so that a fast one leads."""
        slowness = 1.0 / max(self.identity.speed, CONTENTION_DELAY_SECONDS)
        return min(
            self.min_lease / RENEWALS_PER_LEASE, CONTENTION_DELAY_SECONDS * slowness
        )
