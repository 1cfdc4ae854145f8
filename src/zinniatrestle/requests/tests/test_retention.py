"""Tests of the retention of outcomes and of the bound on their number."""

import asyncio

from common.hosts import LIMA, HostCluster, default_plan
from common.virtual import run

from zinniatrestle.errors import ResultCode
from zinniatrestle.requests.claims import CLAIM_PREFIX
from zinniatrestle.requests.retention import RETENTION_SECONDS


def count_claims(cluster: HostCluster) -> int:
    return len(cluster.platform.table.state.scan(CLAIM_PREFIX, "", 1000))


def test_outcomes_are_deleted_after_the_retention_period():
    async def scenario():
        cluster = await HostCluster.start([LIMA], hosts=1)
        for number in range(5):
            await cluster.request("lima-1", "enrol", f"k{number}")
        retention = cluster.hosts["lima-1"].outcomes
        await asyncio.sleep(60)
        await retention.sweep()
        assert count_claims(cluster) == 5
        repeated = await cluster.request("lima-1", "enrol", "k0")
        assert repeated.repeated
        cluster.clock.offset += RETENTION_SECONDS
        retention.clock = cluster.clock
        await retention.sweep()
        assert count_claims(cluster) == 0

    run(scenario())


def test_account_with_too_many_outcomes_is_refused_and_none_is_deleted():
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
        refused = await cluster.request("lima-2", "enrol", "new")
        assert refused.code is ResultCode.OUTCOMES_FULL
        assert count_claims(cluster) == 3

    run(scenario())
