"""A job has begun once a worker has started a task of it, whoever schedules."""

import asyncio

import pytest
from common.scheduling import first_step, job, run_on, worker

from zinniatrestle.jobs import JobProgress, JobState, TaskProgress
from zinniatrestle.jobs.messages import decode_progress, encode_progress
from zinniatrestle.scheduling.state import TaskStatus
from zinniatrestle.standins.model import Model, run_virtual, step
from zinniatrestle.standins.runs import FaultMode, OrderMode

QUEUE = "usual"
JOBS = 3
# A job that has begun is stored as such within this time.
STORED_SECONDS = 3.0


def run_with_jobs(check, seconds=60.0, prepare=None, **fields):
    """Run a check on a model with jobs of one task, submitted to prepared workers."""

    async def run():
        model = Model(1, hosts=2)
        await model.start(workers=2, rack=2)
        for simulated in model.fleet.workers.values():
            if prepare is not None:
                prepare(simulated)
        for _ in range(JOBS):
            await model.submit(QUEUE, (step(1, seconds=seconds),), seconds, **fields)
        await asyncio.sleep(STORED_SECONDS)
        await check(model)

    run_virtual(run())


async def change_leader(model):
    leader = model.leader()
    await leader.kill()
    while model.leader() is None:
        await asyncio.sleep(0.02)
    await asyncio.sleep(1.0)
    return model.leader()


def counted(host) -> int:
    return host.leadership.pending_counts.counts.jobs.get(QUEUE, 0)


def refuse_starts(worker):
    worker.fault_mode = FaultMode.SHEDS


# Guards against a successor that takes a placement for a start.
def test_jobs_whose_starts_were_refused_still_wait_after_a_succession():
    async def check(model):
        assert counted(model.leader()) == JOBS
        assert counted(await change_leader(model)) == JOBS

    run_with_jobs(check, prepare=refuse_starts)


# Guards against the same with orders that never arrived.
def test_jobs_whose_starts_were_lost_with_their_leader_still_wait():
    def drop_orders(worker):
        worker.order_mode = OrderMode.DROPPED

    async def check(model):
        assert counted(await change_leader(model)) == JOBS

    run_with_jobs(check, prepare=drop_orders)


def test_jobs_that_run_on_unreachable_workers_do_not_wait_after_a_succession():
    async def check(model):
        for simulated in model.fleet.workers.values():
            simulated.reachable = False
        assert counted(await change_leader(model)) == 0

    run_with_jobs(check)


def test_jobs_that_have_failed_once_do_not_wait_after_a_succession():
    async def check(model):
        for simulated in model.fleet.workers.values():
            refuse_starts(simulated)
        await asyncio.sleep(2.0)
        assert counted(model.leader()) == 0
        assert counted(await change_leader(model)) == 0

    run_with_jobs(check, seconds=3.2, failures=1)


def test_a_job_is_shown_as_running_while_a_task_is_assigned_and_once_one_has_started():
    waiting = job("1" * 16)
    assert waiting.shown_state is JobState.PENDING
    run_on(first_step(waiting).tasks[0], worker("w"))
    assert waiting.shown_state is JobState.RUNNING
    first_step(waiting).tasks[0].status = TaskStatus.WAITING
    assert waiting.shown_state is JobState.PENDING
    waiting.has_started = True
    assert waiting.shown_state is JobState.RUNNING


def test_a_record_of_a_former_version_shows_a_start_by_what_came_of_it():
    placed = JobProgress(JobState.RUNNING, tasks={"0.0.0": TaskProgress(1)})
    assert not placed.has_started
    for task in (TaskProgress(1, done=True), TaskProgress(1, checkpoint="c")):
        assert JobProgress(JobState.RUNNING, tasks={"0.0.0": task}).has_started
    assert JobProgress(tasks={"0.0.0": TaskProgress(1, failed_runs=(1,))}).has_started
    assert JobProgress(finished=["0.0"]).has_started


@pytest.mark.parametrize("started", [False, True])
def test_that_a_job_has_begun_survives_a_round_trip(started):
    progress = JobProgress(started=started)
    assert decode_progress(encode_progress(progress)).has_started is started
