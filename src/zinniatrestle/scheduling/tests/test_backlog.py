"""Decisions on which accepted jobs are held in memory, and what they weigh."""

import gc
import tracemalloc

import pytest
from common.scheduling import job

from zinniatrestle.ids import ClientAccountId, JobId, StoreMilliseconds
from zinniatrestle.jobs.intake import MAX_TASKS
from zinniatrestle.jobs.messages import Step, Submission
from zinniatrestle.scheduling.backlog import (
    Backlog,
    WorkBudget,
    occurrence_bytes,
    work_bytes,
)
from zinniatrestle.scheduling.state import Job

FIRST, SECOND, THIRD = map(ClientAccountId, ("first", "second", "third"))
SMALL = (Step(),)
# What a job of one task weighs.
SMALL_BYTES = 3700
SHAPES = {
    "a job of one task": SMALL,
    "a step of many tasks": (Step(count=MAX_TASKS),),
    "many steps": (Step(),) * MAX_TASKS,
    "steps after all others": tuple(
        Step(after=tuple(range(number))) for number in range(400)
    ),
    "long texts": (Step(label="a" * 200, image="b" * 200),) * 100,
}


def submission(name: str, account=FIRST, steps=SMALL, **fields) -> Submission:
    return job(name, *steps, account=account, **fields).submission


def backlog(jobs: float) -> Backlog:
    return Backlog(jobs * SMALL_BYTES)


# Guards against objects that the accounting doesn't know of.
@pytest.mark.parametrize("steps", SHAPES.values(), ids=SHAPES.keys())
def test_a_job_takes_no_more_memory_than_it_counts_for(steps):
    text = "spec" * 500
    made = [job(f"{number:016x}", *steps).submission for number in range(10)]
    gc.collect()
    tracemalloc.start()
    held = []
    for template in made:
        # As if it had been decoded.
        values = {name: getattr(template, name) for name in template.__struct_fields__}
        values["spec"] = text + template.job
        values["steps"] = tuple(
            Step(
                count=step.count,
                after=tuple(int(str(number)) for number in step.after),
                label=step.label + "c",
                image=step.image + "d",
            )
            for step in template.steps
        )
        held.append(Job(Submission(**values), 1))
    gc.collect()
    taken, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    assert taken <= sum(work_bytes(each.submission) for each in held)


# Guards against ordinary timed jobs that count for all of their occurrences at once.
def test_a_timed_job_counts_for_the_occurrences_that_are_held():
    held = backlog(jobs=100)
    timed = submission("a", steps=(Step(count=3), Step()), occurrences=10**9)
    once = submission("a", steps=(Step(count=3), Step()))
    assert work_bytes(timed) == work_bytes(once)
    held.hold(timed)
    assert held.budget.bytes == work_bytes(once)
    held.set_occurrences(timed, 0)
    assert held.budget.bytes == work_bytes(once)
    held.set_occurrences(timed, 5)
    assert held.budget.bytes == work_bytes(once) + 4 * occurrence_bytes(timed)
    held.changed.clear()
    held.set_occurrences(timed, 2)
    assert held.budget.bytes == work_bytes(once) + occurrence_bytes(timed)
    assert held.changed.is_set()
    held.release(timed.job)
    assert not held.budget.bytes and not held.budget.bytes_by_account
    held.set_occurrences(timed, 5)
    assert not held.budget.bytes


def test_occurrences_of_an_account_leave_room_for_another_one():
    held = backlog(jobs=20)
    timed = [submission(f"{number}", occurrences=10**9) for number in range(3)]
    for each in timed:
        assert held.may_add_occurrence(each, 0)
        held.hold(each)
    occurrences = 1
    while held.may_add_occurrence(timed[0], occurrences):
        occurrences += 1
        held.set_occurrences(timed[0], occurrences)
    assert not held.may_add_occurrence(timed[1], 1)
    assert held.may_add_occurrence(timed[1], 0)
    assert held.budget.bytes <= held.budget.max_bytes / 2
    assert held.has_room(submission("other", account=SECOND))


def test_an_account_holds_no_more_than_all_leave_free():
    budget = WorkBudget(10.0)
    held = 0
    while budget.has_room(FIRST, 1):
        budget.add(FIRST, 1)
        held += 1
    assert held == 5
    assert budget.has_room(SECOND, 1)


def test_there_is_room_for_another_account_however_many_hold_what_they_may():
    budget = WorkBudget(1000.0)
    accounts = [ClientAccountId(f"account-{number}") for number in range(9)]
    for account in accounts:
        while budget.has_room(account, 1):
            budget.add(account, 1)
    assert budget.bytes <= 1000 + len(accounts) * budget.reserved_bytes
    assert budget.has_room(SECOND, 1)


