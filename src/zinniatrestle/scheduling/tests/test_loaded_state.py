"""The log tells what a scheduler found that started from the store alone."""

import asyncio

import pytest
from common.history import lines_of
from common.repetitions import lose_run_that_is_done

from zinniatrestle.scheduling.wait_log import ORDINARY
from zinniatrestle.standins.model import Model, run_virtual

# Time for the first line about a wait, and a survey.
LINE_SECONDS = ORDINARY.first_seconds + 0.5


def test_loaded_state_tells_what_is_still_assigned_and_until_when():
    async def play():
        model = Model(1)
        job_id, former = await lose_run_that_is_done(model)
        for host in model.hosts:
            await host.kill()
        model.fleet.crash(former)
        model.fleet.remove(former)
        for host in model.hosts:
            host.start()
        while model.leader() is None:
            await asyncio.sleep(0.02)
        await asyncio.sleep(LINE_SECONDS)
        loaded = lines_of(model, "state_loaded")[-1]
        (wait, *_) = lines_of(model, "job_waits", job=job_id, step="0.0")
        return former, loaded, wait

    former, loaded, wait = run_virtual(play())
    assert (loaded["jobs"], loaded["ended"], loaded["workers"]) == (1, 0, 3)
    assert (loaded["assigned"], loaded["unregistered"]) == (1, 1)
    assert loaded["assigned_done"] == 0
    assert wait["reason"] == "start_unanswered"
    assert wait["held_worker"] == former.entry.worker
    expires_at = wait["at"] + wait["until"]
    assert expires_at == pytest.approx(loaded["at"] + loaded["until"], abs=0.1)
