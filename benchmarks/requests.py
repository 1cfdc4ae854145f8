"""Measure requests in virtual time against a baseline in the same run.

`python benchmarks/requests.py policy` compares routing, limits, retries and hedges with
round robin without budget, hedge or ejection; `... claims` compares one transaction for
each claim with batches, on a store limited to 400 writes per second.
"""

import argparse
import asyncio
import random
import statistics
import sys
from collections import Counter
from pathlib import Path

sys.path.insert(0, str(Path(__file__).parents[1] / "tests"))

from absl import logging
from common.hosts import ACCOUNT, LIMA, SERVICE, HostCluster, default_plan
from common.virtual import run

from zinniatrestle.clock import monotonic
from zinniatrestle.errors import ResultCode
from zinniatrestle.ids import ClientAccountId, RequestKey
from zinniatrestle.requests import Request
from zinniatrestle.standins.messages import MinionFaults
from zinniatrestle.store.interfaces import TableService
from zinniatrestle.upstreams.state import MinionState

MINIONS = 12
LOAD_SECONDS = 4.0
LATENCY_SECONDS = 0.03
OBJECTIVE_SECONDS = 0.25
TIMEOUT_SECONDS = 2.0
STORE_WRITES_PER_SECOND = 400.0
GUEST = ClientAccountId("guest")


class RoundRobin:
    """Choose minions in turn among those with a free slot for this host."""

    def __init__(self, pool):
        self.pool = pool
        self.next_index = 0

    def choose(self, service, tried):
        """Take a slot on the next minion, or return None."""
        minions = list(self.pool.minions.values())
        for _ in minions:
            self.next_index += 1
            minion = minions[self.next_index % len(minions)]
            if minion.in_use < minion.limit and minion.address.minion not in tried:
                minion.in_use += 1
                return minion
        return None


def disable_policies(cluster: HostCluster):
    """Replace routing by round robin; disable ejection, hedges and budgets."""
    for host in cluster.hosts.values():
        host.pool.choose = RoundRobin(host.pool).choose
        host.pool.record_failure = lambda minion: None
        host.sender.hedging = False
        host.sender.limit_retries = False
        host.sender._queue_limit = lambda admitted: admitted.plan.queue_limit


class Scenario:
    """Send seat checks at a rate while a share of the minions has faults.

    `load` is the rate relative to the capacity of all minions.
    """

    def __init__(self, name: str, load: float, share: float, faults: MinionFaults):
        self.name = name
        self.load = load
        self.share = share
        self.faults = faults

    async def run(self, seed: int, baseline: bool) -> dict[str, float]:
        """Run the scenario and return its figures by heading."""
        rng = random.Random(seed)
        plan = default_plan([LIMA], queue_limit=256)
        plan["kinds"][0]["objective"] = {
            "latency_ms": 1000 * OBJECTIVE_SECONDS,
            "target": 0.99,
        }
        cluster = await HostCluster.start([LIMA], plan, minions=MINIONS, workers=1)
        await cluster.apply_account(GUEST, plan)
        await asyncio.sleep(2)
        if baseline:
            disable_policies(cluster)
        names = list(cluster.hosts)
        faulty = range(int(self.share * MINIONS))

        def set_faults():
            cluster.set_minion_faults(latency_seconds=LATENCY_SECONDS)
            for number in faulty:
                cluster.minions.faults[f"{LIMA}-{SERVICE}-{number}"] = self.faults

        cluster.set_minion_faults(latency_seconds=LATENCY_SECONDS)
        for number in range(200):
            await cluster.request(names[number % 2])
        set_faults()
        rate = self.load * MINIONS * 8 / LATENCY_SECONDS
        sent = []
        started = monotonic()
        while monotonic() - started < LOAD_SECONDS:
            # One in three requests is from the measured account.
            account = ACCOUNT if rng.random() < 1 / 3 else GUEST
            call = self.send(cluster, rng.choice(names), account)
            sent.append(asyncio.create_task(call))
            await asyncio.sleep(rng.expovariate(rate))
        answers = [task for task in await asyncio.gather(*sent) if task is not None]
        return self.figures(answers, cluster)

    async def send(self, cluster: HostCluster, host: str, account: ClientAccountId):
        """Send one request; return its code and latency, or None if not measured."""
        started = monotonic()
        request = Request(account, SERVICE, "seat-check", b"{}", TIMEOUT_SECONDS)
        answer = await cluster.hosts[host].handler.handle(request)
        if account != ACCOUNT:
            return None
        return answer.code, monotonic() - started

    def figures(self, answers, cluster: HostCluster) -> dict[str, float]:
        """Return the figures of a run by heading."""
        codes = Counter(code for code, _ in answers)
        good = sorted(seconds for code, seconds in answers if code is ResultCode.OK)
        in_time = sum(seconds <= OBJECTIVE_SECONDS for seconds in good)
        ejected = 0
        for host in cluster.hosts.values():
            for minion in host.pool.minions.values():
                ejected += minion.state is MinionState.EJECTED
        return {
            "answered": round(codes[ResultCode.OK] / len(answers), 4),
            "within_250_ms": round(in_time / len(answers), 4),
            "p50_ms": round(1000 * statistics.median(good), 1) if good else "-",
            "p99_ms": round(1000 * good[int(0.99 * len(good))], 1) if good else "-",
            "failed_or_unknown": codes[ResultCode.UPSTREAM_FAILED]
            + codes[ResultCode.UNKNOWN],
            "refused": len(answers)
            - codes[ResultCode.OK]
            - codes[ResultCode.UNKNOWN]
            - codes[ResultCode.UPSTREAM_FAILED],
            "sent_per_request": round(
                len(cluster.minions.runs) / max(1, 3 * len(answers)), 2
            ),
        }


