"""Experiments are reproducible, and the usual policy beats its baselines."""

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


def test_results_are_reproducible_from_the_seed():
    assert Workload(seed=3).arrivals() == Workload(seed=3).arrivals()
    assert Workload(seed=3).arrivals() != Workload(seed=4).arrivals()
    first, second = results(Pattern.CALM, ("usual", "usual"))
    assert first == second


@pytest.mark.parametrize("pattern", list(Pattern))
def test_no_pattern_violates_an_invariant(pattern):
    (result,) = results(pattern, ("usual",))
    assert result.violations == 0
    assert result.jobs > 0


def test_urgent_burst_is_served_better_than_in_arrival_order():
    usual, baseline = results(
        Pattern.URGENT_BURST, ("usual", "first in, first fit"), load=1.6
    )
    assert usual.urgent_on_time > baseline.urgent_on_time


def test_quarantine_does_not_reduce_the_share_on_time():
    usual, without = results(Pattern.FAILING_WORKERS, ("usual", "no quarantine"))
    assert usual.on_time >= without.on_time


def test_lost_work_reduces_worth():
    usual, without = results(Pattern.URGENT_BURST, ("usual", "no reclaim"), load=1.3)
    assert usual.lost_work > without.lost_work == 0.0
    assert usual.worth < 1.0


def test_reclaim_time_and_fragmentation_are_measured():
    usual, without = results(Pattern.URGENT_BURST, ("usual", "no reclaim"), load=1.3)
    assert 0.0 < usual.reclaim < Bounds().reclaim
    assert without.reclaim == 0.0
    assert 0.0 <= usual.fragmentation <= 1.0


def test_picture_is_drawn_or_the_missing_extra_is_named(tmp_path):
    found = results(Pattern.CALM, ("usual",))
    path = tmp_path / "worth.png"
    if importlib.util.find_spec("matplotlib") is None:
        with pytest.raises(CallerError, match="plots"):
            draw(found, path)
        return
    draw(found, path)
    assert path.read_bytes().startswith(b"\x89PNG")


def test_large_fleet_has_more_and_wider_jobs():
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
        Experiment(policies=("unknown",)),
    ],
)
def test_invalid_experiment_is_rejected(experiment):
    with pytest.raises(CallerError):
        run_experiment(experiment)
