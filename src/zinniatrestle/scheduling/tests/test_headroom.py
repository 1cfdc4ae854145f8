"""Headroom: which workers less urgent steps don't see, and when it begins and ends."""

from common.scheduling import NOW, SERVICE, first_step, job, run_on, workers_in_racks

from zinniatrestle.deployment import Bounds
from zinniatrestle.jobs.messages import Step
from zinniatrestle.scheduling.durations import Durations
from zinniatrestle.scheduling.forecast import Forecast
from zinniatrestle.scheduling.headroom import (
    AMPLE_SECONDS,
    MAX_HEADROOM_SHARE,
    PRESSURE_DECAY_SECONDS,
    Headroom,
    HeadroomPhase,
    UrgentDemand,
)
from zinniatrestle.scheduling.state import WorkerHealth

BOUNDS = Bounds(stop=0.9)
# Time after which a few waits no longer count.
LONG = 5 * PRESSURE_DECAY_SECONDS


def demand(tasks=2, gpus=8, cpu=8000, memory_mb=1000, regions=None):
    return UrgentDemand(SERVICE, regions, gpus, cpu, memory_mb, tasks)


def under_pressure(now=NOW, waits=3):
    headroom = Headroom(BOUNDS)
    for _ in range(waits):
        headroom.record_wait(now)
    return headroom


def plan(headroom, workers, *demands, now=NOW, evacuated=frozenset()):
    forecast = Forecast(Durations(), now)
    return headroom.plan(now, list(demands), workers, set(evacuated), forecast)


def fill(worker, gpus, priority=2, seconds=60.0, since=NOW):
    shape = Step(cpu=1000, gpus=gpus, estimated_ms=int(seconds * 1000))
    name = f"{worker.id}-{len(worker.tasks)}"
    running = job(name, shape, priority=priority, arrived=since)
    return run_on(first_step(running).tasks[0], worker, since)


# Guards against background tasks that fragment the workers which urgent gangs need
# whole.
def test_whole_workers_are_held_for_tasks_that_want_them():
    workers = workers_in_racks(4, size=5)
    for worker in workers[:15]:
        fill(worker, gpus=1)
    found = plan(under_pressure(), workers, demand(tasks=3))
    assert len(found.workers) == 3
    assert found.workers <= set(workers[15:])
    assert (found.gpus, found.needed, found.missing_tasks) == (24, 24, 0)


def test_small_tasks_are_expected_on_partly_used_workers():
    workers = workers_in_racks(4, size=5)
    partly_used = workers[7]
    fill(partly_used, gpus=5)
    found = plan(under_pressure(), workers, demand(tasks=3, gpus=1))
    assert found.workers == {partly_used}


def test_small_tasks_share_the_workers_that_are_held_for_larger_ones():
    workers = workers_in_racks(4, size=5)
    demands = [demand(tasks=2, gpus=2, cpu=1000), demand(tasks=2, gpus=4, cpu=1000)]
    found = plan(under_pressure(), workers, *demands)
    assert len(found.workers) == 2


def test_cores_and_memory_limit_what_a_held_worker_takes():
    workers = workers_in_racks(4, size=5)
    # 32 cores and 128 GB are at each worker.
    assert len(plan(under_pressure(), workers, demand(2, 1, 20_000)).workers) == 2
    assert len(plan(under_pressure(), workers, demand(2, 1, 1, 70_000)).workers) == 2
    assert len(plan(under_pressure(), workers, demand(2, 1, 1, 60_000)).workers) == 1


# Guards against capacity held twice: once free, and once for runs that end anyway.
def test_workers_that_urgent_runs_leave_soon_count_as_held():
    workers = workers_in_racks(4, size=5)
    ending = workers[3]
    fill(ending, gpus=8, priority=0, seconds=1.0)
    fill(workers[4], gpus=8, priority=0, seconds=30.0)
    found = plan(under_pressure(), workers, demand(tasks=2))
    assert ending in found.workers
    assert workers[4] not in found.workers
    assert found.gpus == 8


def test_less_urgent_runs_that_end_soon_are_not_counted_on():
    workers = workers_in_racks(4, size=5)
    fill(workers[3], gpus=8, priority=2, seconds=1.0)
    found = plan(under_pressure(), workers, demand(tasks=1))
    assert workers[3] not in found.workers


