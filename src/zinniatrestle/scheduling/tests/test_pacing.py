"""Best-effort tasks are throttled before they harm the latency of serving tasks."""

import pytest
from common.scheduling import NOW, first_step, job, run_on, worker

from zinniatrestle.jobs.messages import Step
from zinniatrestle.scheduling.pacing import PaceController


def worker_with_tasks(pace=100):
    shared = worker("w")
    serving_step = first_step(job("1" * 16, Step(long_running=True, target_ms=100)))
    best_effort_step = first_step(job("2" * 16, Step(best_effort=True)))
    serving = run_on(serving_step.tasks[0], shared)
    best_effort = run_on(best_effort_step.tasks[0], shared)
    best_effort.pace = pace
    return shared, serving, best_effort


@pytest.mark.parametrize(
    "tail_ms, pace, expected",
    [(120, 100, 0), (80, 100, 40), (60, 100, None), (20, 40, 60), (20, 100, None)],
)
def test_the_pace_follows_the_worst_tail_latency(tail_ms, pace, expected):
    shared, serving, best_effort = worker_with_tasks(pace)
    paces = PaceController().choose_paces(shared, {serving: tail_ms}, NOW)
    assert paces.get(best_effort) == expected


def test_the_pace_is_raised_at_intervals():
    shared, serving, best_effort = worker_with_tasks(0)
    controller = PaceController()
    best_effort.pace = controller.choose_paces(shared, {serving: 10}, NOW)[best_effort]
    assert controller.choose_paces(shared, {serving: 10}, NOW + 0.5) == {}
    assert (
        controller.choose_paces(shared, {serving: 10}, NOW + 2.0)[best_effort]
        > best_effort.pace
    )
