"""HTTP protocol that parses and serves one request of a connection at a time."""

import asyncio
import inspect

import httptools
from uvicorn._types import ASGI3Application
from uvicorn.protocols.http.flow_control import FlowControl
from uvicorn.protocols.http.httptools_impl import (
    STATUS_LINE,
    HttpToolsProtocol,
    RequestResponseCycle,
)

from zinniatrestle.errors import ResultCode
from zinniatrestle.ingress.interfaces import ClientConnection
from zinniatrestle.ingress.limits import ConnectionLimits
from zinniatrestle.ingress.listener import ClientListener
from zinniatrestle.ingress.states import (
    Cause,
    ConnectionPhase,
    MessagePart,
)
from zinniatrestle.web import problem_response

END_OF_HEAD = b"\r\n\r\n"
# Objects of a header or of a received piece of a body, beside its bytes.
HEADER_BYTES = 160
PIECE_BYTES = 48
# Size of a response's unsent part from which no further request is parsed.
HIGH_WATER_BYTES = 16_384
# Longest line that states the size of a chunk, with its extensions.
MAX_CHUNK_LINE_BYTES = 1024
# Bytes that may frame each byte of a body in chunks; a chunk of one byte has at least
# five, more with leading zeros or extensions.
MAX_FRAMING_FACTOR = 16
# Time for a caller to read why its call was refused.
LINGER_SECONDS = 1.0
# Time at a shutdown in which a request on an idle connection is still served, since it
# may have been sent before the client could see that the connection closes.
SHUTDOWN_IDLE_SECONDS = 0.3
NEVER = float("inf")


class MalformedMessageError(Exception):
    """Signal a message that can't be parsed."""


class PausableFlow(FlowControl):
    """Flow control by which reading stays paused while bytes are kept unparsed."""

    def __init__(self, transport: asyncio.Transport):
        super().__init__(transport)
        self.held = False

    def resume_reading(self):
        """Resume reading, unless unparsed bytes are kept."""
        if not self.held:
            super().resume_reading()


class BodyEvent(asyncio.Event):
    """Event of received data that knows whether the application waits for it."""

    def __init__(self):
        super().__init__()
        self.awaited = False

    async def wait(self):
        """Wait until data has arrived."""
        self.awaited = True
        try:
            return await super().wait()
        finally:
            self.awaited = False


class LingeringTransport:
    """Transport of the response to a call whose body may not be complete.

    Closing a connection with unread data resets it, so that the response may be lost.
    """

    def __init__(self, protocol: "HttpProtocol"):
        self.protocol = protocol

    def write(self, data: bytes):
        """Write a part of the response."""
        self.protocol.transport.write(data)

    def is_closing(self) -> bool:
        """Return whether the connection is closing."""
        return self.protocol.transport.is_closing()

    def close(self):
        """Close the connection once the peer has had time to read the response."""
        self.protocol.close_after_response()


