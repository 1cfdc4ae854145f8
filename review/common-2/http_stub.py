"""A small HTTP/1.1 server and client, by the standard library alone."""

import asyncio
import contextlib
import json
from dataclasses import dataclass, field
from urllib.parse import parse_qsl, urlsplit

MAX_HEAD_BYTES = 65_536


@dataclass
class Call:
    """A call as it arrived."""

    method: str
    path: str
    query: dict[str, str]
    headers: dict[str, str]
    body: bytes
    # Port of the server at which the call arrived.
    port: int = 0
    # Whether it is the first one on its connection.
    is_first: bool = False

    def json(self) -> dict:
        """Return the decoded body."""
        return json.loads(self.body or b"{}")


@dataclass
class Answer:
    """An answer; `status` 0 leaves the call without one."""

    status: int
    body: object = None
    headers: dict[str, str] = field(default_factory=dict)


async def read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]]:
    """Return the first line and the headers; raises IncompleteReadError at the end."""
    head = await reader.readuntil(b"\r\n\r\n")
    first, *lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.strip().lower()] = value.strip()
    return first, headers


async def read_body(reader: asyncio.StreamReader, headers: dict[str, str]) -> bytes:
    """Return a body with a stated length."""
    return await reader.readexactly(int(headers.get("content-length", "0")))


class Server:
    """Serve calls with `handle`, an async function from a Call to an Answer."""

    def __init__(self, handle):
        self.handle = handle
        self.server: asyncio.Server | None = None
        self.writers: set[asyncio.StreamWriter] = set()

    async def listen(self, ip: str, port: int = 0) -> int:
        """Listen and return the port."""
        self.server = await asyncio.start_server(
            self._serve, ip, port, limit=MAX_HEAD_BYTES * 32
        )
        return self.server.sockets[0].getsockname()[1]

    def close(self):
        """Stop listening and reset the open connections."""
        if self.server is not None:
            self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        port = writer.get_extra_info("sockname")[1]
        errors = (
            asyncio.IncompleteReadError,
            asyncio.LimitOverrunError,
            ConnectionError,
            OSError,
            asyncio.CancelledError,
        )
        is_first = True
        try:
            while True:
                first, headers = await read_head(reader)
                method, target, _ = first.split(" ", 2)
                body = await read_body(reader, headers)
                parts = urlsplit(target)
                query = dict(parse_qsl(parts.query, keep_blank_values=True))
                call = Call(method, parts.path, query, headers, body, port)
                call.is_first, is_first = is_first, False
                answer = await self.handle(call)
                if answer.status == 0:
                    # The caller waits until it gives up.
                    await reader.read()
                    return
                payload = b""
                if answer.body is not None:
                    payload = json.dumps(answer.body).encode()
                lines = [
                    f"HTTP/1.1 {answer.status} S",
                    "Content-Type: application/json",
                    f"Content-Length: {len(payload)}",
                    *(f"{name}: {value}" for name, value in answer.headers.items()),
                ]
                writer.write("\r\n".join([*lines, "", ""]).encode() + payload)
                await writer.drain()
        except errors:
            pass
        finally:
            self.writers.discard(writer)
            writer.transport.abort()


async def call(
    address: str,
    method: str,
    path: str,
    headers: dict[str, str] | None = None,
    body: object = None,
    timeout: float = 3.0,
) -> tuple[int, object]:
    """Make one call; return status and decoded body, or status 0 without an answer."""
    ip, _, port = address.rpartition(":")
    payload = b"" if body is None else json.dumps(body).encode()
    lines = [f"{method} {path} HTTP/1.1", f"Content-Length: {len(payload)}"]
    if payload:
        lines.append("Content-Type: application/json")
    lines.extend(f"{name}: {value}" for name, value in (headers or {}).items())
    writer = None
    try:
        async with asyncio.timeout(timeout):
            reader, writer = await asyncio.open_connection(ip, int(port))
            writer.write("\r\n".join([*lines, "", ""]).encode() + payload)
            first, answered = await read_head(reader)
            text = await read_body(reader, answered)
    except (OSError, TimeoutError, asyncio.IncompleteReadError):
        return 0, None
    finally:
        if writer is not None:
            writer.transport.abort()
    decoded = None
    with contextlib.suppress(ValueError):
        decoded = json.loads(text) if text else None
    return int(first.split(" ")[1]), decoded
