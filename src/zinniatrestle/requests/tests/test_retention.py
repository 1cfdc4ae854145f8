"""Tests of how long outcomes are kept, and how many."""

import asyncio

from common.hosts import LIMA, HostCluster, default_plan
from common.virtual import run

from zinniatrestle.errors import ResultCode
from zinniatrestle.requests.claims import CLAIM_PREFIX
from zinniatrestle.requests.retention import RETENTION_SECONDS


def claims(cluster: HostCluster) -> int:
    return len(cluster.platform.table.state.scan(CLAIM_PREFIX, "", 1000))


def test_outcomes_are_kept_for_their_time_and_then_deleted():
    async def scenario():
        cluster = await HostCluster.start([LIMA], hosts=1)
        for number in range(5):
            await cluster.request("lima-1", "enrol", f"k{number}")
        keeper = cluster.hosts["lima-1"].outcomes
        await asyncio.sleep(60)
        await keeper.sweep()
        assert claims(cluster) == 5
        again = await cluster.request("lima-1", "enrol", "k0")
        assert again.repeated
        cluster.clock.offset += RETENTION_SECONDS
        keeper.clock = cluster.clock
        await keeper.sweep()
        assert claims(cluster) == 0

    run(scenario())


def test_account_with_too_many_outcomes_is_refused_and_forgets_none():
    async def scenario():
        plan = default_plan([LIMA], outcomes_limit=3)
        cluster = await HostCluster.start([LIMA], plan)
        codes = []
        for number in range(5):
            answer = await cluster.request("lima-1", "enrol", f"k{number}")
            codes.append(answer.code)
        assert codes[:3] == [ResultCode.OK] * 3
        assert codes[3:] == [ResultCode.OUTCOMES_FULL] * 2
        await asyncio.sleep(400)
        there = await cluster.request("lima-2", "enrol", "new")
        assert there.code is ResultCode.OUTCOMES_FULL
        assert claims(cluster) == 3

    run(scenario())
