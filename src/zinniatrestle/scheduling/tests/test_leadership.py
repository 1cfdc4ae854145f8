"""Leader election: one host schedules at a time, and a successor replaces it."""

import asyncio
from unittest import mock

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
from zinniatrestle.scheduling.scheduler import Scheduler
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


async def seconds_until_successor(model, first_holder) -> float:
    """Wait for another host to lead and return the seconds that it took."""
    since = monotonic()
    while model.leader() in (None, first_holder):
        await asyncio.sleep(0.02)
    return monotonic() - since


def events(model, name, since=0):
    return [line for line in model.lines[since:] if line["event"] == name]


def min_lease_seconds(model) -> float:
    return model.bounds.lease * MIN_LEASE_SHARE


def test_a_dead_holder_is_replaced_within_its_lease():
    async def check(model):
        first_holder = model.leader()
        await first_holder.kill()
        assert (
            await seconds_until_successor(model, first_holder)
            <= min_lease_seconds(model) + 0.5
        )

    with_model(check)


def test_a_stopping_holder_is_replaced_before_its_lease_expires():
    async def check(model):
        first_holder = model.leader()
        first_holder.leadership.released = True
        await first_holder.kill()
        await first_holder.leadership.release()
        assert await seconds_until_successor(model, first_holder) <= 0.2

    with_model(check)


def test_a_release_succeeds_despite_a_concurrent_renewal():
    async def check(model):
        first_holder = model.leader()
        renewed = msgspec.msgpack.encode(first_holder.leadership.record)
        first_holder.leadership.released = True
        await first_holder.kill()
        model.rows.put(LEASES, LEASE_ROW, renewed)
        await first_holder.leadership.release()
        assert await seconds_until_successor(model, first_holder) <= 0.2

    with_model(check)


def test_a_restarted_holder_reacquires_its_lease_at_once():
    async def check(model):
        first_holder = model.leader()
        generation = first_holder.leadership.generation
        await first_holder.kill()
        first_holder.start()
        await asyncio.sleep(0.5)
        assert model.leader() is first_holder
        assert first_holder.leadership.generation > generation

    with_model(check)


def test_a_holder_without_the_store_is_suspended_before_it_may_be_replaced():
    async def check(model):
        first_holder = model.leader()
        first_holder.store.reachability = Reachability.SILENT
        await seconds_until_successor(model, first_holder)
        assert first_holder.leadership.status is not LeadershipStatus.HOLDER
        generation = first_holder.leadership.generation
        assert not first_holder.leadership.permits_orders(generation)

    with_model(check)


# Guards against orders of a former generation of a host that leads again.
def test_only_orders_of_the_current_generation_are_permitted():
    async def check(model):
        leadership = model.leader().leadership
        generation = leadership.generation
        assert leadership.permits_orders(generation)
        assert leadership.permits_holds(generation)
        assert not leadership.permits_orders(generation - 1)
        assert not leadership.permits_holds(generation - 1)

    with_model(check)


def test_a_run_of_a_predecessor_does_not_count_as_a_measured_run_time():
    async def check(model):
        first_holder = model.leader()
        await model.submit("usual", (step(1),), 6.0)
        await asyncio.sleep(1.0)
        await first_holder.kill()
        assert await model.wait_for_jobs(30.0)
        ends = events(model, "run_ended")
        assert [line["seconds"] for line in ends] == [None]

    with_model(check)


def test_a_successor_restores_the_learned_run_times():
    async def check(model):
        first_holder = model.leader()
        for _ in range(6):
            await model.submit("usual", (step(1, seconds=9.0),), 0.5)
        assert await model.wait_for_jobs(30.0)
        await asyncio.sleep(min_lease_seconds(model))
        await first_holder.kill()
        await seconds_until_successor(model, first_holder)
        (times,) = model.leader().leadership.handover.times.values()
        assert times.count == 6
        assert times.seconds == pytest.approx(0.5, abs=0.2)

    with_model(check)


def test_a_successor_restores_quarantines():
    async def check(model):
        first_holder = model.leader()
        faulty = next(iter(model.fleet.workers.values()))
        faulty.fault_mode = FaultMode.FAILS
        await model.submit("usual", (step(8, seconds=0.3),), 0.3)
        while not events(model, "worker_quarantined"):
            await asyncio.sleep(0.02)
        # The next renewal writes the quarantine into the lease's record.
        await asyncio.sleep(min_lease_seconds(model))
        await first_holder.kill()
        await seconds_until_successor(model, first_holder)
        since = len(model.lines)
        await model.submit("usual", (step(8, seconds=0.3),), 0.3)
        await asyncio.sleep(0.3)
        placed = events(model, "run_placed", since)
        assert placed
        assert faulty.entry.worker not in {line["worker"] for line in placed}

    with_model(check)


