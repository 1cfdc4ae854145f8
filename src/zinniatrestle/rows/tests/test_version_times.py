"""Times before which versions of the store were not written."""

import math

import pytest

from zinniatrestle.ids import BootSeconds, RowVersion
from zinniatrestle.rows.version_times import MAX_ANSWERS, VersionTimes


def times_of(*answers: tuple[float, int]) -> VersionTimes:
    """Return the times after answers, each with its time of sending and its version."""
    times = VersionTimes()
    for sent_at, version in answers:
        times.observe(RowVersion(version), BootSeconds(sent_at))
    return times


@pytest.mark.parametrize(
    "version, expected",
    [(10, -math.inf), (11, 1.0), (14, 1.0), (15, 2.0), (19, 2.0), (20, 3.0)],
)
def test_a_version_was_written_after_the_last_call_that_found_an_older_one(
    version, expected
):
    times = times_of((1.0, 10), (2.0, 14), (3.0, 19))
    assert times.written_after(RowVersion(version)) == expected


# Guards against a version that counts as younger than it is.
@pytest.mark.parametrize("late", [(0.5, 12), (2.0, 8), (2.0, 0)])
def test_answers_that_are_overtaken_stale_or_without_a_version_prove_nothing(late):
    times = times_of((1.0, 10), late)
    assert times.written_after(RowVersion(20)) == 1.0
    assert times.written_after(RowVersion(10)) == -math.inf


def test_the_number_of_kept_answers_is_bounded():
    times = times_of(*((float(second), second + 1) for second in range(1000)))
    assert len(times.answers) == MAX_ANSWERS
    assert times.written_after(RowVersion(1001)) == 999.0
