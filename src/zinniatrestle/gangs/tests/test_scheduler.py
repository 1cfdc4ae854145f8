"""Tests of a domain scheduler on the embedded platform."""

import asyncio

from common.cluster import GangCluster
from common.virtual import run

from zinniatrestle.gangs.messages import JobSpec, JobState, TaskShape

EIGHT_ACCELERATORS = TaskShape(accelerators=8, cores=8, memory_gb=8)


def test_gang_runs_all_its_tasks_and_ends():
    async def scenario():
        cluster = await GangCluster.start(workers=4)
        spec = JobSpec(tasks=3, command=["sleep", "20"], shape=EIGHT_ACCELERATORS)
        job = await cluster.submit(spec)
        await asyncio.sleep(5)
        row = await cluster.row(job)
        assert row.state is JobState.RUNNING
        assert sum(slot.tasks for slot in row.placement) == 3
        await asyncio.sleep(25)
        row = await cluster.row(job)
        assert row.state is JobState.DONE
        assert cluster.held_leases() == 0

    run(scenario())


def test_gang_waits_until_all_its_tasks_fit():
    async def scenario():
        cluster = await GangCluster.start(workers=2)
        first = await cluster.submit(JobSpec(1, ["sleep", "30"], EIGHT_ACCELERATORS))
        await asyncio.sleep(1)
        second = await cluster.submit(JobSpec(2, ["sleep", "5"], EIGHT_ACCELERATORS))
        await asyncio.sleep(10)
        assert (await cluster.row(first)).state is JobState.RUNNING
        assert (await cluster.row(second)).state is JobState.QUEUED
        await asyncio.sleep(40)
        assert (await cluster.row(second)).state is JobState.DONE

    run(scenario())
