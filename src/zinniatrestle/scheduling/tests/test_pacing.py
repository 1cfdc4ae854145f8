"""Tasks that fill slow down before those that serve are harmed."""

import pytest
from common.scheduling import NOW, first_step, job, run_on, worker

from zinniatrestle.jobs.messages import Step
from zinniatrestle.scheduling.pacing import PaceController


def scene(pace=100):
    where = worker("w")
    serving = first_step(job("1" * 16, Step(long_running=True, target_ms=100)))
    filling = first_step(job("2" * 16, Step(best_effort=True)))
    serve = run_on(serving.tasks[0], where)
    fill = run_on(filling.tasks[0], where)
    fill.pace = pace
    return where, serve, fill


@pytest.mark.parametrize(
    "tail, pace, expected",
    [(120, 100, 0), (80, 100, 40), (60, 100, None), (20, 40, 60), (20, 100, None)],
)
def test_the_pace_follows_the_worst_tail(tail, pace, expected):
    where, serve, fill = scene(pace)
    paces = PaceController().choose_paces(where, {serve: tail}, NOW)
    assert paces.get(fill) == expected


def test_the_pace_rises_slowly():
    where, serve, fill = scene(0)
    controller = PaceController()
    fill.pace = controller.choose_paces(where, {serve: 10}, NOW)[fill]
    assert controller.choose_paces(where, {serve: 10}, NOW + 0.5) == {}
    assert controller.choose_paces(where, {serve: 10}, NOW + 2.0)[fill] > fill.pace
