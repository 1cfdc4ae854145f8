"""A service whose answers are set by the test."""

import asyncio
import contextlib
from collections.abc import AsyncIterator

from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from zinniatrestle.platform.connections import ConnectionPool
from zinniatrestle.standins.wire import serve_app

METHODS = ["GET", "POST", "PUT", "DELETE"]


class AnswerService:
    """A service that gives the same answer to all calls, and counts them."""

    def __init__(self):
        self.status = 200
        self.body = b"{}"
        self.headers: dict[str, str] = {}
        self.calls = 0

    def app(self) -> Starlette:
        return Starlette(routes=[Route("/{path:path}", self.handle, methods=METHODS)])

    async def handle(self, request: Request) -> Response:
        self.calls += 1
        return Response(self.body, self.status, self.headers)


@contextlib.asynccontextmanager
async def serve_answers() -> AsyncIterator[tuple[AnswerService, str]]:
    """Serve an AnswerService; yields it and its address."""
    service = AnswerService()
    async with serve_app(service.app()) as address:
        yield service, address


def run_with_answers(check):
    """Run a check of an AnswerService, an HTTP client and the service's address."""

    async def run():
        client = ConnectionPool(max_answer_bytes=1_000_000)
        async with serve_answers() as (service, address):
            try:
                await check(service, client, address)
            finally:
                await client.close()

    asyncio.run(run())
