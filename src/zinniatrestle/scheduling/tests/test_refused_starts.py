"""Refused starts don't make a step wait again, or choose the same workers again."""

import asyncio
from unittest import mock

import pytest
from common.history import start_events

from zinniatrestle.clock import monotonic
from zinniatrestle.deployment import Bounds
from zinniatrestle.ids import JobId, WorkerId
from zinniatrestle.standins.checker import violations
from zinniatrestle.standins.host_orders import HostOrders
from zinniatrestle.standins.idle_waits import MAX_IDLE_SECONDS
from zinniatrestle.standins.model import Model, run_virtual, step
from zinniatrestle.standins.runs import EventKind
from zinniatrestle.workers.messages import Refusal, RefusedOrderError

BOUNDS = Bounds(stop=0.9)
RACK_SIZE = 4
NEXT_TASKS = 5
# Longer than a job may wait for preferred workers while the service is idle.
FIRST_SECONDS = 12.0
LONGEST_SECONDS = 60.0
POLL_SECONDS = 0.01


class RefusingWorkers:
    """Let the first `count` workers that are to start a task of a step refuse it."""

    def __init__(self, refusal: Refusal, count: int):
        self.refusal = refusal
        self.count = count
        self.step = "none"
        self.workers: set[WorkerId] = set()

    def refuse(self):
        """Return a replacement of the method that sends starts."""
        start = HostOrders.start

        async def start_or_refuse(orders, worker, order, timeout):
            if order.task.startswith(self.step):
                if len(self.workers) < self.count:
                    self.workers.add(worker.worker)
                if worker.worker in self.workers:
                    raise RefusedOrderError(self.refusal)
            return await start(orders, worker, order, timeout)

        return mock.patch.object(HostOrders, "start", start_or_refuse)


async def fill_rack(model: Model):
    """Occupy the first rack for longer than the test."""
    shape = step(gpus=8, seconds=100.0, data_rack="rack-0")
    for _ in range(RACK_SIZE):
        await model.submit("usual", (shape,), 100.0)
    await asyncio.sleep(0.5)


async def until_first_step_ends(model: Model, job: JobId):
    while True:
        for event in model.fleet.history:
            if event.kind is EventKind.END and event.task.startswith(job):
                return
        await asyncio.sleep(POLL_SECONDS)


async def wait_of_next_step(refusing: RefusingWorkers, gang: bool) -> float:
    """Return how long the second step of a job waits, with its rack in use.

    The other two racks are free, but for workers that refuse the step.
    """
    model = Model(1, bounds=BOUNDS)
    await model.start(workers=3 * RACK_SIZE, rack=RACK_SIZE)
    await fill_rack(model)
    following = step(
        NEXT_TASKS, after=(0,), gang=gang, seconds=20.0, data_rack="rack-0"
    )
    with refusing.refuse():
        first = step(seconds=FIRST_SECONDS)
        job = await model.submit("patient", (first, following), FIRST_SECONDS)
        refusing.step = f"{job}.0.1."
        await until_first_step_ends(model, job)
        ready_at = monotonic()
        while not start_events(model, refusing.step):
            assert monotonic() < ready_at + LONGEST_SECONDS
            await asyncio.sleep(POLL_SECONDS)
    assert len(refusing.workers) == refusing.count
    assert violations(model) == []
    return monotonic() - ready_at


@pytest.mark.parametrize("gang", [False, True])
def test_step_runs_away_from_its_data_within_the_bound(gang):
    refusing = RefusingWorkers(Refusal.UNHEALTHY, 0)
    assert run_virtual(wait_of_next_step(refusing, gang)) <= MAX_IDLE_SECONDS


# Guards against a wait for the rack of the data that begins anew with a refusal (LOST),
# and against steps that try the same workers by turns while others are free.
@pytest.mark.parametrize("gang", [False, True])
@pytest.mark.parametrize("count", [1, 2])
@pytest.mark.parametrize("refusal", [Refusal.UNHEALTHY, Refusal.NO_ROOM])
def test_refusals_do_not_extend_the_wait_of_a_step(refusal, count, gang):
    refusing = RefusingWorkers(refusal, count)
    assert run_virtual(wait_of_next_step(refusing, gang)) <= MAX_IDLE_SECONDS