SCENARIOS = [
    Scenario("calm, 60% load", 0.6, 0.0, MinionFaults()),
    Scenario("burst, 4 times capacity", 4.0, 0.0, MinionFaults()),
    Scenario("a third slow (1 s)", 0.4, 0.34, MinionFaults(latency_seconds=1.0)),
    Scenario("a third fails all", 0.4, 0.34, MinionFaults(fail_everything=True)),
    Scenario("a third hangs", 0.4, 0.34, MinionFaults(hang=True)),
]


def policy(seeds: int):
    """Print a row for each scenario, policy and seed."""
    first = True
    for scenario in SCENARIOS:
        for baseline in (True, False):
            for seed in range(seeds):
                row = run(scenario.run(seed, baseline))
                if first:
                    print(f"| scenario | policy | seed | {' | '.join(row)} |")
                    print("|" + " --- |" * (len(row) + 3))
                    first = False
                name = "baseline" if baseline else "zinniatrestle"
                values = " | ".join(str(value) for value in row.values())
                print(f"| {scenario.name} | {name} | {seed} | {values} |", flush=True)


class RateLimitedTable(TableService):
    """A table service that serializes commits at a limited rate."""

    def __init__(self, inner: TableService, writes_per_second: float):
        self.inner = inner
        self.seconds = 1 / writes_per_second
        self.free_at = 0.0

    async def read(self, keys):
        """Return rows by key."""
        return await self.inner.read(keys)

    async def scan(self, prefix, after, limit):
        """Return rows by prefix."""
        return await self.inner.scan(prefix, after, limit)

    async def commit(self, transaction):
        """Commit after the commits ahead of it."""
        self.free_at = max(self.free_at, monotonic()) + self.seconds
        await asyncio.sleep(self.free_at - monotonic())
        return await self.inner.commit(transaction)


async def run_claims(batch: int, rate: float) -> dict[str, float]:
    """Send enrolments at a rate and return the figures."""
    rng = random.Random(1)
    cluster = await HostCluster.start(
        [LIMA],
        default_plan([LIMA], queue_limit=4096),
        hosts=3,
        minions=24,
        claim_batch=batch,
    )
    cluster.set_minion_faults(latency_seconds=LATENCY_SECONDS)
    rate_limited = RateLimitedTable(cluster.platform.table, STORE_WRITES_PER_SECOND)
    for host in cluster.hosts.values():
        host.claims.table = rate_limited
    names = list(cluster.hosts)
    before = cluster.platform.table.state.commits
    sent = []
    started = monotonic()
    while monotonic() - started < LOAD_SECONDS:
        key = RequestKey(f"k{len(sent)}")
        sent.append(asyncio.create_task(send_claim(cluster, rng.choice(names), key)))
        await asyncio.sleep(rng.expovariate(rate))
    answers = await asyncio.gather(*sent)
    good = sorted(seconds for code, seconds in answers if code is ResultCode.OK)
    commits = cluster.platform.table.state.commits - before
    return {
        "answered": round(len(good) / len(answers), 4),
        "p50_ms": round(1000 * statistics.median(good), 1) if good else "-",
        "p99_ms": round(1000 * good[int(0.99 * len(good))], 1) if good else "-",
        "writes_per_request": round(commits / len(answers), 3),
        "runs_per_key_max": max(
            Counter(one.body for one in cluster.minions.runs).values()
        ),
    }


async def send_claim(cluster: HostCluster, host: str, key: RequestKey):
    """Send one enrolment and return its code and latency."""
    started = monotonic()
    request = Request(ACCOUNT, SERVICE, "enrol", key.encode(), TIMEOUT_SECONDS, key)
    answer = await cluster.hosts[host].handler.handle(request)
    return answer.code, monotonic() - started


def claims():
    """Print a row for each batch size and rate."""
    first = True
    for rate in (100, 200, 400, 800, 1600):
        for batch in (1, 64):
            row = run(run_claims(batch, rate))
            if first:
                print(f"| requests a second | batch | {' | '.join(row)} |")
                print("|" + " --- |" * (len(row) + 2))
                first = False
            values = " | ".join(str(value) for value in row.values())
            print(f"| {rate} | {batch} | {values} |", flush=True)


def main():
    """Run the measurement named on the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("what", choices=["policy", "claims"])
    parser.add_argument("--seeds", type=int, default=2)
    options = parser.parse_args()
    logging.set_verbosity(logging.ERROR)
    if options.what == "claims":
        claims()
        return
    policy(options.seeds)


if __name__ == "__main__":
    main()
