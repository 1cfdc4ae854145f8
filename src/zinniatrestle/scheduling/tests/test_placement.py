"""Where tasks go: whole gangs, racks, data, evacuations, sick workers, full ones."""

import pytest
from common.scheduling import constraints, first_step, job, racks, run_on, worker

from zinniatrestle.ids import RackId, RegionId
from zinniatrestle.jobs.messages import Step
from zinniatrestle.scheduling.placement import BestFit, FirstFit
from zinniatrestle.scheduling.state import WorkerHealth
from zinniatrestle.workers.messages import WorkerState


def place(shape, workers, policy=None, **values):
    step = first_step(job("a" * 16, shape))
    return (policy or BestFit()).place(
        step, step.waiting(), workers, constraints(**values)
    )


def fill(where, gpus: int, name: str = "f" * 16):
    made = job(name, Step(cpu=1000, gpus=gpus))
    run_on(first_step(made).tasks[0], where)


@pytest.mark.parametrize("policy", [BestFit(), FirstFit()])
def test_a_gang_is_placed_whole_or_not_at_all(policy):
    workers = racks(1, size=2)
    shape = Step(count=3, cpu=1000, gpus=8, gang=True)
    assert place(shape, workers, policy) == {}
    assert len(place(Step(count=2, gpus=8, gang=True), workers, policy)) == 2


def test_tasks_that_need_no_others_take_the_room_there_is():
    workers = racks(1, size=2)
    assert len(place(Step(count=3, gpus=8), workers)) == 2


def test_many_small_tasks_leave_whole_workers_free_for_wide_ones():
    workers = racks(1, size=4)
    fill(workers[2], 1)
    assignment = place(Step(count=7, cpu=1000, gpus=1), workers)
    assert set(assignment.values()) == {workers[2]}


def test_a_rack_bound_gang_stays_in_the_rack_that_it_fills_best():
    workers = racks(2, size=2)
    fill(workers[2], 8)
    # One worker of the second rack holds both, and no other rack is touched.
    both = place(Step(count=2, gpus=4, gang=True, rack_bound=True), workers)
    assert {place.rack for place in both.values()} == {"r1"}


def test_a_rack_bound_gang_waits_for_a_rack_unless_it_would_be_late():
    workers = racks(2, size=2)
    fill(workers[0], 8, "1" * 16)
    fill(workers[2], 8, "2" * 16)
    shape = Step(count=2, gpus=8, gang=True, rack_bound=True)
    assert place(shape, workers) == {}
    assert len(place(shape, workers, ignore_locality=True)) == 2


def test_a_gang_wider_than_any_rack_is_spread_at_once():
    workers = racks(2, size=2)
    shape = Step(count=3, gpus=8, gang=True, rack_bound=True)
    assert len(place(shape, workers)) == 3


def test_tasks_go_to_the_rack_of_their_data():
    workers = racks(2, size=2)
    assignment = place(Step(count=4, gpus=2, data_rack=RackId("r1")), workers)
    assert {found.rack for found in assignment.values()} == {"r1"}


def test_tasks_whose_data_has_no_worker_left_run_anywhere():
    workers = racks(1)
    assert len(place(Step(count=2, gpus=1, data_rack=RackId("r9")), workers)) == 2


@pytest.mark.parametrize(
    "change",
    [
        {"domain": "out"},
        {"service": "other"},
        {"labels": frozenset({"b"})},
        {"state": WorkerState.DRAINING},
        {"gpus": 0},
        {"cpu": 500},
        {"memory_mb": 10},
    ],
)
def test_a_worker_that_may_not_run_the_step_gets_nothing(change):
    shape = Step(cpu=1000, memory_mb=100, gpus=1, label="a")
    assert place(shape, [worker("w", **change)], evacuated={"out"}) == {}


def test_regions_bound_the_choice():
    assert place(Step(gpus=1), racks(1), regions=frozenset({RegionId("far")})) == {}


def test_a_step_with_tickets_runs_only_where_it_has_one():
    workers = racks(1)
    assignment = place(Step(gpus=1), workers, tickets={workers[3].id: "t"})
    assert list(assignment.values()) == [workers[3]]


def test_most_per_worker_spreads_the_tasks():
    workers = racks(1)
    shape = Step(count=8, gpus=1, max_per_worker=1)
    assignment = place(shape, workers)
    assert len(assignment) == len(set(assignment.values())) == 4


def test_a_quarantined_worker_gets_nothing_and_a_canary_one_small_task():
    sick, canary = worker("sick"), worker("canary")
    sick.health = WorkerHealth.QUARANTINED
    canary.health = WorkerHealth.CANARY
    assignment = place(Step(count=4, gpus=1), [sick, canary])
    assert list(assignment.values()) == [canary]


def test_a_gang_does_not_wait_for_canaries_for_ever():
    workers = racks(1)
    for found in workers:
        found.health = WorkerHealth.CANARY
    assert len(place(Step(count=4, gpus=8, gang=True), workers)) == 4


def test_a_task_avoids_the_worker_it_failed_on_as_long_as_others_could_hold_it():
    workers = racks(1, size=2)
    step = first_step(job("a" * 16, Step(gpus=8)))
    step.tasks[0].avoided.add(workers[0].id)
    fill(workers[1], 1)
    assert BestFit().place(step, step.waiting(), workers, constraints()) == {}
    alone = BestFit().place(step, step.waiting(), workers[:1], constraints())
    assert list(alone.values()) == [workers[0]]


def test_fills_take_no_processor_but_memory():
    where = worker("w", memory_mb=1000)
    fill(where, 1)
    shape = Step(count=5, cpu=32_000, memory_mb=400, best_effort=True)
    assert len(place(shape, [where])) == 2
