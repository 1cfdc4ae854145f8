"""A gang that loses a member keeps its progress and is restarted soon."""

import pytest
from common.scheduling import workers_in_racks
from common.trackers import ended, report, run_gang, running, start_members, tracker_of

from zinniatrestle.scheduling.state import TaskStatus
from zinniatrestle.workers.messages import RunOutcome


def gang_of_three(**shape):
    workers = workers_in_racks(1, size=3)
    tracker = tracker_of(workers)
    return tracker, run_gang(tracker, workers, **shape), workers


def checkpoints(step):
    return {task.checkpoint for task in step.tasks}


# Guards against the loss of a newer checkpoint, as another member reports an older one.
def test_checkpoint_that_a_member_reports_late_replaces_no_newer_one():
    tracker, gang, workers = gang_of_three()
    first, second, _ = gang.tasks
    for name in ("a", "b"):
        report(tracker, workers[0], (running(first, name),))
    report(tracker, workers[1], (running(second, "a"),))
    assert checkpoints(gang) == {"b"}
    report(tracker, workers[1], (running(second, "c"),))
    assert checkpoints(gang) == {"c"}


# Guards against the loss of what a stop has saved, as other members end with the last
# checkpoint that they saved while they ran.
def test_checkpoint_of_a_stop_outlasts_the_ends_of_other_members():
    tracker, gang, workers = gang_of_three()
    first, second, third = gang.tasks
    report(tracker, workers[0], ended=(ended(first, RunOutcome.MEMBER_ENDED, "a"),))
    assert second.status is third.status is TaskStatus.STOPPING
    report(tracker, workers[1], ended=(ended(second, RunOutcome.STOPPED, "b"),))
    report(tracker, workers[2], ended=(ended(third, RunOutcome.MEMBER_ENDED, "x"),))
    assert checkpoints(gang) == {"b"}


# Guards against the loss of what a run saved that was marked as lost before it ended.
def test_checkpoint_in_the_late_end_of_a_lost_run_is_used():
    tracker, gang, workers = gang_of_three()
    first = gang.tasks[0]
    late_end = ended(first, RunOutcome.LEASE_EXPIRED, "b")
    tracker.lease_expired(workers[0])
    report(tracker, workers[0], ended=(late_end,))
    assert checkpoints(gang) == {"b"}


def test_checkpoint_of_a_lost_run_that_still_runs_is_used():
    tracker, gang, workers = gang_of_three()
    first = gang.tasks[0]
    still_running = running(first, "b")
    tracker.lease_expired(workers[0])
    report(tracker, workers[0], (still_running,))
    assert checkpoints(gang) == {"b"}


# Guards against members of one run that start from different checkpoints.
def test_checkpoint_of_a_former_run_does_not_reach_members_that_are_starting():
    tracker, gang, workers = gang_of_three()
    late_end = ended(gang.tasks[0], RunOutcome.LEASE_EXPIRED, "b")
    for worker in workers:
        tracker.lease_expired(worker)
    start_members(gang, workers, run=2)
    report(tracker, workers[0], ended=(late_end,))
    assert checkpoints(gang) == {""}


# Guards against a new run whose first checkpoint counts as one that was superseded.
def test_checkpoint_of_a_further_run_may_have_the_name_of_an_earlier_one():
    tracker, gang, workers = gang_of_three()
    for name in ("a", "b"):
        report(tracker, workers[0], (running(gang.tasks[0], name),))
    for worker in workers:
        tracker.lease_expired(worker)
    gang.begin_run()
    start_members(gang, workers, run=2)
    report(tracker, workers[0], (running(gang.tasks[0], "a"),))
    assert checkpoints(gang) == {"a"}


# Guards against a gang that waits for the lease of a worker where it has ended, as a
# member was stopped before it noticed that.
@pytest.mark.parametrize("outcome", [RunOutcome.MEMBER_ENDED, RunOutcome.STOPPED])
def test_end_of_the_last_member_is_inferred_from_aborted_and_stopped_members(outcome):
    tracker, gang, workers = gang_of_three()
    first, second, third = gang.tasks
    workers[2].silent = True
    report(tracker, workers[0], ended=(ended(first, RunOutcome.MEMBER_ENDED),))
    report(tracker, workers[1], ended=(ended(second, outcome),))
    assert third.status is TaskStatus.WAITING


# Guards against a second run beside one that goes on (TWICE): the member that was
# stopped first made the other one end.
def test_no_end_is_inferred_if_a_member_was_stopped_before_another_was_aborted():
    tracker, gang, workers = gang_of_three()
    first, second, third = gang.tasks
    workers[2].silent = True
    tracker.stop(first, "preempted")
    report(tracker, workers[1], ended=(ended(second, RunOutcome.MEMBER_ENDED),))
    report(tracker, workers[0], ended=(ended(first, RunOutcome.STOPPED),))
    assert third.status is TaskStatus.STOPPING


# Guards against the same if a former scheduler stopped the member.
def test_no_end_is_inferred_if_a_former_scheduler_may_have_stopped_a_member():
    tracker, gang, workers = gang_of_three()
    first, second, third = gang.tasks
    workers[2].silent = True
    second.start_time_known = False
    report(tracker, workers[0], ended=(ended(first, RunOutcome.MEMBER_ENDED),))
    report(tracker, workers[1], ended=(ended(second, RunOutcome.STOPPED),))
    assert third.status is TaskStatus.STOPPING


# Guards against a successor that knows the newest checkpoint, takes an older one of a
# member that lags, and then refuses the one that a stop has saved.
def test_checkpoint_of_a_stop_counts_although_an_older_one_has_replaced_it():
    tracker, gang, workers = gang_of_three()
    first, second, _ = gang.tasks
    for member in gang.tasks:
        member.checkpoint = "c6"
    report(tracker, workers[1], (running(second, "c5"),))
    report(tracker, workers[0], ended=(ended(first, RunOutcome.STOPPED, "c6"),))
    assert checkpoints(gang) == {"c6"}
