"""Requests over real connections: one at a time, whole or in pieces, and in time."""

import asyncio
import contextlib
import socket
from dataclasses import replace

import pytest
import uvicorn
from starlette.applications import Starlette
from starlette.responses import Response
from starlette.routing import Route

from zinniatrestle.errors import CallerError
from zinniatrestle.ingress import (
    Cause,
    ClientListener,
    ConnectionLimits,
    HttpProtocol,
    LimitedServer,
)
from zinniatrestle.ingress.states import ConnectionPhase
from zinniatrestle.web import problem_response, read_body

MAX_BODY_BYTES = 20_000
LIMITS = ConnectionLimits(connections=100, max_body=MAX_BODY_BYTES)
TIMEOUT_SECONDS = 20.0
LARGE_RESPONSE = b"r" * 8_000_000
HOST = b"Host: h\r\n"


class Server:
    """A server with some calls, and what its application has seen."""

    def __init__(self, listener: ClientListener):
        self.listener = listener
        self.seen: list[tuple[str, bytes]] = []
        self.broken: list[str] = []
        self.waiting = asyncio.Event()
        self.go_on = asyncio.Event()
        self.port = 0
        self.http: LimitedServer | None = None

    def app(self) -> Starlette:
        return Starlette(
            routes=[
                Route("/body/{name}", self.take_body, methods=["POST"]),
                Route("/early/{name}", self.answer_early, methods=["GET", "POST"]),
                Route("/wait/{name}", self.wait, methods=["GET", "DELETE"]),
                Route("/large", self.answer_large),
            ]
        )

    async def take_body(self, request):
        try:
            body = await read_body(request, MAX_BODY_BYTES)
        except CallerError as error:
            self.broken.append(request.path_params["name"])
            return problem_response(error.code, error.detail)
        self.seen.append((request.path_params["name"], body))
        return Response(request.path_params["name"])

    async def answer_early(self, request):
        self.seen.append((request.path_params["name"], b""))
        return Response(request.path_params["name"], 401)

    async def wait(self, request):
        self.seen.append((request.path_params["name"], b""))
        self.waiting.set()
        await self.go_on.wait()
        return Response(request.path_params["name"])

    async def answer_large(self, request):
        return Response(LARGE_RESPONSE)

    async def connect(self):
        return await asyncio.open_connection("127.0.0.1", self.port)


def run_with_server(check, limits: ConnectionLimits = LIMITS):
    async def run():
        server = Server(ClientListener(limits))
        listening = socket.create_server(("127.0.0.1", 0))
        server.port = listening.getsockname()[1]
        config = uvicorn.Config(
            server.app(),
            http=HttpProtocol,
            log_config=None,
            lifespan="off",
            date_header=False,
            timeout_graceful_shutdown=1,
        )
        http = server.http = LimitedServer(config, server.listener)
        serving = asyncio.create_task(http.serve(sockets=[listening]))
        try:
            async with asyncio.timeout(TIMEOUT_SECONDS):
                await check(server)
        finally:
            server.go_on.set()
            http.should_exit = True
            await serving
        assert server.listener.budget.bytes == 0
        assert not server.listener.connections

    asyncio.run(run())


async def read_response(reader) -> tuple[int, bytes]:
    head = await reader.readuntil(b"\r\n\r\n")
    length = 0
    for line in head.lower().split(b"\r\n"):
        if line.startswith(b"content-length:"):
            length = int(line.partition(b":")[2])
    return int(head.split()[1]), await reader.readexactly(length)


async def ended(reader) -> bool:
    """Wait until the server has closed the connection."""
    with contextlib.suppress(ConnectionError):
        return await reader.read() == b""
    return True


async def eventually(condition):
    while not condition():
        await asyncio.sleep(0.02)


def post(name: str, body: bytes, path: str = "body", headers: bytes = b"") -> bytes:
    head = f"POST /{path}/{name} HTTP/1.1\r\nContent-Length: {len(body)}\r\n".encode()
    return head + HOST + headers + b"\r\n" + body


