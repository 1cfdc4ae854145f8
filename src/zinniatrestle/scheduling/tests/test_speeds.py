"""Workers that crawl or differ in speed: seen by what runs there, and used for it."""

import asyncio

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

from zinniatrestle.jobs.messages import Step
from zinniatrestle.scheduling.durations import Durations
from zinniatrestle.scheduling.forecast import Forecast
from zinniatrestle.scheduling.placement import BestFit, candidates
from zinniatrestle.scheduling.speeds import (
    SPEED_VALID_SECONDS,
    SpeedEstimator,
    estimated_speed,
    is_slow,
    should_restart,
)
from zinniatrestle.standins.checker import violations
from zinniatrestle.standins.model import Model, run_virtual, step
from zinniatrestle.standins.runs import FaultMode

LOOKED = NOW + 2


def gang_on(workers, percents, **shape):
    """Return a gang that has run for 2 s with a member on each worker."""
    made = job("1" * 16, Step(count=len(workers), gang=True, **shape))
    run = first_step(made)
    for task, where, percent in zip(run.tasks, workers, percents, strict=True):
        with_progress(run_on(task, where, NOW), (percent, LOOKED))
    return run


def compare(run, times: int = 4):
    progress_writer = SpeedEstimator()
    for number in range(times):
        progress_writer.compare(run, LOOKED + number)


@pytest.mark.parametrize("slow", [4, 0])
def test_a_worker_on_which_progress_lags_is_seen_to_crawl(slow):
    workers = workers_in_racks(1, size=4)
    compare(gang_on(workers, (40, 41, slow, 39)))
    crawling = [where for where in workers if is_slow(where, LOOKED)]
    assert crawling == [workers[2]]


def test_speeds_of_all_workers_are_told_apart():
    workers = workers_in_racks(1, size=5)
    compare(gang_on(workers, (32, 40, 50, 40, 40)), times=8)
    speeds = [estimated_speed(where, LOOKED) for where in workers]
    assert speeds == pytest.approx([0.8, 1.0, 1.25, 1.0, 1.0], abs=0.03)


def test_company_of_fast_workers_makes_no_usual_one_look_slow():
    workers = workers_in_racks(1, size=4)
    for where in workers[:3]:
        where.speed, where.speed_measured_at = 2.0, LOOKED
    compare(gang_on(workers, (60, 60, 60, 30)))
    assert estimated_speed(workers[3], LOOKED) == pytest.approx(1.0, abs=0.05)


def test_members_that_came_earlier_are_no_slower():
    workers = workers_in_racks(1, size=3)
    run = first_step(job("1" * 16, Step(count=3, gang=True)))
    for task, where, since in zip(run.tasks, workers, (3, 3, 0), strict=True):
        run_on(task, where, NOW - since)
        with_progress(task, (0, NOW - since / 2), (0, NOW), (40, LOOKED))
    compare(run)
    assert not any(is_slow(where, LOOKED) for where in workers)


@pytest.mark.parametrize(
    "percents", [(0, 0, 0), (100, 100, 90)], ids=["nothing yet", "nearly done"]
)
def test_progress_that_shows_no_difference_changes_nothing(percents):
    workers = workers_in_racks(1, size=3)
    compare(gang_on(workers, percents))
    assert not any(is_slow(where, LOOKED) for where in workers)


def test_the_member_for_which_all_others_wait_is_slow():
    workers = workers_in_racks(1, size=3)
    compare(gang_on(workers, (100, 100, 20)))
    assert is_slow(workers[2], LOOKED)


def test_slowness_that_was_not_seen_for_long_is_believed_no_more():
    workers = workers_in_racks(1, size=4)
    compare(gang_on(workers, (40, 40, 4, 40)))
    later = LOOKED + 3 + SPEED_VALID_SECONDS
    assert is_slow(workers[2], later - 1)
    assert not is_slow(workers[2], later + 1)


def test_a_crawling_worker_gets_nothing_while_others_could_hold_the_step():
    workers = workers_in_racks(1, size=3)
    workers[0].speed, workers[0].speed_measured_at = 0.1, NOW
    small = first_step(job("2" * 16, Step(gpus=8)))
    wide = first_step(job("3" * 16, Step(count=3, gpus=8, gang=True)))
    now = constraints(now=NOW)
    assert workers[0] not in candidates(small, workers, now)
    assert workers[0] in candidates(wide, workers, now)


@pytest.mark.parametrize("time_critical, chosen", [(True, 2), (False, 0)])
def test_what_is_in_a_hurry_goes_to_the_fastest_worker(time_critical, chosen):
    workers = workers_in_racks(1, size=3)
    workers[2].speed, workers[2].speed_measured_at = 1.25, NOW
    urgent = first_step(job("4" * 16, Step(gpus=8)))
    where = constraints(now=NOW, time_critical=time_critical)
    found = BestFit().place(urgent, urgent.tasks, workers, where)
    assert list(found.values()) == [workers[chosen]]


@pytest.mark.parametrize(
    "arrived, anew", [(NOW - 1, True), (NOW + 60, False)], ids=["late", "on time"]
)
def test_a_run_starts_anew_elsewhere_if_it_would_be_late_here(arrived, anew):
    workers = workers_in_racks(1, size=3)
    made = job("5" * 16, Step(gpus=8, estimated_ms=2500), stretch=1.5, arrived=arrived)
    task = with_progress(
        run_on(first_step(made).tasks[0], workers[0], NOW), (10, LOOKED)
    )
    workers[0].speed, workers[0].speed_measured_at = 0.2, LOOKED
    assert should_restart(task, Forecast(Durations(), LOOKED)) is anew


def test_urgent_work_leaves_workers_that_turned_slow():
    async def play():
        model = Model(1)
        await model.start(workers=8, rack=8)
        job_id = await model.submit("urgent", (step(4, gpus=8, gang=True),), 2.5)
        await asyncio.sleep(0.6)
        slow = next(w for w in model.fleet.workers.values() if w.running)
        slow.fault_mode = FaultMode.SLOW
        assert await model.settle(60.0)
        assert violations(model) == []
        outcome = model.jobs[job_id]
        return outcome.completed_at - outcome.sent_at

    # At a sixth of the speed it would have taken more than 12 s.
    assert run_virtual(play()) < 6.0
