"""Accepted jobs that the memory of the leader has no room for: none is lost."""

import asyncio

import pytest

from zinniatrestle.clock import monotonic, wall_time
from zinniatrestle.errors import ResultCode
from zinniatrestle.jobs import JobState
from zinniatrestle.jobs.intake import JobRequest
from zinniatrestle.jobs.messages import (
    CANCELLATIONS,
    PROGRESS,
    SUBMISSIONS,
    row_name,
)
from zinniatrestle.scheduling.backlog import WorkSettings
from zinniatrestle.serving import RetryLaterError
from zinniatrestle.serving.frontend import MAX_FULL_AGE_SECONDS
from zinniatrestle.standins.model import CALL_SECONDS, Model, run_virtual, step
from zinniatrestle.standins.rows import Reachability
from zinniatrestle.standins.runs import TaskScript

# Room for about ten jobs of one task.
SMALL = WorkSettings(memory_share=40_000 / (512 * 2**20))
JOBS = 30
QUEUE = "usual"
STEPS = (step(1, gpus=8),)
# Several times what the jobs take on the workers.
ALL_JOBS_SECONDS = 120.0


async def start_model(hosts=3) -> Model:
    model = Model(1, hosts=hosts, work=SMALL)
    await model.start(workers=2, rack=2)
    return model


async def store_jobs(model, jobs=JOBS, account="first", seconds=1.0) -> list[str]:
    """Store jobs by hosts that don't know of the bound."""
    names = []
    for number in range(jobs):
        name = f"{account[0]}-{number:014}"
        host = model.hosts[number % len(model.hosts)]
        admission = admit(host, account)
        spec = TaskScript(seconds=seconds, steps=STEPS).encoded()
        request = JobRequest(spec, STEPS)
        await host.intake.accept(
            name,
            request,
            admission.queue,
            admission.account,
            monotonic() + CALL_SECONDS,
        )
        names.append(name)
    return names


def admit(host, account="first"):
    return host.frontend.admit("queues.example", f"/{QUEUE}/", f"key-{account}")


async def submit(host, name, account="first"):
    spec = TaskScript(seconds=1.0, steps=STEPS).encoded()
    request = JobRequest(spec, STEPS)
    deadline = monotonic() + CALL_SECONDS
    await host.frontend.accept(admit(host, account), name, request, deadline)


async def wait_for(condition, seconds=ALL_JOBS_SECONDS):
    async with asyncio.timeout(seconds):
        while not condition():
            await asyncio.sleep(0.1)


def all_completed(model, names) -> bool:
    return all(model.state(name) is JobState.COMPLETED for name in names)


def count_starts(model, name) -> int:
    return sum(
        line["event"] == "run_placed" and line["task"].startswith(name)
        for line in model.lines
    )


# Guards against deferred jobs that nobody comes back to.
def test_all_jobs_beyond_the_bound_are_done_in_the_end():
    async def check():
        model = await start_model()
        names = await store_jobs(model)
        await asyncio.sleep(1.0)
        assert model.metrics.work_bytes <= SMALL.max_bytes(
            model.hosts[0].deployment.resources
        )
        await wait_for(lambda: all_completed(model, names))
        assert all(count_starts(model, name) == 1 for name in names)
        events = {line["event"] for line in model.lines}
        assert {"job_deferred", "job_resumed"} <= events
        await asyncio.sleep(5.0)
        assert model.metrics.work_bytes == 0

    run_virtual(check())


# Guards against occurrences that are left out, and against those of which many overlap.
def test_all_occurrences_are_done_in_the_end_within_the_bound():
    async def check():
        model = await start_model()
        host = model.hosts[0]
        spec = TaskScript(seconds=0.5, steps=STEPS).encoded()
        request = JobRequest(spec, STEPS, occurrences=60)
        request.first_due_ms = round(wall_time() * 1000)
        request.every_ms = 1
        admission = admit(host)
        deadline = monotonic() + CALL_SECONDS
        await host.intake.accept(
            "timed", request, admission.queue, admission.account, deadline
        )
        bound = SMALL.max_bytes(host.deployment.resources)
        while not all_completed(model, ["timed"]):
            await asyncio.sleep(0.1)
            assert model.metrics.work_bytes <= bound
        starts = [
            line["task"]
            for line in model.lines
            if line["event"] == "run_placed" and line["task"].startswith("timed.")
        ]
        assert len(starts) == len(set(starts)) == 60

    run_virtual(check())


def test_a_job_of_another_account_does_not_wait_behind_deferred_ones():
    async def check():
        model = await start_model()
        await store_jobs(model, seconds=30.0)
        (other,) = await store_jobs(model, 1, "second")
        await asyncio.sleep(4.0)
        # It is known to wait for a worker, or runs.
        considered = [
            line
            for line in model.lines
            if line["event"] == "job_waits" and line["job"] == other
        ]
        assert considered or count_starts(model, other)

    run_virtual(check())