def chunked(name: str, *chunks: bytes, trailers: bytes = b"") -> bytes:
    head = f"POST /body/{name} HTTP/1.1\r\nTransfer-Encoding: chunked\r\n".encode()
    body = b"".join(b"%x;a=b\r\n%b\r\n" % (len(chunk), chunk) for chunk in chunks)
    return head + HOST + b"\r\n" + body + b"0\r\n" + trailers + b"\r\n"


BODY = bytes(range(256)) * 4 + b"\r\n\r\n0\r\n\r\nGET / HTTP/1.1\r\n\r\n"
REQUESTS = (
    b"\r\n" + post("a", BODY),
    b"GET /early/b HTTP/1.1\r\n" + HOST + b"\r\n",
    chunked("c", b"x" * 700, b"\r\n\r\n", b"y"),
    b"\r\n\r\n" + chunked("d", BODY, b"z", trailers=b"Trailer: t\r\n"),
    post("e", b""),
    post("f", b"", headers=b"Connection: Upgrade\r\nUpgrade: h2c\r\n"),
    b"GET /early/g HTTP/1.1\r\nConnection: Upgrade\r\nUpgrade: websocket\r\n"
    + HOST
    + b"\r\n",
    post("h", BODY, path="early"),
    post("i", b"last"),
)
SEEN = [
    ("a", BODY),
    ("b", b""),
    ("c", b"x" * 700 + b"\r\n\r\ny"),
    ("d", BODY + b"z"),
    ("e", b""),
    ("f", b""),
    ("g", b""),
    ("h", b""),
    ("i", b"last"),
]


# Guards against ends of messages that are missed at the border of two reads.
@pytest.mark.parametrize("size", [1, 2, 3, 7, 100, 1000, 10**6])
def test_requests_in_pieces_of_any_size_are_served_in_their_order(size):
    async def check(server):
        reader, writer = await server.connect()
        data = b"".join(REQUESTS)

        async def send():
            for start in range(0, len(data), size):
                writer.write(data[start : start + size])
                if size < 1000:
                    # So that pieces arrive in reads of their own.
                    await asyncio.sleep(0)
            await writer.drain()

        sending = asyncio.create_task(send())
        for name, _ in SEEN:
            status = 401 if name in "bgh" else 200
            assert await read_response(reader) == (status, name.encode())
        await sending
        assert server.seen == SEEN
        writer.close()
        await eventually(lambda: not server.listener.connections)
        assert not server.listener.counters.refused

    run_with_server(check)


# Guards against requests that are parsed, or run, before their turn.
def test_a_later_request_waits_unparsed_for_the_response_to_the_first():
    async def check(server):
        reader, writer = await server.connect()
        get = b"GET /wait/a HTTP/1.1\r\n" + HOST + b"\r\n"
        writer.write(get + post("b", b"x") * 10_000)
        await server.waiting.wait()
        await asyncio.sleep(0.3)
        assert server.seen == [("a", b"")]
        (connection,) = server.listener.connections.values()
        assert len(connection.unparsed) <= 16_384
        assert server.listener.budget.bytes < 32_768
        server.go_on.set()
        for number in range(10_001):
            assert await read_response(reader) == (200, b"b" if number else b"a")
        writer.close()

    run_with_server(check)


def test_a_caller_that_waits_for_100_continue_gets_it():
    async def check(server):
        reader, writer = await server.connect()
        data = post("a", b"body", headers=b"Expect: 100-continue\r\n")
        writer.write(data[:-4])
        assert await read_response(reader) == (100, b"")
        writer.write(data[-4:])
        assert await read_response(reader) == (200, b"a")
        writer.close()

    run_with_server(check)


