"""A successor repeats the runs of a worker that has left, and of no other one."""

import asyncio

import pytest
from common.history import start_events

from zinniatrestle.clock import monotonic
from zinniatrestle.deployment import Bounds
from zinniatrestle.ids import JobId
from zinniatrestle.standins.checker import violations
from zinniatrestle.standins.fleet import EXPIRY_HEARTBEATS
from zinniatrestle.standins.model import Model, run_virtual, step
from zinniatrestle.standins.runs import SimulatedWorker

BOUNDS = Bounds()
TASK_SECONDS = 6.0
# Time for a hold, a round and a start.
DETECTION_SECONDS = 2.0
POLL_SECONDS = 0.01


async def drain_worker_of_job(model: Model) -> tuple[JobId, SimulatedWorker]:
    """Return a job, and the worker of its only task, which drains."""
    await model.start(workers=4, rack=4)
    job = await model.submit("usual", (step(gpus=8),), TASK_SECONDS)
    while not start_events(model, job):
        await asyncio.sleep(POLL_SECONDS)
    (start,) = start_events(model, job)
    worker = model.fleet.workers[start.worker]
    model.fleet.drain(worker, TASK_SECONDS + 1.0)
    # The holder reads the entry and publishes it.
    await asyncio.sleep(DETECTION_SECONDS)
    return job, worker


async def lose_all_hosts(model: Model, seconds: float):
    for host in model.hosts:
        await host.kill()
    await asyncio.sleep(seconds)
    for host in model.hosts:
        host.start()


# Guards against a run that is repeated while its worker, which drains, still serves.
def test_run_goes_on_at_a_worker_whose_entry_was_removed_while_it_serves():
    async def play():
        model = Model(1, bounds=BOUNDS)
        job, worker = await drain_worker_of_job(model)
        worker.heartbeats = False
        model.fleet.remove(worker)
        await lose_all_hosts(model, 1.2)
        assert await model.wait_for_jobs(TASK_SECONDS)
        assert violations(model) == []
        return len(start_events(model, job))

    assert run_virtual(play()) == 1


# Guards against a run that is repeated within its lease (TWICE): its worker is cut off,
# and its entry has expired.
@pytest.mark.parametrize("outage", [1.2, 5.0])
def test_run_at_a_worker_without_contact_is_repeated_only_after_its_lease(outage):
    async def play():
        model = Model(1, bounds=BOUNDS)
        beating = asyncio.create_task(model.fleet.send_heartbeats(BOUNDS.heartbeat))
        job, worker = await drain_worker_of_job(model)
        worker.reachable = worker.heartbeats = False
        expiring = EXPIRY_HEARTBEATS * BOUNDS.heartbeat
        await asyncio.sleep(max(0.0, expiring - outage))
        await lose_all_hosts(model, outage)
        lost_at = monotonic() + worker.remaining_lease_seconds()
        assert await model.wait_for_jobs(60.0)
        beating.cancel()
        assert violations(model) == []
        _, repeated = start_events(model, job)
        return repeated.at - lost_at

    assert run_virtual(play()) >= 0.0


def test_only_draining_workers_with_tasks_are_handed_over():
    async def play():
        model = Model(1, bounds=BOUNDS)
        _, worker = await drain_worker_of_job(model)
        idle = next(
            other for other in model.fleet.workers.values() if other is not worker
        )
        model.fleet.drain(idle, 10.0)
        await asyncio.sleep(DETECTION_SECONDS)
        handover = model.leader().leadership.handover
        seen_at = handover.leaving[worker.entry.worker].written_after
        return worker.entry.worker, set(handover.leaving), seen_at

    worker, leaving, seen_at = run_virtual(play())
    assert leaving == {worker}
    assert seen_at > 0
