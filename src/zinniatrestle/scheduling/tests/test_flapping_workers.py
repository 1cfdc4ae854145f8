"""A job doesn't wait for long for workers that answer only a few calls."""

import asyncio
from unittest import mock

import pytest

from zinniatrestle.clock import monotonic
from zinniatrestle.deployment import Bounds
from zinniatrestle.standins.host_orders import HostOrders
from zinniatrestle.standins.model import Model, run_virtual, step
from zinniatrestle.workers.messages import UnansweredOrderError

BOUNDS = Bounds()
# Share of the calls that a flapping worker leaves without an answer.
LOST_SHARE = 0.8
RUN_SECONDS = 3.0
# Pause between two jobs, in which flapping workers become silent and answer again.
MAX_PAUSE_SECONDS = 4.0
JOBS = 3


# Guards against a gang that waits for orders to one flapping worker after another.
@pytest.mark.parametrize("seed", [5, 12, 16])
def test_gang_starts_in_time_beside_flapping_workers(seed):
    async def play():
        model = Model(seed)
        await model.start(workers=12, rack=6)
        flapping = set(list(model.fleet.workers)[:4])
        cross_network = HostOrders._cross_network

        async def cross_or_lose(orders, worker, timeout):
            is_flapping = worker.worker in flapping
            if is_flapping and model.fleet.random.random() < LOST_SHARE:
                await asyncio.sleep(orders.delay)
                raise UnansweredOrderError("The connection was reset.")
            await cross_network(orders, worker, timeout)

        delays = []
        with mock.patch.object(HostOrders, "_cross_network", cross_or_lose):
            for _ in range(JOBS):
                await asyncio.sleep(model.fleet.random.random() * MAX_PAUSE_SECONDS)
                # The other workers could hold the gang twice.
                shape = step(4, gpus=8, gang=True)
                await model.submit("usual", (shape,), RUN_SECONDS)
                sent_at = monotonic()
                assert await model.wait_for_jobs(60.0)
                delays.append(monotonic() - sent_at - RUN_SECONDS)
        return delays

    assert max(run_virtual(play())) <= BOUNDS.finish
