"""Reach minions over HTTP."""

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
CONNECT_SECONDS = 1.0
ASK_SECONDS = 2.0


class RunningCount(msgspec.Struct):
    """A minion's answer on what it runs of an account."""

    running: int


class HttpTransport(UpstreamTransport):
    """Send attempts as HTTP posts, with a bounded number of connections."""

    def __init__(self, connections: int):
        self.connections = connections
        self.session: aiohttp.ClientSession | None = None

    async def send(
        self, minion: MinionAddress, request: UpstreamRequest
    ) -> UpstreamAnswer:
        """Return the whole answer."""
        url = f"http://{minion.address}/{request.service}/{request.kind}"
        headers = {
            ACCOUNT_HEADER: request.account,
            ATTEMPT_HEADER: request.attempt,
            START_BY_HEADER: f"{request.start_by:.3f}",
        }
        timeout = aiohttp.ClientTimeout(
            total=max(0.001, request.timeout), sock_connect=CONNECT_SECONDS
        )
        try:
            async with self._session().post(
                url, data=request.body, headers=headers, timeout=timeout
            ) as response:
                return await _whole_answer(response)
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
            raise DeclinedError(f"{minion.minion} can't be reached.") from error
        except (TimeoutError, aiohttp.ClientError, OSError) as error:
            raise AnswerLostError(
                f"{minion.minion} gave no whole answer: {type(error).__name__}."
            ) from error

    async def running(self, minion: MinionAddress, account: ClientAccountId) -> int:
        """Return how many attempts of an account the minion runs."""
        url = f"http://{minion.address}/zinniatrestle/running/{account}"
        timeout = aiohttp.ClientTimeout(total=ASK_SECONDS)
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
            raise AnswerLostError(f"{minion.minion} can't be asked.") from error

    async def close(self):
        """Give back connections."""
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


async def _whole_answer(response: aiohttp.ClientResponse) -> UpstreamAnswer:
    # A body that is cut off raises ClientPayloadError and is never passed on.
    body = await response.read()
    leaving = LEAVING_HEADER in response.headers
    if NOT_RUN_HEADER in response.headers:
        raise DeclinedError("The minion declined.", leaving)
    return UpstreamAnswer(
        response.status,
        body,
        response.headers.get("Content-Type", ""),
        leaving,
    )
