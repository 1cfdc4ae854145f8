"""The log lines explain why a job failed, given only its id."""

import asyncio

import pytest
from common.odd_input import UNREADABLE

from zinniatrestle.clock import monotonic
from zinniatrestle.errors import NotFoundError
from zinniatrestle.events.explain import (
    cause,
    first_line,
    job_lines,
    read_lines,
    render,
)
from zinniatrestle.jobs import JobState
from zinniatrestle.jobs.intake import JobRequest
from zinniatrestle.serving import RetryLaterError
from zinniatrestle.standins.model import Model, run_virtual, step
from zinniatrestle.standins.rows import Reachability
from zinniatrestle.standins.runs import FaultMode

JOB = "00000000000000aa"


def explain(scenario) -> str:
    async def run():
        model = Model(1, hosts=2)
        await model.start(workers=4, rack=4)
        job = await scenario(model)
        return cause(job_lines(model.lines, job), job)

    return run_virtual(run())


def test_refusal_of_a_job_while_workers_are_free_is_explained():
    async def scenario(model):
        host = model.hosts[0]
        admission = host.frontend.admit("queues.example", "/usual/x", "key-first")
        host.store.reachability = Reachability.REFUSED
        await asyncio.sleep(1.0)
        with pytest.raises(RetryLaterError):
            job_request = JobRequest("{}", (step(),))
            await host.frontend.accept(admission, JOB, job_request, monotonic() + 3.0)
        return JOB

    assert explain(scenario) == "It was refused by host-0: STORE_UNAVAILABLE."


def test_a_cancellation_before_the_acceptance_is_explained():
    async def scenario(model):
        host = model.hosts[1]
        admission = host.frontend.admit("queues.example", "/usual/x", "key-first")
        with pytest.raises(NotFoundError):
            await host.frontend.cancel(admission, JOB, monotonic() + 3.0)
        return JOB

    expected = "It was cancelled at host-1 before any host had accepted it."
    assert explain(scenario) == expected


def test_delay_without_a_leader_is_explained():
    async def scenario(model):
        await model.leader().kill()
        job = await model.submit("urgent", (step(2),), 1.0)
        assert await model.wait_for_jobs(30.0)
        lines = job_lines(model.lines, job)
        assert "lease_taken" in {line["event"] for line in lines}
        return job

    text = explain(scenario)
    assert text.startswith("It ended as completed")
    waited = float(text.split("first run was placed ")[1].split(" s")[0])
    assert waited > 1.0


def test_delay_by_hung_workers_is_explained():
    async def scenario(model):
        for name in ("w0", "w1"):
            model.fleet.workers[name].fault_mode = FaultMode.HANGS
        job = await model.submit("urgent", (step(1),), 1.0)
        assert await model.wait_for_jobs(60.0)
        lines = job_lines(model.lines, job)
        assert "worker_quarantined" in {line["event"] for line in lines}
        return job

    assert "stopped: no progress" in explain(scenario)


def test_job_that_fails_on_every_worker_is_explained():
    async def scenario(model):
        job = await model.submit("urgent", (step(1),), 1.0, failures=9)
        assert await model.wait_for_jobs(60.0)
        assert model.state(job) is JobState.FAILED
        return job

    text = explain(scenario)
    assert "It ended as failed: task" in text
    assert "failed 2 times" in text
    assert text.count("ended failed at") == 2


def test_wait_for_a_gang_member_despite_room_is_explained():
    lines = [
        {"at": 1.0, "host": "h", "event": "job_accepted", "job": JOB},
        {
            "at": 5.0,
            "host": "h",
            "event": "job_waits",
            "job": JOB,
            "reason": "gang_members",
            "since": 3.25,
            "held_by": f"{JOB}.0.0.1",
            "held_status": "stopping",
            "held_worker": "w1",
            "despite_room": True,
            "idle": 0.62,
        },
    ]
    assert (
        f"It waited for: gang_members {JOB}.0.0.1 stopping at w1 (3.2 s). "
        "Up to 62% of the capacity was free then, with room for it twice."
    ) in cause(lines, JOB)


def test_the_unusable_workers_that_a_job_waited_for_are_explained():
    line = {"host": "h", "event": "worker_unusable", "reason": "unknown_runs"}
    of_job = {"host": "h", "job": JOB}
    wait = {"reason": "unusable_workers", "since": 4.0, "despite_room": False}
    lines = [
        {**line, "at": 1.0, "worker": "w1", "reason": "not_ready"},
        {**line, "at": 2.0, "worker": "w1"},
        {**line, "at": 3.0, "worker": "w2"},
        {**of_job, "at": 5.0, "event": "job_accepted"},
        {**line, "at": 6.0, "worker": "w3"},
        {
            **of_job,
            **wait,
            "at": 9.0,
            "event": "job_waits",
            "unusable": {"w1": "cordoned"},
        },
    ]
    selected = job_lines(lines, JOB)
    assert [selected_line["at"] for selected_line in selected] == [2.0, 5.0, 9.0]
    assert first_line(selected, JOB)["at"] == 5.0
    assert "It waited for: unusable_workers w1 cordoned (4.0 s)." in cause(lines, JOB)


def test_unanswered_stops_at_a_worker_of_a_job_are_explained():
    line = {"host": "h", "worker": "w1"}
    unanswered = {**line, "event": "run_unanswered", "task": f"{JOB}.0.0.0"}
    lines = [
        {**line, "at": 1.0, "event": "job_accepted", "job": JOB},
        {**unanswered, "at": 2.0, "order": "start"},
        {**unanswered, "at": 3.0, "order": "stop"},
        {**unanswered, "at": 4.0, "order": "stop", "task": "other.0.0.0"},
        {
            **line,
            "at": 5.0,
            "event": "job_ended",
            "job": JOB,
            "state": "s",
            "reason": "",
        },
    ]
    assert job_lines(lines, JOB) == lines
    assert "no answer from w1 (1), no answer from w1 to a stop (1)." in cause(
        lines, JOB
    )


def test_waits_of_tasks_while_others_of_their_job_run_do_not_count():
    line = {"host": "h", "job": JOB}
    lines = [
        {**line, "at": 1.0, "event": "job_accepted"},
        {
            **line,
            "at": 5.0,
            "event": "job_waits",
            "reason": "capacity",
            "since": 0.0,
            "job_runs": True,
            "despite_room": True,
            "idle": 0.62,
        },
    ]
    assert "It waited for" not in cause(lines, JOB)


def test_wait_for_capacity_is_explained():
    async def scenario(model):
        await model.submit("usual", (step(4, gpus=8),), 20.0)
        await asyncio.sleep(1.0)
        job = await model.submit("usual", (step(1, gpus=8),), 1.0)
        assert await model.wait_for_jobs(90.0)
        return job

    assert "It waited for: capacity (" in explain(scenario)


def test_unknown_job_has_no_lines():
    assert job_lines([], JOB) == []


def test_structured_lines_are_found_behind_a_collectors_prefix():
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


@pytest.mark.parametrize("text", [*UNREADABLE.values(), b'{"event":1,"at":"x"}'])
def test_a_line_that_is_no_event_is_passed_over(text):
    raw_lines = [text.decode("latin-1"), "\udcff{", '{"event":"started","at":1}']
    assert [line["at"] for line in read_lines(raw_lines)] == [1]
