"""Moves that make room for a gang, with late stops, lost targets and successions."""

import asyncio
from functools import partial
from types import SimpleNamespace

from common.history import start_times
from common.scheduling import first_step, workers_in_racks
from common.scheduling import job as build_job

from zinniatrestle.clock import monotonic
from zinniatrestle.deployment import Bounds
from zinniatrestle.ids import JobId
from zinniatrestle.jobs.messages import JobState, Step
from zinniatrestle.scheduling.cluster_state import ClusterState
from zinniatrestle.scheduling.defragmentation import (
    FIRST_PAUSE_SECONDS,
    MIN_WAIT_SECONDS,
    RETRY_SECONDS,
)
from zinniatrestle.scheduling.draining import ORDER_LATENCY_SECONDS
from zinniatrestle.scheduling.durations import Durations
from zinniatrestle.scheduling.moves import Mover
from zinniatrestle.scheduling.state import TaskStatus
from zinniatrestle.standins.checker import check_capacity, violations
from zinniatrestle.standins.model import Model, run_virtual, step
from zinniatrestle.standins.runs import FleetTraits

BOUNDS = Bounds(stop=0.9)
WORKERS = 6
BLOCKED_SECONDS = 2.0
# The run time of the small tasks, without moves the wait of the gang.
LONG_SECONDS = 25.0
# From the arrival of a gang until it runs on freed workers.
START_SECONDS = (
    MIN_WAIT_SECONDS + RETRY_SECONDS + BOUNDS.stop + 3 * ORDER_LATENCY_SECONDS
)


async def fragmented_model(seed: int = 1, **small) -> tuple[Model, list[JobId]]:
    """Start workers that are idle but for one small run each, and return its jobs."""
    traits = FleetTraits(checkpoints_by_step=True)
    model = Model(seed, bounds=BOUNDS, traits=traits)
    await model.start(workers=WORKERS, rack=WORKERS)
    for _ in range(WORKERS):
        await model.submit("usual", (step(gpus=7),), BLOCKED_SECONDS)
    await asyncio.sleep(0.5)
    small.setdefault("checkpointing", True)
    shape = step(gpus=1, seconds=LONG_SECONDS, **small)
    jobs = []
    for _ in range(WORKERS):
        jobs.append(await model.submit("patient", (shape,), LONG_SECONDS))
    await asyncio.sleep(BLOCKED_SECONDS + 1.0)
    for worker in model.fleet.workers.values():
        assert len(worker.running) == 1
    return model, jobs


def moved(model: Model) -> list[dict]:
    return [line for line in model.lines if line["event"] == "run_moved"]


async def wait_for_moves(model: Model) -> list[dict]:
    until = monotonic() + START_SECONDS
    while not moved(model):
        assert monotonic() < until
        await asyncio.sleep(0.01)
    return moved(model)


async def submit_gang(model: Model, count: int = 2) -> JobId:
    shape = step(count, gpus=8, gang=True, seconds=2.0)
    return await model.submit("usual", (shape,), 2.0)


async def watch_capacity(model: Model, seconds: float):
    """Check for some time that no worker holds more than its capacity."""
    found: list[str] = []
    until = monotonic() + seconds
    while monotonic() < until:
        check_capacity(model.fleet, found)
        await asyncio.sleep(0.05)
    assert found == []


# Guards against a gang that waits for whole workers until small runs end, while most of
# the capacity is idle.
def test_a_gang_starts_on_workers_off_which_small_runs_are_moved():
    async def play():
        model, jobs = await fragmented_model()
        arrived = monotonic()
        gang = await submit_gang(model)
        await watch_capacity(model, START_SECONDS)
        lines = moved(model)
        assert await model.wait_for_jobs(LONG_SECONDS + 10.0)
        await model.stop()
        assert violations(model) == []
        assert {line["for_job"] for line in lines} == {gang}
        assert all(line["lost"] > 0 for line in lines)
        stopped = [line for line in model.lines if line["event"] == "run_stopped"]
        assert [line["reason"] for line in stopped] == ["moved to make room"] * 2
        for job in jobs:
            assert model.state(job) is JobState.COMPLETED
        # Moved runs go on from the checkpoint of their stop.
        ends = [model.jobs[job].completed_at for job in jobs]
        assert max(ends) - min(ends) < 5.0
        return max(start_times(model, gang)) - arrived, len(lines)

    waited, moves = run_virtual(play())
    assert waited <= START_SECONDS
    assert moves == 2


# Guards against moves of runs that lose all their work.
def test_nothing_is_moved_without_checkpoints():
    async def play():
        model, _ = await fragmented_model(checkpointing=False)
        gang = await submit_gang(model)
        await asyncio.sleep(5.0)
        await model.stop()
        assert moved(model) == []
        assert start_times(model, gang) == []

    run_virtual(play())


