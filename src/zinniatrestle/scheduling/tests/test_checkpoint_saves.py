"""Checkpoints are stored while runs go on, at a bounded rate."""

import asyncio

from common.history import start_events
from common.scheduling import NOW, job

from zinniatrestle.clock import monotonic
from zinniatrestle.deployment import Bounds
from zinniatrestle.ids import BootSeconds
from zinniatrestle.jobs.messages import PROGRESS, Step, row_name
from zinniatrestle.scheduling.checkpoint_saves import (
    MAX_TASKS_PER_SECOND,
    CheckpointSaves,
)
from zinniatrestle.standins.checker import violations
from zinniatrestle.standins.model import Model, run_virtual, step
from zinniatrestle.standins.runs import FleetTraits

BOUNDS = Bounds()
TASK_SECONDS = 20.0
# Time for a report, and until the job is stored.
SAVE_SECONDS = 2.0
POLL_SECONDS = 0.02


def changed_job(name: str, tasks: int, saved_at: float = 0.0):
    created = job(name * 16, Step(count=tasks))
    created.checkpoints_changed = True
    created.checkpoints_saved_at = BootSeconds(saved_at)
    return created


def due(saves: CheckpointSaves, jobs, after: float = 0.0) -> list[str]:
    return [found.id[0] for found in saves.due_jobs(jobs, BootSeconds(NOW + after))]


def test_job_is_stored_once_for_each_change_of_its_checkpoints():
    saves = CheckpointSaves()
    jobs = [changed_job("a", 1), job("b" * 16)]
    assert due(saves, jobs) == ["a"]
    assert due(saves, jobs, after=1.0) == []
    jobs[0].checkpoints_changed = True
    assert due(saves, jobs, after=1.5) == []
    assert due(saves, jobs, after=2.0) == ["a"]


def begun_job(name: str, tasks: int):
    created = job(name * 16, Step(count=tasks))
    created.start_unsaved = True
    return created


# Guards against checkpoints that aren't stored while many jobs begin.
def test_jobs_that_have_begun_take_nothing_from_the_rate_of_checkpoints():
    saves = CheckpointSaves()
    begun = [begun_job(name, 20) for name in "bcdef"]
    saved = changed_job("a", 30, saved_at=NOW - 1)
    assert due(saves, [*begun, saved]) == ["a", "b"]
    saved.checkpoints_changed = True
    assert due(saves, [*begun, saved], after=1.0) == ["a", "c"]
    saved.checkpoints_changed = True
    wide = changed_job("g", MAX_TASKS_PER_SECOND, saved_at=NOW - 2)
    assert due(saves, [*begun, saved, wide], after=2.0) == ["g"]


def test_a_wide_job_that_has_begun_is_stored_when_nothing_else_is():
    saves = CheckpointSaves()
    assert due(saves, [begun_job("a", 2 * MAX_TASKS_PER_SECOND)]) == ["a"]
    assert due(saves, [begun_job("b", 1)], after=1.0) == []


def test_jobs_are_stored_in_turn_within_the_rate():
    saves = CheckpointSaves()
    jobs = [
        changed_job("a", MAX_TASKS_PER_SECOND, saved_at=2.0),
        changed_job("b", 2 * MAX_TASKS_PER_SECOND, saved_at=1.0),
        changed_job("c", 1, saved_at=3.0),
    ]
    assert due(saves, jobs) == ["b"]
    assert due(saves, jobs, after=1.9) == []
    assert due(saves, jobs, after=2.0) == ["a"]
    assert due(saves, jobs, after=3.0) == ["c"]


# Guards against the repetition of a whole run whose checkpoints were lost with the
# scheduler, as its worker was lost at the same time (LOST).
def test_successor_resumes_a_run_of_a_lost_worker_from_its_latest_checkpoint():
    async def play():
        model = Model(1, bounds=BOUNDS, traits=FleetTraits(checkpoints_by_step=True))
        await model.start(workers=4, rack=4)
        shape = step(gpus=8, checkpointing=True, seconds=TASK_SECONDS)
        name = await model.submit("usual", (shape,), TASK_SECONDS)
        while not start_events(model, name):
            await asyncio.sleep(POLL_SECONDS)
        (start,) = start_events(model, name)
        await asyncio.sleep(start.at + TASK_SECONDS - 1.0 - monotonic())
        for host in model.hosts:
            await host.kill()
        worker = model.fleet.workers[start.worker]
        model.fleet.crash(worker)
        model.fleet.remove(worker)
        for host in model.hosts:
            host.start()
        assert await model.wait_for_jobs(2 * TASK_SECONDS)
        assert violations(model) == []
        _, repeated = start_events(model, name)
        (outcome,) = model.jobs.values()
        return outcome.completed_at - repeated.at

    lost_seconds = 1.0 + BOUNDS.checkpoint_interval + SAVE_SECONDS
    assert run_virtual(play()) <= lost_seconds + BOUNDS.restore


def test_no_row_is_written_for_runs_without_checkpoints():
    async def play():
        model = Model(1, bounds=BOUNDS, traits=FleetTraits(checkpoints_by_step=True))
        await model.start(workers=4, rack=4)
        shape = step(gpus=8, seconds=TASK_SECONDS)
        name = await model.submit("usual", (shape,), TASK_SECONDS)
        await asyncio.sleep(SAVE_SECONDS)
        stored = model.rows.row(PROGRESS, row_name(name)).version
        await asyncio.sleep(TASK_SECONDS / 2)
        return model.rows.row(PROGRESS, row_name(name)).version - stored

    assert run_virtual(play()) == 0
