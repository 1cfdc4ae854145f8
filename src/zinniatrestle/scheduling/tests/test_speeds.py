"""Speeds of workers: learned from the progress of runs, used in placement."""

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

REPORTED_AT = NOW + 2


def running_gang(workers, percents, **shape):
    """Return a gang that has run for 2 s with a member on each worker."""
    gang_job = job("1" * 16, Step(count=len(workers), gang=True, **shape))
    run = first_step(gang_job)
    for task, worker, percent in zip(run.tasks, workers, percents, strict=True):
        with_progress(run_on(task, worker, NOW), (percent, REPORTED_AT))
    return run


def compare(run, times: int = 4):
    estimator = SpeedEstimator()
    for number in range(times):
        estimator.compare(run, REPORTED_AT + number)


@pytest.mark.parametrize("slow", [4, 0])
def test_a_worker_with_lagging_progress_is_slow(slow):
    workers = workers_in_racks(1, size=4)
    compare(running_gang(workers, (40, 41, slow, 39)))
    slow_workers = [worker for worker in workers if is_slow(worker, REPORTED_AT)]
    assert slow_workers == [workers[2]]


def test_each_worker_gets_its_own_speed():
    workers = workers_in_racks(1, size=5)
    compare(running_gang(workers, (32, 40, 50, 40, 40)), times=8)
    speeds = [estimated_speed(worker, REPORTED_AT) for worker in workers]
    assert speeds == pytest.approx([0.8, 1.0, 1.25, 1.0, 1.0], abs=0.03)


def test_a_worker_of_normal_speed_among_fast_ones_is_not_slow():
    workers = workers_in_racks(1, size=4)
    for worker in workers[:3]:
        worker.speed, worker.speed_measured_at = 2.0, REPORTED_AT
    compare(running_gang(workers, (60, 60, 60, 30)))
    assert estimated_speed(workers[3], REPORTED_AT) == pytest.approx(1.0, abs=0.05)


def test_members_that_started_earlier_are_not_slow():
    workers = workers_in_racks(1, size=3)
    run = first_step(job("1" * 16, Step(count=3, gang=True)))
    for task, worker, since in zip(run.tasks, workers, (3, 3, 0), strict=True):
        run_on(task, worker, NOW - since)
        with_progress(task, (0, NOW - since / 2), (0, NOW), (40, REPORTED_AT))
    compare(run)
    assert not any(is_slow(worker, REPORTED_AT) for worker in workers)


@pytest.mark.parametrize(
    "percents", [(0, 0, 0), (100, 100, 90)], ids=["nothing yet", "nearly done"]
)
def test_progress_without_a_difference_changes_no_speed(percents):
    workers = workers_in_racks(1, size=3)
    compare(running_gang(workers, percents))
    assert not any(is_slow(worker, REPORTED_AT) for worker in workers)


def test_the_member_that_all_others_wait_for_is_slow():
    workers = workers_in_racks(1, size=3)
    compare(running_gang(workers, (100, 100, 20)))
    assert is_slow(workers[2], REPORTED_AT)


def test_an_old_observation_of_slowness_expires():
    workers = workers_in_racks(1, size=4)
    compare(running_gang(workers, (40, 40, 4, 40)))
    later = REPORTED_AT + 3 + SPEED_VALID_SECONDS
    assert is_slow(workers[2], later - 1)
    assert not is_slow(workers[2], later + 1)


def test_a_slow_worker_is_a_candidate_only_if_the_step_needs_it():
    workers = workers_in_racks(1, size=3)
    workers[0].speed, workers[0].speed_measured_at = 0.1, NOW
    small = first_step(job("2" * 16, Step(gpus=8)))
    wide = first_step(job("3" * 16, Step(count=3, gpus=8, gang=True)))
    now = constraints(now=NOW)
    assert workers[0] not in candidates(small, workers, now)
    assert workers[0] in candidates(wide, workers, now)


@pytest.mark.parametrize("time_critical, chosen", [(True, 2), (False, 0)])
def test_time_critical_work_goes_to_the_fastest_worker(time_critical, chosen):
    workers = workers_in_racks(1, size=3)
    workers[2].speed, workers[2].speed_measured_at = 1.25, NOW
    urgent = first_step(job("4" * 16, Step(gpus=8)))
    limits = constraints(now=NOW, time_critical=time_critical)
    placed = BestFit().place(urgent, urgent.tasks, workers, limits)
    assert list(placed.values()) == [workers[chosen]]


@pytest.mark.parametrize(
    "arrived_at, restarts",
    [(NOW - 1, True), (NOW + 60, False)],
    ids=["late", "on time"],
)
def test_a_run_on_a_slow_worker_restarts_elsewhere_if_it_would_be_late(
    arrived_at, restarts
):
    workers = workers_in_racks(1, size=3)
    submitted = job(
        "5" * 16, Step(gpus=8, estimated_ms=2500), stretch=1.5, arrived=arrived_at
    )
    task = with_progress(
        run_on(first_step(submitted).tasks[0], workers[0], NOW), (10, REPORTED_AT)
    )
    workers[0].speed, workers[0].speed_measured_at = 0.2, REPORTED_AT
    assert should_restart(task, Forecast(Durations(), REPORTED_AT)) is restarts


def test_urgent_work_leaves_workers_that_become_slow():
    async def play():
        model = Model(1)
        await model.start(workers=8, rack=8)
        job_id = await model.submit("urgent", (step(4, gpus=8, gang=True),), 2.5)
        await asyncio.sleep(0.6)
        slow = next(w for w in model.fleet.workers.values() if w.running)
        slow.fault_mode = FaultMode.SLOW
        assert await model.wait_for_jobs(60.0)
        assert violations(model) == []
        outcome = model.jobs[job_id]
        return outcome.completed_at - outcome.sent_at

    # On the slow worker, at a sixth of the speed, it would take more than 12 s.
    assert run_virtual(play()) < 6.0
