"""Gangs are started on proven workers while others flap, restart, fail or leave."""

import asyncio

import pytest
from common.history import lines_of, start_events

from zinniatrestle.ids import WorkerId
from zinniatrestle.standins.checker import violations
from zinniatrestle.standins.model import Model, run_virtual, step
from zinniatrestle.standins.runs import FaultMode

SUSPECT = WorkerId("w0")
RUN_SECONDS = 8.0
# Time for holds to be missed, and for the worker to be seen again.
DETECTION_SECONDS = 3.0


async def start_model() -> Model:
    """Start a model in which a gang on idle workers would use the suspect first."""
    model = Model(1)
    await model.start(workers=6, rack=6)
    return model


async def flap(model: Model):
    suspect = model.fleet.workers[SUSPECT]
    suspect.reachable = False
    await asyncio.sleep(DETECTION_SECONDS)
    suspect.reachable = True
    await asyncio.sleep(DETECTION_SECONDS)


async def restart(model: Model):
    suspect = model.fleet.workers[SUSPECT]
    model.fleet.crash(suspect)
    await asyncio.sleep(DETECTION_SECONDS)
    model.fleet.restart(suspect)
    await asyncio.sleep(DETECTION_SECONDS)


async def fail_and_recover(model: Model):
    """Let single tasks fail until the suspect is in quarantine, then end well there."""
    suspect = model.fleet.workers[SUSPECT]
    suspect.fault_mode = FaultMode.FAILS
    await model.submit("usual", (step(gpus=8),), 1.0)
    await model.wait_for_jobs(30.0)
    suspect.fault_mode = FaultMode.NONE
    # The canary run.
    await asyncio.sleep(DETECTION_SECONDS + 2.0)
    await model.submit("usual", (step(6, gpus=8),), 1.0)
    await model.wait_for_jobs(30.0)


async def gang_workers(model: Model, count: int) -> set[WorkerId]:
    shape = step(count, gpus=8, gang=True, seconds=RUN_SECONDS)
    job = await model.submit("usual", (shape,), RUN_SECONDS)
    assert await model.wait_for_jobs(60.0)
    assert violations(model) == []
    return {event.worker for event in start_events(model, job)}


def test_a_gang_uses_the_suspect_while_nothing_speaks_against_it():
    async def play():
        return await gang_workers(await start_model(), 3)

    assert SUSPECT in run_virtual(play())


# Guards against gangs that are lost with a worker which has just answered again.
@pytest.mark.parametrize("trouble", [flap, restart, fail_and_recover])
@pytest.mark.parametrize("succession", [False, True])
def test_a_gang_leaves_out_a_worker_with_a_recent_fault(trouble, succession):
    async def play():
        model = await start_model()
        await trouble(model)
        if succession:
            await model.leader().kill()
            await asyncio.sleep(model.bounds.lease + 2.0)
        return await gang_workers(model, 3)

    assert SUSPECT not in run_virtual(play())


def test_a_gang_that_needs_all_workers_takes_the_suspect_at_once():
    async def play():
        model = await start_model()
        await flap(model)
        workers = await gang_workers(model, 6)
        (wait,) = {line["waited"] for line in lines_of(model, "run_placed")}
        risks = {line["worker"]: line["risk"] for line in lines_of(model, "run_placed")}
        return workers, wait, risks

    workers, wait, risks = run_virtual(play())
    assert SUSPECT in workers
    assert wait < 1.0
    assert risks.pop(SUSPECT) > 0.05
    assert set(risks.values()) == {0.0}


# Guards against a gang that is started on a worker which leaves before its end.
def test_no_gang_starts_on_a_worker_that_gave_notice():
    async def play():
        model = await start_model()
        model.fleet.drain(model.fleet.workers[SUSPECT], 5.5)
        await asyncio.sleep(1.0)
        return await gang_workers(model, 5)

    assert SUSPECT not in run_virtual(play())


# Guards against a quarantine of which the log doesn't tell the cause.
def test_the_line_of_a_quarantine_names_the_evidence():
    async def play():
        model = await start_model()
        model.fleet.workers[SUSPECT].fault_mode = FaultMode.FAILS
        await model.submit("usual", (step(gpus=8),), 1.0)
        assert await model.wait_for_jobs(30.0)
        return lines_of(model, "worker_quarantined", worker=SUSPECT)

    (line,) = run_virtual(play())
    assert line["evidence"] == {"failures": 1.0}
