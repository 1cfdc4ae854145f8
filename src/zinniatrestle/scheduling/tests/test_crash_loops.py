"""Long-running tasks that fail at each start harm neither the store nor other jobs."""

import asyncio
import itertools
from unittest import mock

import pytest

from zinniatrestle.ids import RunNumber, TaskId
from zinniatrestle.jobs import JobState
from zinniatrestle.jobs.messages import PROGRESS, row_name
from zinniatrestle.scheduling.restarts import (
    EARLY_END_SECONDS,
    IMMEDIATE_RESTARTS,
    MAX_DELAY_SECONDS,
    restart_delay,
)
from zinniatrestle.scheduling.state import Job
from zinniatrestle.standins.checker import violations
from zinniatrestle.standins.model import Model, run_virtual, step
from zinniatrestle.standins.runs import EventKind

TASKS = 16
ALWAYS = 10**9
MINUTE = 60.0


def run_with_crash_loop(check, seconds=0.02, **shape):
    """Run a check beside a job whose long-running tasks fail after some seconds."""

    async def run():
        model = Model(1, hosts=2)
        await model.start(workers=4, rack=4)
        looping = step(TASKS, cpu=100, gpus=0, long_running=True, **shape)
        job = await model.submit("usual", (looping,), seconds, failures=ALWAYS)
        await check(model, job)
        assert violations(model) == []

    run_virtual(run())


def start_times(model, task) -> list[float]:
    return [
        event.at
        for event in model.fleet.history
        if event.kind is EventKind.START and event.task == task
    ]


def test_the_first_restarts_are_immediate_and_later_ones_are_bounded():
    task, run = TaskId("a.0.0.0"), RunNumber(1)
    delays = [restart_delay(early_ends, task, run) for early_ends in range(1, 2000)]
    assert delays[:IMMEDIATE_RESTARTS] == [0.0] * IMMEDIATE_RESTARTS
    assert delays[IMMEDIATE_RESTARTS] > 0.0
    assert max(delays) <= MAX_DELAY_SECONDS
    assert delays[-1] >= MAX_DELAY_SECONDS / 2


def test_tasks_that_end_together_restart_at_different_times():
    delays = {restart_delay(9, TaskId(f"a.0.0.{n}"), RunNumber(9)) for n in range(50)}
    assert len(delays) > 40


# Guards against a job that is restarted some thousand times a second.
def test_a_task_that_fails_at_each_start_is_restarted_ever_more_rarely():
    async def check(model, job):
        await asyncio.sleep(MINUTE)
        starts = start_times(model, f"{job}.0.0.0")
        assert len(starts) < MINUTE / MAX_DELAY_SECONDS * 2 + 8
        gaps = [later - earlier for earlier, later in itertools.pairwise(starts)]
        # The promise is 3 s without a run, from 6 s after the last one.
        assert max(gaps) < 6.0

    run_with_crash_loop(check)


def test_a_gang_that_keeps_failing_is_restarted_as_a_whole():
    async def check(model, job):
        await asyncio.sleep(MINUTE)
        counts = {len(start_times(model, f"{job}.0.0.{n}")) for n in range(TASKS)}
        assert len(counts) == 1
        assert counts.pop() < MINUTE / MAX_DELAY_SECONDS * 2 + 8

    run_with_crash_loop(check, gang=True)


def test_a_task_that_worked_for_a_while_is_restarted_at_once():
    async def check(model, job):
        await asyncio.sleep(MINUTE)
        starts = start_times(model, f"{job}.0.0.0")
        gaps = [later - earlier for earlier, later in itertools.pairwise(starts)]
        assert len(gaps) > 5
        assert max(gaps) < EARLY_END_SECONDS + 2.0

    run_with_crash_loop(check, seconds=EARLY_END_SECONDS + 0.5)


# Guards against rows that grow with each failure until the store refuses them.
def test_the_row_of_a_crash_loop_does_not_grow():
    async def check(model, job):
        sizes = []
        for minutes in (10, 20, 30):
            await asyncio.sleep(minutes * MINUTE)
            sizes.append(len(model.rows.row(PROGRESS, row_name(job)).value))
        assert max(sizes) - min(sizes) <= TASKS * 8
        other = await model.submit("usual", (step(1),), 1.0)
        await asyncio.sleep(10.0)
        assert model.state(other) is JobState.COMPLETED

    run_with_crash_loop(check)


# Guards against one row that the store refuses and that holds up all others.
@pytest.mark.parametrize("oversized", [0, 50, 99])
def test_a_job_whose_row_is_too_large_fails_alone(oversized):
    async def check():
        model = Model(1, hosts=2)
        await model.start(workers=4, rack=4)
        jobs = []
        to_progress = Job.to_progress

        def large_progress(job, now_ms):
            progress = to_progress(job, now_ms)
            if job.id in jobs[oversized : oversized + 1]:
                progress.finished = [f"{n}.0" for n in range(20_000)]
            return progress

        with mock.patch.object(Job, "to_progress", large_progress):
            for _ in range(100):
                jobs.append(await model.submit("usual", (step(1, gpus=0),), 0.5))
            await asyncio.sleep(40.0)
        states = [model.state(job) for job in jobs]
        assert states.count(JobState.COMPLETED) == 99
        assert states[oversized] is JobState.FAILED
        lines = [line for line in model.lines if line["event"] == "row_too_large"]
        assert [(line["job"], line["code"]) for line in lines] == [
            (jobs[oversized], 102)
        ]
        assert violations(model) == []

    run_virtual(check())


def test_a_crash_loop_is_logged_with_its_cause():
    async def check(model, job):
        await asyncio.sleep(20.0)
        lines = [line for line in model.lines if line["event"] == "restart_delayed"]
        assert lines
        assert all(line["job"] == job for line in lines)
        assert max(line["early_ends"] for line in lines) > IMMEDIATE_RESTARTS

    run_with_crash_loop(check)
