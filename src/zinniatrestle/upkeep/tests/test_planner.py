"""Tests of the choice of machines to drain and of the tasks to stop on them."""

import pytest
from common.scheduling import NOW, first_step, job, run_on, workers_in_racks

from zinniatrestle.deployment import Bounds
from zinniatrestle.ids import FailureDomainId, MachineId, ServiceName
from zinniatrestle.jobs.messages import Step
from zinniatrestle.machines.messages import (
    Machine,
    MachineState,
)
from zinniatrestle.queues import Wave
from zinniatrestle.scheduling.durations import Durations
from zinniatrestle.scheduling.forecast import Forecast
from zinniatrestle.scheduling.preemption_costs import PreemptionCosts
from zinniatrestle.scheduling.state import TaskStatus
from zinniatrestle.upkeep.planner import drain_timeout, next_machines, tasks_to_stop
from zinniatrestle.upkeep.state import MAX_MISSED_LISTS, WaveProgress

BOUNDS = Bounds(upkeep=2.0)


def listed_machine(machine, state=MachineState.UP):
    return Machine(
        MachineId(machine), ServiceName("s"), state, FailureDomainId("a"), machine
    )


def wave(*machines, max_concurrent=1, duration=60.0):
    return Wave(
        1, tuple(MachineId(name) for name in machines), duration, max_concurrent
    )


def new_progress(*machines, max_concurrent=1, duration=60.0, states=()):
    wave_progress = WaveProgress(
        wave(*machines, max_concurrent=max_concurrent, duration=duration), NOW
    )
    states = dict(states)
    wave_progress.observe(
        [listed_machine(name, states.get(name, MachineState.UP)) for name in machines]
    )
    return wave_progress


def choose_machines(wave_progress, workers=None, now=NOW):
    costs = PreemptionCosts(Forecast(Durations(), now), 2.0)
    return next_machines(wave_progress, workers or {}, costs, BOUNDS, now)


def test_no_more_machines_are_drained_than_may_be_down_at_once():
    wave_progress = new_progress("m1", "m2", "m3", max_concurrent=2)
    assert len(choose_machines(wave_progress)) == 2
    wave_progress.draining["m1"] = NOW
    assert len(choose_machines(wave_progress)) == 1
    wave_progress.begun["m2"] = NOW
    assert choose_machines(wave_progress) == []


@pytest.mark.parametrize("state", [MachineState.UPKEEP, MachineState.MOVING])
def test_a_machine_that_is_down_counts(state):
    wave_progress = new_progress("m1", "m2", states=[("m1", state)])
    assert choose_machines(wave_progress) == []


def test_a_machine_whose_call_got_no_answer_counts_as_down():
    wave_progress = new_progress("m1", "m2")
    wave_progress.uncertain.add("m1")
    assert choose_machines(wave_progress) == []


def test_a_machine_counts_as_down_for_its_whole_maintenance():
    wave_progress = new_progress("m1", "m2")
    wave_progress.begun["m1"] = NOW
    assert choose_machines(wave_progress, now=NOW + BOUNDS.upkeep - 0.1) == []
    assert choose_machines(wave_progress, now=NOW + BOUNDS.upkeep) == ["m2"]


def test_the_machine_with_the_least_to_lose_goes_first():
    busy, idle = workers_in_racks(1, size=2)
    run_on(first_step(job("1" * 16, Step(gpus=8))).tasks[0], busy, NOW - 5)
    wave_progress = new_progress("m1", "m2")
    assert choose_machines(wave_progress, {"m1": busy, "m2": idle}) == ["m2"]


def test_a_machine_missing_from_a_few_lists_still_counts():
    wave_progress = new_progress("m1", "m2")
    for _ in range(MAX_MISSED_LISTS - 1):
        wave_progress.observe([listed_machine("m1")])
    assert wave_progress.remaining() == ["m1", "m2"]
    wave_progress.observe([listed_machine("m1")])
    assert wave_progress.remaining() == ["m1"]


@pytest.mark.parametrize(
    "duration, max_concurrent, least",
    [(20.0, 1, 2.0), (60.0, 1, 15.0), (60.0, 2, 35.0), (3.0, 1, 0.0)],
)
def test_drain_timeout_leaves_time_for_all_machines(duration, max_concurrent, least):
    wave_progress = new_progress(
        "m1", "m2", max_concurrent=max_concurrent, duration=duration
    )
    timeout_seconds = drain_timeout(wave_progress, BOUNDS, NOW)
    assert timeout_seconds >= least
    batches = 2 / max_concurrent
    assert (
        timeout_seconds == 0.0 or batches * (timeout_seconds + BOUNDS.upkeep) < duration
    )


def running(shape, worker, count=1):
    step = first_step(job("2" * 16, shape))
    for task in step.tasks[:count]:
        run_on(task, worker, NOW - 1)
    return step.tasks[:count]


def test_checkpointing_tasks_are_stopped_at_once():
    worker = workers_in_racks(1)[0]
    (saved,) = running(Step(checkpointing=True), worker)
    assert tasks_to_stop(worker, 0.0, 10.0) == [saved]


def test_other_tasks_may_run_until_the_drain_timeout():
    worker = workers_in_racks(1)[0]
    (task,) = running(Step(), worker)
    assert tasks_to_stop(worker, 9.0, 10.0) == []
    assert tasks_to_stop(worker, 10.0, 10.0) == [task]


@pytest.mark.parametrize("max_unavailable, stopped", [(1, 1), (2, 2), (0, 1)])
def test_long_running_tasks_are_stopped_as_their_step_allows(max_unavailable, stopped):
    worker = workers_in_racks(1)[0]
    tasks = running(
        Step(count=3, long_running=True, max_unavailable=max_unavailable), worker, 3
    )
    for task in tasks:
        task.percent = 100
    assert len(tasks_to_stop(worker, 99.0, 10.0)) == stopped


# Guards against a successor that takes tasks for unavailable of which it hasn't heard.
@pytest.mark.parametrize("max_unavailable", [1, 2])
def test_long_running_tasks_that_have_not_been_reported_are_not_stopped(
    max_unavailable,
):
    worker = workers_in_racks(1)[0]
    shape = Step(count=3, long_running=True, max_unavailable=max_unavailable)
    tasks = running(shape, worker, 3)
    for task in tasks:
        task.status, task.inherited = TaskStatus.PLACED, True
    assert tasks_to_stop(worker, 99.0, 10.0) == []
    for task in tasks:
        task.status, task.reported, task.percent = TaskStatus.RUNNING, True, 100
    assert len(tasks_to_stop(worker, 99.0, 10.0)) == max_unavailable


def test_a_long_running_task_that_is_reported_to_start_up_is_stopped():
    worker = workers_in_racks(1)[0]
    (task,) = running(Step(long_running=True, max_unavailable=1), worker)
    task.reported = True
    assert tasks_to_stop(worker, 99.0, 10.0) == [task]


def test_a_long_running_task_stays_while_others_of_its_step_are_unavailable():
    worker = workers_in_racks(1)[0]
    tasks = running(Step(count=3, long_running=True, max_unavailable=1), worker, 2)
    for task in tasks:
        task.percent = 100
    # The third task of the step is not placed yet.
    assert tasks_to_stop(worker, 99.0, 10.0) == []
