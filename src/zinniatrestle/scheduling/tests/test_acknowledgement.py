"""Ends of runs are acknowledged only after what they changed is stored."""

import asyncio

import pytest

from zinniatrestle.standins.model import Model, run_virtual, step
from zinniatrestle.standins.rows import Reachability
from zinniatrestle.standins.runs import EventKind

RUN_SECONDS = 2.0
# A write takes about half a second.
SLOW_STORE_FACTOR = 40.0


# Guards against a gang that runs again: its end was acknowledged, but not stored.
@pytest.mark.parametrize("more_steps", [False, True])
def test_no_end_of_a_gang_is_acknowledged_while_the_store_is_unreachable(more_steps):
    async def play():
        model = Model(1)
        await model.start(workers=3, rack=3)
        shapes = [step(3, gpus=8, gang=True, seconds=RUN_SECONDS)]
        if more_steps:
            shapes.append(step(after=(0,), seconds=RUN_SECONDS))
        await model.submit("usual", tuple(shapes), RUN_SECONDS)
        await asyncio.sleep(RUN_SECONDS / 2)
        for host in model.hosts:
            host.store.reachability = Reachability.SILENT
        await asyncio.sleep(RUN_SECONDS)
        kinds = [event.kind for event in model.fleet.history]
        for host in model.hosts:
            host.store.reachability = Reachability.SERVED
        assert await model.wait_for_jobs(30.0)
        return kinds

    kinds = run_virtual(play())
    assert kinds.count(EventKind.END) == 3
    assert EventKind.ACKNOWLEDGED not in kinds


# Guards against a gang that runs again, as its job was dropped before it was stored.
def test_no_end_of_a_gang_is_acknowledged_if_it_ended_during_a_write_of_its_job():
    async def play():
        model = Model(1)
        await model.start(workers=3, rack=3)
        for host in model.hosts:
            host.store.latency_factor = SLOW_STORE_FACTOR
        fast, late = model.fleet.workers["w2"], model.fleet.workers["w1"]
        # The end of its task is being written when the gang ends.
        fast.speed = 1.1
        shapes = (step(2, gpus=8, gang=True), step(gpus=8))
        job = await model.submit("usual", shapes, 2 * RUN_SECONDS)
        history = model.fleet.history
        while not any(event.kind is EventKind.END for event in history):
            await asyncio.sleep(0.01)
        # Its end is reported when the other member's has ended the gang.
        late.reachable = False
        while len([event for event in history if event.kind is EventKind.END]) < 3:
            await asyncio.sleep(0.01)
        await asyncio.sleep(0.05)
        late.reachable = True
        while not model.has_ended(job):
            await asyncio.sleep(0.005)
        return {
            event.worker for event in history if event.kind is EventKind.ACKNOWLEDGED
        }

    assert run_virtual(play()) == {"w2"}
