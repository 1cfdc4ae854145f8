"""Bound on the work that a host accepts before the leader has counted it."""

from collections import deque
from typing import NamedTuple

from zinniatrestle.ids import ClientAccountId

# Share of the memory for work that one account may have uncounted at one host.
UNCOUNTED_SHARE = 1 / 8


class AcceptedJob(NamedTuple):
    """When a job was accepted, in ms of the store's clock, and its size in bytes."""

    accepted_at: float
    size: int


class AcceptanceAllowance:
    """The jobs of each account that this host has accepted and no count includes."""

    def __init__(self, max_work_bytes: float):
        self.max_bytes = max_work_bytes * UNCOUNTED_SHARE
        self.counted_at = 0.0
        self.uncounted: dict[ClientAccountId, deque[AcceptedJob]] = {}
        self.bytes_by_account: dict[ClientAccountId, int] = {}

    def has_room(self, account: ClientAccountId, size: int) -> bool:
        """Return whether a job may be accepted; one is, whatever its size."""
        used = self.bytes_by_account.get(account, 0)
        return not used or used + size <= self.max_bytes

    def take(self, account: ClientAccountId, job: AcceptedJob):
        """Account for a job that may have been accepted."""
        self.uncounted.setdefault(account, deque()).append(job)
        used = self.bytes_by_account.get(account, 0)
        self.bytes_by_account[account] = used + job.size

    def update(self, counted_at: float):
        """Forget the jobs that were accepted before a count, in ms."""
        if counted_at <= self.counted_at:
            return
        self.counted_at = counted_at
        for account, jobs in list(self.uncounted.items()):
            while jobs and jobs[0].accepted_at < counted_at:
                self.bytes_by_account[account] -= jobs.popleft().size
            if not jobs:
                del self.uncounted[account]
                del self.bytes_by_account[account]