def test_no_transaction_of_a_former_holder_applies():
    async def check(model):
        first_holder = model.leader()
        fence = first_holder.leadership.fence_expectation()
        first_holder.store.reachability = Reachability.SILENT
        await seconds_until_successor(model, first_holder)
        first_holder.store.reachability = Reachability.SERVED
        result = await first_holder.store.transact([fence], [], 1.0)
        assert not result.applied
        await asyncio.sleep(3.0)
        assert not first_holder.leadership.is_holder

    with_model(check)


def test_a_holder_that_reads_a_newer_fence_steps_down():
    async def check(model):
        first_holder = model.leader()
        generation = first_holder.leadership.generation
        model.rows.put(FENCES, FENCE_ROW, b"another host has taken over")
        await asyncio.sleep(0.01)
        # It may acquire the lease again, but only with a new generation and fence.
        leadership = first_holder.leadership
        assert not leadership.is_holder or leadership.generation > generation
        assert "the fence has moved" in [
            line["reason"] for line in model.lines if line["event"] == "lease_lost"
        ]

    with_model(check)


def test_a_renewal_with_a_lost_answer_keeps_the_lease():
    async def check(model):
        first_holder = model.leader()
        first_holder.store.lost_answer_share = 0.5
        await asyncio.sleep(6.0)
        first_holder.store.lost_answer_share = 0.0
        await asyncio.sleep(1.0)
        holders = [host for host in model.hosts if host.leadership.is_holder]
        assert len(holders) == 1

    with_model(check)


def test_a_slow_store_extends_the_lease_without_a_failover():
    async def check(model):
        first_holder = model.leader()
        generation = first_holder.leadership.generation
        for host in model.hosts:
            host.store.latency_factor = 60.0
        slow_since = monotonic()
        await asyncio.sleep(12.0)
        assert first_holder.leadership.lease_seconds > min_lease_seconds(model)
        holders = {host.leadership.generation for host in model.hosts}
        assert max(holders) == generation
        paused = [line for line in model.lines if line["event"] == "decisions_paused"]
        slow = [line["at"] for line in paused if line["at"] > slow_since]
        # Decisions pause once at most, until the lease is as long as the store needs.
        assert not slow or max(slow) - slow_since < 2.0
        for host in model.hosts:
            host.store.latency_factor = 1.0
        await asyncio.sleep(8.0)
        assert model.leader().leadership.lease_seconds == min_lease_seconds(model)

    with_model(check)


def test_followers_read_the_lease_once_per_lease_duration():
    async def check(model):
        follower = next(host for host in model.hosts if host is not model.leader())
        before = follower.store.calls
        await asyncio.sleep(30.0)
        desired_state = 30.0 / FEED_SECONDS
        calls = follower.store.calls - before - desired_state
        assert calls <= 30.0 / min_lease_seconds(model) + 30.0 / FENCE_FEED_SECONDS + 2

    with_model(check)


@pytest.mark.parametrize("moment", [0.0, 0.02, 0.03, 0.04, 0.05, 0.1, 0.3, 1.0])
def test_a_job_survives_a_scheduler_failure_at_any_moment(moment):
    async def check(model):
        submitting = asyncio.create_task(
            model.submit("usual", (step(3, gpus=4, gang=True), step(2, after=(0,))), 1)
        )
        await asyncio.sleep(moment)
        first_holder = model.leader()
        await first_holder.kill()
        await submitting
        assert await model.wait_for_jobs(30.0)
        assert violations(model) == []

    with_model(check)


# Guards against a host that gives up the lease which it has just acquired again.
def test_a_holder_that_lost_its_lease_takes_one_generation_to_schedule_again():
    close = Scheduler._close

    async def close_slowly(scheduler):
        await asyncio.sleep(0.1)
        await close(scheduler)

    async def check(model):
        leadership = model.leader().leadership
        generation = leadership.generation
        with mock.patch.object(Scheduler, "_close", close_slowly):
            leadership.step_down("a worker has accepted a newer generation")
            await model.submit("usual", (step(1),), 0.5)
            assert await model.wait_for_jobs(10.0)
        assert leadership.generation == generation + 1

    with_model(check)
