"""Placement of tasks: gangs, locality, constraints, unhealthy and full workers."""

import asyncio
import random

import pytest
from common.scheduling import (
    NOW,
    constraints,
    first_step,
    job,
    run_on,
    worker,
    workers_in_racks,
)

from zinniatrestle.ids import JobId, RackId, RegionId
from zinniatrestle.jobs.messages import Step
from zinniatrestle.scheduling.context import Policy
from zinniatrestle.scheduling.placement import (
    BestFit,
    FirstFit,
    WorkerChoice,
    has_free_slots,
)
from zinniatrestle.scheduling.reliability import Reliability
from zinniatrestle.scheduling.state import StepRun, WorkerHealth
from zinniatrestle.standins.model import Model, run_virtual, step
from zinniatrestle.workers.messages import WorkerState


def place(shape, workers, policy=None, **values):
    step = first_step(job("a" * 16, shape))
    return (policy or BestFit()).place(
        step, step.waiting_tasks(), workers, constraints(**values)
    )


def occupy(target, gpus: int, name: str = "f" * 16):
    new_job = job(name, Step(cpu=1000, gpus=gpus))
    run_on(first_step(new_job).tasks[0], target)


@pytest.mark.parametrize("policy", [BestFit(), FirstFit()])
def test_a_gang_is_placed_whole_or_not_at_all(policy):
    workers = workers_in_racks(1, size=2)
    shape = Step(count=3, cpu=1000, gpus=8, gang=True)
    assert place(shape, workers, policy) == {}
    assert len(place(Step(count=2, gpus=8, gang=True), workers, policy)) == 2


def test_as_many_independent_tasks_are_placed_as_fit():
    workers = workers_in_racks(1, size=2)
    assert len(place(Step(count=3, gpus=8), workers)) == 2


def test_small_tasks_share_a_worker_and_leave_whole_workers_free():
    workers = workers_in_racks(1, size=4)
    occupy(workers[2], 1)
    assignment = place(Step(count=7, cpu=1000, gpus=1), workers)
    assert set(assignment.values()) == {workers[2]}


def test_a_rack_bound_gang_stays_in_the_rack_that_it_fills_best():
    workers = workers_in_racks(2, size=2)
    occupy(workers[2], 8)
    # One worker of the second rack holds both tasks; the first rack stays empty.
    assignment = place(Step(count=2, gpus=4, gang=True, rack_bound=True), workers)
    assert {target.rack for target in assignment.values()} == {"r1"}


def test_a_rack_bound_gang_waits_for_a_rack_unless_it_would_be_late():
    workers = workers_in_racks(2, size=2)
    occupy(workers[0], 8, "1" * 16)
    occupy(workers[2], 8, "2" * 16)
    shape = Step(count=2, gpus=8, gang=True, rack_bound=True)
    assert place(shape, workers) == {}
    assert len(place(shape, workers, ignore_locality=True)) == 2


def test_a_gang_too_wide_for_any_rack_is_spread_without_waiting():
    workers = workers_in_racks(2, size=2)
    shape = Step(count=3, gpus=8, gang=True, rack_bound=True)
    assert len(place(shape, workers)) == 3


def test_tasks_go_to_the_rack_of_their_data():
    workers = workers_in_racks(2, size=2)
    assignment = place(Step(count=4, gpus=2, data_rack=RackId("r1")), workers)
    assert {found.rack for found in assignment.values()} == {"r1"}


def test_tasks_run_anywhere_if_the_rack_of_their_data_has_no_workers():
    workers = workers_in_racks(1)
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
def test_a_worker_that_violates_a_constraint_gets_no_task(change):
    shape = Step(cpu=1000, memory_mb=100, gpus=1, label="a")
    assert place(shape, [worker("w", **change)], evacuated={"out"}) == {}


def test_tasks_run_only_in_permitted_regions():
    assert (
        place(Step(gpus=1), workers_in_racks(1), regions=frozenset({RegionId("far")}))
        == {}
    )
    assert place(Step(gpus=1), workers_in_racks(1), regions=frozenset()) == {}


def test_a_step_that_needs_tickets_runs_only_on_workers_with_a_ticket():
    workers = workers_in_racks(1)
    assignment = place(Step(gpus=1), workers, tickets={workers[3].id: "t"})
    assert list(assignment.values()) == [workers[3]]


def test_max_per_worker_spreads_the_tasks():
    workers = workers_in_racks(1)
    shape = Step(count=8, gpus=1, max_per_worker=1)
    assignment = place(shape, workers)
    assert len(assignment) == len(set(assignment.values())) == 4


