"""The platform's HTTP calls, served from the in-memory stand-ins, with faults."""

import asyncio
import base64
import contextlib
import random
import socket
from collections.abc import AsyncIterator
from enum import Enum
from typing import Any

import msgspec
import uvicorn
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import Response, StreamingResponse
from starlette.routing import Route

from zinniatrestle.clock import boot_time
from zinniatrestle.errors import HistoryLostError
from zinniatrestle.ids import RowName, RowVersion, TableName
from zinniatrestle.ingress import LimitedServer
from zinniatrestle.rows import Expect, Write
from zinniatrestle.standins.fleet import SimulatedFleet
from zinniatrestle.standins.rows import HostRows, MemoryRows
from zinniatrestle.workers.messages import (
    Refusal,
    RefusedOrderError,
    StartOrder,
    WorkerEntry,
)

# The tables of operators and workers, whose rows have an empty part.
SHARED_TABLES = frozenset({"op", "servers", "status"})
# Longer than any client's timeout.
SILENCE_SECONDS = 30.0
# When a late transaction is applied.
LATE_SECONDS = (1.0, 6.0)
# The number of parts of a TRICKLED answer, and the pause after each.
ANSWER_PARTS = 8
PART_PAUSE_SECONDS = 0.2


class WireFault(Enum):
    """How the stand-in handles calls."""

    NONE = "none"
    # The call has no effect and is answered with status 503.
    BUSY = "busy"
    # The call has no effect and is answered with status 429.
    REFUSED = "refused"
    # The call gets no answer in time and takes effect after SILENCE_SECONDS.
    SILENT = "silent"
    # The call takes effect at once and gets no answer in time.
    LOST = "lost"
    # The connection is closed before the end of the answer.
    CUT = "cut"
    # The last byte of the answer is missing, so it can't be decoded.
    GARBLED = "garbled"
    # The answer is sent in parts, with a pause after each.
    TRICKLED = "trickled"
    # Only the first part of the answer is sent.
    STUCK = "stuck"


