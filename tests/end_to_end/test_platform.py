"""Real daemons against stand-ins of the platform, over HTTP, with real signals."""

import asyncio
import os
import re
import signal

import aiohttp
import pytest
from common.platform_cluster import LONGEST_SECONDS, scheduling_host, with_cluster

from zinniatrestle.events.explain import cause, job_lines
from zinniatrestle.standins.wire import WireFault


def test_a_job_runs_from_post_to_completed_and_is_explained(tmp_path):
    async def check(site):
        first, second = site.hosts
        job = "00000000000000a1"
        steps = [{"count": 2, "gpus": 1, "gang": True}, {"count": 1, "after": [0]}]
        assert await site.submit(first, job, steps=steps) == 200
        assert await site.submit(second, job, steps=steps) == 200
        await site.wait_for_state(second, job, "completed")
        assert len(site.starts(job)) == 3
        assert await site.call(first, "GET", "/q/") == (200, {"pendingJobs": 0})
        lines = [line for host in site.hosts for line in host.lines()]
        assert "completed" in cause(job_lines(lines, job), job)
        assert await site.status(first.metrics, "/metrics") == 200

    with_cluster(tmp_path, check)


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
def test_callers_errors_have_their_status_and_code(tmp_path, method, path, key, status):
    async def check(site):
        told, body = await site.call(site.hosts[0], method, path, key=key)
        assert told == status
        assert body["code"] > 0

    with_cluster(tmp_path, check)


@pytest.mark.parametrize("body", [[], {"steps": []}, {"steps": [{"count": "x"}]}])
def test_a_bad_body_is_refused_and_kept_nowhere(tmp_path, body):
    async def check(site):
        status, answer = await site.call(
            site.hosts[0], "POST", "/q/00000000000000a2", body
        )
        assert (status, answer["code"]) == (400, 100)
        assert await site.state(site.hosts[0], "00000000000000a2") == "410"

    with_cluster(tmp_path, check)


@pytest.mark.parametrize("number", [signal.SIGTERM, signal.SIGKILL])
def test_a_running_job_survives_the_host_that_schedules_it(tmp_path, number):
    async def check(site):
        job = "00000000000000a3"
        scheduling = await scheduling_host(site)
        other = next(host for host in site.hosts if host is not scheduling)
        assert await site.submit(other, job, seconds=6.0) == 200
        async with asyncio.timeout(LONGEST_SECONDS):
            while len(site.starts(job)) < 2:
                await asyncio.sleep(0.05)
        scheduling.process.send_signal(number)
        await scheduling.process.wait()
        await site.wait_for_state(other, job, "completed")
        assert len(site.starts(job)) == 2

    with_cluster(tmp_path, check)


def test_a_planned_stop_answers_what_is_open_and_ends_cleanly(tmp_path):
    async def check(site):
        host = site.hosts[0]
        host.process.send_signal(signal.SIGTERM)
        statuses = []
        while host.process.returncode is None:
            try:
                statuses.append(await site.submit(host, "00000000000000a4"))
            except aiohttp.ClientConnectorError:
                break
            await asyncio.sleep(0.05)
        assert await host.process.wait() == 0
        assert set(statuses) <= {200}
        assert host.lines()[-1]["event"] == "stopped"

    with_cluster(tmp_path, check)


def test_a_cancelled_job_stops_and_a_store_that_is_out_is_told(tmp_path):
    async def check(site):
        job = "00000000000000a5"
        host = site.hosts[0]
        assert await site.submit(host, job, seconds=60.0) == 200
        await site.wait_for_state(host, job, "running")
        assert (await site.call(host, "DELETE", f"/q/{job}"))[0] == 200
        async with asyncio.timeout(LONGEST_SECONDS):
            while any(worker.running for worker in site.fleet.workers.values()):
                await asyncio.sleep(0.05)
        assert await site.state(host, job) == "cancelled"
        site.wire.fault = WireFault.BUSY
        assert await site.submit(host, "00000000000000a6") == 503
        site.wire.fault = WireFault.NONE
        assert await site.state(host, "00000000000000a6") in ("410", "503")

    with_cluster(tmp_path, check)


LINES_KEPT = 50
STALLED_SECONDS = 10.0


def test_a_reader_of_the_log_that_stalls_costs_lines_and_no_answers(tmp_path):
    async def check(site):
        host = site.hosts[0]
        await host.kill()
        reading, writing = os.pipe()
        try:
            # Nobody reads until the load is over.
            await host.start("--log-lines", str(LINES_KEPT), stdout=writing)
            os.close(writing)
            await site.ready(host)
            until = asyncio.get_running_loop().time() + STALLED_SECONDS
            answers = []
            number = 0
            while asyncio.get_running_loop().time() < until:
                batch = []
                for _ in range(20):
                    number += 1
                    job = f"{number:016x}"
                    batch.append(site.submit(host, job, seconds=0.05))
                answers.extend(await asyncio.gather(*batch))
            assert set(answers) == {200}
            text = await site.metrics(host)
            dropped = re.search(r"^log_lines_dropped\S* (\S+)", text, re.MULTILINE)
            assert float(dropped.group(1)) > 0
        finally:
            os.close(reading)

    with_cluster(tmp_path, check, hosts=1)
