"""The end of a run that was marked as lost counts when its worker reports it."""

import asyncio

import pytest
from common.history import start_events
from common.repetitions import POLL_SECONDS, repeat_run_that_is_done, wait_for_starts

from zinniatrestle.clock import monotonic
from zinniatrestle.jobs.messages import SUBMISSIONS, JobState, row_name
from zinniatrestle.standins.checker import check_capacity, violations
from zinniatrestle.standins.model import Model, run_virtual, step
from zinniatrestle.standins.runs import OrderMode

# Time for a hold, a round and the start order.
DETECTION_SECONDS = 2.0


# Guards against a step that waits for the repetition of a run that is done (LOST).
@pytest.mark.parametrize("gang", [False, True])
def test_step_starts_once_the_late_end_of_a_repeated_run_is_reported(gang):
    async def play():
        model = Model(1)
        repetition = await repeat_run_that_is_done(model, gang)
        repetition.former.reachable = True
        back_at = monotonic()
        (next_start,) = await wait_for_starts(model, repetition.next_task, 1)
        assert await model.wait_for_jobs(60.0)
        assert violations(model) == []
        return next_start.at - back_at

    assert run_virtual(play()) <= DETECTION_SECONDS


# Guards against a third run after a late end that only a lost scheduler knew (LOST).
@pytest.mark.parametrize("gang", [False, True])
def test_successor_knows_the_late_end_of_a_run_that_is_still_being_stopped(gang):
    async def play():
        model = Model(1)
        repetition = await repeat_run_that_is_done(model, gang)
        repetition.former.reachable = True
        while repetition.former.ended:
            await asyncio.sleep(POLL_SECONDS)
        await model.leader().kill()
        killed_at = monotonic()
        (next_start,) = await wait_for_starts(model, repetition.next_task, 1)
        assert await model.wait_for_jobs(60.0)
        assert violations(model) == []
        assert len(start_events(model, repetition.repeated_task)) == 2
        return next_start.at - killed_at

    assert run_virtual(play()) <= Model(1).bounds.lease + DETECTION_SECONDS


# Guards against a job that is shown as running until a repetition has been stopped.
@pytest.mark.parametrize("gang", [False, True])
def test_job_is_completed_although_a_repetition_can_not_be_stopped(gang):
    async def play():
        model = Model(1)
        repetition = await repeat_run_that_is_done(model, gang, is_last=True)
        repetition.repeating.order_mode = OrderMode.DROPPED
        repetition.former.reachable = True
        await asyncio.sleep(DETECTION_SECONDS)
        assert model.state(repetition.job) is JobState.COMPLETED
        assert repetition.repeating.running
        while repetition.repeating.running:
            await asyncio.sleep(POLL_SECONDS)
        await asyncio.sleep(DETECTION_SECONDS)
        row = model.rows.row(SUBMISSIONS, row_name(repetition.job))
        return row, violations(model)

    assert run_virtual(play()) == (None, [])


# Guards against capacity that is taken to be free while a repetition still uses it.
def test_repetition_keeps_its_capacity_until_it_has_been_stopped():
    async def play():
        model = Model(1)
        repetition = await repeat_run_that_is_done(model)
        for _ in range(4):
            await model.submit("usual", (step(gpus=8),), 5.0)
        repetition.former.reachable = True
        overloaded: list[str] = []
        while not all(model.has_ended(job) for job in model.jobs):
            await asyncio.sleep(POLL_SECONDS)
            check_capacity(model.fleet, overloaded)
        return overloaded + violations(model)

    assert run_virtual(play()) == []
