"""Tests of the readiness check."""

import asyncio

from common.hosts import LIMA, HostCluster
from common.virtual import run

from zinniatrestle.errors import StoreUnavailableError


def test_host_is_not_ready_before_it_has_the_list_of_minions():
    async def scenario():
        cluster = HostCluster([LIMA], hosts=1)
        cluster.platform.hosts.hosts = unavailable
        await cluster.boot("lima-1")
        host = cluster.hosts["lima-1"]
        await asyncio.sleep(3)
        assert host.follower.confirmed_wall > 0
        assert not host.ready
        del cluster.platform.hosts.hosts
        await asyncio.sleep(3)
        assert host.ready

    run(scenario())


async def unavailable():
    raise StoreUnavailableError("The list is unavailable.")
