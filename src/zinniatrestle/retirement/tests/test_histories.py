"""Property test of retirement under seeded sequences of faults."""

import asyncio
import random

from common.auditing import Auditor, start_audited_cluster
from common.hosts import (
    ACCOUNT,
    GRACE_SECONDS,
    SERVICE,
    HostCluster,
)
from common.virtual import run
from hypothesis import given, settings
from hypothesis import strategies as st

from zinniatrestle.configuration.messages import (
    RetireAccount,
)
from zinniatrestle.errors import (
    PlatformError,
    ZinniatrestleError,
)
from zinniatrestle.gangs.messages import JobSpec, TaskShape
from zinniatrestle.ids import RequestKey
from zinniatrestle.standins.messages import MinionFaults, WorkerFaults

EIGHT_ACCELERATORS = TaskShape(accelerators=8, cores=8.0, memory_gb=8.0)


EVENTS = st.sampled_from(
    ["freeze", "thaw", "kill", "cut", "heal", "outage", "lose", "slow", "hang", "lost"]
)


@settings(max_examples=40, deadline=None, derandomize=True, database=None)
@given(seed=st.integers(0, 10_000), events=st.lists(EVENTS, min_size=3, max_size=14))
def test_no_certificate_while_anything_runs_under_any_mix_of_faults(seed, events):
    run(retiring_history(seed, events))


async def retiring_history(seed: int, events: list[str]):
    rng = random.Random(seed)
    cluster, auditor = await start_audited_cluster(workers=2)
    for name in cluster.domain_by_host:
        cluster.skews[name] = rng.uniform(-0.4, 0.4)
    names = list(cluster.domain_by_host)
    retire_at = rng.randrange(len(events))
    callers = [asyncio.create_task(send_traffic(cluster, seed, auditor))]
    for number, event in enumerate(events):
        if number == retire_at:
            callers.append(asyncio.create_task(retire_account(cluster)))
            callers.append(asyncio.create_task(keep_proving(cluster, auditor, rng)))
        await inject_fault(cluster, event, rng, names)
        await asyncio.sleep(rng.choice([0.05, 0.5, 3.0]))
    await asyncio.sleep(GRACE_SECONDS)
    await clear_faults(cluster)
    await asyncio.sleep(GRACE_SECONDS + 10)
    for caller in callers:
        caller.cancel()
    assert auditor.violations == []
    auditor.watching.cancel()


async def send_traffic(cluster: HostCluster, seed: int, auditor: Auditor):
    rng = random.Random(seed + 1)
    number = 0
    waiting = set()
    while True:
        number += 1
        host = rng.choice(list(cluster.domain_by_host))
        if host in cluster.hosts:
            kind = rng.choice(["seat-check", "enrol"])
            call = cluster.request(host, kind, f"k{number}", timeout=8.0)
            waiting.add(asyncio.create_task(call))
        if number % 10 == 0 and host in cluster.hosts:
            spec = JobSpec(rng.choice([1, 2]), ["sleep", "15"], EIGHT_ACCELERATORS)
            waiting.add(asyncio.create_task(submit(cluster, host, spec, number)))
        await asyncio.sleep(0.2)


async def submit(cluster: HostCluster, host: str, spec: JobSpec, number: int):
    key = RequestKey(f"job-{number}")
    try:
        await cluster.hosts[host].jobs.submit(ACCOUNT, spec, key)
    except ZinniatrestleError:
        return


async def retire_account(cluster: HostCluster):
    while True:
        for name in list(cluster.hosts):
            try:
                async with asyncio.timeout(3):
                    await cluster.change(RetireAccount(ACCOUNT), name)
                return
            except (ZinniatrestleError, TimeoutError, KeyError):
                await asyncio.sleep(0.2)


async def keep_proving(cluster: HostCluster, auditor: Auditor, rng: random.Random):
    while True:
        await asyncio.sleep(0.5)
        name = rng.choice(list(cluster.domain_by_host))
        if name not in cluster.hosts:
            continue
        try:
            async with asyncio.timeout(8):
                proof = await cluster.prove(name)
        except (ZinniatrestleError, TimeoutError, PlatformError):
            continue
        if proof.sealed is not None:
            auditor.mark_issued()


async def inject_fault(
    cluster: HostCluster, event: str, rng: random.Random, names: list
):
    cluster.set_minion_faults(latency_seconds=rng.choice([0.0, 0.5, 6.0]))
    match event:
        case "freeze":
            name = rng.choice(names)
            if name in cluster.gates:
                cluster.gates[name].freeze()
        case "thaw":
            for gate in cluster.gates.values():
                gate.thaw()
        case "kill":
            name = rng.choice(list(cluster.hosts))
            await cluster.kill(name)
            await cluster.boot(name)
        case "cut":
            cluster.faults.cut_hosts = rng.sample(names, 2)
            for one in cluster.faults.cut_hosts:
                for other in names:
                    if other != one:
                        cluster.cut(one, other)
        case "heal":
            await clear_faults(cluster)
        case "outage":
            cluster.faults.outage = not cluster.faults.outage
        case "lose":
            cluster.faults.lose_answers = not cluster.faults.lose_answers
        case "slow":
            cluster.faults.slow_seconds = rng.choice([0.0, 0.5, 1.5])
        case "hang":
            minion = f"{rng.choice(cluster.domains)}-{SERVICE}-0"
            cluster.minions.faults[minion] = MinionFaults(latency_seconds=20.0)
        case "lost":
            worker = rng.choice(list(cluster.platform.workers.states))
            faults = WorkerFaults(unreachable=rng.random() < 0.5)
            for view in cluster.views.values():
                view.workers.faults[worker] = faults


async def clear_faults(cluster: HostCluster):
    cluster.faults.cut_hosts = []
    cluster.faults.outage = False
    cluster.faults.lose_answers = False
    cluster.faults.slow_seconds = 0.0
    for gate in cluster.gates.values():
        gate.thaw()
    for view in cluster.views.values():
        view.workers.faults.clear()
    for one in cluster.domain_by_host:
        for other in cluster.domain_by_host:
            if one != other:
                cluster.heal(one, other)
