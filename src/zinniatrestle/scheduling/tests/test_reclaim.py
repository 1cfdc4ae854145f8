"""Preemption plans in a full cluster: urgent work displaces the cheapest work."""

import math

import pytest
from common.scheduling import (
    NOW,
    constraints,
    first_step,
    job,
    run_on,
    workers_in_racks,
)

from zinniatrestle.jobs.messages import Step
from zinniatrestle.scheduling.durations import Durations
from zinniatrestle.scheduling.forecast import Forecast
from zinniatrestle.scheduling.preemption_costs import PreemptionCosts
from zinniatrestle.scheduling.preemption_plan import PreemptionPlanner
from zinniatrestle.scheduling.state import TaskStatus

PLANNER = PreemptionPlanner()
RESTORE_SECONDS = 2.0


def plan(count, workers, gpus=8, limit=math.inf, **shape):
    step = first_step(
        job("a" * 16, Step(count=count, gpus=gpus, gang=True, **shape), priority=0)
    )
    costs = PreemptionCosts(Forecast(Durations(), NOW), RESTORE_SECONDS)
    return PLANNER.plan(
        step, step.waiting_tasks(), workers, constraints(), costs, limit
    )


def run_task(name, worker, priority, since, gpus=8, **shape):
    new_job = job(name * 16, Step(cpu=1000, gpus=gpus, **shape), priority=priority)
    return run_on(first_step(new_job).tasks[0], worker, since)


def test_the_run_that_loses_the_least_work_is_preempted():
    workers = workers_in_racks(1, size=3)
    run_task("1", workers[0], 2, NOW - 9)
    cheap = run_task("2", workers[1], 2, NOW - 1)
    run_task("3", workers[2], 2, NOW - 5)
    found = plan(1, workers)
    assert found.victims == [cheap]
    assert list(found.assignment.values()) == [workers[1]]


# Guards against a plan that puts more tasks of a step on a worker than are permitted.
def test_no_room_is_made_on_a_worker_that_has_all_it_may_have_of_the_step():
    workers = workers_in_racks(1, size=2)
    shape = Step(count=2, gpus=4, max_per_worker=1)
    step = first_step(job("a" * 16, shape, priority=0))
    run_on(step.tasks[0], workers[0])
    run_task("1", workers[0], 2, NOW - 1, gpus=4)
    costly = run_task("2", workers[1], 2, NOW - 9)
    costs = PreemptionCosts(Forecast(Durations(), NOW), RESTORE_SECONDS)
    found = PLANNER.plan(step, step.waiting_tasks(), workers, constraints(), costs)
    assert found.victims == [costly]
    assert list(found.assignment.values()) == [workers[1]]


def test_a_run_with_checkpoints_is_preempted_before_one_without():
    workers = workers_in_racks(1, size=2)
    run_task("1", workers[0], 2, NOW - 3)
    checkpointing_task = run_task("2", workers[1], 2, NOW - 9, checkpointing=True)
    assert plan(1, workers).victims == [checkpointing_task]


def test_the_less_urgent_queue_is_preempted_first():
    workers = workers_in_racks(1, size=2)
    run_task("1", workers[0], 1, NOW - 4)
    low_priority = run_task("2", workers[1], 2, NOW - 4)
    assert plan(1, workers).victims == [low_priority]


def test_urgent_work_is_never_preempted():
    workers = workers_in_racks(1, size=1)
    run_task("1", workers[0], 0, NOW - 1)
    assert plan(1, workers) is None


def test_nothing_is_preempted_unless_the_whole_step_fits():
    workers = workers_in_racks(1, size=2)
    run_task("1", workers[0], 0, NOW - 1)
    run_task("2", workers[1], 2, NOW - 1)
    assert plan(2, workers) is None


def test_a_gang_is_preempted_as_a_whole_and_frees_capacity_on_all_its_workers():
    workers = workers_in_racks(1, size=2)
    gang = first_step(job("1" * 16, Step(count=2, gpus=8, gang=True), priority=2))
    members = [run_on(task, workers[n], NOW - 2) for n, task in enumerate(gang.tasks)]
    found = plan(2, workers)
    assert set(found.victims) == set(members)


