"""Tests of admission and of the answers while a host can't serve callers."""

import asyncio

import msgspec
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
from zinniatrestle.scheduling.leadership import LEASE_ROW, LEASES
from zinniatrestle.scheduling.messages import LeaseRecord
from zinniatrestle.serving import RetryLaterError
from zinniatrestle.serving.frontend import FRESH_SHARE, MAX_COUNTS_AGE_SECONDS
from zinniatrestle.standins.model import Model, run_virtual, step
from zinniatrestle.standins.rows import Reachability

JOB = JobId("00000000000000aa")
JOB_REQUEST = JobRequest("{}", (step(),))
KEY = ApiKey("key-first")
CALLER_TIMEOUT_SECONDS = 3.0


def run_with_host(check):
    async def run():
        model = Model(1, hosts=2)
        await model.start(workers=2)
        await check(model, model.hosts[0])

    run_virtual(run())


def admit(host, path="/usual/x", key=KEY):
    return host.frontend.admit("queues.example", path, key)


def accept(host, job=JOB, job_request=JOB_REQUEST):
    return host.frontend.accept(
        admit(host), job, job_request, monotonic() + CALLER_TIMEOUT_SECONDS
    )


def cancel(host, job=JOB):
    return host.frontend.cancel(admit(host), job, monotonic() + CALLER_TIMEOUT_SECONDS)


def test_the_longest_matching_path_selects_the_queue():
    async def check(model, host):
        assert admit(host).queue.name == "usual"
        with pytest.raises(NotFoundError):
            admit(host, "/elsewhere/x")

    run_with_host(check)


@pytest.mark.parametrize("key", [None, "unknown"])
def test_a_caller_without_a_known_key_is_refused(key):
    async def check(model, host):
        with pytest.raises(AuthenticationError):
            admit(host, key=key)

    run_with_host(check)


def test_a_key_is_not_checked_against_an_old_desired_state():
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

    run_with_host(check)


def test_a_revoked_key_is_refused_within_its_bound_even_by_a_partitioned_host():
    async def check(model, host):
        host.store.reachability = Reachability.SILENT
        model.operator.accounts = ()
        model.operator.write()
        await asyncio.sleep(model.bounds.revocation)
        with pytest.raises((RetryLaterError, AuthenticationError)):
            admit(host)

    run_with_host(check)


# Guards against a copy that counts as recent since feeds did not tell of a change.
@pytest.mark.parametrize("cut_after", [0.2, 0.5, 0.8, 0.95])
def test_a_key_that_feeds_do_not_revoke_in_time_is_refused_within_its_bound(
    cut_after,
):
    async def check(model, host):
        compaction = asyncio.create_task(model.rows.compact())
        await asyncio.sleep(0.02)
        model.operator.accounts = ()
        model.operator.write()
        await asyncio.sleep(cut_after)
        host.store.reachability = Reachability.SILENT
        await asyncio.sleep(model.bounds.revocation - cut_after)
        await compaction
        with pytest.raises((RetryLaterError, AuthenticationError)):
            admit(host)

    run_with_host(check)


def test_a_job_is_accepted_once_however_often_it_is_submitted():
    async def check(model, host):
        await accept(host)
        version = model.rows.version
        await accept(host)
        await accept(model.hosts[1])
        assert model.rows.row("progress", JOB) is not None
        await asyncio.sleep(10.0)
        assert await host.frontend.show(admit(host), JOB) is JobState.COMPLETED
        await accept(host)
        assert await host.frontend.show(admit(host), JOB) is JobState.COMPLETED
        assert version > 0

    run_with_host(check)


@pytest.mark.parametrize("reachability", [Reachability.REFUSED, Reachability.SILENT])
def test_a_host_cut_off_from_the_store_answers_early_that_a_job_was_not_accepted(
    reachability,
):
    async def check(model, host):
        admission = admit(host)
        host.store.reachability = reachability
        started_at = monotonic()
        with pytest.raises(RetryLaterError):
            await host.frontend.accept(
                admission, JOB, JOB_REQUEST, started_at + CALLER_TIMEOUT_SECONDS
            )
        assert (
            monotonic() - started_at <= CALLER_TIMEOUT_SECONDS * STORE_TIME_SHARE + 0.1
        )
        host.store.reachability = Reachability.SERVED
        await asyncio.sleep(10.0)
        assert model.state(JOB) is None

    run_with_host(check)


@pytest.mark.parametrize("seconds", [3.0, 20.0, 600.0])
def test_a_silent_store_delays_a_caller_no_longer_than_a_shutdown_allows(seconds):
    async def check(model, host):
        admission = admit(host)
        host.store.lost_answer_share = 1.0
        started_at = monotonic()
        with pytest.raises(UnknownOutcomeError):
            await host.frontend.accept(
                admission, JOB, JOB_REQUEST, started_at + seconds
            )
        assert monotonic() - started_at <= MAX_STORE_SECONDS + 0.1

    run_with_host(check)


def test_a_host_that_knows_it_is_partitioned_refuses_at_once():
    async def check(model, host):
        admission = admit(host)
        host.store.reachability = Reachability.REFUSED
        await asyncio.sleep(1.0)
        started_at = monotonic()
        with pytest.raises(RetryLaterError):
            await host.frontend.accept(
                admission, JOB, JOB_REQUEST, started_at + CALLER_TIMEOUT_SECONDS
            )
        assert monotonic() == started_at
        assert not host.frontend.ready()

    run_with_host(check)


def test_a_lost_answer_is_never_reported_as_not_run():
    async def check(model, host):
        host.store.lost_answer_share = 1.0
        with pytest.raises(UnknownOutcomeError):
            await accept(host)
        assert model.state(JOB) is not None

    run_with_host(check)


def test_a_job_that_was_never_submitted_is_not_found():
    async def check(model, host):
        with pytest.raises(NotFoundError) as caught:
            await host.frontend.show(admit(host), JOB)
        assert caught.value.code is ResultCode.NO_SUCH_JOB
        with pytest.raises(NotFoundError):
            await cancel(host)

    run_with_host(check)


def test_a_cancelled_job_starts_no_more_tasks():
    async def check(model, host):
        await accept(host, job_request=JobRequest('{"seconds":30}', (step(4),)))
        await asyncio.sleep(1.0)
        await cancel(host)
        assert await host.frontend.show(admit(host), JOB) is JobState.CANCELLED
        await asyncio.sleep(2.0)
        assert not any(worker.running for worker in model.fleet.workers.values())
        await cancel(host)

    run_with_host(check)


def test_stale_pending_counts_are_not_served():
    async def check(model, host):
        queue = admit(host).queue
        follower = next(other for other in model.hosts if other is not model.leader())
        assert await follower.frontend.pending(queue) == 0
        now = follower.store.clock.latest(boot_time())
        old = now - MAX_COUNTS_AGE_SECONDS * 1000 - 1
        await model.leader().kill()
        record = LeaseRecord("h", "h", now + 60_000, 99, now, {}, counted_at=old)
        model.rows.put(LEASES, LEASE_ROW, msgspec.msgpack.encode(record))
        follower.leadership.pending_counts.counts = record.counts
        with pytest.raises(RetryLaterError):
            await follower.frontend.pending(queue)

    run_with_host(check)


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
def test_an_invalid_job_is_refused_before_it_is_stored(job_request):
    async def check(model, host):
        with pytest.raises(Exception) as caught:
            await accept(host, job_request=job_request)
        assert caught.value.code in (ResultCode.BAD_INPUT, ResultCode.TOO_LARGE)
        assert model.state(JOB) is None

    run_with_host(check)
