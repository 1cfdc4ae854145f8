"""Settings, metrics and log lines of the limits for clients, on real processes."""

import asyncio
import os
import re
import subprocess
import sys

import msgspec
import pytest
from common.platform_cluster import CONFIG, WAIT_TIMEOUT_SECONDS, run_with_cluster
from common.processes import ProcessCluster, eventually
from common.raw_clients import RawClients
from common.raw_http import exchange, raw_call

from zinniatrestle.ids import RowName, TableName

CALLER = {"Host": "queue.example", "Api-Key": "key", "Connection": "keep-alive"}
PATH = "/q/00000000000000ff"
CHUNKED = {"Transfer-Encoding": "chunked"}
MAX_BODY_BYTES = 262_144


async def wait_for_line(host, event: str, **fields):
    async with asyncio.timeout(WAIT_TIMEOUT_SECONDS):
        while not any(
            line["event"] == event and fields.items() <= line.items()
            for line in host.lines()
        ):
            await asyncio.sleep(0.05)


def value(metrics: str, name: str, label: str = "") -> float:
    pattern = rf"^{name}(?:_total)?{{[^}}]*{label}[^}}]*}} (\S+)"
    found = re.search(pattern, metrics, re.MULTILINE)
    return float(found[1]) if found else 0.0


# Guards against limits that nobody can see at work.
def test_limits_show_in_metrics_and_in_the_log(tmp_path):
    async def check(cluster):
        (host,) = cluster.hosts
        address = f"127.0.0.1:{host.frontend_port}"
        long = raw_call("GET", "/", {"Long": "a" * 70_000})
        assert (await exchange(address, long)).code == 102
        await wait_for_line(host, "connection_limit", cause="head_too_large")
        idle = RawClients(host.frontend_port, 20)
        await idle.run(b"")
        await wait_for_line(host, "connection_limit", cause="connections")
        metrics = await cluster.metrics(host)
        idle.close()
        assert 1 <= value(metrics, "connections_open", 'listener="callers"') <= 5
        assert value(metrics, "connections_open", 'listener="metrics"') >= 1
        assert value(metrics, "connections_closed", 'cause="connections"') >= 15
        refused = 'cause="head_too_large"'
        assert value(metrics, "calls_refused_at_ingress", refused) == 1
        assert value(metrics, "ingress_buffer_bytes") > 8192
        assert await cluster.http_status(host.readiness_port, "/-/ready") == 200

    run_with_cluster(
        tmp_path, check, hosts=1, environment={"ZINNIATRESTLE_MAX_CONNECTIONS": "5"}
    )


# Guards against limits of the desired state that hold for new connections only.
def test_a_new_desired_state_limits_the_next_request_of_a_connection(tmp_path):
    async def check(cluster):
        (host,) = cluster.hosts
        reader, writer = await asyncio.open_connection("127.0.0.1", host.frontend_port)
        data = raw_call("GET", PATH, {**CALLER, "Long": "a" * 20_000})
        writer.write(data)
        async with asyncio.timeout(WAIT_TIMEOUT_SECONDS):
            assert b" 410 " in await reader.readline()
        config = {**CONFIG, "version": 2, "limits": {"maxHeaderBytes": 10_000}}
        encoded = msgspec.json.encode(config)
        cluster.rows.put(TableName("op"), RowName("config"), encoded)
        await wait_for_line(host, "desired_state", version=2)
        writer.write(data)
        async with asyncio.timeout(WAIT_TIMEOUT_SECONDS):
            assert b" 413 " in await reader.read()
        writer.close()

    run_with_cluster(tmp_path, check, hosts=1)


# Guards against limits that a single request inside them meets.
def test_requests_just_inside_the_limits_are_served(tmp_path):
    steps = msgspec.json.encode({"steps": [{"cpu": 1}] * 1000})
    step = msgspec.json.encode({"steps": [{"cpu": 1}]})
    padded = step.ljust(MAX_BODY_BYTES)
    chunked = b"%x\r\n%b\r\n0\r\n\r\n" % (len(padded), padded)
    post = {**CALLER, "Connection": "close"}
    calls = {
        "a long head": (410, raw_call("GET", PATH, {**post, "Long": "a" * 65_000})),
        "empty lines": (410, b"\r\n" * 1000 + raw_call("GET", PATH, post)),
        "a long body of many steps": (
            200,
            raw_call("POST", "/q/00000000000000e1", post, steps.ljust(MAX_BODY_BYTES)),
        ),
        "a long body in a chunk": (
            200,
            raw_call(
                "POST", "/q/00000000000000e2", {**post, **CHUNKED}, chunked
            ).replace(b"Content-Length: %d\r\n" % len(chunked), b""),
        ),
        "readiness": (200, raw_call("GET", "/-/ready", {"Connection": "close"})),
    }

    async def check(cluster):
        (host,) = cluster.hosts
        config = {**CONFIG, "version": 2, "limits": {"maxBodyBytes": MAX_BODY_BYTES}}
        encoded = msgspec.json.encode(config)
        cluster.rows.put(TableName("op"), RowName("config"), encoded)
        await wait_for_line(host, "desired_state", version=2)
        for name, (status, data) in calls.items():
            port = host.readiness_port if name == "readiness" else host.frontend_port
            answer = await exchange(f"127.0.0.1:{port}", data)
            assert (name, answer.status) == (name, status)

    run_with_cluster(
        tmp_path,
        check,
        hosts=1,
        settings="[limits]\nmemoryMb = 200\nmaxFds = 400\n",
    )


@pytest.mark.parametrize(
    "flag, value",
    [
        ("--client-memory-share", "0"),
        ("--body-timeout", "nan"),
        ("--write-timeout", "0"),
        ("--max-connections", "-1"),
        ("--unknown-cancel-rate", "0"),
        ("--unknown-cancel-rate", "inf"),
        ("--work-memory-share", "0"),
        ("--work-memory-share", "1.5"),
    ],
)
def test_an_invalid_flag_is_refused_at_startup(tmp_path, flag, value):
    settings = tmp_path / "settings.toml"
    settings.write_text("")
    command = [sys.executable, "-m", "zinniatrestle.platform"]
    ended = subprocess.run(
        [*command, "--settings", str(settings), f"{flag}={value}"],
        env=dict(os.environ),
        capture_output=True,
        text=True,
        timeout=60,
    )
    assert ended.returncode == 2
    assert "BAD_SETTING (104)" in ended.stderr and flag in ended.stderr


# Guards against a daemon of the product's own that has no limits.
def test_the_own_daemon_limits_its_clients():
    async def scenario():
        async with ProcessCluster(["lima"]) as cluster:
            host = next(iter(cluster.hosts.values()))
            address = host.url.removeprefix("http://")
            answer = await exchange(
                address, raw_call("GET", "/", {"Long": "a" * 70_000})
            )
            assert (answer.status, answer.code) == (413, 102)
            client = cluster.client(host.name)

            async def counted():
                view = await client.operator("GET", "/host", msgspec.Raw)
                metrics = msgspec.json.decode(view)["metrics"]
                return (
                    metrics["calls.refused_at_ingress"] == 1
                    and metrics["connections.open"] >= 1
                )

            assert await eventually(counted, "the refusal is counted")

    asyncio.run(scenario())
