"""Length-prefixed frames, and the mutual authentication that opens a link."""

import asyncio
import hmac
import secrets

import capnp

from zinniatrestle.errors import PeerError, ResultCode
from zinniatrestle.ids import FailureDomainId, HostId
from zinniatrestle.peers.messages import Content, Frame, Hello, decode, encode

LENGTH_PREFIX_BYTES = 4
MAX_FRAME_BYTES = 16 * 1024 * 1024
MAX_HELLO_BYTES = 4096
NONCE_BYTES = 16
HANDSHAKE_TIMEOUT_SECONDS = 2.0
DIAL_ROLE = b"dial"
ACCEPT_ROLE = b"accept"


class FrameStream:
    """Read and write length-prefixed frames on one connection."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter):
        self.reader = reader
        self.writer = writer
        self.sent_bytes = 0
        self.received_bytes = 0

    async def send(self, number: int, content: Content):
        """Write one frame."""
        body = encode(Frame(number, content))
        self.writer.write(len(body).to_bytes(LENGTH_PREFIX_BYTES, "big") + body)
        self.sent_bytes += LENGTH_PREFIX_BYTES + len(body)
        await self.writer.drain()

    async def receive(self, max_bytes: int = MAX_FRAME_BYTES) -> Frame:
        """Read one frame; raises PeerError if it is malformed or the stream ends."""
        try:
            head = await self.reader.readexactly(LENGTH_PREFIX_BYTES)
            length = int.from_bytes(head, "big")
            if length > max_bytes:
                raise PeerError(
                    f"The frame has {length} bytes, over the limit of {max_bytes}.",
                    ResultCode.PEER_REFUSED,
                )
            body = await self.reader.readexactly(length)
        except (asyncio.IncompleteReadError, OSError) as error:
            raise PeerError("The peer closed the connection.") from error
        self.received_bytes += LENGTH_PREFIX_BYTES + length
        try:
            return decode(body)
        except (capnp.KjException, ValueError) as error:
            raise PeerError(
                "The frame can't be decoded.", ResultCode.PEER_REFUSED
            ) from error

    def close(self):
        """Close the connection."""
        self.writer.close()


class PeerIdentity:
    """A host's identity towards its peers, authenticated by the cluster key."""

    def __init__(self, host: HostId, domain: FailureDomainId, boot: str, key: bytes):
        self.host = host
        self.domain = domain
        self.boot = boot
        self.key = key

    def hello(self, nonce: bytes, proof: bytes = b"") -> Hello:
        """Return a hello message of this host."""
        return Hello(self.host, self.domain, self.boot, nonce, proof)

    def proof(
        self, role: bytes, prover_nonce: bytes, verifier_nonce: bytes, host: HostId
    ) -> bytes:
        """Return the HMAC by which `host` proves that it has the cluster key.

        Covering the role and both nonces prevents replay and reflection.
        """
        message = b"|".join([role, prover_nonce, verifier_nonce, host.encode()])
        return hmac.new(self.key, message, "sha256").digest()


async def dial_handshake(
    stream: FrameStream, identity: PeerIdentity, expected: HostId
) -> Hello:
    """Authenticate both sides as the dialer.

    Raises PeerError if the peer is not `expected` or lacks the cluster key, and
    TimeoutError.
    """
    async with asyncio.timeout(HANDSHAKE_TIMEOUT_SECONDS):
        nonce = secrets.token_bytes(NONCE_BYTES)
        await stream.send(0, identity.hello(nonce))
        peer_hello = await _receive_hello(stream)
        proof = identity.proof(ACCEPT_ROLE, peer_hello.nonce, nonce, peer_hello.host)
        proven = hmac.compare_digest(proof, peer_hello.proof)
        if peer_hello.host != expected or not proven:
            raise PeerError(f"Peer {expected} failed authentication.")
        own_proof = identity.proof(DIAL_ROLE, nonce, peer_hello.nonce, identity.host)
        await stream.send(0, identity.hello(nonce, own_proof))
        return peer_hello


async def accept_handshake(
    stream: FrameStream, identity: PeerIdentity, permitted: set[HostId]
) -> Hello:
    """Authenticate both sides as the acceptor.

    Raises PeerError if the caller is not in `permitted` or lacks the cluster key,
    and TimeoutError.
    """
    async with asyncio.timeout(HANDSHAKE_TIMEOUT_SECONDS):
        peer_hello = await _receive_hello(stream)
        if peer_hello.host not in permitted:
            raise PeerError(
                f"Host {peer_hello.host} is not a configured peer.",
                ResultCode.PEER_REFUSED,
            )
        nonce = secrets.token_bytes(NONCE_BYTES)
        proof = identity.proof(ACCEPT_ROLE, nonce, peer_hello.nonce, identity.host)
        await stream.send(0, identity.hello(nonce, proof))
        final_hello = await _receive_hello(stream)
        expected_proof = identity.proof(
            DIAL_ROLE, peer_hello.nonce, nonce, peer_hello.host
        )
        if not hmac.compare_digest(expected_proof, final_hello.proof):
            raise PeerError(
                f"Host {peer_hello.host} has another cluster key.",
                ResultCode.PEER_REFUSED,
            )
        return peer_hello


async def _receive_hello(stream: FrameStream) -> Hello:
    frame = await stream.receive(MAX_HELLO_BYTES)
    if not isinstance(frame.content, Hello):
        raise PeerError("Expected a hello as the first frame.", ResultCode.PEER_REFUSED)
    return frame.content