# Guards against a gang, and workers reserved for it, that wait for a stop that is not
# carried out, and against further moves at once.
def test_a_gang_is_planned_anew_if_a_moved_run_does_not_stop_in_time():
    async def play():
        model, jobs = await fragmented_model()
        gang = await submit_gang(model)
        lines = await wait_for_moves(model)
        await asyncio.sleep(ORDER_LATENCY_SECONDS)
        late = model.fleet.workers[lines[0]["worker"]]
        for run in late.running.values():
            run.stops_at += FIRST_PAUSE_SECONDS
        first = lines[0]["at"]
        await watch_capacity(model, FIRST_PAUSE_SECONDS + 8.0)
        again = [line["at"] for line in moved(model) if line["at"] > first]
        # The capacity of the late run frees a worker at the latest when it has stopped.
        assert len(start_times(model, gang)) == 2
        assert all(at - first >= FIRST_PAUSE_SECONDS for at in again)
        assert await model.wait_for_jobs(LONG_SECONDS + 20.0)
        await model.stop()
        assert violations(model) == []
        for job in (gang, *jobs):
            assert model.state(job) is JobState.COMPLETED

    run_virtual(play())


# Guards against a moved run that is lost if the workers with room for it have gone.
def test_a_moved_run_is_placed_like_any_other_if_its_target_is_gone():
    async def play():
        model, jobs = await fragmented_model()
        gang = await submit_gang(model)
        lines = await wait_for_moves(model)
        left = {line["worker"] for line in lines}
        for name, worker in model.fleet.workers.items():
            if name not in left:
                model.fleet.crash(worker)
        await asyncio.sleep(START_SECONDS)
        for name, worker in model.fleet.workers.items():
            if name not in left:
                model.fleet.restart(worker)
        assert await model.wait_for_jobs(2 * LONG_SECONDS + 30.0)
        await model.stop()
        assert violations(model) == []
        for job in (gang, *jobs):
            assert model.state(job) is JobState.COMPLETED

    run_virtual(play())


# Guards against runs that are duplicated or lost when the host that ordered moves dies
# before they are carried out.
def test_a_succession_during_a_move_loses_and_duplicates_no_run():
    async def play():
        model, jobs = await fragmented_model()
        gang = await submit_gang(model)
        await wait_for_moves(model)
        await model.leader().kill()
        await watch_capacity(model, 10.0)
        assert await model.wait_for_jobs(LONG_SECONDS + 30.0)
        await model.stop()
        assert violations(model) == []
        for job in (gang, *jobs):
            assert model.state(job) is JobState.COMPLETED
        # No moved run begins anew: each continues from its checkpoint.
        ends = [model.jobs[job].completed_at for job in jobs]
        assert max(ends) - min(ends) < 15.0

    run_virtual(play())


def test_a_cancelled_gang_leaves_no_reservations():
    async def play():
        model, jobs = await fragmented_model()
        gang = await submit_gang(model)
        lines = await wait_for_moves(model)
        await model.cancel(gang)
        await asyncio.sleep(START_SECONDS)
        other = await submit_gang(model)
        await asyncio.sleep(START_SECONDS)
        assert start_times(model, gang) == []
        assert len(start_times(model, other)) == 2
        # The workers that were freed for the first gang serve the second.
        assert len(moved(model)) <= len(lines) + 2
        assert await model.wait_for_jobs(LONG_SECONDS + 30.0)
        await model.stop()
        assert violations(model) == []
        for job in jobs:
            assert model.state(job) is JobState.COMPLETED

    run_virtual(play())


# Guards against urgent jobs that are late beside workers that are kept for a less
# urgent gang until moved runs have stopped.
def test_an_urgent_step_gets_the_workers_that_a_less_urgent_gang_has_reserved():
    workers = workers_in_racks(1, size=2)
    gang = first_step(build_job("a" * 16, Step(count=2, cpu=1000, gpus=8, gang=True)))
    for task, target in zip(gang.tasks, workers, strict=True):
        task.status, task.worker = TaskStatus.RESERVED, target
        target.reserve(task)
    tracker = SimpleNamespace(durations=Durations())
    tracker.release_reservation = partial(ClusterState.release_reservation, tracker)
    deployment = SimpleNamespace(bounds=BOUNDS)
    mover = Mover(SimpleNamespace(deployment=deployment), tracker, None)
    mover.decision.attempt = gang
    other = first_step(build_job("b" * 16, Step(gpus=8), priority=1))
    assert not mover.make_way(other)
    urgent = first_step(build_job("c" * 16, Step(gpus=8), priority=0))
    assert mover.make_way(urgent)
    assert [target.free_gpus for target in workers] == [8, 8]
    assert {task.status for task in gang.tasks} == {TaskStatus.WAITING}
    assert not mover.make_way(urgent)