def test_a_quarantined_worker_gets_no_task_and_a_canary_gets_one():
    quarantined, canary = worker("quarantined"), worker("canary")
    quarantined.health = WorkerHealth.QUARANTINED
    canary.health = WorkerHealth.CANARY
    assignment = place(Step(count=4, gpus=1), [quarantined, canary])
    assert list(assignment.values()) == [canary]


def test_a_gang_uses_canaries_if_it_does_not_fit_without_them():
    workers = workers_in_racks(1)
    for found in workers:
        found.health = WorkerHealth.CANARY
    assert len(place(Step(count=4, gpus=8, gang=True), workers)) == 4


def test_a_task_avoids_the_worker_it_failed_on_as_long_as_others_could_hold_it():
    workers = workers_in_racks(1, size=2)
    step = first_step(job("a" * 16, Step(gpus=8)))
    step.tasks[0].avoided_workers |= {workers[0].id}
    occupy(workers[1], 1)
    assert BestFit().place(step, step.waiting_tasks(), workers, constraints()) == {}
    alone = BestFit().place(step, step.waiting_tasks(), workers[:1], constraints())
    assert list(alone.values()) == [workers[0]]


def test_best_effort_tasks_reserve_memory_but_no_cpu():
    target = worker("w", memory_mb=1000)
    occupy(target, 1)
    shape = Step(count=5, cpu=32_000, memory_mb=400, best_effort=True)
    assert len(place(shape, [target])) == 2


# Guards against an overdue gang that spends its attempts on workers that it failed on.
def test_an_overdue_gang_prefers_workers_that_it_does_not_avoid():
    workers = workers_in_racks(1, size=3)
    step = first_step(job("a" * 16, Step(count=2, gpus=8, gang=True)))
    step.tasks[0].avoided_workers |= {workers[0].id}
    assignment = BestFit().place(
        step, step.waiting_tasks(), workers, constraints(choice=WorkerChoice.PERMITTED)
    )
    assert set(assignment.values()) == set(workers[1:])


# Guards against waiting for the end of a quarantine while avoided workers are free.
@pytest.mark.parametrize("gang", [False, True])
def test_a_step_does_not_wait_for_a_quarantined_worker_instead_of_an_avoided_one(gang):
    avoided, quarantined = worker("avoided"), worker("quarantined")
    quarantined.health = WorkerHealth.QUARANTINED
    step = first_step(job("a" * 16, Step(gpus=8, gang=gang)))
    step.tasks[0].avoided_workers |= {avoided.id}
    assignment = BestFit().place(
        step, step.waiting_tasks(), [avoided, quarantined], constraints()
    )
    assert list(assignment.values()) == [avoided]


# Guards against waiting without end for a worker that long-running tasks fill.
def test_a_step_does_not_wait_for_capacity_of_long_running_tasks():
    avoided, full = worker("avoided"), worker("full")
    serving = job("f" * 16, Step(cpu=1000, gpus=8, long_running=True))
    run_on(first_step(serving).tasks[0], full)
    step = first_step(job("a" * 16, Step(gpus=1)))
    step.tasks[0].avoided_workers |= {avoided.id}
    assignment = BestFit().place(
        step, step.waiting_tasks(), [avoided, full], constraints()
    )
    assert list(assignment.values()) == [avoided]


# Guards against a gang that waits without end for racks that long-running tasks share.
def test_a_rack_bound_gang_does_not_wait_for_the_end_of_long_running_tasks():
    workers = workers_in_racks(2, size=2)
    for number, target in enumerate((workers[0], workers[2])):
        serving = job(str(number) * 16, Step(gpus=1, long_running=True))
        run_on(first_step(serving).tasks[0], target)
    shape = Step(count=2, gpus=8, gang=True, rack_bound=True)
    assert set(place(shape, workers).values()) == {workers[1], workers[3]}


def random_step(rng: random.Random) -> StepRun:
    shape = Step(
        count=rng.randint(1, 6),
        cpu=rng.choice([0, 1000, 12_000]),
        memory_mb=rng.choice([0, 40_000]),
        gpus=rng.choice([0, 1, 4, 8]),
        gang=rng.random() < 0.5,
        max_per_worker=rng.choice([0, 0, 1]),
        best_effort=rng.random() < 0.2,
    )
    return first_step(job(f"{rng.getrandbits(64):016x}", shape))


# Guards against a step that isn't placed although it fits.
@pytest.mark.parametrize("seed", range(50))
def test_a_step_that_can_be_placed_has_free_slots(seed):
    rng = random.Random(seed)
    workers = workers_in_racks(2, size=2)
    for target in workers:
        for _ in range(rng.randint(0, 3)):
            # Reservations may take more than is free yet.
            target.reserve(random_step(rng).tasks[0])
    for _ in range(20):
        waiting = random_step(rng)
        found = BestFit().place(waiting, waiting.tasks, workers, constraints(now=NOW))
        if found:
            assert has_free_slots(waiting, len(waiting.tasks), workers)


