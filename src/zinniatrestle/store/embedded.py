"""The platform's services in memory, for trials, tests and stand-ins."""

from zinniatrestle.clock import Clock
from zinniatrestle.errors import ResultCode, WorkerError
from zinniatrestle.ids import RowKey, WorkerId
from zinniatrestle.store.interfaces import (
    HostList,
    ObjectStore,
    Platform,
    TableService,
    Workers,
)
from zinniatrestle.store.messages import (
    Commit,
    HostRole,
    ListedHost,
    Renew,
    Reserve,
    Row,
    Start,
    Stop,
    Transaction,
    WorkerReport,
)
from zinniatrestle.store.state import TableState, WorkerState


class EmbeddedTable(TableService):
    """Serve rows out of memory."""

    def __init__(self):
        self.state = TableState()

    async def read(self, keys: list[RowKey]) -> dict[RowKey, Row]:
        """Return the rows that exist among `keys`."""
        return self.state.read(keys)

    async def scan(self, prefix: str, after: RowKey, limit: int) -> list[Row]:
        """Return rows under `prefix` behind `after`."""
        return self.state.scan(prefix, after, limit)

    async def commit(self, transaction: Transaction) -> Commit:
        """Apply a transaction if all its checks hold."""
        return self.state.commit(transaction)


class EmbeddedObjects(ObjectStore):
    """Serve objects out of memory."""

    def __init__(self):
        self.bodies: dict[str, bytes] = {}

    async def put_if_absent(self, name: str, body: bytes) -> bool:
        """Write an object unless one of that name exists."""
        if name in self.bodies:
            return False
        self.bodies[name] = body
        return True

    async def get(self, name: str) -> bytes | None:
        """Return an object's body, or None."""
        return self.bodies.get(name)


class EmbeddedHostList(HostList):
    """List the machines it was given."""

    def __init__(self, listed: list[ListedHost]):
        self.listed = {host.name: host for host in listed}

    async def hosts(self) -> list[ListedHost]:
        """Return the machines known to the platform."""
        return list(self.listed.values())


class EmbeddedWorkers(Workers):
    """Command workers that live in this process."""

    def __init__(self, listed: list[ListedHost], clock: Clock):
        self.states: dict[WorkerId, WorkerState] = {}
        for host in listed:
            if host.role is not HostRole.WORKER:
                continue
            self.states[WorkerId(host.name)] = WorkerState(host, clock)

    def state(self, worker: WorkerId) -> WorkerState:
        """Return one worker's state."""
        state = self.states.get(worker)
        if state is None:
            raise WorkerError("No such worker.", ResultCode.WORKER_UNREACHABLE)
        return state

    async def reserve(self, worker: WorkerId, command: Reserve):
        """Hold accelerators for one attempt."""
        self.state(worker).reserve(command)

    async def start(self, worker: WorkerId, command: Start):
        """Start the tasks of a reserved attempt."""
        self.state(worker).start(command)

    async def renew(self, worker: WorkerId, command: Renew) -> WorkerReport:
        """Extend the leases of running attempts and report."""
        return self.state(worker).renew(command)

    async def stop(self, worker: WorkerId, command: Stop) -> float:
        """End an attempt and return its checkpointed progress in seconds."""
        return self.state(worker).stop(command)

    async def report(self, worker: WorkerId) -> WorkerReport:
        """Return what the worker holds now."""
        return self.state(worker).report()


class EmbeddedPlatform(Platform):
    """Bundle the services in memory."""

    def __init__(self, listed: list[ListedHost], clock: Clock):
        self.table = EmbeddedTable()
        self.objects = EmbeddedObjects()
        self.hosts = EmbeddedHostList(listed)
        self.workers = EmbeddedWorkers(listed, clock)

    async def close(self):
        """Give back nothing; all is in memory."""
