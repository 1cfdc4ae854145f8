"""HTTP routes of the operators' API."""

from starlette.requests import Request as HttpRequest
from starlette.responses import Response
from starlette.routing import Route

from zinniatrestle.entry.host import EntryHost
from zinniatrestle.ids import ClientAccountId
from zinniatrestle.operators.messages import ChangeAnswer, ChangeCall
from zinniatrestle.operators.views import (
    configuration_view,
    host_view,
    report_view,
    status_view,
)
from zinniatrestle.web import (
    Handler,
    decode_body,
    json_response,
    read_body,
    require_token,
    with_error_responses,
)

PREFIX = "/v1/operator"


class OperatorRoutes:
    """Routes that decode operators' calls and encode the answers."""

    def __init__(self, host: EntryHost):
        self.host = host

    def routes(self) -> list[Route]:
        """Return the routes."""
        return [
            self._route("/changes", self.change, "POST"),
            self._route("/configuration", self.configuration, "GET"),
            self._route("/status", self.status, "GET"),
            self._route("/host", self.show_host, "GET"),
            self._route("/proof/{account}", self.proof, "GET"),
            self._route("/report/burn", self.burn, "GET"),
        ]

    async def change(self, http: HttpRequest) -> Response:
        """Submit a configuration change."""
        body = await read_body(http, self.host.settings.largest_body)
        call = decode_body(body, ChangeCall)
        changes = self.host.changes
        revision = await changes.submit(call.change, call.token, call.expected)
        return json_response(ChangeAnswer(revision))

    async def configuration(self, http: HttpRequest) -> Response:
        """Return the configuration in force."""
        return json_response(configuration_view(self.host))

    async def status(self, http: HttpRequest) -> Response:
        """Return the revision in force on each host."""
        return json_response(status_view(self.host))

    async def show_host(self, http: HttpRequest) -> Response:
        """Return this host's minions, refusals and metrics."""
        return json_response(host_view(self.host, self.host.metrics()))

    async def proof(self, http: HttpRequest) -> Response:
        """Prove that a client account runs nowhere, or list what is still open."""
        account = ClientAccountId(http.path_params["account"])
        return json_response(await self.host.prover.prove(account))

    async def burn(self, http: HttpRequest) -> Response:
        """Return the error budget burn report."""
        return json_response(await report_view(self.host))

    def _route(self, path: str, handler: Handler, method: str) -> Route:
        async def authorized(http: HttpRequest) -> Response:
            require_token(http, self.host.settings.operator_token)
            return await handler(http)

        return Route(PREFIX + path, with_error_responses(authorized), methods=[method])
