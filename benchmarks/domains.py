"""Measure the work completed while a failure domain is out and after its return.

`python benchmarks/domains.py` runs the real schedulers of three failure domains in
virtual time over a full queue, takes one out and brings it back, and compares the
accelerator-seconds completed with what the remaining capacity could do.
"""

import argparse
import asyncio
import random
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).parents[1] / "tests"))

from absl import logging
from common.hosts import ACCOUNT, HostCluster, default_plan
from common.virtual import run

from zinniatrestle.clock import monotonic
from zinniatrestle.configuration.messages import DomainState, SetDomain
from zinniatrestle.gangs.messages import JobSpec, TaskShape
from zinniatrestle.ids import FailureDomainId, RequestKey
from zinniatrestle.store.messages import LeaseState

DOMAINS = [FailureDomainId(name) for name in ("merrimack", "pioneer", "seacoast")]
WORKERS = 8
ACCELERATORS = 8 * WORKERS
JOBS = 160
BASELINE_SECONDS = 600.0
OUT_SECONDS = 600.0
BACK_SECONDS = 600.0
SAMPLE_SECONDS = 1.0


class UtilizationMeter:
    """Sample the accelerators in use by failure domain."""

    def __init__(self, cluster: HostCluster):
        self.cluster = cluster
        self.samples: list[tuple[float, dict[str, int]]] = []

    async def watch(self):
        """Sample until cancelled."""
        while True:
            busy = dict.fromkeys(DOMAINS, 0)
            for state in self.cluster.platform.workers.states.values():
                for lease in state.report().leases:
                    if lease.state is LeaseState.RUNNING:
                        busy[state.listed.domain] += len(lease.accelerators)
            self.samples.append((monotonic(), busy))
            await asyncio.sleep(SAMPLE_SECONDS)

    def mean(self, start: float, end: float, domains: list[str]) -> float:
        """Return the mean share of accelerators in use between two times."""
        busy = 0
        count = 0
        for at, found in self.samples:
            if start <= at < end:
                busy += sum(found[domain] for domain in domains)
                count += 1
        return busy / (count * ACCELERATORS * len(domains))


async def measure(seed: int) -> dict[str, float]:
    """Return the figures of one run."""
    rng = random.Random(seed)
    plan = default_plan(DOMAINS, offline_grace_seconds=120.0)
    cluster = await HostCluster.start(
        DOMAINS, plan, hosts=1, minions=1, workers=WORKERS
    )
    meter = UtilizationMeter(cluster)
    watching = asyncio.create_task(meter.watch())
    job_service = next(iter(cluster.hosts.values())).jobs
    for number in range(JOBS):
        tasks, each = rng.choice([(1, 8), (2, 8), (4, 4), (8, 1), (1, 4), (4, 8)])
        seconds = rng.uniform(120, 900)
        shape = TaskShape(each, cores=each * 2.0, memory_gb=each * 4.0)
        spec = JobSpec(tasks, ["sleep", f"{seconds:.0f}"], shape)
        await job_service.submit(ACCOUNT, spec, RequestKey(str(number)))
        await asyncio.sleep(1)
    baseline_from = monotonic()
    await asyncio.sleep(BASELINE_SECONDS - JOBS)
    out_domain, *others = DOMAINS
    await cluster.change(SetDomain(out_domain, DomainState.OUT))
    out_from = monotonic()
    await asyncio.sleep(OUT_SECONDS)
    await cluster.change(SetDomain(out_domain, DomainState.IN))
    back_from = monotonic()
    await asyncio.sleep(BACK_SECONDS)
    watching.cancel()
    rows = await job_service.jobs(ACCOUNT)
    return {
        "busy_before": round(meter.mean(baseline_from, out_from, DOMAINS), 3),
        "others_while_out": round(meter.mean(out_from, back_from, others), 3),
        "all_after_return": round(
            meter.mean(back_from, back_from + BACK_SECONDS, DOMAINS), 3
        ),
        "out_domain_5_s_after": round(
            meter.mean(out_from + 5, back_from, [out_domain]), 3
        ),
        "still_waiting": sum(row.state.value == "queued" for row in rows),
        "most_attempts": max(row.attempts for row in rows),
    }


def main():
    """Print a row for each seed."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=3)
    options = parser.parse_args()
    logging.set_verbosity(logging.ERROR)
    for seed in range(options.seeds):
        row = run(measure(seed))
        if seed == 0:
            print(f"| seed | {' | '.join(row)} |\n|{' --- |' * (len(row) + 1)}")
        print(f"| {seed} | {' | '.join(str(value) for value in row.values())} |")


if __name__ == "__main__":
    main()
