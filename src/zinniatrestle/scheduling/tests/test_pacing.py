"""Best-effort tasks are throttled before they harm the latency of serving tasks."""

import asyncio

import pytest
from common.scheduling import NOW, first_step, job, run_on, worker

from zinniatrestle.jobs.messages import Step
from zinniatrestle.scheduling.pacing import PaceController
from zinniatrestle.standins.model import Model, run_virtual, step
from zinniatrestle.standins.runs import OrderMode

TARGET_MS = 100


def worker_with_tasks(pace=100):
    shared = worker("w")
    serving_step = first_step(job("1" * 16, Step(long_running=True, target_ms=100)))
    best_effort_step = first_step(job("2" * 16, Step(best_effort=True)))
    serving = run_on(serving_step.tasks[0], shared)
    best_effort = run_on(best_effort_step.tasks[0], shared)
    best_effort.pace = pace
    return shared, serving, best_effort


@pytest.mark.parametrize(
    "tail_ms, pace, expected",
    [
        (120, 100, 0),
        (80, 100, 40),
        (60, 100, None),
        (20, 40, 60),
        (20, 100, None),
        (120, None, 0),
        (80, None, 0),
        (60, None, None),
        (20, None, 20),
    ],
)
def test_the_pace_follows_the_worst_tail_latency(tail_ms, pace, expected):
    shared, serving, best_effort = worker_with_tasks(pace)
    paces = PaceController().choose_paces(shared, {serving: tail_ms}, NOW)
    assert paces.get(best_effort) == expected


def test_an_unknown_pace_becomes_full_where_nothing_serves():
    alone = worker("w")
    step = first_step(job("2" * 16, Step(best_effort=True)))
    best_effort = run_on(step.tasks[0], alone)
    best_effort.pace = None
    assert PaceController().choose_paces(alone, {}, NOW) == {best_effort: 100}


def test_the_pace_is_raised_at_intervals():
    shared, serving, best_effort = worker_with_tasks(0)
    controller = PaceController()
    best_effort.pace = controller.choose_paces(shared, {serving: 10}, NOW)[best_effort]
    assert controller.choose_paces(shared, {serving: 10}, NOW + 0.5) == {}
    assert (
        controller.choose_paces(shared, {serving: 10}, NOW + 2.0)[best_effort]
        > best_effort.pace
    )


async def share_a_worker(model, filler_seconds=4.0):
    """Run a serving task and one at best effort on one worker; return both runs."""
    await model.start(workers=1, rack=1)
    serving_step = step(1, long_running=True, target_ms=TARGET_MS)
    serving = await model.submit("usual", (serving_step,), 600.0)
    filler_step = step(1, gpus=0, best_effort=True)
    filler = await model.submit("patient", (filler_step,), filler_seconds)
    (shared,) = model.fleet.workers.values()
    while len(shared.running) < 2:
        await asyncio.sleep(0.02)
    return shared, shared.running[f"{serving}.0.0.0"], shared.running[f"{filler}.0.0.0"]


# Guards against a run that its successor takes to work at full speed and never speeds
# up again.
def test_a_successor_speeds_up_what_its_predecessor_had_suspended():
    async def check():
        model = Model(1, hosts=2)
        shared, _, filler = await share_a_worker(model)
        shared.tail_ms = 2.0 * TARGET_MS
        while filler.pace > 0:
            await asyncio.sleep(0.02)
        await model.leader().kill()
        shared.tail_ms = 0.1 * TARGET_MS
        await asyncio.sleep(30.0)
        assert filler.task not in shared.running

    run_virtual(check())


def test_a_successor_keeps_suspended_what_would_harm_a_serving_task():
    async def check():
        model = Model(1, hosts=2)
        shared, _, filler = await share_a_worker(model)
        shared.tail_ms = 2.0 * TARGET_MS
        while filler.pace > 0:
            await asyncio.sleep(0.02)
        await model.leader().kill()
        shared.tail_ms = 0.9 * TARGET_MS
        await asyncio.sleep(10.0)
        assert filler.pace == 0

    run_virtual(check())


# Guards against harm by a run that counts as suspended, though the order was lost.
def test_a_suspension_whose_order_got_no_answer_is_ordered_again():
    async def check():
        model = Model(1, hosts=2)
        shared, _, filler = await share_a_worker(model, filler_seconds=60.0)
        shared.order_mode = OrderMode.DROPPED
        shared.tail_ms = 2.0 * TARGET_MS
        await asyncio.sleep(2.0)
        assert filler.pace == 100
        shared.order_mode = OrderMode.ANSWERED
        await asyncio.sleep(3.0)
        assert filler.pace == 0

    run_virtual(check())
