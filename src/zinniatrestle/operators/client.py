"""HTTP client of entry hosts."""

from dataclasses import dataclass, field
from typing import Any

import aiohttp
import msgspec

from zinniatrestle.errors import ResultCode, ZinniatrestleError
from zinniatrestle.requests.routes import (
    KEY_HEADER,
    KEY_STATE_HEADER,
    REPEATED_HEADER,
    TIMEOUT_HEADER,
)
from zinniatrestle.settings import about
from zinniatrestle.web import CODE_HEADER, Problem

CALL_TIMEOUT_SECONDS = 15.0
CONNECT_TIMEOUT_SECONDS = 2.0


@dataclass(frozen=True)
class ClientSettings:
    """Settings of the command-line client."""

    server: str = field(
        default="http://127.0.0.1:8080",
        metadata=about("Entry hosts to ask, first that answers: `url,url,...`."),
    )
    operator_token: str = field(
        default="", metadata=about("Bearer token of operators.")
    )
    account_token: str = field(
        default="", metadata=about("Bearer token of a client account.")
    )
    json: bool = field(
        default=False, metadata=about("Print JSON for programs instead of text.")
    )


class UnreachableError(ZinniatrestleError):
    """Signal that no entry host answered."""

    code = ResultCode.PEER_UNREACHABLE


class RequestAnswer(msgspec.Struct, frozen=True):
    """Answer to a service request, with the values of its headers."""

    code: int
    status: int
    key_state: str
    repeated: bool
    body: str


class Client:
    """Client that calls the first entry host to accept a connection.

    Only a failed connection leads to the next host: once a host has accepted the
    call, it may have taken effect.
    """

    def __init__(self, settings: ClientSettings):
        self.settings = settings
        self.servers = [url.rstrip("/") for url in settings.server.split(",")]

    async def operator(
        self, method: str, path: str, answer_type: Any, body: Any = None
    ) -> Any:
        """Call the operators' API; raises ZinniatrestleError."""
        token = self.settings.operator_token
        return await self._call(method, f"/v1/operator{path}", answer_type, token, body)

    async def account(
        self,
        method: str,
        path: str,
        answer_type: Any,
        body: Any = None,
        headers: dict[str, str] | None = None,
    ) -> Any:
        """Call the client accounts' API; raises ZinniatrestleError."""
        token = self.settings.account_token
        return await self._call(method, f"/v1{path}", answer_type, token, body, headers)

    async def request(
        self, service: str, kind: str, body: bytes, key: str | None, timeout_ms: int
    ) -> RequestAnswer:
        """Send a service request and return its answer, whatever the result code."""
        headers = {TIMEOUT_HEADER: str(timeout_ms)}
        if key is not None:
            headers[KEY_HEADER] = key
        path = f"/v1/services/{service}/{kind}"
        token = self.settings.account_token
        response, answer = await self._send("POST", path, token, body, headers)
        return RequestAnswer(
            int(response.headers.get(CODE_HEADER, ResultCode.UNKNOWN)),
            response.status,
            response.headers.get(KEY_STATE_HEADER, ""),
            REPEATED_HEADER in response.headers,
            answer.decode(errors="replace"),
        )

    async def _call(
        self,
        method: str,
        path: str,
        answer_type: Any,
        token: str,
        body: Any,
        headers: dict[str, str] | None = None,
    ) -> Any:
        data = None if body is None else msgspec.json.encode(body)
        response, answer = await self._send(method, path, token, data, headers or {})
        if response.status >= 400:
            raise _decode_error(response, answer)
        return msgspec.json.decode(answer, type=answer_type)

    async def _send(
        self,
        method: str,
        path: str,
        token: str,
        data: bytes | None,
        headers: dict[str, str],
    ) -> tuple[aiohttp.ClientResponse, bytes]:
        all_headers = {"Authorization": f"Bearer {token}", **headers}
        timeout = aiohttp.ClientTimeout(
            total=CALL_TIMEOUT_SECONDS, connect=CONNECT_TIMEOUT_SECONDS
        )
        async with aiohttp.ClientSession(
            timeout=timeout, headers=all_headers
        ) as session:
            for server in self.servers:
                try:
                    async with session.request(
                        method, server + path, data=data
                    ) as response:
                        return response, await response.read()
                except (
                    aiohttp.ClientConnectorError,
                    aiohttp.ConnectionTimeoutError,
                ):
                    continue
                except (TimeoutError, aiohttp.ClientError, OSError) as error:
                    raise UnreachableError(
                        f"{server} accepted the call but did not answer.",
                        ResultCode.UNKNOWN,
                    ) from error
        raise UnreachableError(f"No entry host answers at {self.settings.server}.")


def _decode_error(
    response: aiohttp.ClientResponse, answer: bytes
) -> ZinniatrestleError:
    try:
        problem = msgspec.json.decode(answer, type=Problem)
    except msgspec.MsgspecError:
        return ZinniatrestleError(
            f"The host answered with HTTP status {response.status}.", ResultCode.UNKNOWN
        )
    return ZinniatrestleError(problem.detail, ResultCode(problem.code))
