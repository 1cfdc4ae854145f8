"""HTTP interface for callers: jobs under the paths of their queues, and readiness."""

import asyncio
import math
from collections.abc import Awaitable, Callable

import msgspec
from starlette.applications import Starlette
from starlette.exceptions import HTTPException
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from zinniatrestle.clock import monotonic
from zinniatrestle.decoding import Capacity, Counter, Duration, Name, decode_json
from zinniatrestle.errors import (
    CallerError,
    NotFoundError,
    ResultCode,
    UnknownOutcomeError,
    ZinniatrestleError,
)
from zinniatrestle.events import Event, EventLog
from zinniatrestle.ids import ApiKey, JobId, RackId
from zinniatrestle.jobs.intake import JobRequest, check_task_count
from zinniatrestle.jobs.messages import Step
from zinniatrestle.serving import Frontend, RetryLaterError
from zinniatrestle.supervision import Supervisor
from zinniatrestle.web import (
    CODE_HEADER,
    CUT_SHORT,
    DEFAULT_ERROR_STATUS,
    HTTP_STATUS,
    UNEXPECTED_ERROR,
    answer_in_spite_of_cancellation,
    read_body,
)

DEADLINE_HEADER = "Zinniatrestle-Deadline-Ms"
KEY_HEADER = "Api-Key"
# Deadline of a request that does not state one.
DEFAULT_DEADLINE_SECONDS = 3.0
# Part of a caller's deadline that is reserved for sending the response.
RESPONSE_MARGIN_SECONDS = 0.1
JOB_ID_DIGITS = 16
MS_PER_SECOND = 1000.0
# Limit of a body if the desired state sets none.
DEFAULT_MAX_BODY_BYTES = 262_144

Handler = Callable[[Request], Awaitable[Response]]


class WireStep(msgspec.Struct, frozen=True):
    """A step of a job; all fields but `count` default to 0, false or empty."""

    count: Counter = 1
    cpu: Capacity = 0
    memMb: Capacity = 0
    gpus: Capacity = 0
    # The caller's estimate, often far from the actual duration.
    estimatedMs: Duration = 0
    after: list[Counter] = []
    checkpointing: bool = False
    gang: bool = False
    # The step runs slower if its tasks are spread over several racks.
    rackSensitive: bool = False
    # A label that the worker must have.
    requirements: Name = ""
    # The rack that holds the step's data.
    affinity: Name = ""
    # Maximum number of the step's tasks at one worker; 0 means no limit.
    antiAffinity: Counter = 0
    allowDuplicates: bool = False
    longRunning: bool = False
    image: Name = ""
    # Limit for the tail latency of a serving task.
    targetMs: Duration = 0
    fills: bool = False
    mayMiss: Counter = 0


class WireJob(msgspec.Struct, frozen=True):
    """A job; with `maxRuns` above 0 a timed job, whose `startAtMs` is since 1970."""

    spec: str = ""
    steps: list[WireStep] = []
    maxRuns: Counter = 0
    startAtMs: Duration = 0
    intervalMs: Duration = 0


class WireOutline(msgspec.Struct, frozen=True):
    """A job whose steps are found but not decoded."""

    steps: list[msgspec.Raw] = []


class WireState(msgspec.Struct, frozen=True):
    """State of a job."""

    state: str


class WirePending(msgspec.Struct, frozen=True):
    """Number of accepted jobs of a queue that have not begun."""

    pendingJobs: int


def decode_job_request(body: bytes) -> JobRequest:
    """Decode the body of a submission; raises CallerError."""
    # Steps of a few bytes become objects that weigh a hundred times as much.
    check_task_count(len(decode_json(body, WireOutline, "The job").steps))
    job = decode_json(body, WireJob, "The job")
    steps = tuple(_decode_step(step) for step in job.steps)
    return JobRequest(
        job.spec, steps, job.maxRuns, int(job.startAtMs), int(job.intervalMs)
    )


def _decode_step(wire: WireStep) -> Step:
    return Step(
        count=wire.count,
        cpu=wire.cpu,
        memory_mb=wire.memMb,
        gpus=wire.gpus,
        estimated_ms=int(wire.estimatedMs),
        after=tuple(wire.after),
        checkpointing=wire.checkpointing,
        gang=wire.gang,
        rack_bound=wire.rackSensitive,
        label=wire.requirements,
        data_rack=RackId(wire.affinity),
        max_per_worker=wire.antiAffinity,
        allow_duplicates=wire.allowDuplicates,
        long_running=wire.longRunning,
        image=wire.image,
        target_ms=int(wire.targetMs),
        best_effort=wire.fills,
        max_unavailable=wire.mayMiss,
    )


