"""A step with reserved workers uses others that come free before them."""

import asyncio

import pytest
from common.history import start_times

from zinniatrestle.clock import monotonic
from zinniatrestle.deployment import Bounds
from zinniatrestle.standins.checker import violations
from zinniatrestle.standins.model import Model, run_virtual, step
from zinniatrestle.standins.runs import OrderMode

# Longer than reservations last.
STOP_SECONDS = 10.0
# Time for a new instance to join, a round and the start order.
DETECTION_SECONDS = 1.0


def preempted_workers(model: Model) -> set[str]:
    return {line["worker"] for line in model.lines if line["event"] == "run_preempted"}


# Guards against an urgent step that waits for a late stop while other workers are idle.
@pytest.mark.parametrize("gang", [False, True])
def test_a_step_does_not_wait_for_its_reserved_workers_while_others_are_free(gang):
    async def play():
        model = Model(1)
        await model.start(workers=6, rack=6)
        for _ in model.fleet.workers:
            await model.submit("patient", (step(gpus=8),), 60.0)
        await asyncio.sleep(1.0)
        model.fleet.stop_seconds = STOP_SECONDS
        urgent = await model.submit("urgent", (step(2, gpus=8, gang=gang),), 1.0)
        while not preempted_workers(model):
            await asyncio.sleep(0.05)
        freed_at = monotonic()
        for name, worker in model.fleet.workers.items():
            if name not in preempted_workers(model):
                model.fleet.restart(worker)
        await asyncio.sleep(STOP_SECONDS)
        assert violations(model) == []
        starts = start_times(model, urgent)
        assert len(starts) == 2
        return max(starts) - freed_at

    assert run_virtual(play()) <= DETECTION_SECONDS


# Guards against an urgent step that is reserved again and again beside the same run,
# whose stops get no answer, while other runs could be preempted.
def test_a_step_preempts_another_run_if_the_first_one_is_not_stopped():
    async def play():
        model = Model(1)
        await model.start(workers=4, rack=4)
        for _ in model.fleet.workers:
            await model.submit("patient", (step(gpus=8),), 60.0)
        await asyncio.sleep(1.0)
        for name in ("w0", "w1", "w2"):
            model.fleet.workers[name].order_mode = OrderMode.DROPPED
        urgent = await model.submit("urgent", (step(gpus=8),), 1.0)
        sent_at = monotonic()
        while not model.has_ended(urgent) and monotonic() < sent_at + 40.0:
            # RECLAIM doesn't hold while workers answer no orders.
            model.disturbance_times.append(monotonic())
            await asyncio.sleep(0.5)
        assert preempted_workers(model) & {"w0", "w1", "w2"}
        assert violations(model) == []
        return monotonic() - sent_at

    assert run_virtual(play()) <= Bounds().finish
