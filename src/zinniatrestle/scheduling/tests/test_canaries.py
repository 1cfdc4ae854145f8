"""Workers that had been quarantined get work as far as they have capacity."""

import asyncio

import pytest
from common.scheduling import constraints, first_step, job, worker

from zinniatrestle.clock import monotonic
from zinniatrestle.jobs.messages import Step
from zinniatrestle.scheduling.placement import BestFit
from zinniatrestle.scheduling.state import WorkerHealth
from zinniatrestle.standins.model import Model, run_virtual, step
from zinniatrestle.standins.runs import FaultMode

# Longer than a first quarantine, a start and a few rounds.
RECOVERY_SECONDS = 15.0
# Long enough for several quarantines in a row.
FAULT_SECONDS = 40.0


async def run_long_running_tasks_on_a_worker_that_has_recovered() -> dict[str, int]:
    """Return the number of running tasks of each worker, two of which fill it."""
    model = Model(1)
    await model.start(workers=4, rack=4)
    faulty = model.fleet.workers["w0"]
    faulty.fault_mode = FaultMode.FAILS
    await model.submit("usual", (step(4, gpus=8),), 1.0)
    assert await model.wait_for_jobs(10.0)
    faulty.fault_mode = FaultMode.NONE
    shape = step(8, gpus=4, long_running=True)
    await model.submit("usual", (shape,), 1_000_000.0)
    await asyncio.sleep(RECOVERY_SECONDS)
    return {name: len(found.running) for name, found in model.fleet.workers.items()}


# Guards against a canary that no end of a run restores, as long-running tasks fill it.
def test_a_canary_with_a_long_running_task_takes_further_tasks():
    running = run_virtual(run_long_running_tasks_on_a_worker_that_has_recovered())
    assert running == {"w0": 2, "w1": 2, "w2": 2, "w3": 2}


# Guards against a canary that gets a task for which it has no capacity.
@pytest.mark.parametrize("gpus, reserved", [(4, False), (8, True)])
def test_a_canary_gets_no_task_that_does_not_fit(gpus, reserved):
    canary = worker("canary", gpus=gpus)
    canary.health = WorkerHealth.CANARY
    if reserved:
        canary.reserve(first_step(job("f" * 16, Step(gpus=8))).tasks[0])
    step_to_place = first_step(job("a" * 16, Step(gpus=8)))
    assert (
        BestFit().place(
            step_to_place, step_to_place.waiting_tasks(), [canary], constraints()
        )
        == {}
    )


async def seconds_until_done_after_faults_ended() -> float:
    """Let the only workers with a label fail for long; return when a job has run."""
    model = Model(1)
    await model.start(workers=8, rack=2)
    labelled = [model.fleet.workers[name] for name in ("w0", "w1")]
    for faulty in labelled:
        faulty.fault_mode = FaultMode.FAILS
    until = monotonic() + FAULT_SECONDS
    while monotonic() < until:
        await model.submit("usual", (step(2, gpus=8, label="rack-0"),), 1.0)
        await model.wait_for_jobs(until - monotonic())
    for faulty in labelled:
        faulty.fault_mode = FaultMode.NONE
    since = monotonic()
    job_id = await model.submit("usual", (step(1, gpus=8, label="rack-0"),), 1.0)
    while not model.has_ended(job_id):
        await asyncio.sleep(0.1)
    return monotonic() - since


# Guards against a wait for the end of a long quarantine if no other worker may be used.
def test_a_step_that_only_quarantined_workers_may_run_does_not_wait_for_long():
    assert run_virtual(seconds_until_done_after_faults_ended()) <= RECOVERY_SECONDS


# Guards against canaries that stay canaries, as another member's end stood for theirs.
def test_a_gang_that_ends_well_restores_all_its_canaries():
    async def play():
        model = Model(1)
        await model.start(workers=8, rack=8)
        faulty = [model.fleet.workers[name] for name in ("w0", "w1")]
        for found in faulty:
            found.fault_mode = FaultMode.FAILS
        await model.submit("usual", (step(8, gpus=8),), 1.0)
        assert await model.wait_for_jobs(10.0)
        for found in faulty:
            found.fault_mode = FaultMode.NONE
        await model.submit("usual", (step(8, gpus=8, gang=True),), 1.0)
        assert await model.wait_for_jobs(RECOVERY_SECONDS)
        return {
            line["worker"] for line in model.lines if line["event"] == "worker_restored"
        }

    assert run_virtual(play()) == {"w0", "w1"}
