"""The failure of a background task of the scheduler is logged, and its runs go on."""

import asyncio

from zinniatrestle.scheduling.progress_writer import ProgressWriter
from zinniatrestle.standins.model import Model, run_virtual, step


def fail(writer, jobs):
    failed = asyncio.get_running_loop().create_future()
    failed.set_exception(KeyError("unexpected"))
    return failed


def failures_while_saving(monkeypatch, seconds: float):
    """Return the logged failures if saving fails from `seconds` after a submission."""

    async def play():
        model = Model(1)
        await model.start(workers=1, rack=1)
        await model.submit("usual", (step(1),), 2.0)
        await asyncio.sleep(seconds)
        monkeypatch.setattr(ProgressWriter, "request", fail)
        await asyncio.sleep(4.0)
        return [line for line in model.lines if line["event"] == "task_failed"]

    return run_virtual(play())


def test_the_failure_of_a_start_task_is_logged(monkeypatch):
    lines = failures_while_saving(monkeypatch, 0.0)
    assert lines[0]["task"] == "start"
    assert "KeyError" in lines[0]["reason"]


def test_the_failure_of_a_save_task_is_logged(monkeypatch):
    lines = failures_while_saving(monkeypatch, 1.0)
    assert lines[0]["task"] == "save"
    assert lines[0]["worker"] == "w0"


# Guards against tasks that stay assigned after the task that was to start them failed.
def test_a_task_whose_start_task_failed_is_placed_again(monkeypatch):
    async def play():
        model = Model(1)
        await model.start(workers=2, rack=2)
        with monkeypatch.context() as patch:
            patch.setattr(ProgressWriter, "request", fail)
            await model.submit("usual", (step(1),), 2.0)
            await asyncio.sleep(0.5)
        return await model.wait_for_jobs(model.bounds.finish)

    assert run_virtual(play())
