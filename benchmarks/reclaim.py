"""Measure the time to reclaim guaranteed cells and to start urgent gangs.

`python benchmarks/reclaim.py` fills a failure domain of 24 workers with borrowers and
then repeatedly submits a gang of the owner or an urgent one. It runs real schedulers in
virtual time; a call of the platform takes 4 ms.
"""

import argparse
import asyncio
import random
import statistics
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).parents[1] / "tests"))

from absl import logging
from common.hosts import ACCOUNT, LIMA, HostCluster, default_plan
from common.virtual import run

from zinniatrestle.clock import monotonic
from zinniatrestle.gangs.messages import JobSpec, JobState, TaskShape
from zinniatrestle.gangs.order import QUANTUM_SECONDS
from zinniatrestle.ids import ClientAccountId, RequestKey

WORKERS = 24
TRIALS = 20
OWNER = ClientAccountId("owner")
WHOLE_WORKER = TaskShape(accelerators=8, cores=8.0, memory_gb=16.0)


async def fill(cluster: HostCluster, rng: random.Random):
    """Fill the failure domain with gangs of borrowers in several sizes."""
    job_service = cluster.hosts["lima-1"].jobs
    for number in range(160):
        tasks, each = rng.choice([(1, 1), (2, 2), (1, 4), (1, 8), (4, 1)])
        shape = TaskShape(each, cores=float(each), memory_gb=float(each))
        spec = JobSpec(tasks, ["sleep", "90000"], shape)
        await job_service.submit(ACCOUNT, spec, RequestKey(f"fill-{number}"))
    await asyncio.sleep(QUANTUM_SECONDS + 20)


async def start_time(cluster: HostCluster, account: ClientAccountId, spec: JobSpec):
    """Return the seconds from a job's submission until it runs."""
    job_service = cluster.hosts["lima-1"].jobs
    started = monotonic()
    row = await job_service.submit(account, spec, None)
    while row.state is not JobState.RUNNING:
        await asyncio.sleep(0.02)
        row = await job_service.status(account, row.job)
    return monotonic() - started


async def measure(seed: int, urgent: bool) -> list[float]:
    """Return the times to start of TRIALS gangs."""
    rng = random.Random(seed)
    cluster = await HostCluster.start([LIMA], hosts=2, minions=1, workers=WORKERS)
    guarantee = {"domain": LIMA, "cell": "worker", "count": 8}
    await cluster.apply_account(OWNER, default_plan([LIMA], guarantees=[guarantee]))
    await fill(cluster, rng)
    times = []
    for _ in range(TRIALS):
        tasks = rng.choice([1, 2, 4, 8])
        spec = JobSpec(tasks, ["sleep", "20"], WHOLE_WORKER, urgent=urgent)
        account = ACCOUNT if urgent else OWNER
        times.append(await start_time(cluster, account, spec))
        await asyncio.sleep(QUANTUM_SECONDS + rng.uniform(30, 60))
    return times


def main():
    """Print a row for each kind and seed."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=3)
    options = parser.parse_args()
    logging.set_verbosity(logging.ERROR)
    print("| gang | seed | tries | p50 s | max s |\n| --- | --- | --- | --- | --- |")
    for name, urgent in (("owner's, reclaimed", False), ("urgent borrower", True)):
        for seed in range(options.seeds):
            times = run(measure(seed, urgent))
            median = statistics.median(times)
            print(
                f"| {name} | {seed} | {len(times)} | {median:.2f} | {max(times):.2f} |",
                flush=True,
            )


if __name__ == "__main__":
    main()
