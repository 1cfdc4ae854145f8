"""HTTP server whose connections are limited."""

import asyncio
import os
import socket

import uvicorn

from zinniatrestle.ingress.listener import ClientListener
from zinniatrestle.web import HttpServer

# uvicorn ticks ten times a second.
SWEEP_TICKS = 5
# Connections that the event loop accepts at once, before any of them can be refused.
ACCEPT_BATCH = 16
# Turns of the event loop in which a server that stops accepts connections.
ACCEPT_ROUNDS = 4
# Connections that the system keeps until they are accepted.
LISTEN_BACKLOG = 1024


def lengthen_queue(server: asyncio.Server):
    """Let the system keep more connections than the event loop accepts at once."""
    for listening in server.sockets:
        descriptor = listening.fileno()
        if not isinstance(descriptor, int):
            # The sockets of a simulated network have none.
            continue
        with socket.socket(fileno=os.dup(descriptor)) as same:
            same.listen(LISTEN_BACKLOG)


class LimitedServer(HttpServer):
    """HTTP server that limits its clients."""

    def __init__(self, config: uvicorn.Config, listener: ClientListener | None = None):
        super().__init__(config)
        self.listener = listener or ClientListener()
        # The protocol finds it here, since uvicorn passes it the configuration only.
        config.listener = self.listener
        config.backlog = ACCEPT_BATCH

    async def startup(self, sockets: list[socket.socket] | None = None):
        """Listen, with a longer queue of the system than of the event loop."""
        await super().startup(sockets)
        for server in self.servers:
            lengthen_queue(server)

    async def shutdown(self, sockets: list[socket.socket] | None = None):
        """Serve the connections that clients have opened, and close them."""
        self.listener.stopping = True
        # Those that the system has not handed over yet would be reset.
        for _ in range(ACCEPT_ROUNDS):
            await asyncio.sleep(0)
        await super().shutdown(sockets)

    async def on_tick(self, counter: int) -> bool:
        """Apply the time limits twice a second."""
        if counter % SWEEP_TICKS == 0:
            self.listener.sweep(asyncio.get_running_loop().time())
        return await super().on_tick(counter)
