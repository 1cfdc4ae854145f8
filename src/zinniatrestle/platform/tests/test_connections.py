"""Client with kept connections: answers, failures and what a call may have done."""

import asyncio
import socket
import threading
import time

import pytest

from zinniatrestle.platform import connections
from zinniatrestle.platform.connections import ConnectionPool
from zinniatrestle.platform.http import CallEffect, CallError

TIMEOUT_SECONDS = 1.0
MAX_ANSWER_BYTES = 1000
OK = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"


class AnswerServer:
    """A server that answers each request with the next of some texts of bytes."""

    def __init__(self, answers: list[bytes], closes: bool = False, pause: float = 0.0):
        self.answers = answers
        self.closes = closes
        # Between the bytes of an answer.
        self.pause = pause
        self.requests: list[bytes] = []
        self.connections = 0

    async def handle(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter):
        self.connections += 1
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                self.requests.append(head)
                await reader.readexactly(2)
                await self.send(writer, self.answers.pop(0))
                if self.closes:
                    return
        except (asyncio.IncompleteReadError, ConnectionError):
            return
        finally:
            writer.close()

    async def send(self, writer: asyncio.StreamWriter, answer: bytes):
        if not self.pause:
            writer.write(answer)
            return
        for number in range(len(answer)):
            writer.write(answer[number : number + 1])
            await asyncio.sleep(self.pause)


def run_with_server(server: AnswerServer, check):
    async def run():
        listener = await asyncio.start_server(server.handle, "127.0.0.1", 0)
        port = listener.sockets[0].getsockname()[1]
        pool = ConnectionPool(MAX_ANSWER_BYTES)

        async def call(timeout: float = TIMEOUT_SECONDS, headers=None, **options):
            return await pool.call(
                "POST", f"127.0.0.1:{port}", "/x", timeout, b"{}", headers, **options
            )

        try:
            await check(pool, call)
        finally:
            await pool.close()
            listener.close()

    asyncio.run(run())


def test_calls_one_after_the_other_share_a_connection():
    server = AnswerServer([OK, OK, OK])

    async def check(pool, call):
        for _ in range(3):
            answer = await call()
            assert (answer.status, answer.body) == (200, b"ok")

    run_with_server(server, check)
    assert server.connections == 1


def test_concurrent_calls_have_connections_of_their_own():
    server = AnswerServer([OK, OK])

    async def check(pool, call):
        await asyncio.gather(call(), call())

    run_with_server(server, check)
    assert server.connections == 2


@pytest.mark.parametrize(
    "answer, status, body",
    [
        (b"HTTP/1.1 409 Conflict\r\nContent-Length: 1\r\n\r\nx", 409, b"x"),
        (b"HTTP/1.1 204 No Content\r\n\r\n", 204, b""),
        (b"HTTP/1.1 100 Continue\r\n\r\n" + OK, 200, b"ok"),
        (
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
            b"1\r\na\r\n2\r\nbc\r\n0\r\n\r\n",
            200,
            b"abc",
        ),
    ],
)
def test_each_form_of_an_answer_is_read(answer, status, body):
    async def check(pool, call):
        read = await call()
        assert (read.status, read.body) == (status, body)
        assert (await call()).body == b"ok"

    run_with_server(AnswerServer([answer, OK]), check)


def test_an_answer_without_a_length_ends_with_the_connection():
    async def check(pool, call):
        assert (await call()).body == b"the end"

    server = AnswerServer([b"HTTP/1.1 200 OK\r\n\r\nthe end"], closes=True)
    run_with_server(server, check)


@pytest.mark.parametrize(
    "answer",
    [
        b"no HTTP at all\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: 5000\r\n\r\n" + b"x" * 5000,
        b"HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\n",
        b"HTTP/1.1 101 Switch\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\n",
    ],
    ids=["no HTTP", "too large", "negative length", "upgrade"],
)
def test_an_answer_that_cannot_be_read_leaves_the_effect_unknown(answer):
    async def check(pool, call):
        with pytest.raises(CallError) as caught:
            await call()
        assert caught.value.effect is CallEffect.UNKNOWN
        assert (await call()).body == b"ok"

    run_with_server(AnswerServer([answer, OK]), check)


def test_a_connection_closed_within_an_answer_leaves_the_effect_unknown():
    async def check(pool, call):
        with pytest.raises(CallError) as caught:
            await call()
        assert caught.value.effect is CallEffect.UNKNOWN

    run_with_server(AnswerServer([OK[:-1]], closes=True), check)


# Guards against an answer that arrives late and is taken for that of the next call.
def test_a_call_that_times_out_takes_its_connection_along():
    server = AnswerServer([b"HTTP/1.1 200 OK\r\n", OK])

    async def check(pool, call):
        with pytest.raises(CallError) as caught:
            await call(timeout=0.1)
        assert caught.value.effect is CallEffect.UNKNOWN
        assert (await call()).body == b"ok"

    run_with_server(server, check)
    assert server.connections == 2


