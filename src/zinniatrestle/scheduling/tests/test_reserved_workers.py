"""Reserved workers are free for an urgent step once the preempted runs have stopped."""

import asyncio

from zinniatrestle.clock import monotonic
from zinniatrestle.deployment import Bounds
from zinniatrestle.ids import JobId
from zinniatrestle.scheduling.draining import ORDER_LATENCY_SECONDS
from zinniatrestle.standins.checker import check_capacity, violations
from zinniatrestle.standins.model import Model, run_virtual, step
from zinniatrestle.standins.runs import EventKind, FaultMode

# Stops take up to a quarter of the time in which a guarantee has to be met.
BOUNDS = Bounds(stop=0.9, reclaim=3.4)
# A step that preempts at the last moment is in time if it starts this much later.
START_SECONDS = BOUNDS.stop + 2 * ORDER_LATENCY_SECONDS
# Longer than a first quarantine.
QUARANTINE_SECONDS = 5.0
LONG_SECONDS = 60.0


async def preemption_for(model: Model, job: JobId) -> float:
    """Wait until runs have been preempted for a job, and return when they were."""
    while True:
        for line in model.lines:
            if line["event"] == "run_preempted" and line["for_job"] == job:
                return line["at"]
        await asyncio.sleep(0.01)


def starts(model: Model, job: JobId) -> list[float]:
    return [
        event.at
        for event in model.fleet.history
        if event.kind is EventKind.START and event.task.startswith(job)
    ]


async def start_with_idle_canary(model: Model, workers: int):
    """Start workers, all busy but the first, which is a canary without tasks."""
    await model.start(workers=workers, rack=workers)
    faulty = model.fleet.workers["w0"]
    faulty.fault_mode = FaultMode.FAILS
    await model.submit("usual", (step(workers, gpus=8),), 1.0)
    assert await model.wait_for_jobs(10.0)
    faulty.fault_mode = FaultMode.NONE
    for _ in range(workers - 1):
        await model.submit("patient", (step(gpus=8),), LONG_SECONDS)
    await asyncio.sleep(QUARANTINE_SECONDS)


# Guards against a task on a canary that is reserved for an urgent gang, which then has
# to wait for the task or for the end of its reservations (RECLAIM).
def test_a_canary_that_is_reserved_for_a_gang_gets_no_other_task():
    async def play():
        model = Model(1, bounds=BOUNDS)
        await start_with_idle_canary(model, workers=4)
        gang = await model.submit("urgent", (step(2, gpus=8, gang=True),), 1.0)
        preempted_at = await preemption_for(model, gang)
        await model.submit("patient", (step(gpus=1),), LONG_SECONDS)
        await asyncio.sleep(BOUNDS.reclaim + 1.0)
        await model.stop()
        assert violations(model) == []
        return max(starts(model, gang)) - preempted_at

    assert run_virtual(play()) <= START_SECONDS


async def start_two_urgent_jobs_on_one_worker() -> list[float]:
    """Let two jobs preempt runs at one worker, the second while the first waits.

    Returns how long after its preemptions each of them has started.
    """
    model = Model(1, bounds=BOUNDS)
    await model.start(workers=1, rack=1)
    for _ in range(2):
        await model.submit("patient", (step(gpus=4),), LONG_SECONDS)
    await asyncio.sleep(1.0)
    waits = []
    jobs = []
    for _ in range(2):
        jobs.append(await model.submit("urgent", (step(gpus=4),), 1.0))
        waits.append(-await preemption_for(model, jobs[-1]))
        await asyncio.sleep(BOUNDS.stop - ORDER_LATENCY_SECONDS)
    found: list[str] = []
    until = monotonic() + BOUNDS.reclaim
    while monotonic() < until:
        check_capacity(model.fleet, found)
        await asyncio.sleep(0.05)
    await model.stop()
    assert found + violations(model) == []
    return [
        wait + max(starts(model, job)) for job, wait in zip(jobs, waits, strict=True)
    ]


# Guards against a step that waits for the runs that another step with reservations at
# the same worker has preempted later, beyond the time of its guarantee (RECLAIM).
def test_a_step_does_not_wait_for_the_stops_of_a_later_one():
    waits = run_virtual(start_two_urgent_jobs_on_one_worker())
    assert max(waits) <= BOUNDS.stop + ORDER_LATENCY_SECONDS


async def delay_one_stop(model: Model, job: JobId):
    """Let the first run that was preempted for a job stop `LONG_SECONDS` later."""
    await preemption_for(model, job)
    await asyncio.sleep(ORDER_LATENCY_SECONDS)
    for line in model.lines:
        if line["event"] == "run_preempted" and line["for_job"] == job:
            run = model.fleet.workers[line["worker"]].running[line["task"]]
            run.stops_at += LONG_SECONDS
            return


async def start_gang_beside_a_late_stop(ends: bool) -> float:
    """Let a gang preempt two of three runs, of which one doesn't stop in time.

    The third run ends after the time of a stop if `ends`. Another job waits behind the
    gang. Returns how long after its preemptions the gang has started.
    """
    model = Model(1, bounds=BOUNDS)
    await model.start(workers=3, rack=3)
    long_step = step(gpus=8, seconds=LONG_SECONDS)
    for _ in model.fleet.workers:
        await model.submit("patient", (long_step,), LONG_SECONDS)
    await asyncio.sleep(1.0)
    gang = await model.submit("urgent", (step(2, gpus=8, gang=True),), 1.0)
    preempted_at = await preemption_for(model, gang)
    await delay_one_stop(model, gang)
    await model.submit("patient", (long_step,), LONG_SECONDS)
    await asyncio.sleep(BOUNDS.stop)
    if ends:
        for worker in model.fleet.workers.values():
            for run in worker.running.values():
                if run.stops_at is None:
                    run.work_seconds = LONG_SECONDS
    await asyncio.sleep(BOUNDS.reclaim)
    await model.stop()
    assert violations(model) == []
    return max(starts(model, gang)) - preempted_at


# Guards against a gang that waits although enough of its reserved workers and of the
# others are free.
def test_a_gang_uses_its_free_reserved_workers_and_others_together():
    wait = run_virtual(start_gang_beside_a_late_stop(ends=True))
    assert wait <= START_SECONDS


# Guards against a guaranteed gang that waits for a preempted run that doesn't stop, and
# leaves its other workers to less urgent steps when its reservations end (RECLAIM).
def test_a_gang_is_planned_anew_without_a_run_that_does_not_stop_in_time():
    wait = run_virtual(start_gang_beside_a_late_stop(ends=False))
    assert wait <= BOUNDS.reclaim
