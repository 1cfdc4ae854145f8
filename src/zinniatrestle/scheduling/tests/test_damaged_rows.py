"""Rows of the scheduler that someone has damaged: the others hold, nothing is lost."""

import asyncio
from unittest import mock

import msgspec
import pytest
from common.odd_input import UNREADABLE

from zinniatrestle.clock import monotonic
from zinniatrestle.errors import HistoryLostError, ResultCode, StoreUnavailableError
from zinniatrestle.ids import RowName
from zinniatrestle.jobs import JobState
from zinniatrestle.jobs.messages import (
    CANCELLATIONS,
    PROGRESS,
    SUBMISSIONS,
    StoredProgress,
    StoredTask,
    decode_submission,
    encode_submission,
    row_name,
)
from zinniatrestle.rows.feed import Feed
from zinniatrestle.scheduling.leadership import LEASE_ROW, LEASES
from zinniatrestle.serving import RetryLaterError
from zinniatrestle.standins.model import Model, run_virtual, step

RUN_SECONDS = 1.0
# Several times what a job takes on an idle model, with a succession.
JOB_SECONDS = 20.0
NO_PLACE = StoredProgress(
    JobState.RUNNING, "usual", steps={"0.0": {0: StoredTask(1, place=7)}}
)
DAMAGED = {
    "JSON": b'{"job":"x"}',
    "reserved byte": b"\xc1",
    "nested lists": b"\x91" * 20_000,
    "nested in a task": b"\x94\xa7running\xa5usual" + b"\x91" * 20_000,
    "a place that is none": msgspec.msgpack.encode(NO_PLACE),
    **{name: UNREADABLE[name] for name in ("empty", "bytes")},
}
damages = pytest.mark.parametrize("value", DAMAGED.values(), ids=DAMAGED.keys())


def events_of(model: Model, event: str) -> list[dict]:
    return [line for line in model.lines if line["event"] == event]


async def run_a_job(model: Model) -> bool:
    job = await model.submit("usual", (step(1, gpus=1),), RUN_SECONDS)
    until = monotonic() + JOB_SECONDS
    while monotonic() < until:
        if model.has_ended(job):
            return True
        await asyncio.sleep(0.25)
    return False


async def change_leader(model: Model):
    model.leader().leadership.step_down("test")
    await asyncio.sleep(5.0)


# Guards against a job that is done being purged as if its submission had been removed.
@damages
def test_a_damaged_submission_is_left_out_and_its_progress_kept(value):
    async def check():
        model = Model(1)
        await model.start(workers=2, rack=2)
        job = await model.submit("usual", (step(1, gpus=1),), 600.0)
        await asyncio.sleep(2.0)
        model.rows.put(SUBMISSIONS, row_name(job), value)
        await change_leader(model)
        assert await run_a_job(model)
        await asyncio.sleep(3 * model.bounds.status_retention)
        assert not model.state(job).ended
        # One line for each of the two schedulers.
        lines = events_of(model, "input_rejected")
        assert [line["name"] for line in lines] == [job, job]
        assert events_of(model, "task_failed") == []

    run_virtual(check())


# Guards against tasks that run again, since the progress is not restored with the job.
def test_a_submission_that_is_repaired_is_scheduled_by_the_next_scheduler():
    async def check():
        model = Model(1)
        await model.start(workers=2, rack=2)
        job = await model.submit("usual", (step(1, gpus=1),), 20.0)
        await asyncio.sleep(2.0)
        value = model.rows.row(SUBMISSIONS, row_name(job)).value
        model.rows.put(SUBMISSIONS, row_name(job), b"damaged")
        await change_leader(model)
        model.rows.put(SUBMISSIONS, row_name(job), value)
        placed = len(events_of(model, "run_placed"))
        await asyncio.sleep(5.0)
        assert len(events_of(model, "run_placed")) == placed
        await change_leader(model)
        assert await model.wait_for_jobs(60.0)
        runs = [line["run"] for line in events_of(model, "run_placed")]
        assert runs == sorted(set(runs))

    run_virtual(check())


