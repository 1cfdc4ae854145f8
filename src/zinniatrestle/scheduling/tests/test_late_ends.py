"""The end of a run that was marked as lost counts when its worker reports it."""

import asyncio

import pytest

from zinniatrestle.clock import monotonic
from zinniatrestle.jobs.messages import task_id
from zinniatrestle.standins.checker import violations
from zinniatrestle.standins.model import Model, run_virtual, step
from zinniatrestle.standins.runs import EventKind
from zinniatrestle.workers.messages import RunOutcome

# Time for a hold, a round and the start order.
DETECTION_SECONDS = 2.0
# A run ends while its worker is unreachable, and most of it has to be repeated.
TASK_SECONDS = 10.0
SECONDS_UNTIL_LOSS = 6.0


async def starts_of(model: Model, task, count: int):
    """Return the first `count` starts of a task once there are as many."""
    while True:
        starts = []
        for event in model.fleet.history:
            if event.kind is EventKind.START and event.task == task:
                starts.append(event)
        if len(starts) >= count:
            return starts[:count]
        await asyncio.sleep(0.05)


# Guards against a step that waits beside idle workers for the repetition of a run that
# is done, as its worker has reported by then (LOST).
@pytest.mark.parametrize("gang", [False, True])
def test_step_starts_once_the_late_end_of_a_repeated_run_is_reported(gang):
    async def play():
        model = Model(1)
        await model.start(workers=4, rack=4)
        first = step(1, gang=gang, seconds=TASK_SECONDS)
        second = step(1, after=(0,), seconds=TASK_SECONDS)
        job = await model.submit("usual", (first, second), TASK_SECONDS)
        (start,) = await starts_of(model, task_id(job, 0, 0, 0), 1)
        await asyncio.sleep(SECONDS_UNTIL_LOSS)
        worker = model.fleet.workers[start.worker]
        worker.reachable = False
        _, repeated = await starts_of(model, task_id(job, 0, 0, 0), 2)
        assert repeated.worker != start.worker
        assert [end.outcome for end in worker.ended] == [RunOutcome.DONE]
        worker.reachable = True
        back_at = monotonic()
        (next_start,) = await starts_of(model, task_id(job, 0, 1, 0), 1)
        assert await model.wait_for_jobs(60.0)
        assert violations(model) == []
        return next_start.at - back_at

    assert run_virtual(play()) <= DETECTION_SECONDS
