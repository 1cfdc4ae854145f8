"""The callers' interface: bad calls get a numbered error, and store nothing."""

import asyncio
import socket

import msgspec
import pytest
import uvicorn
from common.events import EventList
from common.odd_input import (
    BEYOND_64_BITS,
    UNREADABLE,
    badly_encoded,
    damaged_texts,
    deterministic,
    with_nested_field,
)
from common.raw_http import RawAnswer, exchange, raw_call
from hypothesis import given

from zinniatrestle.clock import boot_time
from zinniatrestle.deployment import Addresses, Bounds, Deployment, Identity
from zinniatrestle.errors import CallerError
from zinniatrestle.ids import (
    ClientAccountId,
    FailureDomainId,
    HostId,
    JobId,
    QueueName,
    RegionId,
    RowName,
    ServiceName,
    StoreMilliseconds,
)
from zinniatrestle.ingress import HttpProtocol, LimitedServer
from zinniatrestle.ingress.limits import DEFAULT_MAX_HEAD_BYTES
from zinniatrestle.jobs import JobIntake
from zinniatrestle.jobs.messages import (
    PROGRESS,
    Submission,
    decode_submission,
    encode_submission,
)
from zinniatrestle.metrics import Metrics
from zinniatrestle.platform.job_api import JobApi, decode_job_request
from zinniatrestle.platform.operator import PlatformOperatorRows
from zinniatrestle.queues import OperatorState
from zinniatrestle.scheduling.leadership import Leadership
from zinniatrestle.serving import Frontend
from zinniatrestle.standins.rows import HostRows, MemoryRows
from zinniatrestle.standins.wire import serve_app

HOST = "queue.example"
PATH = "/q/00000000000000aa"
CALLER = {"Host": HOST, "Api-Key": "key"}
CONFIG = {
    "version": 1,
    "routes": [{"name": "r", "host": HOST, "pathPrefix": "/q/", "service": "s"}],
    "tenants": [{"name": "t", "apiKeys": ["key"]}],
}
STEP = {
    "count": 2,
    "cpu": 500,
    "memMb": 256,
    "gpus": 1,
    "estimatedMs": 900,
    "affinity": "r1-3",
    "requirements": "a",
    "antiAffinity": 1,
    "image": "i",
    "targetMs": 5,
    "mayMiss": 1,
}
LATER_STEP = {"count": 1, "after": [0], "checkpointing": True}
JOB = {
    "spec": "text",
    "steps": [STEP, LATER_STEP],
    "maxRuns": 2,
    "startAtMs": 1_800_000_000_000,
    "intervalMs": 500,
}


def changed(**changes) -> bytes:
    return msgspec.json.encode({**JOB, **changes})


def with_step(**changes) -> bytes:
    return changed(steps=[{**STEP, **changes}])


BAD_BODIES = {
    **UNREADABLE,
    **badly_encoded("spec"),
    "a nested unknown field": with_nested_field(JOB),
    "nested just beyond the decoder": with_nested_field(JOB, 4500),
    "a nested step": changed()[:-1] + b',"steps":[' + with_nested_field(STEP) + b"]}",
    "no steps": changed(steps=[]),
    "steps of another type": changed(steps={"count": 1}),
    "a spec of another type": changed(spec=7),
    "a nested spec": changed(spec=[[["text"]]]),
    "a count of another type": with_step(count="x"),
    "an earlier step that comes later": with_step(after=[1]),
    "an earlier step beyond 64 bits": with_step(after=[BEYOND_64_BITS]),
    "an earlier step before the first": with_step(after=[-1]),
    "negative occurrences": changed(maxRuns=-1),
    "occurrences beyond 64 bits": changed(maxRuns=BEYOND_64_BITS),
    "a negative time": changed(startAtMs=-1),
    "an absurd time": changed(startAtMs=1e300),
    "a time beyond all floats": changed()[:-1] + b',"startAtMs":1e999}',
    "a negative interval": changed(intervalMs=-1),
    "a flag of another type": with_step(gang="yes"),
    "a label of another type": with_step(requirements=["a"]),
    "a long label": with_step(requirements="a" * 5000),
}
for field in (
    "count",
    "cpu",
    "memMb",
    "gpus",
    "estimatedMs",
    "antiAffinity",
    "targetMs",
    "mayMiss",
):
    for value in (-1, BEYOND_64_BITS, -BEYOND_64_BITS, 1e300, "8", [], True):
        BAD_BODIES[f"{field}: {value}"] = with_step(**{field: value})


