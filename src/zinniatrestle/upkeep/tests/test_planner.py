"""Which machine is emptied next, and what is stopped on it."""

import pytest
from common.scheduling import NOW, first_step, job, run_on, workers_in_racks

from zinniatrestle.deployment import Bounds
from zinniatrestle.ids import FailureDomainId, MachineId, ServiceName
from zinniatrestle.jobs.messages import Step
from zinniatrestle.queues import Wave
from zinniatrestle.scheduling.durations import Durations
from zinniatrestle.scheduling.forecast import Forecast
from zinniatrestle.scheduling.preemption_costs import PreemptionCosts
from zinniatrestle.upkeep.messages import Machine, MachineState
from zinniatrestle.upkeep.planner import emptying_timeout, next_machines, tasks_to_stop
from zinniatrestle.upkeep.state import MAX_MISSED_LISTS, WaveProgress

BOUNDS = Bounds(upkeep=2.0)


def listed(machine, state=MachineState.UP):
    return Machine(
        MachineId(machine), ServiceName("s"), state, FailureDomainId("a"), machine
    )


def wave(*machines, max_concurrent=1, duration=60.0):
    return Wave(
        1, tuple(MachineId(name) for name in machines), duration, max_concurrent
    )


def progress(*machines, max_concurrent=1, duration=60.0, states=()):
    made = WaveProgress(
        wave(*machines, max_concurrent=max_concurrent, duration=duration), NOW
    )
    states = dict(states)
    made.observe([listed(name, states.get(name, MachineState.UP)) for name in machines])
    return made


def chosen(made, workers=None, now=NOW):
    costs = PreemptionCosts(Forecast(Durations(), now), 2.0)
    return next_machines(made, workers or {}, costs, BOUNDS, now)


def test_no_more_machines_are_taken_than_may_be_down_at_once():
    made = progress("m1", "m2", "m3", max_concurrent=2)
    assert len(chosen(made)) == 2
    made.emptying["m1"] = NOW
    assert len(chosen(made)) == 1
    made.begun["m2"] = NOW
    assert chosen(made) == []


@pytest.mark.parametrize("state", [MachineState.UPKEEP, MachineState.MOVING])
def test_a_machine_that_is_down_counts(state):
    made = progress("m1", "m2", states=[("m1", state)])
    assert chosen(made) == []


def test_a_machine_whose_call_got_no_answer_counts_as_down():
    made = progress("m1", "m2")
    made.uncertain.add("m1")
    assert chosen(made) == []


def test_a_machine_counts_as_down_for_the_whole_upkeep():
    made = progress("m1", "m2")
    made.begun["m1"] = NOW
    assert chosen(made, now=NOW + BOUNDS.upkeep - 0.1) == []
    assert chosen(made, now=NOW + BOUNDS.upkeep) == ["m2"]


def test_the_machine_with_the_least_to_lose_goes_first():
    busy, idle = workers_in_racks(1, size=2)
    run_on(first_step(job("1" * 16, Step(gpus=8))).tasks[0], busy, NOW - 5)
    made = progress("m1", "m2")
    assert chosen(made, {"m1": busy, "m2": idle}) == ["m2"]


def test_a_machine_that_one_list_does_not_name_still_counts():
    made = progress("m1", "m2")
    for _ in range(MAX_MISSED_LISTS - 1):
        made.observe([listed("m1")])
    assert made.left() == ["m1", "m2"]
    made.observe([listed("m1")])
    assert made.left() == ["m1"]


@pytest.mark.parametrize(
    "duration, max_concurrent, least",
    [(20.0, 1, 2.0), (60.0, 1, 15.0), (60.0, 2, 35.0), (3.0, 1, 0.0)],
)
def test_patience_leaves_time_for_all_machines(duration, max_concurrent, least):
    made = progress("m1", "m2", max_concurrent=max_concurrent, duration=duration)
    found = emptying_timeout(made, BOUNDS, NOW)
    assert found >= least
    batches = 2 / max_concurrent
    assert found == 0.0 or batches * (found + BOUNDS.upkeep) < duration


def running(shape, where, count=1):
    step = first_step(job("2" * 16, shape))
    for task in step.tasks[:count]:
        run_on(task, where, NOW - 1)
    return step.tasks[:count]


def test_work_that_saves_its_progress_moves_at_once():
    where = workers_in_racks(1)[0]
    (saved,) = running(Step(checkpointing=True), where)
    assert tasks_to_stop(where, 0.0, 10.0) == [saved]


def test_other_work_may_end_while_there_is_time():
    where = workers_in_racks(1)[0]
    (task,) = running(Step(), where)
    assert tasks_to_stop(where, 9.0, 10.0) == []
    assert tasks_to_stop(where, 10.0, 10.0) == [task]


@pytest.mark.parametrize("max_unavailable, stopped", [(1, 1), (2, 2), (0, 1)])
def test_tasks_that_last_move_as_their_step_allows(max_unavailable, stopped):
    where = workers_in_racks(1)[0]
    tasks = running(
        Step(count=3, long_running=True, max_unavailable=max_unavailable), where, 3
    )
    for task in tasks:
        task.percent = 100
    assert len(tasks_to_stop(where, 99.0, 10.0)) == stopped


def test_a_task_that_lasts_waits_while_others_of_its_step_are_away():
    where = workers_in_racks(1)[0]
    tasks = running(Step(count=3, long_running=True, max_unavailable=1), where, 2)
    for task in tasks:
        task.percent = 100
    # The third has no place yet.
    assert tasks_to_stop(where, 99.0, 10.0) == []
