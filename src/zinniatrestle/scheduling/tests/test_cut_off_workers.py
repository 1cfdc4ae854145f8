"""Workers that are cut off from hosts and registry run on until their leases end."""

import asyncio

import pytest
from common.history import lines_of, start_times

from zinniatrestle.standins.checker import violations
from zinniatrestle.standins.model import Model, run_virtual, step
from zinniatrestle.standins.runs import SimulatedWorker

HEARTBEAT_SECONDS = 1.5
# Shorter than the leases that holds give.
CUT_SECONDS = 5.5
RUN_SECONDS = 14.0


async def start_run(model: Model) -> SimulatedWorker:
    """Start a task on one of two workers, which send heartbeats."""
    await model.start(workers=2, rack=2)
    await model.submit("usual", (step(gpus=8),), RUN_SECONDS)
    while not model.fleet.history:
        await asyncio.sleep(0.05)
    model.heartbeats = asyncio.create_task(
        model.fleet.send_heartbeats(HEARTBEAT_SECONDS)
    )
    await asyncio.sleep(1.0)
    return model.fleet.workers[model.fleet.history[0].worker]


def cut_off(worker: SimulatedWorker):
    """Cut a worker off from the registry and, with resets, from all hosts."""
    worker.heartbeats = False
    worker.refuses_connections = True


def reconnect(worker: SimulatedWorker):
    worker.heartbeats = True
    worker.refuses_connections = False


# Guards against a second run beside one that goes on behind a cut (TWICE).
@pytest.mark.parametrize("listed", [False, True])
def test_a_refused_connection_and_a_removed_entry_do_not_end_a_run(listed):
    async def play():
        model = Model(1, lists_machines=listed)
        worker = await start_run(model)
        cut_off(worker)
        await asyncio.sleep(CUT_SECONDS)
        assert lines_of(model, "worker_gone", reason="entry removed")
        reconnect(worker)
        assert await model.wait_for_jobs(40.0)
        assert violations(model) == []
        return len(start_times(model))

    assert run_virtual(play()) == 1


# Guards against second runs while the registry has lost the entries of all workers.
@pytest.mark.parametrize("listed", [False, True])
@pytest.mark.parametrize("tenths", range(0, 45, 5))
def test_entries_that_expire_with_the_store_do_not_end_runs(tenths, listed):
    async def play():
        model = Model(1, lists_machines=listed)
        worker = await start_run(model)
        worker.refuses_connections = True
        await asyncio.sleep(tenths / 10)
        for each in model.fleet.workers.values():
            model.fleet.remove(each)
            each.heartbeats = False
        await asyncio.sleep(CUT_SECONDS - tenths / 10)
        for each in model.fleet.workers.values():
            reconnect(each)
        assert await model.wait_for_jobs(40.0)
        assert violations(model) == []
        return len(start_times(model))

    assert run_virtual(play()) == 1


@pytest.mark.parametrize("listed", [False, True])
def test_a_run_behind_a_lasting_cut_is_repeated_once_its_lease_has_ended(listed):
    async def play():
        model = Model(1, lists_machines=listed)
        worker = await start_run(model)
        cut_off(worker)
        assert await model.wait_for_jobs(60.0)
        assert len(start_times(model)) == 2
        return violations(model)

    assert run_virtual(play()) == []
