"""Faults for the parts of a model; each is injected and removed again."""

import asyncio
import random
from collections.abc import Callable, Coroutine
from typing import Any

from zinniatrestle.clock import monotonic
from zinniatrestle.standins.fleet import EXPIRY_HEARTBEATS
from zinniatrestle.standins.model import Model, ModelHost
from zinniatrestle.standins.rows import Reachability
from zinniatrestle.standins.runs import FaultMode, SimulatedWorker

Fault = Callable[[Model, random.Random], Coroutine[Any, Any, None]]


async def inject_faults(model: Model, rng: random.Random, faults: list[Fault]):
    """Inject randomly chosen faults, which may overlap, until cancelled."""
    while True:
        await asyncio.sleep(rng.uniform(0.5, 3.0))
        fault = rng.choice(faults)
        model.callers.add(asyncio.create_task(inject_fault(fault, model, rng)))


async def inject_fault(fault: Fault, model: Model, rng: random.Random):
    """Inject a fault, and record the time in which it disturbs the model."""
    if not model.fleet.workers:
        return
    fault_task = asyncio.create_task(fault(model, rng))
    while not fault_task.done():
        model.disturbance_times.append(monotonic())
        await asyncio.sleep(0.5)
    model.disturbance_times.append(monotonic())
    await fault_task


async def kill_leader(model: Model, rng: random.Random):
    host = model.leader()
    if host is None:
        return
    await host.kill()
    await asyncio.sleep(rng.uniform(0.3, 4.0))
    start_if_down(host)


async def kill_any_host(model: Model, rng: random.Random):
    host = rng.choice(model.hosts)
    if not host.alive:
        return
    await host.kill()
    await asyncio.sleep(rng.uniform(0.3, 2.0))
    start_if_down(host)


def start_if_down(host: ModelHost):
    """Start a host unless a fault that overlaps has started it."""
    if not host.alive:
        host.start()


async def partition_leader_from_store(model: Model, rng: random.Random):
    host = model.leader()
    if host is None:
        return
    host.store.reachability = rng.choice([Reachability.SILENT, Reachability.REFUSED])
    await asyncio.sleep(rng.uniform(1.0, 6.0))
    host.store.reachability = Reachability.SERVED


async def store_outage(model: Model, rng: random.Random):
    reachability = rng.choice([Reachability.SILENT, Reachability.REFUSED])
    for host in model.hosts:
        host.store.reachability = reachability
    await asyncio.sleep(rng.uniform(1.0, 6.0))
    for host in model.hosts:
        host.store.reachability = Reachability.SERVED


async def lose_answers_to_leader(model: Model, rng: random.Random):
    """Lose the answers to the leader's writes while its reads are served."""
    host = model.leader()
    if host is None:
        return
    host.store.lost_answer_share = 1.0
    host.store.late_commit_share = rng.choice([0.0, 0.5, 1.0])
    await asyncio.sleep(rng.uniform(0.5, 4.0))
    host.store.lost_answer_share = 0.0


async def lose_store_answers(model: Model, rng: random.Random):
    for host in model.hosts:
        host.store.lost_answer_share, host.store.late_commit_share = 0.3, 0.5
    await asyncio.sleep(3.0)
    for host in model.hosts:
        host.store.lost_answer_share = 0.0


async def drop_change_history(model: Model, rng: random.Random):
    model.rows.drop_history()


async def delay_orders(model: Model, rng: random.Random):
    model.fleet.late_order_share = 0.1
    await asyncio.sleep(4.0)
    model.fleet.late_order_share = 0.0


async def partition_worker(model: Model, rng: random.Random):
    worker = rng.choice(list(model.fleet.workers.values()))
    worker.reachable = False
    await asyncio.sleep(rng.uniform(1.0, 9.0))
    worker.reachable = True


