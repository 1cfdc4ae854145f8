"""Bound on the memory that accepted work takes in the host that schedules.

Jobs beyond the bound are deferred: their rows stay in the store, and are read again
once other work has ended. No account may hold more than what all accounts leave free,
so that one account's work doesn't defer all others'. An account that comes near its
bound is named to all hosts, which refuse further jobs of it.
"""

import asyncio
import heapq
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from typing import NamedTuple

from zinniatrestle.errors import SettingsError
from zinniatrestle.ids import ClientAccountId, JobId, QueueName, StoreMilliseconds
from zinniatrestle.ingress.limits import Resources
from zinniatrestle.jobs.intake import JobRequest
from zinniatrestle.jobs.messages import Submission

# Memory of the objects of a job, beside its texts; of tasks also what a run adds.
JOB_BYTES = 2000
STEP_BYTES = 1000
TASK_BYTES = 700
DEPENDENCY_BYTES = 40
# An account is full from this share of its bound on. The rest is for jobs that hosts
# accept before they know it.
FULL_SHARE = 0.5
# Share of the bound that each account may hold whatever others do, since a successor
# has to hold all work that has begun.
RESERVED_SHARE = 1 / 256


@dataclass(frozen=True)
class WorkSettings:
    """Settings of the bound; `memory_share` is the part of the memory for work."""

    memory_share: float = 0.25

    def max_bytes(self, resources: Resources) -> float:
        """Return the memory for accepted work in bytes."""
        return resources.memory_bytes * self.memory_share

    def check(self, error: Callable[[str, str], SettingsError]):
        """Check the settings; raises what `error` returns for a name and a problem."""
        if not 0 < self.memory_share <= 1:
            raise error(
                "work_memory_share",
                "The work_memory_share must be greater than 0 and at most 1.",
            )


def occurrence_bytes(job: Submission | JobRequest) -> int:
    """Return the memory of the steps and tasks of one occurrence, in bytes."""
    tasks = sum(step.count for step in job.steps)
    return tasks * TASK_BYTES + len(job.steps) * STEP_BYTES


def work_bytes(job: Submission | JobRequest) -> int:
    """Return the memory that a job takes with one occurrence, in bytes."""
    size = JOB_BYTES + len(job.spec) + occurrence_bytes(job)
    for step in job.steps:
        size += len(step.label) + len(step.data_rack) + len(step.image)
        size += len(step.after) * DEPENDENCY_BYTES
    return size


class WorkBudget:
    """Account for the memory of the jobs that are held, in bytes."""

    def __init__(self, max_bytes: float):
        self.max_bytes = max_bytes
        self.reserved_bytes = max_bytes * RESERVED_SHARE
        self.bytes = 0
        self.bytes_by_account: Counter[ClientAccountId] = Counter()

    def has_room(self, account: ClientAccountId, size: int) -> bool:
        """Return whether an account may hold another job of some size.

        It may hold as much as is left free, so that with the work of an account the
        bound of each falls, but never below what is reserved for it. A job that is
        larger than that is held alone.
        """
        if not self.bytes:
            return True
        held = self.bytes_by_account[account]
        if held + size <= self.reserved_bytes:
            return True
        free = self.max_bytes - self.bytes
        return size <= free and (not held or held + size <= free)

    def is_full(self, account: ClientAccountId, deferred: int) -> bool:
        """Return whether an account is close to its bound, with what is deferred."""
        held = self.bytes_by_account[account] + deferred
        bound = max(self.reserved_bytes, self.max_bytes - self.bytes)
        return held > FULL_SHARE * bound

    def add(self, account: ClientAccountId, size: int):
        """Account for a job, whether or not there is room."""
        self.bytes += size
        self.bytes_by_account[account] += size

    def remove(self, account: ClientAccountId, size: int):
        """Account for the end of a job."""
        self.bytes -= size
        self.bytes_by_account[account] -= size
        if not self.bytes_by_account[account]:
            del self.bytes_by_account[account]


class HeldJob(NamedTuple):
    """Account of a job that is held, and its sizes in bytes.

    `further_bytes` is the part of `size` for occurrences beyond the first.
    """

    account: ClientAccountId
    size: int
    further_bytes: int = 0


class DeferredJob(NamedTuple):
    """What is kept of a job whose rows are read again; ordered by its turn."""

    priority: int
    accepted_at: StoreMilliseconds
    job: JobId
    account: ClientAccountId
    queue: QueueName
    size: int
    is_timed: bool