# Guards against orders repeated and workers taken for silent by a host that is busy.
def test_an_answer_that_arrived_while_the_host_was_busy_counts():
    def answer_one(listener: socket.socket):
        accepted, _ = listener.accept()
        with accepted:
            accepted.recv(1000)
            time.sleep(0.1)
            accepted.sendall(OK)

    async def run(port: int):
        pool = ConnectionPool()
        calling = asyncio.create_task(
            pool.call("POST", f"127.0.0.1:{port}", "/x", 0.3, b"{}")
        )
        # The request is sent by then, and the answer arrives while nothing else runs.
        await asyncio.sleep(0.05)
        time.sleep(0.5)
        assert (await calling).body == b"ok"
        await pool.close()

    with socket.create_server(("127.0.0.1", 0)) as listener:
        thread = threading.Thread(target=answer_one, args=(listener,))
        thread.start()
        asyncio.run(run(listener.getsockname()[1]))
        thread.join()


def test_a_cancelled_call_takes_its_connection_along():
    server = AnswerServer([b"", OK])

    async def check(pool, call):
        calling = asyncio.create_task(call())
        await asyncio.sleep(0.1)
        calling.cancel()
        with pytest.raises(asyncio.CancelledError):
            await calling
        assert (await call()).body == b"ok"
        assert not pool.busy

    run_with_server(server, check)
    assert server.connections == 2


def test_a_connection_that_the_server_closed_is_not_used_again():
    server = AnswerServer([OK, OK], closes=True)

    async def check(pool, call):
        await call()
        await asyncio.sleep(0.1)
        assert (await call()).body == b"ok"

    run_with_server(server, check)
    assert server.connections == 2


# Guards against a connection that failed without notice while it was idle.
def test_a_connection_that_was_idle_for_long_is_not_used_again(monkeypatch):
    monkeypatch.setattr(connections, "KEEPALIVE_SECONDS", 0.05)
    server = AnswerServer([OK, OK])

    async def check(pool, call):
        await call()
        await asyncio.sleep(0.1)
        await call()

    run_with_server(server, check)
    assert server.connections == 2


@pytest.mark.parametrize("address", ["", "nowhere", "127.0.0.1:x", "127.0.0.1:99999"])
def test_an_address_that_cannot_be_called_has_no_effect(address):
    async def run():
        with pytest.raises(CallError) as caught:
            await ConnectionPool().call("GET", address, "/", TIMEOUT_SECONDS)
        assert caught.value.effect is CallEffect.NO_EFFECT
        assert not caught.value.connection_refused

    asyncio.run(run())


def test_a_port_on_which_nothing_listens_refuses_the_connection():
    async def run():
        listener = await asyncio.start_server(lambda *_: None, "127.0.0.1", 0)
        port = listener.sockets[0].getsockname()[1]
        listener.close()
        await listener.wait_closed()
        with pytest.raises(CallError) as caught:
            await ConnectionPool().call("GET", f"127.0.0.1:{port}", "/", 1.0)
        assert caught.value.effect is CallEffect.NO_EFFECT
        assert caught.value.connection_refused

    asyncio.run(run())


# Guards against a worker's name that adds headers or calls of its own.
@pytest.mark.parametrize("value", ["a\r\nX: 1", "a\nb", "\x00", "\ud800"])
def test_a_header_with_control_characters_is_not_sent(value):
    server = AnswerServer([OK])

    async def check(pool, call):
        with pytest.raises(CallError) as caught:
            await call(headers={"Name": value})
        assert caught.value.effect is CallEffect.NO_EFFECT

    run_with_server(server, check)
    assert not server.requests


def test_a_query_is_encoded():
    server = AnswerServer([OK])

    async def check(pool, call):
        await call(query={"table": "a b", "after": 7})

    run_with_server(server, check)
    assert server.requests[0].startswith(b"POST /x?table=a+b&after=7 HTTP/1.1\r\n")


# Guards against hosts on slow links that never get a large answer.
def test_an_answer_whose_data_keeps_arriving_may_take_longer():
    async def check(pool, call):
        answer = await call(timeout=0.2, extra_body_seconds=5.0)
        assert answer.body == b"ok"

    run_with_server(AnswerServer([OK], pause=0.01), check)


@pytest.mark.parametrize("extra_seconds", [0.0, 0.1])
def test_an_answer_that_keeps_arriving_has_a_limit(extra_seconds):
    async def check(pool, call):
        with pytest.raises(CallError) as caught:
            await call(timeout=0.2, extra_body_seconds=extra_seconds)
        assert caught.value.effect is CallEffect.UNKNOWN

    run_with_server(AnswerServer([OK], pause=0.01), check)


# Guards against a permission that runs out while a connection is opened.
def test_a_call_that_is_no_longer_permitted_is_not_sent():
    server = AnswerServer([OK])

    async def check(pool, call):
        with pytest.raises(CallError) as caught:
            await call(may_send=lambda: False)
        assert caught.value.effect is CallEffect.NO_EFFECT
        assert not caught.value.permitted
        assert server.requests == []
        # The connection is kept for the next call.
        await call(may_send=lambda: True)

    run_with_server(server, check)
    assert server.connections == 1
