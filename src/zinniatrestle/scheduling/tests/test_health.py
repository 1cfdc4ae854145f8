"""Detection of faulty workers, told apart from jobs that fail everywhere."""

import pytest
from common.scheduling import NOW, first_step, job, run_on, worker, workers_in_racks

from zinniatrestle.jobs.messages import Step
from zinniatrestle.scheduling.health import (
    FAILURE_MEMORY_SECONDS,
    FIRST_QUARANTINE_SECONDS,
    MAX_QUARANTINE_SECONDS,
    MAX_QUARANTINED_SHARE,
    HealthMonitor,
)
from zinniatrestle.scheduling.state import WorkerHealth


def failing_task(worker, name="1", after=1.0):
    return run_on(first_step(job(name * 16)).tasks[0], worker, NOW - after)


def test_one_failure_without_a_recent_success_quarantines_a_worker():
    worker = workers_in_racks(1)[0]
    assert HealthMonitor().record_failure(worker, failing_task(worker), NOW)


def test_a_recent_success_excuses_one_failure():
    monitor, worker = HealthMonitor(), workers_in_racks(1)[0]
    monitor.record_success(worker, NOW - 1)
    assert not monitor.record_failure(worker, failing_task(worker), NOW)
    assert monitor.record_failure(worker, failing_task(worker, "2"), NOW + 0.1)


def test_an_early_failure_quarantines_despite_a_recent_success():
    monitor, worker = HealthMonitor(), workers_in_racks(1)[0]
    monitor.record_success(worker, NOW - 1)
    assert monitor.record_failure(worker, failing_task(worker, after=0.05), NOW)


def test_a_job_that_fails_everywhere_quarantines_no_further_workers():
    monitor = HealthMonitor()
    workers = workers_in_racks(1)
    task = failing_task(workers[0])
    monitor.record_failure(workers[0], task, NOW)
    assert not monitor.record_failure(workers[1], task, NOW + 1)
    assert not monitor.record_failure(workers[2], task, NOW + 2)


def test_the_share_of_quarantined_workers_is_bounded():
    monitor = HealthMonitor()
    workers = workers_in_racks(5, size=2)
    quarantined = [monitor.quarantine(worker, workers, NOW) for worker in workers]
    assert sum(quarantined) == int(MAX_QUARANTINED_SHARE * len(workers))


def test_a_quarantine_in_force_is_not_extended():
    monitor, workers = HealthMonitor(), workers_in_racks(2)
    assert monitor.quarantine(workers[0], workers, NOW)
    assert not monitor.quarantine(workers[0], workers, NOW)
    assert workers[0].quarantined_until == NOW + FIRST_QUARANTINE_SECONDS


def test_a_canary_leads_to_recovery_or_a_longer_quarantine():
    monitor, workers = HealthMonitor(), workers_in_racks(2)
    worker = workers[0]
    monitor.quarantine(worker, workers, NOW)
    monitor.start_canary_if_due(worker, NOW + FIRST_QUARANTINE_SECONDS)
    assert worker.health is WorkerHealth.CANARY
    assert monitor.record_failure(worker, failing_task(worker), NOW + 5)
    monitor.quarantine(worker, workers, NOW + 5)
    assert worker.quarantined_until == NOW + 5 + 2 * FIRST_QUARANTINE_SECONDS
    monitor.start_canary_if_due(worker, NOW + 20)
    assert monitor.record_success(worker, NOW + 21)
    assert worker.health is WorkerHealth.SOUND


@pytest.mark.parametrize(
    "reported_after, percent, expected, stalled",
    [
        # Reported again without progress.
        (1.5, 40, 2.0, True),
        # Not reported since: its worker may only be unreachable.
        (0.0, 40, 2.0, False),
        # A long run gains a percent only rarely.
        (1.5, 40, 20.0, False),
        (4.5, 40, 20.0, True),
        # A serving task runs at 100 percent.
        (9.0, 100, 2.0, False),
    ],
)
def test_a_run_counts_as_stalled_when_its_reports_show_no_progress(
    reported_after, percent, expected, stalled
):
    task = failing_task(workers_in_racks(1)[0], after=0.0)
    task.percent = percent
    task.reported_at = NOW + reported_after
    assert HealthMonitor().is_stalled(task, expected) is stalled


