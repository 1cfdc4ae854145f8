"""Progress is stored before it takes effect, without waiting for later changes."""

import asyncio

from common.scheduling import first_step, job, run_on
from common.scheduling import worker as new_worker

from zinniatrestle.clock import monotonic
from zinniatrestle.events import EventLog
from zinniatrestle.jobs.intake import BASE64_FACTOR, MAX_TASKS
from zinniatrestle.jobs.messages import (
    PROGRESS,
    SUBMISSIONS,
    JobProgress,
    JobState,
    Step,
    decode_progress,
    encode_progress,
    row_name,
)
from zinniatrestle.rows import Write
from zinniatrestle.scheduling.progress_writer import ProgressWriter
from zinniatrestle.scheduling.state import Job
from zinniatrestle.standins.model import Model, ModelHost, run_virtual, step
from zinniatrestle.standins.rows import TRANSACTION_SECONDS

# A write that is under way when a change comes, and the one with the change.
WRITES_PER_SAVE = 2
# Latency of a write relative to the usual one, as with a slow store.
SLOW_STORE_FACTOR = 10.0
BUSY_SECONDS = 5.0


def stored_job(model: Model, name: str, *steps: Step) -> Job:
    """Return a job of which the store has a progress row."""
    created = job(name, *steps)
    value = encode_progress(JobProgress())
    row = row_name(created.id)
    writes = [Write(PROGRESS, row, value), Write(SUBMISSIONS, row, b"")]
    created.version = model.rows.apply([], writes).version
    return created


async def start_with_writer() -> tuple[Model, ModelHost, ProgressWriter]:
    """Return a model, its leader, and a writer of progress that is to be run."""
    model = Model(1, hosts=1)
    await model.start(workers=1, rack=1)
    host = model.leader()
    writer = ProgressWriter(
        host.store, host.leadership, EventLog(), host.deployment.store
    )
    return model, host, writer


async def seconds_to_save_beside_a_job_that_keeps_changing() -> float:
    model, host, writer = await start_with_writer()
    host.store.latency_factor = SLOW_STORE_FACTOR
    quiet, changing = stored_job(model, "a" * 16), stored_job(model, "b" * 16)
    tasks = [asyncio.create_task(writer.run())]

    async def save_each_change():
        while True:
            tasks.append(asyncio.create_task(writer.save([changing])))
            await asyncio.sleep(TRANSACTION_SECONDS * SLOW_STORE_FACTOR / 3)

    tasks.append(asyncio.create_task(save_each_change()))
    since = monotonic()
    saving = asyncio.create_task(writer.save([quiet, changing]))
    await asyncio.wait({saving}, timeout=BUSY_SECONDS)
    return monotonic() - since


# Guards against a save that waits for all later changes of its jobs as well.
def test_a_save_does_not_wait_for_later_changes_of_its_jobs():
    seconds = run_virtual(seconds_to_save_beside_a_job_that_keeps_changing())
    write_seconds = TRANSACTION_SECONDS * SLOW_STORE_FACTOR
    assert seconds <= (WRITES_PER_SAVE + 0.5) * write_seconds


# Guards against the submission of an ended job that is never deleted.
def test_the_submission_of_a_job_that_ends_during_a_write_is_deleted():
    async def play():
        model = Model(1)
        await model.start(workers=3, rack=3)
        for host in model.hosts:
            host.store.latency_factor = SLOW_STORE_FACTOR
        # Its tasks end one after the other, within the time of a write.
        for number, worker in enumerate(model.fleet.workers.values()):
            worker.speed = 1.0 + 0.03 * number
        name = await model.submit("usual", (step(3, gpus=8),), 2.0)
        assert await model.wait_for_jobs(10.0)
        await asyncio.sleep(BUSY_SECONDS)
        return model.rows.row(SUBMISSIONS, row_name(name))

    assert run_virtual(play()) is None


# Guards against a submission that outlives its job's progress, and then runs again.
def test_a_second_save_deletes_the_submission_of_a_job_that_ended_during_the_first():
    async def play():
        model, _, writer = await start_with_writer()
        running = asyncio.create_task(writer.run())
        created = stored_job(model, "a" * 16)
        saving = asyncio.create_task(writer.save([created]))
        await asyncio.sleep(TRANSACTION_SECONDS / 2)
        created.state = JobState.COMPLETED
        await writer.save([created])
        assert saving.done() and not running.done()
        return model.rows.row(SUBMISSIONS, row_name(created.id))

    assert run_virtual(play()) is None


# Guards against a row that the store refuses for ever, and with it all other jobs.
def test_the_progress_of_the_largest_job_on_many_workers_fits_into_a_row():
    async def play():
        model, host, writer = await start_with_writer()
        writing = asyncio.create_task(writer.run())
        created = stored_job(model, "a" * 16, Step(count=MAX_TASKS, cpu=1000))
        for number, task in enumerate(first_step(created).tasks):
            instance = 1_800_000_000_000 + number
            run_on(task, new_worker(f"i-{number:010x}", instance=instance))
            task.checkpoint = f"{number:016x}"
        await writer.save([created])
        assert not writing.done()
        value = model.rows.row(PROGRESS, row_name(created.id)).value
        assert len(value) * BASE64_FACTOR <= host.deployment.store.row_bytes
        tasks = decode_progress(value).tasks.values()
        return {stored.worker for stored in tasks}

    assert len(run_virtual(play())) == MAX_TASKS
