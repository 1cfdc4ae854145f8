"""Tasks at their last attempt don't wait for the end of long quarantines."""

import asyncio
from unittest import mock

import msgspec
import pytest
from common.history import lines_of, start_events

from zinniatrestle.clock import monotonic
from zinniatrestle.deployment import Bounds
from zinniatrestle.ids import JobId, QueueName
from zinniatrestle.jobs import JobState
from zinniatrestle.scheduling import health
from zinniatrestle.standins.checker import violations
from zinniatrestle.standins.idle_waits import MAX_IDLE_SECONDS
from zinniatrestle.standins.model import Model, run_virtual, step
from zinniatrestle.standins.runs import FaultMode

BOUNDS = Bounds()
RACKS = 4
# All of them may be in quarantine, as they are less than 0.3 of the service.
WORKERS_IN_RACK = 8
TASKS = 5
TASK_SECONDS = 2.0
ATTEMPTS = 2
QUEUE = QueueName("patient")
POLL_SECONDS = 0.02


def allow_attempts(model: Model):
    """Allow each task of one queue few attempts, and those of the others many."""
    queues = []
    for queue in model.operator.queues:
        attempts = ATTEMPTS if queue.name == QUEUE else 9
        queues.append(msgspec.structs.replace(queue, attempts=attempts))
    model.operator.queues = tuple(queues)
    model.operator.write()


async def until_quarantined(model: Model, count: int):
    until = monotonic() + BOUNDS.finish
    while len(lines_of(model, "worker_quarantined")) < count:
        assert monotonic() < until
        await asyncio.sleep(POLL_SECONDS)


async def fail_once(model: Model, tasks: int) -> JobId:
    """Return a job of which `tasks` have failed once, and need a rack in quarantine.

    The workers are sound from then on.
    """
    await model.start(workers=RACKS * WORKERS_IN_RACK, rack=WORKERS_IN_RACK)
    allow_attempts(model)
    await asyncio.sleep(1.0)
    rack = [
        worker
        for worker in model.fleet.workers.values()
        if "rack-0" in worker.entry.rack
    ]
    for worker in rack:
        worker.fault_mode = FaultMode.FAILS
    shape = step(gpus=8, label="rack-0", seconds=TASK_SECONDS)
    for number in range(WORKERS_IN_RACK - tasks):
        other = await model.submit("usual", (shape,), TASK_SECONDS)
        await until_quarantined(model, number + 1)
        await model.cancel(other)
    shape = step(TASKS, gpus=8, label="rack-0", max_per_worker=1, seconds=TASK_SECONDS)
    job = await model.submit(QUEUE, (shape,), TASK_SECONDS)
    await until_quarantined(model, WORKERS_IN_RACK)
    assert len(start_events(model, job)) == tasks
    for worker in rack:
        worker.fault_mode = FaultMode.NONE
    return job


# Guards against a step that waits for the end of quarantines beside idle workers.
@pytest.mark.parametrize("tasks", [1, TASKS])
def test_step_with_tasks_at_their_last_attempt_waits_within_the_bound(tasks):
    async def play():
        model = Model(1, bounds=BOUNDS)
        with mock.patch.object(
            health, "FIRST_QUARANTINE_SECONDS", health.MAX_QUARANTINE_SECONDS
        ):
            job = await fail_once(model, tasks)
        sound_at = monotonic()
        while len(start_events(model, job)) == tasks:
            await asyncio.sleep(POLL_SECONDS)
        waited = monotonic() - sound_at
        assert await model.wait_for_jobs(120.0)
        assert violations(model) == []
        assert model.state(job) is JobState.COMPLETED
        return waited

    assert run_virtual(play()) <= BOUNDS.finish + MAX_IDLE_SECONDS
