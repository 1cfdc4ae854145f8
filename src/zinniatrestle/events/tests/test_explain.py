"""From a job's id alone, the lines tell why it failed."""

import asyncio

import pytest

from zinniatrestle.clock import monotonic
from zinniatrestle.events.explain import cause, job_lines, read_lines, render
from zinniatrestle.jobs import JobState
from zinniatrestle.jobs.intake import JobRequest
from zinniatrestle.serving import RetryLaterError
from zinniatrestle.standins.model import Model, run_virtual, step
from zinniatrestle.standins.rows import Reachability
from zinniatrestle.standins.runs import FaultMode

JOB = "00000000000000aa"


def explained(play) -> str:
    async def run():
        model = Model(1, hosts=2)
        await model.start(workers=4, rack=4)
        job = await play(model)
        return cause(job_lines(model.lines, job), job)

    return run_virtual(run())


def test_a_job_refused_though_workers_were_free():
    async def play(model):
        host = model.hosts[0]
        admission = host.frontend.admit("queues.example", "/usual/x", "key-first")
        host.store.reachability = Reachability.REFUSED
        await asyncio.sleep(1.0)
        with pytest.raises(RetryLaterError):
            plan = JobRequest("{}", (step(),))
            await host.frontend.accept(admission, JOB, plan, monotonic() + 3.0)
        return JOB

    assert explained(play) == "It was refused by host-0: STORE_UNAVAILABLE."


def test_a_job_accepted_and_late_since_nobody_scheduled():
    async def play(model):
        await model.leader().kill()
        job = await model.submit("urgent", (step(2),), 1.0)
        assert await model.wait_for_jobs(30.0)
        lines = job_lines(model.lines, job)
        assert "lease_taken" in {line["event"] for line in lines}
        return job

    text = explained(play)
    assert text.startswith("It ended as completed")
    waited = float(text.split("first run was placed ")[1].split(" s")[0])
    assert waited > 1.0


def test_a_job_late_since_a_worker_hung():
    async def play(model):
        for name in ("w0", "w1"):
            model.fleet.workers[name].fault_mode = FaultMode.HANGS
        job = await model.submit("urgent", (step(1),), 1.0)
        assert await model.wait_for_jobs(60.0)
        lines = job_lines(model.lines, job)
        assert "worker_quarantined" in {line["event"] for line in lines}
        return job

    assert "stopped: no progress" in explained(play)


def test_a_job_shown_as_failed_whose_work_fails_everywhere():
    async def play(model):
        job = await model.submit("urgent", (step(1),), 1.0, failures=9)
        assert await model.wait_for_jobs(60.0)
        assert model.state(job) is JobState.FAILED
        return job

    text = explained(play)
    assert "It ended as failed: task" in text
    assert "failed 2 times" in text
    assert text.count("ended failed at") == 2


def test_a_job_that_no_line_is_about_has_no_trail():
    assert job_lines([], JOB) == []


def test_lines_are_found_behind_what_a_collector_puts_before_them():
    texts = [
        '  1.25 host-1 {"at":5.0,"host":"host-1","event":"job_accepted","job":"a"}',
        "Traceback (most recent call last):",
        '{"not":"ours"}',
        "{broken",
    ]
    (line,) = read_lines(texts)
    assert line["job"] == "a"
    assert "job_accepted" in render(line, 4.0)
    assert "+1.000" in render(line, 4.0)
