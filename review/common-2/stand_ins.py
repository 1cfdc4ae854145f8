"""Stand-ins of the platform's store, of minions and of the calls about machines.

They do what PROTOCOL.md says, and where it is silent they answer at once.
"""

import asyncio
import base64
import json
import time
from dataclasses import dataclass, field

from http_stub import Answer, Call, Server

READ_SECONDS = 0.004
TRANSACTION_SECONDS = 0.008
PAGE_ROWS = 500
MAX_ENTRIES = 100
MAX_LISTED_ENDS = 500
HEARTBEAT_SECONDS = 1.5
EXPIRY_HEARTBEATS = 3
TICK_SECONDS = 0.02
MAX_HOLD_MS = 10_000
STOP_MS = 100


class Record:
    """What was sent, answered and run, with the seconds since the start."""

    def __init__(self, path):
        self.file = open(path, "w")
        self.began = time.monotonic()

    def now(self) -> float:
        """Return the seconds since the start."""
        return time.monotonic() - self.began

    def write(self, what: str, **fields):
        """Write one line."""
        words = [f"{name}={value}" for name, value in fields.items()]
        self.file.write(f"{self.now():9.3f} {what} {' '.join(words)}\n")
        self.file.flush()


@dataclass
class Row:
    """A row, or the mark of a dropped one, whose value is None."""

    value: str | None
    ver: int


class Store:
    """The platform's metadata store; each caller has a port of its own."""

    def __init__(self, record: Record, ip: str):
        self.record = record
        self.ip = ip
        self.rows: dict[tuple[str, str, str], Row] = {}
        self.ver = 0
        self.changed = asyncio.Event()
        self.callers: dict[int, str] = {}
        self.servers: list[Server] = []
        # One-way latency in seconds of callers in other regions.
        self.latencies: dict[str, float] = {}
        # Until when writes of a row with this key are done late and not answered.
        self.late_key = ""
        self.late_until = 0.0
        self.late_seconds = 0.0
        # Numbers of the writes asked for, and of those not answered, until then.
        self.asked = 0
        self.lost = 0
        # Which caller last wrote under a condition, and which one last wrote a lease.
        self.last_writer = ""
        self.lease_writer = ""

    async def open_for(self, caller: str) -> str:
        """Return an address for one caller."""
        server = Server(self.handle)
        port = await server.listen(self.ip)
        self.callers[port] = caller
        self.servers.append(server)
        return f"{self.ip}:{port}"

    def put(self, table: str, key: str, value: object):
        """Write or, with None, drop a row as the operator or a minion does."""
        self.ver += 1
        encoded = None
        if value is not None:
            encoded = base64.b64encode(json.dumps(value).encode()).decode()
        self.rows[table, "", key] = Row(encoded, self.ver)
        self._wake()

    def get(self, table: str, key: str) -> object:
        """Return the decoded value of a row in the empty part, or None."""
        row = self.rows.get((table, "", key))
        if row is None or row.value is None:
            return None
        return json.loads(base64.b64decode(row.value))

    def _wake(self):
        changed, self.changed = self.changed, asyncio.Event()
        changed.set()

    def _stamp(self, **fields) -> dict:
        return {"ver": self.ver, "nowMs": int(time.monotonic() * 1000), **fields}

    def _shown(self, name: tuple[str, str, str], row: Row) -> dict:
        table, part, key = name
        shown = {"table": table, "part": part, "key": key, "ver": row.ver}
        if row.value is None:
            return {**shown, "deleted": True}
        return {**shown, "value": row.value}

    async def handle(self, call: Call) -> Answer:
        """Answer a call."""
        latency = self.latencies.get(self.callers[call.port], 0.0)
        if not latency:
            return await self._answer(call)
        await asyncio.sleep(latency)
        answer = await self._answer(call)
        await asyncio.sleep(latency)
        return answer

    async def _answer(self, call: Call) -> Answer:
        if call.path == "/-/rows-get":
            await asyncio.sleep(READ_SECONDS)
            return self._get(call.query)
        if call.path == "/-/rows-feed":
            await asyncio.sleep(READ_SECONDS)
            return await self._feed(call.query)
        if call.path == "/-/rows-tx":
            if time.monotonic() < self.late_until:
                self.asked += 1
                if self._is_lost(call.json()):
                    self.lost += 1
                    self._carry_out_late(call)
                    return Answer(0)
            await asyncio.sleep(TRANSACTION_SECONDS)
            return self._transact(call.json(), self.callers[call.port])
        return Answer(404)

    def _is_lost(self, body: dict) -> bool:
        return any(entry["key"] == self.late_key for entry in body.get("writes", []))

    def _carry_out_late(self, call: Call):
        caller = self.callers[call.port]
        self.record.write("write-lost", key=self.late_key, by=caller)

        def carry_out():
            answer = self._transact(call.json(), caller)
            self.record.write("late-write", key=self.late_key, status=answer.status)

        asyncio.get_running_loop().call_later(self.late_seconds, carry_out)

    def _get(self, query: dict[str, str]) -> Answer:
        table, part = query["table"], query.get("part", "")
        start, end = query.get("from", ""), query.get("target", "")
        limit = min(int(query.get("limit", PAGE_ROWS)), PAGE_ROWS)
        found = []
        for name in sorted(self.rows):
            row = self.rows[name]
            if name[:2] != (table, part) or row.value is None:
                continue
            if name[2] < start or (end and name[2] >= end):
                continue
            found.append(self._shown(name, row))
        more = len(found) > limit
        return Answer(200, self._stamp(rows=found[:limit], hasMore=more))

    async def _feed(self, query: dict[str, str]) -> Answer:
        table, after = query["table"], int(query.get("after", "0"))
        ends_at = time.monotonic() + min(int(query.get("waitMs", "0")), 30_000) / 1000
        while True:
            changed = self.changed
            found = [
                (row.ver, self._shown(name, row))
                for name, row in self.rows.items()
                if name[0] == table and row.ver > after
            ]
            found.sort(key=lambda entry: entry[0])
            remaining = ends_at - time.monotonic()
            if found or remaining <= 0:
                return Answer(200, self._stamp(rows=[shown for _, shown in found]))
            try:
                async with asyncio.timeout(remaining):
                    await changed.wait()
            except TimeoutError:
                continue

    def _transact(self, body: dict, caller: str) -> Answer:
        expected = body.get("expected", [])
        writes, removals = body.get("writes", []), body.get("remove", [])
        if len(expected) + len(writes) + len(removals) > MAX_ENTRIES:
            return Answer(400, self._stamp())
        current, holds = [], True
        for entry in expected:
            name = (entry["table"], entry.get("part", ""), entry["key"])
            row = self.rows.get(name)
            exists = row is not None and row.value is not None
            holds = holds and (row.ver if exists else 0) == entry["ver"]
            if exists:
                current.append(self._shown(name, row))
        if not holds:
            return Answer(412, self._stamp(rows=current))
        for entry in [*writes, *removals]:
            if entry["table"] in ("op", "servers"):
                return Answer(403, self._stamp())
        self.ver += 1
        for entry in writes:
            name = (entry["table"], entry.get("part", ""), entry["key"])
            self.rows[name] = Row(entry.get("value", ""), self.ver)
        for entry in removals:
            name = (entry["table"], entry.get("part", ""), entry["key"])
            self.rows[name] = Row(None, self.ver)
        if expected:
            self.last_writer = caller
        if any(entry["table"] == "leases" for entry in writes):
            self.lease_writer = caller
        for entry in [*writes, *removals]:
            if entry["table"] == "status":
                value = base64.b64decode(entry.get("value", "")).decode()
                self.record.write("status", key=entry["key"], value=value, by=caller)
        self._wake()
        return Answer(200, self._stamp())


