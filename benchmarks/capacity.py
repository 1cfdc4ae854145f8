"""Measure the growth rates that docs/CAPACITY.md uses.

`python benchmarks/capacity.py` prints each measure at three or more sizes, its linear
fit, and the value of the fit at the design size.
"""

import asyncio
import gc
import random
import statistics
import sys
import time
import tracemalloc
from collections.abc import Callable
from pathlib import Path

sys.path.insert(0, str(Path(__file__).parents[1] / "tests"))

import msgspec

from zinniatrestle.burn.state import RequestSeries
from zinniatrestle.clock import LoopClock
from zinniatrestle.configuration import ConfigurationState
from zinniatrestle.configuration.messages import (
    ApplyAccount,
    ChangeAccount,
    ChangeRecord,
    PutTemplate,
    Template,
)
from zinniatrestle.gangs.guarantees import Binding, GuaranteeRule, bind, demands_of
from zinniatrestle.gangs.inventory import Inventory, WorkerCapacity
from zinniatrestle.gangs.messages import JobRow, JobSpec, JobState, TaskShape
from zinniatrestle.gangs.order import AttainedServiceOrder
from zinniatrestle.gangs.placement import BestFitRack
from zinniatrestle.gangs.planner import Planner, RoundInput
from zinniatrestle.gangs.state import Gang
from zinniatrestle.ids import RackId
from zinniatrestle.peers.messages import Frame, Heartbeat, decode, encode
from zinniatrestle.store.embedded import EmbeddedHostList
from zinniatrestle.store.messages import (
    HostRole,
    ListedHost,
    Renew,
    Renewal,
    Reserve,
)
from zinniatrestle.store.state import WorkerState

DOMAIN = "d1"
SEED = 7
REPEATS = 7


def list_workers(workers: int) -> list[ListedHost]:
    """Return a list of workers; one in 11 has two accelerators, the others one."""
    listed = []
    for number in range(workers):
        listed.append(
            ListedHost(
                f"w{number}",
                HostRole.WORKER,
                DOMAIN,
                "127.0.0.1:1",
                rack=RackId(f"r{number // 8}"),
                accelerators=2 if number % 11 == 0 else 1,
                cores=32.0,
                memory_gb=128.0,
            )
        )
    return listed


def build_configuration(accounts: int, guaranteed: int = 0) -> ConfigurationState:
    """Return a configuration with one template and `accounts` accounts.

    `guaranteed` is the number of accelerators guaranteed to each account.
    """
    state = ConfigurationState()
    plan = {"domains": [DOMAIN], "slot_share": 1}
    if guaranteed:
        cell = {"domain": DOMAIN, "cell": "accelerator", "count": guaranteed}
        plan["guarantees"] = [cell]
    template = Template("t", plan)
    state.apply(ChangeRecord(1, "token", 0.0, PutTemplate(template)))
    for number in range(accounts):
        change = ApplyAccount(f"a{number}", "t", f"digest-{number}")
        state.apply(ChangeRecord(number + 2, f"token-{number}", 0.0, change))
    return state


def median_milliseconds(work: Callable[[], object]) -> float:
    """Return the median CPU time of a call in milliseconds."""
    times = []
    for _ in range(REPEATS):
        started = time.process_time()
        work()
        times.append(1000 * (time.process_time() - started))
    return statistics.median(times)


def retained_kibibytes(build: Callable[[], object]) -> float:
    """Return the memory that a structure retains, in KiB."""
    gc.collect()
    tracemalloc.start()
    structure = build()
    gc.collect()
    size = tracemalloc.get_traced_memory()[0] / 1024
    tracemalloc.stop()
    del structure
    return size


