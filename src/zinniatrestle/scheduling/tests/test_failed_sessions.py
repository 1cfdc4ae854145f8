"""A part of a worker's session that fails leaves no task waiting without end."""

import asyncio

import pytest

from zinniatrestle.standins.host_orders import HostOrders
from zinniatrestle.standins.model import Model, run_virtual, step
from zinniatrestle.workers.messages import Refusal, RefusedOrderError


def fail_once(model: Model, order: str):
    """Let the next order of a kind fail with an error that no caller expects."""
    failed = []

    def wrap(orders: HostOrders):
        send = getattr(orders, order)

        async def send_or_fail(*args):
            if not failed:
                failed.append(order)
                raise RuntimeError("not expected")
            return await send(*args)

        setattr(orders, order, send_or_fail)

    for host in model.hosts:
        wrap(host.orders)


async def run_jobs_with_failing(order: str) -> bool:
    """Return whether a job ends after the job that fills its worker is cancelled."""
    model = Model(1)
    await model.start(workers=1, rack=1)
    fail_once(model, order)
    job = await model.submit("usual", (step(1, gpus=8),), 600.0)
    await asyncio.sleep(1.0)
    await model.cancel(job)
    await model.submit("usual", (step(1, gpus=8),), 1.0)
    return await model.wait_for_jobs(30.0)


# Guards against tasks assigned for ever to a worker whose session has failed in part.
@pytest.mark.parametrize("order", ["hold", "start", "stop"])
def test_jobs_end_after_an_order_fails_with_an_unexpected_error(order):
    assert run_virtual(run_jobs_with_failing(order))


# Guards against a host that was busy and takes its workers for lost.
def test_a_hold_that_was_not_permitted_does_not_make_a_worker_silent():
    async def play():
        model = Model(1)
        await model.start(workers=1, rack=1)
        await asyncio.sleep(1.0)
        (orders,) = [host.orders for host in model.hosts if host.leadership.is_holder]
        send = orders.hold
        refusals = [Refusal.NOT_ORDERED] * 3

        async def hold(*args):
            if refusals:
                raise RefusedOrderError(refusals.pop())
            return await send(*args)

        orders.hold = hold
        await asyncio.sleep(3.0)
        assert not refusals
        assert not [line for line in model.lines if line["event"] == "worker_silent"]

    run_virtual(play())