class HttpProtocol(HttpToolsProtocol, asyncio.BufferedProtocol, ClientConnection):
    """HTTP protocol that numbers its errors and limits what a connection can hold.

    The parser is fed up to the end of one request, and the next bytes only once its
    response is complete and written; until then they stay unparsed and reading is
    paused.
    """

    # Initial values of what changes with the requests of a connection.
    part = MessagePart.START
    refused = False
    close_cause = Cause.ENDED
    # The body was larger than allowed, so its request is the last one.
    oversized = False
    unparsed = b""
    # The last bytes of a piece of a head, since its end may be in two pieces.
    tail = b""
    chunk_line = b""
    is_chunk_size = False
    # Bytes of the head and its trailers, of the body and of its framing.
    head_bytes = 0
    body_bytes = 0
    framing_bytes = 0
    # Bytes of the body, or of a chunk of it, that are still to come.
    remaining = 0
    # Bytes of the request with its objects, and of the response.
    held_bytes = 0
    unsent_bytes = 0
    # When the size of the response's unsent part last changed.
    written_at = 0.0

    def connection_made(self, transport: asyncio.BaseTransport):
        """Begin to serve a connection, or close it if there is no room for it."""
        super().connection_made(transport)
        transport.set_write_buffer_limits(HIGH_WATER_BYTES)
        self.flow = PausableFlow(transport)
        self.listener: ClientListener = self.config.listener
        self.limits: ConnectionLimits = self.listener.current_limits()
        self.deadline = self.loop.time() + self.limits.idle_timeout
        self.number = self.listener.admit(self)
        if self.number is None:
            self.refused = True
            transport.abort()

    def connection_lost(self, exc: Exception | None):
        """Release all that the connection holds."""
        super().connection_lost(exc)
        self.unparsed = b""
        if self.number is not None:
            self.listener.remove(self.number, self.close_cause)

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the buffer for the next read."""
        return self.listener.buffer

    def buffer_updated(self, nbytes: int):
        """Parse what was read, or keep it until the request in progress is served."""
        if self.refused or self.transport.is_closing():
            return
        data = bytes(self.listener.buffer[:nbytes])
        if self.part is MessagePart.COMPLETE or self.unparsed:
            self._keep(data)
            return
        self._parse(data)

    def _parse(self, data: bytes):
        """Parse data up to the end of one request, and keep the rest."""
        try:
            while data and self.part is not MessagePart.COMPLETE and not self.refused:
                if self.oversized:
                    # The application has what it needs to refuse the body.
                    break
                data = self._parse_part(data)
        except (httptools.HttpParserError, MalformedMessageError):
            self.send_400_response("Invalid HTTP request received.")
            return
        if self.refused:
            return
        if data:
            self._keep(data)
        self._settle()

    def _parse_part(self, data: bytes) -> bytes:
        """Feed the parser data of one part of a message; return the rest."""
        match self.part:
            case MessagePart.START:
                return self._parse_empty_lines(data)
            case MessagePart.HEAD:
                return self._parse_head(data)
            case MessagePart.BODY:
                return self._parse_body(data)
            case MessagePart.CHUNK_DATA:
                return self._parse_body(data)
            case _:
                return self._parse_line(data)

    def _parse_empty_lines(self, data: bytes) -> bytes:
        """Skip empty lines before a request, which count for its head."""
        if not self.head_bytes:
            self.limits = self.listener.current_limits()
            self.deadline = self.loop.time() + self.limits.head_timeout
        rest = data.lstrip(b"\r\n")
        self.head_bytes += len(data) - len(rest)
        if self.head_bytes > self.limits.max_head:
            self._refuse_head()
        elif rest:
            self.part = MessagePart.HEAD
        return rest

    def _parse_head(self, data: bytes) -> bytes:
        window = self.tail + data
        end = window.find(END_OF_HEAD)
        if end < 0:
            piece, rest = data, b""
        else:
            size = end + len(END_OF_HEAD) - len(self.tail)
            piece, rest = data[:size], data[size:]
        self.head_bytes += len(piece)
        if self.head_bytes > self.limits.max_head:
            self._refuse_head()
            return b""
        self._feed(piece)
        # Without a message there are no headers of it yet.
        self.held_bytes = self.head_bytes + HEADER_BYTES * len(self.headers or ())
        if end < 0:
            self.tail = window[1 - len(END_OF_HEAD) :]
            return b""
        self.tail = b""
        if self.part is not MessagePart.COMPLETE:
            self._begin_body()
        return rest

    def _begin_body(self):
        """Find how a body is framed, after a head with a body."""
        fields = dict(self.headers)
        if b"transfer-encoding" in fields:
            self.part = MessagePart.CHUNK_LINE
        elif b"content-length" in fields:
            self.part = MessagePart.BODY
            self.remaining = int(fields[b"content-length"])
            if self.remaining > self.limits.max_body:
                self.cycle.keep_alive = False
        else:
            raise MalformedMessageError
        event = BodyEvent()
        if self.cycle.message_event.is_set():
            event.set()
        self.cycle.message_event = event
        self.cycle.transport = LingeringTransport(self)
        self.deadline = self.loop.time() + self.limits.body_timeout

    def _parse_body(self, data: bytes) -> bytes:
        """Feed data of a body, or of one chunk of it."""
        piece, rest = data[: self.remaining], data[self.remaining :]
        self.remaining -= len(piece)
        self.body_bytes += len(piece)
        self.held_bytes += len(piece) + PIECE_BYTES
        self._feed(piece)
        if self.body_bytes > self.limits.max_body:
            self.oversized = True
            # Tells the client that the connection takes no further call.
            self.cycle.keep_alive = False
        if not self.remaining and self.part is MessagePart.CHUNK_DATA:
            self.part = MessagePart.CHUNK_LINE
        elif not self.remaining and self.part is MessagePart.BODY:
            raise MalformedMessageError
        return rest

    def _parse_line(self, data: bytes) -> bytes:
        """Feed one line of what frames a body in chunks."""
        end = data.find(b"\n") + 1
        piece, rest = (data[:end], data[end:]) if end else (data, b"")
        if self.part is MessagePart.TRAILERS:
            self.head_bytes += len(piece)
            if self.head_bytes > self.limits.max_head:
                self._refuse_head()
                return b""
        else:
            self.framing_bytes += len(piece)
            self.chunk_line += piece
            max_bytes = MAX_FRAMING_FACTOR * self.limits.max_body
            if (
                len(self.chunk_line) > MAX_CHUNK_LINE_BYTES
                or self.framing_bytes > max_bytes
            ):
                raise MalformedMessageError
        headers = len(self.headers)
        self._feed(piece)
        # Trailers are no headers, and nothing reads them.
        del self.headers[headers:]
        if end and self.part is MessagePart.CHUNK_LINE:
            if self.is_chunk_size:
                size = self.chunk_line.partition(b";")[0]
                self.remaining = int(size, 16)
                self.part = (
                    MessagePart.CHUNK_DATA if self.remaining else MessagePart.TRAILERS
                )
            self.is_chunk_size = False
            self.chunk_line = b""
        return rest

    def _feed(self, piece: bytes):
        try:
            self.parser.feed_data(piece)
        except httptools.HttpParserUpgrade as error:
            # The request is served like any other, since no other protocol is
            # supported. The parser takes a body for data of the other protocol.
            fields = dict(self.headers)
            if b"transfer-encoding" in fields or int(fields.get(b"content-length", 0)):
                raise MalformedMessageError from error

    def _settle(self):
        """Record what the connection is occupied with, after it was parsed."""
        if self.part is MessagePart.COMPLETE:
            if self.cycle.response_complete:
                # The application answered without waiting for all of the body.
                self._finish_request()
                return
            self.deadline = NEVER
            phase = ConnectionPhase.IN_PROGRESS
        elif self.oversized and self.cycle.response_complete:
            self.close_after_response()
            return
        else:
            phase = ConnectionPhase.INCOMPLETE
        self.listener.move(self.number, phase)
        self._account()

    def _keep(self, data: bytes):
        """Keep data that may not be parsed yet, and pause reading."""
        self.unparsed += data
        self.flow.pause_reading()
        self.flow.held = True
        self._account()

    def _account(self):
        """Report the bytes that the connection holds; may close it."""
        self.listener.hold(
            self.number, self.held_bytes + self.unsent_bytes + len(self.unparsed)
        )

    def on_message_begin(self):
        """Begin a request; raises ValueError if another one is not complete."""
        if self.part is not MessagePart.HEAD:
            raise ValueError("A request began within another one.")
        super().on_message_begin()

    def _start_asgi_task(self, cycle: RequestResponseCycle, app: ASGI3Application):
        """Start the application, which may be ended before it has begun."""
        self.task = self.loop.create_task(cycle.run_asgi(app))
        self.task.add_done_callback(self.tasks.discard)
        self.tasks.add(self.task)

    def _should_upgrade(self) -> bool:
        """Return False, since no other protocol is served."""
        return False

    def on_chunk_header(self):
        """Note that a line states the size of a chunk."""
        self.is_chunk_size = True

    def on_headers_complete(self):
        """Begin to serve a request; the last one of its connection at a shutdown."""
        super().on_headers_complete()
        if self.listener.stopping:
            self.cycle.keep_alive = False

    def on_message_complete(self):
        """Note the end of a request."""
        self.part = MessagePart.COMPLETE
        super().on_message_complete()

    def on_response_complete(self):
        """Parse the next request, or what follows of this one's body."""
        self.server_state.total_requests += 1
        self.written_at = self.loop.time()
        if self.refused:
            return
        if self.transport.is_closing():
            self.held_bytes = 0
            self.unsent_bytes = self.transport.get_write_buffer_size()
            self.listener.move(self.number, ConnectionPhase.UNREAD)
            self._account()
        elif self.part is MessagePart.COMPLETE:
            self._finish_request()
        elif self.oversized:
            self.close_after_response()
        else:
            self.flow.resume_reading()

    def close_after_response(self):
        """Close the connection after the last response, also before a body's end."""
        if self.part is MessagePart.COMPLETE:
            self.transport.close()
            return
        if self.oversized:
            self.close_cause = Cause.BODY_TOO_LARGE
        self._linger()

    def _finish_request(self):
        """Release a request, and begin the next one once its response is written."""
        self.held_bytes = 0
        unsent = self.transport.get_write_buffer_size()
        if unsent != self.unsent_bytes:
            self.unsent_bytes = unsent
            self.written_at = self.loop.time()
        if self.flow.write_paused:
            self.deadline = NEVER
            self.listener.move(self.number, ConnectionPhase.UNREAD)
            self._account()
            return
        self._begin_request()

    def _begin_request(self):
        """Wait for a request, and parse the bytes of it that have arrived."""
        self.part = MessagePart.START
        self.head_bytes = self.body_bytes = self.framing_bytes = 0
        self.oversized = False
        self.deadline = self.loop.time() + self.limits.idle_timeout
        self.listener.move(self.number, ConnectionPhase.IDLE)
        data, self.unparsed = self.unparsed, b""
        self._account()
        if self.transport.is_closing():
            return
        if data:
            self._parse(data)
        if not self.unparsed:
            self.flow.held = False
            self.flow.resume_reading()

    def resume_writing(self):
        """Begin the next request once the response to the last one is written."""
        super().resume_writing()
        if self.number is None or self.refused or self.transport.is_closing():
            return
        if self.part is MessagePart.COMPLETE and self.cycle.response_complete:
            self._finish_request()

    def shutdown(self):
        """Close the connection once it is idle, as the server shuts down."""
        self.listener.stopping = True
        if self.cycle is not None and not self.cycle.response_complete:
            self.cycle.keep_alive = False
            return
        self.loop.call_later(SHUTDOWN_IDLE_SECONDS, self._close_if_idle)

    def _close_if_idle(self):
        """Close the connection, unless a request on it is in progress.

        A request whose head is not complete has not been handled.
        """
        if self.transport.is_closing():
            return
        is_answered = self.cycle is None or self.cycle.response_complete
        if is_answered or self.part is MessagePart.HEAD:
            self.transport.close()

    def check_time(self, now: float):
        """Close the connection if a time limit has passed."""
        unsent = self.transport.get_write_buffer_size()
        if unsent != self.unsent_bytes:
            self.unsent_bytes = unsent
            self.written_at = now
            self._account()
        elif unsent and now - self.written_at > self.limits.write_timeout:
            self._abort(Cause.WRITE_TIMEOUT)
            return
        if now < self.deadline or self.refused or self.transport.is_closing():
            return
        if self.part is MessagePart.START:
            # No request has begun, so that nobody waits for a response.
            cause = Cause.HEAD_TIMEOUT if self.head_bytes else Cause.IDLE
            self.close_cause = cause
            self.transport.close()
        elif self.part is MessagePart.HEAD:
            self._refuse(
                ResultCode.REQUEST_TIMEOUT,
                f"The headers didn't arrive within {self.limits.head_timeout:g} s.",
                Cause.HEAD_TIMEOUT,
            )
        elif self.oversized:
            self._refuse(
                ResultCode.TOO_LARGE,
                f"The body is larger than {self.limits.max_body} bytes.",
                Cause.BODY_TOO_LARGE,
            )
        elif not self.flow.read_paused:
            self._refuse(
                ResultCode.REQUEST_TIMEOUT,
                f"The body didn't arrive within {self.limits.body_timeout:g} s.",
                Cause.BODY_TIMEOUT,
            )

    def close_now(self, cause: Cause):
        """Close the connection at once, without a response."""
        self.refused = True
        self.close_cause = cause
        self._release()
        self.transport.abort()

    def _release(self):
        """Free what the connection holds, at the latest once its application ends.

        Many connections may be closed in one turn of the event loop, and each is lost
        only in the next.
        """
        self.unparsed = b""
        self.parser = None
        if self.cycle is not None and not self.cycle.response_complete:
            # The application must not take what is left of a body for all of it.
            self.cycle.disconnected = True
            self.cycle.body = bytearray()
            self.cycle.message_event.set()
            if not self._is_call_pending():
                return
            self.task.cancel()
        if self.headers:
            self.headers.clear()

    def _is_call_pending(self) -> bool:
        """Return whether the application has not been called yet."""
        return inspect.getcoroutinestate(self.task.get_coro()) == inspect.CORO_CREATED

    def _abort(self, cause: Cause):
        self.listener.remove(self.number, cause)
        self.close_now(cause)

    def send_400_response(self, msg: str):
        """Refuse a call that is no valid HTTP, unless it is refused already."""
        if not self.refused:
            self._refuse(ResultCode.BAD_INPUT, msg, Cause.MALFORMED)

    def _refuse_head(self):
        self._refuse(
            ResultCode.TOO_LARGE,
            f"The headers and the path must have up to {self.limits.max_head} bytes.",
            Cause.HEAD_TOO_LARGE,
        )

    def _refuse(self, code: ResultCode, detail: str, cause: Cause):
        """Answer with an error, and close the connection, which can't be parsed on.

        There is no answer if the application may have begun to handle the call, since
        an error would say that it hasn't.
        """
        self.close_cause = cause
        is_open = self.cycle is not None and not self.cycle.response_complete
        if not is_open and self.part not in (MessagePart.START, MessagePart.HEAD):
            # Only the rest of a body is refused, whose call is answered.
            self._linger()
            return
        self.listener.counters.refuse(cause)
        if is_open and not self._withdraw_call():
            self._abort(cause)
            return
        response = problem_response(code, detail)
        lines = [STATUS_LINE[response.status_code]]
        for name, value in response.raw_headers:
            lines.append(name + b": " + value + b"\r\n")
        lines.append(b"connection: close\r\n\r\n")
        self.transport.write(b"".join(lines) + response.body)
        self._linger()

    def _withdraw_call(self) -> bool:
        """End a call whose body is not complete; return whether it surely ran nothing.

        An application that waits for the body has not begun to handle the call.
        """
        if self._is_call_pending():
            self.task.cancel()
            return True
        event = self.cycle.message_event
        if self.cycle.response_started or not getattr(event, "awaited", False):
            return False
        self.cycle.disconnected = True
        event.set()
        return True

    def _linger(self):
        """End the response, and close the connection a little later.

        Unread data would reset it before the response is read.
        """
        self.refused = True
        self.deadline = NEVER
        self._release()
        self.held_bytes = 0
        self.flow.held = False
        self.flow.resume_reading()
        if self.transport.can_write_eof():
            self.transport.write_eof()
        self.listener.move(self.number, ConnectionPhase.REFUSED)
        self._account()
        self.loop.call_later(LINGER_SECONDS, self.transport.close)
