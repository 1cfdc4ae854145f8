"""Scenarios in which a job waits, on three racks of `WORKERS_IN_RACK` workers."""

import asyncio

from zinniatrestle.clock import monotonic
from zinniatrestle.ids import JobId, RunNumber, TaskId, WorkerId
from zinniatrestle.standins.model import Model, step
from zinniatrestle.standins.runs import OrderMode, SimulatedRun, TaskScript

WORKERS_IN_RACK = 4
# A worker of the first rack, and a run on it that no job has.
STRAY_WORKER = WorkerId("w0")
STRAY_TASK = TaskId("f" * 16 + ".0.0.0")


async def wait_beside_full_rack(model: Model) -> JobId:
    """Submit a job whose rack is full for a minute, beside two empty ones."""
    for _ in range(WORKERS_IN_RACK):
        shape = step(gpus=8, seconds=60.0, data_rack="rack-0")
        await model.submit("usual", (shape,), 60.0)
    await asyncio.sleep(1.0)
    shape = step(gpus=8, seconds=20.0, data_rack="rack-0")
    return await model.submit("usual", (shape,), 20.0)


async def wait_beside_lost_rack(model: Model) -> JobId:
    """Submit a gang whose rack has lost all but one of its workers."""
    for number in range(1, WORKERS_IN_RACK):
        lost = model.fleet.workers[f"w{number}"]
        model.fleet.crash(lost)
        model.fleet.remove(lost)
    await asyncio.sleep(model.bounds.max_hold + 1.0)
    shape = step(2, gpus=8, gang=True, seconds=20.0, data_rack="rack-0")
    return await model.submit("usual", (shape,), 20.0)


async def wait_behind_wide_gang(model: Model) -> JobId:
    """Submit a job that ranks behind a gang which waits for a run of a minute."""
    await model.submit("usual", (step(gpus=8, seconds=60.0),), 60.0)
    await asyncio.sleep(1.0)
    await model.submit(
        "usual", (step(3 * WORKERS_IN_RACK, gpus=8, gang=True, seconds=5.0),), 5.0
    )
    await asyncio.sleep(1.0)
    return await model.submit("patient", (step(seconds=90.0),), 90.0)


async def wait_for_unanswered_member(model: Model) -> JobId:
    """Submit a gang on all workers, one of which answers holds but no orders."""
    model.fleet.workers[STRAY_WORKER].order_mode = OrderMode.DROPPED
    shape = step(3 * WORKERS_IN_RACK, gpus=8, gang=True, seconds=5.0)
    return await model.submit("usual", (shape,), 5.0)


async def wait_for_unknown_run(model: Model) -> JobId:
    """Submit a gang that needs a worker with an unknown run that no order stops."""
    worker = model.fleet.workers[STRAY_WORKER]
    worker.order_mode = OrderMode.DROPPED
    script = TaskScript(seconds=60.0, steps=(step(seconds=60.0),))
    run = SimulatedRun(STRAY_TASK, RunNumber(1), script, monotonic())
    worker.running[STRAY_TASK] = run
    await asyncio.sleep(1.0)
    shape = step(3 * WORKERS_IN_RACK, gpus=8, gang=True, seconds=5.0)
    return await model.submit("usual", (shape,), 5.0)
