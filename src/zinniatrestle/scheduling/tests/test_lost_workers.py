"""Runs of a lost worker are restarted elsewhere, but not before they have ended."""

import asyncio
from unittest import mock

import pytest
from common.history import lines_of, start_times

from zinniatrestle.clock import monotonic
from zinniatrestle.deployment import Bounds
from zinniatrestle.scheduling.leadership import HOLD_EXTENSION_SHARE, MAX_LEASE_SHARE
from zinniatrestle.scheduling.session import HOLD_SHARE
from zinniatrestle.standins.checker import violations
from zinniatrestle.standins.host_orders import HostOrders
from zinniatrestle.standins.model import Model, run_virtual, step
from zinniatrestle.standins.runs import EventKind, SimulatedWorker
from zinniatrestle.workers.messages import Refusal, RefusedOrderError

# Time to detect the loss and to run a round.
DETECTION_SECONDS = 3.0


async def wait_for_running_worker(model: Model):
    while not model.fleet.history:
        await asyncio.sleep(0.05)
    return model.fleet.workers[model.fleet.history[0].worker]


async def start_run(
    model: Model, workers: int, seconds: float, gpus: int = 8
) -> SimulatedWorker:
    """Start a model with one task and return the worker that runs the task."""
    await model.start(workers=workers, rack=workers)
    await model.submit("usual", (step(gpus=gpus, seconds=seconds),), seconds)
    return await wait_for_running_worker(model)


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
    return model, start_times(model)[-1] - lost_at


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
        return max(start_times(model)) - lost_at

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
        lease = model.bounds.lease * MAX_LEASE_SHARE
        hold = model.bounds.max_hold * (HOLD_EXTENSION_SHARE + HOLD_SHARE)
        assert outage_seconds > lease + hold / 0.98
        return start_times(model)[-1] - hosts_back_at

    assert run_virtual(play()) < DETECTION_SECONDS


# Guards against runs that count as lost before their leases at the worker have expired.
@pytest.mark.parametrize("refused_seconds", [0.5, 2.5])
def test_run_of_worker_whose_entry_returns_is_not_repeated_within_its_lease(
    refused_seconds,
):
    async def refuse(self, worker, *args):
        raise RefusedOrderError(Refusal.UNHEALTHY)

    async def play():
        model = Model(1)
        await model.start(workers=2, rack=2)
        await model.submit("usual", (step(1, gpus=8),), 8.0)
        worker = await wait_for_running_worker(model)
        await asyncio.sleep(1.0)
        await model.leader().kill()
        model.fleet.remove(worker)
        while model.leader() is None:
            await asyncio.sleep(0.05)
        await asyncio.sleep(0.5)
        with mock.patch.object(HostOrders, "hold", refuse):
            model.fleet.write(worker)
            await asyncio.sleep(refused_seconds)
        assert await model.wait_for_jobs(40.0)
        return violations(model)

    assert run_virtual(play()) == []


# Guards against a wait for a lost worker that begins anew with each successor.
def test_successions_do_not_extend_the_wait_for_a_deregistered_worker():
    async def play():
        model = Model(1)
        await model.start(workers=4, rack=4)
        await model.submit("usual", (step(1),), 4.0)
        worker = await wait_for_running_worker(model)
        lost_at = monotonic()
        await crash_and_deregister(model, worker)
        for _ in range(3):
            leader = model.leader()
            await leader.kill()
            leader.start()
            await asyncio.sleep(5.0)
        assert await model.wait_for_jobs(40.0)
        assert violations(model) == []
        return start_times(model)[-1] - lost_at

    assert run_virtual(play()) <= Bounds().finish


# Guards against a second run beside one at a worker that registers again, out of reach.
def test_run_on_worker_that_registers_again_is_not_repeated_before_its_lease_ends():
    async def play():
        model = Model(1)
        worker = await start_run(model, 2, 20.0)
        model.fleet.remove(worker)
        worker.reachable = False
        first_holder = model.leader()
        await first_holder.kill()
        while model.leader() in (None, first_holder):
            await asyncio.sleep(0.02)
        await asyncio.sleep(0.3)
        model.fleet.write(worker)
        await asyncio.sleep(model.bounds.finish)
        assert len(start_times(model)) > 1
        return violations(model)

    assert run_virtual(play()) == []


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


# Guards against a second run beside one whose lease was extended before a succession.
@pytest.mark.parametrize("tenths", range(0, 20, 2))
def test_a_worker_that_answers_again_keeps_its_lease_after_a_succession(tenths):
    async def play():
        model = Model(1)
        worker = await start_run(model, 2, 30.0)
        worker.reachable = False
        await asyncio.sleep(4.0)
        worker.reachable = True
        await asyncio.sleep(tenths / 10)
        await model.leader().kill()
        worker.reachable = False
        await asyncio.sleep(2 * model.bounds.max_hold)
        assert len(start_times(model)) > 1
        return violations(model)

    assert run_virtual(play()) == []


def test_a_worker_that_answers_again_gets_tasks():
    async def play():
        model = Model(1)
        worker = await start_run(model, 1, 9.0, gpus=4)
        worker.reachable = False
        await asyncio.sleep(4.0)
        worker.reachable = True
        back_at = monotonic()
        await model.submit("usual", (step(gpus=4),), 1.0)
        while len(model.fleet.history) < 2:
            await asyncio.sleep(0.05)
        assert model.fleet.history[-1].kind is EventKind.START
        return monotonic() - back_at

    assert run_virtual(play()) < DETECTION_SECONDS


# Guards against a further run of which the log doesn't tell why the former one is over.
@pytest.mark.parametrize(
    ("lose", "former"),
    [
        (partition, "lost: lease expired while the worker was unreachable"),
        (drain_and_leave, "ended stopped"),
        (restart, "lost: another instance answers"),
    ],
)
def test_the_line_of_a_further_run_says_how_the_former_one_ended(lose, former):
    model, _ = run_virtual(lose_worker(lose))
    placed = lines_of(model, "run_placed")
    assert [line["former"] for line in placed] == [None, former]


def test_the_line_of_a_further_run_names_a_reported_end():
    async def play():
        model = Model(1)
        await model.start(workers=2, rack=2)
        await model.submit("usual", (step(1),), 1.0, failures=1)
        assert await model.wait_for_jobs(30.0)
        return [line["former"] for line in lines_of(model, "run_placed")]

    assert run_virtual(play()) == [None, "ended failed"]
