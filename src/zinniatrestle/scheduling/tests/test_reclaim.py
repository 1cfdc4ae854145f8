"""A burst of guaranteed work in a full cluster: the cheapest loss makes room."""

import math

from common.scheduling import NOW, constraints, first_step, job, racks, run_on

from zinniatrestle.jobs.messages import Step
from zinniatrestle.scheduling.durations import Durations
from zinniatrestle.scheduling.forecast import Forecast
from zinniatrestle.scheduling.preemption_costs import PreemptionCosts
from zinniatrestle.scheduling.reclaim import ReclaimPlanner
from zinniatrestle.scheduling.state import TaskStatus

PLANNER = ReclaimPlanner()
CHECKPOINT_SECONDS = 2.0


def plan(count, workers, gpus=8, limit=math.inf, **shape):
    step = first_step(
        job("a" * 16, Step(count=count, gpus=gpus, gang=True, **shape), priority=0)
    )
    costs = PreemptionCosts(Forecast(Durations(), NOW), CHECKPOINT_SECONDS)
    return PLANNER.plan(step, step.waiting(), workers, constraints(), costs, limit)


def busy(name, where, priority, since, gpus=8, **shape):
    made = job(name * 16, Step(cpu=1000, gpus=gpus, **shape), priority=priority)
    return run_on(first_step(made).tasks[0], where, since)


def test_the_work_that_has_done_least_is_stopped():
    workers = racks(1, size=3)
    busy("1", workers[0], 2, NOW - 9)
    cheap = busy("2", workers[1], 2, NOW - 1)
    busy("3", workers[2], 2, NOW - 5)
    found = plan(1, workers)
    assert found.victims == [cheap]
    assert list(found.places.values()) == [workers[1]]


def test_work_with_a_checkpoint_goes_before_work_without():
    workers = racks(1, size=2)
    busy("1", workers[0], 2, NOW - 3)
    saved = busy("2", workers[1], 2, NOW - 9, checkpointing=True)
    assert plan(1, workers).victims == [saved]


def test_the_less_urgent_queue_goes_first():
    workers = racks(1, size=2)
    busy("1", workers[0], 1, NOW - 4)
    patient = busy("2", workers[1], 2, NOW - 4)
    assert plan(1, workers).victims == [patient]


def test_urgent_work_is_never_stopped():
    workers = racks(1, size=1)
    busy("1", workers[0], 0, NOW - 1)
    assert plan(1, workers) is None


def test_nothing_is_stopped_unless_the_whole_step_fits():
    workers = racks(1, size=2)
    busy("1", workers[0], 0, NOW - 1)
    busy("2", workers[1], 2, NOW - 1)
    assert plan(2, workers) is None


def test_a_gang_is_stopped_as_a_whole_and_all_its_room_counts():
    workers = racks(1, size=2)
    gang = first_step(job("1" * 16, Step(count=2, gpus=8, gang=True), priority=2))
    members = [run_on(task, workers[n], NOW - 2) for n, task in enumerate(gang.tasks)]
    found = plan(2, workers)
    assert set(found.victims) == set(members)


def test_room_that_is_being_freed_already_is_used_first():
    workers = racks(1, size=2)
    leaving = busy("1", workers[0], 2, NOW - 9)
    leaving.status = TaskStatus.STOPPING
    busy("2", workers[1], 2, NOW - 1)
    found = plan(1, workers)
    assert found.victims == []
    assert list(found.places.values()) == [workers[0]]


def test_room_that_one_plan_makes_is_no_room_for_the_next():
    workers = racks(1, size=1)
    victim = busy("1", workers[0], 2, NOW - 1)
    costs = PreemptionCosts(Forecast(Durations(), NOW), CHECKPOINT_SECONDS)
    first, second = (
        first_step(job(name * 16, Step(gpus=8), priority=0)) for name in "ab"
    )
    found = PLANNER.plan(first, first.tasks, workers, constraints(), costs)
    assert found.victims == [victim]
    victim.status = TaskStatus.STOPPING
    workers[0].reserve(first.tasks[0])
    assert PLANNER.plan(second, second.tasks, workers, constraints(), costs) is None


def test_lasting_work_is_not_stopped():
    workers = racks(1, size=1)
    busy("1", workers[0], 2, NOW - 1, long_running=True)
    assert plan(1, workers) is None


def test_a_plan_that_loses_more_than_it_is_worth_is_none():
    workers = racks(1, size=1)
    busy("1", workers[0], 2, NOW - 10, estimated_ms=60_000)
    # 10 s on one core and 8 accelerators, which count as 8 cores each.
    lost = 10 * (1000 + 8 * 8000)
    assert plan(1, workers, limit=lost - 1) is None
    assert plan(1, workers, limit=lost).loss == lost


def test_many_small_victims_count_by_what_they_have_done_alone():
    workers = racks(1, size=1)
    for number in range(8):
        busy(f"{number}", workers[0], 2, NOW - 1, gpus=1, estimated_ms=20_000)
    found = plan(1, workers)
    assert len(found.victims) == 8
    assert found.loss == 8 * (1000 + 8000)


def test_work_that_a_stop_would_make_late_is_spared():
    workers = racks(1, size=2)
    slack = dict(estimated_ms=10_000, count=1)
    tight = job("1" * 16, Step(gpus=8, **slack), priority=2, arrived=NOW - 21)
    run_on(first_step(tight).tasks[0], workers[0], NOW - 3)
    loose = job("2" * 16, Step(gpus=8, **slack), priority=2, arrived=NOW - 5)
    spare = run_on(first_step(loose).tasks[0], workers[1], NOW - 4)
    assert plan(1, workers).victims == [spare]


def test_what_turns_out_not_to_be_needed_is_spared():
    workers = racks(1, size=2)
    small = busy("1", workers[0], 2, NOW - 1, gpus=1)
    gang = first_step(job("2" * 16, Step(count=2, gpus=4, gang=True), priority=2))
    # The small task and one half of the gang fill the first worker.
    run_on(gang.tasks[0], workers[0], NOW - 2)
    run_on(gang.tasks[1], workers[1], NOW - 2)
    found = plan(1, workers, gpus=4)
    assert small not in found.victims or found.victims == [small]


def test_room_for_several_tasks_on_one_worker_is_made_once():
    workers = racks(1, size=2)
    whole = busy("1", workers[0], 2, NOW - 3)
    for number in range(2, 10):
        busy(f"{number}", workers[1], 2, NOW - 5, gpus=1)
    found = plan(8, workers, gpus=1)
    assert found.victims == [whole]
    assert set(found.places.values()) == {workers[0]}
