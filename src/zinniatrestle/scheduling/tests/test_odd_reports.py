"""What a worker reports is odd in part: the rest counts, and nothing waits for ever."""

import asyncio
from collections.abc import Callable
from unittest import mock

import msgspec
import pytest

from zinniatrestle.ids import RunNumber, TaskId
from zinniatrestle.jobs.messages import split_task_id
from zinniatrestle.standins.host_orders import HostOrders
from zinniatrestle.standins.model import Model, run_virtual, step
from zinniatrestle.workers.messages import (
    EndedRun,
    HoldAnswer,
    MalformedAnswerError,
    RunningTask,
    RunOutcome,
)

ODD_NAMES = [
    "",
    "odd",
    "...",
    "a.b.c.d",
    "00000000000000aa.0.0",
    "00000000000000aa.0.0.0.0",
    "00000000000000aa.0.0.-1",
    "00000000000000aa.0.0.\u00b2",
    "00000000000000aa.0.0." + "9" * 5000,
]
ALIASES = ["{}.0.0.00", "{}.0.0.+0", "{}.0.0.0 ", "{}.00.0.0", "{}.0.0.\u0660"]


@pytest.mark.parametrize("name", ODD_NAMES + [alias.format("j") for alias in ALIASES])
def test_a_name_that_is_no_task_has_no_parts(name):
    assert split_task_id(TaskId(name)) is None


def test_the_name_of_a_task_has_parts():
    assert split_task_id(TaskId("j.12.0.345")) == ("j", "12.0", 345)


def changed_answers(change: Callable[[HoldAnswer], HoldAnswer]):
    """Change all answers of workers to holds."""
    send_hold = HostOrders.hold

    async def hold(self, *args):
        return change(await send_hold(self, *args))

    return mock.patch.object(HostOrders, "hold", hold)


async def play(change: Callable[[HoldAnswer], HoldAnswer], seconds=1.0) -> Model:
    model = Model(1)
    with changed_answers(change):
        await model.start(workers=2, rack=2)
        await model.submit("usual", (step(2, gpus=8),), seconds)
        assert await model.wait_for_jobs(30.0)
    return model


# Guards against a report of which no part counts, since one task has an odd name.
@pytest.mark.parametrize("name", ODD_NAMES)
def test_ends_count_beside_a_task_with_an_odd_name(name):
    def change(answer):
        if not answer.ended:
            return answer
        odd_end = EndedRun(
            answer.last_end, TaskId(name), RunNumber(1), RunOutcome.DONE, ""
        )
        return msgspec.structs.replace(answer, ended=(odd_end, *answer.ended))

    model = run_virtual(play(change))
    assert not [line for line in model.lines if line["event"] == "task_failed"]


def test_a_worker_that_runs_a_task_with_an_odd_name_gets_no_tasks():
    runs = (RunningTask(TaskId("odd.name"), RunNumber(1), "", 0.0),)

    async def check():
        model = Model(1)
        odd_instance = None

        def change(answer):
            if answer.instance != odd_instance:
                return answer
            return msgspec.structs.replace(answer, running=answer.running + runs)

        with changed_answers(change):
            await model.start(workers=2, rack=2)
            odd, _ = model.fleet.workers.values()
            odd_instance = odd.entry.instance
            await asyncio.sleep(2.0)
            await model.submit("usual", (step(1, gpus=8),), 1.0)
            await model.submit("usual", (step(1, gpus=8),), 1.0)
            assert await model.wait_for_jobs(30.0)
        starts = [line for line in model.lines if line["event"] == "run_placed"]
        assert {line["worker"] for line in starts} != {odd.entry.worker}
        assert odd.entry.worker not in {line["worker"] for line in starts}
        assert not [line for line in model.lines if line["event"] == "task_failed"]

    run_virtual(check())


# Guards against a worker that lists an end for ever and waits for nothing any more.
def test_an_end_that_cannot_be_read_is_acknowledged_and_logged_once():
    acknowledged = []
    send_hold = HostOrders.hold

    async def hold(self, worker, generation, acknowledgement, *args):
        answer = await send_hold(self, worker, generation, acknowledgement, *args)
        acknowledged.append(answer.acknowledged_end)
        if answer.acknowledged_end >= 7:
            return answer
        return msgspec.structs.replace(
            answer, unreadable_ends=(7,), damage="The end 7 can't be read."
        )

    async def check():
        model = Model(1)
        with mock.patch.object(HostOrders, "hold", hold):
            await model.start(workers=1, rack=1)
            await asyncio.sleep(5.0)
        lines = [line for line in model.lines if line["event"] == "input_rejected"]
        assert [line["reason"] for line in lines] == ["The end 7 can't be read."]
        assert max(acknowledged) == 7

    run_virtual(check())


def test_a_run_with_an_unknown_outcome_is_repeated():
    unknown = []

    def change(answer):
        ended = list(answer.ended)
        for number, end in enumerate(ended):
            if end.outcome is RunOutcome.DONE and end.run == 1:
                unknown.append(end.task)
                ended[number] = msgspec.structs.replace(end, outcome=RunOutcome.UNKNOWN)
        return msgspec.structs.replace(answer, ended=tuple(ended))

    model = run_virtual(play(change))
    repeated = [
        line["task"]
        for line in model.lines
        if line["event"] == "run_placed" and line["run"] == 2
    ]
    assert set(repeated) == set(unknown)
    assert len(repeated) == 2


# Guards against holds that follow each other without a pause.
def test_a_worker_that_never_waits_is_not_called_in_a_loop():
    async def check():
        model = Model(1)
        calls = []
        send_hold = HostOrders.hold

        async def hold(self, worker, generation, end, deadline, wait, timeout):
            calls.append(wait)
            return await send_hold(
                self, worker, generation, end, deadline, 0.0, timeout
            )

        with mock.patch.object(HostOrders, "hold", hold):
            await model.start(workers=1, rack=1)
            calls.clear()
            await asyncio.sleep(10.0)
        assert 5 <= len(calls) <= 50

    run_virtual(check())


def test_an_answer_that_cannot_be_read_is_logged_once_and_its_runs_go_elsewhere():
    async def check():
        model = Model(1)
        await model.start(workers=2, rack=2)
        await model.submit("usual", (step(1, gpus=8),), 20.0)
        await asyncio.sleep(1.0)
        (placed,) = (line for line in model.lines if line["event"] == "run_placed")
        send_hold = HostOrders.hold

        async def hold(self, worker, *args):
            answer = await send_hold(self, worker, *args)
            if worker.worker == placed["worker"]:
                raise MalformedAnswerError("It can't be decoded.")
            return answer

        with mock.patch.object(HostOrders, "hold", hold):
            assert await model.wait_for_jobs(60.0)
        lines = [line for line in model.lines if line["event"] == "input_rejected"]
        assert [line["name"] for line in lines] == [placed["worker"]]

    run_virtual(check())
