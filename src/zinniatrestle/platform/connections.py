"""HTTP client for calls to the store, the services of the platform and workers.

The scheduling host makes some calls a second to each worker, so a call has to cost
little processor time.
"""

import asyncio
from collections.abc import Callable
from typing import Any
from urllib.parse import urlencode

import httptools

from zinniatrestle.clock import boot_time, monotonic
from zinniatrestle.ids import BootSeconds
from zinniatrestle.platform.http import (
    Body,
    CallEffect,
    CallError,
    HttpAnswer,
    HttpCaller,
)

# Several times the latency of the slowest link, and short because a host behind a
# partition never answers.
CONNECT_TIMEOUT_SECONDS = 1.0
# Idle connections are closed early, since they may have failed without notice.
KEEPALIVE_SECONDS = 10.0
# Many times the largest answers of the platform: pages of rows, and desired states.
MAX_ANSWER_BYTES = 32 * 2**20
FIRST_FINAL_STATUS = 200


class Connection(asyncio.Protocol):
    """A connection that carries one call at a time."""

    def __init__(self, max_answer_bytes: int):
        self.max_answer_bytes = max_answer_bytes
        self.parser = httptools.HttpResponseParser(self)
        self.transport: asyncio.Transport | None = None
        self.answer: asyncio.Future[HttpAnswer] | None = None
        self.chunks: list[bytes] = []
        self.size = 0
        self.head_is_complete = False
        # Without a length the answer ends with the connection.
        self.has_length = False
        self.idle_since = 0.0
        self.opened_at = BootSeconds(0.0)
        # When the current call was sent.
        self.sent_at = BootSeconds(0.0)
        # When data arrived last.
        self.received_at = 0.0

    @property
    def is_open(self) -> bool:
        """Return whether the connection can carry a call."""
        return self.transport is not None and not self.transport.is_closing()

    def send(self, request: bytes) -> asyncio.Future[HttpAnswer]:
        """Send a request and return a future of its answer; raises CallError."""
        if not self.is_open:
            raise CallError(CallEffect.NO_EFFECT, "the connection is closed")
        self.answer = asyncio.get_running_loop().create_future()
        self._begin_answer()
        self.sent_at = boot_time()
        self.transport.write(request)
        return self.answer

    def abort(self):
        """Close the connection at once; what is not sent yet never is."""
        self.answer = None
        self.transport.abort()

    def _begin_answer(self):
        self.chunks = []
        self.size = 0
        self.head_is_complete = False
        self.has_length = False

    def _is_waiting(self) -> bool:
        return self.answer is not None and not self.answer.done()

    def _fail(self, detail: str):
        if self._is_waiting():
            self.answer.set_exception(CallError(CallEffect.UNKNOWN, detail))
        self.transport.abort()

    # Transport

    def connection_made(self, transport: asyncio.Transport):
        """Keep the transport."""
        self.transport = transport
        self.opened_at = boot_time()

    def data_received(self, data: bytes):
        """Parse a part of the answer."""
        if not self._is_waiting():
            # The other side sends what nobody has asked for.
            self.transport.abort()
            return
        self.received_at = monotonic()
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            self._fail(f"the answer is no valid HTTP: {error}")

    def connection_lost(self, error: Exception | None):
        """Complete an answer that ends with the connection, or fail the call."""
        if not self._is_waiting():
            return
        if error is None and self.head_is_complete and not self.has_length:
            self._complete()
            return
        self._fail(f"the connection was closed before the answer: {error or 'end'}")

    # Parser

    def on_header(self, name: bytes, value: bytes):
        """Note whether the answer's length is given."""
        if name.lower() in (b"content-length", b"transfer-encoding"):
            self.has_length = True

    def on_headers_complete(self):
        """Note that the body follows."""
        self.head_is_complete = True

    def on_body(self, body: bytes):
        """Collect a part of the body, unless the answer is too large."""
        self.size += len(body)
        if self.size > self.max_answer_bytes:
            self._fail(f"the answer is larger than {self.max_answer_bytes} bytes")
            return
        self.chunks.append(body)

    def on_message_complete(self):
        """Complete the call; an informational answer precedes the final one."""
        if self.parser.get_status_code() < FIRST_FINAL_STATUS:
            self._begin_answer()
            return
        self._complete()

    def _complete(self):
        if not self._is_waiting():
            return
        status = self.parser.get_status_code()
        self.answer.set_result(
            HttpAnswer(status, b"".join(self.chunks), self.opened_at, self.sent_at)
        )
        self.chunks = []
        if not self.parser.should_keep_alive():
            self.transport.close()


