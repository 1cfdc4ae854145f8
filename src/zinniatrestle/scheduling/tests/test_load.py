"""Overload of the scheduling host: when it begins and ends, and what is done less."""

import pytest
from common.events import EventList

from zinniatrestle.deployment import Bounds
from zinniatrestle.metrics import Metrics
from zinniatrestle.scheduling.load import LoadMeter, LoadState


def new_meter(max_hold: float = 10.0) -> LoadMeter:
    return LoadMeter(Bounds(max_hold=max_hold), EventList(), Metrics())


def record(meter: LoadMeter, delay: float, seconds: float, began: float = 0.0):
    for sample in range(int(seconds * 10)):
        meter.record_delay(delay, began + sample / 10)


def test_one_late_timer_is_no_overload():
    meter = new_meter()
    meter.record_delay(0.3, 0.0)
    record(meter, 0.0, 1.0)
    assert meter.state is LoadState.NORMAL


def test_a_loop_that_stays_late_is_overload_until_it_keeps_up_again():
    meter = new_meter()
    record(meter, 0.15, 1.0)
    assert meter.state is LoadState.OVERLOADED
    # Hysteresis: a little less delay doesn't end it.
    record(meter, 0.04, 5.0, began=1.0)
    assert meter.state is LoadState.OVERLOADED
    record(meter, 0.0, 2.0, began=6.0)
    assert meter.state is LoadState.NORMAL
    began, ended = meter.events.lines
    assert (began["event"], began["began"]) == ("host_overloaded", True)
    assert ended["began"] is False
    assert ended["seconds"] > 5.0


def test_holds_are_rarer_in_overload():
    meter = new_meter()
    before = meter.hold_wait()
    record(meter, 0.2, 1.0)
    assert meter.hold_wait() > 2 * before


# A hold that is missed has to be repeated before the lease expires.
@pytest.mark.parametrize("max_hold", [1.0, 3.0, 6.0])
def test_holds_never_wait_longer_than_leases_allow(max_hold):
    meter = new_meter(max_hold)
    assert meter.hold_wait() <= max_hold / 4
    record(meter, 0.2, 1.0)
    assert meter.hold_wait() <= max_hold / 4


def test_slow_rounds_leave_most_of_the_time_to_answers():
    meter = new_meter()
    for _ in range(50):
        meter.record_round(0.1)
    assert meter.round_pause() == pytest.approx(0.3, rel=0.05)
    for _ in range(50):
        meter.record_round(5.0)
    # Waiting jobs get their round nevertheless.
    assert meter.round_pause() <= 0.4


def test_fast_rounds_are_not_delayed():
    meter = new_meter()
    for _ in range(50):
        meter.record_round(0.002)
    assert meter.round_pause() < 0.01
