"""Tests of the check that accepted jobs run once traffic and faults have ended."""

import asyncio

import pytest

from common.idle_jobs import IDLE_SECONDS, IdleJobs
from zinniatrestle.ids import RunNumber, TaskId
from zinniatrestle.jobs.messages import Step
from zinniatrestle.standins.fleet import SimulatedFleet
from zinniatrestle.standins.rows import MemoryRows
from zinniatrestle.standins.runs import (
    EventKind,
    SimulatedRun,
    TaskScript,
    WorkerEvent,
)
from zinniatrestle.workers.messages import RunOutcome

JOB = "00000000000000a1"
STEPS = [Step(count=2, gpus=4, gang=True), Step(count=1, gpus=4)]


def checked_jobs(busy_gpus: int) -> IdleJobs:
    """Return a check of one job on four workers of eight accelerators."""

    async def four_workers() -> SimulatedFleet:
        fleet = SimulatedFleet(MemoryRows())
        for number in range(4):
            fleet.add(f"i-{number}")
        return fleet

    fleet = asyncio.run(four_workers())
    script = TaskScript(steps=(Step(gpus=1),))
    workers = list(fleet.workers.values())
    for number in range(busy_gpus):
        task = TaskId(f"00000000000000b1.0.0.{number}")
        run = SimulatedRun(task, RunNumber(1), script, 0.0)
        workers[number // 8].running[task] = run
    jobs = IdleJobs(fleet)
    jobs.unfinished[JOB] = STEPS
    return jobs


def acknowledge(jobs: IdleJobs, task: str, outcome: RunOutcome = RunOutcome.DONE):
    event = WorkerEvent(
        0.0, EventKind.ACKNOWLEDGED, "i-0", TaskId(f"{JOB}.{task}"), 1, outcome
    )
    jobs.fleet.history.append(event)


@pytest.mark.parametrize(
    "busy_gpus, lost",
    # With 15 or 16 of 32 in use, the gang would fit twice; not half is free with 16.
    [(0, [JOB]), (15, [JOB]), (16, [])],
)
def test_a_job_that_runs_nothing_despite_ample_room_is_lost(busy_gpus, lost):
    jobs = checked_jobs(busy_gpus)
    jobs.sample(0.0)
    jobs.sample(IDLE_SECONDS - 0.1)
    assert jobs.lost == []
    jobs.sample(IDLE_SECONDS)
    jobs.sample(IDLE_SECONDS + 0.1)
    assert jobs.lost == lost


def test_a_job_without_room_for_it_twice_is_not_lost():
    jobs = checked_jobs(0)
    jobs.unfinished[JOB] = [Step(count=5, gpus=4, gang=True)]
    for now in range(5):
        jobs.sample(float(now))
    assert jobs.lost == []


def test_the_time_without_a_run_counts_from_the_last_run():
    jobs = checked_jobs(0)
    jobs.sample(0.0)
    worker = next(iter(jobs.fleet.workers.values()))
    task = TaskId(f"{JOB}.0.0.0")
    worker.running[task] = SimulatedRun(task, RunNumber(1), TaskScript(), 0.0)
    jobs.sample(2.0)
    del worker.running[task]
    jobs.sample(4.0)
    jobs.sample(4.0 + IDLE_SECONDS - 0.1)
    assert jobs.lost == []
    jobs.sample(4.0 + IDLE_SECONDS)
    assert jobs.lost == [JOB]


def test_only_acknowledged_ends_of_completed_runs_finish_a_step():
    jobs = checked_jobs(0)
    acknowledge(jobs, "0.0.0")
    acknowledge(jobs, "0.0.1")
    acknowledge(jobs, "0.1.0", RunOutcome.FAILED)
    jobs.sample(0.0)
    assert jobs.idle_since == {JOB: 0.0}
    acknowledge(jobs, "0.1.0")
    jobs.sample(IDLE_SECONDS)
    assert jobs.lost == []
