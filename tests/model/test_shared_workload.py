"""Seeded runs of services, timed jobs, work at best effort and other jobs together.

Run `python -m model.test_shared_workload FIRST LAST` in the folder tests for all seeds
from FIRST to LAST.
"""

from dataclasses import replace

import pytest

from zinniatrestle.standins.long_running_waits import LongRunningWaits
from zinniatrestle.standins.model import run_virtual

from .test_users_workload import (
    AWARD_SCORING,
    BOUNDS,
    KINDS,
    LEDGER_RECONCILE,
    WATCH_SECONDS,
    Kind,
    UsersWorkload,
    play_seeds,
)

CI_SEEDS = (1, 11)
# Long-running tasks end and fail from time to time, and are to run again.
URGENT_SERVICE = Kind(
    queue="urgent",
    per_second=0.06,
    width=3.0,
    max_width=8,
    cpu=12_000,
    memory_mb=30_000,
    gpus=(1, 2),
    seconds=12.0,
    spread=2.0,
    max_seconds=1000.0,
    gang=False,
    rack_bound=0.3,
    data_rack=0.2,
    checkpointing=0.3,
    apart=0.5,
    cancel=0.4,
    errors=0.3,
    long_running=True,
)
PATIENT_SERVICE = Kind(
    queue="patient",
    per_second=0.06,
    width=4.0,
    max_width=12,
    cpu=20_000,
    memory_mb=60_000,
    gpus=(1, 1, 2, 8),
    seconds=30.0,
    spread=3.0,
    max_seconds=1000.0,
    gang=False,
    rack_bound=0.2,
    data_rack=0.4,
    checkpointing=0.0,
    apart=0.5,
    cancel=0.4,
    errors=0.2,
    long_running=True,
)
FILLER = Kind(
    queue="patient",
    per_second=0.2,
    width=6.0,
    max_width=40,
    cpu=60_000,
    memory_mb=20_000,
    gpus=(0, 0, 1),
    seconds=6.0,
    spread=0.5,
    max_seconds=11.0,
    gang=False,
    rack_bound=0.2,
    data_rack=0.2,
    checkpointing=0.3,
    apart=0.4,
    cancel=0.1,
    errors=0.02,
    chain=(1, 2, 3),
    best_effort=True,
)
# Each occurrence is of the size of a job of the other kinds; they may overlap.
TIMED_GANG = replace(AWARD_SCORING, per_second=0.03, timed=True)
TIMED_TASKS = replace(LEDGER_RECONCILE, per_second=0.03, timed=True)


class SharedWorkload(UsersWorkload):
    """One seeded run of all kinds; long-running tasks are cancelled at its end."""

    kinds = (
        *KINDS,
        URGENT_SERVICE,
        PATIENT_SERVICE,
        FILLER,
        TIMED_GANG,
        TIMED_TASKS,
    )

    def __init__(self, seed: int, settles: bool = True):
        super().__init__(seed, settles)
        self.long_running_waits = LongRunningWaits(
            self.model, self.idle_waits.begins_at
        )
        # Without faults the promise for long-running tasks holds all the time.
        self.fault_gap = self.rng.choice([1.0, 2.5, 5.0, 20.0])

    def sample_waits(self):
        """Look for waits of all tasks."""
        super().sample_waits()
        self.long_running_waits.sample()

    async def wait_for_end(self) -> bool:
        """Wait until the promises have been checked and all jobs have ended."""
        if self.settles:
            await self.model.wait_for_jobs(BOUNDS.finish + WATCH_SECONDS)
            for job, outcome in self.model.jobs.items():
                if not outcome.long_running or outcome.cancelled_at:
                    continue
                if not self.model.has_ended(job):
                    await self.model.cancel(job)
        settled = await super().wait_for_end()
        self.found.extend(self.long_running_waits.violations())
        return settled


@pytest.mark.parametrize("seed", CI_SEEDS)
def test_no_task_waits_beside_room_among_services_and_work_at_best_effort(seed):
    assert run_virtual(SharedWorkload(seed, settles=False).run()) == []


if __name__ == "__main__":
    play_seeds(SharedWorkload)
