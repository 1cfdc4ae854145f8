"""HTTP clients of the platform's services."""

from typing import Any

import aiohttp
import msgspec

from zinniatrestle.clock import monotonic
from zinniatrestle.errors import (
    ResultCode,
    StoreUnavailableError,
    StoreUncertainError,
    WorkerError,
)
from zinniatrestle.ids import HostId, RowKey, WorkerId
from zinniatrestle.store.caching import CachedHostList
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

HOST_HEADER = "Zinniatrestle-Host"
READ_TIMEOUT_SECONDS = 2.0
WRITE_TIMEOUT_SECONDS = 3.0
CONNECT_TIMEOUT_SECONDS = 1.0
ADDRESS_REFRESH_SECONDS = 5.0
UNAVAILABLE_STATUS = 503
# A service that failed may have done a part of its work.
FIRST_SERVER_ERROR_STATUS = 500


class ReadCall(msgspec.Struct, frozen=True):
    """Body of a call that reads rows by key."""

    keys: list[RowKey]


class ScanCall(msgspec.Struct, frozen=True):
    """Body of a call that reads a page of rows by prefix."""

    prefix: str
    after: RowKey
    limit: int


class WorkerAnswer(msgspec.Struct, frozen=True):
    """Answer of a worker; a `code` other than 0 is a refusal."""

    code: int = 0
    detail: str = ""
    body: bytes = b""


class StopAnswer(msgspec.Struct, frozen=True):
    """Body of the answer to a stop; `progress` in seconds."""

    progress: float


class HttpClient:
    """HTTP client that shares one session between the services."""

    def __init__(self, base: str, host: HostId):
        self.base = base.rstrip("/")
        self.host = host
        self.session: aiohttp.ClientSession | None = None

    async def post(self, path: str, body: Any, timeout: float) -> bytes:
        """Post to a path of the platform; raises as `post_to` does."""
        return await self.post_to(self.base + path, body, timeout)

    async def post_to(self, url: str, body: Any, timeout: float) -> bytes:
        """Post a body as MessagePack and return the body of the answer.

        `timeout` is in seconds. Raises StoreUnavailableError if the call had no
        effect, and StoreUncertainError if it may have taken effect.
        """
        data = msgspec.msgpack.encode(body)
        client_timeout = aiohttp.ClientTimeout(
            total=timeout, sock_connect=CONNECT_TIMEOUT_SECONDS
        )
        try:
            async with self._session().post(
                url, data=data, timeout=client_timeout
            ) as response:
                answer = await response.read()
                if response.status == UNAVAILABLE_STATUS:
                    raise StoreUnavailableError(
                        "The service is unavailable (status 503)."
                    )
                if response.status >= FIRST_SERVER_ERROR_STATUS:
                    raise StoreUncertainError(
                        f"The service failed (status {response.status})."
                    )
                if response.status >= 400:
                    raise StoreUnavailableError(answer.decode(errors="replace"))
                return answer
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
            raise StoreUnavailableError(
                "No connection to the service could be opened."
            ) from error
        except (TimeoutError, aiohttp.ClientError, OSError) as error:
            raise StoreUncertainError(
                "The call was sent, but its answer was lost."
            ) from error

    async def read(self, path: str, body: Any) -> bytes:
        """Post a read-only call; raises StoreUnavailableError on any failure."""
        try:
            return await self.post(path, body, READ_TIMEOUT_SECONDS)
        except StoreUncertainError as error:
            raise StoreUnavailableError(error.detail) from error

    async def close(self):
        """Close all connections."""
        if self.session is not None:
            await self.session.close()

    def _session(self) -> aiohttp.ClientSession:
        if self.session is None:
            connector = aiohttp.TCPConnector(limit=0)
            self.session = aiohttp.ClientSession(
                connector=connector, headers={HOST_HEADER: self.host}
            )
        return self.session


class HttpTable(TableService):
    """Client of the table service."""

    def __init__(self, client: HttpClient):
        self.client = client

    async def read(self, keys: list[RowKey]) -> dict[RowKey, Row]:
        """Return the rows that exist among `keys`."""
        answer = await self.client.read("/table/read", ReadCall(keys))
        rows = msgspec.msgpack.decode(answer, type=list[Row])
        return {row.key: row for row in rows}

    async def scan(self, prefix: str, after: RowKey, limit: int) -> list[Row]:
        """Return at most `limit` rows under `prefix` whose keys follow `after`."""
        call = ScanCall(prefix, after, limit)
        answer = await self.client.read("/table/scan", call)
        return msgspec.msgpack.decode(answer, type=list[Row])

    async def commit(self, transaction: Transaction) -> Commit:
        """Apply a transaction if all its checks pass."""
        answer = await self.client.post(
            "/table/commit", transaction, WRITE_TIMEOUT_SECONDS
        )
        return msgspec.msgpack.decode(answer, type=Commit)


