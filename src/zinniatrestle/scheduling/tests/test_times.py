"""Step dependencies, timed jobs, long-running tasks, and draining with checkpoints."""

import asyncio

from common.history import start_events

from zinniatrestle.clock import monotonic, wall_time
from zinniatrestle.jobs import JobState
from zinniatrestle.jobs.intake import JobRequest
from zinniatrestle.jobs.messages import PROGRESS, decode_progress, row_name
from zinniatrestle.standins.checker import violations
from zinniatrestle.standins.model import JobOutcome, Model, run_virtual, step
from zinniatrestle.standins.runs import EventKind
from zinniatrestle.workers.messages import RunOutcome

JOB = "00000000000000aa"
# Time for a round and its orders.
ROUND_SECONDS = 0.5


def with_model(check, workers=4):
    async def run():
        model = Model(1, hosts=2)
        await model.start(workers=workers, rack=4)
        await check(model)
        assert violations(model) == []

    run_virtual(run())


def step_starts(model, step_key="0.0"):
    found = []
    for event in model.fleet.history:
        name = event.task.split(".", 1)[1].rsplit(".", 1)[0]
        if event.kind is EventKind.START and name == step_key:
            found.append(event)
    return found


async def submit(model, plan):
    model.jobs[JOB] = JobOutcome("usual", monotonic(), 1.0, plan.steps)
    host = model.hosts[0]
    admission = host.frontend.admit("queues.example", "/usual/x", "key-first")
    await host.frontend.accept(admission, JOB, plan, monotonic() + 3.0)
    model.jobs[JOB].accepted = True


def test_step_starts_after_all_tasks_it_depends_on():
    async def check(model):
        shapes = (step(3, seconds=1), step(2), step(2, after=(0, 1)))
        await model.submit("usual", shapes, 1.0)
        assert await model.wait_for_jobs(30.0)
        ends = {}
        for event in model.fleet.history:
            if event.kind is EventKind.END and event.outcome is RunOutcome.DONE:
                ends[event.task.split(".", 1)[1]] = event.at
        before = max(at for key, at in ends.items() if not key.startswith("0.2"))
        assert min(event.at for event in step_starts(model, "0.2")) >= before
        assert len(step_starts(model, "0.2")) == 2

    with_model(check)


def test_occurrences_start_when_due_and_not_before():
    async def check(model):
        first = wall_time() + 2.0
        plan = JobRequest('{"seconds":0.5}', (step(2),), 3, int(first * 1000), 1500)
        await submit(model, plan)
        offset = wall_time() - monotonic()
        assert await model.wait_for_jobs(20.0)
        for occurrence in range(3):
            due = first + 1.5 * occurrence - offset
            for event in step_starts(model, f"{occurrence}.0"):
                assert due <= event.at <= due + ROUND_SECONDS
        assert model.state(JOB) is JobState.COMPLETED

    with_model(check)


def test_occurrences_due_without_a_scheduler_are_not_lost():
    async def check(model):
        first = wall_time() + 1.0
        plan = JobRequest('{"seconds":0.5}', (step(1),), 4, int(first * 1000), 1000)
        await submit(model, plan)
        await asyncio.sleep(2.5)
        await model.leader().kill()
        assert await model.wait_for_jobs(30.0)
        assert {event.task for event in model.fleet.history} == {
            f"{JOB}.{occurrence}.0.0" for occurrence in range(4)
        }

    with_model(check)


def test_long_running_task_restarts_after_success_and_failure():
    async def check(model):
        plan = JobRequest('{"seconds":2,"failures":1}', (step(2, long_running=True),))
        await submit(model, plan)
        await asyncio.sleep(12.0)
        outcomes = {event.outcome for event in model.fleet.history if event.outcome}
        assert {RunOutcome.DONE, RunOutcome.FAILED} <= outcomes
        assert len(step_starts(model)) >= 6
        running = [len(found.running) for found in model.fleet.workers.values()]
        assert sum(running) >= 1
        assert model.state(JOB) is JobState.RUNNING

    with_model(check)


def test_checkpointed_run_is_stopped_before_draining_worker_leaves():
    async def check(model):
        shape = step(1, seconds=30, checkpointing=True)
        await model.submit("usual", (shape,), 30.0)
        await asyncio.sleep(3.0)
        worker = next(w for w in model.fleet.workers.values() if w.running)
        model.fleet.drain(worker, 4.0)
        await asyncio.sleep(5.0)
        ends = [e for e in model.fleet.history if e.kind is EventKind.END]
        assert [(e.worker, e.outcome) for e in ends] == [
            (worker.entry.worker, RunOutcome.STOPPED)
        ]
        assert not worker.running

    with_model(check)


def test_finished_occurrences_are_dropped_from_progress_row():
    async def check(model):
        plan = JobRequest(
            '{"seconds":0.2}', (step(2),), 30, int(wall_time() * 1000), 400
        )
        await submit(model, plan)
        await asyncio.sleep(9.0)
        progress = decode_progress(model.rows.row(PROGRESS, row_name(JOB)).value)
        assert progress.finished_before >= 15
        assert len(progress.finished) + len(progress.tasks) <= 6
        await model.leader().kill()
        assert await model.wait_for_jobs(40.0)
        assert len({event.task for event in start_events(model)}) == 60

    with_model(check)
