"""Experiments repeat from a seed, and the usual policy beats its baselines."""

import importlib.util

import pytest

from zinniatrestle.deployment import Bounds
from zinniatrestle.errors import CallerError
from zinniatrestle.experiments import (
    Experiment,
    Pattern,
    Size,
    Workload,
    run_experiment,
)
from zinniatrestle.experiments.plots import draw


def results(pattern, policies, seeds=(1,), load=1.0):
    experiment = Experiment((pattern,), seeds, policies, load)
    return run_experiment(experiment)


def test_a_seed_gives_the_same_arrivals_and_results():
    assert Workload(seed=3).arrivals() == Workload(seed=3).arrivals()
    assert Workload(seed=3).arrivals() != Workload(seed=4).arrivals()
    first, second = results(Pattern.CALM, ("usual", "usual"))
    assert first == second


@pytest.mark.parametrize("pattern", list(Pattern))
def test_no_promise_is_broken_under_any_pattern(pattern):
    (result,) = results(pattern, ("usual",))
    assert result.violations == 0
    assert result.jobs > 0


def test_a_burst_of_urgent_work_starts_sooner_than_in_order_of_arrival():
    usual, baseline = results(
        Pattern.URGENT_BURST, ("usual", "first in, first fit"), load=1.6
    )
    assert usual.urgent_on_time > baseline.urgent_on_time


def test_workers_that_fail_waste_less_when_they_are_left_alone():
    usual, without = results(Pattern.FAILING_WORKERS, ("usual", "no quarantine"))
    assert usual.on_time >= without.on_time


def test_lost_work_costs_worth():
    usual, without = results(Pattern.URGENT_BURST, ("usual", "no reclaim"), load=1.3)
    assert usual.lost_work > without.lost_work == 0.0
    assert usual.worth < 1.0


def test_room_made_for_urgent_work_is_timed_and_pieces_are_counted():
    usual, without = results(Pattern.URGENT_BURST, ("usual", "no reclaim"), load=1.3)
    assert 0.0 < usual.reclaim < Bounds().reclaim
    assert without.reclaim == 0.0
    assert 0.0 <= usual.fragmentation <= 1.0


def test_a_picture_is_drawn_or_its_extra_is_asked_for(tmp_path):
    found = results(Pattern.CALM, ("usual",))
    path = tmp_path / "worth.png"
    if importlib.util.find_spec("matplotlib") is None:
        with pytest.raises(CallerError, match="plots"):
            draw(found, path)
        return
    draw(found, path)
    assert path.read_bytes().startswith(b"\x89PNG")


def test_a_large_fleet_has_wider_work_and_more_of_it():
    small, large = Workload(size=Size.SMALL), Workload(size=Size.LARGE)
    assert len(large.arrivals()) > 3 * len(small.arrivals())
    widths = [arrival.steps[0].count for arrival in large.arrivals()]
    assert max(widths) > 60


@pytest.mark.parametrize(
    "experiment",
    [
        Experiment(seeds=()),
        Experiment(load=0.0),
        Experiment(stop=-1.0),
        Experiment(policies=("unheard",)),
    ],
)
def test_an_experiment_that_can_not_run_is_refused(experiment):
    with pytest.raises(CallerError):
        run_experiment(experiment)
