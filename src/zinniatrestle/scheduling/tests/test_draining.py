"""Workers taken away at short notice: what they would cut off moves in time."""

import asyncio

import pytest
from common.scheduling import NOW, constraints, first_step, job, racks, run_on

from zinniatrestle.deployment import Bounds
from zinniatrestle.jobs.messages import Step
from zinniatrestle.scheduling.draining import interrupted_tasks, should_move
from zinniatrestle.scheduling.durations import Durations
from zinniatrestle.scheduling.forecast import Forecast
from zinniatrestle.standins.checker import violations
from zinniatrestle.standins.model import Model, run_virtual, step
from zinniatrestle.standins.runs import EventKind

BOUNDS = Bounds()


def leaving(shape: Step, seconds: float, others: int = 2):
    """Return a run on a worker that leaves, that worker, and the others."""
    workers = racks(1, size=1 + others)
    task = first_step(job("1" * 16, shape)).tasks[0]
    run_on(task, workers[0])
    workers[0].drain_deadline = NOW + seconds
    return task, workers


@pytest.mark.parametrize(
    "seconds_needed, notice, is_cut_off",
    [(1.0, 2.0, False), (1.9, 2.0, True), (5.0, 2.0, True)],
)
def test_what_can_still_end_stays(seconds_needed, notice, is_cut_off):
    shape = Step(gpus=1, estimated_ms=int(seconds_needed * 1000))
    task, workers = leaving(shape, notice)
    found = interrupted_tasks(workers[0], Forecast(Durations(), NOW))
    assert found == ([task] if is_cut_off else [])


def test_what_lasts_never_stays():
    task, workers = leaving(Step(gpus=1, long_running=True), 60.0)
    assert interrupted_tasks(workers[0], Forecast(Durations(), NOW)) == [task]


@pytest.mark.parametrize(
    "checkpointing, left, room_elsewhere, moves",
    [
        (False, 5.0, True, True),
        (False, 5.0, False, True),
        (True, 5.0, True, True),
        (True, 5.0, False, False),
        (True, 0.5, False, True),
    ],
)
def test_when_work_moves(checkpointing, left, room_elsewhere, moves):
    shape = Step(gpus=8, estimated_ms=60_000, checkpointing=checkpointing)
    task, workers = leaving(shape, left)
    if not room_elsewhere:
        for number, other in enumerate(workers[1:]):
            run_on(first_step(job(f"{number + 2}" * 16, shape)).tasks[0], other)
    assert should_move(task, workers[1:], constraints(), BOUNDS, NOW) is moves


def test_a_successor_moves_work_off_a_worker_that_was_leaving_already():
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


def test_a_gang_runs_elsewhere_before_the_worker_of_a_member_is_gone():
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
        assert await model.settle(60.0)
        assert violations(model) == []
        starts = [e.at for e in model.fleet.history if e.kind is EventKind.START]
        return max(starts) - noticed_at

    # A notice, a stop and a round, long before the worker's lease runs out.
    assert run_virtual(play()) < 2.0
