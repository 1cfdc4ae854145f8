"""Measure how long nobody orders after the host that schedules is lost.

`python benchmarks/successions.py` loses it in several ways, in virtual time with real
schedulers, and prints the middle and the longest time of all seeds.
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
RACK = 8
JOBS_PER_SECOND = 8.0
# s; when the holder is lost, spread over the time of a lease, and how long is watched.
LOSS_AT_SECONDS = 4.0
SPREAD_SECONDS = 1.2
OBSERVED_SECONDS = 12.0

Loss = Callable[[Model, ModelHost], Awaitable[None]]


async def killed(model: Model, host: ModelHost):
    """End the process at once."""
    await host.kill()


async def stopped(model: Model, host: ModelHost):
    """Stop it as planned: it gives the lease up."""
    host.leadership.released = True
    await host.kill()
    await host.leadership.release()


async def restarted(model: Model, host: ModelHost):
    """End the process, which starts again within half a second."""
    await host.kill()
    await asyncio.sleep(0.5)
    host.start()


async def cut_off(model: Model, host: ModelHost):
    """Cut the host off from the store; it still reaches its workers."""
    host.store.reachability = Reachability.SILENT


async def turned_away(model: Model, host: ModelHost):
    """Let the store turn the host away."""
    host.store.reachability = Reachability.REFUSED


LOSSES: dict[str, Loss] = {
    "planned stop": stopped,
    "killed, starts again": restarted,
    "killed": killed,
    "cut off from the store": cut_off,
    "turned away by the store": turned_away,
}


async def measure_loss(loss: Loss, seed: int) -> tuple[float, int]:
    """Return the seconds until a successor's first start, and the runs that lapsed."""
    model = Model(seed)
    await model.start(WORKERS, RACK)
    arriving = asyncio.create_task(_arrive(model))
    await asyncio.sleep(LOSS_AT_SECONDS + SPREAD_SECONDS * seed / len(SEEDS))
    lost_at = monotonic()
    host = model.leader()
    losing = asyncio.create_task(loss(model, host))
    generation = host.leadership.generation
    await asyncio.sleep(OBSERVED_SECONDS)
    arriving.cancel()
    await asyncio.gather(arriving, losing, return_exceptions=True)
    later = [event for event in model.fleet.history if event.at >= lost_at]
    starts = [
        event.at
        for event in later
        if event.kind is EventKind.START and event.generation > generation
    ]
    lapsed = [event for event in later if event.outcome is RunOutcome.LEASE_EXPIRED]
    return min(starts) - lost_at, len(lapsed)


async def _arrive(model: Model):
    while True:
        await asyncio.sleep(model.random.expovariate(JOBS_PER_SECOND))
        await model.submit("usual", (step(1, gpus=1),), 6.0)


def main():
    """Print the table."""
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