def test_a_connection_goes_on_after_an_answer_that_came_before_the_body():
    async def check(server):
        reader, writer = await server.connect()
        data = post("a", b"x" * 15_000, path="early")
        writer.write(data[:-10_000])
        assert await read_response(reader) == (401, b"a")
        writer.write(data[-10_000:] + post("b", b"x"))
        assert await read_response(reader) == (200, b"b")
        writer.close()

    run_with_server(check)


# Guards against bodies without an end, whoever answers the call, and against answers
# that a reset of the connection takes back.
@pytest.mark.parametrize("path, status", [("body", 413), ("early", 401)])
@pytest.mark.parametrize("is_chunked", [False, True])
@pytest.mark.parametrize("is_last", [False, True])
def test_a_body_over_the_limit_ends_the_connection(path, status, is_chunked, is_last):
    async def check(server):
        reader, writer = await server.connect()
        data = post("a", b"x" * 40 * MAX_BODY_BYTES, path=path)
        if is_chunked:
            data = chunked("a", *[b"x" * 1000] * 800).replace(b"body", path.encode(), 1)
        if is_last:
            data = data.replace(HOST, HOST + b"Connection: close\r\n", 1)
        writer.write(data)
        assert (await read_response(reader))[0] == status
        assert await ended(reader)
        writer.close()
        await eventually(lambda: not server.listener.connections)

    run_with_server(check)


# Guards against a client that sends its next call on a connection that has ended.
@pytest.mark.parametrize("size", [6000, 100_000])
@pytest.mark.parametrize("path", ["early", "body"])
@pytest.mark.parametrize("is_chunked", [False, True])
def test_the_answer_to_a_body_over_the_limit_tells_that_it_is_the_last(
    size, path, is_chunked
):
    async def check(server):
        reader, writer = await server.connect()
        data = post("a", b"x" * size)
        if is_chunked:
            data = chunked("a", b"x" * size)
        writer.write(data.replace(b"/body/", f"/{path}/".encode(), 1))
        head = await reader.readuntil(b"\r\n\r\n")
        assert b"connection: close\r\n" in head
        await reader.read()
        writer.close()

    run_with_server(check, replace(LIMITS, max_body=5000))


# Guards against an application whose own limit is higher, and that waits for the rest.
def test_a_body_over_the_limit_is_refused_in_time_whatever_the_application_allows():
    async def check(server):
        reader, writer = await server.connect()
        writer.write(post("a", b"x" * 19_000)[:-1])
        assert (await read_response(reader))[0] == 413
        assert await ended(reader)
        assert server.seen == []
        writer.close()

    run_with_server(check, replace(LIMITS, max_body=5000, body_timeout=0.3))


def test_a_body_at_the_limit_is_served_in_chunks_of_one_byte():
    async def check(server):
        reader, writer = await server.connect()
        data = chunked("a", *[b"x"] * MAX_BODY_BYTES).replace(b";a=b", b"")
        writer.write(data)
        assert await read_response(reader) == (200, b"a")
        assert server.seen == [("a", b"x" * MAX_BODY_BYTES)]
        writer.close()

    run_with_server(check)


@pytest.mark.parametrize(
    "data, status",
    [
        (b"GET / HTTP/1.1\r\nLong: " + b"a" * 5000, 413),
        (b"GET /" + b"a" * 5000, 413),
        (b"\r\n" * 2500, 413),
        (b"GET / HTTP/1.1\r\n" + b"a:b\r\n" * 1000, 413),
        (chunked("a", b"x", trailers=b"a:b\r\n" * 1000), 413),
        (b"POST /body/a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nx\r\n", 400),
        (
            b"POST /body/a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n1;"
            + b"a" * 2000,
            400,
        ),
        (b"POST /body/a HTTP/1.1\r\nContent-Length: 1, 2\r\n\r\nxx", 400),
        (b"GET / HTTP/1.1\n\nGET / HTTP/1.1\n\n\r\n\r\n", 400),
        (b"\0\r\n\r\n", 400),
        (post("a", b"x", headers=b"Connection: Upgrade\r\nUpgrade: h2c\r\n"), 400),
    ],
)
@pytest.mark.parametrize("size", [10, 10**6])
def test_a_bad_message_is_refused_and_nothing_runs(data, status, size):
    async def check(server):
        reader, writer = await server.connect()
        with contextlib.suppress(ConnectionError):
            for start in range(0, len(data), size):
                writer.write(data[start : start + size])
                await writer.drain()
        assert (await read_response(reader))[0] == status
        assert await ended(reader)
        assert server.seen == []
        writer.close()
        await eventually(lambda: not server.listener.connections)
        assert server.listener.counters.refused.total() == 1

    run_with_server(check, replace(LIMITS, max_head=4096))


