"""Orders that get no answer are repeated, and never make a task run twice."""

import asyncio

import pytest

from zinniatrestle.scheduling.session import HOLD_WAIT_SECONDS, ORDER_TIMEOUTS_SECONDS
from zinniatrestle.standins.checker import violations
from zinniatrestle.standins.model import Model, run_virtual, step
from zinniatrestle.standins.runs import EventKind

# s; longer than the latest that an unanswered order is carried out.
LATEST_SECONDS = 15.0


def starts(model: Model) -> list:
    return [event for event in model.fleet.history if event.kind is EventKind.START]


async def gang_whose_first_starts_get_no_answer() -> Model:
    model = Model(1)
    await model.start(workers=4, rack=4)
    model.fleet.late = 1.0
    await model.submit("urgent", (step(3, gpus=8, gang=True),), 2.0)
    await asyncio.sleep(ORDER_TIMEOUTS_SECONDS[0] / 2)
    model.fleet.late = 0.0
    assert await model.settle(30.0)
    await asyncio.sleep(LATEST_SECONDS)
    return model


def test_a_gang_starts_although_its_first_orders_get_no_answer():
    model = run_virtual(gang_whose_first_starts_get_no_answer())
    assert {event.run for event in starts(model)} == {1}
    assert len(starts(model)) == 3
    (outcome,) = model.jobs.values()
    assert (
        outcome.completed_at - outcome.sent_at
        < 2.0 + 2 * ORDER_TIMEOUTS_SECONDS[0] + 0.5
    )
    assert violations(model) == []


def test_one_hold_without_an_answer_makes_no_worker_silent():
    async def play():
        model = Model(1)
        await model.start(workers=2, rack=2)
        await model.submit("usual", (step(2, gpus=8),), 6.0)
        await asyncio.sleep(2.0)
        for worker in model.fleet.workers.values():
            worker.reachable = False
        # A look of each worker falls into this time.
        await asyncio.sleep(HOLD_WAIT_SECONDS)
        for worker in model.fleet.workers.values():
            worker.reachable = True
        assert await model.settle(20.0)
        return [line["event"] for line in model.lines]

    assert "worker_silent" not in run_virtual(play())


async def stop_that_gets_no_answer() -> tuple[Model, float]:
    model = Model(1)
    await model.start(workers=1, rack=1)
    job = await model.submit("usual", (step(1),), 20.0)
    await asyncio.sleep(1.0)
    model.fleet.late = 1.0
    await model.cancel(job)
    cancelled_at = model.jobs[job].cancelled_at
    await asyncio.sleep(ORDER_TIMEOUTS_SECONDS[0] / 2)
    model.fleet.late = 0.0
    await asyncio.sleep(LATEST_SECONDS)
    ends = [event for event in model.fleet.history if event.kind is EventKind.END]
    return model, ends[0].at - cancelled_at


def test_a_stop_that_gets_no_answer_is_repeated_at_once():
    model, seconds = run_virtual(stop_that_gets_no_answer())
    assert seconds < model.bounds.stop + 2 * ORDER_TIMEOUTS_SECONDS[0]


@pytest.mark.parametrize("seconds", [1.0, 3.0, 6.0])
def test_a_start_that_stays_without_an_answer_runs_once(seconds):
    async def play():
        model = Model(2)
        await model.start(workers=4, rack=4)
        model.fleet.late = 1.0
        await model.submit("usual", (step(1),), 1.0)
        await asyncio.sleep(seconds)
        model.fleet.late = 0.0
        assert await model.settle(60.0)
        await asyncio.sleep(LATEST_SECONDS)
        return violations(model)

    assert run_virtual(play()) == []