@dataclass
class Run:
    """A run of a task at a minion."""

    task: str
    run: int
    begun: float
    seconds: float
    lasts: bool
    startup: float
    # Time at which a stop takes effect.
    stops_at: float | None = None

    def percent(self, now: float) -> int:
        """Return the progress; a task that lasts is at work at 100."""
        whole = self.startup if self.lasts else self.seconds
        if whole <= 0:
            return 100
        return min(100, int(100 * (now - self.begun) / whole))


@dataclass
class Life:
    """One life of a minion: what it runs and has seen."""

    born: int = field(default_factory=lambda: int(time.time() * 1000))
    began: float = field(default_factory=time.monotonic)
    fence: int = 0
    lease_ms: float = 0.0
    running: dict[str, Run] = field(default_factory=dict)
    ended: list[list] = field(default_factory=list)
    count: int = 0
    last_run: dict[str, int] = field(default_factory=dict)
    sequence: int = 0

    def clock_ms(self) -> int:
        """Return the minion's steady clock."""
        return int((time.monotonic() - self.began) * 1000)


class Minion:
    """A minion that runs tasks; the spec says for how long, as JSON."""

    def __init__(self, record: Record, store: Store, machine: str, **entry):
        self.record = record
        self.store = store
        self.machine = machine
        self.entry = entry
        self.id = ""
        self.life = Life()
        self.alive = False
        self.server: Server | None = None
        self.port = 0
        self.changed = asyncio.Event()
        self.tasks: list[asyncio.Task] = []
        # Round trip of a minion in another region; a new connection takes one more.
        self.round_trip = 0.0
        # Run events: (time, kind, minion, machine, task, run, how).
        self.history: list[tuple] = []

    async def begin(self, name: str):
        """Begin a new life under an id, at the address of the one before."""
        self.id = name
        self.life = Life()
        self.alive = True
        self.server = Server(self.handle)
        self.port = await self.server.listen(self.store.ip, self.port)
        self.tasks = [
            asyncio.create_task(self._heartbeats()),
            asyncio.create_task(self._ticks()),
        ]

    def end(self, drop_entry: bool):
        """End this life at once, with all that runs."""
        if not self.alive:
            return
        self.alive = False
        for task in self.tasks:
            task.cancel()
        self.server.close()
        for run in list(self.life.running.values()):
            self._note("lost", run.task, run.run, "gone")
        self.life.running.clear()
        if drop_entry:
            self.store.put("servers", self.id, None)

    def _note(self, kind: str, task: str, run: int, how: str = ""):
        now = self.record.now()
        self.history.append((now, kind, self.id, self.machine, task, run, how))
        self.record.write(kind, minion=self.id, task=task, run=run, how=how)

    async def _heartbeats(self):
        while True:
            self.life.sequence += 1
            entry = {
                "address": f"{self.store.ip}:{self.port}",
                "version": "v1",
                "slots": 8,
                "state": "ready",
                "coldRemainingMs": 0,
                "clockMs": self.life.clock_ms(),
                "sequence": self.life.sequence,
                "born": self.life.born,
                **self.entry,
            }
            self.store.put("servers", self.id, entry)
            await asyncio.sleep(HEARTBEAT_SECONDS)

    async def _ticks(self):
        while True:
            await asyncio.sleep(TICK_SECONDS)
            now = time.monotonic()
            if self.life.clock_ms() > self.life.lease_ms:
                for run in list(self.life.running.values()):
                    self._finish(run, "lapsed")
            for run in list(self.life.running.values()):
                if run.stops_at is not None:
                    if now >= run.stops_at:
                        self._finish(run, "stopped")
                elif not run.lasts and now - run.begun >= run.seconds:
                    self._finish(run, "done")

    def _finish(self, run: Run, how: str):
        life = self.life
        life.running.pop(run.task, None)
        life.last_run[run.task] = max(life.last_run.get(run.task, 0), run.run)
        life.count += 1
        life.ended.append([life.count, run.task, run.run, how, ""])
        self._note("end", run.task, run.run, how)
        changed, self.changed = self.changed, asyncio.Event()
        changed.set()

    def _answer(self, status: int, **fields) -> Answer:
        return Answer(status, {"clockMs": self.life.clock_ms(), **fields})

    def _extend(self, deadline: float | None):
        if deadline is not None:
            longest = self.life.clock_ms() + MAX_HOLD_MS
            self.life.lease_ms = max(self.life.lease_ms, min(deadline, longest))

    async def handle(self, call: Call) -> Answer:
        """Answer a call."""
        life = self.life
        if self.round_trip:
            await asyncio.sleep(self.round_trip * (2 if call.is_first else 1))
        if not self.alive or self.life is not life:
            # The minion that the call had reached is gone.
            return Answer(0)
        if call.path == "/health":
            return Answer(200)
        if call.headers.get("zinniatrestle-expect-instance", self.id) != self.id:
            return self._answer(421)
        body = call.json()
        if body.get("fencingToken", 0) < self.life.fence:
            return self._answer(409, reason="fence")
        self.life.fence = body.get("fencingToken", 0)
        if call.path == "/-/run-start":
            return self._start(body)
        if call.path == "/-/run-stop":
            return self._stop(body)
        if call.path == "/-/hold":
            return await self._hold(body)
        if call.path == "/-/pace":
            return self._answer(200)
        return Answer(404)

    def _start(self, body: dict) -> Answer:
        task, run = body["task"], body["run"]
        there = self.life.running.get(task)
        if there is not None and there.run == run:
            return self._answer(200)
        if there is not None or run <= self.life.last_run.get(task, 0):
            self._extend(body["deadlineMs"])
            return self._answer(409, reason="old")
        if body["deadlineMs"] <= self.life.clock_ms():
            return self._answer(409, reason="late")
        self._extend(body["deadlineMs"])
        spec = json.loads(body["spec"])
        self.life.running[task] = Run(
            task,
            run,
            time.monotonic(),
            spec.get("seconds", 1.0),
            spec.get("lasts", False),
            spec.get("startup", 0.5),
        )
        self._note("start", task, run, f"fence-{body['fencingToken']}")
        return self._answer(200)

    def _stop(self, body: dict) -> Answer:
        task, run = body["task"], body["run"]
        there = self.life.running.get(task)
        last = self.life.last_run
        if there is not None and there.run == run:
            if there.stops_at is None:
                there.stops_at = time.monotonic() + STOP_MS / 1000
                self._note("stop", task, run)
        elif there is None:
            last[task] = max(last.get(task, 0), run)
        return self._answer(200)

    async def _hold(self, body: dict) -> Answer:
        life = self.life
        self._extend(body.get("deadlineMs"))
        seen = body.get("lastSeen", 0)
        life.ended = [end for end in life.ended if end[0] > seen]
        wait = min(body.get("waitMs", 0), 2000) / 1000
        if wait and not life.ended:
            try:
                async with asyncio.timeout(wait):
                    await self.changed.wait()
            except TimeoutError:
                pass
        now = time.monotonic()
        running = [
            [run.task, run.run, "", run.percent(now), 0]
            for run in life.running.values()
        ]
        return self._answer(
            200, running=running, ended=life.ended[:MAX_LISTED_ENDS], born=life.born
        )