class Callers:
    """The interface for callers on an in-memory store."""

    def __init__(self, address: str, rows: MemoryRows, frontend: Frontend):
        self.address = address
        self.rows = rows
        self.frontend = frontend

    async def call(self, method="POST", path=PATH, headers=None, body=b"") -> RawAnswer:
        headers = {**CALLER, **(headers or {})}
        return await exchange(self.address, raw_call(method, path, headers, body))

    def is_empty(self) -> bool:
        return not any(self.rows.tables.values())

    def failures(self) -> list[dict]:
        lines = self.frontend.events.lines
        return [line for line in lines if line["event"] == "task_failed"]


def run_with_callers(check):
    async def run():
        rows, events, operator = MemoryRows(), EventList(), OperatorState()
        config = msgspec.json.encode(CONFIG)
        operator.install(PlatformOperatorRows().decode(RowName("config"), config))
        operator.confirm(boot_time() + 60)
        identity = Identity(
            HostId("h"), "127.0.0.1", FailureDomainId("a"), RegionId("r")
        )
        deployment = Deployment(identity, Addresses("", "", ""))
        store = HostRows(rows)
        frontend = Frontend(
            Bounds(),
            operator,
            JobIntake(store, events, deployment),
            Leadership(store, deployment, events),
            Metrics(),
            events,
        )
        app = JobApi(frontend).app()
        async with serve_app(app, HttpProtocol) as address:
            await check(Callers(address, rows, frontend))

    asyncio.run(run())


# Guards against a 500 in plain text, and against stored jobs that end the scheduler.
def test_a_bad_body_is_refused_with_a_numbered_error_and_not_stored():
    async def check(callers):
        for name, body in BAD_BODIES.items():
            answer = await callers.call(body=body)
            assert (answer.status, answer.code) == (400, 100), name
            assert answer.headers["content-type"] == "application/json"
        assert callers.is_empty()
        assert callers.failures() == []
        assert (await callers.call(body=changed())).status == 200
        assert callers.rows.row(PROGRESS, RowName("00000000000000aa")) is not None

    run_with_callers(check)


def test_a_job_that_is_too_large_is_refused_and_not_stored():
    async def check(callers):
        for body in (
            changed(spec="x" * 4001),
            with_step(count=1001),
            changed(steps=[LATER_STEP | {"after": []}] * 1001),
            b" " * 300_000,
        ):
            answer = await callers.call(body=body)
            assert (answer.status, answer.code) == (413, 102)
        assert callers.is_empty()

    run_with_callers(check)


@deterministic
@given(damaged_texts(JOB))
def test_any_body_can_be_stored_or_is_refused(body):
    try:
        job_request = decode_job_request(body)
        job_request.check()
    except CallerError:
        return
    for step in job_request.steps:
        assert min(step.cpu, step.memory_mb, step.gpus) >= 0
        assert min(step.estimated_ms, step.target_ms, step.max_unavailable) >= 0
    assert min(job_request.occurrences, job_request.every_ms) >= 0
    submission = Submission(
        job=JobId("j"),
        queue=QueueName("q"),
        account=ClientAccountId("a"),
        service=ServiceName("s"),
        spec=job_request.spec,
        steps=job_request.steps,
        accepted_at=StoreMilliseconds(1),
        occurrences=job_request.occurrences,
        first_due_ms=job_request.first_due_ms,
        every_ms=job_request.every_ms,
    )
    assert decode_submission(encode_submission(submission)) == submission


LONG = "a" * (DEFAULT_MAX_HEAD_BYTES + 1)