class WireStore:
    """The platform's store over HTTP."""

    def __init__(self):
        self.rows = MemoryRows()
        self.host = HostRows(self.rows)
        self.fault = WireFault.NONE
        # The share of transactions that get no answer and are applied seconds later.
        self.late_share = 0.0
        self.random = random.Random(0)
        self.calls: list[str] = []

    def app(self) -> Starlette:
        """Return the ASGI application."""
        return Starlette(
            routes=[
                Route("/-/rows-tx", self.transact, methods=["POST"]),
                Route("/-/rows-get", self.read, methods=["GET"]),
                Route("/-/rows-feed", self.feed, methods=["GET"]),
            ]
        )

    async def transact(self, request: Request) -> Response:
        """Apply a transaction."""
        self.calls.append("rows-tx")
        body = msgspec.json.decode(await request.body())
        expects = [
            Expect(TableName(row["table"]), RowName(row["key"]), RowVersion(row["ver"]))
            for row in body.get("expected", [])
        ]
        writes = []
        for row in body.get("writes", []):
            value = base64.b64decode(row["value"])
            writes.append(Write(TableName(row["table"]), RowName(row["key"]), value))
        for row in body.get("remove", []):
            writes.append(Write(TableName(row["table"]), RowName(row["key"]), None))
        refusal = await self._apply_fault_before()
        if refusal is not None:
            return refusal
        if self.random.random() < self.late_share:
            seconds = self.random.uniform(*LATE_SECONDS)
            loop = asyncio.get_running_loop()
            loop.call_later(seconds, self.rows.apply, expects, writes)
            await asyncio.sleep(SILENCE_SECONDS)
            return Response(status_code=504)
        result = self.rows.apply(expects, writes)
        await self._apply_fault_after()
        rows = [_encode_row(row) for row in result.current.values()]
        status = 200 if result.applied else 412
        return self._answer({"rows": [] if result.applied else rows}, status)

    async def read(self, request: Request) -> Response:
        """Return rows of a table."""
        self.calls.append("rows-get")
        refusal = await self._apply_fault_before()
        if refusal is not None:
            return refusal
        query = request.query_params
        page = await self.host.page(
            TableName(query["table"]),
            RowName(query.get("from", "")),
            RowName(query.get("target", "")),
        )
        await self._apply_fault_after()
        rows = [_encode_row(row) for row in page.rows]
        return self._answer({"rows": rows, "hasMore": page.more})

    async def feed(self, request: Request) -> Response:
        """Return the changes of a table after a version (long poll)."""
        self.calls.append("rows-feed")
        refusal = await self._apply_fault_before()
        if refusal is not None:
            return refusal
        query = request.query_params
        wait = int(query.get("waitMs", "0")) / 1000
        try:
            changes = await self.host.changes(
                TableName(query["table"]),
                RowVersion(int(query["after"])),
                wait,
                SILENCE_SECONDS,
            )
        except HistoryLostError:
            return Response(status_code=410)
        await self._apply_fault_after()
        rows = []
        for change in changes.changes:
            row = {"table": query["table"], "key": change.name, "ver": change.version}
            row["part"] = _part_of(query["table"])
            if change.value is None:
                row["deleted"] = True
            else:
                row["value"] = base64.b64encode(change.value).decode()
            rows.append(row)
        # The store may have newer changes by now, which a later answer has.
        return self._answer({"rows": rows, "ver": changes.version})

    async def _apply_fault_before(self) -> Response | None:
        if self.fault is WireFault.BUSY:
            return Response(status_code=503)
        if self.fault is WireFault.REFUSED:
            return Response(status_code=429)
        if self.fault is WireFault.SILENT:
            await asyncio.sleep(SILENCE_SECONDS)
        return None

    async def _apply_fault_after(self):
        if self.fault is WireFault.LOST:
            await asyncio.sleep(SILENCE_SECONDS)

    def _answer(self, body: dict, status: int = 200) -> Response:
        body = {"ver": self.rows.version, "nowMs": int(boot_time() * 1000), **body}
        data = msgspec.json.encode(body)
        if self.fault is WireFault.GARBLED:
            data = data[:-1]
        if self.fault is WireFault.CUT:
            headers = {"Content-Length": str(len(data) + 1)}
            return Response(data, status, headers, "application/json")
        if self.fault in (WireFault.TRICKLED, WireFault.STUCK):
            parts = self._parts(data)
            return StreamingResponse(parts, status, media_type="application/json")
        return Response(data, status, media_type="application/json")

    async def _parts(self, data: bytes) -> AsyncIterator[bytes]:
        size = len(data) // ANSWER_PARTS + 1
        for start in range(0, len(data), size):
            yield data[start : start + size]
            if self.fault is WireFault.STUCK:
                await asyncio.sleep(SILENCE_SECONDS)
            await asyncio.sleep(PART_PAUSE_SECONDS)


class WireWorker:
    """A worker that gives the answer set by a test and records its calls."""

    def __init__(self):
        self.status = 200
        # A `msgspec.Raw` is sent as it is.
        self.body: Any = {"clockMs": 5000, "running": [], "ended": []}
        self.silent = False
        self.calls: list[tuple[str, dict, str]] = []

    def app(self) -> Starlette:
        """Return the ASGI application."""
        return Starlette(routes=[Route("/-/{call}", self.handle, methods=["POST"])])

    async def handle(self, request: Request) -> Response:
        """Record a call and answer it."""
        body = msgspec.json.decode(await request.body())
        expected = request.headers.get("Zinniatrestle-Expect-Instance", "")
        self.calls.append((request.path_params["call"], body, expected))
        if self.silent:
            await asyncio.sleep(SILENCE_SECONDS)
        is_raw = isinstance(self.body, msgspec.Raw)
        data = bytes(self.body) if is_raw else msgspec.json.encode(self.body)
        return Response(data, self.status, media_type="application/json")


@contextlib.asynccontextmanager
async def serve_app(app: Starlette, http: type | str = "auto") -> AsyncIterator[str]:
    """Serve an application on a free loopback port; yields its `IP:PORT`."""
    listening = socket.socket()
    listening.bind(("127.0.0.1", 0))
    listening.listen()
    config = uvicorn.Config(
        app, http=http, log_config=None, lifespan="off", timeout_graceful_shutdown=0
    )
    server = LimitedServer(config)
    serving = asyncio.create_task(server.serve(sockets=[listening]))
    try:
        yield f"127.0.0.1:{listening.getsockname()[1]}"
    finally:
        server.should_exit = True
        server.force_exit = True
        await serving


