"""HTTP routes for requests of callers."""

from starlette.requests import Request as HttpRequest
from starlette.responses import Response
from starlette.routing import Route

from zinniatrestle.configuration import ConfigurationFollower
from zinniatrestle.errors import AuthenticationError, CallerError, ResultCode
from zinniatrestle.ids import ClientAccountId, RequestKey, ServiceName
from zinniatrestle.requests.handler import RequestHandler
from zinniatrestle.requests.messages import Answer, Request
from zinniatrestle.settings import HostSettings
from zinniatrestle.web import (
    CODE_HEADER,
    bearer_token,
    problem_response,
    read_body,
    token_digest,
    with_error_responses,
)

KEY_HEADER = "Idempotency-Key"
TIMEOUT_HEADER = "Zinniatrestle-Timeout-Ms"
KEY_STATE_HEADER = "Zinniatrestle-Key-State"
REPEATED_HEADER = "Zinniatrestle-Repeated"
DEFAULT_TIMEOUT_SECONDS = 10.0
MAX_KEY_LENGTH = 200
MS_PER_SECOND = 1000
MAX_TIMEOUT_DIGITS = 15
# Codes whose answer carries the status and body of the minion.
MINION_ANSWER_CODES = frozenset({ResultCode.OK, ResultCode.UPSTREAM_FAILED})


class RequestRoutes:
    """Decode requests of callers and encode their answers."""

    def __init__(
        self,
        handler: RequestHandler,
        follower: ConfigurationFollower,
        settings: HostSettings,
    ):
        self.handler = handler
        self.follower = follower
        self.settings = settings

    def routes(self) -> list[Route]:
        """Return the routes to mount in the HTTP application."""
        path = "/v1/services/{service}/{kind}"
        return [Route(path, with_error_responses(self.post), methods=["POST"])]

    async def post(self, http: HttpRequest) -> Response:
        """Decode, handle and answer one request."""
        account = authenticate(http, self.follower)
        request = Request(
            account=account,
            service=ServiceName(http.path_params["service"]),
            kind=http.path_params["kind"],
            body=await read_body(http, self.settings.largest_body),
            timeout=self._timeout(http),
            key=request_key(http),
        )
        return _response(await self.handler.handle(request))

    def _timeout(self, http: HttpRequest) -> float:
        text = http.headers.get(TIMEOUT_HEADER)
        if text is None:
            return min(DEFAULT_TIMEOUT_SECONDS, self.settings.longest_timeout)
        is_number = text.isascii() and text.isdecimal()
        if not is_number or len(text) > MAX_TIMEOUT_DIGITS or int(text) == 0:
            raise CallerError(
                f"{TIMEOUT_HEADER} must be a positive integer, got {text!r}."
            )
        return min(int(text) / MS_PER_SECOND, self.settings.longest_timeout)


def authenticate(http: HttpRequest, follower: ConfigurationFollower) -> ClientAccountId:
    """Return the account of the bearer token; raises AuthenticationError."""
    state = follower.require()
    account = state.account_by_digest.get(token_digest(bearer_token(http)))
    if account is None:
        raise AuthenticationError("No client account has this token.")
    return account


def request_key(http: HttpRequest) -> RequestKey | None:
    """Return the idempotency key if one was sent; raises CallerError."""
    key = http.headers.get(KEY_HEADER)
    if key is None:
        return None
    if not key.isprintable() or "/" in key or not 0 < len(key) <= MAX_KEY_LENGTH:
        raise CallerError(
            f"{KEY_HEADER} must have 1 to {MAX_KEY_LENGTH} printable characters other "
            "than a slash."
        )
    return RequestKey(key)


def _response(answer: Answer) -> Response:
    if answer.code in MINION_ANSWER_CODES:
        response = Response(
            answer.body, answer.status, None, answer.content_type or None
        )
        response.headers[CODE_HEADER] = str(int(answer.code))
    else:
        response = problem_response(answer.code, answer.detail)
    response.headers[KEY_STATE_HEADER] = answer.key_state.value
    if answer.repeated:
        response.headers[REPEATED_HEADER] = "1"
    return response