async def partition_worker_from_leader(model: Model, rng: random.Random):
    host = model.leader()
    worker = rng.choice(list(model.fleet.workers))
    if host is None:
        return
    model.fleet.partitions.add((host.name, worker))
    await asyncio.sleep(rng.uniform(1.0, 9.0))
    model.fleet.partitions.discard((host.name, worker))


async def restart_worker(model: Model, rng: random.Random):
    worker = rng.choice(list(model.fleet.workers.values()))
    model.fleet.crash(worker)
    await asyncio.sleep(rng.uniform(0.1, 3.0))
    model.fleet.restart(worker)


async def set_worker_fault(model: Model, rng: random.Random):
    worker = rng.choice(list(model.fleet.workers.values()))
    worker.fault_mode = rng.choice(
        [FaultMode.FAILS, FaultMode.HANGS, FaultMode.SHEDS, FaultMode.SLOW]
    )
    await asyncio.sleep(5.0)
    worker.fault_mode = FaultMode.NONE


async def deregister_worker(model: Model, rng: random.Random):
    """Cut a worker off and remove its entry, which returns before its runs end."""
    worker = rng.choice(list(model.fleet.workers.values()))
    worker.reachable = False
    model.fleet.remove(worker)
    await asyncio.sleep(rng.uniform(1.0, 6.0))
    if rng.random() < 0.5:
        model.fleet.write(worker)
        await asyncio.sleep(rng.uniform(0.0, 3.0))
    worker.reachable = True
    model.fleet.write(worker)


async def drain_and_restart_worker(model: Model, rng: random.Random):
    worker = rng.choice(list(model.fleet.workers.values()))
    model.fleet.drain(worker, 2.0)
    await asyncio.sleep(2.5)
    model.fleet.crash(worker)
    model.fleet.remove(worker)
    await asyncio.sleep(1.0)
    model.fleet.restart(worker)


async def kill_all_hosts(model: Model, rng: random.Random):
    for host in model.hosts:
        await host.kill()
    await asyncio.sleep(rng.uniform(0.5, 3.0))
    for host in model.hosts:
        start_if_down(host)


async def delay_many_orders(model: Model, rng: random.Random):
    model.fleet.late_order_share = rng.uniform(0.3, 0.5)
    await asyncio.sleep(rng.uniform(2.0, 6.0))
    model.fleet.late_order_share = 0.0


async def evacuate_domain(model: Model, rng: random.Random):
    domain = rng.choice("abc")
    model.operator.evacuate(domain)
    await asyncio.sleep(rng.uniform(4.0, 9.0))
    model.operator.end_evacuation(domain)


async def set_fault_of_workers(model: Model, rng: random.Random):
    fault_mode = rng.choice([FaultMode.FAILS, FaultMode.HANGS, FaultMode.SLOW])
    workers = choose_workers(model, rng)
    for worker in workers:
        worker.fault_mode = fault_mode
    await asyncio.sleep(rng.uniform(4.0, 7.0))
    for worker in workers:
        worker.fault_mode = FaultMode.NONE


async def partition_workers(model: Model, rng: random.Random):
    """Cut workers off from all hosts, and in some cases from the registry as well."""
    workers = choose_workers(model, rng)
    heartbeats = rng.random() < 0.5
    for worker in workers:
        worker.reachable = False
        worker.heartbeats = heartbeats
    await asyncio.sleep(rng.uniform(1.0, 9.0))
    for worker in workers:
        worker.reachable = worker.heartbeats = True


async def restart_workers_behind_partition(model: Model, rng: random.Random):
    """Restart workers while no host reaches them, some with clocks set back."""
    workers = choose_workers(model, rng)
    for worker in workers:
        worker.reachable = False
    await asyncio.sleep(rng.uniform(0.2, 3.0))
    restart_if_present(model, workers, rng)
    await asyncio.sleep(rng.uniform(0.2, 4.0))
    for worker in workers:
        worker.reachable = True


async def restart_workers_with_earlier_clock(model: Model, rng: random.Random):
    workers = choose_workers(model, rng)
    for worker in workers:
        model.fleet.crash(worker)
    await asyncio.sleep(rng.uniform(0.1, 3.0))
    restart_if_present(model, workers, rng, clock_lag=rng.uniform(2.0, 60.0))


