"""Links to peers: one task dials each peer, one serves each connection."""

import asyncio
from abc import ABC, abstractmethod

import msgspec

from zinniatrestle.clock import wait_for_event
from zinniatrestle.errors import PeerError, ResultCode, ZinniatrestleError
from zinniatrestle.ids import HostId
from zinniatrestle.ingress.server import ACCEPT_BATCH, lengthen_queue
from zinniatrestle.logs import ComponentLog
from zinniatrestle.peers.framing import (
    FrameStream,
    PeerIdentity,
    accept_handshake,
    dial_handshake,
)
from zinniatrestle.peers.messages import Answer, Call, Duty, Heartbeat
from zinniatrestle.peers.state import SILENCE_TIMEOUT_SECONDS, Peer, PeerState

HEARTBEAT_SECONDS = 1.0
CONNECT_TIMEOUT_SECONDS = 1.0
INITIAL_BACKOFF_SECONDS = 0.1
MAX_BACKOFF_SECONDS = 2.0
MAX_CONCURRENT_CALLS = 256
# Connections that have not proven yet to be a peer's. Their number bounds what others
# can take of the descriptors and the memory.
MAX_HANDSHAKES = 64
EVICTION_LOG_SECONDS = 1.0

log = ComponentLog("peers")


class PeerHandler(ABC):
    """Handler of the heartbeats and calls of peers."""

    @abstractmethod
    def heartbeat(self) -> Heartbeat:
        """Return the heartbeat to send to peers now."""

    @abstractmethod
    def on_heartbeat(self, peer: Peer):
        """Process the heartbeat just recorded in `peer`."""

    @abstractmethod
    async def serve(self, duty: Duty, body: bytes) -> bytes:
        """Return the answer to a call; raises ZinniatrestleError to refuse it."""


class PeerLink:
    """Outgoing connection to one peer: sends heartbeats and calls.

    The peer's own heartbeats arrive on the connection that the peer dials.
    """

    def __init__(self, peer: Peer, identity: PeerIdentity, peer_handler: PeerHandler):
        self.peer = peer
        self.identity = identity
        self.peer_handler = peer_handler
        self.stream: FrameStream | None = None
        self.pending_calls: dict[int, asyncio.Future] = {}
        self.last_number = 0
        self.heartbeat_due = asyncio.Event()
        self.closed_bytes = 0

    async def run(self):
        """Keep the link connected until cancelled; reconnect with backoff."""
        backoff = INITIAL_BACKOFF_SECONDS
        while True:
            try:
                await self._run_connection()
                backoff = INITIAL_BACKOFF_SECONDS
            except ConnectionRefusedError:
                self.peer.mark_unreachable(PeerState.DEAD)
            except (PeerError, OSError, TimeoutError):
                self.peer.mark_unreachable(PeerState.CUT_OFF)
            await asyncio.sleep(backoff)
            backoff = min(2 * backoff, MAX_BACKOFF_SECONDS)

    async def call(self, duty: Duty, body: bytes, timeout: float) -> bytes:
        """Call the peer and return the body of its answer; `timeout` in seconds.

        Raises PeerError with PEER_UNREACHABLE if nothing was sent, with UNKNOWN
        if the answer was not received, and with the peer's code if it refused.
        """
        if self.stream is None:
            raise PeerError(f"Peer {self.peer.address.host} is not connected.")
        self.last_number += 1
        number = self.last_number
        future = asyncio.get_running_loop().create_future()
        self.pending_calls[number] = future
        try:
            async with asyncio.timeout(timeout):
                await self.stream.send(number, Call(duty, body))
                answer = await future
        except (TimeoutError, OSError):
            raise PeerError(
                f"Peer {self.peer.address.host} did not answer.", ResultCode.UNKNOWN
            ) from None
        finally:
            self.pending_calls.pop(number, None)
        if answer.code != ResultCode.OK:
            raise PeerError(answer.detail, ResultCode(answer.code))
        return answer.body

    @property
    def bytes(self) -> int:
        """Return the bytes sent and received on all connections to the peer."""
        if self.stream is None:
            return self.closed_bytes
        return self.closed_bytes + self.stream.sent_bytes + self.stream.received_bytes

    async def _run_connection(self):
        address = self.peer.address
        async with asyncio.timeout(CONNECT_TIMEOUT_SECONDS):
            reader, writer = await asyncio.open_connection(
                address.address, address.port
            )
        stream = FrameStream(reader, writer)
        try:
            hello = await dial_handshake(stream, self.identity, address.host)
            self.peer.boot = hello.boot
            self.stream = stream
            log.info("Connected to peer %s.", address.host)
            await self._exchange_frames(stream)
        finally:
            self._disconnect(stream)

    async def _exchange_frames(self, stream: FrameStream):
        receiver = asyncio.create_task(self._receive(stream))
        sender = asyncio.create_task(self._send_heartbeats(stream))
        try:
            done, _ = await asyncio.wait(
                {receiver, sender}, return_when=asyncio.FIRST_COMPLETED
            )
            for task in done:
                task.result()
        finally:
            receiver.cancel()
            sender.cancel()
            await asyncio.gather(receiver, sender, return_exceptions=True)

    async def _send_heartbeats(self, stream: FrameStream):
        while True:
            await stream.send(0, self.peer_handler.heartbeat())
            if await wait_for_event(self.heartbeat_due, HEARTBEAT_SECONDS):
                self.heartbeat_due.clear()

    async def _receive(self, stream: FrameStream):
        while True:
            try:
                async with asyncio.timeout(SILENCE_TIMEOUT_SECONDS):
                    frame = await stream.receive()
            except TimeoutError:
                self.peer.mark_unreachable(PeerState.FROZEN)
                continue
            future = self.pending_calls.get(frame.number)
            if future is not None and not future.done():
                future.set_result(frame.content)

    def _disconnect(self, stream: FrameStream):
        self.stream = None
        self.closed_bytes += stream.sent_bytes + stream.received_bytes
        stream.close()
        for future in self.pending_calls.values():
            if not future.done():
                future.set_exception(
                    PeerError(
                        "The connection was lost before the answer.", ResultCode.UNKNOWN
                    )
                )
        log.info("Disconnected from peer %s.", self.peer.address.host)