class HttpObjects(ObjectStore):
    """Client of the object store."""

    def __init__(self, client: HttpClient):
        self.client = client

    async def put_if_absent(self, name: str, body: bytes) -> bool:
        """Write an object and return True, or return False if the name exists."""
        answer = await self.client.post(
            f"/objects/put/{name}", body, WRITE_TIMEOUT_SECONDS
        )
        return msgspec.msgpack.decode(answer, type=bool)

    async def get(self, name: str) -> bytes | None:
        """Return the body of an object, or None if it does not exist."""
        answer = await self.client.read(f"/objects/get/{name}", b"")
        return msgspec.msgpack.decode(answer, type=bytes | None)


class HttpHostList(HostList):
    """Client of the platform's list of hosts."""

    def __init__(self, client: HttpClient):
        self.client = client

    async def hosts(self) -> list[ListedHost]:
        """Return the hosts that the platform lists."""
        answer = await self.client.read("/hosts", b"")
        return msgspec.msgpack.decode(answer, type=list[ListedHost])


class HttpWorkers(Workers):
    """Send commands to workers at the addresses that the platform lists."""

    def __init__(self, client: HttpClient, hosts: HostList):
        self.client = client
        self.hosts = hosts
        self.addresses: dict[WorkerId, str] = {}
        self.addresses_read_at = -ADDRESS_REFRESH_SECONDS

    async def reserve(self, worker: WorkerId, command: Reserve):
        """Reserve accelerators, cores and memory for an attempt."""
        await self._command(worker, "reserve", command)

    async def start(self, worker: WorkerId, command: Start):
        """Start the tasks of a reserved attempt."""
        await self._command(worker, "start", command)

    async def renew(self, worker: WorkerId, command: Renew) -> WorkerReport:
        """Extend the leases of attempts and return the worker's report."""
        answer = await self._command(worker, "renew", command)
        return msgspec.msgpack.decode(answer, type=WorkerReport)

    async def stop(self, worker: WorkerId, command: Stop) -> float:
        """Stop an attempt and return its checkpointed progress in seconds."""
        answer = await self._command(worker, "stop", command)
        return msgspec.msgpack.decode(answer, type=StopAnswer).progress

    async def report(self, worker: WorkerId) -> WorkerReport:
        """Return the attempts that the worker holds now."""
        answer = await self._command(worker, "report", b"")
        return msgspec.msgpack.decode(answer, type=WorkerReport)

    async def _command(self, worker: WorkerId, verb: str, command: Any) -> bytes:
        url = f"http://{await self._address(worker)}/workers/{worker}/{verb}"
        try:
            answer = await self.client.post_to(url, command, WRITE_TIMEOUT_SECONDS)
        except (StoreUnavailableError, StoreUncertainError) as error:
            raise WorkerError(error.detail) from error
        worker_answer = msgspec.msgpack.decode(answer, type=WorkerAnswer)
        if worker_answer.code != ResultCode.OK:
            raise WorkerError(worker_answer.detail, ResultCode(worker_answer.code))
        return worker_answer.body

    async def _address(self, worker: WorkerId) -> str:
        """Return a worker's address, the last known one if the list is unavailable."""
        if monotonic() - self.addresses_read_at >= ADDRESS_REFRESH_SECONDS:
            try:
                listed = await self.hosts.hosts()
            except StoreUnavailableError:
                listed = []
            for host in listed:
                if host.role is HostRole.WORKER:
                    self.addresses[WorkerId(host.name)] = host.address
            self.addresses_read_at = monotonic()
        address = self.addresses.get(worker)
        if address is None:
            raise WorkerError(f"The platform lists no worker named {worker}.")
        return address


class HttpPlatform(Platform):
    """Provide all services of the platform under one base URL."""

    def __init__(self, base: str, host: HostId):
        self.client = HttpClient(base, host)
        self.table = HttpTable(self.client)
        self.objects = HttpObjects(self.client)
        self.hosts = CachedHostList(HttpHostList(self.client))
        self.workers = HttpWorkers(self.client, self.hosts)

    async def close(self):
        """Close all connections."""
        await self.client.close()
