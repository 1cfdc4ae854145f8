"""Seeded runs of a workload like the users' whose callers cancel what they don't know.

Run `python -m model.test_withdrawals FIRST LAST` in the folder tests for all seeds from
FIRST to LAST.
"""

import asyncio
import random

import pytest
from common import faults

from zinniatrestle.jobs.withdrawals import WITHDRAWALS
from zinniatrestle.standins.model import run_virtual

from .test_users_workload import UsersWorkload, play_seeds

CI_SEEDS = (2, 4)
# Share of the callers that cancel a job after a submission with an unknown outcome.
GIVE_UP_SHARE = 0.7
BURST_AT_SECONDS = 8.0
BURST_JOBS = 20
FAULTS = [
    faults.kill_any_host,
    faults.kill_leader,
    faults.lose_store_answers,
    faults.lose_store_answers,
    faults.lose_most_store_answers,
    faults.lose_most_store_answers,
    faults.slow_store,
]


class WithdrawalWorkload(UsersWorkload):
    """One seeded run in which the store loses answers and applies writes late."""

    def __init__(self, seed: int, settles: bool = False):
        super().__init__(seed, settles)
        self.faults = FAULTS
        self.fault_gap = 2.5
        self.give_up_rng = random.Random(f"{seed}-give-up")

    async def _inject_faults(self):
        """Lose the answers to a burst of submissions, and inject further faults."""
        self._inject_at(BURST_AT_SECONDS, faults.lose_most_store_answers)
        bursting = asyncio.create_task(self._burst_of_submissions())
        try:
            await super()._inject_faults()
        finally:
            bursting.cancel()

    async def _burst_of_submissions(self):
        await asyncio.sleep(BURST_AT_SECONDS + 0.1)
        for _ in range(BURST_JOBS):
            self._submit(self.kinds[0])

    def gives_up(self) -> bool:
        """Return whether the next caller cancels a job of unknown outcome."""
        return self.give_up_rng.random() < GIVE_UP_SHARE

    @property
    def withdrawn(self) -> int:
        """Return the number of stored marks of cancelled jobs."""
        return len(self.model.rows.tables.get(WITHDRAWALS, {}))


# Guards against jobs that run although they were cancelled before the store applied
# their acceptance.
@pytest.mark.parametrize("seed", CI_SEEDS)
def test_no_job_runs_that_was_cancelled_while_its_acceptance_was_unknown(seed):
    workload = WithdrawalWorkload(seed)
    assert run_virtual(workload.run()) == []
    assert workload.withdrawn > 0


if __name__ == "__main__":
    play_seeds(WithdrawalWorkload)
