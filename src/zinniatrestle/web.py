"""Helpers shared by all HTTP routes: error responses, bearer tokens, bodies."""

import asyncio
import contextlib
import hashlib
import hmac
from collections.abc import Awaitable, Callable
from typing import Any

import msgspec
import uvicorn
from starlette.requests import ClientDisconnect, Request
from starlette.responses import Response

from zinniatrestle.decoding import decode_json
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
    ResultCode.REQUEST_TIMEOUT: 408,
    ResultCode.NO_SUCH_THING: 404,
    ResultCode.BAD_SETTING: 400,
    ResultCode.BAD_TEMPLATE: 400,
    ResultCode.NO_SUCH_JOB: 410,
    ResultCode.KEY_REUSED: 422,
    ResultCode.KEY_REQUIRED: 400,
    ResultCode.QUEUE_FULL: 429,
    ResultCode.TOO_MANY_CANCELLATIONS: 429,
    ResultCode.BACKLOG_FULL: 429,
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
UNEXPECTED_ERROR = "The call failed unexpectedly, and may have taken effect."
CUT_SHORT = "The host is stopping. The call may have taken effect; ask another host."

log = ComponentLog("http")

Handler = Callable[[Request], Awaitable[Response]]


class HttpServer(uvicorn.Server):
    """HTTP server that leaves signal handling to the daemon."""

    @contextlib.contextmanager
    def capture_signals(self):
        """Install no signal handlers."""
        yield


class Problem(msgspec.Struct, frozen=True):
    """Problem details of an error (RFC 9457), extended by the result code."""

    type: str
    title: str
    status: int
    code: int
    detail: str


def problem_response(code: ResultCode, detail: str) -> Response:
    """Return the error response for a result code."""
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


def answer_in_spite_of_cancellation():
    """Undo the cancellation of this call, to be answered at once.

    The server cancels calls that outlast its graceful shutdown, and would give a bare
    status 500 as their answer.
    """
    asyncio.current_task().uncancel()


def with_error_responses(handler: Handler) -> Handler:
    """Wrap a handler so that its errors become RFC 9457 responses."""

    async def handle(request: Request) -> Response:
        try:
            return await handler(request)
        except ZinniatrestleError as error:
            return problem_response(error.code, error.detail)
        except asyncio.CancelledError:
            log.warning("%s %s was cut short.", request.method, request.scope["path"])
            answer_in_spite_of_cancellation()
            return problem_response(ResultCode.UNKNOWN, CUT_SHORT)
        except Exception as error:
            log.error(
                "%s %s failed: %s: %s",
                request.method,
                request.scope["path"],
                type(error).__name__,
                error,
            )
            return problem_response(ResultCode.UNKNOWN, UNEXPECTED_ERROR)

    return handle


async def read_body(request: Request, max_bytes: int) -> bytes:
    """Read a body of at most `max_bytes`; raises CallerError."""
    chunks = []
    size = 0
    try:
        async for chunk in request.stream():
            size += len(chunk)
            if size > max_bytes:
                raise CallerError(
                    f"The body is larger than {max_bytes} bytes.", ResultCode.TOO_LARGE
                )
            chunks.append(chunk)
    except ClientDisconnect as error:
        raise CallerError("The connection ended before the body.") from error
    return b"".join(chunks)


def decode_body(body: bytes, expected_type: Any) -> Any:
    """Decode and validate a JSON body; raises MalformedInputError."""
    return decode_json(body, expected_type, "The body")


def bearer_token(request: Request) -> str:
    """Return the bearer token of a request; raises AuthenticationError."""
    header = request.headers.get("authorization", "")
    if not header.lower().startswith(BEARER):
        raise AuthenticationError("The Authorization header has no bearer token.")
    return header[len(BEARER) :].strip()


def token_digest(token: str) -> str:
    """Return the SHA-256 digest under which a token is stored, in hex."""
    return hashlib.sha256(token.encode()).hexdigest()


def require_token(request: Request, expected: str):
    """Check the bearer token in constant time; raises AuthenticationError."""
    given = bearer_token(request)
    if not hmac.compare_digest(given.encode(), expected.encode()):
        raise AuthenticationError("The bearer token is invalid.")
