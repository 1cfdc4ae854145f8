"""Measure the time without a scheduler after the leader is lost.

`python benchmarks/successions.py` removes the leader in several ways, in virtual time
with real schedulers, and prints the median and the maximum over all seeds.
"""

import asyncio
import statistics
from collections.abc import Awaitable, Callable

from zinniatrestle.clock import monotonic
from zinniatrestle.operators.output import show_list
from zinniatrestle.standins.model import Model, ModelHost, run_virtual, step
from zinniatrestle.standins.rows import Reachability
from zinniatrestle.standins.runs import EventKind
from zinniatrestle.workers.messages import RunOutcome

SEEDS = range(20)
WORKERS = 24
WORKERS_PER_RACK = 8
JOBS_PER_SECOND = 8.0
# The time of the loss, its spread over the duration of a lease, and the time observed
# after it.
LOSS_AT_SECONDS = 4.0
SPREAD_SECONDS = 1.2
OBSERVED_SECONDS = 12.0

Loss = Callable[[Model, ModelHost], Awaitable[None]]


async def killed(model: Model, host: ModelHost):
    """Kill the process."""
    await host.kill()


async def stopped(model: Model, host: ModelHost):
    """Stop the process gracefully, so that it releases the lease."""
    host.leadership.released = True
    await host.kill()
    await host.leadership.release()


async def restarted(model: Model, host: ModelHost):
    """Kill the process and start it again after half a second."""
    await host.kill()
    await asyncio.sleep(0.5)
    host.start()


async def cut_off(model: Model, host: ModelHost):
    """Cut the host off from the store; it still reaches its workers."""
    host.store.reachability = Reachability.SILENT


async def refused(model: Model, host: ModelHost):
    """Let the store refuse all calls of the host."""
    host.store.reachability = Reachability.REFUSED


LOSSES: dict[str, Loss] = {
    "planned stop": stopped,
    "killed, starts again": restarted,
    "killed": killed,
    "cut off from the store": cut_off,
    "turned away by the store": refused,
}


async def measure_loss(loss: Loss, seed: int) -> tuple[float, int]:
    """Return the seconds to a successor's first start, and the expired runs."""
    model = Model(seed)
    await model.start(WORKERS, WORKERS_PER_RACK)
    submitting = asyncio.create_task(_submit_jobs(model))
    await asyncio.sleep(LOSS_AT_SECONDS + SPREAD_SECONDS * seed / len(SEEDS))
    lost_at = monotonic()
    host = model.leader()
    losing = asyncio.create_task(loss(model, host))
    generation = host.leadership.generation
    await asyncio.sleep(OBSERVED_SECONDS)
    submitting.cancel()
    await asyncio.gather(submitting, losing, return_exceptions=True)
    later = [event for event in model.fleet.history if event.at >= lost_at]
    starts = [
        event.at
        for event in later
        if event.kind is EventKind.START and event.generation > generation
    ]
    expired = [event for event in later if event.outcome is RunOutcome.LEASE_EXPIRED]
    return min(starts) - lost_at, len(expired)


async def _submit_jobs(model: Model):
    while True:
        await asyncio.sleep(model.random.expovariate(JOBS_PER_SECOND))
        await model.submit("usual", (step(1, gpus=1),), 6.0)


def main():
    """Print a row for each way of losing the leader."""
    rows = []
    for name, loss in LOSSES.items():
        found = [run_virtual(measure_loss(loss, seed)) for seed in SEEDS]
        seconds = [result[0] for result in found]
        rows.append(
            [
                name,
                f"{statistics.median(seconds):.2f}",
                f"{max(seconds):.2f}",
                sum(result[1] for result in found),
            ]
        )
    show_list([], False, ["loss", "first start s", "longest s", "runs lapsed"], rows)


if __name__ == "__main__":
    main()
