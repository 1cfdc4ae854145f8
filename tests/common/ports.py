"""Ports of the loopback interface for the processes of a test."""

import socket

ADDRESS = "127.0.0.1"


class PortReservations:
    """Reserve free ports until `release` is called.

    Each port has a bound socket that doesn't listen. The system assigns such a port to
    no other socket, but a server that sets SO_REUSEADDR may listen on it, and may be
    restarted there.
    """

    def __init__(self):
        self.sockets: list[socket.socket] = []

    def __enter__(self) -> "PortReservations":
        return self

    def __exit__(self, *details):
        self.release()

    def reserve(self) -> int:
        """Reserve a port that no other socket is bound to, and return it."""
        reserved = socket.socket()
        reserved.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        reserved.bind((ADDRESS, 0))
        self.sockets.append(reserved)
        return reserved.getsockname()[1]

    def release(self):
        """Release all ports; to be called once their servers have ended."""
        for reserved in self.sockets:
            reserved.close()
        self.sockets.clear()
