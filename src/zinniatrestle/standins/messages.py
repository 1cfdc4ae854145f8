"""Faults that tests switch on, and what stand-ins tell of themselves."""

import msgspec


class PlatformFaults(msgspec.Struct):
    """Faults of the platform's services; times in seconds."""

    latency_seconds: float = 0.0
    outage: bool = False
    slow_seconds: float = 0.0
    lose_answers: bool = False
    stale_list: bool = False
    cut_hosts: list[str] = []


class MinionFaults(msgspec.Struct):
    """Faults of a minion; times in seconds."""

    latency_seconds: float = 0.0
    fail_everything: bool = False
    hang: bool = False
    cut_body: bool = False
    leaving: bool = False


class WorkerFaults(msgspec.Struct):
    """Faults of one worker; commands in `deaf_to` never reach it."""

    fails_everything: bool = False
    unreachable: bool = False
    deaf_to: list[str] = []


class Run(msgspec.Struct):
    """One attempt that a minion ran; `ended` is 0 while it runs."""

    attempt: str
    account: str
    kind: str
    body: str
    started: float
    ended: float = 0.0


class WorkerStart(msgspec.Struct):
    """One start on a worker."""

    worker: str
    wall: float
    job: str
    attempt: str


class PlatformCounts(msgspec.Struct):
    """How often the table was read and written."""

    reads: int
    commits: int
    rows: int
    largest_value: int
    bytes_in: int = 0
    bytes_out: int = 0