# Guards against requests that hold memory for as long as their clients like.
@pytest.mark.parametrize(
    "data, cause",
    [
        (b"GET / HTTP/1.1\r\nHost: h", Cause.HEAD_TIMEOUT),
        (post("a", b"body")[:-1], Cause.BODY_TIMEOUT),
        (chunked("a", b"body")[:-3], Cause.BODY_TIMEOUT),
    ],
)
def test_a_request_that_is_not_complete_in_time_is_refused_and_not_run(data, cause):
    async def check(server):
        reader, writer = await server.connect()
        writer.write(data)
        assert (await read_response(reader))[0] == 408
        assert await ended(reader)
        writer.close()
        await eventually(lambda: not server.listener.connections)
        assert server.seen == []
        assert server.listener.counters.closed[cause] == 1
        assert server.listener.counters.refused[cause] == 1

    run_with_server(check, replace(LIMITS, head_timeout=0.3, body_timeout=0.3))


# Guards against a second response, which the client takes for that to its next call.
@pytest.mark.parametrize("ending", [b"", b"not a chunk\r\n"])
def test_a_body_that_breaks_off_after_its_answer_gets_no_other(ending):
    async def check(server):
        reader, writer = await server.connect()
        data = chunked("a", b"x").replace(b"body", b"early", 1)
        writer.write(data[:-5])
        assert await read_response(reader) == (401, b"a")
        writer.write(ending)
        assert await ended(reader)
        writer.close()

    run_with_server(check, replace(LIMITS, body_timeout=0.3))


# Guards against a false answer for a call that has begun without its body.
def test_a_call_that_has_begun_gets_no_error_for_its_late_body():
    async def check(server):
        reader, writer = await server.connect()
        writer.write(b"DELETE /wait/a HTTP/1.1\r\nContent-Length: 9\r\n\r\n")
        assert await ended(reader)
        assert server.seen == [("a", b"")]
        writer.close()

    run_with_server(check, replace(LIMITS, body_timeout=0.3))


@pytest.mark.parametrize(
    "data, cause", [(b"", Cause.IDLE), (b"\r\n", Cause.HEAD_TIMEOUT)]
)
def test_an_idle_connection_is_closed_without_an_answer(data, cause):
    async def check(server):
        reader, writer = await server.connect()
        writer.write(data)
        assert await ended(reader)
        writer.close()
        await eventually(lambda: server.listener.counters.closed[cause] == 1)

    run_with_server(check, replace(LIMITS, idle_timeout=0.3, head_timeout=0.3))


def test_a_connection_whose_response_is_not_read_is_closed():
    async def check(server):
        _, writer = await server.connect()
        writer.transport.pause_reading()
        writer.write(b"GET /large HTTP/1.1\r\n" + HOST + b"\r\n")
        closed = server.listener.counters.closed
        await eventually(lambda: closed[Cause.WRITE_TIMEOUT] == 1)
        writer.close()

    run_with_server(check, replace(LIMITS, write_timeout=0.3))