def test_a_job_beyond_the_bound_is_held_alone():
    budget = WorkBudget(10.0)
    assert budget.has_room(FIRST, 100)
    budget.add(FIRST, 100)
    assert not budget.has_room(SECOND, 1)
    budget.remove(FIRST, 100)
    assert budget.has_room(SECOND, 1)


# Guards against accounts that wait for one whose begun work a successor has to hold.
def test_work_beyond_the_bound_leaves_room_for_some_of_each_other_account():
    held = backlog(jobs=1000)
    held.hold(submission("begun", steps=(Step(count=MAX_TASKS),) * 6))
    assert held.budget.bytes > held.budget.max_bytes
    assert not held.has_room(submission("a"))
    assert held.full_accounts() == (FIRST,)
    assert held.has_room(submission("b", account=SECOND))
    held.hold(submission("b", account=SECOND))
    assert held.has_room(submission("c", account=SECOND))
    assert held.has_room(submission("d", account=THIRD))
    assert held.full_accounts() == (FIRST,)
    big = submission("e", account=SECOND, steps=(Step(count=100),))
    assert not held.has_room(big)
    held.defer(big)
    assert held.next_job() is None
    assert held.full_accounts() == (FIRST, SECOND)


def test_an_account_is_full_before_its_jobs_are_deferred():
    held = backlog(jobs=12)
    number = 0
    while FIRST not in held.full_accounts():
        assert held.has_room(submission(f"{number}"))
        held.hold(submission(f"{number}"))
        number += 1
    assert held.has_room(submission("next"))
    assert held.full_accounts() == (FIRST,)


def test_an_account_with_a_deferred_job_is_full():
    held = backlog(jobs=4)
    for number in range(2):
        held.hold(submission(f"{number}"))
    held.defer(submission("a"))
    held.release(JobId("0"))
    held.release(JobId("1"))
    held.hold(submission("b", steps=(Step(count=8),)))
    held.release(JobId("b"))
    assert held.full_accounts() == ()
    held.defer(submission("c", steps=(Step(count=8),)))
    assert held.full_accounts() == (FIRST,)


def test_deferred_jobs_come_by_priority_and_then_by_acceptance():
    held = backlog(jobs=4)
    for number in range(2):
        held.hold(submission(f"{number}"))
    for name, priority, accepted_at in (("a", 1, 5), ("b", 1, 3), ("c", 0, 9)):
        values = dict(steps=SMALL, priority=priority)
        made = submission(name, **values)
        fields = {each: getattr(made, each) for each in made.__struct_fields__}
        fields["accepted_at"] = StoreMilliseconds(accepted_at)
        held.defer(Submission(**fields))
    assert held.next_job() is None
    held.release(JobId("0"))
    held.release(JobId("1"))
    order = []
    while (turn := held.next_job()) is not None:
        order.append(turn.job)
        held.hold(submission(turn.job))
        held.release(turn.job)
    assert order == ["c", "b", "a"]
    assert not held.deferred and not held.deferred_bytes


def test_a_new_job_does_not_pass_a_deferred_one_of_its_account():
    held = backlog(jobs=4)
    held.defer(submission("a"))
    assert not held.has_room(submission("b"))
    assert held.has_room(submission("c", account=SECOND))


def test_a_deferred_job_of_one_account_holds_up_no_other():
    held = backlog(jobs=8)
    for number in range(4):
        held.hold(submission(f"{number}"))
    held.defer(submission("a"))
    held.defer(submission("b", account=SECOND))
    assert held.next_job().job == "b"


def test_a_cancelled_job_comes_next_without_room():
    held = backlog(jobs=4)
    for number in range(2):
        held.hold(submission(f"{number}"))
    held.defer(submission("a"))
    held.defer(submission("b"))
    held.cancel(JobId("b"))
    held.cancel(JobId("unknown"))
    assert held.next_job().job == "b"
    held.hold(submission("b"), has_tasks=False)
    assert held.next_job() is None
    held.release(JobId("b"))
    assert held.budget.bytes == 2 * SMALL_BYTES


def test_a_released_job_wakes_the_one_that_waits():
    held = backlog(jobs=4)
    held.hold(submission("0"))
    held.changed.clear()
    held.release(JobId("unknown"))
    assert not held.changed.is_set()
    held.release(JobId("0"))
    assert held.changed.is_set()
