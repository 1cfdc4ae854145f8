"""Leases with fencing epochs, stored in the table service."""

import asyncio
from enum import Enum

import msgspec

from zinniatrestle.clock import monotonic
from zinniatrestle.errors import LeaseLostError, PlatformError
from zinniatrestle.ids import Epoch, HostId, RowKey, new_operation_token
from zinniatrestle.logs import ComponentLog
from zinniatrestle.store.interfaces import TableService
from zinniatrestle.store.messages import ABSENT, Check, Put, Row, Transaction
from zinniatrestle.store.read_back import commit_with_read_back

LEASE_SECONDS = 3.0
RENEW_INTERVAL_SECONDS = 1.0
# The holder gives up the lease this long before another host may acquire it.
EXPIRY_MARGIN_SECONDS = 0.5

log = ComponentLog("lease")


class LeaseOwnership(Enum):
    """Whether this host holds a lease."""

    WAITING = "waiting"
    HELD = "held"


class LeaseRow(msgspec.Struct, frozen=True):
    """Stored form of a lease; an empty `holder` means that it was released."""

    holder: HostId
    epoch: Epoch
    token: str


class Lease:
    """A named lease that at most one host holds at a time.

    A host regards another host's lease as expired once its row has not changed for
    `LEASE_SECONDS` on its own monotonic clock, so clocks need not be synchronized.
    `time_factor` lengthens all times, for roles that may pause for a while.
    """

    def __init__(
        self, name: str, host: HostId, table: TableService, time_factor: float = 1.0
    ):
        self.name = name
        self.host = host
        self.table = table
        self.time_factor = time_factor
        self.key = RowKey(f"lease/{name}")
        self.epoch = Epoch(0)
        self.held_until = 0.0
        self.version = ABSENT
        self.watched_version = ABSENT
        self.watched_since = 0.0
        self.holder = HostId("")
        self.released = False

    @property
    def ownership(self) -> LeaseOwnership:
        """Return whether this host holds the lease now."""
        if monotonic() < self.held_until:
            return LeaseOwnership.HELD
        return LeaseOwnership.WAITING

    def require(self) -> Epoch:
        """Return the epoch; raises LeaseLostError if the lease is not held."""
        if self.ownership is not LeaseOwnership.HELD:
            raise LeaseLostError(f"This host does not hold the lease {self.name}.")
        return self.epoch

    async def maintain(self):
        """Acquire and renew the lease until cancelled or released."""
        while not self.released:
            try:
                await self.acquire_or_renew()
            except PlatformError as error:
                log.warning(
                    "Could not acquire or renew lease %s: %s", self.name, error.detail
                )
            await asyncio.sleep(self.time_factor * RENEW_INTERVAL_SECONDS)

    async def acquire_or_renew(self):
        """Try once to acquire or renew the lease."""
        if self.ownership is LeaseOwnership.HELD and await self._renew():
            return
        sent_at = monotonic()
        rows = await self.table.read([self.key])
        row = rows.get(self.key)
        lease = msgspec.json.decode(row.value, type=LeaseRow) if row else None
        self.holder = lease.holder if lease else HostId("")
        if not self._may_acquire(row, lease):
            return
        renewing = lease is not None and self._is_own(lease)
        last = lease.epoch if lease else Epoch(0)
        epoch = last if renewing else Epoch(last + 1)
        written = LeaseRow(self.host, epoch, new_operation_token())
        put = Put(self.key, msgspec.json.encode(written))
        check = Check(self.key, row.version if row else ABSENT)
        transaction = Transaction(checks=[check], puts=[put])
        commit = await commit_with_read_back(self.table, transaction)
        if not commit.committed:
            return
        if epoch != self.epoch:
            log.info("Acquired lease %s with epoch %d.", self.name, epoch)
        self.epoch = epoch
        self.holder = self.host
        self.version = check.version + 1
        self.held_until = sent_at + self.time_factor * (
            LEASE_SECONDS - EXPIRY_MARGIN_SECONDS
        )

    async def _renew(self) -> bool:
        """Renew a held lease in one write; return False if its row has changed."""
        sent_at = monotonic()
        written = LeaseRow(self.host, self.epoch, new_operation_token())
        put = Put(self.key, msgspec.json.encode(written))
        check = Check(self.key, self.version)
        transaction = Transaction(checks=[check], puts=[put])
        commit = await commit_with_read_back(self.table, transaction)
        if not commit.committed:
            return False
        self.version += 1
        self.held_until = sent_at + self.time_factor * (
            LEASE_SECONDS - EXPIRY_MARGIN_SECONDS
        )
        return True

    async def release(self):
        """Release the lease, so that another host need not wait for its expiry."""
        self.released = True
        if self.ownership is not LeaseOwnership.HELD:
            return
        self.held_until = 0.0
        rows = await self.table.read([self.key])
        row = rows.get(self.key)
        if row is None:
            return
        lease = msgspec.json.decode(row.value, type=LeaseRow)
        if not self._is_own(lease):
            return
        released_row = LeaseRow(HostId(""), lease.epoch, new_operation_token())
        put = Put(self.key, msgspec.json.encode(released_row))
        check = Check(self.key, row.version)
        await commit_with_read_back(self.table, Transaction(checks=[check], puts=[put]))

    def _is_own(self, lease: LeaseRow) -> bool:
        # The epoch is compared too, since a host keeps its id when it restarts.
        return lease.holder == self.host and lease.epoch == self.epoch

    def _may_acquire(self, row: Row | None, lease: LeaseRow | None) -> bool:
        if row is None or lease is None or not lease.holder:
            return True
        if self._is_own(lease):
            return True
        if row.version != self.watched_version:
            self.watched_version = row.version
            self.watched_since = monotonic()
            return False
        return monotonic() - self.watched_since >= self.time_factor * LEASE_SECONDS
