"""Whom a host admits, and what it tells callers when it can't serve them."""

import asyncio

import pytest

from zinniatrestle.clock import boot_time, monotonic
from zinniatrestle.errors import (
    AuthenticationError,
    NotFoundError,
    ResultCode,
    UnknownOutcomeError,
)
from zinniatrestle.ids import ApiKey, JobId
from zinniatrestle.jobs import JobState
from zinniatrestle.jobs.intake import MAX_STORE_SECONDS, STORE_TIME_SHARE, JobRequest
from zinniatrestle.scheduling.messages import LeaseRecord
from zinniatrestle.serving import RetryLaterError
from zinniatrestle.serving.frontend import COUNTS_AGE_SECONDS, FRESH_SHARE
from zinniatrestle.standins.model import Model, run_virtual, step
from zinniatrestle.standins.rows import Reachability

JOB = JobId("00000000000000aa")
PLAN = JobRequest("{}", (step(),))
KEY = ApiKey("key-first")
CALLER_SECONDS = 3.0


def with_host(check):
    async def run():
        model = Model(1, hosts=2)
        await model.start(workers=2)
        await check(model, model.hosts[0])

    run_virtual(run())


def admit(host, path="/usual/x", key=KEY):
    return host.frontend.admit("queues.example", path, key)


def accept(host, job=JOB, job_request=PLAN):
    return host.frontend.accept(
        admit(host), job, job_request, monotonic() + CALLER_SECONDS
    )


def test_the_longest_path_decides_the_queue():
    async def check(model, host):
        assert admit(host).queue.name == "usual"
        with pytest.raises(NotFoundError):
            admit(host, "/elsewhere/x")

    with_host(check)


@pytest.mark.parametrize("key", [None, "unknown"])
def test_a_caller_without_a_known_key_is_turned_away(key):
    async def check(model, host):
        with pytest.raises(AuthenticationError):
            admit(host, key=key)

    with_host(check)


def test_a_key_is_not_judged_by_an_old_desired_state():
    async def check(model, host):
        host.store.reachability = Reachability.SILENT
        await asyncio.sleep(model.bounds.revocation * FRESH_SHARE + 1.0)
        with pytest.raises(RetryLaterError) as caught:
            admit(host)
        assert caught.value.code is ResultCode.ACCOUNT_UNCONFIRMED
        assert caught.value.seconds >= 1
        assert not host.frontend.ready()
        host.store.reachability = Reachability.SERVED
        await asyncio.sleep(2.5)
        assert admit(host)
        assert host.frontend.ready()

    with_host(check)


def test_a_taken_key_is_refused_within_its_bound_even_by_a_host_that_is_cut_off():
    async def check(model, host):
        host.store.reachability = Reachability.SILENT
        model.operator.accounts = ()
        model.operator.write()
        await asyncio.sleep(model.bounds.revocation)
        with pytest.raises((RetryLaterError, AuthenticationError)):
            admit(host)

    with_host(check)


def test_a_job_is_accepted_once_however_often_it_is_handed_in():
    async def check(model, host):
        await accept(host)
        version = model.rows.version
        await accept(host)
        await accept(model.hosts[1])
        assert model.rows.row("progress", JOB) is not None
        await asyncio.sleep(10.0)
        assert await host.frontend.show(JOB) is JobState.COMPLETED
        await accept(host)
        assert await host.frontend.show(JOB) is JobState.COMPLETED
        assert version > 0

    with_host(check)


@pytest.mark.parametrize("reach", [Reachability.REFUSED, Reachability.SILENT])
def test_a_host_without_the_store_answers_early_that_a_job_was_not_taken(reach):
    async def check(model, host):
        admission = admit(host)
        host.store.reachability = reach
        asked_at = monotonic()
        with pytest.raises(RetryLaterError):
            await host.frontend.accept(admission, JOB, PLAN, asked_at + CALLER_SECONDS)
        assert monotonic() - asked_at <= CALLER_SECONDS * STORE_TIME_SHARE + 0.1
        host.store.reachability = Reachability.SERVED
        await asyncio.sleep(10.0)
        assert model.state(JOB) is None

    with_host(check)


@pytest.mark.parametrize("seconds", [3.0, 20.0, 600.0])
def test_a_silent_store_holds_a_caller_no_longer_than_a_stop_allows(seconds):
    async def check(model, host):
        admission = admit(host)
        host.store.lost = 1.0
        asked_at = monotonic()
        with pytest.raises(UnknownOutcomeError):
            await host.frontend.accept(admission, JOB, PLAN, asked_at + seconds)
        assert monotonic() - asked_at <= MAX_STORE_SECONDS + 0.1

    with_host(check)


def test_a_host_that_knows_it_is_cut_off_refuses_at_once():
    async def check(model, host):
        admission = admit(host)
        host.store.reachability = Reachability.REFUSED
        await asyncio.sleep(1.0)
        asked_at = monotonic()
        with pytest.raises(RetryLaterError):
            await host.frontend.accept(admission, JOB, PLAN, asked_at + CALLER_SECONDS)
        assert monotonic() == asked_at
        assert not host.frontend.ready()

    with_host(check)


def test_a_lost_answer_is_never_told_as_not_run():
    async def check(model, host):
        host.store.lost = 1.0
        with pytest.raises(UnknownOutcomeError):
            await accept(host)
        assert model.state(JOB) is not None

    with_host(check)


def test_a_job_that_nobody_handed_in_is_not_known():
    async def check(model, host):
        with pytest.raises(NotFoundError) as caught:
            await host.frontend.show(JOB)
        assert caught.value.code is ResultCode.NO_SUCH_JOB
        with pytest.raises(NotFoundError):
            await host.frontend.cancel(JOB, monotonic() + CALLER_SECONDS)

    with_host(check)


def test_a_cancelled_job_starts_nothing_more():
    async def check(model, host):
        await accept(host, job_request=JobRequest('{"seconds":30}', (step(4),)))
        await asyncio.sleep(1.0)
        await host.frontend.cancel(JOB, monotonic() + CALLER_SECONDS)
        assert await host.frontend.show(JOB) is JobState.CANCELLED
        await asyncio.sleep(2.0)
        assert not any(found.running for found in model.fleet.workers.values())
        await host.frontend.cancel(JOB, monotonic() + CALLER_SECONDS)

    with_host(check)


def test_pending_counts_are_not_told_once_they_are_old():
    async def check(model, host):
        queue = admit(host).queue
        follower = next(found for found in model.hosts if found is not model.leader())
        assert follower.frontend.pending(queue) == 0
        now = follower.store.clock.latest(boot_time())
        old = now - COUNTS_AGE_SECONDS * 1000 - 1
        follower.leadership.record = LeaseRecord("h", "h", 0.0, 1, old, {})
        with pytest.raises(RetryLaterError):
            follower.frontend.pending(queue)

    with_host(check)


@pytest.mark.parametrize(
    "job_request",
    [
        JobRequest("", ()),
        JobRequest("x" * 4001, (step(),)),
        JobRequest("", (step(2000),)),
        JobRequest("", (step(0),)),
        JobRequest("", (step(), step(after=(1,)))),
    ],
)
def test_a_plan_that_can_not_run_is_refused_before_it_is_kept(job_request):
    async def check(model, host):
        with pytest.raises(Exception) as caught:
            await accept(host, job_request=job_request)
        assert caught.value.code in (ResultCode.BAD_INPUT, ResultCode.TOO_LARGE)
        assert model.state(JOB) is None

    with_host(check)
