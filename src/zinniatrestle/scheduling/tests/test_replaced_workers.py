"""A start that a worker received but never reported is repeated once it can't run."""

import asyncio
from unittest import mock

import msgspec
import pytest
from common.history import start_times

from zinniatrestle.clock import monotonic
from zinniatrestle.deployment import Bounds
from zinniatrestle.ids import RunNumber, TaskId
from zinniatrestle.scheduling.fleet import MIN_EXPIRY_HEARTBEATS
from zinniatrestle.standins.checker import violations
from zinniatrestle.standins.model import Model, run_virtual, step
from zinniatrestle.standins.runs import SimulatedWorker, TaskScript
from zinniatrestle.workers.lease import MIN_CLOCK_RATE
from zinniatrestle.workers.messages import StartOrder

BOUNDS = Bounds()
# Time for a hold, a round and the start order.
DETECTION_SECONDS = 2.0
BUSY_SECONDS = 4.0


async def place_on_unreachable_worker(model: Model) -> str:
    """Submit a task that is placed on w0, which gets the start and reports nothing."""
    await model.start(workers=2, rack=2)
    await model.submit("usual", (step(gpus=8),), BUSY_SECONDS)
    await asyncio.sleep(0.5)
    (busy,) = {event.worker for event in model.fleet.history}
    for name, worker in model.fleet.workers.items():
        worker.reachable = name == busy
    return await model.submit("usual", (step(gpus=8),), 1.0)


async def lose_start(model: Model) -> tuple[str, SimulatedWorker]:
    """Return a job of which the start was lost, and its worker, the one cut off."""
    job = await place_on_unreachable_worker(model)
    await asyncio.sleep(BUSY_SECONDS)
    workers = model.fleet.workers.values()
    (lost,) = [worker for worker in workers if not worker.reachable]
    return job, lost


def first_start(model: Model, job: str) -> float:
    found = start_times(model, job)
    assert found, f"job {job} was never started"
    return found[0]


# Guards against a task that stays assigned to a replaced worker for the longest lease.
def test_run_is_repeated_at_once_if_another_worker_answers_at_the_address():
    async def play():
        model = Model(1)
        job, lost = await lose_start(model)
        replaced_at = monotonic()
        model.fleet.replace(lost, "w9")
        lost.reachable = True
        assert await model.wait_for_jobs(30.0)
        assert violations(model) == []
        return first_start(model, job) - replaced_at

    assert run_virtual(play()) <= DETECTION_SECONDS


async def restart_behind_partition(model: Model, cpu: int | None = None) -> str:
    """Restart the worker of a lost start, which can't write its entry meanwhile."""
    job, lost = await lose_start(model)
    with mock.patch.object(model.fleet, "write"):
        model.fleet.restart(lost)
    if cpu is not None:
        lost.entry = msgspec.structs.replace(lost.entry, cpu=cpu)
    lost.reachable = True
    return job


# Guards against a wait for the longest lease while a new instance of a worker answers.
def test_run_is_repeated_once_a_new_instance_without_a_registry_entry_answers():
    async def play():
        model = Model(1)
        job = await restart_behind_partition(model)
        replaced_at = monotonic()
        assert await model.wait_for_jobs(30.0)
        assert violations(model) == []
        return first_start(model, job) - replaced_at

    assert run_virtual(play()) <= 2 * DETECTION_SECONDS


# Guards against tasks on an instance of which only the former one's entry is known.
def test_new_instance_gets_tasks_by_its_own_entry_only():
    async def play():
        model = Model(1)
        await restart_behind_partition(model, cpu=4_000)
        workers = model.fleet.workers.values()
        (changed,) = [worker for worker in workers if worker.entry.cpu == 4_000]
        await asyncio.sleep(2 * DETECTION_SECONDS)
        # The other worker holds one of them.
        await model.submit("usual", (step(2, cpu=20_000, gpus=0),), 30.0)
        await asyncio.sleep(DETECTION_SECONDS)
        assert not changed.running
        model.fleet.write(changed)
        await model.submit("usual", (step(4, cpu=2_000, gpus=4),), 30.0)
        await asyncio.sleep(DETECTION_SECONDS)
        return len(changed.running)

    assert run_virtual(play()) == 2