def test_a_submission_in_the_row_of_another_job_is_left_out():
    async def check():
        model = Model(1)
        await model.start(workers=2, rack=2)
        job = await model.submit("usual", (step(1, gpus=1),), 600.0)
        value = model.rows.row(SUBMISSIONS, row_name(job)).value
        model.rows.put(SUBMISSIONS, RowName("0" * 16), value)
        changed = msgspec.structs.replace(decode_submission(value), spec="other")
        model.rows.put(SUBMISSIONS, RowName("1" * 16), encode_submission(changed))
        assert await run_a_job(model)
        assert len(events_of(model, "input_rejected")) == 2
        assert len({line["job"] for line in events_of(model, "job_accepted")}) == 2

    run_virtual(check())


# Its tasks may have run, so none of them may be started.
@damages
def test_a_job_with_damaged_progress_is_left_out(value):
    async def check():
        model = Model(1)
        await model.start(workers=2, rack=2)
        await asyncio.sleep(1.0)
        for host in model.hosts:
            host.leadership.abstain(5.0)
        model.leader().leadership.step_down("test")
        job = await model.submit("usual", (step(1, gpus=1),), RUN_SECONDS)
        model.rows.put(PROGRESS, row_name(job), value)
        await asyncio.sleep(8.0)
        assert await run_a_job(model)
        placed = [line["task"] for line in events_of(model, "run_placed")]
        assert not [task for task in placed if task.startswith(job)]
        assert events_of(model, "task_failed") == []
        host = model.hosts[0]
        admission = host.frontend.admit("queues.example", "/usual/", "key-first")
        with pytest.raises(RetryLaterError) as caught:
            await host.frontend.show(admission, job)
        assert caught.value.code is ResultCode.DAMAGED_ROW
        with pytest.raises(StoreUnavailableError) as caught:
            await host.frontend.cancel(admission, job, monotonic() + 3.0)
        assert caught.value.code is ResultCode.DAMAGED_ROW

    run_virtual(check())


@pytest.mark.parametrize("name", ["", "x", "\0", "0" * 16, "a.b.c"])
def test_a_cancellation_of_no_job_changes_nothing(name):
    async def check():
        model = Model(1)
        await model.start(workers=2, rack=2)
        model.rows.put(CANCELLATIONS, RowName(name), b"\xc1")
        assert await run_a_job(model)
        await change_leader(model)
        assert await run_a_job(model)
        assert events_of(model, "task_failed") == []

    run_virtual(check())


# Guards against hosts of which none schedules any more.
@damages
def test_the_holder_writes_over_a_damaged_lease(value):
    async def check():
        model = Model(1)
        await model.start(workers=2, rack=2)
        generation = model.leader().leadership.generation
        model.rows.put(LEASES, LEASE_ROW, value)
        assert await run_a_job(model)
        assert model.leader().leadership.generation == generation
        assert len(events_of(model, "lease_taken")) == 1

    run_virtual(check())


@damages
@pytest.mark.parametrize("restarts", [False, True])
def test_a_damaged_lease_of_a_dead_holder_expires(value, restarts):
    async def check():
        model = Model(1)
        await model.start(workers=2, rack=2)
        job = await model.submit("usual", (step(1, gpus=1),), 3.0)
        await asyncio.sleep(1.0)
        leader = model.leader()
        generation = leader.leadership.generation
        for host in model.hosts if restarts else [leader]:
            await host.kill()
        model.rows.put(LEASES, LEASE_ROW, value)
        for host in model.hosts if restarts else []:
            host.start()
        await asyncio.sleep(10.0)
        assert model.leader().leadership.generation > generation
        assert await model.wait_for_jobs(JOB_SECONDS)
        starts = [line for line in events_of(model, "run_placed")]
        assert [line["task"].split(".")[0] for line in starts].count(job) >= 1

    run_virtual(check())


# Guards against a scheduler that ends since the history is lost while it loads.
def test_a_load_that_is_repeated_reads_the_tables_again_after_lost_history():
    async def check():
        model = Model(1)
        step_feed = Feed.step
        steps = []

        async def step_or_fail(self):
            steps.append(self.reader.table)
            if steps.count(CANCELLATIONS) == 1 and self.reader.table == CANCELLATIONS:
                raise StoreUnavailableError("not now")
            if steps.count(SUBMISSIONS) == 2 and self.reader.table == SUBMISSIONS:
                raise HistoryLostError("lost")
            await step_feed(self)

        with mock.patch.object(Feed, "step", step_or_fail):
            await model.start(workers=2, rack=2)
            assert await run_a_job(model)
        assert len(events_of(model, "lease_taken")) == 1
        assert events_of(model, "task_failed") == []

    run_virtual(check())
