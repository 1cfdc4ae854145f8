"""Seeded runs of a workload like the users' with successions: counts of waiting jobs.

Run `python -m model.test_pending_counts FIRST LAST` in the folder tests for all seeds
from FIRST to LAST.
"""

import asyncio

import pytest
from common import faults

from zinniatrestle.standins.count_watch import CountWatch
from zinniatrestle.standins.model import run_virtual

from .test_users_workload import UsersWorkload, play_seeds

CI_SEEDS = (1, 3, 6)
ASK_SECONDS = 0.2
SUCCESSIONS = [
    faults.kill_any_host,
    faults.kill_host_after_confirmation,
    faults.kill_leader,
    faults.stop_hosts_in_turn,
]


class SuccessionWorkload(UsersWorkload):
    """One seeded run with more work than fits, whose only faults are successions."""

    def __init__(self, seed: int, settles: bool = False):
        super().__init__(seed, settles)
        self.load = 1.5
        self.faults = SUCCESSIONS
        self.counts = CountWatch(self.model)

    async def run(self) -> list[str]:
        """Play the run, ask for counts all the while, and return the violations."""
        asking = asyncio.create_task(self._ask())
        found = await super().run()
        asking.cancel()
        await asyncio.gather(asking, return_exceptions=True)
        return found + self.counts.violations

    async def _ask(self):
        while True:
            await asyncio.sleep(ASK_SECONDS)
            await self.counts.sample()

    async def _inject_faults(self):
        while True:
            await asyncio.sleep(self.rng.expovariate(1 / self.fault_gap))
            self._inject_at(self._elapsed(), self.rng.choice(self.faults))


# Guards against counts of a successor that has not read or counted all jobs.
@pytest.mark.parametrize("seed", CI_SEEDS)
def test_counts_hold_through_successions(seed):
    workload = SuccessionWorkload(seed)
    assert run_virtual(workload.run()) == []
    assert workload.counts.shown > workload.counts.refused


if __name__ == "__main__":
    play_seeds(SuccessionWorkload)
