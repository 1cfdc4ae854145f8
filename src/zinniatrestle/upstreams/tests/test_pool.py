"""Tests of the pool of minions."""

import asyncio

import pytest
from common.virtual import run

from zinniatrestle.ids import FailureDomainId, HostId, MinionId, ServiceName
from zinniatrestle.standins.site import minion_list
from zinniatrestle.upstreams import FixedSharingHosts, UpstreamPool
from zinniatrestle.upstreams.slot_shares import slot_share
from zinniatrestle.upstreams.state import LEAVING_SECONDS, MinionState

LIMA = FailureDomainId("lima")
SERVICE = ServiceName("enrolment")
HOST = HostId("lima-1")


def new_pool(minions: int, slots: int = 8) -> UpstreamPool:
    pool = UpstreamPool(LIMA, HOST, FixedSharingHosts([HOST]), slots, seed=1)
    pool.refresh(minion_list(LIMA, SERVICE, ["127.0.0.1:1"] * minions))
    return pool


@pytest.mark.parametrize("hosts", [1, 2, 3, 5])
@pytest.mark.parametrize("slots", [1, 8, 13])
def test_shares_of_a_minion_sum_to_its_slots(hosts, slots):
    names = [HostId(f"h{number}") for number in range(hosts)]
    for number in range(20):
        minion = MinionId(f"m{number}")
        shares = [slot_share(minion, slots, name, names) for name in names]
        assert sum(shares) == slots
        assert max(shares) - min(shares) <= 1


def test_choice_balances_the_load():
    async def scenario():
        pool = new_pool(4)
        for _ in range(16):
            assert pool.choose(SERVICE, ()) is not None
        loads = [minion.in_use for minion in pool.minions.values()]
        assert sum(loads) == 16 and max(loads) <= 6

    run(scenario())


def test_no_more_slots_are_taken_than_the_limit():
    async def scenario():
        pool = new_pool(1, slots=2)
        assert pool.choose(SERVICE, ()) and pool.choose(SERVICE, ())
        assert pool.choose(SERVICE, ()) is None

    run(scenario())


def test_at_most_two_thirds_are_ejected():
    async def scenario():
        pool = new_pool(6)
        for minion in pool.minions.values():
            for _ in range(20):
                pool.record_failure(minion)
        states = [minion.state for minion in pool.minions.values()]
        assert states.count(MinionState.EJECTED) == 4

    run(scenario())


def test_ejected_minion_is_healthy_after_one_successful_canary():
    async def scenario():
        pool = new_pool(1)
        (minion,) = pool.minions.values()
        for _ in range(5):
            minion.record_failure(may_eject=True)
        assert pool.choose(SERVICE, ()) is None
        await asyncio.sleep(1.1)
        assert pool.choose(SERVICE, ()) is minion
        assert pool.choose(SERVICE, ()) is None
        minion.record_success()
        assert minion.state is MinionState.HEALTHY

    run(scenario())


def test_leaving_minion_that_stays_listed_is_probed():
    async def scenario():
        pool = new_pool(1)
        (name,) = pool.minions
        listed = minion_list(LIMA, SERVICE, ["127.0.0.1:1"])
        pool.mark_leaving(name)
        pool.refresh(listed)
        assert pool.minions[name].state is MinionState.LEAVING
        await asyncio.sleep(LEAVING_SECONDS)
        pool.refresh(listed)
        assert pool.minions[name].state is MinionState.PROBING

    run(scenario())


def test_replaced_minion_starts_with_a_clean_state():
    async def scenario():
        pool = new_pool(1)
        (name,) = pool.minions
        pool.mark_leaving(name)
        pool.refresh(minion_list(LIMA, SERVICE, ["127.0.0.1:2"]))
        assert pool.minions[name].state is MinionState.HEALTHY
        pool.refresh([])
        assert not pool.minions

    run(scenario())


def test_leaving_marks_from_peers_are_not_passed_on():
    async def scenario():
        pool = new_pool(2)
        first, second = pool.minions
        pool.mark_leaving(first, observed=False)
        pool.mark_leaving(second)
        assert pool.leaving() == [second]

    run(scenario())