def _part_of(table: str) -> str:
    return "" if table in SHARED_TABLES else "jobs"


def _encode_row(row) -> dict:
    return {
        "table": row.table,
        "key": row.name,
        "part": _part_of(row.table),
        "value": base64.b64encode(row.value).decode(),
        "ver": row.version,
    }


REFUSAL_REASONS = {
    Refusal.STALE_GENERATION: "fence",
    Refusal.STALE_RUN: "old",
    Refusal.TOO_LATE: "late",
    Refusal.NO_ROOM: "room",
    Refusal.BAD_TICKET: "ticket",
}


class WireFleetWorker:
    """A worker of a simulated fleet over HTTP."""

    def __init__(self, fleet: SimulatedFleet, entry: WorkerEntry):
        self.fleet = fleet
        self.entry = entry

    def app(self) -> Starlette:
        """Return the ASGI application."""
        return Starlette(
            routes=[
                Route("/-/run-start", self.start, methods=["POST"]),
                Route("/-/run-stop", self.stop, methods=["POST"]),
                Route("/-/hold", self.hold, methods=["POST"]),
            ]
        )

    async def start(self, request: Request) -> Response:
        """Start a run."""
        body = msgspec.json.decode(await request.body())
        order = StartOrder(
            task=body["task"],
            run=body["run"],
            spec=body["spec"],
            deadline_ms=body["deadlineMs"],
            generation=body["fencingToken"],
            checkpoint=body.get("checkpoint", ""),
        )
        try:
            clock_ms = await self.fleet.start(self.entry, order)
        except RefusedOrderError as error:
            return self._refuse(error)
        return self._reply({"clockMs": clock_ms})

    async def stop(self, request: Request) -> Response:
        """Stop a run."""
        body = msgspec.json.decode(await request.body())
        try:
            await self.fleet.stop(
                self.entry, body["task"], body["run"], body["fencingToken"]
            )
        except RefusedOrderError as error:
            return self._refuse(error)
        return self._reply({"clockMs": self._clock_ms()})

    async def hold(self, request: Request) -> Response:
        """Extend the lease of all runs and return the runs and ends."""
        body = msgspec.json.decode(await request.body())
        wait = body.get("waitMs", 0) / 1000
        try:
            answer = await self.fleet.hold(
                self.entry,
                body["fencingToken"],
                body["lastSeen"],
                body.get("deadlineMs"),
                wait,
            )
        except RefusedOrderError as error:
            return self._refuse(error)
        running = [
            [run.task, run.run, run.checkpoint, run.percent, run.load]
            for run in answer.running
        ]
        ended = [
            [end.number, end.task, end.run, end.outcome.value, end.checkpoint]
            for end in answer.ended
        ]
        return self._reply(
            {
                "clockMs": answer.clock_ms,
                "born": answer.instance,
                "running": running,
                "ended": ended,
            }
        )

    def _clock_ms(self) -> int:
        return self.fleet.find_worker(self.entry).clock_ms()

    def _refuse(self, error: RefusedOrderError) -> Response:
        reason = REFUSAL_REASONS.get(error.refusal)
        if reason is None:
            return Response(status_code=503)
        return self._reply({"clockMs": self._clock_ms(), "reason": reason}, 409)

    def _reply(self, body: dict, status: int = 200) -> Response:
        data = msgspec.json.encode(body)
        return Response(data, status, media_type="application/json")


def encode_server_row(entry: WorkerEntry, address: str) -> bytes:
    """Return a worker's entry, encoded as the platform's workers write it."""
    row = {
        "service": entry.service,
        "address": address,
        "zone": entry.domain,
        "version": "v1",
        "slots": 8,
        "state": entry.state.value,
        "coldRemainingMs": 0,
        "capacity": {
            "cpu": entry.cpu,
            "memMb": entry.memory_mb,
            "gpus": entry.gpus,
        },
        "labels": ["a", entry.rack],
        "sequence": entry.sequence,
        "born": entry.instance,
    }
    if entry.remaining is not None:
        row["remainingMs"] = int(entry.remaining * 1000)
    return msgspec.json.encode(row)
