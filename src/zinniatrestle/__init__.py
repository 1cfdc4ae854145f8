"""Scheduler for multi-accelerator jobs under client account guarantees."""

__version__ = "0.1.0"

from zinniatrestle.entry import EntryHost
from zinniatrestle.errors import ResultCode, ZinniatrestleError
from zinniatrestle.gangs import JobSpec, JobState, TaskShape
from zinniatrestle.requests import Answer, Request
from zinniatrestle.settings import HostSettings

__all__ = [
    "Answer",
    "EntryHost",
    "HostSettings",
    "JobSpec",
    "JobState",
    "Request",
    "ResultCode",
    "TaskShape",
    "ZinniatrestleError",
    "__version__",
]
