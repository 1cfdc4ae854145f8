"""Counts of waiting jobs around successions: too old or unknown, but never too low."""

import asyncio

import msgspec
import pytest

from zinniatrestle.clock import boot_time, monotonic
from zinniatrestle.errors import StoreUnavailableError
from zinniatrestle.events import EventLog
from zinniatrestle.rows.clock import StoreClock
from zinniatrestle.scheduling.leadership import LEASE_ROW, LEASES
from zinniatrestle.scheduling.messages import LeaseRecord
from zinniatrestle.scheduling.pending_counts import (
    READ_TIMEOUT_SECONDS,
    CountSource,
    PendingCountCache,
    PendingCounts,
)
from zinniatrestle.scheduling.scheduler import Scheduler
from zinniatrestle.serving import RetryLaterError
from zinniatrestle.serving.frontend import MAX_COUNTS_AGE_SECONDS
from zinniatrestle.standins.model import Model, run_virtual, step
from zinniatrestle.standins.rows import Reachability

WAITING_JOBS = 6
WATCH_SECONDS = 8.0
QUEUE = "usual"


def with_waiting_jobs(check, hosts=3):
    """Run a check on hosts whose jobs don't fit beside the one that runs."""

    async def run():
        model = Model(1, hosts=hosts)
        await model.start(workers=1, rack=1)
        await submit_waiting_jobs(model)
        await check(model)

    run_virtual(run())


async def submit_waiting_jobs(model):
    """Submit one job that takes all accelerators and others that wait for it."""
    for _ in range(WAITING_JOBS + 1):
        await model.submit(QUEUE, (step(1, gpus=8, seconds=90.0),), 90.0)
        await asyncio.sleep(0.3)
    await asyncio.sleep(2 * MAX_COUNTS_AGE_SECONDS)


async def shown(host) -> int | None:
    """Return the count that a host answers, or None if it refuses to."""
    admission = host.frontend.admit("queues.example", f"/{QUEUE}/", "key-first")
    try:
        return await host.frontend.pending(admission.queue)
    except RetryLaterError:
        return None


async def watch(model, seconds=WATCH_SECONDS, least=WAITING_JOBS) -> dict[str, list]:
    """Ask all live hosts for some seconds, and return their answers by host.

    Each count must be at least `least`.
    """
    answers = {host.name: [] for host in model.hosts}
    until = monotonic() + seconds
    while monotonic() < until:
        for host in model.hosts:
            if not host.alive or host.operator.desired is None:
                continue
            count = await shown(host)
            answers[host.name].append(count)
            assert count is None or count >= least, (host.name, count)
        await asyncio.sleep(0.02)
    return answers


async def kill_and_watch(model):
    """Kill the leader, and watch the others until they have counted again."""
    leader = model.leader()
    await leader.kill()
    answers = await watch(model)
    for host in model.hosts:
        if host.alive:
            assert answers[host.name][-1] == WAITING_JOBS


# Guards against a successor that publishes empty counts before it has counted.
def test_counts_are_not_too_low_after_a_succession():
    with_waiting_jobs(kill_and_watch)


def test_counts_are_not_too_low_after_the_leader_has_released_its_lease():
    async def check(model):
        leader = model.leader()
        leader.leadership.released = True
        await leader.kill()
        await leader.leadership.release()
        answers = await watch(model)
        followers = [host for host in model.hosts if host is not leader]
        # The lease passes at once, so that the counts stay known all the while.
        assert all(None not in answers[host.name] for host in followers)

    with_waiting_jobs(check)


def test_counts_are_not_too_low_after_two_successions_in_a_row():
    async def check(model):
        await model.leader().kill()
        while model.leader() is None:
            await asyncio.sleep(0.01)
        await kill_and_watch(model)

    with_waiting_jobs(check)


# Guards against counts of a former term of the host that leads again.
def test_a_host_that_leads_again_publishes_no_counts_of_its_former_term():
    async def check():
        model = Model(1, hosts=3)
        await model.start(workers=1, rack=1)
        former = model.leader()
        others = [host for host in model.hosts if host is not former]
        await asyncio.sleep(MAX_COUNTS_AGE_SECONDS)
        former.store.reachability = Reachability.SILENT
        while former.leadership.is_holder:
            former.leadership.abstain(WATCH_SECONDS)
            await asyncio.sleep(0.01)
            if any(host.leadership.is_holder for host in others):
                break
        former.store.reachability = Reachability.SERVED
        await submit_waiting_jobs(model)
        assert not former.leadership.is_holder
        former.leadership.abstain(0.0)
        for host in others:
            await host.kill()
        answers = await watch(model)
        assert former.leadership.is_holder
        assert answers[former.name][-1] == WAITING_JOBS

    run_virtual(check())


# Guards against counts that are lost with a successor that has not counted yet.
def test_counts_outlive_a_successor_that_ends_before_its_first_round(monkeypatch):
    async def check(model):
        async def never(scheduler):
            await asyncio.sleep(WATCH_SECONDS)

        with monkeypatch.context() as patch:
            patch.setattr(Scheduler, "_load", never)
            await model.leader().kill()
            while model.leader() is None:
                await asyncio.sleep(0.01)
            await watch(model, 0.2)
            await model.leader().kill()
        await watch(model)

    with_waiting_jobs(check)


