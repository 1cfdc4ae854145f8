"""A plain reverse proxy to minions, the baseline for the entry host.

`python benchmarks/passthrough.py PORT MINION[,MINION...]`
"""

import itertools
import sys

import aiohttp
import uvicorn
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route


class PassThrough:
    """Forward requests to minions in round robin."""

    def __init__(self, minions: list[str]):
        self.minions = itertools.cycle(minions)
        self.session: aiohttp.ClientSession | None = None

    async def post(self, request: Request) -> Response:
        """Forward one request and return its answer."""
        if self.session is None:
            connector = aiohttp.TCPConnector(limit=0)
            self.session = aiohttp.ClientSession(connector=connector)
        params = request.path_params
        path = f"/{params['service']}/{params['kind']}"
        body = await request.body()
        url = f"http://{next(self.minions)}{path}"
        async with self.session.post(url, data=body) as response:
            return Response(await response.read(), response.status)


def main():
    """Serve until killed."""
    handler = PassThrough(sys.argv[2].split(","))
    route = Route("/v1/services/{service}/{kind}", handler.post, methods=["POST"])
    uvicorn.run(
        Starlette(routes=[route]),
        host="127.0.0.1",
        port=int(sys.argv[1]),
        log_config=None,
        access_log=False,
        lifespan="off",
    )


if __name__ == "__main__":
    main()