# Guards against responses that pile up for a peer that doesn't read.
def test_no_request_is_parsed_while_the_last_response_is_not_written():
    async def check(server):
        reader, writer = await server.connect()
        writer.transport.pause_reading()
        writer.write(b"GET /large HTTP/1.1\r\n" + HOST + b"\r\n" + post("b", b"x"))
        await eventually(
            lambda: ConnectionPhase.UNREAD in server.listener.budget.phases.values()
        )
        await asyncio.sleep(0.2)
        assert server.seen == []
        writer.transport.resume_reading()
        assert (await read_response(reader))[0] == 200
        assert await read_response(reader) == (200, b"b")
        writer.close()

    run_with_server(check)


# Guards against a flood of connections that leaves no room for an ordinary one.
def test_an_idle_connection_makes_room_for_a_new_one():
    async def check(server):
        idle = [await server.connect() for _ in range(5)]
        await eventually(lambda: len(server.listener.connections) == 3)
        reader, writer = await server.connect()
        writer.write(post("a", b"x"))
        assert await read_response(reader) == (200, b"a")
        assert server.listener.counters.closed[Cause.CONNECTIONS] == 3
        for _, idle_writer in idle:
            idle_writer.close()
        writer.close()

    run_with_server(check, replace(LIMITS, connections=3))


def test_stalled_bodies_make_room_when_memory_runs_out():
    async def check(server):
        stalled = []
        for number in range(20):
            reader, writer = await server.connect()
            writer.write(post(str(number), b"x" * 15_000)[:-1])
            stalled.append(writer)
        reader, writer = await server.connect()
        writer.write(post("a", b"x"))
        assert await read_response(reader) == (200, b"a")
        assert server.listener.counters.closed[Cause.MEMORY] > 0
        assert server.listener.budget.bytes <= 200_000
        assert server.seen == [("a", b"x")]
        for stalled_writer in stalled:
            stalled_writer.close()
        writer.close()

    run_with_server(check, replace(LIMITS, memory=200_000))


# Guards against clients of a stopping host whose next request meets a connection that
# the host is closing, so that they don't know whether it has run.
def test_a_response_of_a_stopping_host_ends_its_connection():
    async def check(server):
        reader, writer = await server.connect()
        writer.write(post("a", b"x"))
        assert await read_response(reader) == (200, b"a")
        server.listener.stopping = True
        writer.write(post("b", b"x"))
        head = await reader.readuntil(b"\r\n\r\n")
        assert b"connection: close" in head.lower()
        assert await reader.read() == b"b"
        writer.close()

    run_with_server(check)


def test_a_request_that_crosses_the_shutdown_of_the_host_is_answered():
    async def check(server):
        reader, writer = await server.connect()
        writer.write(post("a", b"x"))
        assert await read_response(reader) == (200, b"a")
        _, idle = await server.connect()
        server.http.should_exit = True
        await eventually(lambda: not server.http.servers[0].is_serving())
        writer.write(post("b", b"x"))
        assert await read_response(reader) == (200, b"b")
        assert await ended(reader)
        writer.close()
        idle.close()
        await idle.wait_closed()

    run_with_server(check)


# Guards against a request that runs with an empty body, as its connection was evicted
# in the turn in which the body was complete.
def test_an_evicted_request_is_not_run_with_a_part_of_its_body():
    async def check(server):
        reader, writer = await server.connect()
        data = post("a", b"x" * 10_000)
        writer.write(data[:-10_000])
        await asyncio.sleep(0.1)
        writer.write(data[-10_000:])
        assert await ended(reader)
        writer.close()
        await eventually(lambda: not server.listener.connections)
        assert server.seen == []

    run_with_server(check, replace(LIMITS, memory=16_384))


# Guards against a shutdown that waits for a request that may never be complete.
@pytest.mark.parametrize("data", [b"GET / HT", b""])
def test_a_shutdown_does_not_wait_for_a_head_that_is_not_complete(data):
    async def check(server):
        reader, writer = await server.connect()
        writer.write(data)
        await asyncio.sleep(0.1)
        server.http.config.timeout_graceful_shutdown = None
        server.http.should_exit = True
        assert await ended(reader)
        writer.close()

    run_with_server(check)
