"""An HTTP server that stands in for a minion."""

import asyncio
import time

import msgspec
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from zinniatrestle.standins.messages import MinionFaults, Run
from zinniatrestle.upstreams.http import (
    ACCOUNT_HEADER,
    ATTEMPT_HEADER,
    LEAVING_HEADER,
    NOT_RUN_HEADER,
    START_BY_HEADER,
    RunningCount,
)

# HTTP status codes.
DECLINED = 503
FAILED = 500

HANG_SECONDS = 3600.0
MAX_RECORDED_RUNS = 100_000


class MinionAnswer(msgspec.Struct):
    """The answer of the stand-in: which minion ran which attempt."""

    minion: str
    attempt: str
    body: str


class MinionServer:
    """Run requests on a bounded number of slots and record each run."""

    def __init__(self, name: str, slots: int):
        self.name = name
        self.slots = slots
        self.faults = MinionFaults()
        self.runs: list[Run] = []
        self.running: dict[str, Run] = {}
        self.max_running = 0

    def app(self) -> Starlette:
        """Return the ASGI application."""
        routes = [
            Route("/zinniatrestle/running/{account}", self.count, methods=["GET"]),
            Route("/control/faults", self.set_faults, methods=["POST"]),
            Route("/control/runs", self.show_runs, methods=["GET"]),
            Route("/{service}/{kind}", self.run, methods=["POST"]),
        ]
        return Starlette(routes=routes)

    async def run(self, request: Request) -> Response:
        """Run one attempt, or decline it."""
        attempt = request.headers.get(ATTEMPT_HEADER, "")
        body = await request.body()
        start_by = float(request.headers.get(START_BY_HEADER, "inf"))
        full = len(self.running) >= self.slots
        if self.faults.leaving or full or time.time() > start_by:
            return self._declined()
        run = Run(
            attempt,
            request.headers.get(ACCOUNT_HEADER, ""),
            request.path_params["kind"],
            body.decode(errors="replace"),
            time.time(),
        )
        self.runs.append(run)
        del self.runs[:-MAX_RECORDED_RUNS]
        self.running[attempt] = run
        self.max_running = max(self.max_running, len(self.running))
        try:
            return await self._work(run)
        finally:
            run.ended = time.time()
            self.running.pop(attempt, None)

    async def count(self, request: Request) -> Response:
        """Return the number of running attempts of an account."""
        account = request.path_params["account"]
        running = [run for run in self.running.values() if run.account == account]
        return Response(msgspec.json.encode(RunningCount(len(running))))

    async def set_faults(self, request: Request) -> Response:
        """Replace the injected faults."""
        self.faults = msgspec.json.decode(await request.body(), type=MinionFaults)
        return Response()

    async def show_runs(self, request: Request) -> Response:
        """Return the recorded runs."""
        return Response(msgspec.json.encode(self.runs))

    async def _work(self, run: Run) -> Response:
        if self.faults.fail_everything:
            return Response(status_code=FAILED)
        if self.faults.latency_seconds:
            await asyncio.sleep(self.faults.latency_seconds)
        if self.faults.hang:
            await asyncio.sleep(HANG_SECONDS)
        answer = msgspec.json.encode(MinionAnswer(self.name, run.attempt, run.body))
        headers = {}
        if self.faults.cut_body:
            headers["Content-Length"] = str(len(answer) + 1)
        if self.faults.leaving:
            headers[LEAVING_HEADER] = "1"
        return Response(answer, headers=headers, media_type="application/json")

    def _declined(self) -> Response:
        headers = {NOT_RUN_HEADER: "1"}
        if self.faults.leaving:
            headers[LEAVING_HEADER] = "1"
        return Response(status_code=DECLINED, headers=headers)