class Backlog:
    """The jobs that are held in memory, and those that are deferred."""

    def __init__(self, max_bytes: float):
        self.budget = WorkBudget(max_bytes)
        self.held: dict[JobId, HeldJob] = {}
        self.deferred: dict[JobId, DeferredJob] = {}
        self.deferred_bytes: Counter[ClientAccountId] = Counter()
        # The deferred jobs of each account, as heaps; some may be held by now.
        self.turns: dict[ClientAccountId, list[DeferredJob]] = {}
        # Deferred jobs that were cancelled, which take no memory for tasks.
        self.cancelled: dict[JobId, None] = {}
        # A job may be resumed.
        self.changed = asyncio.Event()

    def has_room(self, submission: Submission) -> bool:
        """Return whether a job may be held, and none of its account comes before it."""
        if submission.account in self.deferred_bytes:
            return False
        return self.budget.has_room(submission.account, work_bytes(submission))

    def hold(self, submission: Submission, has_tasks: bool = True):
        """Account for a job that is held from now on, with or without its tasks."""
        self._drop_deferred(submission.job)
        size = work_bytes(submission) if has_tasks else JOB_BYTES
        self.held[submission.job] = HeldJob(submission.account, size)
        self.budget.add(submission.account, size)

    def set_occurrences(self, submission: Submission, occurrences: int):
        """Account for the occurrences of a timed job that are held."""
        held = self.held.get(submission.job)
        if held is None:
            return
        further_bytes = max(0, occurrences - 1) * occurrence_bytes(submission)
        change = further_bytes - held.further_bytes
        if not change:
            return
        self.held[submission.job] = HeldJob(
            held.account, held.size + change, further_bytes
        )
        self.budget.add(held.account, change)
        if change < 0:
            self.changed.set()

    def may_add_occurrence(self, submission: Submission, occurrences: int) -> bool:
        """Return whether a timed job may hold another occurrence beside some."""
        if not occurrences:
            return True
        size = occurrence_bytes(submission)
        return self.budget.has_room(submission.account, size)

    def release(self, job: JobId):
        """Account for a job that is no longer held."""
        held = self.held.pop(job, None)
        if held is None:
            return
        self.budget.remove(held.account, held.size)
        self.changed.set()

    def defer(self, submission: Submission):
        """Defer a job that is not held."""
        deferred = DeferredJob(
            submission.priority,
            submission.accepted_at,
            submission.job,
            submission.account,
            submission.queue,
            work_bytes(submission),
            submission.timed,
        )
        self.deferred[deferred.job] = deferred
        self.deferred_bytes[deferred.account] += deferred.size
        heapq.heappush(self.turns.setdefault(deferred.account, []), deferred)
        self.changed.set()

    def cancel(self, job: JobId):
        """Let a deferred job come next, since it was cancelled."""
        if job in self.deferred:
            self.cancelled[job] = None
            self.changed.set()

    def forget(self, job: JobId):
        """Forget a deferred job whose rows are gone or damaged."""
        self._drop_deferred(job)

    def next_job(self) -> DeferredJob | None:
        """Return the deferred job to be held next, or None if there is no room."""
        for job in self.cancelled:
            return self.deferred[job]
        first = None
        for account, turns in list(self.turns.items()):
            while turns and self.deferred.get(turns[0].job) is not turns[0]:
                heapq.heappop(turns)
            if not turns:
                del self.turns[account]
                continue
            if first is not None and turns[0] > first:
                continue
            if self.budget.has_room(account, turns[0].size):
                first = turns[0]
        return first

    def full_accounts(self) -> tuple[ClientAccountId, ...]:
        """Return the accounts of which no further job should be accepted."""
        accounts = self.budget.bytes_by_account.keys() | self.deferred_bytes.keys()
        return tuple(
            account
            for account in sorted(accounts)
            if self.budget.is_full(account, self.deferred_bytes[account])
        )

    def _drop_deferred(self, job: JobId):
        deferred = self.deferred.pop(job, None)
        self.cancelled.pop(job, None)
        if deferred is None:
            return
        self.deferred_bytes[deferred.account] -= deferred.size
        if not self.deferred_bytes[deferred.account]:
            del self.deferred_bytes[deferred.account]
