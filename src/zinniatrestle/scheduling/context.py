"""What the parts of the scheduler share."""

from dataclasses import dataclass

from zinniatrestle.deployment import Deployment
from zinniatrestle.events import EventLog
from zinniatrestle.metrics import Metrics
from zinniatrestle.queues import OperatorState
from zinniatrestle.rows import RowStore
from zinniatrestle.scheduling.leadership import Leadership
from zinniatrestle.workers.interfaces import WorkerOrders, WorkerRows


@dataclass
class SchedulerContext:
    """Services and beliefs that a scheduler works with."""

    deployment: Deployment
    store: RowStore
    worker_rows: WorkerRows
    orders: WorkerOrders
    operator: OperatorState
    leadership: Leadership
    metrics: Metrics
    events: EventLog