# Guards against a wait that begins anew with each reading of an old registry entry.
def test_stale_registry_entries_do_not_extend_the_wait_for_a_replaced_instance():
    async def play():
        model = Model(1)
        job, lost = await lose_start(model)
        old_entry = lost.entry
        model.fleet.restart(lost)
        replaced_at = monotonic()
        model.fleet.remove(lost)
        lost.reachable = True
        new_entry = lost.entry
        while monotonic() < replaced_at + 2 * BOUNDS.max_hold:
            # The registry still has the entry of the old instance.
            sequence = old_entry.sequence + 1
            old_entry = msgspec.structs.replace(old_entry, sequence=sequence)
            lost.entry = old_entry
            model.fleet.write(lost)
            lost.entry = new_entry
            await asyncio.sleep(1.0)
        assert violations(model) == []
        return first_start(model, job) - replaced_at

    limit = BOUNDS.max_hold / MIN_CLOCK_RATE + DETECTION_SECONDS
    assert run_virtual(play()) <= limit + MIN_EXPIRY_HEARTBEATS * BOUNDS.heartbeat


# Guards against a wait that begins anew with each instance that can't be reached.
def test_unreachable_instances_of_one_worker_do_not_extend_the_wait_for_its_run():
    async def play():
        model = Model(1)
        job, lost = await lose_start(model)
        replaced_at = monotonic()
        while monotonic() < replaced_at + 2 * BOUNDS.max_hold:
            model.fleet.restart(lost)
            await asyncio.sleep(3.0)
        assert violations(model) == []
        return first_start(model, job) - replaced_at

    limit = BOUNDS.max_hold / MIN_CLOCK_RATE + DETECTION_SECONDS
    assert run_virtual(play()) <= limit < BOUNDS.finish


# Guards against a second run beside one that a late start has begun in a new instance.
def test_run_in_an_unreachable_new_instance_is_not_repeated_before_its_lease_ends():
    async def play():
        model = Model(1)
        job, lost = await lose_start(model)
        model.fleet.restart(lost)
        order = StartOrder(
            task=TaskId(f"{job}.0.0.0"),
            run=RunNumber(1),
            spec=TaskScript(seconds=30.0).encoded(),
            deadline_ms=lost.clock_ms() + int(BOUNDS.max_hold * 1000),
            generation=model.leader().leadership.generation,
        )
        await model.fleet.start(lost.entry, order)
        await asyncio.sleep(2 * BOUNDS.max_hold)
        assert len(start_times(model, job)) > 1
        return violations(model)

    assert run_virtual(play()) == []


# Guards against a repeated run while a lease goes on that was meant for the instance
# before.
def test_run_is_not_repeated_within_a_lease_that_the_former_session_extended():
    async def play():
        model = Model(1)
        await model.start(workers=2, rack=1)
        # By then deadlines on the clock of the instance are far ahead on a new one's.
        await asyncio.sleep(BOUNDS.max_hold)
        worker = model.fleet.workers["w0"]
        model.fleet.crash(worker)
        await asyncio.sleep(BOUNDS.heartbeat)
        # The session with the former instance finds the new one before its entry.
        with mock.patch.object(model.fleet, "write"):
            model.fleet.restart(worker)
        await asyncio.sleep(0.5)
        model.fleet.write(worker)
        await asyncio.sleep(0.5)
        shape = step(gpus=8, data_rack=worker.entry.rack)
        await model.submit("usual", (shape,), 3 * BOUNDS.max_hold)
        await asyncio.sleep(0.5)
        assert len(worker.running) == 1
        worker.reachable = False
        await asyncio.sleep(2 * BOUNDS.max_hold)
        assert len(model.fleet.workers["w1"].running) == 1
        return violations(model)

    assert run_virtual(play()) == []


# Guards against a repeated run while a lease goes on that a predecessor extended in an
# instance which it did not know.
@pytest.mark.parametrize("released", [True, False])
def test_run_is_not_repeated_within_a_lease_that_the_predecessor_extended(released):
    async def play():
        model = Model(1)
        await model.start(workers=2, rack=1)
        # By then deadlines on the clock of the instance are far ahead on a new one's.
        await asyncio.sleep(BOUNDS.max_hold)
        worker = model.fleet.workers["w0"]
        leader = model.leader()
        model.fleet.crash(worker)
        await asyncio.sleep(BOUNDS.heartbeat)
        with mock.patch.object(model.fleet, "write"):
            model.fleet.restart(worker)
        while not worker.deadline:
            await asyncio.sleep(0.01)
        if released:
            await leader.leadership.release()
        await leader.kill()
        model.fleet.write(worker)
        while model.leader() is None:
            await asyncio.sleep(0.01)
        shape = step(gpus=8, data_rack=worker.entry.rack)
        await model.submit("usual", (shape,), 3 * BOUNDS.max_hold)
        await asyncio.sleep(0.5)
        assert len(worker.running) == 1
        worker.reachable = False
        await asyncio.sleep(2 * BOUNDS.max_hold)
        assert len(model.fleet.workers["w1"].running) == 1
        return violations(model)

    assert run_virtual(play()) == []