def test_deferred_jobs_count_as_waiting():
    async def check():
        model = await start_model()
        await store_jobs(model, seconds=90.0)
        await asyncio.sleep(4.0)
        for host in model.hosts:
            count = await host.frontend.pending(admit(host).queue)
            assert count == JOBS - 2

    run_virtual(check())


# Guards against a successor that takes a deferred job for one that has ended.
@pytest.mark.parametrize("is_released", [False, True])
def test_deferred_jobs_outlive_successions(is_released):
    async def check():
        model = await start_model()
        names = await store_jobs(model, seconds=4.0)
        for _ in range(3):
            await asyncio.sleep(6.0)
            leader = model.leader()
            if is_released:
                await leader.leadership.release()
            await leader.kill()
            leader.start()
        await wait_for(lambda: all_completed(model, names))
        assert all(count_starts(model, name) <= 2 for name in names)

    run_virtual(check())


def test_a_cancelled_job_that_is_deferred_never_runs():
    async def check():
        model = await start_model()
        names = await store_jobs(model, seconds=20.0)
        await asyncio.sleep(2.0)
        leader = model.leader()
        started = [name for name in names if count_starts(model, name)]
        cancelled = [name for name in names if name not in started]
        for name in cancelled:
            await leader.frontend.cancel(
                admit(leader), name, monotonic() + CALL_SECONDS
            )
        await wait_for(lambda: all_completed(model, started))
        await asyncio.sleep(5.0)
        for name in cancelled:
            assert model.state(name) is JobState.CANCELLED
            assert not count_starts(model, name)
            assert model.rows.row(SUBMISSIONS, row_name(name)) is None
            assert model.rows.row(CANCELLATIONS, row_name(name)) is None
        assert model.metrics.work_bytes == 0

    run_virtual(check())


@pytest.mark.parametrize("table", [SUBMISSIONS, PROGRESS])
def test_a_damaged_row_of_a_deferred_job_holds_up_no_other(table):
    async def check():
        model = await start_model()
        names = await store_jobs(model)
        await asyncio.sleep(0.5)
        damaged = names[-1]
        model.rows.put(table, row_name(damaged), b"\xc1")
        await wait_for(lambda: all_completed(model, names[:-1]))
        assert not count_starts(model, damaged)
        assert any(
            line["event"] == "input_rejected" and line["name"] == damaged
            for line in model.lines
        )

    run_virtual(check())


# Guards against a refusal of a job that is stored, which says that it never runs.
def test_a_full_account_is_refused_by_all_hosts_but_for_stored_jobs():
    async def check():
        model = await start_model()
        names = await store_jobs(model, seconds=30.0)
        await asyncio.sleep(4.0)
        for number, host in enumerate(model.hosts):
            with pytest.raises(RetryLaterError) as caught:
                await submit(host, f"new-{number:012}")
            assert caught.value.code is ResultCode.BACKLOG_FULL
            assert caught.value.seconds >= 1
            await submit(host, names[-1])
        await submit(model.hosts[0], "other", "second")
        assert model.state("new-000000000000") is None

    run_virtual(check())


def test_a_full_account_gets_no_conclusion_while_the_store_is_away():
    async def check():
        model = await start_model()
        names = await store_jobs(model, seconds=30.0)
        await asyncio.sleep(4.0)
        host = next(host for host in model.hosts if host is not model.leader())
        host.store.reachability = Reachability.REFUSED
        for name in (names[-1], "new"):
            with pytest.raises(RetryLaterError) as caught:
                await submit(host, name)
            assert caught.value.code is ResultCode.STORE_UNAVAILABLE

    run_virtual(check())


# Guards against accounts that stay full for ever once nobody counts any more.
def test_an_account_is_no_longer_full_once_the_record_of_it_is_old():
    async def check():
        model = await start_model()
        await store_jobs(model, seconds=90.0)
        await asyncio.sleep(4.0)
        host = model.hosts[0]
        for other in model.hosts[1:]:
            await other.kill()
        with pytest.raises(RetryLaterError):
            await submit(host, "new")
        host.leadership.step_down("test")
        host.leadership.released = True
        await asyncio.sleep(MAX_FULL_AGE_SECONDS + 1.0)
        await submit(host, "new")

    run_virtual(check())


def test_a_host_accepts_only_some_work_that_the_leader_has_not_counted():
    async def check():
        model = await start_model()
        host = model.hosts[0]
        accepted = 0
        with pytest.raises(RetryLaterError) as caught:
            while True:
                await submit(host, f"new-{accepted:012}")
                accepted += 1
        assert caught.value.code is ResultCode.BACKLOG_FULL
        assert 1 <= accepted < 10
        await submit(host, "other", "second")
        names = [f"new-{number:012}" for number in range(accepted)]
        await wait_for(lambda: all_completed(model, names))
        await submit(host, f"new-{accepted:012}")

    run_virtual(check())
