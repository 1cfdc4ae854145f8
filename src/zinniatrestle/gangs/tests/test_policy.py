"""Guarantees, urgent work, moves, cancellations and bad workers."""

import asyncio

import pytest
from common.hosts import ACCOUNT, LIMA, default_plan
from common.virtual import run
from common.watched_gangs import (
    EIGHT,
    URGENT_SECONDS,
    start_watched_cluster,
)

from zinniatrestle.errors import KeyReusedError, NeverFitsError
from zinniatrestle.gangs.messages import JobSpec, JobState, TaskShape
from zinniatrestle.ids import ClientAccountId, RequestKey, WorkerId
from zinniatrestle.standins.messages import WorkerFaults


def test_guaranteed_shape_is_reclaimed_from_borrowers():
    async def scenario():
        scene = await start_watched_cluster(hosts=1, workers=8)
        owner = ClientAccountId("owner")
        guarantee = {"domain": LIMA, "cell": "worker", "count": 4}
        await scene.cluster.apply_account(
            owner, default_plan([LIMA], guarantees=[guarantee])
        )
        small = TaskShape(accelerators=1, cores=1.0, memory_gb=1.0)
        for number in range(16):
            spec = JobSpec(4, ["sleep", "5000"], small)
            await scene.submit(spec, key=RequestKey(str(number)))
        await asyncio.sleep(5)
        began = scene.cluster.clock.wall()
        job = await scene.submit(JobSpec(4, ["sleep", "30"], EIGHT), owner)
        await scene.wait_for_state(job, JobState.RUNNING, URGENT_SECONDS, owner)
        assert scene.cluster.clock.wall() - began <= URGENT_SECONDS
        row = await scene.row(job, owner)
        assert row.guaranteed
        assert all(slot.accelerators == list(range(8)) for slot in row.placement)
        await scene.wait_for_state(job, JobState.DONE, 60, owner)
        scene.check()

    run(scenario())


@pytest.mark.parametrize("cell", ["worker", "rack"])
def test_guarantee_is_reclaimed_although_workers_of_its_cells_are_lost(cell):
    async def scenario():
        scene = await start_watched_cluster(hosts=1, workers=24)
        owner = ClientAccountId("owner")
        count, tasks = (4, 4) if cell == "worker" else (1, 8)
        guarantee = {"domain": LIMA, "cell": cell, "count": count}
        await scene.cluster.apply_account(
            owner, default_plan([LIMA], guarantees=[guarantee])
        )
        for number in range(24):
            spec = JobSpec(1, ["sleep", "9000"], EIGHT)
            await scene.submit(spec, key=RequestKey(str(number)))
        await asyncio.sleep(10)
        scheduler = scene.cluster.hosts["lima-1"].scheduler
        lost = next(iter(scheduler.binding.masks(owner)))
        faults = scene.cluster.views["lima-1"].workers.faults
        faults[lost] = WorkerFaults(unreachable=True)
        await asyncio.sleep(15)
        job = await scene.submit(JobSpec(tasks, ["sleep", "30"], EIGHT), owner)
        await scene.wait_for_state(job, JobState.RUNNING, URGENT_SECONDS, owner)
        row = await scene.row(job, owner)
        assert row.guaranteed
        assert lost not in {slot.worker for slot in row.placement}
        await scene.wait_for_state(job, JobState.DONE, 60, owner)
        scene.check()

    run(scenario())


def test_large_gang_does_not_starve_behind_a_stream_of_small_ones():
    async def scenario():
        scene = await start_watched_cluster(hosts=1, workers=4)
        small = TaskShape(accelerators=4, cores=4.0, memory_gb=4.0)
        for number in range(8):
            spec = JobSpec(1, ["sleep", "700"], small)
            await scene.submit(spec, key=RequestKey(f"first-{number}"))
        large = await scene.submit(JobSpec(4, ["sleep", "60"], EIGHT))
        for number in range(60):
            spec = JobSpec(1, ["sleep", "700"], small)
            await scene.submit(spec, key=RequestKey(f"next-{number}"))
            await asyncio.sleep(60)
            if (await scene.row(large)).state is JobState.DONE:
                break
        assert (await scene.row(large)).state is JobState.DONE
        scene.check()

    run(scenario())


def test_evicted_borrower_resumes_from_its_checkpoint():
    async def scenario():
        scene = await start_watched_cluster(hosts=1, workers=2)
        owner = ClientAccountId("owner")
        guarantee = {"domain": LIMA, "cell": "worker", "count": 2}
        await scene.cluster.apply_account(
            owner, default_plan([LIMA], guarantees=[guarantee])
        )
        borrower = await scene.submit(JobSpec(2, ["sleep", "100"], EIGHT))
        await asyncio.sleep(50)
        await scene.submit(JobSpec(2, ["sleep", "10"], EIGHT), owner)
        await asyncio.sleep(10)
        row = await scene.row(borrower)
        assert row.state is JobState.QUEUED and row.progress > 40
        await scene.wait_for_state(borrower, JobState.DONE, 75)

    run(scenario())


