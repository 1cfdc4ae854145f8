"""Workers that are cut off from hosts and registry run on until their leases end."""

import asyncio
from unittest import mock

import pytest
from common.history import lines_of, start_times

from zinniatrestle.clock import monotonic
from zinniatrestle.standins.checker import violations
from zinniatrestle.standins.fleet import WORKER_TABLE
from zinniatrestle.standins.model import Model, run_virtual, step
from zinniatrestle.standins.rows import HostRows
from zinniatrestle.standins.runs import SimulatedWorker

HEARTBEAT_SECONDS = 1.5
# Shorter than the leases that holds give.
CUT_SECONDS = 5.5
RUN_SECONDS = 14.0
# Time for a hold, a round and a start.
DETECTION_SECONDS = 2.0


async def start_run(model: Model, heartbeat_delay: float = 0.0) -> SimulatedWorker:
    """Start a task on one of two workers, which send heartbeats after a delay."""
    await model.start(workers=2, rack=2)
    await model.submit("usual", (step(gpus=8),), RUN_SECONDS)
    while not model.fleet.history:
        await asyncio.sleep(0.05)
    await asyncio.sleep(heartbeat_delay)
    model.heartbeats = asyncio.create_task(
        model.fleet.send_heartbeats(HEARTBEAT_SECONDS)
    )
    await asyncio.sleep(1.0)
    return model.fleet.workers[model.fleet.history[0].worker]


async def next_heartbeat(worker: SimulatedWorker):
    """Wait until a worker has written its next heartbeat."""
    sequence = worker.entry.sequence
    while worker.entry.sequence == sequence:
        await asyncio.sleep(0.01)


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


# Guards against a draining worker that counts as gone since its entry was read late.
@pytest.mark.parametrize("tenths", range(0, 40, 4))
def test_an_entry_that_expires_soon_after_a_succession_does_not_end_a_run(tenths):
    async def play():
        model = Model(1)
        worker = await start_run(model)
        model.fleet.drain(worker, 30.0)
        await asyncio.sleep(0.5)
        cut_off(worker)
        await asyncio.sleep(tenths / 10)
        await model.leader().kill()
        assert await model.wait_for_jobs(60.0)
        return violations(model)

    assert run_virtual(play()) == []


# Guards against the same behind a feed that lags.
@pytest.mark.parametrize("lag", [1.0, 2.0, 3.0, 4.0])
def test_an_entry_that_expires_soon_after_a_late_read_does_not_end_a_run(lag):
    async def play():
        model = Model(1)
        worker = await start_run(model)
        follow = HostRows.changes

        async def follow_late(self, table, *args):
            changes = await follow(self, table, *args)
            if table == WORKER_TABLE:
                await asyncio.sleep(lag)
            return changes

        with mock.patch.object(HostRows, "changes", follow_late):
            model.fleet.drain(worker, 30.0)
            cut_off(worker)
            await asyncio.sleep(3 * HEARTBEAT_SECONDS)
        assert await model.wait_for_jobs(60.0)
        return violations(model)

    assert run_virtual(play()) == []


def test_an_entry_that_a_full_read_lists_again_was_not_written_again():
    async def play():
        model = Model(1)
        worker = await start_run(model)
        model.fleet.drain(worker, 30.0)
        await asyncio.sleep(0.5)
        cut_off(worker)
        await asyncio.sleep(2.5 * HEARTBEAT_SECONDS)
        model.rows.drop_history()
        assert await model.wait_for_jobs(60.0)
        return violations(model)

    assert run_virtual(play()) == []


# Guards against a draining worker that counts as gone since feeds did not tell of its
# last heartbeat (TWICE).
@pytest.mark.parametrize("killed_after", [None, 1.0, 2.5])
@pytest.mark.parametrize("hundredths", range(0, 36, 3))
def test_a_heartbeat_that_feeds_do_not_tell_of_does_not_end_a_run(
    hundredths, killed_after
):
    async def play():
        model = Model(1)
        worker = await start_run(model, hundredths / 100)
        model.fleet.drain(worker, 30.0)
        await next_heartbeat(worker)
        await asyncio.sleep(HEARTBEAT_SECONDS - 0.02)
        compaction = asyncio.create_task(model.rows.compact())
        await next_heartbeat(worker)
        await asyncio.sleep(0.1)
        cut_off(worker)
        await compaction
        if killed_after is not None:
            await asyncio.sleep(killed_after)
            await model.leader().kill()
        assert await model.wait_for_jobs(60.0)
        return violations(model)

    assert run_virtual(play()) == []


# Guards against a wait for the lease of a worker that has removed its entry.
@pytest.mark.parametrize("tenths", range(0, 15, 2))
def test_a_run_is_repeated_soon_after_a_draining_worker_has_left(tenths):
    async def play():
        model = Model(1)
        worker = await start_run(model)
        model.fleet.drain(worker, 30.0)
        await next_heartbeat(worker)
        await asyncio.sleep(tenths / 10)
        worker.reachable = False
        model.fleet.crash(worker)
        model.fleet.remove(worker)
        left_at = monotonic()
        assert await model.wait_for_jobs(60.0)
        assert violations(model) == []
        return start_times(model)[-1] - left_at

    assert run_virtual(play()) <= DETECTION_SECONDS
