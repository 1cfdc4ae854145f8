"""Starts that wait in the queue of a worker are sent only if they still may be."""

import asyncio

from msgspec.structs import replace

from zinniatrestle.clock import monotonic
from zinniatrestle.standins.model import Model, run_virtual, step
from zinniatrestle.standins.runs import EventKind
from zinniatrestle.workers.messages import WorkerState

TASKS = 600
# The queue of one worker takes far longer than an evacuation may.
ORDER_SECONDS = 0.05


def run_with_queued_starts(check):
    """Run a check while the starts of a wide job wait in the queue of one worker."""

    async def run():
        model = Model(1, hosts=1)
        await model.start(workers=1, rack=1, cpu=10**6)
        (worker,) = model.fleet.workers.values()
        for host in model.hosts:
            host.orders.delay = ORDER_SECONDS
        wide = step(TASKS, cpu=1, memory_mb=1, gpus=0)
        await model.submit("usual", (wide,), 60.0)
        while not model.fleet.history:
            await asyncio.sleep(0.02)
        await check(model, worker)

    run_virtual(run())


def last_start(model) -> float:
    return max(
        event.at for event in model.fleet.history if event.kind is EventKind.START
    )


# Guards against tasks that start long after their failure domain was evacuated.
def test_no_queued_start_is_sent_into_an_evacuated_domain():
    async def check(model, worker):
        evacuated_at = monotonic()
        model.operator.evacuate(worker.entry.domain)
        await asyncio.sleep(30.0)
        assert last_start(model) - evacuated_at <= model.bounds.evacuation
        model.operator.end_evacuation(worker.entry.domain)
        ended_at = monotonic()
        await asyncio.sleep(30.0)
        assert last_start(model) > ended_at

    run_with_queued_starts(check)


# Guards against tasks that start long after their worker began to drain.
def test_no_queued_start_is_sent_to_a_draining_worker():
    async def check(model, worker):
        draining_at = monotonic()
        worker.entry = replace(worker.entry, state=WorkerState.DRAINING)
        model.fleet.write(worker)
        await asyncio.sleep(30.0)
        assert last_start(model) - draining_at <= model.bounds.drain

    run_with_queued_starts(check)


def test_queued_starts_are_sent_while_nothing_has_changed():
    async def check(model, worker):
        await asyncio.sleep(50.0)
        assert len(worker.running) == TASKS

    run_with_queued_starts(check)
