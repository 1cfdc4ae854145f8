"""Runs on a worker whose machine has lost it are repeated before its lease ends."""

import asyncio

import pytest
from common.history import lines_of, start_times

from zinniatrestle.clock import monotonic
from zinniatrestle.ids import FailureDomainId, MachineId, ServiceName, WorkerId
from zinniatrestle.machines.messages import Machine, MachineState
from zinniatrestle.machines.watch import MachineWatch, Reading, ended_workers
from zinniatrestle.scheduling.session import HOLD_SHARE
from zinniatrestle.standins.checker import violations
from zinniatrestle.standins.machines import SimulatedMachines
from zinniatrestle.standins.model import Model, run_virtual, step
from zinniatrestle.standins.runs import OrderMode, SimulatedWorker

# Time for missed holds, two readings, a round and the start order.
DETECTION_SECONDS = 3.0
RUN_SECONDS = 12.0


async def start_run(model: Model) -> SimulatedWorker:
    """Start a task on one of two workers."""
    await model.start(workers=2, rack=2)
    await model.submit("usual", (step(gpus=8),), RUN_SECONDS)
    while not model.fleet.history:
        await asyncio.sleep(0.05)
    await asyncio.sleep(1.0)
    return model.fleet.workers[model.fleet.history[0].worker]


def crash(model: Model, worker: SimulatedWorker):
    model.fleet.crash(worker)


def crash_and_block_calls(model: Model, worker: SimulatedWorker):
    model.fleet.cut_power(worker)


def leave_for_good(model: Model, worker: SimulatedWorker):
    model.fleet.retire(worker)


@pytest.mark.parametrize("lose", [crash, crash_and_block_calls, leave_for_good])
def test_a_run_is_repeated_soon_after_its_worker_has_crashed(lose):
    async def play():
        model = Model(1, lists_machines=True)
        worker = await start_run(model)
        lost_at = monotonic()
        lose(model, worker)
        assert await model.wait_for_jobs(40.0)
        assert violations(model) == []
        (lost,) = lines_of(model, "run_lost")
        assert lost["reason"] == "no machine runs it"
        return start_times(model)[1] - lost_at

    assert run_virtual(play()) < DETECTION_SECONDS


# Guards against a list of machines that is asked but not needed.
def test_the_list_is_read_only_while_a_worker_with_tasks_is_unreachable():
    async def play():
        model = Model(1, lists_machines=True)
        worker = await start_run(model)
        idle = next(w for w in model.fleet.workers.values() if w is not worker)
        idle.reachable = False
        await asyncio.sleep(3.0)
        assert model.machines.calls == 0
        worker.reachable = False
        await asyncio.sleep(3.0)
        return model.machines.calls

    assert run_virtual(play()) > 1


async def crash_and_return_start_delay(model: Model) -> float:
    worker = await start_run(model)
    lost_at = monotonic()
    model.fleet.crash(worker)
    assert await model.wait_for_jobs(40.0)
    assert violations(model) == []
    return start_times(model)[1] - lost_at


def test_a_run_is_repeated_after_its_lease_while_the_list_is_unavailable():
    model = Model(1, lists_machines=True)
    model.machines.available = False
    delay = run_virtual(crash_and_return_start_delay(model))
    lease = model.bounds.max_hold * HOLD_SHARE
    assert lease / 2 < delay <= lease / 0.98 + DETECTION_SECONDS
    assert lines_of(model, "dependency_lost", dependency="list of machines")


class DamagedMachines(SimulatedMachines):
    """List machines without their workers, as entries that can't be read are."""

    async def machines(self, timeout: float) -> list[Machine]:
        """Return all machines; what runs on the first one can't be read."""
        first, *others = await super().machines(timeout)
        nothing = WorkerId("")
        damaged = Machine(
            first.machine, first.service, MachineState.UNKNOWN, first.domain, nothing
        )
        return [damaged, *others]


# Guards against an entry that can't be read and is taken for a machine without worker.
def test_a_damaged_list_ends_no_runs():
    model = Model(1, lists_machines=True)
    model.machines = DamagedMachines(model.fleet, model.bounds.upkeep)
    delay = run_virtual(crash_and_return_start_delay(model))
    assert delay > model.bounds.max_hold * HOLD_SHARE / 2
    assert lines_of(model, "input_rejected", source="workers on machines")