class CountingFit(BestFit):
    """Count the searches for workers."""

    def __init__(self):
        self.searches = 0

    def place(self, *args):
        self.searches += 1
        return super().place(*args)


# Guards against rounds that search all workers for each of many steps without room.
def test_no_workers_are_searched_for_a_step_without_room():
    async def play():
        placement = CountingFit()
        model = Model(1, policy=Policy(placement=placement))
        await model.start(workers=4, rack=4)
        for _ in range(4):
            await model.submit("usual", (step(gpus=8),), 10.0)
        await asyncio.sleep(1.0)
        searches = placement.searches
        await model.submit("usual", (step(gpus=8),), 1.0)
        await asyncio.sleep(2.0)
        assert placement.searches == searches
        assert await model.wait_for_jobs(20.0)

    run_virtual(play())


def set_speeds(workers, *speeds: float):
    for target, speed in zip(workers, speeds, strict=True):
        target.speed = speed
        target.speed_measured_at = NOW


def test_an_urgent_gang_takes_the_rack_in_which_its_slowest_worker_is_fastest():
    """Guards against a late gang, since the slowest member decides when it ends."""
    workers = workers_in_racks(3, size=3)
    set_speeds(workers, 1.25, 0.8, 0.8, 1.0, 1.0, 0.8, 1.25, 0.8, 0.8)
    # The first rack is fuller, by which it would be chosen at equal speeds.
    occupy(workers[2], 8)
    shape = Step(count=2, cpu=1000, gpus=8, gang=True, rack_bound=True)
    assignment = place(shape, workers, time_critical=True, now=NOW)
    assert {target.id for target in assignment.values()} == {"w03", "w04"}
    assignment = place(shape, workers, now=NOW)
    assert {target.rack for target in assignment.values()} == {"r0"}


def test_an_urgent_gang_takes_the_fullest_rack_among_equally_fast_ones():
    workers = workers_in_racks(2, size=3)
    occupy(workers[5], 8)
    shape = Step(count=2, cpu=1000, gpus=8, gang=True, rack_bound=True)
    assignment = place(shape, workers, time_critical=True, now=NOW)
    assert {target.rack for target in assignment.values()} == {"r1"}


def test_less_urgent_work_with_slack_leaves_fast_workers_to_urgent_gangs():
    """Guards against urgent gangs that end late on slow workers beside fast ones."""
    workers = workers_in_racks(1, size=3)
    set_speeds(workers, 1.25, 0.8, 1.0)
    shape = Step(count=2, cpu=1000, gpus=8)
    assignment = place(shape, workers, prefers_slow=True, now=NOW)
    assert {target.id for target in assignment.values()} == {"w01", "w02"}


def test_less_urgent_work_prefers_no_worker_that_is_likely_impaired():
    workers = workers_in_racks(1, size=2)
    set_speeds(workers, 0.6, 1.0)
    shape = Step(count=1, cpu=1000, gpus=8)
    assignment = place(shape, workers, prefers_slow=True, now=NOW)
    assert {target.id for target in assignment.values()} == {"w01"}


def known_to_fail(*failing) -> Reliability:
    reliability = Reliability()
    for failing_worker in failing:
        for number in range(2):
            job_id = JobId(f"{failing_worker.id}-{number}")
            reliability.record_failure(failing_worker.id, job_id, NOW)
    return reliability


def place_by(reliability, step, workers, **values):
    limits = constraints(now=NOW, reliability=reliability, run_seconds=5.0, **values)
    return BestFit().place(step, step.tasks, workers, limits)


# Guards against a gang that is lost with one member on a worker that fails its runs.
def test_a_gang_takes_workers_with_a_proven_record():
    workers = workers_in_racks(1)
    for used in workers[:2]:
        run_on(first_step(job(used.id * 5, Step(gpus=2))).tasks[0], used)
    gang = first_step(job("a" * 16, Step(count=2, gpus=6, gang=True)))
    without = place_by(Reliability(), gang, workers)
    assert set(without.values()) == set(workers[:2])
    found = place_by(known_to_fail(workers[0]), gang, workers)
    assert set(found.values()) == {workers[1], workers[2]}


def test_a_gang_does_not_wait_for_workers_with_a_proven_record():
    workers = workers_in_racks(1)
    gang = first_step(job("a" * 16, Step(count=4, gpus=8, gang=True)))
    found = place_by(known_to_fail(*workers), gang, workers)
    assert set(found.values()) == set(workers)


