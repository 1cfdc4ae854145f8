"""In-memory version of the platform's services, for trials, tests and stand-ins."""

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
    """Keep the rows of a table in memory."""

    def __init__(self):
        self.state = TableState()

    async def read(self, keys: list[RowKey]) -> dict[RowKey, Row]:
        """Return the rows that exist among `keys`."""
        return self.state.read(keys)

    async def scan(self, prefix: str, after: RowKey, limit: int) -> list[Row]:
        """Return at most `limit` rows under `prefix` whose keys follow `after`."""
        return self.state.scan(prefix, after, limit)

    async def commit(self, transaction: Transaction) -> Commit:
        """Apply a transaction if all its checks pass."""
        return self.state.commit(transaction)


class EmbeddedObjects(ObjectStore):
    """Keep objects in memory."""

    def __init__(self):
        self.bodies: dict[str, bytes] = {}

    async def put_if_absent(self, name: str, body: bytes) -> bool:
        """Write an object and return True, or return False if the name exists."""
        if name in self.bodies:
            return False
        self.bodies[name] = body
        return True

    async def get(self, name: str) -> bytes | None:
        """Return the body of an object, or None if it does not exist."""
        return self.bodies.get(name)


class EmbeddedHostList(HostList):
    """List a fixed set of hosts."""

    def __init__(self, listed: list[ListedHost]):
        self.listed = {host.name: host for host in listed}

    async def hosts(self) -> list[ListedHost]:
        """Return the hosts passed to the constructor."""
        return list(self.listed.values())


class EmbeddedWorkers(Workers):
    """Send commands to workers simulated in this process."""

    def __init__(self, listed: list[ListedHost], clock: Clock):
        self.states: dict[WorkerId, WorkerState] = {}
        for host in listed:
            if host.role is not HostRole.WORKER:
                continue
            self.states[WorkerId(host.name)] = WorkerState(host, clock)

    def state(self, worker: WorkerId) -> WorkerState:
        """Return the state of a worker; raises WorkerError if it does not exist."""
        state = self.states.get(worker)
        if state is None:
            raise WorkerError(
                "The platform has no worker of this name.",
                ResultCode.WORKER_UNREACHABLE,
            )
        return state

    async def reserve(self, worker: WorkerId, command: Reserve):
        """Reserve accelerators, cores and memory for an attempt."""
        self.state(worker).reserve(command)

    async def start(self, worker: WorkerId, command: Start):
        """Start the tasks of a reserved attempt."""
        self.state(worker).start(command)

    async def renew(self, worker: WorkerId, command: Renew) -> WorkerReport:
        """Extend the leases of attempts and return the worker's report."""
        return self.state(worker).renew(command)

    async def stop(self, worker: WorkerId, command: Stop) -> float:
        """Stop an attempt and return its checkpointed progress in seconds."""
        return self.state(worker).stop(command)

    async def report(self, worker: WorkerId) -> WorkerReport:
        """Return the attempts that the worker holds now."""
        return self.state(worker).report()


class EmbeddedPlatform(Platform):
    """Provide all services of the platform in memory."""

    def __init__(self, listed: list[ListedHost], clock: Clock):
        self.table = EmbeddedTable()
        self.objects = EmbeddedObjects()
        self.hosts = EmbeddedHostList(listed)
        self.workers = EmbeddedWorkers(listed, clock)

    async def close(self):
        """Do nothing, since no connections are open."""
