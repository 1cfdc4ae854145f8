"""The check of waits finds work that a scheduler forgets, and nothing else."""

import asyncio
from unittest import mock

import pytest
from common.history import start_events

from zinniatrestle.clock import monotonic
from zinniatrestle.deployment import Bounds
from zinniatrestle.scheduling.context import Policy
from zinniatrestle.scheduling.placement import Assignment, BestFit
from zinniatrestle.scheduling.tracker import Tracker
from zinniatrestle.standins.ended_tasks import EndedTasks, EndsAtWorkers, ReportedEnds
from zinniatrestle.standins.idle_waits import MAX_IDLE_SECONDS, IdleWaits
from zinniatrestle.standins.model import DueTimes, Model, run_virtual, step

BOUNDS = Bounds()
SAMPLE_SECONDS = 0.1
# Longer than a wait that breaks the promise.
WAIT_SECONDS = MAX_IDLE_SECONDS + 2.0
FORGOTTEN_CPU = 999


class ForgetfulFit(BestFit):
    """Never place the first task of a step, or a step at all if it is a gang.

    Of a timed job only the last occurrence is forgotten.
    """

    def place(self, step, tasks, workers, constraints) -> Assignment:
        """Return an assignment without the forgotten tasks."""
        found = super().place(step, tasks, workers, constraints)
        if step.shape.cpu != FORGOTTEN_CPU:
            return found
        if step.occurrence < step.job.submission.occurrences - 1:
            return found
        if step.shape.gang:
            return {}
        return {task: worker for task, worker in found.items() if task.index}


async def play(
    shapes,
    begins_at: float = 0.0,
    before=None,
    after=None,
    due_times: DueTimes | None = None,
) -> IdleWaits:
    """Submit a job of which one task is forgotten, and sample its waits."""
    model = Model(1, policy=Policy(placement=ForgetfulFit(), preempts=False))
    await model.start(workers=8, rack=4)
    if before is not None:
        await before(model)
    waits = IdleWaits(model, begins_at)
    job = await model.submit("usual", shapes, 1.0, due_times=due_times)
    if after is not None:
        await after(model, job)
    for _ in range(round(WAIT_SECONDS / SAMPLE_SECONDS)):
        waits.sample()
        await asyncio.sleep(SAMPLE_SECONDS)
    await model.stop()
    return waits


def forgotten(count: int = 1, **fields):
    return step(count, cpu=FORGOTTEN_CPU, **fields)


async def fill_half(model: Model):
    await model.submit("usual", (step(4, cpu=32_000, gpus=8),), 60.0)
    await asyncio.sleep(0.5)


async def cut_off_most_workers(model: Model):
    for worker in list(model.fleet.workers.values())[1:]:
        worker.reachable = False


async def drain_all_workers(model: Model):
    for worker in model.fleet.workers.values():
        model.fleet.drain(worker, 60.0)


async def evacuate_all_domains(model: Model):
    for domain in "abc":
        model.operator.evacuate(domain)


async def cancel(model: Model, job):
    await model.cancel(job)


# Guards against a check that can't see the reported failure.
@pytest.mark.parametrize(
    "shapes",
    [
        (forgotten(),),
        (forgotten(3),),
        (forgotten(4, gang=True),),
        (step(seconds=1.0), forgotten(after=(0,))),
        (step(2, gang=True), forgotten(after=(0,))),
    ],
)
def test_a_task_that_is_never_placed_is_found(shapes):
    waits = run_virtual(play(shapes))
    assert len(waits.violations()) == 1
    assert f".0.{len(shapes) - 1}.0 " in waits.violations()[0]


@pytest.mark.parametrize(
    "shapes",
    [
        # It fits once, but not twice.
        (forgotten(5, gang=True, gpus=8),),
        # Its turn comes after a step that runs on.
        (step(seconds=30.0, max_per_worker=1), step(after=(0,))),
    ],
)
def test_a_task_without_room_twice_over_or_that_runs_may_wait(shapes):
    assert run_virtual(play(shapes)).violations() == []


