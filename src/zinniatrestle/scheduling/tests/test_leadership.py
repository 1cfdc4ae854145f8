"""One host at a time schedules, and another follows when it is lost."""

import asyncio

import msgspec
import pytest

from zinniatrestle.clock import monotonic
from zinniatrestle.scheduling.leadership import (
    FENCE_FEED_SECONDS,
    FENCE_ROW,
    FENCES,
    LEASE_ROW,
    LEASES,
    MIN_LEASE_SHARE,
    LeadershipStatus,
)
from zinniatrestle.standins.checker import violations
from zinniatrestle.standins.model import FEED_SECONDS, Model, run_virtual, step
from zinniatrestle.standins.rows import Reachability
from zinniatrestle.standins.runs import FaultMode


def with_model(check, hosts=3):
    async def run():
        model = Model(1, hosts=hosts)
        await model.start(workers=4, rack=4)
        await check(model)

    run_virtual(run())


async def successor(model, first) -> float:
    """Return the seconds until another host schedules."""
    since = monotonic()
    while model.leader() in (None, first):
        await asyncio.sleep(0.02)
    return monotonic() - since


def events(model, name, since=0):
    return [line for line in model.lines[since:] if line["event"] == name]


def lease_seconds(model) -> float:
    return model.bounds.lease * MIN_LEASE_SHARE


def test_a_dead_holder_is_followed_within_its_lease():
    async def check(model):
        first = model.leader()
        await first.kill()
        assert await successor(model, first) <= lease_seconds(model) + 0.5

    with_model(check)


def test_a_holder_that_stops_hands_over_without_an_expiry():
    async def check(model):
        first = model.leader()
        first.leadership.released = True
        await first.kill()
        await first.leadership.release()
        assert await successor(model, first) <= 0.2

    with_model(check)


def test_a_hand_over_does_not_fail_for_a_renewal_that_applies_meanwhile():
    async def check(model):
        first = model.leader()
        renewed = msgspec.msgpack.encode(first.leadership.record)
        first.leadership.released = True
        await first.kill()
        model.rows.put(LEASES, LEASE_ROW, renewed)
        await first.leadership.release()
        assert await successor(model, first) <= 0.2

    with_model(check)


def test_a_holder_that_starts_again_takes_its_own_lease_at_once():
    async def check(model):
        first = model.leader()
        generation = first.leadership.generation
        await first.kill()
        first.start()
        await asyncio.sleep(0.5)
        assert model.leader() is first
        assert first.leadership.generation > generation

    with_model(check)


def test_a_holder_cut_off_from_the_store_gives_no_orders_once_it_may_be_replaced():
    async def check(model):
        first = model.leader()
        first.store.reachability = Reachability.SILENT
        await successor(model, first)
        assert first.leadership.status is not LeadershipStatus.HOLDER

    with_model(check)


def test_a_run_taken_over_from_a_predecessor_teaches_no_run_time():
    async def check(model):
        first = model.leader()
        await model.submit("usual", (step(1),), 6.0)
        await asyncio.sleep(1.0)
        await first.kill()
        assert await model.settle(30.0)
        ends = events(model, "run_ended")
        assert [line["seconds"] for line in ends] == [None]

    with_model(check)


def test_a_successor_knows_the_run_times_that_were_learned():
    async def check(model):
        first = model.leader()
        for _ in range(6):
            await model.submit("usual", (step(1, seconds=9.0),), 0.5)
        assert await model.settle(30.0)
        await asyncio.sleep(lease_seconds(model))
        await first.kill()
        await successor(model, first)
        (times,) = model.leader().leadership.handover.times.values()
        assert times.count == 6
        assert times.seconds == pytest.approx(0.5, abs=0.2)

    with_model(check)


