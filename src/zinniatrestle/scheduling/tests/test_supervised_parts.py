"""A part of the scheduler that fails ends no other, and none fails in a tight loop."""

import asyncio
from unittest import mock

import pytest

from zinniatrestle.advice import AdviceCache
from zinniatrestle.jobs.messages import PROGRESS, row_name
from zinniatrestle.scheduling.leader_task import LeaderTask
from zinniatrestle.scheduling.leadership import Leadership
from zinniatrestle.scheduling.progress_writer import ProgressWriter
from zinniatrestle.scheduling.scheduler import Scheduler
from zinniatrestle.scheduling.tracker import Tracker
from zinniatrestle.standins.host_orders import HostOrders
from zinniatrestle.standins.model import Model, run_virtual, step
from zinniatrestle.standins.operator import OPERATOR_TABLE

RUN_SECONDS = 1.0
# Several times what a job takes on an idle model.
JOB_SECONDS = 15.0


def failing(*args, **options):
    """Fail as code with a defect does."""
    raise RuntimeError("not expected")


async def failing_task(*args, **options):
    """Fail as a task with a defect does."""
    failing()


def fail_times(original, times: int):
    """Return a coroutine function that fails some times before it does its work."""
    calls = []

    async def fail_or_call(*args, **options):
        calls.append(args)
        if len(calls) <= times:
            failing()
        return await original(*args, **options)

    return fail_or_call


def events_of(model: Model, event: str) -> list[dict]:
    return [line for line in model.lines if line["event"] == event]


async def run_a_job(model: Model, seconds: float = JOB_SECONDS) -> bool:
    await model.submit("usual", (step(2, gpus=1),), RUN_SECONDS)
    return await model.wait_for_jobs(seconds)


class FailingLeaderTask(LeaderTask):
    """A background task of the leader that always fails."""

    name = "failing"

    async def run(self, cluster):
        failing()


def test_jobs_are_done_beside_a_background_task_that_fails():
    async def check():
        model = Model(1)
        with (
            mock.patch.object(Scheduler, "_purge_ended_jobs", failing_task),
            mock.patch.object(AdviceCache, "run", failing_task),
        ):
            model.adviser = mock.Mock()
            await model.start(workers=2, rack=2)
            for host in model.hosts:
                host.context.leader_tasks = [FailingLeaderTask()]
            model.leader().leadership.step_down("test")
            await asyncio.sleep(10.0)
            assert await run_a_job(model)
            taken = len(events_of(model, "lease_taken"))
            await asyncio.sleep(60.0)
            assert await run_a_job(model)
        # The first one, and the one after the step down.
        assert taken == len(events_of(model, "lease_taken")) == 2
        failed = {line["task"] for line in events_of(model, "task_failed")}
        assert failed == {"purge", "advice", "failing"}
        # In 75 s, with pauses of up to 10 s.
        assert len(events_of(model, "task_failed")) < 60

    run_virtual(check())


def test_progress_is_written_after_unexpected_errors_of_the_writer():
    async def check():
        model = Model(1)
        write = fail_times(ProgressWriter._try_write, 5)
        with mock.patch.object(ProgressWriter, "_try_write", write):
            await model.start(workers=2, rack=2)
            assert await run_a_job(model)
        assert len(events_of(model, "lease_taken")) == 1
        assert len(events_of(model, "task_failed")) == 5

    run_virtual(check())


def test_a_job_whose_state_cannot_be_encoded_holds_up_no_other():
    async def check():
        model = Model(1)
        await model.start(workers=2, rack=2)
        odd = await model.submit("usual", (step(1, gpus=1),), RUN_SECONDS)
        encode = ProgressWriter._encoded

        def encode_or_fail(self, job):
            if job.id == odd:
                failing()
            return encode(self, job)

        with mock.patch.object(ProgressWriter, "_encoded", encode_or_fail):
            others = [
                await model.submit("usual", (step(1, gpus=1),), RUN_SECONDS)
                for _ in range(3)
            ]
            await asyncio.sleep(JOB_SECONDS)
            assert all(model.has_ended(job) for job in others)
        failures = events_of(model, "task_failed")
        assert [line.get("job") for line in failures] == [odd]
        assert await model.wait_for_jobs(JOB_SECONDS)

    run_virtual(check())


def test_a_damaged_row_of_progress_is_written_over():
    async def check():
        model = Model(1)
        await model.start(workers=2, rack=2)
        job = await model.submit("usual", (step(1, gpus=1),), 5.0)
        await asyncio.sleep(2.0)
        model.rows.put(PROGRESS, row_name(job), b"\xc1 damaged")
        await model.submit("usual", (step(1, gpus=1),), RUN_SECONDS)
        await asyncio.sleep(JOB_SECONDS)
        assert await model.wait_for_jobs(JOB_SECONDS)
        assert len(events_of(model, "lease_taken")) == 1
        (line,) = events_of(model, "input_rejected")
        assert line["name"] == job

    run_virtual(check())


# Guards against hosts that take the lease again and again: 234 times in 38 s.
def test_a_scheduler_that_always_fails_is_started_less_and_less_often():
    async def check():
        model = Model(1, hosts=2)
        with mock.patch.object(Scheduler, "_run_rounds", failing_task):
            await model.start(workers=2, rack=2)
            await asyncio.sleep(60.0)
            early = len(events_of(model, "lease_taken"))
            await asyncio.sleep(60.0)
            late = len(events_of(model, "lease_taken")) - early
        # Each host pauses for 10 s in the end.
        assert late <= 2 * 7
        assert early <= 2 * 12
        assert await run_a_job(model, 30.0)

    run_virtual(check())


def test_a_scheduler_that_failed_once_is_started_again_soon():
    async def check():
        model = Model(1)
        rounds = fail_times(Scheduler._run_rounds, 1)
        with mock.patch.object(Scheduler, "_run_rounds", rounds):
            await model.start(workers=2, rack=2)
            assert await run_a_job(model, 5.0)

    run_virtual(check())


def test_the_lease_is_kept_after_unexpected_errors():
    async def check():
        model = Model(1)
        await model.start(workers=2, rack=2)
        renew = fail_times(Leadership._renew, 2)
        with mock.patch.object(Leadership, "_renew", renew):
            assert await run_a_job(model)
        assert len(events_of(model, "lease_taken")) == 1
        failed = [line["task"] for line in events_of(model, "task_failed")]
        assert failed == ["lease", "lease"]

    run_virtual(check())


def test_a_session_goes_on_after_errors_of_all_its_parts():
    async def check():
        model = Model(1)
        hold = fail_times(HostOrders.hold, 3)
        with (
            mock.patch.object(HostOrders, "hold", hold),
            mock.patch.object(Tracker, "mark_silent", failing),
        ):
            await model.start(workers=1, rack=1)
            assert await run_a_job(model)

    run_virtual(check())


@pytest.mark.parametrize("name", ["desired", "out/zone", "wave/1", "wave/x", "other"])
def test_hosts_follow_the_desired_state_after_a_damaged_row(name):
    async def check():
        model = Model(1)
        await model.start(workers=2, rack=2)
        model.rows.put(OPERATOR_TABLE, name, b"\xc1 damaged")
        await asyncio.sleep(5.0)
        model.operator.write()
        await asyncio.sleep(2.0)
        for host in model.hosts:
            assert host.frontend.ready()
            assert host.operator.desired.version == model.operator.version
        assert await run_a_job(model)

    run_virtual(check())
