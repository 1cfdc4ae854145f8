"""The log tells what keeps a step from its turn although the one before it is done."""

import asyncio

import pytest
from common.history import lines_of, start_events
from common.repetitions import (
    TASK_SECONDS,
    lose_run_that_is_done,
    repeat_run_that_is_done,
    wait_for_starts,
)
from common.scheduling import NOW, job, run_on, worker

from zinniatrestle.clock import monotonic
from zinniatrestle.events.explain import cause, job_lines
from zinniatrestle.ids import BootSeconds, InstanceId, RunNumber, WorkerId
from zinniatrestle.jobs.messages import Step
from zinniatrestle.scheduling.durations import Durations
from zinniatrestle.scheduling.forecast import Forecast
from zinniatrestle.scheduling.state import Job, LostRun, Task, TaskStatus
from zinniatrestle.scheduling.wait_log import ORDINARY
from zinniatrestle.scheduling.waits import (
    FormerWorker,
    WaitReason,
    does_new_work,
    former_worker_of,
    repetition_wait,
)
from zinniatrestle.standins.model import Model, run_virtual, step
from zinniatrestle.standins.runs import OrderMode

# Time for the first line about a wait, and a survey.
LINE_SECONDS = ORDINARY.first_seconds + 0.5
# Time for a hold and a round.
REPORT_SECONDS = 1.5


# Which repetition keeps a step from its turn


def two_steps(count: int = 1, gang: bool = False) -> Job:
    first = Step(count=count, gpus=1, gang=gang, estimated_ms=10_000)
    return job("a" * 16, first, Step(gpus=1, after=(0,), estimated_ms=10_000))


def lose_run(task: Task) -> LostRun:
    task.lost_run = LostRun(
        RunNumber(1), WorkerId("former"), InstanceId(1), BootSeconds(NOW - 4.0), "lost"
    )
    return task.lost_run


def repetition_wait_of(of_job: Job):
    forecast = Forecast(Durations(), BootSeconds(NOW))
    return repetition_wait(of_job.steps["0.1"], forecast)


@pytest.mark.parametrize("gang", [False, True])
def test_step_waits_for_the_repetition_that_is_expected_to_end_last(gang):
    of_job = two_steps(2, gang)
    for number, task in enumerate(of_job.steps["0.0"].tasks):
        run_on(task, worker(f"w{number}"), NOW - 4.0 * number)
        lose_run(task)
    wait = repetition_wait_of(of_job)
    assert wait.reason is WaitReason.REPEATED_RUNS
    assert wait.held_by is of_job.steps["0.0"].tasks[0]
    assert wait.until == pytest.approx(NOW + 10.0)


def test_step_behind_a_first_run_does_not_wait_for_repetitions():
    of_job = two_steps(2)
    repeated, first_run = of_job.steps["0.0"].tasks
    run_on(repeated, worker("w0"))
    lose_run(repeated)
    run_on(first_run, worker("w1"))
    assert repetition_wait_of(of_job) is None
    assert does_new_work(of_job.steps["0.0"])


def test_step_waits_for_no_repetition_of_a_run_that_is_done():
    of_job = two_steps(2)
    done, stopping = of_job.steps["0.0"].tasks
    done.completed, done.status = True, TaskStatus.DONE
    run_on(stopping, worker("w0")).status = TaskStatus.STOPPING
    assert not of_job.is_ready(of_job.steps["0.1"])
    stopping.completed = True
    assert of_job.is_ready(of_job.steps["0.1"])
    assert repetition_wait_of(of_job) is None
    assert not does_new_work(of_job.steps["0.0"])


def test_step_whose_turn_has_come_waits_for_no_repetition():
    of_job = two_steps()
    of_job.steps["0.0"].finish()
    assert repetition_wait_of(of_job) is None


def test_former_worker_tells_whether_the_end_can_still_be_reported():
    lost = lose_run(two_steps().steps["0.0"].tasks[0])
    registered = worker("former")
    assert former_worker_of(lost, None) is FormerWorker.MISSING
    assert former_worker_of(lost, registered) is FormerWorker.ANSWERS
    registered.silent = True
    assert former_worker_of(lost, registered) is FormerWorker.SILENT
    restarted = worker("former", instance=InstanceId(2))
    assert former_worker_of(lost, restarted) is FormerWorker.REPLACED


# The lines about a job whose next step can't start