class JobApi:
    """Decode callers' requests and pass them to the front end."""

    def __init__(self, frontend: Frontend):
        self.frontend = frontend

    def app(self) -> Starlette:
        """Return the ASGI application that serves callers."""
        handler = _with_error_responses(self.handle, self.frontend.events)
        route = Route("/{path:path}", handler, methods=["GET", "POST", "DELETE"])
        handlers = {HTTPException: _answer_unrouted}
        return Starlette(routes=[route], exception_handlers=handlers)

    async def handle(self, request: Request) -> Response:
        """Handle a request about a queue or a job."""
        give_up_at = monotonic() + _remaining_seconds(request)
        path = request.scope["path"]
        host = request.headers.get("host", "").partition(":")[0]
        admission = self.frontend.admit(host, path, _api_key(request))
        job_path = path[len(admission.queue.path) :]
        if request.method == "GET" and not job_path:
            pending = await self.frontend.pending(admission.queue)
            return _json_response(WirePending(pending))
        job = _job_id(job_path)
        if request.method == "POST":
            max_bytes = self.frontend.largest_body or DEFAULT_MAX_BODY_BYTES
            # The body isn't kept while the job is stored.
            job_request = decode_job_request(await read_body(request, max_bytes))
            await self.frontend.accept(admission, job, job_request, give_up_at)
            return _json_response({})
        if request.method == "DELETE":
            await self.frontend.cancel(admission, job, give_up_at)
            return _json_response({})
        state = await self.frontend.show(admission, job)
        return _json_response(WireState(state.value))


class ReadinessApi:
    """Readiness probe of the platform."""

    def __init__(self, frontend: Frontend):
        self.frontend = frontend

    def app(self) -> Starlette:
        """Return the ASGI application that serves the probe."""
        return Starlette(routes=[Route("/-/ready", self.handle, methods=["GET"])])

    async def handle(self, request: Request) -> Response:
        """Answer 200 if this host takes callers, else 503."""
        return Response(status_code=200 if self.frontend.ready() else 503)


def _api_key(request: Request) -> ApiKey | None:
    """Return the key of a call; several make one that is unknown."""
    keys = [text.strip() for text in request.headers.getlist(KEY_HEADER)]
    key = ", ".join(keys)
    return ApiKey(key) if key else None


def _job_id(text: str) -> JobId:
    digits = set("0123456789abcdefABCDEF")
    if len(text) != JOB_ID_DIGITS or not set(text) <= digits:
        raise CallerError(
            f"A job id consists of {JOB_ID_DIGITS} hexadecimal digits.",
            ResultCode.NO_SUCH_THING,
        )
    return JobId(text)


def _remaining_seconds(request: Request) -> float:
    text = request.headers.get(DEADLINE_HEADER, "")
    try:
        seconds = float(text) / MS_PER_SECOND if text else DEFAULT_DEADLINE_SECONDS
    except ValueError:
        seconds = math.nan
    if not math.isfinite(seconds):
        raise CallerError(f"{DEADLINE_HEADER} must be a number of milliseconds.")
    return max(0.0, seconds - RESPONSE_MARGIN_SECONDS)


def _with_error_responses(handler: Handler, events: EventLog) -> Handler:
    supervisor = Supervisor(events)

    async def handle(request: Request) -> Response:
        try:
            return await handler(request)
        except ZinniatrestleError as error:
            return _error_response(error)
        except asyncio.CancelledError:
            events.write_deduplicated(Event.REQUEST_REFUSED, "cut short by shutdown")
            answer_in_spite_of_cancellation()
            return _error_response(UnknownOutcomeError(CUT_SHORT))
        except Exception as error:
            supervisor.log_failure("call", error, method=request.method)
            return _error_response(UnknownOutcomeError(UNEXPECTED_ERROR))

    return handle


async def _answer_unrouted(request: Request, error: Exception) -> Response:
    """Answer a call whose method or path has no meaning here."""
    response = _error_response(NotFoundError("There is no such call."))
    response.status_code = error.status_code
    response.headers.update(error.headers or {})
    return response


def _error_response(error: ZinniatrestleError) -> Response:
    status = HTTP_STATUS.get(error.code, DEFAULT_ERROR_STATUS)
    headers = {CODE_HEADER: str(int(error.code))}
    if isinstance(error, RetryLaterError):
        headers["Retry-After"] = str(error.seconds)
    body = {"error": error.detail, "code": int(error.code)}
    return Response(msgspec.json.encode(body), status, headers, "application/json")


def _json_response(body: object) -> Response:
    return Response(msgspec.json.encode(body), 200, media_type="application/json")
