"""An HTTP server for the workers of one failure domain."""

from typing import Any

import msgspec
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from zinniatrestle.clock import SystemClock
from zinniatrestle.errors import ResultCode, WorkerError
from zinniatrestle.ids import WorkerId
from zinniatrestle.standins.faults import FaultyWorkers
from zinniatrestle.standins.messages import WorkerFaults, WorkerStart
from zinniatrestle.standins.platform import RESPONSE_HEAD_BYTES, request_head_bytes
from zinniatrestle.store.embedded import EmbeddedWorkers
from zinniatrestle.store.http import StopAnswer, WorkerAnswer
from zinniatrestle.store.messages import ListedHost, Renew, Reserve, Start, Stop


class WorkersServer:
    """Serve embedded workers over HTTP, with injected faults.

    `bytes` is the size of all commands and their answers, heads included.
    """

    def __init__(self, listed: list[ListedHost]):
        self.embedded = EmbeddedWorkers(listed, SystemClock())
        self.faulty = FaultyWorkers(self.embedded)
        self.bytes = 0

    def app(self) -> Starlette:
        """Return the ASGI application."""
        routes = [
            Route("/workers/{worker}/{verb}", self.command, methods=["POST"]),
            Route("/control/faults/{worker}", self.set_faults, methods=["POST"]),
            Route("/control/starts", self.starts, methods=["GET"]),
            Route("/control/leases", self.leases, methods=["GET"]),
            Route("/control/bytes", self.count_bytes, methods=["GET"]),
        ]
        return Starlette(routes=routes)

    async def command(self, request: Request) -> Response:
        """Execute one command."""
        worker = WorkerId(request.path_params["worker"])
        body = await request.body()
        try:
            result = await self._execute(worker, request.path_params["verb"], body)
            answer = WorkerAnswer(body=msgspec.msgpack.encode(result))
        except WorkerError as error:
            answer = WorkerAnswer(int(error.code), error.detail)
        encoded = msgspec.msgpack.encode(answer)
        self.bytes += request_head_bytes(request) + len(body)
        self.bytes += RESPONSE_HEAD_BYTES + len(encoded)
        return Response(encoded)

    async def count_bytes(self, request: Request) -> Response:
        """Return the bytes of all commands and their answers."""
        return Response(msgspec.json.encode(self.bytes))

    async def set_faults(self, request: Request) -> Response:
        """Replace the injected faults of one worker."""
        worker = WorkerId(request.path_params["worker"])
        faults = msgspec.json.decode(await request.body(), type=WorkerFaults)
        self.faulty.faults[worker] = faults
        self.embedded.state(worker).fails_everything = faults.fails_everything
        return Response()

    async def starts(self, request: Request) -> Response:
        """Return all starts."""
        found = []
        for worker, state in self.embedded.states.items():
            for wall, job, attempt in state.starts:
                found.append(WorkerStart(worker, wall, job, attempt))
        return Response(msgspec.json.encode(found))

    async def leases(self, request: Request) -> Response:
        """Return the reports of all workers, with the leases held."""
        reports = [state.report() for state in self.embedded.states.values()]
        return Response(msgspec.json.encode(reports))

    async def _execute(self, worker: WorkerId, verb: str, body: bytes) -> Any:
        decode = msgspec.msgpack.decode
        match verb:
            case "reserve":
                return await self.faulty.reserve(worker, decode(body, type=Reserve))
            case "start":
                return await self.faulty.start(worker, decode(body, type=Start))
            case "renew":
                return await self.faulty.renew(worker, decode(body, type=Renew))
            case "stop":
                stopped = await self.faulty.stop(worker, decode(body, type=Stop))
                return StopAnswer(stopped)
            case "report":
                return await self.faulty.report(worker)
            case _:
                raise WorkerError("Unknown worker command.", ResultCode.BAD_INPUT)
