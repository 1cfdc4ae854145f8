"""The check of guarantees finds urgent jobs that get their capacity too late."""

import asyncio

import pytest

from zinniatrestle.scheduling.context import Policy
from zinniatrestle.standins.checker import violations
from zinniatrestle.standins.model import Model, run_virtual, step

# Guaranteed to each account are 32 accelerators, those of four workers.
GUARANTEED_WORKERS = 4


def play(preempts: bool, width: int = 2, disturbed: bool = False) -> list[str]:
    """Submit an urgent gang of `width` to busy workers and return the violations."""

    async def submit():
        model = Model(1, policy=Policy(preempts=preempts))
        await model.start(workers=8, rack=4)
        for _ in model.fleet.workers:
            await model.submit("usual", (step(gpus=8),), 60.0)
        await asyncio.sleep(1.0)
        if disturbed:
            model.disturbance_times.append(asyncio.get_running_loop().time())
        await model.submit("urgent", (step(width, gpus=8, gang=True),), 1.0)
        await asyncio.sleep(model.bounds.reclaim + 1.0)
        await model.stop()
        return violations(model)

    return run_virtual(submit())


def test_an_urgent_job_that_waits_for_other_work_is_found():
    found = play(preempts=False)
    assert len(found) == 1
    assert found[0].startswith("RECLAIM: ")


def test_an_urgent_job_that_gets_its_capacity_in_time_is_not_found():
    assert play(preempts=True) == []


@pytest.mark.parametrize(
    "more", [{"width": GUARANTEED_WORKERS + 1}, {"disturbed": True}]
)
def test_a_job_beyond_its_guarantee_or_near_a_fault_may_wait(more):
    assert play(preempts=False, **more) == []
