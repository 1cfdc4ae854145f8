"""Forecasts of urgent jobs: steady and bursty arrivals, their end, and a succession."""

import random

import msgspec
import pytest
from common.scheduling import NOW

from zinniatrestle.ids import ClientAccountId, QueueName
from zinniatrestle.jobs.messages import Step
from zinniatrestle.scheduling.arrivals import (
    MAX_EXPORTED_BYTES,
    MAX_PAIRS,
    MAX_SHAPES,
    MIN_INTERVALS,
    ArrivalForecast,
    ArrivalPair,
)
from zinniatrestle.scheduling.messages import ArrivalRecord, Handover

PAIR = ArrivalPair(ClientAccountId("account"), QueueName("urgent"))
GANG = Step(count=5, cpu=15_000, memory_mb=22_000, gpus=8, gang=True)
HORIZON = 1.5
# Arrivals that are independent of each other.
ARRIVALS = 200


def accounts(count):
    return [
        ArrivalPair(ClientAccountId(f"account-{number:03}"), PAIR.queue)
        for number in range(count)
    ]


def steady(forecast, pair=PAIR, interval=1.0, count=20, until=NOW):
    for number in range(count):
        forecast.learn(pair, until - interval * (count - 1 - number), [GANG])
    return forecast


def tasks(forecast, now=NOW, seconds=HORIZON):
    return sum(expected.tasks for expected in forecast.expected(now, seconds))


# Guards against capacity that is held for less, or much more, than what arrives.
def test_steady_arrivals_are_expected_at_their_rate():
    forecast = steady(ArrivalForecast(), interval=0.5)
    assert tasks(forecast) == pytest.approx(5 * HORIZON / 0.5)
    assert tasks(forecast, seconds=2 * HORIZON) == pytest.approx(10 * HORIZON / 0.5)


def test_independent_arrivals_are_expected_with_a_margin():
    rng = random.Random(1)
    forecast = ArrivalForecast()
    at = NOW
    for _ in range(ARRIVALS):
        at += rng.expovariate(3.0)
        forecast.learn(PAIR, at, [GANG])
    jobs = tasks(forecast, at) / 5
    # The mean is 4.5 and its standard deviation 2.1; both are estimated.
    assert 4.5 < jobs < 9.0


# Guards against a burst, which multiplies the load, that finds no room held for it.
def test_a_burst_raises_the_forecast_within_a_few_jobs():
    forecast = steady(ArrivalForecast(), interval=2.0)
    before = tasks(forecast)
    for number in range(8):
        forecast.learn(PAIR, NOW + 0.5 * number, [GANG])
    assert tasks(forecast, NOW + 4.0) > 1.5 * before


# Guards against capacity that stays idle after the urgent load has ended.
def test_nothing_is_expected_once_arrivals_have_ceased():
    forecast = steady(ArrivalForecast(), interval=0.5)
    assert tasks(forecast, NOW + 2.0) > 0
    assert tasks(forecast, NOW + 3.0) == 0


def test_the_first_jobs_of_an_account_cause_no_forecast():
    forecast = steady(ArrivalForecast(), count=MIN_INTERVALS)
    assert tasks(forecast) == 0


def test_shapes_are_expected_in_proportion_to_their_arrivals():
    forecast = ArrivalForecast()
    for number in range(40):
        gpus = 8 if number % 4 else 2
        shape = Step(count=5, cpu=1000, memory_mb=2000, gpus=gpus, gang=True)
        forecast.learn(PAIR, NOW - 40 + number, [shape])
    by_gpus = {found.gpus: found for found in forecast.expected(NOW, HORIZON)}
    assert set(by_gpus) == {2, 8}
    assert 2 < by_gpus[8].tasks / by_gpus[2].tasks < 4.5
    assert (by_gpus[8].cpu, by_gpus[8].memory_mb) == (1000, 2000)


