"""The history checker sees each broken promise when it is planted."""

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


def found(history, **outcome):
    async def check():
        model = Model(1, hosts=0)
        model.operator.set_up()
        values = {"accepted": True, **outcome}
        if outcome != {"absent": True}:
            model.jobs[JOB] = JobOutcome(QueueName("urgent"), 0.0, 1.0, **values)
        model.fleet.history = history
        return violations(model)

    return run_virtual(check())


def ended(at, outcome, worker="w1", run=1):
    return [
        event(at, EventKind.END, worker, run, outcome),
        event(at + 0.1, EventKind.ACKNOWLEDGED, worker, run, outcome),
    ]


def test_a_history_without_fault_shows_nothing():
    assert found([start(1), *ended(2, RunOutcome.DONE)]) == []


@pytest.mark.parametrize(
    "rule, history, outcome",
    [
        ("TWICE", [start(1), start(2, "w2", 2)], {}),
        ("TWICE", [start(1), *ended(2, RunOutcome.DONE), start(3, "w2", 2)], {}),
        ("GANG", [start(1), *ended(4, RunOutcome.GANG_INCOMPLETE)], {}),
        ("REFUSED", [start(1)], {"accepted": False, "refused": True}),
        ("UNASKED", [start(9)], {"cancelled_at": 1.0}),
        (
            "BUDGET",
            [
                start(1),
                *ended(2, RunOutcome.FAILED),
                start(3, run=2),
                *ended(4, RunOutcome.FAILED, run=2),
                start(5, run=3),
            ],
            {},
        ),
    ],
)
def test_a_planted_fault_is_found(rule, history, outcome):
    assert any(line.startswith(rule) for line in found(history, **outcome))


def test_a_run_of_a_job_that_nobody_handed_in_is_found():
    assert found([start(1)], absent=True)[0].startswith("UNASKED")


def test_a_worker_that_holds_too_much_is_found():
    async def check():
        model = Model(1, hosts=0)
        worker = model.fleet.add("w1")
        script = TaskScript(steps=(Step(gpus=8),))
        for index in range(2):
            name = f"{JOB}.0.0.{index}"
            worker.running[name] = SimulatedRun(name, 1, script, 0.0)
        seen: list[str] = []
        check_capacity(model.fleet, seen)
        return seen

    assert run_virtual(check())[0].startswith("LIMIT")