@pytest.mark.parametrize("gang", [False, True])
def test_wait_for_a_repetition_names_the_lost_run_and_its_former_worker(gang):
    async def play():
        model = Model(1)
        repetition = await repeat_run_that_is_done(model, gang)
        await asyncio.sleep(LINE_SECONDS)
        (line,) = lines_of(model, "job_waits", reason="repeated_runs")
        assert model.metrics.steps_waiting["repeated_runs"] == 1
        assert model.metrics.steps_waiting_despite_room == 1
        (next_start,) = await wait_for_starts(model, repetition.next_task, 1)
        (lost,) = lines_of(model, "run_lost")
        text = cause(job_lines(model.lines, repetition.job), repetition.job)
        return repetition, line, next_start.at, lost, text

    repetition, line, next_start_at, lost, text = run_virtual(play())
    former = repetition.former.entry.worker
    repeating = repetition.repeating.entry.worker
    assert (line["job"], line["step"]) == (repetition.job, "0.1")
    assert (line["held_by"], line["held_run"]) == (repetition.repeated_task, 2)
    assert (line["held_worker"], line["held_status"]) == (repeating, "running")
    assert (line["lost_run"], line["lost_worker"]) == (1, former)
    assert line["lost_worker_state"] == "silent"
    assert line["lost_reason"] == lost["reason"]
    assert line["at"] - line["lost_s"] == pytest.approx(lost["at"], abs=0.1)
    assert line["at"] + line["until"] == pytest.approx(next_start_at, abs=0.5)
    assert (line["tasks"], line["ready"], line["despite_room"]) == (1, None, True)
    # The run had done more than half of its work when its worker was last heard of.
    assert lost["percent"] >= 50
    assert lost["reported"] >= TASK_SECONDS - 5.0
    assert (
        f"repeated_runs {repetition.repeated_task} running at {repeating}, of which "
        f"run 1 was lost at {former} (silent)"
    ) in text


def test_wait_for_a_repetition_tells_that_the_former_worker_has_restarted():
    async def play():
        model = Model(1)
        job_id, former = await lose_run_that_is_done(model)
        (start,) = start_events(model, f"{job_id}.0.0")
        await asyncio.sleep(max(0.0, start.at + TASK_SECONDS + 0.5 - monotonic()))
        for host in model.hosts:
            await host.kill()
        model.fleet.restart(former)
        former.reachable = True
        for host in model.hosts:
            host.start()
        await wait_for_starts(model, f"{job_id}.0.0", 2)
        await asyncio.sleep(LINE_SECONDS)
        (line,) = lines_of(model, "job_waits", reason="repeated_runs")
        return former.entry.worker, line

    former, line = run_virtual(play())
    assert (line["lost_run"], line["lost_worker"]) == (1, former)
    assert line["lost_worker_state"] == "replaced"


def test_end_of_a_lost_run_is_logged_once_when_it_is_reported():
    async def play():
        model = Model(1)
        repetition = await repeat_run_that_is_done(model)
        repetition.former.reachable = True
        assert await model.wait_for_jobs(60.0)
        late = [line for line in model.lines if "late" in line]
        (lost,) = lines_of(model, "run_lost")
        return repetition, late, lost

    repetition, (late,), lost = run_virtual(play())
    assert late["event"] == "run_ended"
    assert (late["task"], late["run"]) == (repetition.repeated_task, 1)
    assert (late["worker"], late["how"]) == (repetition.former.entry.worker, "done")
    assert late["latest_run"] == 2
    assert late["at"] - late["late"] == pytest.approx(lost["at"], abs=0.1)


def test_step_waits_for_no_repetition_that_is_being_stopped():
    async def play():
        model = Model(1)
        repetition = await repeat_run_that_is_done(model)
        repetition.repeating.order_mode = OrderMode.DROPPED
        repetition.former.reachable = True
        await asyncio.sleep(REPORT_SECONDS + LINE_SECONDS)
        assert repetition.repeating.running
        (stop,) = lines_of(model, "run_stopped", task=repetition.repeated_task)
        assert stop["reason"] == "an earlier run is done"
        waits = lines_of(model, "job_waits", step="0.1", reason="repeated_runs")
        return [line for line in waits if line["at"] > stop["at"]]

    assert run_virtual(play()) == []


def test_step_is_logged_only_while_nothing_but_repetitions_runs():
    async def play():
        model = Model(1)
        await model.start(workers=4, rack=4)
        steps = (
            step(1, gpus=8, seconds=TASK_SECONDS),
            step(1, gpus=8, seconds=60.0),
            step(1, gpus=8, after=(0,), seconds=TASK_SECONDS),
        )
        job_id = await model.submit("usual", steps, TASK_SECONDS)
        (start,) = await wait_for_starts(model, f"{job_id}.0.0", 1)
        await wait_for_starts(model, f"{job_id}.0.1", 1)
        model.fleet.workers[start.worker].reachable = False
        await wait_for_starts(model, f"{job_id}.0.0", 2)
        await asyncio.sleep(LINE_SECONDS)
        return lines_of(model, "job_waits", reason="repeated_runs", job_runs=False)

    assert run_virtual(play()) == []
