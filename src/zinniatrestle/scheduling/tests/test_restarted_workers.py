"""A worker that starts anew under its id runs nothing twice."""

import asyncio

import pytest

from zinniatrestle.standins.checker import violations
from zinniatrestle.standins.model import Model, run_virtual, step


async def play(delay: float, seconds: float = 4.0) -> tuple[list[str], bool]:
    """Place work some time after a worker has started anew."""
    model = Model(1)
    await model.start(workers=2, rack=2)
    for worker in model.fleet.workers.values():
        model.fleet.restart(worker)
    await asyncio.sleep(delay)
    for _ in range(4):
        await model.submit("usual", (step(2, gpus=2),), seconds)
        await asyncio.sleep(0.03)
    settled = await model.settle(40.0)
    return violations(model), settled


@pytest.mark.parametrize("delay", [0.0, 0.05, 0.1, 0.15, 0.2, 0.25, 0.3, 0.4])
def test_a_start_that_reached_the_new_life_is_not_repeated_elsewhere(delay):
    assert run_virtual(play(delay)) == ([], True)


async def succession(delay: float) -> list[str]:
    """Let a successor take over work that went to a life its predecessor knew not."""
    model = Model(1)
    await model.start(workers=2, rack=2)
    for worker in model.fleet.workers.values():
        model.fleet.restart(worker)
    await model.submit("usual", (step(2, gpus=2),), 8.0)
    await asyncio.sleep(delay)
    await model.leader().kill()
    assert await model.settle(60.0)
    return violations(model)


@pytest.mark.parametrize("delay", [0.03, 0.05, 0.1, 0.2])
def test_a_successor_finds_what_runs_in_a_new_life(delay):
    assert run_virtual(succession(delay)) == []
