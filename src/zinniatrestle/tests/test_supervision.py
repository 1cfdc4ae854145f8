"""A supervised task runs again after each failure, in growing and bounded pauses."""

import asyncio
from itertools import pairwise

import pytest
from common.events import EventList

from zinniatrestle.clock import monotonic
from zinniatrestle.errors import LeaseLostError
from zinniatrestle.standins.model import run_virtual
from zinniatrestle.supervision import (
    CALM_SECONDS,
    FIRST_PAUSE_SECONDS,
    LONGEST_PAUSE_SECONDS,
    Backoff,
    Supervisor,
)


class FailingTask:
    """A task that fails, and records when it was started."""

    def __init__(self, error: Exception, seconds: float = 0.0):
        self.error = error
        self.seconds = seconds
        self.started_at: list[float] = []

    async def run(self):
        self.started_at.append(monotonic())
        await asyncio.sleep(self.seconds)
        raise self.error


def keep_running(task: FailingTask, **options) -> tuple[asyncio.Task, EventList]:
    events = EventList()
    running = Supervisor(events).keep_running("name", task.run, **options)
    return asyncio.create_task(running), events


async def end(running: asyncio.Task):
    running.cancel()
    with pytest.raises(asyncio.CancelledError):
        await running


def test_a_task_runs_again_after_each_failure_until_it_is_cancelled():
    async def check():
        task = FailingTask(RuntimeError("not expected"))
        running, events = keep_running(task, part="first")
        await asyncio.sleep(60.0)
        await end(running)
        starts = task.started_at
        pauses = [after - before for before, after in pairwise(starts)]
        assert pauses[0] == pytest.approx(FIRST_PAUSE_SECONDS)
        assert pauses[1] == pytest.approx(2 * FIRST_PAUSE_SECONDS)
        assert max(pauses) == pytest.approx(LONGEST_PAUSE_SECONDS)
        assert len(events.lines) == len(starts)
        line = events.lines[0]
        assert (line["event"], line["task"], line["part"]) == (
            "task_failed",
            "name",
            "first",
        )
        assert line["reason"] == "RuntimeError: not expected"
        assert line["frames"][-1].startswith("run:")

    run_virtual(check())


def test_pauses_are_short_again_after_a_calm_time():
    backoff = Backoff()
    for _ in range(20):
        pause = backoff.pause(0.0)
    assert pause == LONGEST_PAUSE_SECONDS
    assert backoff.pause(CALM_SECONDS) == FIRST_PAUSE_SECONDS


@pytest.mark.parametrize("seconds", [0.0, 5.0])
def test_a_task_can_be_cancelled_while_it_runs_and_in_a_pause(seconds):
    async def check():
        running, _ = keep_running(FailingTask(RuntimeError(), seconds))
        await asyncio.sleep(0.1)
        await end(running)

    run_virtual(check())


def test_a_final_error_ends_a_task():
    async def check():
        task = FailingTask(LeaseLostError("The lease was lost."))
        running, events = keep_running(task, final_errors=(LeaseLostError,))
        with pytest.raises(LeaseLostError):
            await running
        assert (len(task.started_at), events.lines) == (1, [])

    run_virtual(check())


def test_a_task_that_returns_has_ended():
    async def check():
        async def run():
            pass

        await Supervisor(EventList()).keep_running("name", run)

    run_virtual(check())


def test_each_cause_of_a_failed_group_is_logged():
    events = EventList()
    group = ExceptionGroup(
        "", [ValueError("a"), ExceptionGroup("", [KeyError("b"), OSError("c")])]
    )
    Supervisor(events).log_failure("name", group)
    reasons = [line["reason"] for line in events.lines]
    assert reasons == ["ValueError: a", "KeyError: 'b'", "OSError: c"]


def test_a_failure_of_what_follows_a_failure_is_logged_too():
    async def check():
        def fail():
            raise KeyError("after")

        task = FailingTask(RuntimeError("first"))
        running, events = keep_running(task, after_failure=fail)
        await asyncio.sleep(FIRST_PAUSE_SECONDS * 1.5)
        await end(running)
        assert len(task.started_at) == 2
        reasons = [line["reason"] for line in events.lines]
        assert reasons[:2] == ["RuntimeError: first", "KeyError: 'after'"]

    run_virtual(check())
