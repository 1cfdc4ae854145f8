"""Injectable faults, and the records that stand-ins report to tests."""

import msgspec


class PlatformFaults(msgspec.Struct):
    """Faults of the platform's services; times in seconds.

    The platform is unavailable to all hosts in an `outage`, and to `cut_hosts` always.
    With `lose_answers` writes are applied and their answers are lost. With `stale_list`
    the list of hosts no longer changes.
    """

    latency_seconds: float = 0.0
    outage: bool = False
    slow_seconds: float = 0.0
    lose_answers: bool = False
    stale_list: bool = False
    cut_hosts: list[str] = []


class MinionFaults(msgspec.Struct):
    """Faults of a minion; times in seconds.

    With `cut_body` the connection closes in the middle of an answer. A `leaving` minion
    declines new attempts.
    """

    latency_seconds: float = 0.0
    fail_everything: bool = False
    hang: bool = False
    cut_body: bool = False
    leaving: bool = False


class WorkerFaults(msgspec.Struct):
    """Faults of one worker; commands named in `deaf_to` never reach it."""

    fails_everything: bool = False
    unreachable: bool = False
    deaf_to: list[str] = []


class Run(msgspec.Struct):
    """One attempt at a minion, with wall times; `ended` is 0 while it runs."""

    attempt: str
    account: str
    kind: str
    body: str
    started: float
    ended: float = 0.0


class WorkerStart(msgspec.Struct):
    """One start of an attempt on a worker; `wall` is its wall time."""

    worker: str
    wall: float
    job: str
    attempt: str


class PlatformCounts(msgspec.Struct):
    """Calls and rows of the table service, and HTTP bytes of the platform.

    `largest_value` is the size in bytes of the largest value of a row.
    """

    reads: int
    commits: int
    rows: int
    largest_value: int
    bytes_in: int = 0
    bytes_out: int = 0
