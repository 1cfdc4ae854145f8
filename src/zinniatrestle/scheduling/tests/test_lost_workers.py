"""Runs of a lost worker are restarted elsewhere, but not before they have ended."""

import asyncio

import pytest

from zinniatrestle.clock import monotonic
from zinniatrestle.scheduling.leadership import HOLD_EXTENSION_SHARE, MAX_LEASE_SHARE
from zinniatrestle.scheduling.session import HOLD_SHARE
from zinniatrestle.standins.checker import violations
from zinniatrestle.standins.model import Model, run_virtual, step
from zinniatrestle.standins.runs import EventKind

# Time to detect the loss and to run a round.
DETECTION_SECONDS = 3.0


async def wait_for_running_worker(model: Model):
    while not model.fleet.history:
        await asyncio.sleep(0.05)
    return model.fleet.workers[model.fleet.history[0].worker]


async def lose_worker(lose) -> tuple[Model, float]:
    model = Model(1)
    await model.start(workers=4, rack=4)
    await model.submit("usual", (step(1),), 4.0)
    worker = await wait_for_running_worker(model)
    await asyncio.sleep(1.0)
    lost_at = monotonic()
    await lose(model, worker)
    assert await model.wait_for_jobs(60.0)
    assert violations(model) == []
    starts = [event for event in model.fleet.history if event.kind is EventKind.START]
    return model, starts[-1].at - lost_at


async def crash_and_deregister(model, worker):
    worker.reachable = False
    model.fleet.crash(worker)
    model.fleet.remove(worker)


async def partition(model, worker):
    worker.reachable = False


async def drain_and_leave(model, worker):
    model.fleet.drain(worker, 1.0)
    await asyncio.sleep(1.2)
    worker.reachable = False
    model.fleet.crash(worker)
    model.fleet.remove(worker)


async def restart(model, worker):
    model.fleet.crash(worker)
    model.fleet.restart(worker)


def test_gang_restarts_at_once_if_its_other_members_abort():
    async def play():
        model = Model(1)
        await model.start(workers=6, rack=6)
        await model.submit("usual", (step(3, gpus=8, gang=True),), 8.0)
        await asyncio.sleep(2.0)
        worker = next(w for w in model.fleet.workers.values() if w.running)
        lost_at = monotonic()
        worker.reachable = False
        model.fleet.crash(worker)
        assert await model.wait_for_jobs(60.0)
        assert violations(model) == []
        starts = [e.at for e in model.fleet.history if e.kind is EventKind.START]
        return max(starts) - lost_at

    assert run_virtual(play()) < DETECTION_SECONDS


@pytest.mark.parametrize("lose", [crash_and_deregister, partition])
def test_runs_of_silent_worker_restart_after_its_lease_expires(lose):
    model, delay = run_virtual(lose_worker(lose))
    hold = model.bounds.max_hold * HOLD_SHARE
    assert delay <= hold / 0.98 + DETECTION_SECONDS


def test_runs_of_departed_worker_restart_at_once():
    _, delay = run_virtual(lose_worker(drain_and_leave))
    assert delay <= 1.2 + DETECTION_SECONDS


def test_runs_of_restarted_worker_restart_at_once():
    _, delay = run_virtual(lose_worker(restart))
    assert delay <= DETECTION_SECONDS


# Guards against a full read of the registry that fails while it ends a worker.
def test_departed_worker_that_a_full_read_of_the_registry_lacks_only_ends():
    async def play():
        model = Model(1)
        await model.start(workers=4, rack=4)
        worker = model.fleet.workers["w0"]
        model.fleet.drain(worker, 1.0)
        await asyncio.sleep(1.2)
        worker.reachable = False
        model.fleet.crash(worker)
        # Long enough for holds to be missed, too short for the entry to expire.
        await asyncio.sleep(1.5)
        model.fleet.remove(worker)
        model.rows.drop_history()
        await asyncio.sleep(2.0)
        return [
            line["event"]
            for line in model.lines
            if line["event"] in ("task_failed", "lease_lost")
        ]

    assert run_virtual(play()) == []


# Guards against a successor that waits for leases which ended before it took over.
def test_successor_after_long_outage_of_all_hosts_does_not_wait_for_ended_leases():
    outage_seconds = 12.0

    async def play():
        model = Model(1)
        await model.start(workers=4, rack=4)
        await model.submit("usual", (step(1),), 4.0)
        worker = await wait_for_running_worker(model)
        for host in model.hosts:
            await host.kill()
        await crash_and_deregister(model, worker)
        await asyncio.sleep(outage_seconds)
        hosts_back_at = monotonic()
        for host in model.hosts:
            host.start()
        assert await model.wait_for_jobs(60.0)
        assert violations(model) == []
        starts = [e.at for e in model.fleet.history if e.kind is EventKind.START]
        lease = model.bounds.lease * MAX_LEASE_SHARE
        hold = model.bounds.max_hold * (HOLD_EXTENSION_SHARE + HOLD_SHARE)
        assert outage_seconds > lease + hold / 0.98
        return starts[-1] - hosts_back_at

    assert run_virtual(play()) < DETECTION_SECONDS


def test_the_lines_say_until_when_a_lost_run_is_waited_for_at_most():
    model, _ = run_virtual(lose_worker(partition))
    (silent,) = [line for line in model.lines if line["event"] == "worker_silent"]
    (lost,) = [line for line in model.lines if line["event"] == "run_lost"]
    assert silent["tasks"] == 1
    assert lost["at"] == pytest.approx(silent["at"] + silent["until"], abs=0.3)
    waits = [line for line in model.lines if line["event"] == "job_waits"]
    assert waits
    for line in waits:
        assert (line["reason"], line["tasks"]) == ("unreachable_runs", 1)
        assert line["held_worker"] == silent["worker"]
        assert lost["at"] == pytest.approx(line["at"] + line["until"], abs=0.3)
