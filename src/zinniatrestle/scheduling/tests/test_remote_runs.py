"""Runs away from their data are restarted near it if they end sooner there."""

import pytest
from common.scheduling import (
    NOW,
    constraints,
    first_step,
    job,
    run_on,
    with_progress,
    workers_in_racks,
)

from zinniatrestle.deployment import Bounds
from zinniatrestle.ids import RackId
from zinniatrestle.jobs.messages import Step
from zinniatrestle.scheduling.remote_runs import MAX_MOVES, tasks_to_move_near
from zinniatrestle.scheduling.state import StepRun, Worker, WorkerHealth

BOUNDS = Bounds()
DATA_RACK = RackId("r0")
RUNNING_SECONDS = 4.0


def remote_step(
    workers: list[Worker], percents: tuple[float, ...], **fields
) -> StepRun:
    """Return a step that has run for some seconds with one task on each worker."""
    fields.setdefault("data_rack", DATA_RACK)
    shape = Step(count=len(percents), gpus=8, estimated_ms=10_000, **fields)
    step = first_step(job("1" * 16, shape))
    for task, worker, percent in zip(step.tasks, workers, percents, strict=True):
        run_on(task, worker)
        with_progress(task, (0.0, NOW), (percent, NOW + RUNNING_SECONDS))
    return step


def moved(step: StepRun, workers: list[Worker]) -> list[int]:
    """Return the indices of the tasks that are to move."""
    tasks = tasks_to_move_near(step, workers, constraints(), BOUNDS)
    return [task.index for task in tasks]


# A third of the speed: the whole run takes 10 s near the data.
@pytest.mark.parametrize(
    ("percent", "checkpointing", "expected"),
    [
        (14.0, False, [0]),
        # What is left takes less time than a new run.
        (70.0, False, []),
        (70.0, True, [0]),
        (95.0, True, []),
    ],
)
def test_run_moves_near_its_data_if_it_ends_much_sooner_there(
    percent, checkpointing, expected
):
    workers = workers_in_racks(2)
    step = remote_step(workers[4:5], (percent,), checkpointing=checkpointing)
    step.tasks[0].progress_rate = 3.3
    assert moved(step, workers) == expected


def test_run_without_known_progress_is_not_moved():
    workers = workers_in_racks(2)
    step = remote_step(workers[4:5], (0.0,))
    step.tasks[0].progress_rate = None
    assert moved(step, workers) == []


def test_only_as_many_tasks_move_as_there_is_room_for_the_least_advanced_first():
    workers = workers_in_racks(2)
    other = first_step(job("2" * 16, Step(count=2, gpus=8)))
    for task, worker in zip(other.tasks, workers, strict=False):
        run_on(task, worker)
    step = remote_step(workers[4:8], (13.0, 10.0, 12.0, 11.0))
    assert moved(step, workers) == [1, 3]


def test_run_does_not_move_to_workers_that_are_unhealthy_or_left_to_others():
    workers = workers_in_racks(2)
    step = remote_step(workers[4:5], (13.0,))
    assert moved(step, workers[4:]) == []
    for worker in workers[:4]:
        worker.health = WorkerHealth.QUARANTINED
    assert moved(step, workers) == []
    for worker in workers[:4]:
        worker.health = WorkerHealth.CANARY
    assert moved(step, workers) == []


def test_run_on_a_silent_worker_is_not_moved():
    workers = workers_in_racks(2)
    step = remote_step(workers[4:5], (13.0,))
    workers[4].silent = True
    assert moved(step, workers) == []


def test_run_is_moved_a_few_times_at_most():
    workers = workers_in_racks(2)
    step = remote_step(workers[4:5], (13.0,))
    step.tasks[0].moves = MAX_MOVES
    assert moved(step, workers) == []


@pytest.mark.parametrize(
    "fields", [{"data_rack": RackId("r1")}, {"data_rack": RackId("")}]
)
def test_run_that_is_near_its_data_or_has_none_stays(fields):
    workers = workers_in_racks(2)
    assert moved(remote_step(workers[4:5], (13.0,), **fields), workers) == []


def test_long_running_task_stays():
    workers = workers_in_racks(2)
    step = remote_step(workers[4:5], (13.0,), long_running=True)
    assert moved(step, workers) == []


# Two of its four members run in the first rack, and leave room there.
def test_rack_bound_gang_moves_into_a_rack_that_can_hold_it():
    workers = workers_in_racks(2)
    step = remote_step(
        workers[2:6], (13.0,) * 4, gang=True, rack_bound=True, data_rack=RackId("")
    )
    assert moved(step, workers) == [0, 1, 2, 3]


def test_gang_stays_if_no_rack_can_hold_all_of_it():
    workers = workers_in_racks(2)
    step = remote_step(
        workers[2:6], (13.0,) * 4, gang=True, rack_bound=True, data_rack=RackId("")
    )
    others = first_step(job("2" * 16, Step(count=2, gpus=8)))
    run_on(others.tasks[0], workers[0])
    run_on(others.tasks[1], workers[7])
    assert moved(step, workers) == []


def test_gang_moves_only_to_the_rack_of_its_data():
    workers = workers_in_racks(3)
    step = remote_step(workers[4:6], (13.0, 13.0), gang=True)
    assert moved(step, workers) == [0, 1]
    assert moved(step, workers[4:]) == []


def test_gang_with_a_member_out_of_reach_stays():
    workers = workers_in_racks(2)
    step = remote_step(workers[4:6], (13.0, 13.0), gang=True)
    step.tasks[1].worker.silent = True
    assert moved(step, workers) == []
