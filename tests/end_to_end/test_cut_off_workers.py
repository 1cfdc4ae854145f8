"""Host processes and workers that are cut off or crash, over HTTP."""

import asyncio

import pytest
from common.platform_cluster import WAIT_TIMEOUT_SECONDS, run_with_cluster

JOB = "00000000000000c1"
# Shorter than the leases that holds give; the run outlasts the cut.
CUT_SECONDS = 5.0
RUN_SECONDS = 8.0
STEPS = [{"count": 1, "gpus": 8}]


async def start_run(cluster):
    """Submit a job and return the worker that runs its task."""
    assert await cluster.submit(cluster.hosts[0], JOB, RUN_SECONDS, STEPS) == 200
    async with asyncio.timeout(WAIT_TIMEOUT_SECONDS):
        while not cluster.starts(JOB):
            await asyncio.sleep(0.05)
    await asyncio.sleep(1.0)
    return cluster.fleet.workers[cluster.starts(JOB)[0].worker]


def lost_runs(cluster) -> list[str]:
    lines = [line for host in cluster.hosts for line in host.lines()]
    return [line["reason"] for line in lines if line["event"] == "run_lost"]


# Guards against a second run beside one that goes on behind a cut (TWICE).
@pytest.mark.parametrize("lists_machines", [False, True])
def test_a_run_on_a_worker_that_refuses_and_is_not_listed_goes_on(
    tmp_path, lists_machines
):
    async def check(cluster):
        worker = await start_run(cluster)
        link = cluster.worker_links[worker.entry.worker]
        link.refuse()
        cluster.unlist_worker(worker)
        await asyncio.sleep(CUT_SECONDS)
        await link.accept()
        cluster.list_worker(worker)
        await cluster.wait_for_state(cluster.hosts[0], JOB, "completed")
        assert len(cluster.starts(JOB)) == 1
        assert lost_runs(cluster) == []

    run_with_cluster(
        tmp_path, check, relayed_workers=True, lists_machines=lists_machines
    )


@pytest.mark.parametrize(
    ("lists_machines", "reason"),
    [
        (True, "no machine runs it"),
        (False, "lease expired while the worker was unreachable"),
    ],
)
def test_a_run_on_a_crashed_worker_is_repeated(tmp_path, lists_machines, reason):
    async def check(cluster):
        cluster.fleet.crash(await start_run(cluster))
        await cluster.wait_for_state(cluster.hosts[0], JOB, "completed")
        assert len(cluster.starts(JOB)) == 2
        assert lost_runs(cluster) == [reason]

    run_with_cluster(tmp_path, check, lists_machines=lists_machines)
