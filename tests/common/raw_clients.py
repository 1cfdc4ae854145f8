"""Clients that send bytes over raw connections without reading the responses."""

import asyncio
import contextlib
import errno
import socket

# A small window, so that unread responses fill the buffers of the host.
RECEIVE_BUFFER_BYTES = 4096
CONNECT_TIMEOUT_SECONDS = 5.0
# Errors by which the host, or the lack of a free slot in its backlog, ends a client.
REFUSALS = (errno.ECONNREFUSED, errno.ECONNRESET, errno.EPIPE, errno.EAGAIN)
# Errors of a connection that has ended, or was never established.
ENDS = (errno.ECONNRESET, errno.ENOTCONN, errno.EPIPE)


class RawClients:
    """A number of connections to one port, which stay open until `close`."""

    def __init__(self, port: int, count: int):
        self.port = port
        self.count = count
        self.sockets: list[socket.socket] = []

    async def run(self, data: bytes, repeated: bytes = b"", max_bytes: int = 0):
        """Connect all clients, and send `data` and then `repeated` on each.

        `repeated` is sent until `max_bytes` were sent in total or the host ends the
        connection. The caller limits the time.
        """
        await asyncio.gather(
            *(self._run_client(data, repeated, max_bytes) for _ in range(self.count))
        )

    async def _run_client(self, data: bytes, repeated: bytes, max_bytes: int):
        loop = asyncio.get_running_loop()
        client = socket.socket()
        self.sockets.append(client)
        client.setblocking(False)
        client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_SECONDS):
                await loop.sock_connect(client, ("127.0.0.1", self.port))
            await loop.sock_sendall(client, data)
            sent = len(data)
            while repeated and sent < max_bytes:
                await loop.sock_sendall(client, repeated)
                sent += len(repeated)
        except TimeoutError:
            return
        except OSError as error:
            if error.errno not in REFUSALS:
                raise

    async def wait_until_ended(self):
        """Wait until the host has ended all connections; the caller limits the time."""
        await asyncio.gather(*(self._read_to_end(client) for client in self.sockets))

    async def _read_to_end(self, client: socket.socket):
        loop = asyncio.get_running_loop()
        try:
            while await loop.sock_recv(client, RECEIVE_BUFFER_BYTES):
                pass
        except OSError as error:
            if error.errno not in ENDS:
                raise

    def close(self):
        """Close all connections."""
        for client in self.sockets:
            with contextlib.suppress(OSError):
                client.close()