def running_gangs(listed: list[ListedHost], tasks: int, accounts: int) -> list[Gang]:
    """Return running gangs of up to 64 tasks with their placements."""
    rng = random.Random(SEED)
    inventory = Inventory(WorkerCapacity(host) for host in listed)
    gangs = []
    placed = 0
    while placed < tasks:
        size = min(tasks - placed, rng.choice([1, 2, 4, 8, 16, 32, 64]))
        shape = TaskShape(0, cores=2.0, memory_gb=4.0)
        if rng.random() < 0.05:
            shape = TaskShape(1, cores=2.0, memory_gb=4.0)
            size = min(size, 8)
        slots = BestFitRack().place(inventory, size, shape, None)
        if slots is None:
            continue
        inventory.hold(slots, shape)
        row = JobRow(
            f"j{len(gangs)}",
            f"a{rng.randrange(accounts)}",
            2,
            JobSpec(size, ["sleep", "3600"], shape),
            DOMAIN,
            0.0,
            state=JobState.RUNNING,
            attempt=f"attempt-{len(gangs)}",
            placement=slots,
        )
        gangs.append(Gang(row))
        placed += size
    return gangs


def waiting_gangs(count: int, accounts: int) -> list[Gang]:
    """Return waiting gangs."""
    rng = random.Random(SEED + 1)
    gangs = []
    for number in range(count):
        size = rng.choice([1, 4, 16, 64])
        shape = TaskShape(rng.choice([0, 1]), cores=2.0, memory_gb=4.0)
        account = f"a{rng.randrange(accounts)}"
        spec = JobSpec(size, ["sleep", "3600"], shape)
        row = JobRow(f"q{number}", account, 2, spec, DOMAIN, float(number))
        gangs.append(Gang(row))
    return gangs


