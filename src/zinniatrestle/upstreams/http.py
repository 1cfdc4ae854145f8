"""HTTP transport to minions."""

import aiohttp
import msgspec

from zinniatrestle.ids import ClientAccountId
from zinniatrestle.upstreams.messages import (
    AnswerLostError,
    DeclinedError,
    MinionAddress,
    UpstreamAnswer,
    UpstreamRequest,
)
from zinniatrestle.upstreams.transport import UpstreamTransport

ACCOUNT_HEADER = "Zinniatrestle-Account"
ATTEMPT_HEADER = "Zinniatrestle-Attempt"
START_BY_HEADER = "Zinniatrestle-Start-By"
NOT_RUN_HEADER = "Zinniatrestle-Not-Run"
LEAVING_HEADER = "Zinniatrestle-Leaving"
CONNECT_TIMEOUT_SECONDS = 1.0
RUNNING_COUNT_TIMEOUT_SECONDS = 2.0


class RunningCount(msgspec.Struct):
    """A minion's answer with the number of attempts that it runs for an account."""

    running: int


class HttpTransport(UpstreamTransport):
    """Send attempts as HTTP POSTs, with at most `connections` to each minion."""

    def __init__(self, connections: int):
        self.connections = connections
        self.session: aiohttp.ClientSession | None = None

    async def send(
        self, minion: MinionAddress, request: UpstreamRequest
    ) -> UpstreamAnswer:
        """Return the complete answer; raises DeclinedError and AnswerLostError."""
        url = f"http://{minion.address}/{request.service}/{request.kind}"
        headers = {
            ACCOUNT_HEADER: request.account,
            ATTEMPT_HEADER: request.attempt,
            START_BY_HEADER: f"{request.start_by:.3f}",
        }
        timeout = aiohttp.ClientTimeout(
            total=max(0.001, request.timeout), sock_connect=CONNECT_TIMEOUT_SECONDS
        )
        try:
            async with self._session().post(
                url, data=request.body, headers=headers, timeout=timeout
            ) as response:
                return await _read_answer(response)
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
            raise DeclinedError(
                f"Could not connect to minion {minion.minion}."
            ) from error
        except (TimeoutError, aiohttp.ClientError, OSError) as error:
            raise AnswerLostError(
                f"Lost the answer of minion {minion.minion}: {type(error).__name__}."
            ) from error

    async def running(self, minion: MinionAddress, account: ClientAccountId) -> int:
        """Return the number of attempts of an account that the minion runs."""
        url = f"http://{minion.address}/zinniatrestle/running/{account}"
        timeout = aiohttp.ClientTimeout(total=RUNNING_COUNT_TIMEOUT_SECONDS)
        try:
            async with self._session().get(url, timeout=timeout) as response:
                response.raise_for_status()
                body = await response.read()
                return msgspec.json.decode(body, type=RunningCount).running
        except (
            TimeoutError,
            aiohttp.ClientError,
            OSError,
            msgspec.ValidationError,
            msgspec.DecodeError,
        ) as error:
            raise AnswerLostError(
                f"Minion {minion.minion} did not report its running attempts."
            ) from error

    async def close(self):
        """Close all connections."""
        if self.session is not None:
            await self.session.close()

    def _session(self) -> aiohttp.ClientSession:
        if self.session is None:
            connector = aiohttp.TCPConnector(
                limit=0, limit_per_host=self.connections, ttl_dns_cache=None
            )
            self.session = aiohttp.ClientSession(
                connector=connector, auto_decompress=False
            )
        return self.session


async def _read_answer(response: aiohttp.ClientResponse) -> UpstreamAnswer:
    # A truncated body raises ClientPayloadError, so it is never passed on.
    body = await response.read()
    leaving = LEAVING_HEADER in response.headers
    if NOT_RUN_HEADER in response.headers:
        raise DeclinedError("The minion declined the request.", leaving)
    return UpstreamAnswer(
        response.status,
        body,
        response.headers.get("Content-Type", ""),
        leaving,
    )
