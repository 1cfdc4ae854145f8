"""A TCP relay between two processes that injects network faults."""

import asyncio
import contextlib
from enum import Enum

CHUNK_BYTES = 65536
# The interval at which a blocked direction checks whether the link has recovered.
POLL_SECONDS = 0.05


class LinkState(Enum):
    """The state of the link that a relay simulates."""

    HEALTHY = "sound"
    # Each chunk is forwarded after a delay.
    DELAYED = "delayed"
    # Open and new connections are reset.
    RESET = "reset"
    # Requests are forwarded, answers are held back.
    ONE_WAY = "one_way"
    # Nothing is forwarded and no connection is reset.
    SILENT = "silent"


class Relay:
    """Forward bytes to and from a target as the state of the link allows.

    `delay` is in seconds and applies while the link is DELAYED.
    """

    def __init__(self, target: str, target_port: int, delay: float = 0.3):
        self.target = target
        self.target_port = target_port
        self.delay = delay
        self.link = LinkState.HEALTHY
        self.writers: set[asyncio.StreamWriter] = set()
        # Counts the restarts of the target's machine.
        self.restarts = 0

    async def start(self, address: str, port: int) -> asyncio.Server:
        """Listen on an address and port and return the server."""
        return await asyncio.start_server(self._handle_connection, address, port)

    def set_link(self, link: LinkState):
        """Change the state of the link; RESET aborts all open connections."""
        self.link = link
        if link is not LinkState.RESET:
            return
        for writer in list(self.writers):
            writer.transport.abort()

    def forget_connections(self):
        """Forget the open connections, like a machine that has restarted.

        Their answers are lost, and those on which something is sent are reset.
        """
        self.restarts += 1

    async def _handle_connection(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ):
        if self.link is LinkState.RESET:
            writer.transport.abort()
            return
        try:
            target_streams = await asyncio.open_connection(
                self.target, self.target_port
            )
        except OSError:
            writer.close()
            return
        writers = (writer, target_streams[1])
        self.writers.update(writers)
        try:
            await asyncio.gather(
                self._forward(reader, writers, answers=False),
                self._forward(target_streams[0], writers, answers=True),
            )
        finally:
            self.writers.difference_update(writers)

    async def _forward(
        self,
        reader: asyncio.StreamReader,
        writers: tuple[asyncio.StreamWriter, asyncio.StreamWriter],
        answers: bool,
    ):
        restarts = self.restarts
        writer = writers[0] if answers else writers[1]
        try:
            while data := await reader.read(CHUNK_BYTES):
                await self._delay(answers)
                if self.restarts != restarts:
                    if answers:
                        continue
                    for each in writers:
                        each.transport.abort()
                    return
                writer.write(data)
                await writer.drain()
        except OSError:
            writer.transport.abort()
            return
        with contextlib.suppress(OSError):
            # The connection may be closed already.
            writer.close()

    async def _delay(self, answers: bool):
        if self.link is LinkState.DELAYED:
            await asyncio.sleep(self.delay)
        while self.link is LinkState.SILENT or (
            answers and self.link is LinkState.ONE_WAY
        ):
            await asyncio.sleep(POLL_SECONDS)