def test_capacity_of_tasks_that_are_being_stopped_is_used_first():
    workers = workers_in_racks(1, size=2)
    stopping = run_task("1", workers[0], 2, NOW - 9)
    stopping.status = TaskStatus.STOPPING
    stopping.status_at = NOW
    run_task("2", workers[1], 2, NOW - 1)
    found = plan(1, workers)
    assert found.victims == []
    assert list(found.assignment.values()) == [workers[0]]


def test_capacity_freed_for_one_step_is_not_given_to_another():
    workers = workers_in_racks(1, size=1)
    victim = run_task("1", workers[0], 2, NOW - 1)
    costs = PreemptionCosts(Forecast(Durations(), NOW), RESTORE_SECONDS)
    first, second = (
        first_step(job(name * 16, Step(gpus=8), priority=0)) for name in "ab"
    )
    found = PLANNER.plan(first, first.tasks, workers, constraints(), costs)
    assert found.victims == [victim]
    victim.status = TaskStatus.STOPPING
    workers[0].reserve(first.tasks[0])
    assert PLANNER.plan(second, second.tasks, workers, constraints(), costs) is None


def test_long_running_tasks_are_not_preempted():
    workers = workers_in_racks(1, size=1)
    run_task("1", workers[0], 2, NOW - 1, long_running=True)
    assert plan(1, workers) is None


def test_a_plan_over_the_loss_limit_is_rejected():
    workers = workers_in_racks(1, size=1)
    run_task("1", workers[0], 2, NOW - 10, estimated_ms=60_000)
    # 10 s on one core and 8 accelerators, which count as 8 cores each.
    lost = 10 * (1000 + 8 * 8000)
    assert plan(1, workers, limit=lost - 1) is None
    assert plan(1, workers, limit=lost).loss == lost


def test_the_loss_of_many_small_tasks_is_the_work_they_have_done():
    workers = workers_in_racks(1, size=1)
    for number in range(8):
        run_task(f"{number}", workers[0], 2, NOW - 1, gpus=1, estimated_ms=20_000)
    found = plan(1, workers)
    assert len(found.victims) == 8
    assert found.loss == 8 * (1000 + 8000)


def test_a_job_that_preemption_would_make_late_is_not_preempted():
    workers = workers_in_racks(1, size=2)
    shape = dict(estimated_ms=10_000, count=1)
    tight = job("1" * 16, Step(gpus=8, **shape), priority=2, arrived=NOW - 21)
    run_on(first_step(tight).tasks[0], workers[0], NOW - 3)
    loose = job("2" * 16, Step(gpus=8, **shape), priority=2, arrived=NOW - 5)
    with_slack = run_on(first_step(loose).tasks[0], workers[1], NOW - 4)
    assert plan(1, workers).victims == [with_slack]


def test_units_that_turn_out_to_be_redundant_are_not_preempted():
    workers = workers_in_racks(1, size=2)
    small = run_task("1", workers[0], 2, NOW - 1, gpus=1)
    gang = first_step(job("2" * 16, Step(count=2, gpus=4, gang=True), priority=2))
    # The small task and one half of the gang fill the first worker.
    run_on(gang.tasks[0], workers[0], NOW - 2)
    run_on(gang.tasks[1], workers[1], NOW - 2)
    found = plan(1, workers, gpus=4)
    assert small not in found.victims or found.victims == [small]


def test_one_preemption_makes_room_for_several_tasks_on_a_worker():
    workers = workers_in_racks(1, size=2)
    whole = run_task("1", workers[0], 2, NOW - 3)
    for number in range(2, 10):
        run_task(f"{number}", workers[1], 2, NOW - 5, gpus=1)
    found = plan(8, workers, gpus=1)
    assert found.victims == [whole]
    assert set(found.assignment.values()) == {workers[0]}


