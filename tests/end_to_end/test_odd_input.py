"""Host processes beside rows and calls that no writer or caller should have made."""

import asyncio

import msgspec
from common.odd_input import BEYOND_64_BITS, UNREADABLE, with_nested_field
from common.platform_cluster import (
    CONFIG,
    SERVERS,
    WAIT_TIMEOUT_SECONDS,
    run_with_cluster,
)

from zinniatrestle.ids import RowName, TableName
from zinniatrestle.standins.wire import encode_server_row

OPERATOR = TableName("op")
WAVE = {"wave": 7, "machines": ["m-1"], "durationS": 20, "cap": 1}
# Time for a host to end, or to lose its readiness, because of what it has read.
SETTLE_SECONDS = 3.0


def odd_entries(cluster) -> dict[str, bytes]:
    """Return entries that are valid but for one field each, and unreadable ones."""
    worker = next(iter(cluster.fleet.workers.values()))
    address = cluster.worker_addresses[worker.entry.worker]
    entry = msgspec.json.decode(encode_server_row(worker.entry, address))
    odd_capacity = {**entry["capacity"], "cpu": BEYOND_64_BITS}
    negative_capacity = {**entry["capacity"], "memMb": -1}
    entries = {
        "nested": with_nested_field(entry),
        "capacity": msgspec.json.encode({**entry, "capacity": odd_capacity}),
        "negative": msgspec.json.encode({**entry, "capacity": negative_capacity}),
        "born": msgspec.json.encode({**entry, "born": BEYOND_64_BITS}),
        "port": msgspec.json.encode({**entry, "address": "127.0.0.1:99999"}),
    }
    for name, text in UNREADABLE.items():
        entries[name.replace(" ", "-")] = text
    return entries


def odd_operator_rows() -> dict[str, bytes]:
    rows = {"wave/7": with_nested_field(WAVE), "wave/x": b"{}", "other": b"\xff"}
    for number, text in enumerate(UNREADABLE.values(), start=100):
        rows[f"wave/{number}"] = text
    return rows


async def wait_for_line(host, event: str, **fields):
    """Wait until a host has written an event with some fields."""
    async with asyncio.timeout(WAIT_TIMEOUT_SECONDS):
        while not any(
            line["event"] == event and fields.items() <= line.items()
            for line in host.lines()
        ):
            await asyncio.sleep(0.05)


# Guards against one row by which all hosts end their scheduler, or stop following the
# desired state.
def test_jobs_are_done_and_hosts_are_ready_beside_odd_rows(tmp_path):
    async def check(cluster):
        entries, operator_rows = odd_entries(cluster), odd_operator_rows()
        for name, value in entries.items():
            cluster.rows.put(SERVERS, RowName(name), value)
        for name, value in operator_rows.items():
            cluster.rows.put(OPERATOR, RowName(name), value)
        await asyncio.sleep(SETTLE_SECONDS)
        for number, host in enumerate(cluster.hosts):
            job = f"00000000000000c{number}"
            assert await cluster.submit(host, job) == 200
            await cluster.wait_for_state(host, job, "completed")

        damaged = with_nested_field({**CONFIG, "version": 2})
        cluster.rows.put(OPERATOR, RowName("config"), damaged)
        tenant = {"name": "t", "apiKeys": ["newer key"]}
        config = {**CONFIG, "version": 3, "tenants": [tenant]}
        cluster.rows.put(OPERATOR, RowName("config"), msgspec.json.encode(config))
        for host in cluster.hosts:
            await wait_for_line(host, "desired_state", version=3)
            assert await cluster.http_status(host.readiness_port, "/-/ready") == 200
            for key, status in (("key", 401), ("newer key", 410)):
                path = "/q/00000000000000ff"
                assert (await cluster.call(host, "GET", path, key=key))[0] == status

        lines = [line for host in cluster.hosts for line in host.lines()]
        events = [line["event"] for line in lines]
        assert events.count("lease_taken") == 1
        assert "task_failed" not in events
        rejected = [
            (line["host"], line["name"])
            for line in lines
            if line["event"] == "input_rejected"
        ]
        # Each host reads the rows of operators, and one host the registry.
        assert len(rejected) == len(set(rejected))
        rejected_names = {name for _, name in rejected}
        assert rejected_names - {"config"} == {*entries, *operator_rows} - {"other"}

    run_with_cluster(tmp_path, check)


def test_a_host_goes_on_after_bad_calls_and_bad_settings(tmp_path):
    async def check(cluster):
        (host,) = cluster.hosts
        job = {"spec": "text", "steps": [{"count": 1}]}
        # As deep as the body may be long.
        for body in (with_nested_field(job, 4500), *UNREADABLE.values()):
            path = "/q/00000000000000d1"
            status, answer = await cluster.call(host, "POST", path, msgspec.Raw(body))
            is_too_large = len(body) > CONFIG["limits"]["maxBodyBytes"]
            expected = (413, 102) if is_too_large else (400, 100)
            assert (status, answer["code"]) == expected
        assert await cluster.state(host, "00000000000000d1") == "410"

        valid = host.settings.read_text()
        host.settings.write_text("a = " + "[" * 20_000)
        await wait_for_line(host, "reload_failed", code=104)
        host.settings.write_text(valid + "\n[bounds]\nrevokeMs = 6000\n")
        await wait_for_line(host, "reloaded", changed=True)
        assert await cluster.submit(host, "00000000000000d2") == 200
        await cluster.wait_for_state(host, "00000000000000d2", "completed")
        assert "task_failed" not in [line["event"] for line in host.lines()]

    run_with_cluster(tmp_path, check, hosts=1)
