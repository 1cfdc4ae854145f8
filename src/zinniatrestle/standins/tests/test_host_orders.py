"""Orders to stand-in workers are refused, lost or left without an answer."""

import asyncio
import math

import pytest

from zinniatrestle.clock import monotonic
from zinniatrestle.ids import BootSeconds, Generation, JobId, RunNumber
from zinniatrestle.jobs.messages import task_id
from zinniatrestle.standins.fleet import SimulatedFleet
from zinniatrestle.standins.host_orders import HostOrders
from zinniatrestle.standins.model import run_virtual
from zinniatrestle.standins.rows import MemoryRows
from zinniatrestle.standins.runs import FleetTraits, TaskScript
from zinniatrestle.workers.messages import (
    Acknowledgement,
    Refusal,
    RefusedOrderError,
    StartOrder,
    UnansweredOrderError,
)

TASK = task_id(JobId("00000000000000aa"), 0, 0, 0)
GENERATION = Generation(1)
WAIT_SECONDS = 0.7
TIMEOUT_SECONDS = 0.4


class Link:
    """The orders of one host to one worker."""

    def __init__(self, traits: FleetTraits | None = None):
        self.fleet = SimulatedFleet(MemoryRows(), traits=traits)
        self.worker = self.fleet.add("w1")
        self.orders = HostOrders(self.fleet, "host")

    async def hold(self, acknowledged_end: int = 0):
        """Hold the worker and return its answer."""
        return await self.orders.hold(
            self.worker.entry,
            GENERATION,
            Acknowledgement(acknowledged_end, BootSeconds(math.inf)),
            None,
            WAIT_SECONDS,
            TIMEOUT_SECONDS,
        )

    async def start(self):
        """Start a run at the worker."""
        spec = TaskScript().encoded()
        order = StartOrder(TASK, RunNumber(1), spec, 60_000, GENERATION)
        await self.orders.start(self.worker.entry, order, TIMEOUT_SECONDS)


def test_a_crashed_worker_refuses_holds_and_one_without_power_doesn_t_answer():
    async def hold_lost_workers():
        crashed, dark = Link(), Link()
        crashed.fleet.crash(crashed.worker)
        with pytest.raises(RefusedOrderError) as refused:
            await crashed.hold()
        dark.fleet.cut_power(dark.worker)
        asked_at = monotonic()
        with pytest.raises(UnansweredOrderError):
            await dark.hold()
        waited = monotonic() - asked_at
        dark.fleet.restart(dark.worker)
        await dark.hold()
        return refused.value.refusal, waited

    refusal, waited = run_virtual(hold_lost_workers())
    assert refusal is Refusal.NOT_LISTENING
    assert waited == pytest.approx(WAIT_SECONDS + TIMEOUT_SECONDS)


def test_a_worker_whose_answers_are_lost_carries_orders_out():
    async def order_without_answers():
        link = Link()
        link.worker.answers_lost = True
        with pytest.raises(UnansweredOrderError):
            await link.start()
        assert TASK in link.worker.running
        await link.fleet.stop(link.worker.entry, TASK, RunNumber(1), GENERATION)
        with pytest.raises(UnansweredOrderError):
            await link.hold(acknowledged_end=1)
        return link.worker.ended

    assert run_virtual(order_without_answers()) == []


def test_a_share_of_the_connections_is_reset():
    async def count_answers():
        link = Link()
        link.worker.reset_share = 0.5
        answered = 0
        for _ in range(100):
            try:
                await link.hold()
            except UnansweredOrderError:
                continue
            answered += 1
        return answered

    assert 10 < run_virtual(count_answers()) < 40


def test_messages_with_extra_delays_overtake_each_other():
    async def answers_in_order():
        link = Link(FleetTraits(max_extra_delay=0.1))
        answered: list[int] = []

        async def hold(number: int):
            await link.start()
            answered.append(number)

        async with asyncio.TaskGroup() as group:
            for number in range(20):
                group.create_task(hold(number))
        return answered

    answered = run_virtual(answers_in_order())
    assert answered != sorted(answered)
