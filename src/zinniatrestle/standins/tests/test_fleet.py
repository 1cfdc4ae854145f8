"""Simulated workers run, save and resume tasks as the platform's workers do."""

import asyncio

import pytest

from zinniatrestle.clock import monotonic
from zinniatrestle.ids import Generation, JobId, RackId, RunNumber
from zinniatrestle.jobs.messages import Step, task_id
from zinniatrestle.standins.fleet import SimulatedFleet
from zinniatrestle.standins.model import run_virtual
from zinniatrestle.standins.rows import MemoryRows
from zinniatrestle.standins.runs import (
    EventKind,
    FleetTraits,
    SimulatedWorker,
    TaskScript,
)
from zinniatrestle.workers.messages import RefusedOrderError, RunOutcome, StartOrder

JOB = JobId("00000000000000aa")
FAR_FACTOR = 3.0
RUN_SECONDS = 10.0
DEADLINE_MS = 60_000
FAITHFUL = FleetTraits(checkpoints_by_step=True, restore_seconds=0.5)


class RunningFleet:
    """A fleet whose runs advance, and orders to its workers."""

    def __init__(self, shape: Step, traits: FleetTraits | None = None):
        self.fleet = SimulatedFleet(MemoryRows(), traits=traits)
        self.spec = TaskScript(seconds=RUN_SECONDS, steps=(shape,)).encoded()
        self.advancing = asyncio.create_task(self.fleet.run())

    async def start(
        self,
        worker: SimulatedWorker,
        index: int = 0,
        run: int = 1,
        checkpoint: str = "",
        deadline_ms: int = DEADLINE_MS,
    ):
        """Start a run of the step's task at a worker."""
        order = StartOrder(
            task_id(JOB, 0, 0, index),
            RunNumber(run),
            self.spec,
            deadline_ms,
            Generation(1),
            checkpoint,
        )
        await self.fleet.start(worker.entry, order)

    async def stop(self, worker: SimulatedWorker, index: int = 0, run: int = 1):
        """Stop a run at a worker."""
        task = task_id(JOB, 0, 0, index)
        await self.fleet.stop(worker.entry, task, RunNumber(run), Generation(1))


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


@pytest.mark.parametrize(
    "checkpointing, traits, checkpoint",
    [
        (True, FAITHFUL, 2.5),
        (False, FAITHFUL, 0.0),
        (True, None, 2.0),
        (False, None, 2.0),
    ],
)
def test_a_stop_takes_a_checkpoint_if_the_step_has_them(
    checkpointing, traits, checkpoint
):
    async def checkpoint_of_stopped_run():
        running = RunningFleet(Step(checkpointing=checkpointing), traits)
        worker = running.fleet.add("w1")
        await running.start(worker)
        await asyncio.sleep(5.0)
        await running.stop(worker)
        running.advancing.cancel()
        return float(worker.ended[0].checkpoint or 0)

    found = run_virtual(checkpoint_of_stopped_run())
    assert found == pytest.approx(checkpoint, abs=0.05)


def test_a_resumed_run_works_once_it_is_restored_and_keeps_its_checkpoint():
    async def resume():
        running = RunningFleet(Step(checkpointing=True), FAITHFUL)
        worker = running.fleet.add("w1")
        await running.start(worker, checkpoint="1.75")
        (run,) = worker.running.values()
        await asyncio.sleep(0.4)
        before = run.work_seconds
        await asyncio.sleep(0.4)
        running.advancing.cancel()
        return before, run.work_seconds, run.checkpoint

    before, after, checkpoint = run_virtual(resume())
    assert before == 3.5
    assert 3.5 < after < 4.0
    assert checkpoint == "1.75"


# Guards against members of a resumed gang that end as broken because others are late.
def test_a_resumed_gang_waits_for_its_members():
    async def outcomes():
        shape = Step(count=2, gang=True, checkpointing=True)
        running = RunningFleet(shape)
        workers = [running.fleet.add(f"w{index}") for index in range(2)]
        for index, worker in enumerate(workers):
            await running.start(worker, index, checkpoint="4")
            await asyncio.sleep(0.2)
        await asyncio.sleep(RUN_SECONDS)
        running.advancing.cancel()
        return [event.outcome for event in running.fleet.history if event.outcome]

    assert run_virtual(outcomes()) == [RunOutcome.DONE] * 2


def test_a_start_that_is_refused_as_old_extends_the_lease():
    async def remaining_lease_seconds():
        running = RunningFleet(Step())
        worker = running.fleet.add("w1")
        await running.start(worker, index=1, deadline_ms=1000)
        await running.stop(worker, index=0, run=1)
        with pytest.raises(RefusedOrderError):
            await running.start(worker, index=0, run=1, deadline_ms=5000)
        running.advancing.cancel()
        return worker.remaining_lease_seconds()

    assert run_virtual(remaining_lease_seconds()) == pytest.approx(5.0, abs=0.1)
