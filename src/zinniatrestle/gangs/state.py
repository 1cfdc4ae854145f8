"""What a scheduler knows of the gangs of its failure domain."""

import msgspec

from zinniatrestle.gangs.messages import (
    ENDED_STATES,
    HOLDING_STATES,
    JobRow,
    JobState,
)
from zinniatrestle.ids import JobId, WorkerId
from zinniatrestle.store.messages import ABSENT

# Tasks without accelerators count by their cores; one accelerator weighs as many.
CORES_PER_ACCELERATOR = 4.0
CHECKPOINT_SECONDS = 600.0


class Gang:
    """One job with what its scheduler knows beside the row.

    Reports that were asked for up to `reports_valid_after` (monotonic) say nothing of
    the attempt under way. `refused_by` has the wall times at which workers refused it.
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
        """Return the gang's size in accelerators, or its cores' worth of them."""
        shape = self.row.spec.shape
        each = shape.accelerators or shape.cores / CORES_PER_ACCELERATOR
        return each * self.row.spec.tasks

    @property
    def holding(self) -> bool:
        """Tell whether the gang holds room on workers."""
        return self.row.state in HOLDING_STATES

    @property
    def ended(self) -> bool:
        """Tell whether nothing more becomes of the job."""
        return self.row.state in ENDED_STATES

    def attained_service(self, now: float) -> float:
        """Return the accelerator-seconds attained so far."""
        if self.row.state is not JobState.RUNNING:
            return self.row.service
        return self.row.service + self.accelerator_equivalent * max(
            0.0, now - self.row.started
        )

    def checkpoint_due(self, now: float) -> bool:
        """Tell whether a running gang should write a checkpoint."""
        last = max(self.checkpointed_wall, self.row.started)
        return self.row.spec.checkpoints and now - last >= CHECKPOINT_SECONDS

    def update(self, **changes):
        """Replace fields of the row."""
        self.row = msgspec.structs.replace(self.row, **changes)


class GangTable:
    """Hold the gangs of one failure domain that have not ended.

    `changes` counts what came, went, or was written.
    """

    def __init__(self):
        self.gangs: dict[JobId, Gang] = {}
        self.changes = 0

    def add(self, gang: Gang):
        """Take a gang in."""
        self.gangs[gang.row.job] = gang
        self.changes += 1

    def drop(self, job: JobId):
        """Forget a gang."""
        self.gangs.pop(job, None)
        self.changes += 1

    def queued(self) -> list[Gang]:
        """Return the waiting gangs."""
        return [g for g in self.gangs.values() if g.row.state is JobState.QUEUED]

    def holding(self) -> list[Gang]:
        """Return the gangs that hold room."""
        return [gang for gang in self.gangs.values() if gang.holding]
