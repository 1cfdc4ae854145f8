"""Gang scheduling: queueing, placement, guarantees, starts and outcomes."""

from zinniatrestle.gangs.guarantees import GuaranteeRule
from zinniatrestle.gangs.jobs import JobService
from zinniatrestle.gangs.messages import JobRow, JobSpec, JobState, TaskShape
from zinniatrestle.gangs.scheduler import DomainScheduler

__all__ = [
    "DomainScheduler",
    "GuaranteeRule",
    "JobRow",
    "JobService",
    "JobSpec",
    "JobState",
    "TaskShape",
]
