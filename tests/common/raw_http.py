"""Calls over raw connections, also those that no HTTP client would make."""

import asyncio
from typing import NamedTuple

import msgspec

TIMEOUT_SECONDS = 10.0


class RawAnswer(NamedTuple):
    """Status, headers and body of an answer."""

    status: int
    headers: dict[str, str]
    body: bytes

    @property
    def code(self) -> int:
        """Return the result code, which the header and the body must agree on."""
        code = int(self.headers["zinniatrestle-code"])
        assert msgspec.json.decode(self.body)["code"] == code
        return code


def raw_call(
    method: str = "POST",
    path: str | bytes = "/",
    headers: dict[str, str | list[str]] | None = None,
    body: bytes = b"",
) -> bytes:
    """Return the bytes of a call; a header with a list has a line for each value."""
    raw_path = path if isinstance(path, bytes) else path.encode("latin-1")
    lines = [method.encode() + b" " + raw_path + b" HTTP/1.1"]
    fields = {
        "Connection": "close",
        "Content-Length": str(len(body)),
        **(headers or {}),
    }
    for name, value in fields.items():
        for text in value if isinstance(value, list) else [value]:
            lines.append(f"{name}: {text}".encode("latin-1"))
    return b"\r\n".join(lines) + b"\r\n\r\n" + body


async def exchange(address: str, data: bytes) -> RawAnswer:
    """Send bytes, and return the answer."""
    ip, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(ip, int(port))
    try:
        async with asyncio.timeout(TIMEOUT_SECONDS):
            writer.write(data)
            received = b""
            while b"\r\n\r\n" not in received:
                chunk = await reader.read(65_536)
                assert chunk, f"The connection ended: {received!r}"
                received += chunk
            head, _, body = received.partition(b"\r\n\r\n")
            status_line, *lines = head.decode("latin-1").split("\r\n")
            headers = {}
            for line in lines:
                name, _, value = line.partition(":")
                headers[name.lower()] = value.strip()
            while len(body) < int(headers.get("content-length", 0)):
                chunk = await reader.read(65_536)
                assert chunk, f"The connection ended: {received!r}"
                body += chunk
            return RawAnswer(int(status_line.split()[1]), headers, body)
    finally:
        writer.close()
