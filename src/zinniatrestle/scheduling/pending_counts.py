"""Numbers of waiting jobs, as the leader counts them and all hosts answer them."""

import asyncio
from abc import ABC, abstractmethod

import msgspec

from zinniatrestle.clock import boot_time
from zinniatrestle.errors import StoreUnavailableError
from zinniatrestle.events import Event, EventLog
from zinniatrestle.ids import BootSeconds, ClientAccountId, QueueName
from zinniatrestle.rows.clock import StoreClock
from zinniatrestle.supervision import Supervisor

# Callers wait no longer for counts to be read anew.
READ_TIMEOUT_SECONDS = 0.5
# Least time from the end of a read to the next one, however many callers ask.
READ_INTERVAL_SECONDS = 0.2
MS_PER_SECOND = 1000.0


class PendingCounts(msgspec.Struct, frozen=True):
    """Number of waiting jobs of each queue that has any.

    All jobs that were accepted by `counted_at`, in ms of the store's clock, count.
    `full_accounts` have as much accepted work as a host may hold of them.
    """

    jobs: dict[QueueName, int]
    counted_at: float
    full_accounts: tuple[ClientAccountId, ...] = ()


class CountSource(ABC):
    """Where counts are read that another host has published."""

    @abstractmethod
    async def read_counts(self) -> PendingCounts | None:
        """Return the published counts, or None; raises StoreUnavailableError."""


class PendingCountCache:
    """The newest counts that this host knows, its own or those of another leader."""

    def __init__(self, source: CountSource, clock: StoreClock, events: EventLog):
        self.source = source
        self.clock = clock
        self.events = events
        self.counts: PendingCounts | None = None
        self.supervisor = Supervisor(events)
        self.reading: asyncio.Task | None = None
        self.read_at = BootSeconds(float("-inf"))

    @property
    def age(self) -> float:
        """Return the age of the counts in seconds, infinite if none are known."""
        if self.counts is None:
            return float("inf")
        return (self.clock.latest(boot_time()) - self.counts.counted_at) / MS_PER_SECOND

    @property
    def total(self) -> int | None:
        """Return the number of waiting jobs of all queues, or None if unknown."""
        return sum(self.counts.jobs.values()) if self.counts is not None else None

    def is_full(self, account: ClientAccountId, longest_age: float) -> bool:
        """Return whether an account is known to be full, by counts of at most some age.

        The age is in seconds.
        """
        if self.counts is None or account not in self.counts.full_accounts:
            return False
        return self.age <= longest_age

    def update(self, counts: PendingCounts | None):
        """Keep counts that are newer than the known ones."""
        if counts is None or counts.counted_at > self.clock.latest(boot_time()):
            # No host counts in the future, so that the record must be damaged.
            return
        if self.counts is None or counts.counted_at >= self.counts.counted_at:
            self.counts = counts

    async def recent(
        self, longest_age: float, may_read: bool
    ) -> dict[QueueName, int] | None:
        """Return counts of at most some age in seconds, or None if there are none.

        Older ones are read anew if `may_read`.
        """
        if self.age > longest_age and may_read:
            await self._read()
        if self.counts is None or self.age > longest_age:
            return None
        return self.counts.jobs

    async def _read(self):
        """Read the published counts; callers that ask meanwhile share the read."""
        if self.reading is None:
            if boot_time() - self.read_at < READ_INTERVAL_SECONDS:
                return
            self.reading = asyncio.create_task(self._read_once())
        await asyncio.wait({self.reading}, timeout=READ_TIMEOUT_SECONDS)

    async def _read_once(self):
        try:
            self.update(await self.source.read_counts())
        except StoreUnavailableError as error:
            self.events.write_deduplicated(
                Event.DEPENDENCY_LOST, error.detail, dependency="pending counts"
            )
        except Exception as error:
            self.supervisor.log_failure("pending counts", error)
        finally:
            self.reading = None
            self.read_at = boot_time()
