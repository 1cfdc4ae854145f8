"""Jobs with steps: their records, how they are taken, shown and cancelled."""

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
