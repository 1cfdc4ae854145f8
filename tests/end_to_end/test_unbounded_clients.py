"""A host process beside clients that send without end or don't read responses.

Only what doesn't depend on the speed of the machine is asserted: the process stays
alive, its memory and descriptors stay under a bound, and an ordinary request is
answered while the other clients are still connected.
"""

import asyncio

import aiohttp
import msgspec
import pytest
from common.platform_cluster import (
    CONFIG,
    WAIT_TIMEOUT_SECONDS,
    run_with_cluster,
)
from common.process_usage import DescriptorWatch, peak_memory
from common.raw_clients import RawClients

from zinniatrestle.ids import RowName, TableName

MIB = 2**20
MEMORY_MB = 48
MAX_FDS = 400
# The budget for clients is a quarter of the memory; as much again is left for what the
# process allocates otherwise meanwhile.
MAX_GROWTH_BYTES = MEMORY_MB * MIB // 2
# Time for which clients send.
FLOOD_SECONDS = 4.0
MAX_BODY_BYTES = 262_144
QUEUE = b"Host: queue.example\r\nApi-Key: key\r\n"
PIPELINED_BYTES = MIB
BATCH = 64
FILLER = b"a" * 4096


def get(path: bytes, headers: bytes = b"") -> bytes:
    return b"GET " + path + b" HTTP/1.1\r\n" + headers + b"\r\n"


async def answer_of_ordinary_request(cluster, host) -> int:
    """Return the status of a job's submission, tried again until it is accepted."""
    async with asyncio.timeout(WAIT_TIMEOUT_SECONDS):
        while True:
            try:
                async with asyncio.timeout(10.0):
                    status = await cluster.submit(host, "00000000000000f1")
            except (aiohttp.ClientError, TimeoutError):
                status = 0
            if status == 200:
                return status
            await asyncio.sleep(0.2)


def check_clients(
    folder,
    port: str,
    clients: int,
    data: bytes,
    repeated: bytes = b"",
    max_bytes: int = 0,
    limits: dict[str, int] | None = None,
    is_ended: bool = False,
):
    """Check that a host withstands some clients that send to one of its ports.

    `limits` are further limits of the desired state. If `is_ended`, the host has to end
    the connections of these clients.
    """
    desired_limits = {"maxBodyBytes": MAX_BODY_BYTES, **(limits or {})}

    async def check(cluster):
        (host,) = cluster.hosts
        config = {**CONFIG, "version": 2, "limits": desired_limits}
        cluster.rows.put(
            TableName("op"), RowName("config"), msgspec.json.encode(config)
        )
        assert await cluster.submit(host, "00000000000000f0") == 200
        await cluster.wait_for_state(host, "00000000000000f0", "completed")
        await cluster.metrics(host)
        while not any(
            line["event"] == "desired_state" and line.get("version") == 2
            for line in host.lines()
        ):
            await asyncio.sleep(0.05)
        pid = host.process.pid
        before = peak_memory(pid)
        raw = RawClients(getattr(host, port), clients)
        try:
            async with DescriptorWatch(pid) as descriptors:
                sending = asyncio.create_task(raw.run(data, repeated, max_bytes))
                await asyncio.wait([sending], timeout=FLOOD_SECONDS)
                answer = await answer_of_ordinary_request(cluster, host)
                sending.cancel()
                (ended,) = await asyncio.gather(sending, return_exceptions=True)
                if is_ended:
                    async with asyncio.timeout(WAIT_TIMEOUT_SECONDS):
                        await raw.wait_until_ended()
        finally:
            raw.close()
        assert ended is None or isinstance(ended, asyncio.CancelledError)
        assert host.process.returncode is None
        growth = peak_memory(pid) - before
        print(
            f"before {before / MIB:.1f} MB, growth {growth / MIB:.1f} MB, "
            f"descriptors {descriptors.peak}"
        )
        assert answer == 200
        assert growth <= MAX_GROWTH_BYTES
        assert descriptors.peak <= MAX_FDS

    settings = f"[limits]\nmemoryMb = {MEMORY_MB}\nmaxFds = {MAX_FDS}\n"
    run_with_cluster(folder, check, hosts=1, settings=settings)


# Guards against heads that are kept although they are refused.
def test_heads_over_the_limit(tmp_path):
    head = b"GET / HTTP/1.1\r\n" + QUEUE + b"Long: " + b"a" * 80_000
    check_clients(tmp_path, "frontend_port", 300, head, FILLER, 2 * MIB)


# Guards against the sum of many heads that never end.
def test_endless_heads(tmp_path):
    head = b"GET / HTTP/1.1\r\n" + QUEUE
    field = b"Name: " + b"a" * 1000 + b"\r\n"
    check_clients(tmp_path, "frontend_port", 500, head, field, 60_000)


def test_an_endless_header_line(tmp_path):
    head = b"GET / HTTP/1.1\r\n" + QUEUE + b"Long: "
    check_clients(tmp_path, "frontend_port", 500, head, FILLER, 60_000)


# Guards against headers whose objects weigh many times more than their bytes.
def test_heads_of_very_short_headers(tmp_path):
    head = b"GET / HTTP/1.1\r\n" + QUEUE
    check_clients(tmp_path, "frontend_port", 300, head, b"a:b\r\n" * 100, 60_000)


