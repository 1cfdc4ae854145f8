"""Metrics of broken gangs and of lost work name the cause of each loss, once."""

from collections import Counter

import pytest
from common.scheduling import first_step, job, run_on, workers_in_racks
from common.trackers import ended, report, run_gang, tracker_of

from zinniatrestle.clock import boot_time
from zinniatrestle.jobs.messages import JobState, Step
from zinniatrestle.workers.messages import RunOutcome

FAILED, BROKEN = RunOutcome.FAILED, RunOutcome.MEMBER_ENDED
STOPPED, DONE = RunOutcome.STOPPED, RunOutcome.DONE


class CounterByCause:
    """A metric that keeps its sums by cause."""

    def __init__(self):
        self.sums: Counter = Counter()

    def add(self, amount, labels):
        self.sums[labels["cause"]] += amount


def counting_tracker(count=3):
    workers = workers_in_racks(1, size=count)
    tracker = tracker_of(workers)
    tracker.metrics.gangs_broken = CounterByCause()
    tracker.metrics.work_lost = CounterByCause()
    return tracker, workers


def broken(tracker):
    return dict(tracker.metrics.gangs_broken.sums)


def report_ends(tracker, workers, gang, *outcomes):
    for worker, task, outcome in zip(workers, gang.tasks, outcomes, strict=True):
        report(tracker, worker, ended=(ended(task, outcome),))


# Guards against a gang that is counted for each member, or by its aborted members.
@pytest.mark.parametrize(
    "outcomes", [(FAILED, BROKEN, STOPPED), (BROKEN, STOPPED, FAILED)]
)
def test_a_gang_that_fails_counts_once_by_its_first_cause(outcomes):
    tracker, workers = counting_tracker()
    gang = run_gang(tracker, workers)
    report_ends(tracker, workers, gang, *outcomes)
    assert broken(tracker) == {"failed": 1}


def test_a_gang_that_loses_a_worker_counts_by_the_reason():
    tracker, workers = counting_tracker()
    gang = run_gang(tracker, workers)
    tracker.lease_expired(workers[0])
    assert broken(tracker) == {}
    for worker, task in zip(workers[1:], gang.tasks[1:], strict=True):
        report(tracker, worker, ended=(ended(task, STOPPED),))
    reason = "lease expired while the worker was unreachable"
    assert broken(tracker) == {reason: 1}
    assert set(tracker.metrics.work_lost.sums) == {reason}


def test_a_preempted_gang_counts_as_preempted():
    tracker, workers = counting_tracker()
    gang = run_gang(tracker, workers)
    for task in gang.tasks:
        tracker.stop(task, "preempted")
    report_ends(tracker, workers, gang, STOPPED, STOPPED, BROKEN)
    assert broken(tracker) == {"preempted": 1}
    assert set(tracker.metrics.work_lost.sums) == {"preempted"}


def test_a_gang_of_a_cancelled_job_or_one_that_is_done_is_not_broken():
    tracker, workers = counting_tracker()
    cancelled = run_gang(tracker, workers)
    tracker.end_job(cancelled.job, JobState.CANCELLED, "cancelled by the caller")
    report_ends(tracker, workers, cancelled, STOPPED, STOPPED, STOPPED)
    done = run_gang(tracker, workers, "2")
    tracker.stop(done.tasks[0], "preempted")
    report(tracker, workers[0], ended=(ended(done.tasks[0], DONE),))
    assert broken(tracker) == {}


# Guards against work that is counted when a stop is ordered and once more at the end.
def test_lost_work_counts_once_by_the_reason_of_the_stop():
    tracker, workers = counting_tracker()
    task = first_step(job("1" * 16, Step(cpu=2000))).tasks[0]
    tracker.jobs[task.step.job.id] = task.step.job
    run_on(task, workers[0], since=boot_time() - 10)
    tracker.stop(task, "no progress")
    assert tracker.metrics.work_lost.sums == {}
    report(tracker, workers[0], ended=(ended(task, STOPPED),))
    (lost,) = tracker.metrics.work_lost.sums.items()
    assert lost == ("no progress", pytest.approx(20.0, abs=1.0))
