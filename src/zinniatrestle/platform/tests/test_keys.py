"""Keys of calls: each queue refuses unknown ones, also one that needs no key."""

import msgspec
import pytest
from common.raw_http import RawAnswer, exchange, raw_call

from zinniatrestle.ids import RowName
from zinniatrestle.jobs.messages import PROGRESS, JobState, decode_progress
from zinniatrestle.platform.operator import PlatformOperatorRows
from zinniatrestle.platform.tests.test_job_api import Callers, run_with_callers

HOST = "queue.example"
JOB_PATH = "00000000000000aa"
JOB = msgspec.json.encode({"steps": [{}]})
CALLS = [("POST", JOB_PATH), ("GET", JOB_PATH), ("GET", ""), ("DELETE", JOB_PATH)]
REFUSED = 401
NO_SUCH_JOB = 410


def install(callers: Callers, version: int, keys: list[str]):
    """Install a version with a queue that needs a key and one that needs none."""
    routes = []
    for name, is_anonymous in (("open", True), ("closed", False)):
        route = {"name": name, "host": HOST, "pathPrefix": f"/{name}/", "service": "s"}
        routes.append({**route, "allowAnonymous": is_anonymous})
    tenants = [
        {"name": "t", "apiKeys": ["k1", *keys]},
        {"name": "other", "apiKeys": ["k2"]},
    ]
    config = {"version": version, "routes": routes, "tenants": tenants}
    rows = PlatformOperatorRows()
    decoded = rows.decode(RowName("config"), msgspec.json.encode(config))
    assert callers.frontend.operator.install(decoded)


async def call(
    callers: Callers, method: str, path: str, keys: str | list[str] | None
) -> RawAnswer:
    headers = {"Host": HOST}
    if keys is not None:
        headers["Api-Key"] = keys
    body = JOB if method == "POST" else b""
    return await exchange(callers.address, raw_call(method, path, headers, body))


# Guards against calls with a revoked key that run where none is needed (CONFIG, ROUTE).
@pytest.mark.parametrize("queue", ["open", "closed"])
@pytest.mark.parametrize(
    "keys",
    ["revoked", "never held", "K1", "k1, k2", ["k1", "k2"], ["k1", "k1"], ["", "k1"]],
)
def test_calls_with_an_unknown_key_are_refused_on_each_queue(queue, keys):
    async def check(callers):
        install(callers, 2, ["revoked"])
        install(callers, 3, [])
        for method, path in CALLS:
            answer = await call(callers, method, f"/{queue}/{path}", keys)
            assert (method, answer.status) == (method, REFUSED)
        assert callers.is_empty()

    run_with_callers(check)


@pytest.mark.parametrize(
    "keys, accepting",
    [
        (None, {"open"}),
        ("", {"open"}),
        ("  ", {"open"}),
        ("k1", {"open", "closed"}),
        (" k1\t ", {"open", "closed"}),
        ("k2", {"open", "closed"}),
    ],
)
def test_a_queue_that_needs_no_key_accepts_known_ones_and_none(keys, accepting):
    async def check(callers):
        install(callers, 2, [])
        for queue in ("open", "closed"):
            answer = await call(callers, "POST", f"/{queue}/{JOB_PATH}", keys)
            assert answer.status == (200 if queue in accepting else REFUSED)

    run_with_callers(check)


def test_a_key_that_is_given_back_is_accepted_again():
    async def check(callers):
        statuses = []
        for version, keys in ((2, ["k3"]), (3, []), (4, ["k3"])):
            install(callers, version, keys)
            answer = await call(callers, "POST", f"/open/{JOB_PATH}", "k3")
            statuses.append(answer.status)
        assert statuses == [200, REFUSED, 200]

    run_with_callers(check)


# Guards against callers who learn of, or cancel, the jobs of other client accounts.
@pytest.mark.parametrize(
    "submitted, asked, is_permitted",
    [
        (("closed", "k1"), ("closed", "k1"), True),
        (("closed", "k1"), ("closed", "k3"), True),
        (("closed", "k1"), ("open", "k1"), True),
        (("closed", "k1"), ("closed", "k2"), False),
        (("closed", "k1"), ("open", "k2"), False),
        (("closed", "k1"), ("open", None), False),
        (("open", "k1"), ("open", "k1"), True),
        (("open", "k1"), ("open", "k2"), True),
        (("open", "k1"), ("open", None), True),
        (("open", "k1"), ("closed", "k2"), False),
        (("open", None), ("open", None), True),
        (("open", None), ("open", "k2"), True),
        (("open", None), ("closed", "k2"), True),
    ],
)
def test_a_job_is_shown_and_cancelled_for_its_account_only(
    submitted, asked, is_permitted
):
    async def check(callers):
        install(callers, 2, ["k3"])
        queue, key = submitted
        answer = await call(callers, "POST", f"/{queue}/{JOB_PATH}", key)
        assert answer.status == 200
        queue, key = asked
        expected = 200 if is_permitted else NO_SUCH_JOB
        for method in ("GET", "DELETE"):
            answer = await call(callers, method, f"/{queue}/{JOB_PATH}", key)
            assert (method, answer.status) == (method, expected)
        progress = callers.rows.row(PROGRESS, RowName(JOB_PATH))
        is_cancelled = decode_progress(progress.value).state is JobState.CANCELLED
        assert is_cancelled == is_permitted

    run_with_callers(check)
