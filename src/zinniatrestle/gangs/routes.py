"""HTTP routes of the job API."""

from starlette.requests import Request as HttpRequest
from starlette.responses import Response
from starlette.routing import Route

from zinniatrestle.configuration import ConfigurationFollower
from zinniatrestle.gangs.jobs import JobService
from zinniatrestle.gangs.messages import JobSpec
from zinniatrestle.ids import JobId
from zinniatrestle.requests.routes import authenticate, request_key
from zinniatrestle.settings import HostSettings
from zinniatrestle.web import (
    decode_body,
    json_response,
    read_body,
    with_error_responses,
)

ACCEPTED = 202


class JobRoutes:
    """Decode HTTP requests on jobs and encode the responses."""

    def __init__(
        self,
        job_service: JobService,
        follower: ConfigurationFollower,
        settings: HostSettings,
    ):
        self.job_service = job_service
        self.follower = follower
        self.settings = settings

    def routes(self) -> list[Route]:
        """Return the routes."""
        return [
            Route("/v1/jobs", with_error_responses(self.submit), methods=["POST"]),
            Route("/v1/jobs", with_error_responses(self.list), methods=["GET"]),
            Route("/v1/jobs/{job}", with_error_responses(self.show), methods=["GET"]),
            Route(
                "/v1/jobs/{job}", with_error_responses(self.cancel), methods=["DELETE"]
            ),
        ]

    async def submit(self, http: HttpRequest) -> Response:
        """Accept a job."""
        account = authenticate(http, self.follower)
        body = await read_body(http, self.settings.largest_body)
        spec = decode_body(body, JobSpec)
        row = await self.job_service.submit(account, spec, request_key(http))
        return json_response(row, ACCEPTED)

    async def list(self, http: HttpRequest) -> Response:
        """List an account's jobs."""
        account = authenticate(http, self.follower)
        return json_response(await self.job_service.jobs(account))

    async def show(self, http: HttpRequest) -> Response:
        """Show one job."""
        account = authenticate(http, self.follower)
        return json_response(await self.job_service.status(account, _job(http)))

    async def cancel(self, http: HttpRequest) -> Response:
        """Cancel one job."""
        account = authenticate(http, self.follower)
        return json_response(
            await self.job_service.cancel(account, _job(http)), ACCEPTED
        )


def _job(http: HttpRequest) -> JobId:
    return JobId(http.path_params["job"])
