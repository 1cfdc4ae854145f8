"""HTTP clients for the services of the platform and for workers."""

from abc import ABC, abstractmethod
from enum import Enum
from typing import Any

import aiohttp

# Several times the latency of the slowest link, and short because a host behind a
# partition never answers.
CONNECT_TIMEOUT_SECONDS = 1.0
# Idle connections are closed early, since they may have failed without notice.
KEEPALIVE_SECONDS = 10.0
# Many times the largest answers of the platform: pages of rows, and desired states.
MAX_ANSWER_BYTES = 32 * 2**20


class CallEffect(Enum):
    """Whether a failed call may have taken effect."""

    NO_EFFECT = "not_done"
    UNKNOWN = "unknown"


class CallError(Exception):
    """Signal a call that got no answer."""

    def __init__(
        self, effect: CallEffect, detail: str, connection_refused: bool = False
    ):
        super().__init__(detail)
        self.effect = effect
        self.detail = detail
        # Nothing listens at the address.
        self.connection_refused = connection_refused


class HttpAnswer:
    """Status and body of an answer."""

    def __init__(self, status: int, body: bytes):
        self.status = status
        self.body = body


class HttpCaller(ABC):
    """HTTP client; a call that times out closes its connection."""

    @abstractmethod
    async def call(
        self,
        method: str,
        address: str,
        path: str,
        timeout: float,
        body: bytes | None = None,
        headers: dict[str, str] | None = None,
    ) -> HttpAnswer:
        """Make one call and wait up to `timeout` seconds; raises CallError."""

    @abstractmethod
    async def close(self):
        """Close all connections."""


class HttpClient(HttpCaller):
    """HTTP client for services with large answers.

    Longer answers than `max_answer_bytes` are not read.
    """

    def __init__(self, max_answer_bytes: int = MAX_ANSWER_BYTES):
        self.max_answer_bytes = max_answer_bytes
        self.session: aiohttp.ClientSession | None = None

    async def call(
        self,
        method: str,
        address: str,
        path: str,
        timeout: float,
        body: bytes | None = None,
        headers: dict[str, str] | None = None,
        query: dict[str, Any] | None = None,
        extra_body_seconds: float = 0.0,
    ) -> HttpAnswer:
        """Make one call; raises CallError.

        `timeout` limits the wait for the answer, in seconds. Reading an answer whose
        data keeps arriving may take `extra_body_seconds` more.
        """
        client_timeout = aiohttp.ClientTimeout(
            total=timeout + extra_body_seconds,
            sock_connect=min(timeout, CONNECT_TIMEOUT_SECONDS),
            sock_read=timeout,
        )
        request_headers = dict(headers or {})
        if body is not None:
            request_headers["Content-Type"] = "application/json"
        try:
            async with self._session().request(
                method,
                f"http://{address}{path}",
                data=body,
                params=query,
                headers=request_headers,
                timeout=client_timeout,
                allow_redirects=False,
            ) as response:
                return HttpAnswer(response.status, await self._read_body(response))
        except aiohttp.ClientConnectorError as error:
            connection_refused = isinstance(error.os_error, ConnectionRefusedError)
            raise CallError(
                CallEffect.NO_EFFECT, str(error), connection_refused
            ) from error
        except aiohttp.ConnectionTimeoutError as error:
            raise CallError(
                CallEffect.NO_EFFECT, "opening the connection timed out"
            ) from error
        except TimeoutError as error:
            raise CallError(
                CallEffect.UNKNOWN, "no answer before the timeout"
            ) from error
        except (aiohttp.ClientError, OSError, ValueError) as error:
            # A ValueError is about a part of the call or the answer that can't be
            # encoded or decoded.
            raise CallError(
                CallEffect.UNKNOWN, f"{type(error).__name__}: {error}"
            ) from error

    async def _read_body(self, response: aiohttp.ClientResponse) -> bytes:
        chunks = []
        size = 0
        async for chunk in response.content.iter_any():
            size += len(chunk)
            if size > self.max_answer_bytes:
                raise CallError(
                    CallEffect.UNKNOWN,
                    f"the answer is larger than {self.max_answer_bytes} bytes",
                )
            chunks.append(chunk)
        return b"".join(chunks)

    async def close(self):
        """Close all connections."""
        if self.session is not None:
            await self.session.close()

    def _session(self) -> aiohttp.ClientSession:
        if self.session is None:
            connector = aiohttp.TCPConnector(
                limit=0,
                keepalive_timeout=KEEPALIVE_SECONDS,
                use_dns_cache=False,
            )
            self.session = aiohttp.ClientSession(
                connector=connector,
                auto_decompress=False,
                cookie_jar=aiohttp.DummyCookieJar(),
            )
        return self.session