# Guards against a plan that exceeds the limit on tasks of a step at one worker (ROUTE).
def test_a_plan_counts_the_tasks_of_the_step_that_already_run_on_a_worker():
    workers = workers_in_racks(1, size=2)
    run_task("1", workers[0], 2, NOW - 1)
    spread = first_step(
        job("a" * 16, Step(count=2, gpus=1, max_per_worker=1), priority=0)
    )
    run_on(spread.tasks[0], workers[1])
    costs = PreemptionCosts(Forecast(Durations(), NOW), RESTORE_SECONDS)
    found = PLANNER.plan(spread, spread.waiting_tasks(), workers, constraints(), costs)
    assert list(found.assignment.values()) == [workers[0]]


# Guards against a gang that preempts in time and still ends late on a slow worker.
@pytest.mark.parametrize("fast_workers", [1, 0])
def test_an_urgent_gang_preempts_on_a_slow_worker_only_if_no_other_will_do(
    fast_workers,
):
    workers = workers_in_racks(1, size=2)
    on_slow = run_task("1", workers[0], 2, NOW - 1)
    on_other = run_task("2", workers[1], 2, NOW - 9)
    for number, target in enumerate(workers):
        target.speed = 1.0 if number >= 2 - fast_workers else 0.8
        target.speed_measured_at = NOW
    step = first_step(job("a" * 16, Step(count=1, gpus=8, gang=True), priority=0))
    costs = PreemptionCosts(Forecast(Durations(), NOW), RESTORE_SECONDS)
    urgent = constraints(time_critical=True, now=NOW)
    waiting = step.waiting_tasks()
    found = PLANNER.plan(step, waiting, workers, urgent, costs, limit=1e9)
    assert found.victims == [on_other if fast_workers else on_slow]
    # A guarantee, which has no limit on lost work, takes the cheapest plan.
    found = PLANNER.plan(step, waiting, workers, urgent, costs)
    assert found.victims == [on_slow]


# Guards against urgent jobs that are late because runs which save a checkpoint at their
# stop seem to lose half an interval.
def test_a_run_with_checkpoints_loses_the_time_to_restore_it():
    workers = workers_in_racks(1, size=1)
    run_task("1", workers[0], 2, NOW - 9, checkpointing=True)
    lost = RESTORE_SECONDS * (1000 + 8 * 8000)
    assert plan(1, workers, limit=lost - 1) is None
    assert plan(1, workers, limit=lost).loss == lost


def restart(task, worker, since):
    """Run a task again that lost 3 s by its preemption."""
    task.restart_cost = 3.0
    return run_on(task, worker, since)


# Guards against a run that is stopped for each urgent job in turn and never advances.
def test_a_preempted_run_is_not_preempted_again_before_it_has_gained_its_cost():
    workers = workers_in_racks(1, size=1)
    restarted = first_step(job("1" * 16, Step(cpu=1000, gpus=8), priority=2)).tasks[0]
    restart(restarted, workers[0], NOW - 2.9)
    assert plan(1, workers, limit=1e9) is None
    restarted.started_at = NOW - 3.0
    assert plan(1, workers, limit=1e9).victims == [restarted]
    # A resumed run works only once it is restored.
    restarted.resumed = True
    assert plan(1, workers, limit=1e9) is None
    restarted.started_at = NOW - 3.0 - RESTORE_SECONDS
    assert plan(1, workers, limit=1e9).victims == [restarted]


def test_a_run_that_was_not_preempted_is_not_protected():
    workers = workers_in_racks(1, size=2)
    restarted = first_step(job("1" * 16, Step(cpu=1000, gpus=8), priority=2)).tasks[0]
    restart(restarted, workers[0], NOW - 1)
    other = run_task("2", workers[1], 2, NOW - 9)
    assert plan(1, workers, limit=1e9).victims == [other]


# Guards against a guarantee that is broken because all runs were preempted before.
def test_a_guarantee_takes_protected_runs_after_all_others():
    workers = workers_in_racks(1, size=2)
    restarted = first_step(job("1" * 16, Step(cpu=1000, gpus=8), priority=2)).tasks[0]
    restart(restarted, workers[0], NOW - 2)
    other = run_task("2", workers[1], 2, NOW - 3)
    assert plan(1, workers).victims == [other]
    assert set(plan(2, workers).victims) == {restarted, other}
