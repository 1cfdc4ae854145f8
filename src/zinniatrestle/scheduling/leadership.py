"""Leader election by a lease, with a generation number as fencing token."""

import asyncio
from enum import Enum

import msgspec

from zinniatrestle.clock import boot_time, monotonic, wait_for_event
from zinniatrestle.decoding import Counter, decode_msgpack
from zinniatrestle.deployment import Deployment
from zinniatrestle.errors import (
    LeaseLostError,
    MalformedInputError,
    StoreUnavailableError,
    StoreUncertainError,
)
from zinniatrestle.events import Event, EventLog, RejectionLog
from zinniatrestle.ids import (
    BootSeconds,
    Generation,
    HostId,
    RowName,
    RowVersion,
    TableName,
    WorkerId,
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
from zinniatrestle.scheduling.pending_counts import (
    CountSource,
    PendingCountCache,
    PendingCounts,
)
from zinniatrestle.supervision import Supervisor
from zinniatrestle.workers.interfaces import OrderPermission

LEASES = TableName("leases")
LEASE_ROW = RowName("scheduler")
# The fence's row is written only when the lease is acquired or released. Each
# transaction of the holder expects its version, so a former holder can't write, and
# all hosts learn of a new holder from the table's feed at once.
FENCES = TableName("fences")
FENCE_ROW = RowName("scheduler")
# Shares of the deployment's bound on leases. A shorter lease gives a faster failover;
# a slow store needs a longer one.
MIN_LEASE_SHARE = 0.4
MAX_LEASE_SHARE = 0.75
# A lease lasts at least as long as this many writes to the store.
WRITES_PER_LEASE = 4
# Ratio by which the latency of a write is estimated from that of a read.
WRITE_TO_READ_RATIO = 2.0
# Weight of a faster write in the estimated write latency; a slower one counts fully.
WRITE_TIME_DECAY = 0.2
# The lease survives two failed renewals.
RENEWALS_PER_LEASE = 3
# A damaged row counts as an expired lease after this many longest leases.
DAMAGED_LEASES = 2
# Share of the lease before its expiry in which the holder no longer decides, to allow
# for clock differences and for orders in flight.
EXPIRY_MARGIN_SHARE = 0.1
# Share of the longest hold for which a holder still extends the leases at workers after
# its own lease expired, so that runs survive a short outage of the store. A successor
# has to wait for the same time.
HOLD_EXTENSION_SHARE = 0.2
# A renewal in flight may change the row's version between attempts to release it.
RELEASE_ATTEMPTS = 3
# Pause after a failed call to the store.
RETRY_SECONDS = 0.2
# Least pause between the answer to a renewal and the next renewal.
MIN_PAUSE_SECONDS = 0.05
# Long-poll wait of the fence's feed. It may be long: changes are rare and answered at
# once, and an expired lease is found by reading the lease's row.
FENCE_FEED_SECONDS = 5.0
# Delay of a host of one core before it contends for the lease, so that a faster host
# acquires it first.
CONTENTION_DELAY_SECONDS = 0.1
MS_PER_SECOND = 1000.0


class LeadershipStatus(Enum):
    """Whether a host may make scheduling decisions."""

    FOLLOWER = "follower"
    HOLDER = "holder"
    # No successor is known, but the lease was not renewed in time: decisions pause.
    SUSPENDED = "suspended"


class FenceReader(TableReader):
    """Pass new versions of the fence to the leadership."""

    table = FENCES

    def __init__(self, leadership: "Leadership"):
        self.leadership = leadership

    def change(self, change: Change):
        """Apply a newer version of the fence, which holds the holder's generation.

        The fence is absent until a host has led once.
        """
        self.leadership.on_fence_change(change.version, change.value)


class Leadership(OrderPermission, CountSource):
    """Contend for the scheduling lease, renew it, and track its holder."""

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
        # The newest known version of the fence, and the one that this host wrote. A
        # former holder must never write under its successor's fence.
        self.fence = ABSENT
        self.own_fence = ABSENT
        # Highest generation that the fence is known to have held.
        self.fence_generation = Generation(0)
        # Since when the lease's row is known to be damaged.
        self.damaged_at: BootSeconds | None = None
        self.rejections = RejectionLog(events, f"table {LEASES}")
        self.fence_changed = asyncio.Event()
        # Estimated latency of a write of the lease.
        self.write_seconds = 0.0
        self.generation = Generation(0)
        self.is_holder = False
        self.acquired = asyncio.Event()
        self.lost = asyncio.Event()
        self.lost.set()
        self.released = False
        # Until then this host doesn't contend for the lease.
        self.abstains_until = BootSeconds(0.0)
        self.supervisor = Supervisor(events)
        # Until a holder has counted, it publishes what its predecessor had counted.
        self.pending_counts = PendingCountCache(self, store.clock, events)
        self.handover = Handover()
        # Workers with lease expiries in a handover that is stored or may be stored yet.
        self.recorded_workers: set[WorkerId] = set()
        # Store time in ms until which the predecessor may still hold workers.
        self.predecessor_hold_until = 0.0

    @property
    def lease_seconds(self) -> float:
        """Return the duration of a lease that is written now."""
        needed = WRITES_PER_LEASE * self.write_seconds
        return min(self.max_lease, max(self.min_lease, needed))

    @property
    def status(self) -> LeadershipStatus:
        """Return whether this host leads, follows or has to pause its decisions."""
        if not self.is_holder or self.record is None:
            return LeadershipStatus.FOLLOWER
        latest = self.store.clock.latest(boot_time())
        margin = self.lease_seconds * MS_PER_SECOND * EXPIRY_MARGIN_SHARE
        if latest + margin < self.record.until:
            return LeadershipStatus.HOLDER
        return LeadershipStatus.SUSPENDED

    def may_hold(self) -> bool:
        """Return whether this host may still extend the leases at workers.

        It may for `hold_extension` seconds after its own lease has expired.
        """
        if not self.is_holder or self.record is None:
            return False
        latest = self.store.clock.latest(boot_time())
        return latest < self.record.until + self.hold_extension * MS_PER_SECOND

    def permits_orders(self, generation: Generation) -> bool:
        """Return whether orders of this generation may be sent now."""
        return generation == self.generation and self.status is LeadershipStatus.HOLDER

    def permits_holds(self, generation: Generation) -> bool:
        """Return whether holds of this generation may be sent now."""
        return generation == self.generation and self.may_hold()

    def may_extend(self, worker: WorkerId) -> bool:
        """Return whether the leases at a worker may be extended.

        They may not while a successor could find the time of their expiry in a
        handover, and restart the worker's runs from then on.
        """
        if worker in self.handover.lease_expiries:
            return False
        return worker not in self.recorded_workers

    def fence_expectation(self) -> Expect:
        """Return the fence check that each of the holder's transactions carries."""
        return Expect(FENCES, FENCE_ROW, self.own_fence)

    async def read_counts(self) -> PendingCounts | None:
        """Return the counts in the lease's row; raises StoreUnavailableError."""
        if self.is_holder:
            return None
        row = await self.store.row(LEASES, LEASE_ROW)
        if row is None:
            return None
        try:
            return decode_msgpack(row.value, LeaseRecord, "The lease").counts
        except MalformedInputError as error:
            self.rejections.reject(LEASE_ROW, error.detail)
            return None

    async def run(self):
        """Track the holder, contend for the lease and renew it, until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self.fence_feed.follow())
            await asyncio.sleep(self._contention_delay())
            await self.supervisor.keep_running("lease", self._contend)

    async def _contend(self):
        while True:
            await self._step()

    async def _step(self):
        try:
            if self.is_holder:
                renewal_started_at = monotonic()
                await self._renew()
                # Renewals start at fixed intervals: the time that the store took to
                # answer is part of the interval.
                pause = (
                    renewal_started_at
                    + self.lease_seconds / RENEWALS_PER_LEASE
                    - monotonic()
                )
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
        """Stop leading, since another host leads or may lead."""
        if not self.is_holder:
            return
        self.is_holder = False
        self.acquired.clear()
        self.lost.set()
        self.events.write(Event.LEASE_LOST, generation=self.generation, reason=reason)

    def abstain(self, seconds: float):
        """Contend for no further lease for some seconds."""
        self.abstains_until = BootSeconds(boot_time() + seconds)

    async def release(self):
        """Release the lease so that a successor need not await its expiry.

        Raises StoreUnavailableError or StoreUncertainError.
        """
        self.released = True
        if not self.is_holder or self.record is None:
            return
        released_record = msgspec.structs.replace(
            self.record, holder=HostId(""), until=0.0
        )
        fence = self.fence_expectation()
        version = self.version
        self.step_down("released")
        for _ in range(RELEASE_ATTEMPTS):
            expects = [Expect(LEASES, LEASE_ROW, version), fence]
            extra_writes = [self._fence_write(released_record.generation)]
            result = await self._write(released_record, expects, extra_writes)
            row = result.current.get((LEASES, LEASE_ROW))
            if result.applied or row is None or row.version == version:
                return
            # A renewal that was in flight has applied: retry with its version.
            version = row.version

    def on_fence_change(self, version: RowVersion, value: bytes | None):
        """Step down, as another host acquired the lease or the holder released it."""
        if version <= self.fence:
            return
        self.fence = version
        self._note_generation(value)
        self.fence_changed.set()
        self.step_down("the fence has moved")

    def _note_generation(self, value: bytes | None):
        """Note the generation in the fence, in case the lease's row is damaged."""
        if value is None:
            return
        try:
            generation = decode_msgpack(value, Counter, "The fence")
        except MalformedInputError as error:
            self.rejections.reject(FENCE_ROW, error.detail)
            return
        self.fence_generation = max(self.fence_generation, generation)

    async def _read_lease(self):
        """Read the lease's row."""
        started_at = boot_time()
        row = await self.store.row(LEASES, LEASE_ROW)
        self._update_write_time(WRITE_TO_READ_RATIO * (boot_time() - started_at))
        self._set_record(row)

    def _set_record(self, row: StoredRow | None):
        if row is None:
            self.record = None
            self.version = ABSENT
            self.damaged_at = None
            return
        try:
            self.record = decode_msgpack(row.value, LeaseRecord, "The lease")
            self.damaged_at = None
            self.rejections.accept(LEASE_ROW)
            self.pending_counts.update(self.record.counts)
        except MalformedInputError as error:
            self.rejections.reject(LEASE_ROW, error.detail)
            if self.damaged_at is None or self.version != row.version:
                self.damaged_at = boot_time()
            self.record = None
        self.version = row.version

    async def _wait_for_expiry(self):
        """Wait until the lease is released or may have expired."""
        remaining = self.max_lease
        if self.record is not None and not self.released:
            now = self.store.clock.earliest(boot_time())
            remaining = (
                self.record.until - now
            ) / MS_PER_SECOND + self._contention_delay()
        remaining = max(remaining, self.abstains_until - boot_time())
        if await wait_for_event(
            self.fence_changed, max(remaining, TIMER_RESOLUTION_SECONDS)
        ):
            self.fence_changed.clear()
            await asyncio.sleep(self._contention_delay())

    def _may_acquire(self) -> bool:
        if self.released or boot_time() < self.abstains_until:
            return False
        if self.damaged_at is not None:
            # Its holder, if there is one, would have written over the damage.
            lasted = boot_time() - self.damaged_at
            return lasted > DAMAGED_LEASES * self.max_lease
        if self.record is None or not self.record.holder:
            return True
        if self._is_own_record(self.record):
            # The holder was an earlier process of this host, which has ended.
            return True
        return self.store.clock.earliest(boot_time()) > self.record.until

    def _is_own_record(self, record: LeaseRecord) -> bool:
        return (
            record.holder == self.identity.host
            and record.address == self.identity.address
        )

    async def _acquire(self):
        previous = self.fence_generation
        if self.record is not None:
            previous = max(previous, self.record.generation)
        generation = Generation(previous + 1)
        # Lease expiries that this host published when it led before may have passed.
        handover = self.record.handover if self.record is not None else Handover()
        requested_at = self.store.clock.earliest(boot_time())
        record = self._extended_record(requested_at, generation, handover)
        expects = [
            Expect(LEASES, LEASE_ROW, self.version),
            Expect(FENCES, FENCE_ROW, self.fence),
        ]
        result = await self._write(record, expects, [self._fence_write(generation)])
        if not result.applied:
            fence = result.current.get((FENCES, FENCE_ROW))
            if fence is not None:
                self.on_fence_change(fence.version, fence.value)
            return
        if self.record is not None or self.damaged_at is not None:
            self.predecessor_hold_until = self._hold_end(self.record)
        self.damaged_at = None
        self.handover = handover
        self._set_stored(record, result.version)
        self.fence = self.own_fence = result.version
        self.fence_changed.clear()
        self.generation = self.fence_generation = generation
        self.is_holder = True
        self.lost.clear()
        self.acquired.set()
        counts = self.pending_counts
        self.events.write(
            Event.LEASE_TAKEN,
            generation=generation,
            waiting=counts.total,
            counts_age_s=round(counts.age, 2) if counts.counts is not None else None,
        )

    def _hold_end(self, record: LeaseRecord | None) -> float:
        """Return the store time in ms until which a former holder may hold workers.

        `record` is None if the former holder's record is damaged.
        """
        if record is None:
            # Its lease has expired by now.
            now = self.store.clock.latest(boot_time())
            return now + self.hold_extension * MS_PER_SECOND
        if not record.holder:
            # It has released the lease, after which it holds none.
            return self.store.clock.latest(boot_time())
        return record.until + self.hold_extension * MS_PER_SECOND

    async def _renew(self):
        requested_at = self.store.clock.earliest(boot_time())
        record = self._extended_record(requested_at, self.generation, self.handover)
        self.recorded_workers |= record.handover.lease_expiries.keys()
        expects = [Expect(LEASES, LEASE_ROW, self.version), self.fence_expectation()]
        result = await self._write(record, expects, [])
        if not self.is_holder:
            return
        if result.applied:
            self._set_stored(record, result.version)
            return
        # An earlier renewal whose answer was lost may have applied.
        row = result.current.get((LEASES, LEASE_ROW))
        if row is None:
            raise LeaseLostError("The lease's row no longer exists.")
        fence = result.current.get((FENCES, FENCE_ROW))
        try:
            current = decode_msgpack(row.value, LeaseRecord, "The lease")
        except MalformedInputError as error:
            self.rejections.reject(LEASE_ROW, error.detail)
            if fence is None or fence.version != self.own_fence:
                raise LeaseLostError("Another host has acquired the lease.") from error
            # The next renewal writes over the damage.
            self.version = row.version
            return
        if not self._is_own_record(current) or current.generation != self.generation:
            raise LeaseLostError("Another host has acquired the lease.")
        self._set_stored(current, row.version)

    def _set_stored(self, record: LeaseRecord, version: RowVersion):
        """Set this holder's stored record, which no earlier write can replace."""
        self.record = record
        self.version = version
        self.recorded_workers = set(record.handover.lease_expiries)

    def _extended_record(
        self, requested_at: float, generation: Generation, handover: Handover
    ) -> LeaseRecord:
        counts = self.pending_counts.counts
        return LeaseRecord(
            holder=self.identity.host,
            address=self.identity.address,
            until=requested_at + self.lease_seconds * MS_PER_SECOND,
            generation=generation,
            written_at=requested_at,
            pending=counts.jobs if counts is not None else {},
            handover=handover,
            counted_at=counts.counted_at if counts is not None else 0.0,
            full_accounts=counts.full_accounts if counts is not None else (),
        )

    def _fence_write(self, generation: Generation) -> Write:
        return Write(FENCES, FENCE_ROW, msgspec.msgpack.encode(generation))

    async def _write(
        self, record: LeaseRecord, expects: list[Expect], extra_writes: list[Write]
    ) -> TransactionResult:
        # The lease in the record starts now. An answer within its duration is useful,
        # however slow the store; a later one is not.
        give_up_at = monotonic() + self.lease_seconds
        lease = Write(LEASES, LEASE_ROW, msgspec.msgpack.encode(record))
        started_at = boot_time()
        try:
            return await transact_with_retries(
                self.store, expects, [lease, *extra_writes], give_up_at
            )
        finally:
            self._update_write_time(boot_time() - started_at)

    def _update_write_time(self, seconds: float):
        if seconds < self.write_seconds:
            seconds = self.write_seconds + WRITE_TIME_DECAY * (
                seconds - self.write_seconds
            )
        self.write_seconds = seconds

    def _contention_delay(self) -> float:
        """Return the seconds by which this host delays its attempt at the lease.

        The delay is longer on a slow host, so that a fast one leads.
        """
        slowness = 1.0 / max(self.identity.speed, CONTENTION_DELAY_SECONDS)
        return min(
            self.min_lease / RENEWALS_PER_LEASE, CONTENTION_DELAY_SECONDS * slowness
        )