class ConnectionPool(HttpCaller):
    """HTTP client with kept connections, which costs little for each call.

    Longer answers than `max_answer_bytes` are not read.
    """

    def __init__(self, max_answer_bytes: int = MAX_ANSWER_BYTES):
        self.max_answer_bytes = max_answer_bytes
        self.idle: dict[str, list[Connection]] = {}
        self.busy: set[Connection] = set()

    async def call(
        self,
        method: str,
        address: str,
        path: str,
        timeout: float,
        body: Body | None = None,
        headers: dict[str, str] | None = None,
        query: dict[str, Any] | None = None,
        extra_body_seconds: float = 0.0,
        may_send: Callable[[], bool] | None = None,
    ) -> HttpAnswer:
        """Make one call; raises CallError.

        `timeout` limits the wait for the answer, in seconds. Reading an answer whose
        data keeps arriving may take `extra_body_seconds` more. `may_send` is asked once
        the connection is open; if it returns False nothing is sent.
        """
        target = f"{path}?{urlencode(query)}" if query else path
        head = _head_lines(method, address, target, headers or {})
        ends_at = monotonic() + timeout
        connection = self._take_idle(address)
        if connection is None:
            connection = await self._open(address, timeout)
        if may_send is not None and not may_send():
            self._keep(address, connection)
            raise CallError(
                CallEffect.NO_EFFECT, "the permission ran out", permitted=False
            )
        self.busy.add(connection)
        answer = None
        try:
            if callable(body):
                body = body(connection.opened_at)
            pending = connection.send(_encode(head, body))
            gives_up_at = ends_at + extra_body_seconds
            # An answer that has arrived counts, also if this host was too busy to read
            # it before the timeout; a cancellation by a timer would drop it.
            await asyncio.wait({pending}, timeout=ends_at - monotonic())
            while not pending.done():
                now = monotonic()
                ends_at = min(connection.received_at + timeout, gives_up_at)
                if ends_at <= now:
                    raise CallError(CallEffect.UNKNOWN, "no answer before the timeout")
                await asyncio.wait({pending}, timeout=ends_at - now)
            answer = pending.result()
        finally:
            self.busy.discard(connection)
            if answer is None:
                connection.abort()
        self._keep(address, connection)
        return answer

    async def close(self):
        """Close all connections."""
        kept = [connection for idle in self.idle.values() for connection in idle]
        self.idle.clear()
        for connection in [*kept, *self.busy]:
            connection.transport.abort()

    def _take_idle(self, address: str) -> Connection | None:
        """Return the connection that was used last, and close those idle for long."""
        idle = self.idle.get(address, [])
        now = monotonic()
        while idle:
            connection = idle.pop()
            if not connection.is_open:
                continue
            if now - connection.idle_since <= KEEPALIVE_SECONDS:
                return connection
            connection.transport.abort()
        return None

    def _keep(self, address: str, connection: Connection):
        """Keep a connection for further calls, and drop those idle for long."""
        now = monotonic()
        kept = []
        for idle in self.idle.get(address, ()):
            if not idle.is_open:
                continue
            if now - idle.idle_since > KEEPALIVE_SECONDS:
                idle.transport.abort()
                continue
            kept.append(idle)
        if connection.is_open:
            connection.idle_since = now
            kept.append(connection)
        if kept:
            self.idle[address] = kept
        else:
            self.idle.pop(address, None)

    async def _open(self, address: str, timeout: float) -> Connection:
        ip, _, port = address.rpartition(":")
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(min(timeout, CONNECT_TIMEOUT_SECONDS)):
                _, connection = await loop.create_connection(
                    lambda: Connection(self.max_answer_bytes), ip, int(port)
                )
        except TimeoutError as error:
            raise CallError(
                CallEffect.NO_EFFECT, "opening the connection timed out"
            ) from error
        except (OSError, ValueError, OverflowError) as error:
            refused = isinstance(error, ConnectionRefusedError)
            raise CallError(
                CallEffect.NO_EFFECT,
                f"no connection to {address!r}: {error}",
                connection_refused=refused,
            ) from error
        return connection


def _head_lines(
    method: str, address: str, target: str, headers: dict[str, str]
) -> bytes:
    """Return the lines of a request's head but those of its body; raises CallError."""
    lines = [f"{method} {target} HTTP/1.1", f"Host: {address}"]
    lines.extend(f"{name}: {value}" for name, value in headers.items())
    for line in lines:
        if not line.isprintable():
            raise CallError(
                CallEffect.NO_EFFECT, f"the line {line!r} can't be sent as a header"
            )
    try:
        return "\r\n".join([*lines, ""]).encode()
    except UnicodeEncodeError as error:
        raise CallError(CallEffect.NO_EFFECT, f"the header: {error}") from error


def _encode(head: bytes, body: bytes | None) -> bytes:
    if body is None:
        return head + b"\r\n"
    lines = f"Content-Type: application/json\r\nContent-Length: {len(body)}\r\n\r\n"
    return head + lines.encode() + body