def planner_round_milliseconds(workers: int) -> float:
    """Return the CPU time of a round; tasks and accounts scale with the workers."""
    accounts = max(1, 140 * workers // 920)
    listed = list_workers(workers)
    state = build_configuration(accounts, 2)
    running = running_gangs(listed, 11_000 * workers // 920, accounts)
    waiting = waiting_gangs(max(1, 60 * workers // 920), accounts)
    planner = Planner(AttainedServiceOrder(), BestFitRack())
    binding = bind(demands_of(state, DOMAIN), listed, Binding())

    def work():
        inventory = Inventory(WorkerCapacity(host) for host in listed)
        for gang in running:
            inventory.hold(gang.row.placement, gang.row.spec.shape)
        round_input = RoundInput(inventory, binding, state, running, waiting, 100_000.0)
        planner.plan(round_input)

    return median_milliseconds(work)


def acceptance_milliseconds(workers: int) -> float:
    """Return the CPU time to check a change against all guarantees."""
    state = build_configuration(max(1, 140 * workers // 920), 2)
    rule = GuaranteeRule(EmbeddedHostList(list_workers(workers)))

    def work():
        after = state.copy()
        change = ChangeAccount("a0", {})
        after.apply(ChangeRecord(after.revision + 1, "token", 0.0, change))
        asyncio.run(rule.check(after))

    return median_milliseconds(work)


def apply_change_milliseconds(accounts: int) -> float:
    """Return the CPU time in which a host applies one change."""
    state = build_configuration(accounts)

    def work():
        for _ in range(20):
            change = ChangeAccount("a0", {})
            state.apply(ChangeRecord(state.revision + 1, "token", 0.0, change))

    return median_milliseconds(work) / 20


def snapshot_kibibytes(accounts: int) -> float:
    """Return the size of a snapshot in KiB."""
    return len(msgspec.msgpack.encode(build_configuration(accounts).snapshot())) / 1024


def heartbeat_cost(services: int) -> tuple[float, float]:
    """Return the bytes of a heartbeat and the microseconds to encode and decode it."""
    slots = {f"service-{number}": 8 for number in range(services)}
    frame = Frame(0, Heartbeat(1200, 1_800_000_000.0, free_slots=slots))
    data = encode(frame)

    def work():
        for _ in range(500):
            decode(encode(frame))

    return len(data) + 4, median_milliseconds(work) * 2


def renewal_cost(tasks: int) -> tuple[float, float]:
    """Return the bytes and microseconds of one poll of a worker with `tasks` leases."""

    async def measure():
        state = WorkerState(list_workers(1)[0], LoopClock())
        state.listed = msgspec.structs.replace(state.listed, cores=1e9, memory_gb=1e9)
        renewals = []
        for number in range(tasks):
            attempt = f"{number:020d}"
            reserve = Reserve(
                attempt, attempt, "a1", 2, 1, [], start_by=9e9, expires=9e9
            )
            state.reserve(reserve)
            renewals.append(Renewal(attempt, 9e9))
        command = Renew(renewals, 1)
        sent = msgspec.msgpack.encode(command)
        got = msgspec.msgpack.encode(state.renew(command))
        report_type = type(state.report())

        def work():
            for _ in range(200):
                msgspec.msgpack.encode(command)
                msgspec.msgpack.decode(got, type=report_type)

        return len(sent) + len(got), median_milliseconds(work) * 5

    return asyncio.run(measure())


def print_fit(name: str, unit: str, points: dict[int, float], at: int):
    """Print a row with the points, their linear fit and its value at a size."""
    slope, base = statistics.linear_regression(list(points), list(points.values()))
    shown = ", ".join(f"{size}: {value:.3g}" for size, value in points.items())
    print(
        f"| {name} | {shown} | {base:.3g} + {slope:.3g} n | {base + slope * at:.3g} "
        f"{unit} at {at} |"
    )


def main():
    """Print a row for each measure."""
    print("| measure | points | fit | at the size |\n| --- | --- | --- | --- |")
    sizes = [58, 115, 230, 460, 920]
    rounds = {size: planner_round_milliseconds(size) for size in sizes}
    print_fit("planner round, per workers of the domain", "ms", rounds, 230)
    print_fit("planner round, were all one domain", "ms", rounds, 920)
    accepted = {size: acceptance_milliseconds(size) for size in sizes}
    print_fit("acceptance of a change, per workers", "ms", accepted, 920)
    accounts = [35, 70, 140, 280]
    applied = {size: apply_change_milliseconds(size) for size in accounts}
    print_fit("change put in force, per accounts", "ms", applied, 140)
    snapshots = {size: snapshot_kibibytes(size) for size in accounts}
    print_fit("snapshot, per accounts", "KiB", snapshots, 140)
    memory = {
        size: retained_kibibytes(lambda n=size: build_configuration(n))
        for size in accounts
    }
    print_fit("configuration in memory, per accounts", "KiB", memory, 140)
    listed = list_workers(920)
    held = {
        size: retained_kibibytes(lambda n=size: running_gangs(listed, n, 140))
        for size in (690, 1375, 2750)
    }
    print_fit("gangs in memory, per running tasks", "KiB", held, 2750)
    capacities = {
        size: retained_kibibytes(
            lambda n=size: Inventory(WorkerCapacity(h) for h in list_workers(n))
        )
        for size in (115, 230, 460)
    }
    print_fit("workers in memory, per workers", "KiB", capacities, 230)
    series = {
        size: retained_kibibytes(lambda n=size: [RequestSeries() for _ in range(n)])
        for size in (35, 140, 420)
    }
    print_fit("burn counts in memory, per account and kind", "KiB", series, 420)
    heartbeats = {size: heartbeat_cost(size) for size in (1, 2, 4)}
    print_fit(
        "heartbeat, per services", "B", {n: v[0] for n, v in heartbeats.items()}, 2
    )
    print_fit(
        "heartbeat, per services", "us", {n: v[1] for n, v in heartbeats.items()}, 2
    )
    polls = {size: renewal_cost(size) for size in (1, 6, 12, 24)}
    print_fit("poll body, per leases", "B", {n: v[0] for n, v in polls.items()}, 12)
    print_fit("poll codec, per leases", "us", {n: v[1] for n, v in polls.items()}, 12)


if __name__ == "__main__":
    main()
