"""What all HTTP routes share: problems, tokens, bodies."""

import contextlib
import hashlib
import hmac
from collections.abc import Awaitable, Callable
from typing import Any

import msgspec
import uvicorn
from starlette.requests import Request
from starlette.responses import Response

from zinniatrestle.errors import (
    AuthenticationError,
    CallerError,
    ResultCode,
    ZinniatrestleError,
)
from zinniatrestle.logs import ComponentLog

CODE_HEADER = "Zinniatrestle-Code"
BEARER = "bearer "
HTTP_STATUS = {
    ResultCode.OK: 200,
    ResultCode.BAD_INPUT: 400,
    ResultCode.UNAUTHENTICATED: 401,
    ResultCode.TOO_LARGE: 413,
    ResultCode.NO_SUCH_THING: 404,
    ResultCode.BAD_SETTING: 400,
    ResultCode.BAD_TEMPLATE: 400,
    ResultCode.NO_SUCH_JOB: 410,
    ResultCode.KEY_REUSED: 422,
    ResultCode.KEY_REQUIRED: 400,
    ResultCode.QUEUE_FULL: 429,
    ResultCode.DEADLINE_PASSED: 504,
    ResultCode.UNKNOWN: 504,
    ResultCode.KIND_NOT_PERMITTED: 403,
    ResultCode.ACCOUNT_RETIRED: 403,
    ResultCode.UPSTREAM_FAILED: 502,
    ResultCode.CONFLICT: 409,
    ResultCode.IN_USE: 409,
    ResultCode.GUARANTEE_NOT_HELD: 422,
    ResultCode.NEVER_FITS: 422,
    ResultCode.NOT_PROVEN: 409,
    ResultCode.NOT_RETIRED: 409,
}
DEFAULT_ERROR_STATUS = 503

log = ComponentLog("http")

Handler = Callable[[Request], Awaitable[Response]]


class HttpServer(uvicorn.Server):
    """Serve HTTP and leave signals to the daemon."""

    @contextlib.contextmanager
    def capture_signals(self):
        """Leave signals alone."""
        yield


class Problem(msgspec.Struct, frozen=True):
    """An error as RFC 9457 shapes it, with the numbered code."""

    type: str
    title: str
    status: int
    code: int
    detail: str


def problem_response(code: ResultCode, detail: str) -> Response:
    """Return the response that tells of an error."""
    status = HTTP_STATUS.get(code, DEFAULT_ERROR_STATUS)
    body = Problem(f"urn:zinniatrestle:code:{code:d}", code.name, status, code, detail)
    return Response(
        msgspec.json.encode(body),
        status,
        {CODE_HEADER: str(int(code))},
        "application/problem+json",
    )


def json_response(body: Any, status: int = 200) -> Response:
    """Return a JSON response."""
    headers = {CODE_HEADER: "0"}
    return Response(msgspec.json.encode(body), status, headers, "application/json")


def with_error_responses(handler: Handler) -> Handler:
    """Return a handler whose errors become problems."""

    async def handle(request: Request) -> Response:
        try:
            return await handler(request)
        except ZinniatrestleError as error:
            return problem_response(error.code, error.detail)

    return handle


async def read_body(request: Request, largest: int) -> bytes:
    """Return a body of bounded size; raises CallerError."""
    chunks = []
    size = 0
    async for chunk in request.stream():
        size += len(chunk)
        if size > largest:
            raise CallerError(
                f"The body is larger than {largest} bytes.", ResultCode.TOO_LARGE
            )
        chunks.append(chunk)
    return b"".join(chunks)


def decode_body(body: bytes, wanted: Any) -> Any:
    """Return a checked JSON body; raises CallerError."""
    try:
        return msgspec.json.decode(body, type=wanted)
    except (msgspec.ValidationError, msgspec.DecodeError) as error:
        raise CallerError(f"Mend the body: {error}.") from error


def bearer_token(request: Request) -> str:
    """Return the bearer token; raises AuthenticationError."""
    header = request.headers.get("authorization", "")
    if not header.lower().startswith(BEARER):
        raise AuthenticationError("Send a bearer token.")
    return header[len(BEARER) :].strip()


def token_digest(token: str) -> str:
    """Return the digest by which a token is kept."""
    return hashlib.sha256(token.encode()).hexdigest()


def require_token(request: Request, expected: str):
    """Compare a token in constant time; raises AuthenticationError."""
    given = bearer_token(request)
    if not hmac.compare_digest(given.encode(), expected.encode()):
        raise AuthenticationError("The token is wrong.")
