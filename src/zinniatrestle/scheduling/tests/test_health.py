"""Workers that fail, shed, hang or crawl among sound ones; jobs without hope."""

import pytest
from common.scheduling import NOW, first_step, job, run_on, workers_in_racks

from zinniatrestle.jobs.messages import Step
from zinniatrestle.scheduling.health import (
    MAX_QUARANTINED_SHARE,
    QUARANTINE_SECONDS,
    HealthMonitor,
)
from zinniatrestle.scheduling.state import WorkerHealth


def failing(where, name="1", after=1.0):
    return run_on(first_step(job(name * 16)).tasks[0], where, NOW - after)


def test_a_worker_without_a_recent_success_is_left_alone_after_one_failure():
    where = workers_in_racks(1)[0]
    assert HealthMonitor().failed(where, failing(where), NOW)


def test_a_worker_that_just_succeeded_is_trusted_once():
    judge, where = HealthMonitor(), workers_in_racks(1)[0]
    judge.succeeded(where, NOW - 1)
    assert not judge.failed(where, failing(where), NOW)
    assert judge.failed(where, failing(where, "2"), NOW + 0.1)


def test_a_worker_on_which_work_fails_at_once_is_not_trusted():
    judge, where = HealthMonitor(), workers_in_racks(1)[0]
    judge.succeeded(where, NOW - 1)
    assert judge.failed(where, failing(where, after=0.05), NOW)


def test_a_hopeless_job_is_not_held_against_the_workers_it_fails_on():
    judge = HealthMonitor()
    workers = workers_in_racks(1)
    task = failing(workers[0])
    judge.failed(workers[0], task, NOW)
    assert not judge.failed(workers[1], task, NOW + 1)
    assert not judge.failed(workers[2], task, NOW + 2)


def test_only_a_part_of_the_workers_is_left_alone_at_once():
    judge = HealthMonitor()
    workers = workers_in_racks(5, size=2)
    away = [judge.quarantine(found, workers, NOW) for found in workers]
    assert sum(away) == int(MAX_QUARANTINED_SHARE * len(workers))


def test_a_worker_that_is_left_alone_already_is_not_left_alone_for_longer():
    judge, workers = HealthMonitor(), workers_in_racks(2)
    assert judge.quarantine(workers[0], workers, NOW)
    assert not judge.quarantine(workers[0], workers, NOW)
    assert workers[0].quarantined_until == NOW + QUARANTINE_SECONDS


def test_a_canary_decides_between_trust_and_a_longer_quarantine():
    judge, workers = HealthMonitor(), workers_in_racks(2)
    where = workers[0]
    judge.quarantine(where, workers, NOW)
    judge.review(where, NOW + QUARANTINE_SECONDS)
    assert where.health is WorkerHealth.CANARY
    assert judge.failed(where, failing(where), NOW + 5)
    judge.quarantine(where, workers, NOW + 5)
    assert where.quarantined_until == NOW + 5 + 2 * QUARANTINE_SECONDS
    judge.review(where, NOW + 20)
    assert judge.succeeded(where, NOW + 21)
    assert where.health is WorkerHealth.SOUND


@pytest.mark.parametrize(
    "looked, percent, expected, stalled",
    [
        # Looked at again without progress.
        (1.5, 40, 2.0, True),
        # Not looked at since: its worker may only be out of reach.
        (0.0, 40, 2.0, False),
        # A long run makes a percent only now and then.
        (1.5, 40, 20.0, False),
        (4.5, 40, 20.0, True),
        # A serving task is at work at 100.
        (9.0, 100, 2.0, False),
    ],
)
def test_a_run_hangs_when_looks_show_no_progress(looked, percent, expected, stalled):
    task = failing(workers_in_racks(1)[0], after=0.0)
    task.percent = percent
    task.reported_at = NOW + looked
    assert HealthMonitor().stalled(task, expected) is stalled


def test_a_fill_that_is_paced_down_does_not_hang():
    task = run_on(
        first_step(job("1" * 16, Step(best_effort=True))).tasks[0],
        workers_in_racks(1)[0],
    )
    task.reported_at = NOW + 60
    assert not HealthMonitor().stalled(task, 1.0)


def test_a_gang_that_stands_still_is_blamed_on_the_worker_where_all_stands_still():
    workers = workers_in_racks(1)
    gang = first_step(job("1" * 16, Step(count=2, gpus=4, gang=True)))
    first, second = (run_on(task, workers[n]) for n, task in enumerate(gang.tasks))
    other = run_on(first_step(job("2" * 16)).tasks[0], workers[1])
    other.percent_changed_at = NOW + 2
    judge = HealthMonitor()
    assert judge.is_suspect(workers[0], first)
    assert not judge.is_suspect(workers[1], second)


def test_a_gang_that_waits_for_a_member_does_not_hang():
    workers = workers_in_racks(1)
    gang = first_step(job("1" * 16, Step(count=2, gpus=4, gang=True)))
    task = run_on(gang.tasks[0], workers[0])
    task.reported_at = NOW + 2.5
    assert not HealthMonitor().stalled(task, 2.0)