def test_small_gangs_move_together_for_a_large_one():
    async def scenario():
        scene = await start_watched_cluster(hosts=1, workers=3)
        small = TaskShape(accelerators=2, cores=2.0, memory_gb=2.0)
        jobs = []
        for number in range(12):
            spec = JobSpec(1, ["sleep", "3000"], small)
            jobs.append(await scene.submit(spec, key=RequestKey(str(number))))
        await asyncio.sleep(5)
        # One small gang is left on each worker, so that none is whole.
        left = set()
        for job in jobs:
            worker = (await scene.row(job)).placement[0].worker
            if worker in left:
                host = scene.cluster.hosts["lima-1"]
                await host.jobs.cancel(ACCOUNT, job)
            left.add(worker)
        await asyncio.sleep(400)
        large = await scene.submit(JobSpec(2, ["sleep", "60"], EIGHT))
        await scene.wait_for_state(large, JobState.RUNNING, URGENT_SECONDS)
        await asyncio.sleep(10)
        rows = [await scene.row(job) for job in jobs]
        running = [row for row in rows if row.state is JobState.RUNNING]
        assert len(running) == 3
        assert all(row.progress > 300 for row in running if row.attempts == 2)
        scene.check()

    run(scenario())


@pytest.mark.parametrize("ran", [5, 400])
def test_urgent_gang_starts_in_time_on_a_full_cluster(ran):
    async def scenario():
        scene = await start_watched_cluster(hosts=1, workers=4)
        await scene.submit(JobSpec(4, ["sleep", "9000"], EIGHT))
        await asyncio.sleep(ran)
        urgent = JobSpec(2, ["sleep", "5"], EIGHT, urgent=True)
        job = await scene.submit(urgent)
        await scene.wait_for_state(job, JobState.RUNNING, URGENT_SECONDS)

    run(scenario())


def test_wave_of_cancellations_takes_few_writes():
    async def scenario():
        scene = await start_watched_cluster(hosts=1, workers=4)
        jobs = []
        for number in range(100):
            spec = JobSpec(1, ["sleep", "900"], EIGHT)
            jobs.append(await scene.submit(spec, key=RequestKey(str(number))))
        await asyncio.sleep(3)
        job_service = scene.cluster.hosts["lima-1"].jobs
        for _ in range(2):
            for job in jobs:
                await job_service.cancel(ACCOUNT, job)
        state = scene.cluster.platform.table.state
        before = state.commits
        await asyncio.sleep(4)
        assert state.commits - before <= 20
        rows = await job_service.jobs(ACCOUNT)
        assert {row.state for row in rows} == {JobState.CANCELLED}
        assert scene.held() == 0

    run(scenario())


def test_worker_that_fails_everything_is_quarantined():
    async def scenario():
        scene = await start_watched_cluster(hosts=1, workers=4)
        bad = WorkerId("lima-worker-0")
        scene.cluster.platform.workers.states[bad].fails_everything = True
        jobs = []
        for number in range(24):
            spec = JobSpec(1, ["sleep", "5"], EIGHT)
            jobs.append(await scene.submit(spec, key=RequestKey(str(number))))
        await asyncio.sleep(90)
        for job in jobs:
            assert (await scene.row(job)).state is JobState.DONE
        starts = len(scene.cluster.platform.workers.states[bad].starts)
        assert starts <= 6

    run(scenario())


def test_job_whose_tasks_fail_everywhere_ends_as_failed():
    async def scenario():
        scene = await start_watched_cluster(hosts=1, workers=4)
        job = await scene.submit(JobSpec(2, ["fail"], EIGHT))
        await scene.wait_for_state(job, JobState.FAILED, 60)

    run(scenario())


@pytest.mark.parametrize(
    "spec",
    [
        JobSpec(5, ["sleep", "1"], EIGHT),
        JobSpec(1, ["sleep", "1"], TaskShape(accelerators=9)),
        JobSpec(1, ["sleep", "1"], TaskShape(cores=33.0)),
    ],
    ids=["too many tasks", "too many accelerators", "too many cores"],
)
def test_job_that_can_never_run_is_told_so_at_once(spec):
    async def scenario():
        scene = await start_watched_cluster(hosts=1, workers=4)
        with pytest.raises(NeverFitsError):
            await scene.submit(spec)

    run(scenario())


def test_job_is_taken_while_the_list_shows_no_workers_yet():
    async def scenario():
        scene = await start_watched_cluster(hosts=1, workers=4)
        listed = scene.cluster.platform.hosts.listed
        workers = {name: host for name, host in listed.items() if host.accelerators}
        for name in workers:
            del listed[name]
        job = await scene.submit(JobSpec(2, ["sleep", "5"], EIGHT))
        assert (await scene.row(job)).state is JobState.QUEUED
        listed.update(workers)
        await scene.wait_for_state(job, JobState.DONE, 20)

    run(scenario())


def test_job_key_returns_the_first_job_and_refuses_another():
    async def scenario():
        scene = await start_watched_cluster(hosts=1, workers=4)
        spec = JobSpec(1, ["sleep", "1"], EIGHT)
        first = await scene.submit(spec, key=RequestKey("k"))
        assert await scene.submit(spec, key=RequestKey("k")) == first
        other = JobSpec(2, ["sleep", "1"], EIGHT)
        with pytest.raises(KeyReusedError):
            await scene.submit(other, key=RequestKey("k"))

    run(scenario())
