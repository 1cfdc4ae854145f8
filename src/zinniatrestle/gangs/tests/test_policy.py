"""Guarantees, urgent gangs, relocation, cancellation and faulty workers."""

import asyncio

import pytest
from common.hosts import ACCOUNT, LIMA, default_plan
from common.virtual import run
from common.watched_gangs import (
    EIGHT_ACCELERATORS,
    URGENT_START_SECONDS,
    start_watched_cluster,
)

from zinniatrestle.errors import KeyReusedError, NeverFitsError
from zinniatrestle.gangs.messages import JobSpec, JobState, TaskShape
from zinniatrestle.ids import ClientAccountId, RequestKey, WorkerId
from zinniatrestle.standins.messages import WorkerFaults


def test_guaranteed_cells_are_reclaimed_from_borrowers():
    async def scenario():
        watched = await start_watched_cluster(hosts=1, workers=8)
        owner = ClientAccountId("owner")
        guarantee = {"domain": LIMA, "cell": "worker", "count": 4}
        await watched.cluster.apply_account(
            owner, default_plan([LIMA], guarantees=[guarantee])
        )
        small = TaskShape(accelerators=1, cores=1.0, memory_gb=1.0)
        for number in range(16):
            spec = JobSpec(4, ["sleep", "5000"], small)
            await watched.submit(spec, key=RequestKey(str(number)))
        await asyncio.sleep(5)
        submitted_wall = watched.cluster.clock.wall()
        job = await watched.submit(
            JobSpec(4, ["sleep", "30"], EIGHT_ACCELERATORS), owner
        )
        await watched.wait_for_state(job, JobState.RUNNING, URGENT_START_SECONDS, owner)
        assert watched.cluster.clock.wall() - submitted_wall <= URGENT_START_SECONDS
        row = await watched.row(job, owner)
        assert row.guaranteed
        assert all(slot.accelerators == list(range(8)) for slot in row.placement)
        await watched.wait_for_state(job, JobState.DONE, 60, owner)
        watched.check_no_double_runs()

    run(scenario())


@pytest.mark.parametrize("cell", ["worker", "rack"])
def test_guarantee_is_reclaimed_despite_lost_workers_in_its_cells(cell):
    async def scenario():
        watched = await start_watched_cluster(hosts=1, workers=24)
        owner = ClientAccountId("owner")
        count, tasks = (4, 4) if cell == "worker" else (1, 8)
        guarantee = {"domain": LIMA, "cell": cell, "count": count}
        await watched.cluster.apply_account(
            owner, default_plan([LIMA], guarantees=[guarantee])
        )
        for number in range(24):
            spec = JobSpec(1, ["sleep", "9000"], EIGHT_ACCELERATORS)
            await watched.submit(spec, key=RequestKey(str(number)))
        await asyncio.sleep(10)
        scheduler = watched.cluster.hosts["lima-1"].scheduler
        lost = next(iter(scheduler.binding.masks(owner)))
        faults = watched.cluster.views["lima-1"].workers.faults
        faults[lost] = WorkerFaults(unreachable=True)
        await asyncio.sleep(15)
        job = await watched.submit(
            JobSpec(tasks, ["sleep", "30"], EIGHT_ACCELERATORS), owner
        )
        await watched.wait_for_state(job, JobState.RUNNING, URGENT_START_SECONDS, owner)
        row = await watched.row(job, owner)
        assert row.guaranteed
        assert lost not in {slot.worker for slot in row.placement}
        await watched.wait_for_state(job, JobState.DONE, 60, owner)
        watched.check_no_double_runs()

    run(scenario())


def test_large_gang_does_not_starve_behind_a_stream_of_small_ones():
    async def scenario():
        watched = await start_watched_cluster(hosts=1, workers=4)
        small = TaskShape(accelerators=4, cores=4.0, memory_gb=4.0)
        for number in range(8):
            spec = JobSpec(1, ["sleep", "700"], small)
            await watched.submit(spec, key=RequestKey(f"first-{number}"))
        large = await watched.submit(JobSpec(4, ["sleep", "60"], EIGHT_ACCELERATORS))
        for number in range(60):
            spec = JobSpec(1, ["sleep", "700"], small)
            await watched.submit(spec, key=RequestKey(f"next-{number}"))
            await asyncio.sleep(60)
            if (await watched.row(large)).state is JobState.DONE:
                break
        assert (await watched.row(large)).state is JobState.DONE
        watched.check_no_double_runs()

    run(scenario())


def test_preempted_borrower_resumes_from_its_checkpoint():
    async def scenario():
        watched = await start_watched_cluster(hosts=1, workers=2)
        owner = ClientAccountId("owner")
        guarantee = {"domain": LIMA, "cell": "worker", "count": 2}
        await watched.cluster.apply_account(
            owner, default_plan([LIMA], guarantees=[guarantee])
        )
        borrower = await watched.submit(
            JobSpec(2, ["sleep", "100"], EIGHT_ACCELERATORS)
        )
        await asyncio.sleep(50)
        await watched.submit(JobSpec(2, ["sleep", "10"], EIGHT_ACCELERATORS), owner)
        await asyncio.sleep(10)
        row = await watched.row(borrower)
        assert row.state is JobState.QUEUED and row.progress > 40
        await watched.wait_for_state(borrower, JobState.DONE, 75)

    run(scenario())


