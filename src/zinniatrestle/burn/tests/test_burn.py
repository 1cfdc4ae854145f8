"""Tests of burn rates and of the report merged from hosts."""

import asyncio

import pytest
from common.hosts import AREQUIPA, LIMA, SERVICE, HostCluster, default_plan
from common.virtual import run

from zinniatrestle.burn.report import burn_rate, merge

OBJECTIVE = {"latency_ms": 200.0, "target": 0.99}


@pytest.mark.parametrize(
    ("total", "good", "target", "rate"),
    [(0, 0, 0.99, 0.0), (100, 99, 0.99, 1.0), (100, 90, 0.99, 10.0), (10, 10, 0.9, 0)],
)
def test_burn_rate(total, good, target, rate):
    assert burn_rate(total, good, target) == pytest.approx(rate)


def plan() -> dict:
    body = default_plan([LIMA, AREQUIPA])
    body["kinds"][0]["objective"] = OBJECTIVE
    return body


def test_report_merges_hosts_and_pages_when_answers_are_late():
    async def scenario():
        cluster = await HostCluster.start([LIMA, AREQUIPA], plan())
        cluster.set_minion_faults(latency_seconds=0.3)
        for host in list(cluster.hosts) * 5:
            await cluster.request(host)
        host = cluster.hosts["lima-1"]
        burns, missing = await host.mesh.host_burns()
        report = merge(host.follower.state, burns, missing)
        (line,) = report.lines
        assert (line.service, line.answers, missing) == (SERVICE, 20, [])
        assert line.alert == "page"
        assert 290 <= line.p50_ms <= 320

    run(scenario())


def test_report_lists_unreachable_hosts_as_missing():
    async def scenario():
        cluster = await HostCluster.start([LIMA], plan())
        await cluster.request("lima-1")
        await cluster.kill("lima-2")
        await asyncio.sleep(5)
        host = cluster.hosts["lima-1"]
        burns, missing = await host.mesh.host_burns()
        assert merge(host.follower.state, burns, missing).missing == ["lima-2"]

    run(scenario())


def test_window_excludes_older_answers():
    async def scenario():
        cluster = await HostCluster.start([LIMA], plan(), hosts=1)
        cluster.set_minion_faults(latency_seconds=0.3)
        for _ in range(10):
            await cluster.request("lima-1")
        await asyncio.sleep(400)
        cluster.set_minion_faults(latency_seconds=0.01)
        for _ in range(10):
            await cluster.request("lima-1")
        host = cluster.hosts["lima-1"]
        burns, _ = await host.mesh.host_burns()
        (line,) = merge(host.follower.state, burns, []).lines
        assert line.burn_rates["300s"] < line.burn_rates["1800s"]

    run(scenario())