def test_a_successor_leaves_alone_the_workers_that_its_predecessor_did():
    async def check(model):
        first = model.leader()
        sick = next(iter(model.fleet.workers.values()))
        sick.fault_mode = FaultMode.FAILS
        await model.submit("usual", (step(8, seconds=0.3),), 0.3)
        while not events(model, "worker_quarantined"):
            await asyncio.sleep(0.02)
        # The next renewal tells of it.
        await asyncio.sleep(lease_seconds(model))
        await first.kill()
        await successor(model, first)
        since = len(model.lines)
        await model.submit("usual", (step(8, seconds=0.3),), 0.3)
        await asyncio.sleep(0.3)
        placed = events(model, "run_placed", since)
        assert placed
        assert sick.entry.worker not in {line["worker"] for line in placed}

    with_model(check)


def test_no_transaction_of_a_former_holder_applies():
    async def check(model):
        first = model.leader()
        fence = first.leadership.fence_expectation()
        first.store.reachability = Reachability.SILENT
        await successor(model, first)
        first.store.reachability = Reachability.SERVED
        result = await first.store.transact([fence], [], 1.0)
        assert not result.applied
        await asyncio.sleep(3.0)
        assert not first.leadership.is_holder

    with_model(check)


def test_a_holder_that_hears_of_a_newer_fence_never_writes_under_it():
    async def check(model):
        first = model.leader()
        generation = first.leadership.generation
        model.rows.put(FENCES, FENCE_ROW, b"another host has taken over")
        await asyncio.sleep(0.01)
        # It may take the lease again, but only under a number and a fence of its own.
        leadership = first.leadership
        assert not leadership.is_holder or leadership.generation > generation
        assert "the fence has moved" in [
            line["reason"] for line in model.lines if line["event"] == "lease_lost"
        ]

    with_model(check)


def test_a_renewal_whose_answer_was_lost_keeps_the_lease():
    async def check(model):
        first = model.leader()
        first.store.lost = 0.5
        await asyncio.sleep(6.0)
        first.store.lost = 0.0
        await asyncio.sleep(1.0)
        holders = [host for host in model.hosts if host.leadership.is_holder]
        assert len(holders) == 1

    with_model(check)


def test_a_slow_store_makes_the_lease_longer_and_costs_no_succession():
    async def check(model):
        first = model.leader()
        generation = first.leadership.generation
        for host in model.hosts:
            host.store.slowness = 60.0
        slow_since = monotonic()
        await asyncio.sleep(12.0)
        assert first.leadership.lease_seconds > lease_seconds(model)
        holders = {host.leadership.generation for host in model.hosts}
        assert max(holders) == generation
        paused = [line for line in model.lines if line["event"] == "decisions_paused"]
        slow = [line["at"] for line in paused if line["at"] > slow_since]
        # Once at most, until the lease is as long as the store needs.
        assert not slow or max(slow) - slow_since < 2.0
        for host in model.hosts:
            host.store.slowness = 1.0
        await asyncio.sleep(8.0)
        assert model.leader().leadership.lease_seconds == lease_seconds(model)

    with_model(check)


def test_followers_read_the_lease_once_in_its_time():
    async def check(model):
        follower = next(host for host in model.hosts if host is not model.leader())
        before = follower.store.calls
        await asyncio.sleep(30.0)
        desired_state = 30.0 / FEED_SECONDS
        calls = follower.store.calls - before - desired_state
        assert calls <= 30.0 / lease_seconds(model) + 30.0 / FENCE_FEED_SECONDS + 2

    with_model(check)


@pytest.mark.parametrize("moment", [0.0, 0.02, 0.03, 0.04, 0.05, 0.1, 0.3, 1.0])
def test_a_job_survives_its_scheduler_at_each_moment(moment):
    async def check(model):
        submitting = asyncio.create_task(
            model.submit("usual", (step(3, gpus=4, gang=True), step(2, after=(0,))), 1)
        )
        await asyncio.sleep(moment)
        first = model.leader()
        await first.kill()
        await submitting
        assert await model.settle(30.0)
        assert violations(model) == []

    with_model(check)
