"""A burst of small work does not starve the wide work that goes before it."""

from common.scheduling import (
    NOW,
    constraints,
    first_step,
    job,
    racks,
    run_on,
    with_progress,
)

from zinniatrestle.jobs.messages import Step
from zinniatrestle.scheduling.backfill import BackfillReservations
from zinniatrestle.scheduling.durations import Durations
from zinniatrestle.scheduling.forecast import Forecast

WIDE = Step(count=2, gpus=8, gang=True, estimated_ms=10_000)


def scene():
    workers = racks(1, size=3)
    soon = first_step(job("1" * 16, Step(gpus=8, estimated_ms=4000)))
    late = first_step(job("2" * 16, Step(gpus=8, estimated_ms=60_000)))
    run_on(soon.tasks[0], workers[0])
    run_on(late.tasks[0], workers[1])
    reservations = BackfillReservations(Forecast(Durations(), NOW))
    wide = first_step(job("3" * 16, WIDE))
    reservations.reserve(reservations.earliest_start(wide, 2, workers, constraints()))
    return workers, reservations


def test_the_workers_that_are_free_soonest_are_held_back():
    workers, reservations = scene()
    assert set(reservations.reserved_from) == {workers[0], workers[2]}


def test_room_on_a_worker_that_has_some_already_is_free_once_all_of_it_is():
    workers = racks(1, size=2)
    rest = first_step(job("1" * 16, Step(gpus=4, estimated_ms=7000)))
    run_on(rest.tasks[0], workers[0])
    wide = first_step(job("3" * 16, Step(count=4, gpus=4, gang=True)))
    room = BackfillReservations(Forecast(Durations(), NOW)).earliest_start(
        wide, 4, workers, constraints()
    )
    assert room.at == NOW + 7.0


def test_long_small_work_stays_off_them():
    workers, reservations = scene()
    small = first_step(job("4" * 16, Step(gpus=1, estimated_ms=8000)))
    assert reservations.eligible_workers(small, workers) == [workers[1]]


def test_small_work_that_ends_before_may_use_them():
    workers, reservations = scene()
    small = first_step(job("4" * 16, Step(gpus=1, estimated_ms=2000)))
    assert reservations.eligible_workers(small, workers) == workers


def test_a_step_without_a_gang_holds_nothing_back():
    workers = racks(1)
    reservations = BackfillReservations(Forecast(Durations(), NOW))
    assert (
        reservations.earliest_start(
            first_step(job("5" * 16)), 1, workers, constraints()
        )
        is None
    )
    assert reservations.reserved_from == {}


def test_a_gang_frees_its_workers_when_its_slowest_member_ends():
    workers = racks(1, size=2)
    gang = first_step(job("1" * 16, Step(count=2, gpus=8, gang=True)))
    for member, where, percent in zip(gang.tasks, workers, (100, 50), strict=True):
        run_on(member, where, NOW - 2)
        with_progress(member, (percent, NOW))
    room = BackfillReservations(Forecast(Durations(), NOW)).earliest_start(
        first_step(job("3" * 16, WIDE)), 2, workers, constraints()
    )
    assert room.at == NOW + 2