# Guards against a check that sees the first occurrence of a timed job only.
def test_a_task_of_a_later_occurrence_is_found_once_it_is_due():
    due_times = DueTimes(occurrences=2, first_at=-2.0, interval=3.0)
    (wait,) = run_virtual(play((forgotten(seconds=1.0),), due_times=due_times)).broken
    assert wait.task == f"{wait.job}.1.0.0"


def test_a_timed_job_may_wait_until_it_is_due():
    due_times = DueTimes(occurrences=2, first_at=100.0, interval=3.0)
    waits = run_virtual(play((forgotten(),), due_times=due_times))
    assert waits.violations() == []


@pytest.mark.parametrize(
    "before", [fill_half, drain_all_workers, evacuate_all_domains, cut_off_most_workers]
)
def test_a_task_may_wait_while_the_workers_are_in_use_or_unusable(before):
    shapes = (forgotten(gpus=8),)
    assert run_virtual(play(shapes, before=before)).violations() == []


def test_a_cancelled_job_may_wait():
    waits = run_virtual(play((forgotten(),), after=cancel))
    assert waits.violations() == []


def test_waits_count_from_the_time_of_the_promise_on():
    shapes = (forgotten(),)
    begins_at = 1.0 + WAIT_SECONDS - MAX_IDLE_SECONDS + 1.0
    assert run_virtual(play(shapes, begins_at=begins_at)).violations() == []


async def waits_beside_a_repeated_run() -> list[str]:
    """Sample the waits of a job of which a run is done, but repeated elsewhere."""
    model = Model(1)
    await model.start(workers=4, rack=4)
    waits = IdleWaits(model, float("inf"))
    shapes = (step(1, seconds=10.0), step(1, after=(0,), seconds=10.0))
    await model.submit("usual", shapes, 10.0)
    # The first run ends after its worker has become unreachable, within its lease.
    await asyncio.sleep(5.0)
    worker = model.fleet.workers[start_events(model)[0].worker]
    worker.reachable = False
    while len(start_events(model)) < 2:
        waits.sample()
        await asyncio.sleep(SAMPLE_SECONDS)
    worker.reachable = True
    waits.begins_at = monotonic()
    for _ in range(round(WAIT_SECONDS / SAMPLE_SECONDS)):
        waits.sample()
        await asyncio.sleep(SAMPLE_SECONDS)
    await model.stop()
    return waits.violations()


def test_a_step_that_waits_for_the_repetition_of_a_done_run_is_found():
    with mock.patch.object(Tracker, "_is_new_completion", return_value=False):
        assert len(run_virtual(waits_beside_a_repeated_run())) == 1
    assert run_virtual(waits_beside_a_repeated_run()) == []


async def waits_beside_a_lost_end(ended_tasks: type[EndedTasks]) -> list[str]:
    """Sample the waits beside the repetition of a run whose worker was lost with it."""
    model = Model(1)
    await model.start(workers=4, rack=4)
    waits = IdleWaits(model, float("inf"), ended_tasks(model.fleet))
    shapes = (step(1, seconds=10.0), step(1, after=(0,), seconds=10.0))
    await model.submit("usual", shapes, 10.0)
    # The run ends after its worker has become unreachable, and the worker soon after.
    await asyncio.sleep(5.0)
    worker = model.fleet.workers[start_events(model)[0].worker]
    worker.reachable = False
    while worker.running:
        await asyncio.sleep(SAMPLE_SECONDS)
    model.fleet.retire(worker)
    while len(start_events(model)) < 2:
        waits.sample()
        await asyncio.sleep(SAMPLE_SECONDS)
    waits.begins_at = monotonic()
    for _ in range(round(WAIT_SECONDS / SAMPLE_SECONDS)):
        waits.sample()
        await asyncio.sleep(SAMPLE_SECONDS)
    await model.stop()
    return waits.violations()


# Guards against a check that takes the repetition of a run that is done for work of its
# job: the users judge by what the workers did, whoever could know of it.
@pytest.mark.parametrize("ended_tasks, found", [(ReportedEnds, 0), (EndsAtWorkers, 1)])
def test_the_repetition_of_a_run_whose_end_was_lost_is_work_by_reported_ends_only(
    ended_tasks, found
):
    assert len(run_virtual(waits_beside_a_lost_end(ended_tasks))) == found