def test_only_workers_that_urgent_jobs_may_use_are_held():
    workers = workers_in_racks(4, size=5)
    workers[0].silent = True
    workers[1].health = WorkerHealth.QUARANTINED
    found = plan(under_pressure(), workers, demand(tasks=3))
    assert not found.workers & set(workers[:2])
    nowhere = plan(
        under_pressure(), workers, demand(tasks=3), evacuated=[workers[0].domain]
    )
    assert not nowhere.workers
    elsewhere = demand(tasks=3, regions=frozenset({"another region"}))
    assert not plan(under_pressure(), workers, elsewhere).workers


# Guards against a wrong forecast that keeps most of a service idle.
def test_the_cost_of_a_wrong_forecast_is_bounded():
    workers = workers_in_racks(10, size=4)
    found = plan(under_pressure(), workers, demand(tasks=1000))
    assert len(found.workers) == int(MAX_HEADROOM_SHARE * len(workers))
    assert found.missing_tasks == 1000 - len(found.workers)


# Guards against workers that are held in turn, so that each is fragmented in turn.
def test_the_same_workers_are_held_in_the_next_round():
    workers = workers_in_racks(4, size=5)
    headroom = under_pressure()
    first = plan(headroom, workers, demand(tasks=2)).workers
    for worker in workers:
        if worker not in first:
            fill(worker, gpus=1)
    fill(min(first, key=lambda worker: worker.id), gpus=1, priority=0)
    second = plan(headroom, workers, demand(tasks=1), now=NOW + 0.1).workers
    assert len(second) == 1
    assert second <= first


# Guards against capacity that is held although nothing urgent ever waits.
def test_nothing_is_held_while_no_urgent_step_has_waited():
    workers = workers_in_racks(4, size=5)
    headroom = Headroom(BOUNDS)
    assert not plan(headroom, workers, demand()).workers
    headroom.record_wait(NOW)
    assert not plan(headroom, workers, demand()).workers
    assert headroom.phase is HeadroomPhase.INACTIVE


def test_waits_long_ago_do_not_begin_headroom():
    workers = workers_in_racks(4, size=5)
    headroom = under_pressure(NOW)
    assert not plan(headroom, workers, demand(), now=NOW + LONG).workers


def test_nothing_is_held_without_urgent_arrivals():
    workers = workers_in_racks(4, size=5)
    headroom = under_pressure()
    assert not plan(headroom, workers).workers
    assert headroom.phase is HeadroomPhase.INACTIVE


# Guards against headroom that ends as soon as it works, and begins again after the
# next waits.
def test_headroom_goes_on_while_the_rest_of_the_service_is_full():
    workers = workers_in_racks(4, size=5)
    for worker in workers[2:]:
        fill(worker, gpus=8)
    headroom = under_pressure()
    for seconds in (0.0, LONG, LONG + 2 * AMPLE_SECONDS):
        found = plan(headroom, workers, demand(tasks=2), now=NOW + seconds)
        assert found.workers == set(workers[:2])


def test_headroom_ends_some_time_after_capacity_has_become_ample():
    workers = workers_in_racks(4, size=5)
    headroom = under_pressure()
    assert plan(headroom, workers, demand()).workers
    assert plan(headroom, workers, demand(), now=NOW + LONG).workers
    later = NOW + LONG + AMPLE_SECONDS
    assert not plan(headroom, workers, demand(), now=later).workers
    assert headroom.phase is HeadroomPhase.INACTIVE


# Guards against capacity that stays idle after the urgent load has ended.
def test_all_capacity_is_used_again_once_urgent_jobs_have_ceased():
    workers = workers_in_racks(4, size=5)
    for worker in workers[2:]:
        fill(worker, gpus=8)
    headroom = under_pressure()
    assert plan(headroom, workers, demand()).workers
    assert not plan(headroom, workers, now=NOW + 1.0).workers
    plan(headroom, workers, now=NOW + LONG)
    plan(headroom, workers, now=NOW + LONG + AMPLE_SECONDS)
    assert headroom.phase is HeadroomPhase.INACTIVE


def test_a_successor_goes_on_with_headroom():
    workers = workers_in_racks(4, size=5)
    headroom = Headroom(BOUNDS)
    headroom.restore(0.5, True, NOW)
    assert plan(headroom, workers, demand()).workers
    damaged = Headroom(BOUNDS)
    damaged.restore(float("nan"), True, NOW)
    assert not plan(damaged, workers, demand()).workers


# Guards against headroom that leaves next to nothing once regions are lost.
def test_workers_that_can_not_be_used_do_not_add_to_what_is_held():
    workers = workers_in_racks(4, size=5)
    for lost in workers[:16]:
        lost.silent = True
    found = plan(under_pressure(), workers, demand(tasks=3))
    assert found.workers == frozenset()
