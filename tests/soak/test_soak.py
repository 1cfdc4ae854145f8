"""A short seeded soak in CI; more seeds are played by hand with soak.py."""

import pytest

from soak.soak import play

CI_SEEDS = (1,)
# Seeds that once failed, with the cause.
REGRESSIONS: dict[int, str] = {
    129: "a stop cut off requests that waited for a store without answers",
}


@pytest.mark.parametrize("seed", [*CI_SEEDS, *REGRESSIONS])
def test_promises_hold_on_real_processes_under_faults(seed, tmp_path):
    assert play(seed, tmp_path) == []
