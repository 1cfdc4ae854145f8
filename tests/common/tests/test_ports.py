"""Tests of the ports that are reserved for the processes of a test."""

import socket
import subprocess
import sys

import pytest

from common.ports import ADDRESS, PortReservations

RESERVED = 100
DRAWN = 2000
# Ports drawn with and without SO_REUSEADDR, and those of outgoing connections.
DRAW_PORTS = f"""
import socket
sockets = [socket.socket() for _ in range({DRAWN})]
for number, drawn in enumerate(sockets):
    if number % 2:
        drawn.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    drawn.bind(("{ADDRESS}", 0))
with socket.create_server(("{ADDRESS}", 0), backlog=128) as server:
    for _ in range(100):
        sockets.append(socket.create_connection(server.getsockname()))
print(*[drawn.getsockname()[1] for drawn in sockets])
"""
SERVE_ONCE = """
import asyncio, sys
async def main():
    server = await asyncio.start_server(lambda *_: None, sys.argv[1], int(sys.argv[2]))
    print("listening", flush=True)
    await server.serve_forever()
asyncio.run(main())
"""


# Two hosts of a test got the same port, so one of them exited when it was started.
def test_no_port_is_reserved_twice_or_drawn_by_another_process():
    with PortReservations() as ports:
        reserved = {ports.reserve() for _ in range(RESERVED)}
        drawn = subprocess.run(
            [sys.executable, "-c", DRAW_PORTS], capture_output=True, check=True
        )
        assert len(reserved) == RESERVED
        assert not reserved & {int(port) for port in drawn.stdout.split()}


def test_a_server_can_listen_and_be_restarted_on_a_reserved_port():
    with PortReservations() as ports:
        port = ports.reserve()
        for _ in range(2):
            arguments = [sys.executable, "-c", SERVE_ONCE, ADDRESS, str(port)]
            with subprocess.Popen(arguments, stdout=subprocess.PIPE) as server:
                try:
                    assert server.stdout.readline() == b"listening\n"
                    with socket.create_connection((ADDRESS, port)):
                        pass
                finally:
                    server.kill()


def test_a_reserved_port_is_refused_to_others_and_its_socket_closed_at_the_end():
    with PortReservations() as ports:
        port = ports.reserve()
        (reserved,) = ports.sockets
        with socket.socket() as other, pytest.raises(OSError):
            other.bind((ADDRESS, port))
    assert reserved.fileno() == -1
    assert not ports.sockets
