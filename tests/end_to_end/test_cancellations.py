"""Cancellations of jobs of unknown outcome, on real processes."""

import asyncio

import pytest
from common.platform_cluster import run_with_cluster, scheduling_host

from zinniatrestle.errors import ResultCode
from zinniatrestle.standins.wire import LATE_SECONDS

JOB = "00000000000000aa"


async def lose_acceptance(cluster, host):
    """Submit a job whose writes get no answer and are applied seconds later."""
    cluster.wire.late_share = 1.0
    assert await cluster.submit(host, JOB) == 504
    cluster.wire.late_share = 0.0


# Guards against a job that runs although its cancellation was acknowledged before the
# store applied its acceptance.
@pytest.mark.parametrize("ends", ["nobody", "the host that acknowledged", "the leader"])
def test_a_job_cancelled_after_an_unknown_outcome_does_not_run(tmp_path, ends):
    async def check(cluster):
        first, second = cluster.hosts
        await lose_acceptance(cluster, first)
        status, _ = await cluster.call(second, "DELETE", f"/q/{JOB}")
        assert status == 410
        if ends != "nobody":
            leader = await scheduling_host(cluster)
            ended = second if ends == "the host that acknowledged" else leader
            await ended.kill()
            await ended.start()
            await cluster.wait_until_ready(ended)
        await asyncio.sleep(LATE_SECONDS[1] + 2.0)
        assert cluster.starts(JOB) == []
        for host in cluster.hosts:
            assert await cluster.state(host, JOB) == "410"
            status, _ = await cluster.call(host, "DELETE", f"/q/{JOB}")
            assert status == 410
            assert await cluster.submit(host, JOB) == 503
            *_, (_, _, answer) = cluster.refusals
            assert answer["code"] == ResultCode.JOB_WITHDRAWN

    run_with_cluster(tmp_path, check)


# Guards against marks without a bound, which any client could write.
def test_a_flood_of_cancellations_of_unknown_jobs_stores_few_marks(tmp_path):
    async def check(cluster):
        host = cluster.hosts[0]
        statuses: list[int] = []

        async def cancel_some(numbers):
            for number in numbers:
                status, _ = await cluster.call(host, "DELETE", f"/q/{number:016x}")
                statuses.append(status)

        await asyncio.gather(*(cancel_some(range(i, 300, 20)) for i in range(20)))
        assert len(statuses) == 300
        assert set(statuses) <= {410, 429}
        marks = cluster.rows.tables["withdrawn"]
        assert len(marks) == statuses.count(410)
        assert statuses.count(429) > statuses.count(410)
        job = f"{10_000:016x}"
        assert await cluster.submit(host, job) == 200
        await cluster.wait_for_state(host, job, "completed")

    run_with_cluster(tmp_path, check)
