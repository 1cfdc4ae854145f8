"""A TCP relay between two hosts, whose link can be cut."""

import asyncio

CHUNK = 65536


class Relay:
    """Pass bytes to a target until the link is cut."""

    def __init__(self, target: str, target_port: int):
        self.target = target
        self.target_port = target_port
        self.cut = False
        self.writers: set[asyncio.StreamWriter] = set()

    async def start(self, address: str, port: int) -> asyncio.Server:
        """Listen."""
        return await asyncio.start_server(self._connected, address, port)

    def set_cut(self, cut: bool):
        """Cut the link, or mend it."""
        self.cut = cut
        if not cut:
            return
        for writer in list(self.writers):
            writer.transport.abort()

    async def _connected(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ):
        if self.cut:
            writer.transport.abort()
            return
        try:
            there = await asyncio.open_connection(self.target, self.target_port)
        except OSError:
            writer.close()
            return
        self.writers.update((writer, there[1]))
        try:
            await asyncio.gather(_pump(reader, there[1]), _pump(there[0], writer))
        finally:
            self.writers.difference_update((writer, there[1]))


async def _pump(reader: asyncio.StreamReader, writer: asyncio.StreamWriter):
    try:
        while data := await reader.read(CHUNK):
            writer.write(data)
            await writer.drain()
    except OSError:
        writer.transport.abort()
        return
    writer.close()