# Guards against a late start at a new instance beside the repetition (TWICE).
def test_a_run_that_was_never_confirmed_is_repeated_after_its_lease():
    async def play():
        model = Model(1, lists_machines=True)
        await model.start(workers=2, rack=2)
        for worker in model.fleet.workers.values():
            worker.order_mode = OrderMode.DROPPED
        await model.submit("usual", (step(gpus=8),), RUN_SECONDS)
        while not lines_of(model, "run_placed"):
            await asyncio.sleep(0.05)
        (placed,) = lines_of(model, "run_placed")
        crashed = model.fleet.workers[placed["worker"]]
        model.fleet.crash(crashed)
        for worker in model.fleet.workers.values():
            worker.order_mode = OrderMode.ANSWERED
        assert await model.wait_for_jobs(40.0)
        assert violations(model) == []
        return [line["reason"] for line in lines_of(model, "run_lost")]

    assert "no machine runs it" not in run_virtual(play())


class EmptyList(SimulatedMachines):
    """List no machines; a worker is reached again during the second reading."""

    worker: SimulatedWorker

    async def machines(self, timeout: float) -> list[Machine]:
        """Return no machines."""
        self.calls += 1
        if self.calls == 2:
            self.worker.reachable = True
            await asyncio.sleep(DETECTION_SECONDS)
        return []


def test_a_worker_that_answers_during_the_second_reading_keeps_its_run():
    async def play():
        model = Model(1, lists_machines=True)
        model.machines = EmptyList(model.fleet, model.bounds.upkeep)
        model.machines.worker = worker = await start_run(model)
        worker.reachable = False
        assert await model.wait_for_jobs(40.0)
        return len(start_times(model)), model.machines.calls

    assert run_virtual(play()) == (1, 2)


class NamedWorker:
    """Stand-in of a scheduler's worker, of which only the id is compared."""

    def __init__(self, name: str):
        self.id = WorkerId(name)


def reading(machines: str, workers: str, *unreachable: NamedWorker) -> Reading:
    return Reading(
        frozenset(MachineId(name) for name in machines.split()),
        frozenset(WorkerId(name) for name in workers.split()),
        frozenset(unreachable),
    )


@pytest.mark.parametrize(
    ("first", "second", "ends"),
    [
        (("m1 m2", "w2"), ("m1 m2", "w2"), True),
        (("m1 m2", "w1 w2"), ("m1 m2", "w2"), False),
        (("m1 m2", "w2"), ("m1 m2", "w1 w2"), False),
        # A machine came or went between or during the readings.
        (("m1 m2 m3", "w2"), ("m1 m2", "w2"), False),
        (("m1 m2", "w2"), ("m1 m2 m3", "w2"), False),
    ],
)
def test_a_worker_has_ended_if_two_equal_readings_lack_it(first, second, ends):
    worker = NamedWorker("w1")
    found = ended_workers(reading(*first, worker), reading(*second, worker))
    assert found == ([worker] if ends else [])


def test_a_worker_that_was_reachable_at_the_first_reading_has_not_ended():
    worker = NamedWorker("w1")
    assert ended_workers(reading("m1", ""), reading("m1", "", worker)) == []


class OneMachine(SimulatedMachines):
    """List a single machine."""

    def __init__(self, state: MachineState, worker: str):
        self.machine = Machine(
            MachineId("m1"),
            ServiceName("service"),
            state,
            FailureDomainId("a"),
            WorkerId(worker),
        )

    async def machines(self, timeout: float) -> list[Machine]:
        """Return the machine."""
        return [self.machine]


@pytest.mark.parametrize(
    ("state", "worker", "usable"),
    [
        (MachineState.UP, "w1", True),
        (MachineState.UP, "", False),
        (MachineState.UNKNOWN, "", False),
        (MachineState.DOWN, "", True),
        (MachineState.UPKEEP, "", True),
        (MachineState.MOVING, "", True),
    ],
)
def test_a_list_is_of_use_only_if_each_machine_names_its_worker(state, worker, usable):
    async def play():
        model = Model(1, lists_machines=True)
        await model.start(workers=1, rack=1)
        watch = MachineWatch(OneMachine(state, worker), model.hosts[0].context.events)
        return await watch.read(frozenset())

    assert (run_virtual(play()) is not None) is usable