async def replace_worker_at_address(model: Model, rng: random.Random):
    """Let another worker answer at the address of a crashed one."""
    worker = rng.choice(list(model.fleet.workers.values()))
    model.fleet.crash(worker)
    await asyncio.sleep(rng.uniform(0.1, 3.0))
    if not is_present(model, worker):
        return
    model.fleet.replace(worker, successor_name(model, worker))
    model.fleet.retire(worker)
    await expire_entry(model, worker)


async def lose_workers(model: Model, rng: random.Random):
    """Lose workers for good; others come a few seconds later."""
    workers = choose_workers(model, rng)
    await asyncio.gather(*(lose_worker(model, rng, worker) for worker in workers))


async def lose_rack(model: Model, rng: random.Random):
    """Lose all workers of a rack, which come back or are succeeded by others."""
    rack = rng.choice(list_workers(model)).entry.rack
    workers = [worker for worker in list_workers(model) if worker.entry.rack == rack]
    if rng.random() < 0.5:
        await asyncio.gather(*(lose_worker(model, rng, worker) for worker in workers))
        return
    for worker in workers:
        model.fleet.crash(worker)
    await asyncio.sleep(rng.uniform(1.0, 6.0))
    restart_if_present(model, workers, rng)


async def reclaim_spot_workers(model: Model, rng: random.Random):
    """Announce that workers are taken away; others come a few seconds later."""
    notice = rng.uniform(1.0, 5.5)
    workers = choose_workers(model, rng)
    for worker in workers:
        model.fleet.drain(worker, notice)
    await asyncio.sleep(notice)
    for worker in workers:
        if not is_present(model, worker):
            continue
        model.fleet.retire(worker)
        model.fleet.remove(worker)
    await asyncio.sleep(rng.uniform(2.0, 4.0))
    for worker in workers:
        add_successor(model, worker)


async def lose_worker(model: Model, rng: random.Random, worker: SimulatedWorker):
    if not is_present(model, worker):
        return
    model.fleet.retire(worker)
    expiring = asyncio.create_task(expire_entry(model, worker))
    await asyncio.sleep(rng.uniform(2.0, 4.0))
    add_successor(model, worker)
    await expiring


async def expire_entry(model: Model, worker: SimulatedWorker):
    await asyncio.sleep(EXPIRY_HEARTBEATS * model.bounds.heartbeat)
    model.fleet.remove(worker)


def list_workers(model: Model) -> list[SimulatedWorker]:
    return list(model.fleet.workers.values())


def choose_workers(model: Model, rng: random.Random) -> list[SimulatedWorker]:
    """Choose up to a sixth of all workers."""
    workers = list_workers(model)
    return rng.sample(workers, rng.randint(1, max(1, len(workers) // 6)))


def is_present(model: Model, worker: SimulatedWorker) -> bool:
    """Return whether a worker has not been lost for good by another fault."""
    return model.fleet.workers.get(worker.entry.worker) is worker


def restart_if_present(
    model: Model,
    workers: list[SimulatedWorker],
    rng: random.Random,
    clock_lag: float | None = None,
):
    """Restart workers, by default some with their clocks set back by 30 s."""
    for worker in workers:
        if not is_present(model, worker):
            continue
        lag = rng.choice([0.0, 30.0]) if clock_lag is None else clock_lag
        model.fleet.restart(worker, lag)


def successor_name(model: Model, worker: SimulatedWorker) -> str:
    base = worker.entry.worker.split("+")[0]
    return f"{base}+{len(model.fleet.history)}"


def add_successor(model: Model, worker: SimulatedWorker):
    entry = worker.entry
    model.fleet.add(
        successor_name(model, worker),
        entry.rack,
        entry.domain,
        entry.cpu,
        entry.memory_mb,
        entry.gpus,
    )
