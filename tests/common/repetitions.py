"""Jobs of two steps of which the first is done, and repeated as nobody heard of it."""

import asyncio
from dataclasses import dataclass

from common.history import start_events
from zinniatrestle.ids import JobId, TaskId
from zinniatrestle.jobs.messages import task_id
from zinniatrestle.standins.model import Model, step
from zinniatrestle.standins.runs import SimulatedWorker, WorkerEvent
from zinniatrestle.workers.messages import RunOutcome

# A run ends while its worker is unreachable, and most of it has to be repeated.
TASK_SECONDS = 10.0
SECONDS_UNTIL_LOSS = 6.0
POLL_SECONDS = 0.005


@dataclass
class Repetition:
    """A job whose first step is done at `former`, and runs again at `repeating`."""

    job: JobId
    former: SimulatedWorker
    repeating: SimulatedWorker

    @property
    def repeated_task(self) -> TaskId:
        """Return the first task of the first step."""
        return task_id(self.job, 0, 0, 0)

    @property
    def next_task(self) -> TaskId:
        """Return the first task of the second step."""
        return task_id(self.job, 0, 1, 0)


async def wait_for_starts(model: Model, task: TaskId, count: int) -> list[WorkerEvent]:
    """Return the first `count` starts of a task once there are as many."""
    while len(start_events(model, task)) < count:
        await asyncio.sleep(POLL_SECONDS)
    return start_events(model, task)[:count]


async def lose_run_that_is_done(
    model: Model, gang: bool = False, is_last: bool = False
) -> tuple[JobId, SimulatedWorker]:
    """Return a job, and a worker without contact that ends its first step.

    A second step follows unless the first one `is_last`.
    """
    await model.start(workers=4, rack=4)
    first = step(1, gang=gang, seconds=TASK_SECONDS)
    second = step(1, after=(0,), seconds=TASK_SECONDS)
    steps = (first,) if is_last else (first, second)
    job = await model.submit("usual", steps, TASK_SECONDS)
    (start,) = await wait_for_starts(model, task_id(job, 0, 0, 0), 1)
    await asyncio.sleep(SECONDS_UNTIL_LOSS)
    former = model.fleet.workers[start.worker]
    former.reachable = False
    return job, former


async def repeat_run_that_is_done(
    model: Model, gang: bool = False, is_last: bool = False
) -> Repetition:
    """Return a job whose first step is done, lost with its worker, and repeated."""
    job, former = await lose_run_that_is_done(model, gang, is_last)
    _, repeated = await wait_for_starts(model, task_id(job, 0, 0, 0), 2)
    assert repeated.worker != former.entry.worker
    assert [end.outcome for end in former.ended] == [RunOutcome.DONE]
    return Repetition(job, former, model.fleet.workers[repeated.worker])
