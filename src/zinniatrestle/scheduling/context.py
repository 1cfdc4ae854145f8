"""Dependencies that the parts of the scheduler share."""

from dataclasses import dataclass, field

from zinniatrestle.advice import Adviser
from zinniatrestle.deployment import Deployment
from zinniatrestle.events import EventLog
from zinniatrestle.metrics import Metrics
from zinniatrestle.queues import OperatorState
from zinniatrestle.rows import RowStore
from zinniatrestle.scheduling.backlog import WorkSettings
from zinniatrestle.scheduling.leader_task import LeaderTask
from zinniatrestle.scheduling.leadership import Leadership
from zinniatrestle.scheduling.order import OrderPolicy
from zinniatrestle.scheduling.placement import PlacementPolicy
from zinniatrestle.workers.interfaces import WorkerOrders, WorkerRows


@dataclass
class Policy:
    """Replacements of the default policies, for experiments; None is the default."""

    placement: PlacementPolicy | None = None
    order: OrderPolicy | None = None
    preempts: bool = True
    quarantines: bool = True
    reserves_workers: bool = True


@dataclass
class SchedulerContext:
    """Services and shared state that a scheduler depends on."""

    deployment: Deployment
    store: RowStore
    worker_rows: WorkerRows
    orders: WorkerOrders
    operator: OperatorState
    leadership: Leadership
    metrics: Metrics
    events: EventLog
    adviser: Adviser | None = None
    leader_tasks: list[LeaderTask] = field(default_factory=list)
    policy: Policy | None = None
    work: WorkSettings = field(default_factory=WorkSettings)
