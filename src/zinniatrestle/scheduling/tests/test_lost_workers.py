"""What ran on a lost worker runs elsewhere, and never before it must have ended."""

import asyncio

import pytest

from zinniatrestle.clock import monotonic
from zinniatrestle.scheduling.session import HOLD_SHARE
from zinniatrestle.standins.checker import violations
from zinniatrestle.standins.model import Model, run_virtual, step
from zinniatrestle.standins.runs import EventKind

# s; noticing the loss, and a round.
NOTICE_SECONDS = 3.0


async def placed_worker(model: Model):
    while not model.fleet.history:
        await asyncio.sleep(0.05)
    return model.fleet.workers[model.fleet.history[0].worker]


async def lose_worker(lose) -> tuple[Model, float]:
    model = Model(1)
    await model.start(workers=4, rack=4)
    await model.submit("usual", (step(1),), 4.0)
    worker = await placed_worker(model)
    await asyncio.sleep(1.0)
    lost_at = monotonic()
    await lose(model, worker)
    assert await model.settle(60.0)
    assert violations(model) == []
    starts = [event for event in model.fleet.history if event.kind is EventKind.START]
    return model, starts[-1].at - lost_at


async def vanish(model, worker):
    worker.reachable = False
    model.fleet.crash(worker)
    model.fleet.remove(worker)


async def cut_for_good(model, worker):
    worker.reachable = False


async def leave(model, worker):
    model.fleet.drain(worker, 1.0)
    await asyncio.sleep(1.2)
    worker.reachable = False
    model.fleet.crash(worker)
    model.fleet.remove(worker)


async def start_anew(model, worker):
    model.fleet.crash(worker)
    model.fleet.restart(worker)


def test_a_gang_is_redone_at_once_if_its_breaking_shows_which_worker_is_lost():
    async def play():
        model = Model(1)
        await model.start(workers=6, rack=6)
        await model.submit("usual", (step(3, gpus=8, gang=True),), 8.0)
        await asyncio.sleep(2.0)
        worker = next(w for w in model.fleet.workers.values() if w.running)
        lost_at = monotonic()
        worker.reachable = False
        model.fleet.crash(worker)
        assert await model.settle(60.0)
        assert violations(model) == []
        starts = [e.at for e in model.fleet.history if e.kind is EventKind.START]
        return max(starts) - lost_at

    assert run_virtual(play()) < NOTICE_SECONDS


@pytest.mark.parametrize("lose", [vanish, cut_for_good])
def test_work_on_a_silent_worker_is_redone_once_its_lease_has_run_out(lose):
    model, delay = run_virtual(lose_worker(lose))
    hold = model.bounds.max_hold * HOLD_SHARE
    assert delay <= hold / 0.98 + NOTICE_SECONDS


def test_work_on_a_worker_that_has_left_is_redone_at_once():
    _, delay = run_virtual(lose_worker(leave))
    assert delay <= 1.2 + NOTICE_SECONDS


def test_work_on_a_worker_that_started_anew_is_redone_at_once():
    _, delay = run_virtual(lose_worker(start_anew))
    assert delay <= NOTICE_SECONDS