def test_small_gangs_are_relocated_to_place_a_large_one():
    async def scenario():
        watched = await start_watched_cluster(hosts=1, workers=3)
        small = TaskShape(accelerators=2, cores=2.0, memory_gb=2.0)
        jobs = []
        for number in range(12):
            spec = JobSpec(1, ["sleep", "3000"], small)
            jobs.append(await watched.submit(spec, key=RequestKey(str(number))))
        await asyncio.sleep(5)
        # Keep one small gang on each worker, so that no worker is entirely free.
        left = set()
        for job in jobs:
            worker = (await watched.row(job)).placement[0].worker
            if worker in left:
                host = watched.cluster.hosts["lima-1"]
                await host.jobs.cancel(ACCOUNT, job)
            left.add(worker)
        await asyncio.sleep(400)
        large = await watched.submit(JobSpec(2, ["sleep", "60"], EIGHT_ACCELERATORS))
        await watched.wait_for_state(large, JobState.RUNNING, URGENT_START_SECONDS)
        await asyncio.sleep(10)
        rows = [await watched.row(job) for job in jobs]
        running = [row for row in rows if row.state is JobState.RUNNING]
        assert len(running) == 3
        assert all(row.progress > 300 for row in running if row.attempts == 2)
        watched.check_no_double_runs()

    run(scenario())


@pytest.mark.parametrize("ran_seconds", [5, 400])
def test_urgent_gang_starts_in_time_on_a_full_cluster(ran_seconds):
    async def scenario():
        watched = await start_watched_cluster(hosts=1, workers=4)
        await watched.submit(JobSpec(4, ["sleep", "9000"], EIGHT_ACCELERATORS))
        await asyncio.sleep(ran_seconds)
        urgent = JobSpec(2, ["sleep", "5"], EIGHT_ACCELERATORS, urgent=True)
        job = await watched.submit(urgent)
        await watched.wait_for_state(job, JobState.RUNNING, URGENT_START_SECONDS)

    run(scenario())


def test_many_cancellations_are_batched_into_few_commits():
    async def scenario():
        watched = await start_watched_cluster(hosts=1, workers=4)
        jobs = []
        for number in range(100):
            spec = JobSpec(1, ["sleep", "900"], EIGHT_ACCELERATORS)
            jobs.append(await watched.submit(spec, key=RequestKey(str(number))))
        await asyncio.sleep(3)
        job_service = watched.cluster.hosts["lima-1"].jobs
        for _ in range(2):
            for job in jobs:
                await job_service.cancel(ACCOUNT, job)
        state = watched.cluster.platform.table.state
        before = state.commits
        await asyncio.sleep(4)
        assert state.commits - before <= 20
        rows = await job_service.jobs(ACCOUNT)
        assert {row.state for row in rows} == {JobState.CANCELLED}
        assert watched.held_leases() == 0

    run(scenario())


def test_worker_that_fails_everything_is_quarantined():
    async def scenario():
        watched = await start_watched_cluster(hosts=1, workers=4)
        bad = WorkerId("lima-worker-0")
        watched.cluster.platform.workers.states[bad].fails_everything = True
        jobs = []
        for number in range(24):
            spec = JobSpec(1, ["sleep", "5"], EIGHT_ACCELERATORS)
            jobs.append(await watched.submit(spec, key=RequestKey(str(number))))
        await asyncio.sleep(90)
        for job in jobs:
            assert (await watched.row(job)).state is JobState.DONE
        starts = len(watched.cluster.platform.workers.states[bad].starts)
        assert starts <= 6

    run(scenario())


def test_job_whose_tasks_fail_everywhere_ends_as_failed():
    async def scenario():
        watched = await start_watched_cluster(hosts=1, workers=4)
        job = await watched.submit(JobSpec(2, ["fail"], EIGHT_ACCELERATORS))
        await watched.wait_for_state(job, JobState.FAILED, 60)

    run(scenario())


@pytest.mark.parametrize(
    "spec",
    [
        JobSpec(5, ["sleep", "1"], EIGHT_ACCELERATORS),
        JobSpec(1, ["sleep", "1"], TaskShape(accelerators=9)),
        JobSpec(1, ["sleep", "1"], TaskShape(cores=33.0)),
    ],
    ids=["too many tasks", "too many accelerators", "too many cores"],
)
def test_job_that_can_never_fit_is_refused_at_once(spec):
    async def scenario():
        watched = await start_watched_cluster(hosts=1, workers=4)
        with pytest.raises(NeverFitsError):
            await watched.submit(spec)

    run(scenario())


def test_job_is_accepted_while_the_host_list_has_no_workers():
    async def scenario():
        watched = await start_watched_cluster(hosts=1, workers=4)
        listed = watched.cluster.platform.hosts.listed
        workers = {name: host for name, host in listed.items() if host.accelerators}
        for name in workers:
            del listed[name]
        job = await watched.submit(JobSpec(2, ["sleep", "5"], EIGHT_ACCELERATORS))
        assert (await watched.row(job)).state is JobState.QUEUED
        listed.update(workers)
        await watched.wait_for_state(job, JobState.DONE, 20)

    run(scenario())


def test_job_key_returns_the_first_job_and_refuses_a_different_one():
    async def scenario():
        watched = await start_watched_cluster(hosts=1, workers=4)
        spec = JobSpec(1, ["sleep", "1"], EIGHT_ACCELERATORS)
        first = await watched.submit(spec, key=RequestKey("k"))
        assert await watched.submit(spec, key=RequestKey("k")) == first
        other = JobSpec(2, ["sleep", "1"], EIGHT_ACCELERATORS)
        with pytest.raises(KeyReusedError):
            await watched.submit(other, key=RequestKey("k"))

    run(scenario())
