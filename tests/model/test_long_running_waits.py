"""The check of long-running tasks finds forgotten ones, and nothing else."""

import asyncio

import pytest

from zinniatrestle.clock import monotonic
from zinniatrestle.scheduling.context import Policy
from zinniatrestle.scheduling.placement import Assignment, BestFit
from zinniatrestle.standins.long_running_waits import (
    CALM_SECONDS,
    MAX_WAIT_SECONDS,
    RESTART_SECONDS,
    LongRunningWaits,
    Promise,
)
from zinniatrestle.standins.model import Model, run_virtual, step

SAMPLE_SECONDS = 0.1
NEVER = float("inf")
FORGOTTEN_CPU = 999


class ForgetfulFit(BestFit):
    """Never place the first task of a step."""

    def place(self, step, tasks, workers, constraints) -> Assignment:
        """Return an assignment without the forgotten task."""
        found = super().place(step, tasks, workers, constraints)
        if step.shape.cpu != FORGOTTEN_CPU:
            return found
        return {task: worker for task, worker in found.items() if task.index}


def service(count: int = 2, cpu: int = FORGOTTEN_CPU, **fields):
    return step(count, cpu=cpu, long_running=True, **fields)


async def play(
    shapes,
    seconds: float = MAX_WAIT_SECONDS + 1.0,
    begins_at: float = NEVER,
    disturbed: bool = False,
    before=None,
    after=None,
) -> list[Promise]:
    """Submit a job, sample its waits for some time, and return the broken promises."""
    model = Model(1, policy=Policy(placement=ForgetfulFit(), preempts=False))
    await model.start(workers=8, rack=4)
    if before is not None:
        await before(model)
    waits = LongRunningWaits(model, begins_at)
    job = await model.submit("usual", shapes, 1000.0)
    if after is not None:
        await after(model, job)
    ends_at = monotonic() + seconds
    while monotonic() < ends_at:
        if disturbed:
            model.disturbance_times.append(monotonic())
        waits.sample()
        await asyncio.sleep(SAMPLE_SECONDS)
    await model.stop()
    assert {wait.task for wait in waits.broken} <= {f"{job}.0.{len(shapes) - 1}.0"}
    return [wait.promise for wait in waits.broken]


async def use_most_workers(model: Model):
    """Leave two workers to the forgotten task, as the other one gets a third."""
    await use_workers(model, 5)


async def use_all_but_one_worker(model: Model):
    await use_workers(model, 7)


async def use_workers(model: Model, count: int):
    await model.submit("usual", (step(count, cpu=32_000, gpus=8),), 1000.0)
    await asyncio.sleep(0.5)


async def cut_off_all_workers(model: Model):
    for worker in model.fleet.workers.values():
        worker.reachable = False


async def cancel(model: Model, job):
    await model.cancel(job)


# Guards against a check that can't see a task that is never placed while others of its
# step run.
def test_a_task_that_is_never_placed_is_found_while_all_is_calm():
    assert run_virtual(play((service(),))) == [Promise.CALM]


# Guards against a promise for a busy service that is left out.
def test_a_task_is_found_in_a_calm_busy_service():
    found = play((service(gpus=8),), before=use_most_workers)
    assert run_virtual(found) == [Promise.CALM]


def test_a_task_is_found_from_the_time_of_the_promise_on_although_there_are_faults():
    found = run_virtual(play((service(),), begins_at=0.0, disturbed=True))
    assert found == [Promise.IDLE]


@pytest.mark.parametrize("begins_at", [0.0, NEVER])
def test_a_task_may_wait_in_a_busy_service_that_is_disturbed(begins_at):
    found = play(
        (service(gpus=8),),
        begins_at=begins_at,
        disturbed=True,
        before=use_most_workers,
    )
    assert run_virtual(found) == []


# It fits once, but not twice.
def test_a_task_without_room_twice_over_may_wait():
    found = play((service(1, gpus=8),), before=use_all_but_one_worker)
    assert run_virtual(found) == []


def test_a_task_may_wait_while_no_worker_can_be_reached():
    assert run_virtual(play((service(),), before=cut_off_all_workers)) == []


def test_a_task_of_a_cancelled_job_may_wait():
    assert run_virtual(play((service(),), after=cancel)) == []


def test_a_task_may_wait_for_the_steps_before_its_own():
    shapes = (step(gpus=1), service(after=(0,)))
    assert run_virtual(play(shapes)) == []


@pytest.mark.parametrize(
    ("seconds", "found"),
    [
        (RESTART_SECONDS + MAX_WAIT_SECONDS - 1.0, []),
        (RESTART_SECONDS + MAX_WAIT_SECONDS + 1.0, [Promise.CALM]),
    ],
)
def test_a_task_may_wait_for_some_time_after_its_last_run(seconds, found):
    async def end_run(model: Model, job):
        """Let the task start by itself and end it with its worker."""
        await asyncio.sleep(0.5)
        policy = model.policy.placement
        (worker,) = [item for item in model.fleet.workers.values() if item.running]
        # From now on the task is forgotten.
        policy.place = lambda step, tasks, workers, constraints: {}
        model.fleet.crash(worker)
        model.fleet.restart(worker)

    shapes = (service(1, cpu=1000),)
    assert run_virtual(play(shapes, seconds, after=end_run)) == found


def test_the_deployment_is_calm_some_time_after_the_last_disturbance():
    async def disturb(model: Model, job):
        model.disturbance_times.append(monotonic())

    early = play((service(),), CALM_SECONDS + MAX_WAIT_SECONDS - 1.0, after=disturb)
    assert run_virtual(early) == []
    late = play((service(),), CALM_SECONDS + MAX_WAIT_SECONDS + 1.0, after=disturb)
    assert run_virtual(late) == [Promise.CALM]