def test_a_best_effort_run_never_counts_as_stalled():
    task = run_on(
        first_step(job("1" * 16, Step(best_effort=True))).tasks[0],
        workers_in_racks(1)[0],
    )
    task.reported_at = NOW + 60
    assert not HealthMonitor().is_stalled(task, 1.0)


def test_a_stalled_gang_is_blamed_on_the_worker_where_all_runs_stall():
    workers = workers_in_racks(1)
    gang = first_step(job("1" * 16, Step(count=2, gpus=4, gang=True)))
    first, second = (run_on(task, workers[n]) for n, task in enumerate(gang.tasks))
    other = run_on(first_step(job("2" * 16)).tasks[0], workers[1])
    other.percent_changed_at = NOW + 2
    monitor = HealthMonitor()
    assert monitor.may_be_at_fault(workers[0], first)
    assert not monitor.may_be_at_fault(workers[1], second)


def test_a_gang_that_waits_for_a_member_does_not_count_as_stalled():
    workers = workers_in_racks(1)
    gang = first_step(job("1" * 16, Step(count=2, gpus=4, gang=True)))
    task = run_on(gang.tasks[0], workers[0])
    task.reported_at = NOW + 2.5
    assert not HealthMonitor().is_stalled(task, 2.0)


def gang_of_three(name="1"):
    return first_step(job(name * 16, Step(count=3, gpus=1, gang=True)))


# Guards against a sound worker in quarantine for each run of a gang that always fails.
def test_gang_that_fails_on_a_second_worker_is_blamed_itself():
    monitor, workers, gang = HealthMonitor(), workers_in_racks(1), gang_of_three()
    assert monitor.record_failure(workers[0], gang.tasks[0], NOW)
    assert not monitor.record_failure(workers[1], gang.tasks[1], NOW)


# Guards against a faulty worker that stays in use, since the task that fails there was
# refused by another worker before.
def test_refusal_elsewhere_does_not_excuse_a_worker_that_fails_a_task():
    monitor, workers, gang = HealthMonitor(), workers_in_racks(1), gang_of_three()
    gang.tasks[0].avoided_workers |= {workers[1].id}
    assert monitor.record_failure(workers[0], gang.tasks[0], NOW)


# Guards against a faulty worker that is recognized late, as each job that fails there
# has failed elsewhere before.
def test_failures_of_several_jobs_count_although_each_failed_elsewhere_before():
    monitor, workers = HealthMonitor(), workers_in_racks(1)
    first, second = gang_of_three("1"), gang_of_three("2")
    monitor.record_failure(workers[1], first.tasks[0], NOW)
    monitor.record_failure(workers[2], second.tasks[0], NOW)
    # The first of these failures may be the fault of the job.
    assert not monitor.record_failure(workers[0], first.tasks[0], NOW)
    assert monitor.record_failure(workers[0], second.tasks[0], NOW)


# Guards against sound workers in quarantine because faulty jobs met there over time.
def test_failures_of_faulty_jobs_long_ago_do_not_count_against_a_worker():
    monitor = HealthMonitor()
    target, other = worker("w1"), worker("w2")
    for name, at in (("1", NOW), ("2", NOW + FAILURE_MEMORY_SECONDS + 1.0)):
        task = failing_task(other, name)
        monitor.record_failure(other, task, at)
        other.failed_jobs.clear()
        assert not monitor.record_failure(target, task, at)


def test_a_quarantine_after_very_many_failures_has_the_maximum_length():
    target = worker("w1")
    target.quarantines = 5000
    assert HealthMonitor().quarantine(target, [target] * 10, NOW)
    assert target.quarantined_until == NOW + MAX_QUARANTINE_SECONDS