class PeerServer:
    """Accept and serve the connections that peers dial."""

    def __init__(
        self,
        identity: PeerIdentity,
        peers: dict[HostId, Peer],
        peer_handler: PeerHandler,
    ):
        self.identity = identity
        self.peers = peers
        self.peer_handler = peer_handler
        self.connections: set[asyncio.Task] = set()
        self.streams: set[FrameStream] = set()
        self.closed_bytes = 0
        self.listener: asyncio.Server | None = None
        # The tasks of connections before the end of their handshake, oldest first.
        self.handshakes: dict[asyncio.Task, None] = {}
        self.evicted_handshakes = 0
        self.eviction_logged_at = float("-inf")

    async def start(self, address: str, port: int):
        """Listen for peers."""
        self.listener = await asyncio.start_server(
            self._connected, address, port, backlog=ACCEPT_BATCH
        )
        lengthen_queue(self.listener)

    @property
    def bytes(self) -> int:
        """Return the bytes sent and received on all accepted connections."""
        open_bytes = sum(
            stream.sent_bytes + stream.received_bytes for stream in self.streams
        )
        return self.closed_bytes + open_bytes

    async def close(self):
        """Stop listening and close all connections."""
        if self.listener is not None:
            self.listener.close()
        connections = list(self.connections)
        for task in connections:
            task.cancel()
        await asyncio.gather(*connections, return_exceptions=True)

    async def _connected(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ):
        task = asyncio.current_task()
        self.connections.add(task)
        stream = FrameStream(reader, writer)
        self.streams.add(stream)
        self.handshakes[task] = None
        self._evict_handshakes()
        try:
            await self._serve(stream)
        except asyncio.CancelledError:
            # Only close() and an eviction cancel this task, and nobody awaits it.
            return
        except (PeerError, OSError, TimeoutError) as error:
            if isinstance(error, PeerError) and error.code is ResultCode.PEER_REFUSED:
                log.warning("Refused a peer connection: %s", error.detail)
        finally:
            self.streams.discard(stream)
            self.closed_bytes += stream.sent_bytes + stream.received_bytes
            self.connections.discard(task)
            self.handshakes.pop(task, None)
            stream.close()

    def _evict_handshakes(self):
        """End the oldest handshakes if there are too many; a peer's is short."""
        while len(self.handshakes) > MAX_HANDSHAKES:
            oldest = next(iter(self.handshakes))
            del self.handshakes[oldest]
            oldest.cancel()
            self.evicted_handshakes += 1
            now = asyncio.get_running_loop().time()
            if now - self.eviction_logged_at < EVICTION_LOG_SECONDS:
                continue
            self.eviction_logged_at = now
            log.warning(
                "Ended a handshake, since over %d are open; %d so far.",
                MAX_HANDSHAKES,
                self.evicted_handshakes,
            )

    async def _serve(self, stream: FrameStream):
        """Record heartbeats in order and answer each call in its own task."""
        hello = await accept_handshake(stream, self.identity, set(self.peers))
        self.handshakes.pop(asyncio.current_task(), None)
        peer = self.peers[hello.host]
        limit = asyncio.Semaphore(MAX_CONCURRENT_CALLS)
        async with asyncio.TaskGroup() as calls:
            while True:
                try:
                    frame = await stream.receive()
                except PeerError:
                    break
                if isinstance(frame.content, Heartbeat):
                    peer.boot = hello.boot
                    peer.record_heartbeat(frame.content)
                    self.peer_handler.on_heartbeat(peer)
                    continue
                if isinstance(frame.content, Call):
                    await limit.acquire()
                    calls.create_task(
                        self._answer(stream, frame.number, frame.content, limit)
                    )

    async def _answer(
        self, stream: FrameStream, number: int, call: Call, limit: asyncio.Semaphore
    ):
        try:
            body = await self.peer_handler.serve(call.duty, call.body)
            answer = Answer(int(ResultCode.OK), "", body)
        except ZinniatrestleError as error:
            answer = Answer(int(error.code), error.detail, b"")
        except msgspec.MsgspecError as error:
            answer = Answer(int(ResultCode.BAD_INPUT), str(error), b"")
        finally:
            limit.release()
        try:
            await stream.send(number, answer)
        except OSError:
            log.warning("Could not send an answer: the peer disconnected.")
