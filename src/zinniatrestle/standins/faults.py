"""Wrappers that inject faults into the embedded services."""

import asyncio

from zinniatrestle.errors import (
    StoreUnavailableError,
    StoreUncertainError,
    WorkerError,
)
from zinniatrestle.ids import RowKey, WorkerId
from zinniatrestle.standins.messages import PlatformFaults, WorkerFaults
from zinniatrestle.store.embedded import EmbeddedPlatform
from zinniatrestle.store.interfaces import (
    HostList,
    ObjectStore,
    Platform,
    TableService,
    Workers,
)
from zinniatrestle.store.messages import (
    Commit,
    ListedHost,
    Renew,
    Reserve,
    Row,
    Start,
    Stop,
    Transaction,
    WorkerReport,
)


class FaultyTable(TableService):
    """A table service with injected faults."""

    def __init__(self, inner: TableService, faults: PlatformFaults, host: str = ""):
        self.inner = inner
        self.faults = faults
        self.host = host

    async def read(self, keys: list[RowKey]) -> dict[RowKey, Row]:
        """Return the rows that exist among `keys`."""
        await apply_faults(self.faults, self.host)
        return await self.inner.read(keys)

    async def scan(self, prefix: str, after: RowKey, limit: int) -> list[Row]:
        """Return up to `limit` rows under `prefix` with keys greater than `after`."""
        await apply_faults(self.faults, self.host)
        return await self.inner.scan(prefix, after, limit)

    async def commit(self, transaction: Transaction) -> Commit:
        """Apply a transaction; raises StoreUncertainError while answers are lost."""
        await apply_faults(self.faults, self.host)
        commit = await self.inner.commit(transaction)
        if self.faults.lose_answers:
            raise StoreUncertainError("The answer was lost.")
        return commit


class FaultyObjects(ObjectStore):
    """An object store with injected faults."""

    def __init__(self, inner: ObjectStore, faults: PlatformFaults, host: str = ""):
        self.inner = inner
        self.faults = faults
        self.host = host

    async def put_if_absent(self, name: str, body: bytes) -> bool:
        """Write a new object; raises StoreUncertainError while answers are lost."""
        await apply_faults(self.faults, self.host)
        written = await self.inner.put_if_absent(name, body)
        if self.faults.lose_answers:
            raise StoreUncertainError("The answer was lost.")
        return written

    async def get(self, name: str) -> bytes | None:
        """Return an object's body, or None."""
        await apply_faults(self.faults, self.host)
        return await self.inner.get(name)


class FaultyHostList(HostList):
    """A host list with injected faults, including a stale list."""

    def __init__(self, inner: HostList, faults: PlatformFaults, host: str = ""):
        self.inner = inner
        self.faults = faults
        self.host = host
        self.last_listed: list[ListedHost] = []

    async def hosts(self) -> list[ListedHost]:
        """Return the listed machines, or the previous list while it is stale."""
        await apply_faults(self.faults, self.host)
        if not self.faults.stale_list or not self.last_listed:
            self.last_listed = await self.inner.hosts()
        return self.last_listed


class FaultyWorkers(Workers):
    """Workers with injected faults; some can't be reached."""

    def __init__(self, inner: Workers):
        self.inner = inner
        self.faults: dict[WorkerId, WorkerFaults] = {}

    async def reserve(self, worker: WorkerId, command: Reserve):
        """Reserve accelerators for one attempt."""
        self._require_reachable(worker, "reserve")
        await self.inner.reserve(worker, command)

    async def start(self, worker: WorkerId, command: Start):
        """Start the tasks of a reserved attempt."""
        self._require_reachable(worker, "start")
        await self.inner.start(worker, command)

    async def renew(self, worker: WorkerId, command: Renew) -> WorkerReport:
        """Extend the leases of running attempts and return the worker's report."""
        self._require_reachable(worker, "renew")
        return await self.inner.renew(worker, command)

    async def stop(self, worker: WorkerId, command: Stop) -> float:
        """End an attempt and return its checkpointed progress."""
        self._require_reachable(worker, "stop")
        return await self.inner.stop(worker, command)

    async def report(self, worker: WorkerId) -> WorkerReport:
        """Return the leases that the worker holds."""
        self._require_reachable(worker, "report")
        return await self.inner.report(worker)

    def _require_reachable(self, worker: WorkerId, verb: str):
        faults = self.faults.get(worker)
        if faults is None:
            return
        if faults.unreachable or verb in faults.deaf_to:
            raise WorkerError("The worker is unreachable for this command.")


class FaultyPlatform(Platform):
    """The embedded platform as one host sees it, with injected faults."""

    def __init__(self, inner: EmbeddedPlatform, faults: PlatformFaults, host: str = ""):
        self.inner = inner
        self.faults = faults
        self.table = FaultyTable(inner.table, faults, host)
        self.objects = FaultyObjects(inner.objects, faults, host)
        self.hosts = FaultyHostList(inner.hosts, faults, host)
        self.workers = FaultyWorkers(inner.workers)

    async def close(self):
        """Do nothing; there are no resources to release."""


async def apply_faults(faults: PlatformFaults, host: str):
    """Wait for the injected latency; raises StoreUnavailableError in an outage.

    `host` is the caller; the platform is unavailable to hosts in `cut_hosts`.
    """
    wait = faults.latency_seconds + faults.slow_seconds
    if wait:
        await asyncio.sleep(wait)
    if faults.outage or host in faults.cut_hosts:
        raise StoreUnavailableError("The platform is unavailable to this host.")
