"""Simulated workers slow down work that is far from its data or its gang."""

import asyncio

import pytest

from zinniatrestle.clock import monotonic
from zinniatrestle.ids import Generation, JobId, RackId, RunNumber
from zinniatrestle.jobs.messages import Step, task_id
from zinniatrestle.standins.fleet import SimulatedFleet
from zinniatrestle.standins.model import run_virtual
from zinniatrestle.standins.rows import MemoryRows
from zinniatrestle.standins.runs import EventKind, TaskScript
from zinniatrestle.workers.messages import StartOrder

JOB = JobId("00000000000000aa")
FAR_FACTOR = 3.0


def run_seconds(shape: Step, racks: list[str]) -> float:
    """Return the run time of a 1 s step with one task on each of `racks`."""

    async def run_step():
        fleet = SimulatedFleet(MemoryRows(), far_factor=FAR_FACTOR)
        fleet_task = asyncio.create_task(fleet.run())
        script = TaskScript(seconds=1.0, steps=(shape,))
        for index, rack in enumerate(racks):
            worker = fleet.add(f"w{index}", rack)
            order = StartOrder(
                task_id(JOB, 0, 0, index),
                RunNumber(1),
                script.encoded(),
                60_000,
                Generation(1),
            )
            await fleet.start(worker.entry, order)
        started = monotonic()
        while not any(event.kind is EventKind.END for event in fleet.history):
            await asyncio.sleep(0.05)
        fleet_task.cancel()
        return monotonic() - started

    return run_virtual(run_step())


@pytest.mark.parametrize(
    "shape, racks, factor",
    [
        (Step(), ["r1"], 1.0),
        (Step(data_rack=RackId("r1")), ["r1"], 1.0),
        (Step(data_rack=RackId("r2")), ["r1"], FAR_FACTOR),
        (Step(count=2, gang=True, rack_bound=True), ["r1", "r1"], 1.0),
        (Step(count=2, gang=True, rack_bound=True), ["r1", "r2"], FAR_FACTOR),
        (Step(count=2, gang=True), ["r1", "r2"], 1.0),
    ],
)
def test_work_far_from_its_data_or_gang_is_slower(shape, racks, factor):
    assert run_seconds(shape, racks) == pytest.approx(factor, abs=0.15)
