"""The end of a run that was marked as lost counts when its worker reports it."""

import asyncio

import pytest
from common.history import start_events

from zinniatrestle.clock import monotonic
from zinniatrestle.ids import TaskId
from zinniatrestle.jobs.messages import task_id
from zinniatrestle.standins.checker import check_capacity, violations
from zinniatrestle.standins.model import Model, run_virtual, step
from zinniatrestle.standins.runs import SimulatedWorker, WorkerEvent
from zinniatrestle.workers.messages import RunOutcome

# Time for a hold, a round and the start order.
DETECTION_SECONDS = 2.0
# A run ends while its worker is unreachable, and most of it has to be repeated.
TASK_SECONDS = 10.0
SECONDS_UNTIL_LOSS = 6.0
POLL_SECONDS = 0.005


async def wait_for_starts(model: Model, task: TaskId, count: int) -> list[WorkerEvent]:
    """Return the first `count` starts of a task once there are as many."""
    while len(start_events(model, task)) < count:
        await asyncio.sleep(POLL_SECONDS)
    return start_events(model, task)[:count]


async def repeat_a_run_that_is_done(
    model: Model, gang: bool
) -> tuple[TaskId, TaskId, SimulatedWorker]:
    """Return the tasks of two steps, and the worker on which the first one is done.

    The worker has been lost, so that the first task runs again elsewhere.
    """
    await model.start(workers=4, rack=4)
    first = step(1, gang=gang, seconds=TASK_SECONDS)
    second = step(1, after=(0,), seconds=TASK_SECONDS)
    job = await model.submit("usual", (first, second), TASK_SECONDS)
    repeated_task, next_task = task_id(job, 0, 0, 0), task_id(job, 0, 1, 0)
    (start,) = await wait_for_starts(model, repeated_task, 1)
    await asyncio.sleep(SECONDS_UNTIL_LOSS)
    worker = model.fleet.workers[start.worker]
    worker.reachable = False
    _, repeated = await wait_for_starts(model, repeated_task, 2)
    assert repeated.worker != start.worker
    assert [end.outcome for end in worker.ended] == [RunOutcome.DONE]
    return repeated_task, next_task, worker


# Guards against a step that waits for the repetition of a run that is done (LOST).
@pytest.mark.parametrize("gang", [False, True])
def test_step_starts_once_the_late_end_of_a_repeated_run_is_reported(gang):
    async def play():
        model = Model(1)
        _, next_task, worker = await repeat_a_run_that_is_done(model, gang)
        worker.reachable = True
        back_at = monotonic()
        (next_start,) = await wait_for_starts(model, next_task, 1)
        assert await model.wait_for_jobs(60.0)
        assert violations(model) == []
        return next_start.at - back_at

    assert run_virtual(play()) <= DETECTION_SECONDS


# Guards against a third run after a late end that only a lost scheduler knew (LOST).
@pytest.mark.parametrize("gang", [False, True])
def test_successor_knows_the_late_end_of_a_run_that_is_still_being_stopped(gang):
    async def play():
        model = Model(1)
        task, next_task, worker = await repeat_a_run_that_is_done(model, gang)
        worker.reachable = True
        while worker.ended:
            await asyncio.sleep(POLL_SECONDS)
        await model.leader().kill()
        killed_at = monotonic()
        (next_start,) = await wait_for_starts(model, next_task, 1)
        assert await model.wait_for_jobs(60.0)
        assert violations(model) == []
        assert len(start_events(model, task)) == 2
        return next_start.at - killed_at

    assert run_virtual(play()) <= Model(1).bounds.lease + DETECTION_SECONDS


# Guards against capacity that is taken to be free while a repetition still uses it.
def test_repetition_keeps_its_capacity_until_it_has_been_stopped():
    async def play():
        model = Model(1)
        _, _, worker = await repeat_a_run_that_is_done(model, gang=False)
        for _ in range(4):
            await model.submit("usual", (step(gpus=8),), 5.0)
        worker.reachable = True
        overloaded: list[str] = []
        while not all(model.has_ended(job) for job in model.jobs):
            await asyncio.sleep(POLL_SECONDS)
            check_capacity(model.fleet, overloaded)
        return overloaded + violations(model)

    assert run_virtual(play()) == []
