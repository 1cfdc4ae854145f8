"""In-memory state of the gangs of one failure domain."""

import msgspec

from zinniatrestle.gangs.messages import (
    ENDED_STATES,
    HOLDING_STATES,
    JobRow,
    JobState,
)
from zinniatrestle.ids import JobId, WorkerId
from zinniatrestle.store.messages import ABSENT

# Converts the cores of tasks without accelerators to accelerator equivalents.
CORES_PER_ACCELERATOR = 4.0
# Interval between the checkpoints of a running gang.
CHECKPOINT_SECONDS = 600.0


class Gang:
    """A job row with its version and state that is not stored.

    Worker reports requested up to `reports_valid_after` (monotonic) don't cover the
    current attempt. `refused_by` holds the wall time of each worker's last refusal.
    """

    __slots__ = (
        "cancelled",
        "checkpointed_wall",
        "refused_by",
        "reports_valid_after",
        "row",
        "version",
    )

    def __init__(self, row: JobRow, version: int = ABSENT):
        self.row = row
        self.version = version
        self.cancelled = False
        self.checkpointed_wall = 0.0
        self.reports_valid_after = 0.0
        self.refused_by: dict[WorkerId, float] = {}

    @property
    def accelerator_equivalent(self) -> float:
        """Return the gang's size in accelerators, or cores converted to them."""
        shape = self.row.spec.shape
        each = shape.accelerators or shape.cores / CORES_PER_ACCELERATOR
        return each * self.row.spec.tasks

    @property
    def holding(self) -> bool:
        """Return whether the gang holds capacity on workers."""
        return self.row.state in HOLDING_STATES

    @property
    def ended(self) -> bool:
        """Return whether the job is in a final state."""
        return self.row.state in ENDED_STATES

    def attained_service(self, now: float) -> float:
        """Return the accelerator-seconds that the gang has used so far."""
        if self.row.state is not JobState.RUNNING:
            return self.row.service
        return self.row.service + self.accelerator_equivalent * max(
            0.0, now - self.row.started
        )

    def checkpoint_due(self, now: float) -> bool:
        """Return whether a running gang should write a checkpoint now."""
        last = max(self.checkpointed_wall, self.row.started)
        return self.row.spec.checkpoints and now - last >= CHECKPOINT_SECONDS

    def update(self, **changes):
        """Replace fields of the row."""
        self.row = msgspec.structs.replace(self.row, **changes)


class GangTable:
    """The gangs of one failure domain that have not ended.

    `changes` counts the gangs added and dropped and the writes of rows, so that a
    caller can tell whether anything changed.
    """

    def __init__(self):
        self.gangs: dict[JobId, Gang] = {}
        self.changes = 0

    def add(self, gang: Gang):
        """Add a gang."""
        self.gangs[gang.row.job] = gang
        self.changes += 1

    def drop(self, job: JobId):
        """Remove a gang, if it is there."""
        self.gangs.pop(job, None)
        self.changes += 1

    def queued(self) -> list[Gang]:
        """Return the queued gangs."""
        return [g for g in self.gangs.values() if g.row.state is JobState.QUEUED]

    def holding(self) -> list[Gang]:
        """Return the gangs that hold capacity on workers."""
        return [gang for gang in self.gangs.values() if gang.holding]
