"""Jobs and their steps: stored records, acceptance, queries and cancellation."""

from zinniatrestle.jobs.intake import JobIntake
from zinniatrestle.jobs.messages import (
    JobProgress,
    JobState,
    Step,
    Submission,
    TaskProgress,
)
from zinniatrestle.jobs.withdrawals import IntakeSettings, WithdrawalError

__all__ = [
    "IntakeSettings",
    "JobIntake",
    "JobProgress",
    "JobState",
    "Step",
    "Submission",
    "TaskProgress",
    "WithdrawalError",
]
