"""Workers that answer but get no tasks are logged, with the condition that fails."""

import pytest
from common.events import EventList
from common.scheduling import NOW, worker

from zinniatrestle.scheduling.unusable import (
    LOGGED_UNUSABLE_SECONDS,
    NO_REPORT_SECONDS,
    UnusableReason,
    UnusableWorkers,
    unusable_reason,
)
from zinniatrestle.workers.messages import WorkerState


def answering_worker(**overrides):
    created = worker("w", **overrides)
    created.reported_at = NOW
    return created


@pytest.mark.parametrize(
    ("attribute", "value", "reason"),
    [
        ("generation_confirmed", False, UnusableReason.NOT_CONFIRMED),
        ("cordoned", True, UnusableReason.CORDONED),
        ("expiry_recorded", True, UnusableReason.EXPIRY_RECORDED),
        ("missing_since", NOW, UnusableReason.ENTRY_MISSING),
        ("unknown_runs", {"t"}, UnusableReason.UNKNOWN_RUNS),
    ],
)
def test_the_condition_that_fails_is_named(attribute, value, reason):
    created = answering_worker()
    assert created.usable()
    assert unusable_reason(created, NOW) is None
    setattr(created, attribute, value)
    assert not created.usable()
    assert unusable_reason(created, NOW) is reason


def test_a_draining_worker_is_not_ready():
    created = answering_worker(state=WorkerState.DRAINING)
    assert unusable_reason(created, NOW) is UnusableReason.NOT_READY


def test_a_worker_without_reports_that_is_not_silent_has_no_session():
    created = answering_worker()
    later = NOW + NO_REPORT_SECONDS + 1.0
    assert unusable_reason(created, later) is UnusableReason.NO_REPORT
    created.silent = True
    assert unusable_reason(created, later) is None


def test_a_silent_worker_has_another_line_than_one_that_is_unusable():
    events = EventList()
    watch = UnusableWorkers(events)
    created = answering_worker()
    created.silent = created.cordoned = True
    for seconds in range(10):
        watch.check([created], NOW + seconds)
    assert events.lines == []


def test_a_worker_is_logged_once_for_as_long_as_it_is_unusable():
    events = EventList()
    watch = UnusableWorkers(events)
    created = answering_worker()
    created.unknown_runs.add("t")
    watch.check([created], NOW)
    assert events.lines == []
    for seconds in range(1, 10):
        created.reported_at = NOW + seconds
        watch.check([created], NOW + seconds)
    (line,) = events.lines
    assert line["reason"] == "unknown_runs"
    assert line["since"] >= LOGGED_UNUSABLE_SECONDS
    assert line["unknown_runs"] == ["t"]
