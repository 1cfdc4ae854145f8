"""A worker that restarts under the same id does not cause a task to run twice."""

import asyncio
from unittest import mock

import msgspec
import pytest
from common.history import start_times

from zinniatrestle.clock import monotonic
from zinniatrestle.deployment import Bounds
from zinniatrestle.ids import InstanceId, RowName
from zinniatrestle.standins.checker import violations
from zinniatrestle.standins.fleet import WORKER_TABLE
from zinniatrestle.standins.model import Model, run_virtual, step

BOUNDS = Bounds()
# Time for a hold, a round and the start order.
DETECTION_SECONDS = 2.0


async def submit_after_restart(
    delay: float, seconds: float = 4.0
) -> tuple[list[str], bool]:
    """Submit jobs `delay` seconds after all workers have restarted."""
    model = Model(1)
    await model.start(workers=2, rack=2)
    for worker in model.fleet.workers.values():
        model.fleet.restart(worker)
    await asyncio.sleep(delay)
    for _ in range(4):
        await model.submit("usual", (step(2, gpus=2),), seconds)
        await asyncio.sleep(0.03)
    settled = await model.wait_for_jobs(40.0)
    return violations(model), settled


@pytest.mark.parametrize("delay", [0.0, 0.05, 0.1, 0.15, 0.2, 0.25, 0.3, 0.4])
def test_start_that_reached_new_instance_is_not_repeated_elsewhere(delay):
    assert run_virtual(submit_after_restart(delay)) == ([], True)


async def fail_over_after_restart(delay: float) -> list[str]:
    """Kill the leader after it sent starts to instances that it did not know of."""
    model = Model(1)
    await model.start(workers=2, rack=2)
    for worker in model.fleet.workers.values():
        model.fleet.restart(worker)
    await model.submit("usual", (step(2, gpus=2),), 8.0)
    await asyncio.sleep(delay)
    await model.leader().kill()
    assert await model.wait_for_jobs(60.0)
    return violations(model)


@pytest.mark.parametrize("delay", [0.03, 0.05, 0.1, 0.2])
def test_successor_finds_runs_of_new_instance(delay):
    assert run_virtual(fail_over_after_restart(delay)) == []


# Guards against the start of a part of a gang of which one reservation was released.
def test_reserved_gang_starts_whole_if_worker_of_member_restarts():
    async def play():
        model = Model(1, bounds=Bounds(stop=0.9))
        await model.start(workers=3, rack=3)
        await model.submit("patient", (step(3, gpus=8),), 30.0)
        await asyncio.sleep(1.0)
        await model.submit("urgent", (step(3, gpus=8, gang=True),), 2.0)
        while not any(line["event"] == "run_preempted" for line in model.lines):
            await asyncio.sleep(0.05)
        model.fleet.restart(model.fleet.workers["w0"])
        assert await model.wait_for_jobs(90.0)
        return violations(model)

    assert run_virtual(play()) == []


# Guards against a worker that is never used again if its clock was set back.
def test_worker_that_restarts_with_an_earlier_instance_number_is_used_again():
    async def play():
        model = Model(1)
        await model.start(workers=1, rack=1)
        worker = model.fleet.workers["w0"]
        earlier = InstanceId(worker.entry.instance - 1000)
        with mock.patch(
            "zinniatrestle.standins.fleet.wall_time", lambda: earlier / 1000
        ):
            model.fleet.restart(worker)
        await asyncio.sleep(5.0)
        await model.submit("usual", (step(1),), 1.0)
        return await model.wait_for_jobs(15.0)

    assert run_virtual(play())


# Guards against runs that count as lost before their leases at the worker have expired.
def test_run_at_new_instance_that_is_cut_off_is_not_repeated_within_its_lease():
    async def play():
        model = Model(1)
        await model.start(workers=2, rack=2)
        await model.submit("usual", (step(1, gpus=8),), 20.0)
        await asyncio.sleep(1.0)
        (idle,) = [
            worker for worker in model.fleet.workers.values() if not worker.running
        ]
        model.fleet.restart(idle)
        await model.submit("usual", (step(1, gpus=8),), 8.0)
        while not idle.running:
            await asyncio.sleep(0.01)
        idle.reachable = False
        model.fleet.add("w9", "rack-0", "a")
        await asyncio.sleep(2.5)
        idle.reachable = True
        assert await model.wait_for_jobs(40.0)
        return violations(model)

    assert run_virtual(play()) == []


# Guards against a wait for the longest lease at a worker that answers and runs nothing.
@pytest.mark.parametrize("clock_lag", [-30.0, 0.0, 30.0])
def test_successor_repeats_the_runs_of_an_instance_that_was_restarted(clock_lag):
    async def play():
        model = Model(1)
        await model.start(workers=2, rack=2)
        await model.submit("usual", (step(2, gpus=8, gang=True),), 8.0)
        await asyncio.sleep(1.0)
        await model.leader().kill()
        killed_at = monotonic()
        model.fleet.restart(model.fleet.workers["w0"], clock_lag)
        assert await model.wait_for_jobs(40.0)
        assert violations(model) == []
        return min(at for at in start_times(model) if at > killed_at) - killed_at

    assert run_virtual(play()) <= BOUNDS.lease + DETECTION_SECONDS


# Guards against a late entry of an ended instance that ends the session with the one
# that answers, whose number is lower since its clock was set back.
def test_late_entry_of_an_ended_instance_does_not_end_the_one_that_answers():
    async def play():
        model = Model(1)
        await model.start(workers=4, rack=4)
        worker = model.fleet.workers["w0"]
        ended = worker.entry
        model.fleet.restart(worker, clock_lag=30.0)
        await asyncio.sleep(DETECTION_SECONDS)
        for _ in range(3):
            await model.submit("usual", (step(gpus=8),), 8.0)
        await asyncio.sleep(DETECTION_SECONDS)
        assert worker.running
        name = RowName(worker.entry.worker)
        model.rows.put(WORKER_TABLE, name, msgspec.msgpack.encode(ended))
        await asyncio.sleep(BOUNDS.heartbeat)
        model.fleet.write(worker)
        assert await model.wait_for_jobs(BOUNDS.finish)
        return violations(model)

    assert run_virtual(play()) == []


# Guards against done tasks that run again, as a new instance forgot their ends on the
# acknowledgement of the former one's (TWICE).
@pytest.mark.parametrize("dark_seconds", [0.05, 0.2, 0.5, 1.0])
@pytest.mark.parametrize("latency_factor", [1.0, 40.0])
def test_ends_of_a_new_instance_are_not_acknowledged_unread(
    dark_seconds, latency_factor
):
    async def play():
        model = Model(1)
        await model.start(workers=2, rack=2)
        submitting = asyncio.create_task(submit_short_tasks(model))
        await asyncio.sleep(3.0)
        for host in model.hosts:
            host.store.latency_factor = latency_factor
        for worker in model.fleet.workers.values():
            model.fleet.crash(worker)
            worker.reachable = worker.heartbeats = False
            await asyncio.sleep(dark_seconds)
            worker.reachable = True
            model.fleet.restart(worker)
            await asyncio.sleep(3.0)
            worker.heartbeats = True
            model.fleet.write(worker)
        submitting.cancel()
        assert await model.wait_for_jobs(40.0)
        return violations(model)

    assert run_virtual(play()) == []


async def submit_short_tasks(model: Model):
    submissions = set()
    while True:
        await asyncio.sleep(0.05)
        submission = model.submit("usual", (step(gpus=1),), 0.1)
        submissions.add(asyncio.create_task(submission))
