"""Long-running tasks that fail at each start harm neither the store nor other jobs."""

import asyncio

from zinniatrestle.jobs import JobState
from zinniatrestle.jobs.messages import PROGRESS, row_name
from zinniatrestle.standins.checker import violations
from zinniatrestle.standins.model import Model, run_virtual, step
from zinniatrestle.standins.runs import EventKind

TASKS = 16
ALWAYS = 10**9
MINUTE = 60.0


def run_with_crash_loop(check, seconds=0.02, **shape):
    """Run a check beside a job whose long-running tasks fail after some seconds."""

    async def run():
        model = Model(1, hosts=2)
        await model.start(workers=4, rack=4)
        looping = step(TASKS, cpu=100, gpus=0, long_running=True, **shape)
        job = await model.submit("usual", (looping,), seconds, failures=ALWAYS)
        await check(model, job)
        assert violations(model) == []

    run_virtual(run())


def start_times(model, task) -> list[float]:
    return [
        event.at
        for event in model.fleet.history
        if event.kind is EventKind.START and event.task == task
    ]


# Guards against rows that grow with each failure until the store refuses them.
def test_the_row_of_a_crash_loop_does_not_grow():
    async def check(model, job):
        sizes = []
        for minutes in (1, 2, 3):
            await asyncio.sleep(minutes * MINUTE)
            sizes.append(len(model.rows.row(PROGRESS, row_name(job)).value))
        assert max(sizes) - min(sizes) <= TASKS * 8
        other = await model.submit("usual", (step(1),), 1.0)
        await asyncio.sleep(10.0)
        assert model.state(other) is JobState.COMPLETED

    run_with_crash_loop(check)
