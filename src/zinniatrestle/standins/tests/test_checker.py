"""The history checker reports each kind of violation, and none without one."""

import pytest

from zinniatrestle.ids import QueueName
from zinniatrestle.jobs.messages import Step
from zinniatrestle.standins.checker import check_capacity, violations
from zinniatrestle.standins.model import JobOutcome, Model, run_virtual
from zinniatrestle.standins.runs import (
    EventKind,
    SimulatedRun,
    TaskScript,
    WorkerEvent,
)
from zinniatrestle.workers.messages import RunOutcome

JOB = "00000000000000aa"
TASK = f"{JOB}.0.0.0"


def event(at, kind, worker="w1", run=1, outcome=None):
    return WorkerEvent(at, kind, worker, TASK, run, outcome)


def start(at, worker="w1", run=1):
    return event(at, EventKind.START, worker, run)


def check_history(history, **outcome):
    async def check():
        model = Model(1, hosts=0)
        model.operator.set_up()
        values = {"accepted": True, **outcome}
        if outcome != {"absent": True}:
            model.jobs[JOB] = JobOutcome(QueueName("urgent"), 0.0, 1.0, **values)
        model.fleet.history = history
        return violations(model)

    return run_virtual(check())


def end_acknowledged(at, outcome, worker="w1", run=1):
    return [
        event(at, EventKind.END, worker, run, outcome),
        event(at + 0.1, EventKind.ACKNOWLEDGED, worker, run, outcome),
    ]


def test_valid_history_has_no_violations():
    assert check_history([start(1), *end_acknowledged(2, RunOutcome.DONE)]) == []


@pytest.mark.parametrize(
    "rule, history, outcome",
    [
        ("TWICE", [start(1), start(2, "w2", 2)], {}),
        (
            "TWICE",
            [start(1), *end_acknowledged(2, RunOutcome.DONE), start(3, "w2", 2)],
            {},
        ),
        ("GANG", [start(1), *end_acknowledged(4, RunOutcome.GANG_INCOMPLETE)], {}),
        ("REFUSED", [start(1)], {"accepted": False, "refused": True}),
        ("UNASKED", [start(9)], {"cancelled_at": 1.0}),
        (
            "BUDGET",
            [
                start(1),
                *end_acknowledged(2, RunOutcome.FAILED),
                start(3, run=2),
                *end_acknowledged(4, RunOutcome.FAILED, run=2),
                start(5, run=3),
            ],
            {},
        ),
    ],
)
def test_violation_is_reported(rule, history, outcome):
    assert any(line.startswith(rule) for line in check_history(history, **outcome))


def test_run_of_unsubmitted_job_is_reported():
    assert check_history([start(1)], absent=True)[0].startswith("UNASKED")


def test_worker_beyond_capacity_is_reported():
    async def check():
        model = Model(1, hosts=0)
        worker = model.fleet.add("w1")
        script = TaskScript(steps=(Step(gpus=8),))
        for index in range(2):
            name = f"{JOB}.0.0.{index}"
            worker.running[name] = SimulatedRun(name, 1, script, 0.0)
        lines: list[str] = []
        check_capacity(model.fleet, lines)
        return lines

    assert run_virtual(check())[0].startswith("LIMIT")
