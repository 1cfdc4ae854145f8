"""Seeded days on which all hosts are lost at once, with traffic that goes on.

Run `python -m model.test_final_loss FIRST LAST` in the folder tests for all seeds from
FIRST to LAST.
"""

import asyncio
import sys
from dataclasses import replace

import msgspec
import pytest
from common import faults

from zinniatrestle.standins.ended_tasks import EndsAtWorkers
from zinniatrestle.standins.idle_waits import IdleWaits
from zinniatrestle.standins.model import run_virtual
from zinniatrestle.standins.runs import FleetTraits

from .test_users_workload import (
    AWARD_SCORING,
    ELIGIBILITY_CHECK,
    LEDGER_RECONCILE,
    UsersWorkload,
)

CI_SEEDS = (1, 2)
# In virtual time, from the start of the traffic on.
TRAFFIC_SECONDS = 52.0
FAULTS_SECONDS = 34.0
LOSS_SECONDS = 35.5
# Workers leave, crash or restart from this long before the loss until after it.
NEAR_LOSS_SECONDS = 5.0
# Attempts for a task of each queue, as the users set them.
ATTEMPTS = {"urgent": 4, "usual": 4, "patient": 2}
CHAINED_RECONCILE = replace(LEDGER_RECONCILE, chain=(1, 2, 2, 3), data_rack=0.3)

FAULTS = [
    faults.cut_power_of_workers,
    faults.delay_many_orders,
    faults.drop_change_history,
    faults.evacuate_domain,
    faults.kill_all_hosts,
    faults.kill_any_host,
    faults.kill_host_after_confirmation,
    faults.kill_leader,
    faults.lose_answers_of_workers,
    faults.lose_answers_to_leader,
    faults.lose_rack,
    faults.lose_store_answers,
    faults.lose_workers,
    faults.partition_leader_from_store,
    faults.partition_worker_from_leader,
    faults.partition_workers,
    faults.reclaim_spot_workers,
    faults.refuse_some_hosts,
    faults.release_workers,
    faults.remove_workers,
    faults.replace_worker_at_address,
    faults.reset_connections_of_workers,
    faults.restart_worker,
    faults.restart_workers_behind_partition,
    faults.restart_workers_with_earlier_clock,
    faults.set_fault_of_workers,
    faults.set_worker_fault,
    faults.slow_store,
    faults.slow_workers,
    faults.stop_hosts_in_turn,
    faults.store_outage,
    faults.store_outage_with_expiries,
]
# Faults by which runs end, or their ends are lost, while no host runs.
FAULTS_NEAR_LOSS = [
    faults.cut_power_of_workers,
    faults.lose_answers_of_workers,
    faults.lose_rack,
    faults.lose_workers,
    faults.partition_workers,
    faults.reclaim_spot_workers,
    faults.release_workers,
    faults.remove_workers,
    faults.replace_worker_at_address,
    faults.restart_worker,
    faults.restart_workers_behind_partition,
    faults.restart_workers_with_earlier_clock,
]
# Faults that last longer than the loss of all hosts.
LASTING_FAULTS = [
    faults.evacuate_for_long,
    faults.evacuate_for_long,
    faults.evacuate_for_long,
    faults.refuse_some_hosts,
    faults.store_outage_with_expiries,
    faults.trouble_workers_for_long,
    faults.trouble_workers_for_long,
    faults.trouble_workers_for_long,
]


class FinalLossWorkload(UsersWorkload):
    """One seeded day with a loss of all hosts, after which few faults follow.

    `strict_waits` takes each end at a worker as known, as the users do, even if the
    worker left before any host could hear of it.
    """

    kinds = (AWARD_SCORING, ELIGIBILITY_CHECK, CHAINED_RECONCILE)
    traffic_seconds = TRAFFIC_SECONDS
    traits = FleetTraits(
        clock_rates=(980, 985, 990, 1000),
        max_extra_delay=0.02,
        checkpoints_by_step=True,
    )

    def __init__(self, seed: int, settles: bool = True):
        super().__init__(seed, settles)
        self.strict_waits = IdleWaits(
            self.model, self.idle_waits.begins_at, EndsAtWorkers(self.model.fleet)
        )
        # Most of the workers are idle soon after the traffic.
        self.load = self.rng.choice([0.5, 0.7, 1.0])
        self.faults = self.rng.sample(FAULTS, self.rng.randint(2, 6))
        self.fault_gap = self.rng.choice([1.5, 3.0, 6.0])

    def sample_waits(self):
        """Look for waits beside idle workers, by either view of the ends."""
        super().sample_waits()
        self.strict_waits.sample()

    async def _inject_faults(self):
        """Inject faults until shortly before the loss of all hosts, and around it."""
        self._set_attempts()
        loss_at = LOSS_SECONDS + self.rng.uniform(0.0, 0.5)
        self._inject_at(loss_at, faults.lose_all_hosts)
        for _ in range(self.rng.randint(1, 6)):
            near = self.rng.uniform(-NEAR_LOSS_SECONDS, NEAR_LOSS_SECONDS)
            self._inject_at(loss_at + near, self.rng.choice(FAULTS_NEAR_LOSS))
        for _ in range(self.rng.randint(0, 2)):
            at = self.rng.uniform(loss_at - 12.0, loss_at + NEAR_LOSS_SECONDS)
            self._inject_at(at, self.rng.choice(LASTING_FAULTS))
        while self._elapsed() < FAULTS_SECONDS:
            self._inject_at(self._elapsed(), self.rng.choice(self.faults))
            await asyncio.sleep(self.rng.expovariate(1 / self.fault_gap))

    def _set_attempts(self):
        operator = self.model.operator
        queues = []
        for queue in operator.queues:
            attempts = ATTEMPTS[queue.name]
            queues.append(msgspec.structs.replace(queue, attempts=attempts))
        operator.queues = tuple(queues)
        operator.write()


@pytest.mark.parametrize("seed", CI_SEEDS)
def test_no_accepted_job_waits_beside_idle_workers_after_the_loss_of_all_hosts(seed):
    assert run_virtual(FinalLossWorkload(seed, settles=False).run()) == []


def play_seeds():
    """Play a range of seeds, and print each violation and the share of failures."""
    first, last = int(sys.argv[1]), int(sys.argv[2])
    failed = strictly_failed = 0
    for seed in range(first, last + 1):
        workload = FinalLossWorkload(seed)
        found = run_virtual(workload.run())
        failed += bool(found)
        for line in found:
            print(f"seed {seed}: {line}", flush=True)
        strictly_found = workload.strict_waits.violations()
        strictly_failed += bool(strictly_found)
        for line in strictly_found:
            print(f"seed {seed}: by the ends at workers, {line}", flush=True)
    print(f"{failed} of {last - first + 1} seeds failed")
    print(f"{strictly_failed} failed by the ends at workers")


if __name__ == "__main__":
    play_seeds()
