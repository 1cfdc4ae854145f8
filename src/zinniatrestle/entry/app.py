"""The HTTP application of an entry host."""

from dataclasses import replace

import uvicorn
from starlette.applications import Starlette
from starlette.requests import Request as HttpRequest
from starlette.responses import Response
from starlette.routing import Route

from zinniatrestle.entry.host import EntryHost
from zinniatrestle.errors import ResultCode
from zinniatrestle.gangs.routes import JobRoutes
from zinniatrestle.ingress import (
    Cause,
    ClientListener,
    ConnectionLimits,
    HttpProtocol,
    IngressCounters,
    LimitedServer,
    Listener,
    Resources,
    client_limits,
    descriptor_limit,
)
from zinniatrestle.ingress.interfaces import LimitLog
from zinniatrestle.logs import ComponentLog
from zinniatrestle.operators.routes import OperatorRoutes
from zinniatrestle.requests.routes import RequestRoutes
from zinniatrestle.settings import HostSettings
from zinniatrestle.web import (
    json_response,
    problem_response,
)

NOT_FOUND = 404
METHOD_NOT_ALLOWED = 405

log = ComponentLog("http")


class LimitLines(LimitLog):
    """Log lines of connections that reached a limit."""

    def write(self, cause: Cause, count: int):
        """Write that `count` connections reached limits, most of them for `cause`."""
        log.warning("connection_limit: cause=%s count=%d", cause.value, count)


def build_app(host: EntryHost) -> Starlette:
    """Return the application with all routes of a host."""
    settings = host.settings
    routes = [
        Route("/healthz", _healthz, methods=["GET"]),
        Route("/readyz", _readiness(host), methods=["GET"]),
    ]
    routes.extend(RequestRoutes(host.handler, host.follower, settings).routes())
    routes.extend(JobRoutes(host.jobs, host.follower, settings).routes())
    routes.extend(OperatorRoutes(host).routes())
    handlers = {NOT_FOUND: _not_found, METHOD_NOT_ALLOWED: _not_found}
    return Starlette(routes=routes, exception_handlers=handlers)


def build_server(host: EntryHost) -> LimitedServer:
    """Return the HTTP server of a host."""
    settings = host.settings
    config = uvicorn.Config(
        build_app(host),
        host=settings.address,
        port=settings.port,
        http=HttpProtocol,
        log_config=None,
        access_log=False,
        lifespan="off",
        server_header=False,
        timeout_graceful_shutdown=int(settings.drain_seconds) + 1,
    )
    host.listener = ClientListener(
        _connection_limits(settings), Listener.CALLERS, IngressCounters(LimitLines())
    )
    return LimitedServer(config, host.listener)


def _connection_limits(settings: HostSettings) -> ConnectionLimits:
    limits = client_limits(settings.ingress_settings(), Resources(), descriptor_limit())
    return replace(limits, max_body=settings.largest_body)


async def _healthz(http: HttpRequest) -> Response:
    return json_response({"state": "healthy"})


def _readiness(host: EntryHost):
    async def readiness(http: HttpRequest) -> Response:
        if host.ready:
            return json_response({"state": host.state.value})
        return problem_response(ResultCode.STOPPING, f"The host is {host.state.value}.")

    return readiness


async def _not_found(http: HttpRequest, error: Exception) -> Response:
    return problem_response(
        ResultCode.NO_SUCH_THING,
        "There is no such path, or it does not support this method.",
    )