def test_a_gang_takes_fast_workers_of_the_same_risk_first():
    workers = workers_in_racks(1)
    workers[0].speed = workers[2].speed = 1.5
    gang = first_step(job("a" * 16, Step(count=2, gpus=8, gang=True)))
    found = place_by(known_to_fail(workers[0]), gang, workers, time_critical=True)
    assert set(found.values()) == {workers[1], workers[2]}


# Guards against a worker that no gang uses again, as nothing runs there any more.
def test_a_single_task_probes_an_idle_worker_whose_runs_ended_badly():
    workers = workers_in_racks(1)
    run_on(first_step(job("b" * 16, Step(gpus=1))).tasks[0], workers[1])
    step = first_step(job("a" * 16, Step(count=3, gpus=1)))
    found = list(place_by(known_to_fail(workers[3]), step, workers).values())
    assert found == [workers[3], workers[1], workers[1]]


@pytest.mark.parametrize("reason", ["last attempt", "urgent", "avoided", "in use"])
def test_no_task_probes_a_worker_if_it_can_not_afford_to_fail(reason):
    workers = workers_in_racks(1)
    run_on(first_step(job("b" * 16, Step(gpus=1))).tasks[0], workers[1])
    step = first_step(job("a" * 16, Step(gpus=1)))
    if reason == "last attempt":
        step.tasks[0].failed_runs = {1, 2}
    if reason == "avoided":
        step.tasks[0].avoided_workers |= {workers[3].id}
    if reason == "in use":
        run_on(first_step(job("c" * 16, Step(gpus=1))).tasks[0], workers[3])
        workers[3].free_gpus = 8
    reliability = known_to_fail(workers[3])
    urgent = reason == "urgent"
    found = place_by(reliability, step, workers, time_critical=urgent)
    assert list(found.values()) == [workers[1]]


def test_a_probed_worker_takes_further_tasks_that_fit_nowhere_else():
    workers = workers_in_racks(1, size=1)
    step = first_step(job("a" * 16, Step(count=3, gpus=4)))
    found = place_by(known_to_fail(workers[0]), step, workers)
    assert list(found.values()) == [workers[0], workers[0]]


# Guards against a placement that differs although no worker has given cause for it.
@pytest.mark.parametrize("gang", [False, True])
@pytest.mark.parametrize("time_critical", [False, True])
def test_without_bad_evidence_workers_are_ranked_as_without_estimates(
    gang, time_critical
):
    rng = random.Random(7)
    workers = workers_in_racks(6)
    reliability = Reliability()
    for number, used in enumerate(workers):
        reliability.record_success(used.id, NOW)
        used.speed = rng.choice([0.6, 1.0, 1.4])
        shape = Step(cpu=1000, gpus=rng.randrange(8))
        run_on(first_step(job(f"{number:016}", shape)).tasks[0], used)
    step = first_step(job("a" * 16, Step(count=6, gpus=2, gang=gang)))
    without = place_by(None, step, workers, time_critical=time_critical)
    found = place_by(reliability, step, workers, time_critical=time_critical)
    assert list(found.items()) == list(without.items())
    assert len(found) == 6


# Guards against a gang that is lost with one member in the fullest rack.
def test_a_rack_bound_gang_takes_the_rack_of_least_risk():
    workers = workers_in_racks(3, size=2)
    for used in workers[:4]:
        run_on(first_step(job(used.id * 5, Step(gpus=2))).tasks[0], used)
    shape = Step(count=2, gpus=6, gang=True, rack_bound=True)
    gang = first_step(job("a" * 16, shape))
    without = place_by(Reliability(), gang, workers)
    assert set(without.values()) == set(workers[:2])
    found = place_by(known_to_fail(workers[0]), gang, workers)
    assert set(found.values()) == set(workers[2:4])
    found = place_by(known_to_fail(workers[0], workers[3]), gang, workers)
    assert set(found.values()) == set(workers[4:])
    found = place_by(known_to_fail(*workers), gang, workers)
    assert set(found.values()) == set(workers[:2])


# Guards against the last whole worker broken up for a task that fits beside others.
def test_less_urgent_work_prefers_workers_in_use_to_slower_empty_ones():
    workers = workers_in_racks(1, size=2)
    set_speeds(workers, 1.0, 0.8)
    occupy(workers[0], 1)
    assignment = place(Step(gpus=1), workers, prefers_slow=True, now=NOW)
    assert list(assignment.values()) == [workers[0]]


def test_a_worker_is_not_avoided_as_impaired_for_longer_than_its_speed_is_valid():
    workers = workers_in_racks(1, size=2)
    set_speeds(workers, 0.6, 1.0)
    now = NOW + 9.0
    assignment = place(Step(gpus=8), workers, prefers_slow=True, now=now)
    assert list(assignment.values()) == [workers[0]]