@pytest.mark.parametrize(
    "method, path, headers, status, code",
    [
        ("POST", PATH, {"Zinniatrestle-Deadline-Ms": "soon"}, 400, 100),
        ("POST", PATH, {"Zinniatrestle-Deadline-Ms": "nan"}, 400, 100),
        ("POST", PATH, {"Zinniatrestle-Deadline-Ms": "1e999"}, 400, 100),
        ("POST", PATH, {"Zinniatrestle-Deadline-Ms": "-inf"}, 400, 100),
        ("POST", PATH, {"Api-Key": "\xff\xfe"}, 401, 101),
        ("POST", PATH, {"Api-Key": ""}, 401, 101),
        ("POST", PATH, {"Host": "["}, 404, 103),
        ("POST", PATH, {"Host": "\xff"}, 404, 103),
        ("POST", PATH, {"Host": ""}, 404, 103),
        ("POST", PATH, {"Host": "queue.example/q"}, 404, 103),
        ("POST", "/q/%ff%fe", {}, 404, 103),
        ("POST", "/q/%00", {}, 404, 103),
        ("POST", "/q/00000000000000a%3F", {}, 404, 103),
        ("POST", "/q/" + "a" * 4000, {}, 404, 103),
        ("POST", "/%F0%9F%92%A3", {}, 404, 103),
        ("POST", "http://[/q/", {}, 400, 100),
        ("POST", "/q/\xff\xfe", {}, 400, 100),
        ("PUT", PATH, {}, 405, 103),
        ("PATCH", PATH, {}, 405, 103),
        ("OPTIONS", "*", {}, 404, 103),
        ("NOTHING", PATH, {}, 400, 100),
        ("POST", "/q/" + LONG, {}, 413, 102),
        ("POST", PATH, {"Long": LONG}, 413, 102),
        ("POST", PATH, {f"H{number}": "v" for number in range(20_000)}, 413, 102),
        ("POST", PATH, {"Content-Length": "-1"}, 400, 100),
        ("POST", PATH, {"Content-Length": "9" * 40}, 400, 100),
        ("POST", PATH, {"Transfer-Encoding": "chunked, x"}, 400, 100),
    ],
)
def test_a_bad_call_is_refused_with_a_numbered_error(
    method, path, headers, status, code
):
    async def check(callers):
        answer = await callers.call(method, path, headers, changed())
        assert (answer.status, answer.code) == (status, code)
        assert callers.is_empty()
        assert callers.failures() == []

    run_with_callers(check)


@pytest.mark.parametrize("data", [b"\0\1\2\r\n\r\n", b"GET\r\n\r\n", b"\xff" * 100])
def test_bytes_that_are_no_call_are_refused_with_a_numbered_error(data):
    async def check(callers):
        answer = await exchange(callers.address, data)
        assert (answer.status, answer.code) == (400, 100)

    run_with_callers(check)


def test_a_body_may_be_longer_than_a_head():
    async def check(callers):
        body = changed() + b" " * (3 * DEFAULT_MAX_HEAD_BYTES)
        assert (await callers.call(body=body)).status == 200

    run_with_callers(check)


def test_a_call_that_breaks_off_stores_nothing_and_is_no_failure():
    async def check(callers):
        call = raw_call("POST", PATH, CALLER, changed())
        ip, _, port = callers.address.rpartition(":")
        _, writer = await asyncio.open_connection(ip, int(port))
        writer.write(call[:-5])
        await asyncio.sleep(0.1)
        writer.transport.abort()
        await asyncio.sleep(0.2)
        assert callers.is_empty()
        assert callers.failures() == []

    run_with_callers(check)


# Guards against a bare 500 from a host that is stopped while the store doesn't answer.
def test_a_call_that_outlasts_the_shutdown_may_have_taken_effect():
    async def check(callers):
        async def never_answer(*args):
            await asyncio.sleep(3600)

        callers.frontend.accept = never_answer
        listening = socket.create_server(("127.0.0.1", 0))
        port = listening.getsockname()[1]
        config = uvicorn.Config(
            JobApi(callers.frontend).app(),
            http=HttpProtocol,
            log_config=None,
            lifespan="off",
            timeout_graceful_shutdown=0,
        )
        server = LimitedServer(config)
        serving = asyncio.create_task(server.serve(sockets=[listening]))
        data = raw_call("POST", PATH, CALLER, changed())
        calling = asyncio.create_task(exchange(f"127.0.0.1:{port}", data))
        await asyncio.sleep(0.3)
        server.should_exit = True
        answer = await calling
        await serving
        assert (answer.status, answer.code) == (504, 201)

    run_with_callers(check)


def test_an_unexpected_error_may_have_taken_effect():
    async def check(callers):
        def fail(*args):
            raise RuntimeError("not expected")

        callers.frontend.admit = fail
        answer = await callers.call(body=changed())
        assert (answer.status, answer.code) == (504, 201)
        (line,) = callers.failures()
        assert "not expected" in line["reason"]

    run_with_callers(check)
