"""Runs migrate off draining workers that would shut down before the runs end."""

import asyncio

import pytest
from common.history import start_times
from common.scheduling import (
    NOW,
    constraints,
    first_step,
    job,
    run_on,
    workers_in_racks,
)

from zinniatrestle.deployment import Bounds
from zinniatrestle.jobs.messages import Step
from zinniatrestle.scheduling.draining import interrupted_tasks, should_move
from zinniatrestle.scheduling.durations import Durations
from zinniatrestle.scheduling.forecast import Forecast
from zinniatrestle.standins.checker import violations
from zinniatrestle.standins.model import Model, run_virtual, step

BOUNDS = Bounds()


def run_on_draining_worker(shape: Step, seconds: float, others: int = 2):
    """Return a running task and the workers, of which the first is draining."""
    workers = workers_in_racks(1, size=1 + others)
    task = first_step(job("1" * 16, shape)).tasks[0]
    run_on(task, workers[0])
    workers[0].drain_deadline = NOW + seconds
    return task, workers


@pytest.mark.parametrize(
    "seconds_needed, notice, is_interrupted",
    [(1.0, 2.0, False), (1.9, 2.0, True), (5.0, 2.0, True)],
)
def test_run_that_ends_within_notice_is_not_interrupted(
    seconds_needed, notice, is_interrupted
):
    shape = Step(gpus=1, estimated_ms=int(seconds_needed * 1000))
    task, workers = run_on_draining_worker(shape, notice)
    found = interrupted_tasks(workers[0], Forecast(Durations(), NOW))
    assert found == ([task] if is_interrupted else [])


def test_long_running_task_is_always_interrupted():
    task, workers = run_on_draining_worker(Step(gpus=1, long_running=True), 60.0)
    assert interrupted_tasks(workers[0], Forecast(Durations(), NOW)) == [task]


@pytest.mark.parametrize(
    "checkpointing, seconds_left, has_free_workers, moves",
    [
        (False, 5.0, True, True),
        (False, 5.0, False, True),
        (True, 5.0, True, True),
        (True, 5.0, False, False),
        (True, 0.5, False, True),
    ],
)
def test_should_move_depends_on_checkpoints_notice_and_free_workers(
    checkpointing, seconds_left, has_free_workers, moves
):
    shape = Step(gpus=8, estimated_ms=60_000, checkpointing=checkpointing)
    task, workers = run_on_draining_worker(shape, seconds_left)
    if not has_free_workers:
        for number, other in enumerate(workers[1:]):
            run_on(first_step(job(f"{number + 2}" * 16, shape)).tasks[0], other)
    assert should_move(task, workers[1:], constraints(), BOUNDS, NOW) is moves


def test_successor_moves_runs_off_worker_that_was_already_draining():
    async def play():
        model = Model(1)
        await model.start(workers=6, rack=6)
        await model.submit("usual", (step(1, gpus=8, seconds=20.0),), 20.0)
        await asyncio.sleep(1.0)
        worker = next(w for w in model.fleet.workers.values() if w.running)
        await model.leader().kill()
        model.fleet.drain(worker, 8.0)
        await asyncio.sleep(5.0)
        return worker.running

    assert run_virtual(play()) == {}


def test_gang_migrates_before_worker_of_a_member_is_gone():
    async def play():
        model = Model(1)
        await model.start(workers=6, rack=6)
        job_id = await model.submit("urgent", (step(3, gpus=8, gang=True),), 6.0)
        await asyncio.sleep(1.0)
        worker = next(w for w in model.fleet.workers.values() if w.running)
        noticed_at = model.jobs[job_id].sent_at + 1.0
        model.fleet.drain(worker, 2.0)
        await asyncio.sleep(2.0)
        model.fleet.crash(worker)
        worker.reachable = False
        assert await model.wait_for_jobs(60.0)
        assert violations(model) == []
        return max(start_times(model)) - noticed_at

    # Time for the notice, a stop and a round, well before the worker's lease expires.
    assert run_virtual(play()) < 2.0


# Guards against runs that are stopped again and again on a worker that was to leave.
def test_worker_that_is_ready_again_after_it_was_draining_keeps_its_runs():
    async def play():
        model = Model(1)
        await model.start(workers=1, rack=1)
        worker = model.fleet.workers["w0"]
        ready = worker.entry
        model.fleet.drain(worker, 1.0)
        await asyncio.sleep(BOUNDS.drain)
        worker.entry = ready
        model.fleet.write(worker)
        await model.submit("usual", (step(gpus=8),), 3.0)
        assert await model.wait_for_jobs(BOUNDS.finish)
        return len(start_times(model))

    assert run_virtual(play()) == 1