# Guards against state that grows with the number of accounts or of task shapes.
def test_the_state_is_bounded():
    forecast = ArrivalForecast()
    pairs = accounts(MAX_PAIRS + 10)
    for number, pair in enumerate(pairs):
        for gpus in range(MAX_SHAPES + 3):
            at = NOW + number + gpus / 10
            forecast.learn(pair, at, [Step(count=5, gpus=gpus, cpu=gpus)])
    assert set(forecast.pairs) == set(pairs[10:])
    for statistics in forecast.pairs.values():
        assert len(statistics.shapes) == MAX_SHAPES


# Guards against a lease that can't be renewed as its row is too large for the store.
@pytest.mark.parametrize("name_bytes", [8, 200])
def test_the_handover_is_bounded_whatever_the_length_of_names(name_bytes):
    forecast = ArrivalForecast()
    for number, pair in enumerate(accounts(MAX_PAIRS)):
        long_pair = ArrivalPair(
            pair.account.ljust(name_bytes, "x"), pair.queue.ljust(name_bytes, "x")
        )
        for gpus in range(MAX_SHAPES):
            at = NOW + number + gpus / 10
            forecast.learn(long_pair, at, [Step(count=5, gpus=gpus, cpu=50_000)])
    exported = forecast.export(NOW)
    assert exported
    record = msgspec.msgpack.encode(Handover(arrivals=exported))
    assert len(record) < MAX_EXPORTED_BYTES + 200
    assert max(record.silent_seconds for record in exported) <= MAX_PAIRS


# Guards against a successor that starts without a forecast.
def test_a_forecast_is_handed_over_to_a_successor():
    forecast = steady(ArrivalForecast(), interval=0.7)
    row = msgspec.msgpack.encode(Handover(arrivals=forecast.export(NOW + 0.2)))
    handover = msgspec.msgpack.decode(row, type=Handover)
    successor = ArrivalForecast()
    # The boot clock of another host has another origin.
    successor.restore(handover.arrivals, 50.0)
    assert tasks(successor, 50.0) == pytest.approx(tasks(forecast, NOW + 0.2), rel=0.01)
    assert tasks(successor, 60.0) == 0


# Guards against jobs that the predecessor has counted and the successor counts again.
def test_jobs_from_before_a_succession_are_not_counted_again():
    successor = ArrivalForecast()
    successor.restore(steady(ArrivalForecast()).export(NOW), NOW)
    before = tasks(successor)
    for number in range(50):
        successor.learn(PAIR, NOW - number / 10, [GANG])
    assert tasks(successor) == before


class EarlierHandover(msgspec.Struct, frozen=True):
    """The handover as versions without a forecast write it."""

    times: dict = {}


# Guards against a lease that can't be read during an upgrade, in either direction.
def test_a_lease_row_without_a_forecast_is_read():
    row = msgspec.msgpack.encode(EarlierHandover())
    handover = msgspec.msgpack.decode(row, type=Handover)
    assert handover.arrivals == ()
    assert not handover.headroom_active
    later = msgspec.msgpack.encode(
        Handover(arrivals=steady(ArrivalForecast()).export(NOW))
    )
    assert msgspec.msgpack.decode(later, type=EarlierHandover) == EarlierHandover()


# Guards against rounds that fail again and again because of a damaged record.
@pytest.mark.parametrize("damaged", [float("nan"), float("inf"), -1.0, 1e300])
def test_a_damaged_record_is_left_out(damaged):
    (record,) = steady(ArrivalForecast()).export(NOW)
    sound = ArrivalRecord("b", *msgspec.structs.astuple(record)[1:])
    successor = ArrivalForecast()
    for name in ("interval", "squared_interval", "silent_seconds"):
        broken = msgspec.structs.replace(record, **{name: damaged})
        successor.restore([broken, sound], NOW)
        assert list(successor.pairs) == [ArrivalPair("b", record.queue)]