# Guards against counts of a leader that can't load its state any more.
def test_inherited_counts_are_refused_once_they_are_too_old(monkeypatch):
    async def check(model):
        async def never(scheduler):
            await asyncio.sleep(60.0)

        monkeypatch.setattr(Scheduler, "_load", never)
        await model.leader().kill()
        answers = await watch(model, 10.0)
        followers = [counts for counts in answers.values() if counts]
        assert len(followers) == 2
        for counts in followers:
            known = sum(count is not None for count in counts)
            assert counts[0] == WAITING_JOBS
            assert known <= MAX_COUNTS_AGE_SECONDS / 0.02 + 1
            assert counts[-1] is None

    with_waiting_jobs(check)


@pytest.mark.parametrize("value", [None, b"\xc1", b"\x80"])
def test_counts_are_not_too_low_if_the_row_of_the_lease_is_damaged_or_absent(value):
    async def check(model):
        leader = model.leader()
        await leader.kill()
        model.rows.put(LEASES, LEASE_ROW, value)
        answers = await watch(model, 12.0)
        for host in model.hosts:
            if host is not leader:
                assert answers[host.name][-1] == WAITING_JOBS

    with_waiting_jobs(check)


def test_a_damaged_record_with_counts_from_the_future_is_not_shown():
    async def check(model):
        leader = model.leader()
        await leader.kill()
        record = leader.leadership.record
        late = record.until + 3_600_000.0
        damaged = msgspec.structs.replace(record, pending={}, counted_at=late)
        model.rows.put(LEASES, LEASE_ROW, msgspec.msgpack.encode(damaged))
        answers = await watch(model)
        assert [counts[-1] for counts in answers.values() if counts] == [6, 6]

    with_waiting_jobs(check)


def test_counts_follow_jobs_that_are_cancelled_during_a_succession():
    async def check(model):
        waiting = list(model.jobs)[-3:]
        await model.leader().kill()
        for job in waiting:
            await model.cancel(job)
        answers = await watch(model, least=WAITING_JOBS - 3)
        known = [counts[-1] for counts in answers.values() if counts]
        assert known == [WAITING_JOBS - 3] * 2

    with_waiting_jobs(check)


def test_a_leader_without_the_store_stops_showing_its_counts():
    async def check(model):
        leader = model.leader()
        for host in model.hosts:
            host.store.reachability = Reachability.SILENT
        queue = leader.frontend.admit("queues.example", f"/{QUEUE}/", "key-first").queue
        await asyncio.sleep(MAX_COUNTS_AGE_SECONDS + 0.1)
        with pytest.raises(RetryLaterError):
            await leader.frontend.pending(queue)

    with_waiting_jobs(check)


def test_a_first_leader_that_has_not_counted_shows_no_count(monkeypatch):
    async def check():
        async def never(scheduler):
            await asyncio.sleep(60.0)

        monkeypatch.setattr(Scheduler, "_load", never)
        model = Model(1, hosts=2)
        await model.start(workers=1)
        assert model.leader() is not None
        assert [await shown(host) for host in model.hosts] == [None, None]

    run_virtual(check())


def test_a_record_of_a_former_version_counts_from_when_it_was_written():
    record = LeaseRecord("h", "h", 0.0, 1, 17.0, {QUEUE: 3})
    assert record.counts == PendingCounts({QUEUE: 3}, 17.0)


def test_a_record_tells_unknown_counts_from_an_empty_queue():
    assert LeaseRecord("h", "h", 0.0, 1, 17.0, {}, counted_at=0.0).counts is None
    assert LeaseRecord("h", "h", 0.0, 1, 17.0, {}, counted_at=9.0).counts.jobs == {}


class SlowSource(CountSource):
    """A source that answers after some seconds, or never if it fails."""

    def __init__(self, clock, seconds=0.1, fails=False):
        self.clock = clock
        self.seconds = seconds
        self.fails = fails
        self.reads = 0

    async def read_counts(self):
        self.reads += 1
        await asyncio.sleep(self.seconds)
        if self.fails:
            raise StoreUnavailableError("The store does not answer.")
        return PendingCounts({QUEUE: 2}, self.clock.earliest(boot_time()))


def run_with_cache(check, **options):
    async def run():
        clock = StoreClock()
        now = boot_time()
        clock.observe(1000, now, now)
        source = SlowSource(clock, **options)
        await check(PendingCountCache(source, clock, EventLog()), source)

    run_virtual(run())


# Guards against a read of the store for each of many callers.
def test_callers_that_ask_at_the_same_time_share_a_read():
    async def check(cache, source):
        asked = [cache.recent(MAX_COUNTS_AGE_SECONDS, True) for _ in range(50)]
        assert await asyncio.gather(*asked) == [{QUEUE: 2}] * 50
        assert source.reads == 1

    run_with_cache(check)


def test_a_failing_source_is_not_asked_for_each_caller():
    async def check(cache, source):
        for _ in range(50):
            assert await cache.recent(MAX_COUNTS_AGE_SECONDS, True) is None
        assert source.reads == 1

    run_with_cache(check, fails=True)


def test_a_caller_waits_for_a_slow_source_no_longer_than_its_timeout():
    async def check(cache, source):
        started_at = monotonic()
        assert await cache.recent(MAX_COUNTS_AGE_SECONDS, True) is None
        assert monotonic() - started_at <= READ_TIMEOUT_SECONDS + 0.01

    run_with_cache(check, seconds=30.0)


def test_counts_are_not_read_while_the_store_is_out_of_reach():
    async def check(cache, source):
        assert await cache.recent(MAX_COUNTS_AGE_SECONDS, False) is None
        assert source.reads == 0

    run_with_cache(check)
