"""Workers: their registry entries, leases and reports, and orders to them."""

from zinniatrestle.workers.interfaces import WorkerOrders
from zinniatrestle.workers.messages import (
    Acknowledgement,
    EndedRun,
    HoldAnswer,
    MalformedAnswerError,
    RefusedOrderError,
    RunningTask,
    RunOutcome,
    StartOrder,
    UnansweredOrderError,
    WorkerEntry,
    WorkerState,
)

__all__ = [
    "Acknowledgement",
    "EndedRun",
    "HoldAnswer",
    "MalformedAnswerError",
    "RunOutcome",
    "RefusedOrderError",
    "RunningTask",
    "StartOrder",
    "UnansweredOrderError",
    "WorkerEntry",
    "WorkerOrders",
    "WorkerState",
]
