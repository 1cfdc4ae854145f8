"""An HTTP server for the platform's table service, object store and host list."""

from typing import Any

import msgspec
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from zinniatrestle.clock import SystemClock
from zinniatrestle.errors import StoreUnavailableError, StoreUncertainError
from zinniatrestle.standins.faults import FaultyPlatform
from zinniatrestle.standins.messages import PlatformCounts, PlatformFaults
from zinniatrestle.store.embedded import EmbeddedPlatform
from zinniatrestle.store.http import HOST_HEADER, ReadCall, ScanCall
from zinniatrestle.store.messages import ListedHost, Transaction

# The HTTP status code of all calls in an outage.
UNAVAILABLE = 503
# A Content-Length beyond the empty body, so that the connection is cut.
UNREACHED_CONTENT_LENGTH = "1000000"
# The approximate size of the status line and headers of a response.
RESPONSE_HEAD_BYTES = 90


class PlatformServer:
    """Serve the embedded platform over HTTP, with injected faults.

    The sizes in `bytes_in` and `bytes_out` include the heads of requests and responses.
    """

    def __init__(self):
        self.embedded = EmbeddedPlatform([], SystemClock())
        self.faults = PlatformFaults()
        self.views: dict[str, FaultyPlatform] = {}
        self.bytes_in = 0
        self.bytes_out = 0

    def app(self) -> Starlette:
        """Return the ASGI application."""
        routes = [
            Route("/table/read", self.read, methods=["POST"]),
            Route("/table/scan", self.scan, methods=["POST"]),
            Route("/table/commit", self.commit, methods=["POST"]),
            Route("/objects/put/{name:path}", self.put_object, methods=["POST"]),
            Route("/objects/get/{name:path}", self.get_object, methods=["POST"]),
            Route("/hosts", self.hosts, methods=["POST"]),
            Route("/control/faults", self.set_faults, methods=["POST"]),
            Route("/control/hosts", self.set_hosts, methods=["POST"]),
            Route("/control/counts", self.counts, methods=["GET"]),
        ]
        return Starlette(routes=routes)

    def view(self, request: Request) -> FaultyPlatform:
        """Return the platform as seen by the host that sent the request."""
        host = request.headers.get(HOST_HEADER, "")
        if host not in self.views:
            self.views[host] = FaultyPlatform(self.embedded, self.faults, host)
        return self.views[host]

    async def read(self, request: Request) -> Response:
        """Read rows."""
        call = await self._body(request, ReadCall)
        found = self.view(request).table.read(call.keys)
        return await self._answer(found, lambda rows: list(rows.values()))

    async def scan(self, request: Request) -> Response:
        """Scan rows."""
        call = await self._body(request, ScanCall)
        table = self.view(request).table
        return await self._answer(table.scan(call.prefix, call.after, call.limit))

    async def commit(self, request: Request) -> Response:
        """Commit a transaction."""
        transaction = await self._body(request, Transaction)
        return await self._answer(self.view(request).table.commit(transaction))

    async def put_object(self, request: Request) -> Response:
        """Write an object."""
        body = await self._body(request, bytes)
        objects = self.view(request).objects
        return await self._answer(
            objects.put_if_absent(request.path_params["name"], body)
        )

    async def get_object(self, request: Request) -> Response:
        """Read an object."""
        objects = self.view(request).objects
        return await self._answer(objects.get(request.path_params["name"]))

    async def hosts(self, request: Request) -> Response:
        """Return the listed machines."""
        return await self._answer(self.view(request).hosts.hosts())

    async def set_faults(self, request: Request) -> Response:
        """Replace the injected faults."""
        faults = msgspec.json.decode(await request.body(), type=PlatformFaults)
        for name in PlatformFaults.__struct_fields__:
            setattr(self.faults, name, getattr(faults, name))
        return Response()

    async def set_hosts(self, request: Request) -> Response:
        """Replace the list of machines."""
        body = await request.body()
        listed = msgspec.json.decode(body, type=list[ListedHost])
        self.embedded.hosts.listed = {host.name: host for host in listed}
        return Response()

    async def counts(self, request: Request) -> Response:
        """Return the counts of calls, rows and bytes."""
        state = self.embedded.table.state
        sizes = [len(row.value) for row in state.rows.values()]
        counts = PlatformCounts(
            state.reads,
            state.commits,
            len(state.rows),
            max(sizes, default=0),
            self.bytes_in,
            self.bytes_out,
        )
        return Response(msgspec.json.encode(counts))

    async def _body(self, request: Request, body_type: Any) -> Any:
        body = await request.body()
        self.bytes_in += len(body) + request_head_bytes(request)
        return msgspec.msgpack.decode(body, type=body_type)

    async def _answer(self, call, convert=lambda result: result) -> Response:
        try:
            result = await call
        except StoreUnavailableError:
            return Response(status_code=UNAVAILABLE)
        except StoreUncertainError:
            # The body is shorter than its Content-Length, so the server closes the
            # connection and the client gets no complete answer.
            return Response(headers={"Content-Length": UNREACHED_CONTENT_LENGTH})
        body = msgspec.msgpack.encode(convert(result))
        self.bytes_out += len(body) + RESPONSE_HEAD_BYTES
        return Response(body)


def request_head_bytes(request: Request) -> int:
    """Return the bytes of a request's path and headers."""
    lines = sum(len(name) + len(value) + 4 for name, value in request.headers.raw)
    return lines + len(request.url.path)
