"""Host processes against stand-ins of the platform, over HTTP, with signals."""

import asyncio
import os
import re
import signal

import aiohttp
import pytest
from common.platform_cluster import (
    WAIT_TIMEOUT_SECONDS,
    run_with_cluster,
    scheduling_host,
)

from zinniatrestle.events.explain import cause, job_lines
from zinniatrestle.serving.frontend import MAX_COUNTS_AGE_SECONDS
from zinniatrestle.standins.wire import WireFault


def test_a_submitted_job_completes_and_can_be_explained(tmp_path):
    async def check(cluster):
        first, second = cluster.hosts
        job = "00000000000000a1"
        steps = [{"count": 2, "gpus": 1, "gang": True}, {"count": 1, "after": [0]}]
        assert await cluster.submit(first, job, steps=steps) == 200
        assert await cluster.submit(second, job, steps=steps) == 200
        await cluster.wait_for_state(second, job, "completed")
        assert len(cluster.starts(job)) == 3
        # A count of before the job began is valid for as long.
        await asyncio.sleep(MAX_COUNTS_AGE_SECONDS)
        assert await cluster.call(first, "GET", "/q/") == (200, {"pendingJobs": 0})
        lines = [line for host in cluster.hosts for line in host.lines()]
        assert "completed" in cause(job_lines(lines, job), job)
        assert await cluster.http_status(first.metrics_port, "/metrics") == 200

    run_with_cluster(tmp_path, check)


@pytest.mark.parametrize(
    "method, path, key, status",
    [
        ("GET", "/q/00000000000000ff", "key", 410),
        ("DELETE", "/q/00000000000000ff", "key", 410),
        ("GET", "/q/00000000000000ff", "other", 401),
        ("GET", "/elsewhere/00000000000000ff", "key", 404),
        ("GET", "/q/notanid", "key", 404),
    ],
)
def test_a_failed_call_returns_its_status_and_code(tmp_path, method, path, key, status):
    async def check(cluster):
        found_status, body = await cluster.call(cluster.hosts[0], method, path, key=key)
        assert found_status == status
        assert body["code"] > 0

    run_with_cluster(tmp_path, check)


@pytest.mark.parametrize("body", [[], {"steps": []}, {"steps": [{"count": "x"}]}])
def test_an_invalid_body_is_refused_and_not_stored(tmp_path, body):
    async def check(cluster):
        status, answer = await cluster.call(
            cluster.hosts[0], "POST", "/q/00000000000000a2", body
        )
        assert (status, answer["code"]) == (400, 100)
        assert await cluster.state(cluster.hosts[0], "00000000000000a2") == "410"

    run_with_cluster(tmp_path, check)


@pytest.mark.parametrize("signal_number", [signal.SIGTERM, signal.SIGKILL])
def test_a_running_job_survives_the_host_that_schedules_it(tmp_path, signal_number):
    async def check(cluster):
        job = "00000000000000a3"
        scheduling = await scheduling_host(cluster)
        other = next(host for host in cluster.hosts if host is not scheduling)
        assert await cluster.submit(other, job, seconds=6.0) == 200
        async with asyncio.timeout(WAIT_TIMEOUT_SECONDS):
            while len(cluster.starts(job)) < 2:
                await asyncio.sleep(0.05)
        scheduling.process.send_signal(signal_number)
        await scheduling.process.wait()
        await cluster.wait_for_state(other, job, "completed")
        assert len(cluster.starts(job)) == 2

    run_with_cluster(tmp_path, check)


def test_a_restarted_worker_is_used_again(tmp_path):
    async def check(cluster):
        host = await scheduling_host(cluster)
        assert await cluster.submit(host, "00000000000000a8") == 200
        await cluster.wait_for_state(host, "00000000000000a8", "completed")
        worker, *others = cluster.fleet.workers.values()
        cluster.fleet.restart(worker)
        cluster.list_worker(worker)
        for other in others:
            cluster.fleet.crash(other)
            cluster.unlist_worker(other)
        job = "00000000000000a7"
        assert await cluster.submit(host, job) == 200
        await cluster.wait_for_state(host, job, "completed")
        assert {event.worker for event in cluster.starts(job)} == {worker.entry.worker}

    run_with_cluster(tmp_path, check)


def test_a_planned_stop_answers_open_calls_and_exits_with_zero(tmp_path):
    async def check(cluster):
        host = cluster.hosts[0]
        host.process.send_signal(signal.SIGTERM)
        statuses = []
        while host.process.returncode is None:
            try:
                statuses.append(await cluster.submit(host, "00000000000000a4"))
            except aiohttp.ClientConnectorError:
                break
            await asyncio.sleep(0.05)
        assert await host.process.wait() == 0
        assert set(statuses) <= {200}
        assert host.lines()[-1]["event"] == "stopped"

    run_with_cluster(tmp_path, check)


def test_a_cancelled_job_stops_and_a_store_outage_is_reported(tmp_path):
    async def check(cluster):
        job = "00000000000000a5"
        host = cluster.hosts[0]
        assert await cluster.submit(host, job, seconds=60.0) == 200
        await cluster.wait_for_state(host, job, "running")
        assert (await cluster.call(host, "DELETE", f"/q/{job}"))[0] == 200
        async with asyncio.timeout(WAIT_TIMEOUT_SECONDS):
            while any(worker.running for worker in cluster.fleet.workers.values()):
                await asyncio.sleep(0.05)
        assert await cluster.state(host, job) == "cancelled"
        cluster.wire.fault = WireFault.BUSY
        assert await cluster.submit(host, "00000000000000a6") == 503
        cluster.wire.fault = WireFault.NONE
        assert await cluster.state(host, "00000000000000a6") in ("410", "503")

    run_with_cluster(tmp_path, check)


MAX_LOG_LINES = 50
STALLED_SECONDS = 10.0


def test_a_stalled_log_reader_loses_lines_but_delays_no_answers(tmp_path):
    async def check(cluster):
        host = cluster.hosts[0]
        await host.kill()
        read_end, write_end = os.pipe()
        try:
            # The pipe has no reader until the load has ended.
            await host.start("--log-lines", str(MAX_LOG_LINES), stdout=write_end)
            os.close(write_end)
            await cluster.wait_until_ready(host)
            deadline = asyncio.get_running_loop().time() + STALLED_SECONDS
            answers = []
            number = 0
            while asyncio.get_running_loop().time() < deadline:
                batch = []
                for _ in range(20):
                    number += 1
                    job = f"{number:016x}"
                    batch.append(cluster.submit(host, job, seconds=0.05))
                answers.extend(await asyncio.gather(*batch))
            assert set(answers) == {200}, cluster.refusals
            text = await cluster.metrics(host)
            dropped = re.search(r"^log_lines_dropped\S* (\S+)", text, re.MULTILINE)
            assert float(dropped.group(1)) > 0
        finally:
            os.close(read_end)

    run_with_cluster(tmp_path, check, hosts=1)
