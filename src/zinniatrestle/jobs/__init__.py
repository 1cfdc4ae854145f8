"""Jobs and their steps: stored records, acceptance, queries and cancellation."""

from zinniatrestle.jobs.intake import JobIntake
from zinniatrestle.jobs.messages import (
    JobProgress,
    JobState,
    Step,
    Submission,
    TaskProgress,
)

__all__ = [
    "JobIntake",
    "JobProgress",
    "JobState",
    "Step",
    "Submission",
    "TaskProgress",
]