def test_trailers_of_very_short_headers(tmp_path):
    head = b"POST /q/00000000000000f2 HTTP/1.1\r\n" + QUEUE
    head += b"Transfer-Encoding: chunked\r\n\r\n0\r\n"
    check_clients(tmp_path, "frontend_port", 300, head, b"a:b\r\n" * 100, 60_000)


# Guards against empty lines that count for no head.
def test_endless_empty_lines(tmp_path):
    lines = b"\r\n" * 2048
    check_clients(tmp_path, "frontend_port", 200, lines, lines, 2 * MIB, is_ended=True)


# Guards against empty lines that count for no head once a request was served.
@pytest.mark.parametrize(
    "port, path, headers",
    [
        ("frontend_port", b"/q/", b""),
        ("frontend_port", b"/q/", QUEUE),
        ("readiness_port", b"/-/ready", b""),
        ("frontend_port", b"/-/ready", b""),
    ],
    ids=[
        "without-host",
        "with-host-and-key",
        "readiness",
        "readiness-path-at-the-client-address",
    ],
)
def test_endless_empty_lines_between_requests(tmp_path, port, path, headers):
    lines = b"\r\n" * 2048
    data = get(path, headers) + lines
    check_clients(tmp_path, port, 200, data, lines, 2 * MIB, is_ended=True)


# Guards against a head that is measured only if it is the first of its connection.
@pytest.mark.parametrize(
    "port, path, headers",
    [
        ("frontend_port", b"/q/", b""),
        ("frontend_port", b"/q/", QUEUE),
        ("readiness_port", b"/-/ready", b""),
        ("frontend_port", b"/-/ready", b""),
    ],
    ids=[
        "without-host",
        "with-host-and-key",
        "readiness",
        "readiness-path-at-the-client-address",
    ],
)
def test_heads_over_the_limit_behind_other_requests(tmp_path, port, path, headers):
    requests = get(path, headers) * BATCH
    head = b"GET " + path + b" HTTP/1.1\r\n" + headers + b"Long: " + b"a" * 80_000
    check_clients(tmp_path, port, 300, requests + head, FILLER, 2 * MIB)


# Guards against a limit on heads that holds for its default alone.
@pytest.mark.parametrize("field", [b"Name: " + b"a" * 1000 + b"\r\n", b"a:b\r\n" * 100])
def test_endless_heads_under_a_lower_limit(tmp_path, field):
    head = b"GET / HTTP/1.1\r\n" + QUEUE
    limits = {"maxHeaderBytes": 4096}
    check_clients(tmp_path, "frontend_port", 300, head, field, 2 * MIB, limits)


# Guards against requests that are turned into objects before their turn.
@pytest.mark.parametrize(
    "port, path, headers",
    [
        ("frontend_port", b"/q/", b""),
        ("frontend_port", b"/q/", QUEUE),
        ("readiness_port", b"/-/ready", b""),
        ("frontend_port", b"/-/ready", b""),
        ("metrics_port", b"/metrics", b""),
    ],
    ids=[
        "without-host",
        "with-host-and-key",
        "readiness",
        "readiness-path-at-the-client-address",
        "metrics",
    ],
)
def test_pipelined_requests_whose_responses_are_not_read(tmp_path, port, path, headers):
    requests = get(path, headers) * BATCH
    check_clients(tmp_path, port, 10, requests, requests, PIPELINED_BYTES)


# Guards against the sum of many bodies that never end.
def test_stalled_bodies(tmp_path):
    head = (
        b"POST /q/00000000000000f2 HTTP/1.1\r\n" + QUEUE + b"Content-Length: 262000\r\n"
    )
    check_clients(tmp_path, "frontend_port", 300, head + b"\r\n" + b" " * 200_000)


def test_endless_chunked_bodies(tmp_path):
    head = b"POST /q/00000000000000f2 HTTP/1.1\r\n" + QUEUE
    head += b"Transfer-Encoding: chunked\r\n\r\n"
    chunk = b"1000\r\n" + b" " * 4096 + b"\r\n"
    check_clients(tmp_path, "frontend_port", 300, head, chunk, 2 * MIB)


def post(body: bytes) -> bytes:
    head = b"POST /q/00000000000000f2 HTTP/1.1\r\n" + QUEUE
    return head + b"Content-Length: %d\r\n\r\n" % len(body) + body


# Guards against a body whose decoded objects weigh many times more than its bytes, and
# hold up all other requests while they are made.
@pytest.mark.parametrize(
    "body",
    [
        b'{"steps":[' + b"{}," * 80_000 + b"{}]}",
        b'{"steps":[{},{"after":[' + b"0," * 120_000 + b"0]}]}",
        b'{"steps":[{},{"after":[' + b"0," * 45_000 + b"0]}]}",
        b'{"steps":[{},{"image":{' + b'"":0,' * 40_000 + b'"":0}}]}',
    ],
    ids=["steps", "dependencies", "dependencies-that-fit-a-row", "wrong-type"],
)
def test_bodies_of_very_many_parts(tmp_path, body):
    request = post(body)
    check_clients(tmp_path, "frontend_port", 20, request, request, 16 * MIB)


# Guards against a process without a descriptor left for the store and workers.
@pytest.mark.parametrize("port", ["frontend_port", "readiness_port", "metrics_port"])
def test_many_idle_connections(tmp_path, port):
    check_clients(tmp_path, port, 500, b"")
