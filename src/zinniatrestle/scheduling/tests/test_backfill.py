"""Backfill reservations: small steps don't starve a gang that ranks before them."""

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
from zinniatrestle.scheduling.backfill import BackfillReservations
from zinniatrestle.scheduling.durations import Durations
from zinniatrestle.scheduling.forecast import Forecast

WIDE = Step(count=2, gpus=8, gang=True, estimated_ms=10_000)


def reserve_for_gang():
    """Reserve two of three workers; they are free in 4 s, in 60 s and now."""
    workers = workers_in_racks(1, size=3)
    short = first_step(job("1" * 16, Step(gpus=8, estimated_ms=4000)))
    long = first_step(job("2" * 16, Step(gpus=8, estimated_ms=60_000)))
    run_on(short.tasks[0], workers[0])
    run_on(long.tasks[0], workers[1])
    reservations = BackfillReservations(Forecast(Durations(), NOW))
    wide = first_step(job("3" * 16, WIDE))
    reservations.reserve(reservations.earliest_start(wide, 2, workers, constraints()))
    return workers, reservations


def test_the_workers_that_are_free_soonest_are_reserved():
    workers, reservations = reserve_for_gang()
    assert set(reservations.reserved_from) == {workers[0], workers[2]}


def test_a_partly_free_worker_counts_in_full_once_its_runs_have_ended():
    workers = workers_in_racks(1, size=2)
    running = first_step(job("1" * 16, Step(gpus=4, estimated_ms=7000)))
    run_on(running.tasks[0], workers[0])
    wide = first_step(job("3" * 16, Step(count=4, gpus=4, gang=True)))
    earliest = BackfillReservations(Forecast(Durations(), NOW)).earliest_start(
        wide, 4, workers, constraints()
    )
    assert earliest.at == NOW + 7.0


# Guards against a reservation of fewer workers than a limit per worker asks for.
def test_a_gang_with_a_limit_per_worker_reserves_as_many_workers_as_it_needs():
    workers = workers_in_racks(1, size=2)
    for number, seconds in enumerate((4, 20)):
        shape = Step(gpus=8, estimated_ms=seconds * 1000)
        run_on(first_step(job(f"{number}" * 16, shape)).tasks[0], workers[number])
    apart = Step(count=2, gpus=4, gang=True, max_per_worker=1)
    earliest = BackfillReservations(Forecast(Durations(), NOW)).earliest_start(
        first_step(job("3" * 16, apart)), 2, workers, constraints()
    )
    assert earliest.at == NOW + 20.0
    assert earliest.workers == workers


def test_a_step_that_ends_after_the_reservation_starts_may_not_use_its_workers():
    workers, reservations = reserve_for_gang()
    small = first_step(job("4" * 16, Step(gpus=1, estimated_ms=8000)))
    assert reservations.eligible_workers(small, workers) == [workers[1]]


def test_a_step_that_ends_before_the_reservation_starts_may_use_its_workers():
    workers, reservations = reserve_for_gang()
    small = first_step(job("4" * 16, Step(gpus=1, estimated_ms=2000)))
    assert reservations.eligible_workers(small, workers) == workers


def test_a_step_that_is_not_a_gang_reserves_no_workers():
    workers = workers_in_racks(1)
    reservations = BackfillReservations(Forecast(Durations(), NOW))
    assert (
        reservations.earliest_start(
            first_step(job("5" * 16)), 1, workers, constraints()
        )
        is None
    )
    assert reservations.reserved_from == {}


def test_a_gang_frees_its_workers_when_its_slowest_member_ends():
    workers = workers_in_racks(1, size=2)
    gang = first_step(job("1" * 16, Step(count=2, gpus=8, gang=True)))
    for member, worker, percent in zip(gang.tasks, workers, (100, 50), strict=True):
        run_on(member, worker, NOW - 2)
        with_progress(member, (percent, NOW))
    earliest = BackfillReservations(Forecast(Durations(), NOW)).earliest_start(
        first_step(job("3" * 16, WIDE)), 2, workers, constraints()
    )
    assert earliest.at == NOW + 2
