"""A worker lists its ends in parts: a run that isn't listed yet may have ended."""

import asyncio

from common.history import lines_of, start_events

from zinniatrestle.standins.checker import violations
from zinniatrestle.standins.fleet import MAX_LISTED_ENDS
from zinniatrestle.standins.model import Model, run_virtual, step
from zinniatrestle.standins.runs import EventKind
from zinniatrestle.workers.messages import RunOutcome

# The ends fill four lists, in jobs of the longest permitted size.
TASKS_PER_JOB = 1000
TASKS = 2 * TASKS_PER_JOB
RUN_SECONDS = 6.0
# Longer than a hold waits for ends to be stored.
SLOW_SECONDS = 3.0
STORE_SLOWNESS = 60.0


def slow_store(model: Model, factor: float):
    for host in model.hosts:
        host.store.latency_factor = factor


async def start_tasks(model: Model):
    await model.start(workers=1, rack=1)
    shape = step(TASKS_PER_JOB, cpu=10, memory_mb=10, gpus=0, seconds=RUN_SECONDS)
    for _ in range(TASKS // TASKS_PER_JOB):
        await model.submit("usual", (shape,), RUN_SECONDS)
    while len(start_events(model)) < TASKS:
        await asyncio.sleep(0.05)


async def wait_for_ends(model: Model, count: int):
    while len(ends(model)) < count:
        await asyncio.sleep(0.02)


def ends(model: Model):
    return [event for event in model.fleet.history if event.kind is EventKind.END]


async def play_slow_store() -> Model:
    """Let all runs end while the store is slow, and let the jobs complete."""
    model = Model(1)
    await start_tasks(model)
    slow_store(model, STORE_SLOWNESS)
    await wait_for_ends(model, 1)
    await asyncio.sleep(SLOW_SECONDS)
    slow_store(model, 1.0)
    assert await model.wait_for_jobs(60.0)
    return model


def assert_each_task_ran_once(model: Model):
    assert len(start_events(model)) == TASKS
    assert {event.outcome for event in ends(model)} == {RunOutcome.DONE}
    assert violations(model) == []


# Guards against done tasks that run again since their ends are not on the first list.
def test_tasks_whose_ends_are_not_listed_yet_are_not_started_again():
    assert_each_task_ran_once(run_virtual(play_slow_store()))


# Guards against a successor that takes the first list of ends for a complete one.
def test_successor_does_not_start_tasks_again_whose_ends_are_not_listed_yet():
    async def play():
        model = Model(1)
        await start_tasks(model)
        await wait_for_ends(model, 1)
        await model.leader().kill()
        assert await model.wait_for_jobs(60.0)
        return model

    assert_each_task_ran_once(run_virtual(play()))


def test_a_run_that_a_complete_list_lacks_is_started_again():
    async def play():
        model = Model(1)
        await start_tasks(model)
        slow_store(model, STORE_SLOWNESS)
        await wait_for_ends(model, TASKS)
        (worker,) = model.fleet.workers.values()
        forgotten = worker.ended.pop()
        slow_store(model, 1.0)
        assert await model.wait_for_jobs(60.0)
        return len(start_events(model)), len(start_events(model, forgotten.task))

    assert run_virtual(play()) == (TASKS + 1, 2)


def test_ends_that_are_listed_in_parts_are_logged():
    model = run_virtual(play_slow_store())
    line = lines_of(model, "ends_listed_in_part")[0]
    assert (line["worker"], line["listed"]) == ("w0", MAX_LISTED_ENDS)
    assert line["last"] > line["acknowledged"]
