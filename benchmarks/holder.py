"""Measure the processor time of the host that schedules, by number of workers.

`python benchmarks/holder.py [WORKERS ...]` runs one host process and stand-ins of the
platform. For each number of workers it prints the share of a core that the host uses
without jobs and with a steady rate of jobs, and the calls that the workers answered.
"""

import asyncio
import os
import random
import sys
import tempfile
from pathlib import Path

sys.path.insert(0, str(Path(__file__).parents[1] / "tests"))

from common.platform_cluster import Host, PlatformCluster, run_with_cluster

from zinniatrestle.clock import monotonic

WORKERS = (30, 70, 140)
# Until all sessions are open and the first holds are answered.
WARM_UP_SECONDS = 3.0
MEASURED_SECONDS = 10.0
# Started tasks a second for each worker, of jobs with steps of several tasks.
TASKS_PER_WORKER_SECOND = 0.2
TASKS_PER_JOB = 5
TASK_SECONDS = 2.5
CLOCK_TICKS = os.sysconf("SC_CLK_TCK")


def processor_seconds(host: Host) -> float:
    """Return the processor time that a host process has used, in seconds."""
    fields = Path(f"/proc/{host.process.pid}/stat").read_text().rpartition(")")[2]
    user, system = fields.split()[11:13]
    return (int(user) + int(system)) / CLOCK_TICKS


async def submit_jobs(cluster: PlatformCluster, rate: float):
    """Submit jobs at `rate` a second until cancelled."""
    rng = random.Random(1)
    host = cluster.hosts[0]
    steps = [{"count": TASKS_PER_JOB, "gpus": 1, "cpu": 100}]
    async with asyncio.TaskGroup() as group:
        while True:
            await asyncio.sleep(rng.expovariate(rate))
            job = f"{rng.getrandbits(64):016x}"
            group.create_task(cluster.submit(host, job, TASK_SECONDS, steps))


async def measure(cluster: PlatformCluster, workers: int):
    """Print the share of a core that the host uses, without jobs and with them."""
    host = cluster.hosts[0]
    await asyncio.sleep(WARM_UP_SECONDS)
    idle = await used_share(host)
    rate = workers * TASKS_PER_WORKER_SECOND / TASKS_PER_JOB
    submitting = asyncio.create_task(submit_jobs(cluster, rate))
    await asyncio.sleep(WARM_UP_SECONDS)
    started = len(cluster.fleet.history)
    busy = await used_share(host)
    events = (len(cluster.fleet.history) - started) / MEASURED_SECONDS
    submitting.cancel()
    await asyncio.gather(submitting, return_exceptions=True)
    print(
        f"workers {workers}: idle {idle:.3f}, busy {busy:.3f} cores, "
        f"starts and ends {events:.0f} a second",
        flush=True,
    )


async def used_share(host: Host) -> float:
    """Return the share of a core that a host uses over some seconds."""
    used, began = processor_seconds(host), monotonic()
    await asyncio.sleep(MEASURED_SECONDS)
    return (processor_seconds(host) - used) / (monotonic() - began)


def main():
    """Measure each number of workers that is given."""
    sizes = [int(word) for word in sys.argv[1:]] or WORKERS
    for workers in sizes:
        with tempfile.TemporaryDirectory() as folder:

            async def check(cluster: PlatformCluster, workers: int = workers):
                await measure(cluster, workers)

            run_with_cluster(Path(folder), check, hosts=1, workers=workers)


if __name__ == "__main__":
    main()
