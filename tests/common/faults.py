"""Faults for the parts of a model; each is injected and removed again."""

import asyncio
import contextlib
import random
from collections.abc import Callable, Coroutine
from typing import Any

import msgspec

from zinniatrestle.clock import monotonic
from zinniatrestle.errors import StoreUnavailableError, StoreUncertainError
from zinniatrestle.standins.fleet import EXPIRY_HEARTBEATS
from zinniatrestle.standins.model import Model, ModelHost
from zinniatrestle.standins.rows import Reachability
from zinniatrestle.standins.runs import FaultMode, SimulatedWorker
from zinniatrestle.workers.messages import WorkerState

# The time from the start of a host's process until it serves.
HOST_STARTUP_SECONDS = 0.6

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


async def lose_most_store_answers(model: Model, rng: random.Random):
    """Lose most answers to writes, which are applied seconds later."""
    for host in model.hosts:
        host.store.lost_answer_share, host.store.late_commit_share = 0.9, 1.0
    await asyncio.sleep(rng.uniform(1.0, 2.5))
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


async def cut_off_worker(model: Model, rng: random.Random):
    """Cut a worker off with resets, until after the registry removes its entry."""
    worker = rng.choice(list(model.fleet.workers.values()))
    listed_seconds = rng.uniform(0.5, 4.5)
    if rng.random() < 0.3:
        model.fleet.drain(worker, 20.0)
        # A worker that drains may remove its entry sooner, but then it has ended.
        listed_seconds = EXPIRY_HEARTBEATS * model.bounds.heartbeat
    worker.refuses_connections = True
    worker.heartbeats = False
    await asyncio.sleep(listed_seconds)
    model.fleet.remove(worker)
    await asyncio.sleep(rng.uniform(0.0, 4.0))
    worker.refuses_connections = False
    worker.heartbeats = True
    worker.entry = msgspec.structs.replace(worker.entry, state=WorkerState.READY)
    if worker.alive:
        model.fleet.write(worker)


async def cut_off_unheard_worker(model: Model, rng: random.Random):
    """Cut a draining worker off after a heartbeat of which feeds do not tell."""
    workers = []
    for worker in model.fleet.workers.values():
        if worker.running and worker.heartbeats:
            workers.append(worker)
    if not workers:
        return
    worker = rng.choice(workers)
    model.fleet.drain(worker, 20.0)
    await asyncio.sleep(rng.uniform(0.0, 1.5))
    compaction = asyncio.create_task(model.rows.compact())
    await asyncio.sleep(0.01)
    sequence = worker.entry.sequence + 1
    worker.entry = msgspec.structs.replace(worker.entry, sequence=sequence)
    model.fleet.write(worker)
    worker.refuses_connections = True
    worker.heartbeats = False
    await asyncio.sleep(EXPIRY_HEARTBEATS * model.bounds.heartbeat)
    model.fleet.remove(worker)
    await compaction
    await asyncio.sleep(rng.uniform(0.0, 3.0))
    worker.refuses_connections = False
    worker.heartbeats = True
    worker.entry = msgspec.structs.replace(worker.entry, state=WorkerState.READY)
    if worker.alive:
        model.fleet.write(worker)


async def lose_registry_entries(model: Model, rng: random.Random):
    """Let the store fail and the entries of all workers expire meanwhile."""
    outage = asyncio.create_task(store_outage(model, rng))
    await asyncio.sleep(rng.uniform(0.5, 4.0))
    for worker in model.fleet.workers.values():
        if worker.entry.state is WorkerState.READY:
            model.fleet.remove(worker)
    await outage
    await asyncio.sleep(rng.uniform(0.0, 2.0))
    for worker in model.fleet.workers.values():
        if worker.alive:
            model.fleet.write(worker)


async def withhold_list_of_machines(model: Model, rng: random.Random):
    model.machines.available = False
    await asyncio.sleep(rng.uniform(0.5, 4.0))
    model.machines.available = True


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


async def lose_all_hosts(model: Model, rng: random.Random):
    """Kill all hosts right after a confirmation; new processes start soon after.

    No fault that overlaps starts one of them sooner.
    """
    await wait_for_confirmation(model, rng)
    down_until = monotonic() + rng.uniform(1.0, 1.4) + HOST_STARTUP_SECONDS
    while monotonic() < down_until:
        for host in model.hosts:
            if host.alive:
                await host.kill()
        await asyncio.sleep(0.05)
    for host in rng.sample(model.hosts, len(model.hosts)):
        start_if_down(host)
        await asyncio.sleep(rng.uniform(0.0, 0.2))


async def wait_for_confirmation(model: Model, rng: random.Random):
    """Change the desired state, or wait until the next job is accepted."""
    if rng.random() < 0.4:
        model.operator.write()
        return
    accepted = sum(outcome.accepted for outcome in model.jobs.values())
    give_up_at = monotonic() + 2.0
    while monotonic() < give_up_at:
        if sum(outcome.accepted for outcome in model.jobs.values()) > accepted:
            return
        await asyncio.sleep(0.005)


async def kill_host_after_confirmation(model: Model, rng: random.Random):
    await wait_for_confirmation(model, rng)
    host = rng.choice(model.hosts)
    if not host.alive:
        return
    await host.kill()
    await asyncio.sleep(rng.uniform(2.0, 3.0))
    start_if_down(host)


async def stop_hosts_in_turn(model: Model, rng: random.Random):
    """Stop some hosts one after the other, as an upgrade does."""
    for host in rng.sample(model.hosts, rng.randint(1, len(model.hosts))):
        if not host.alive:
            continue
        with contextlib.suppress(StoreUnavailableError, StoreUncertainError):
            await host.leadership.release()
        await host.kill()
        await asyncio.sleep(rng.uniform(1.0, 2.0))
        start_if_down(host)


async def refuse_some_hosts(model: Model, rng: random.Random):
    """Let the store serve only some of the hosts."""
    hosts = rng.sample(model.hosts, rng.randint(1, len(model.hosts) - 1))
    for host in hosts:
        host.store.reachability = rng.choice(
            [Reachability.SILENT, Reachability.REFUSED]
        )
    await asyncio.sleep(rng.uniform(4.0, 9.0))
    for host in hosts:
        host.store.reachability = Reachability.SERVED


async def slow_store(model: Model, rng: random.Random):
    factor = rng.choice([6.0, 23.0, 60.0])
    for host in model.hosts:
        host.store.latency_factor = factor
    await asyncio.sleep(rng.uniform(3.0, 5.0))
    for host in model.hosts:
        host.store.latency_factor = 1.0


async def store_outage_with_expiries(model: Model, rng: random.Random):
    """Let the entries of workers expire while the store is down.

    They are back within 2 s of its return.
    """
    workers = [worker for worker in list_workers(model) if worker.heartbeats]
    for host in model.hosts:
        host.store.reachability = Reachability.SILENT
    for worker in workers:
        worker.heartbeats = False
    await asyncio.sleep(rng.uniform(4.0, 7.0))
    for host in model.hosts:
        host.store.reachability = Reachability.SERVED
    await asyncio.gather(*(return_entry(model, worker, rng) for worker in workers))


async def return_entry(model: Model, worker: SimulatedWorker, rng: random.Random):
    await asyncio.sleep(rng.uniform(0.0, 2.0))
    worker.heartbeats = True
    if worker.alive and is_present(model, worker):
        model.fleet.write(worker)


async def cut_power_of_workers(model: Model, rng: random.Random):
    """Let workers crash without a refusal; some come back, others are replaced."""
    workers = choose_workers(model, rng)
    for worker in workers:
        model.fleet.cut_power(worker)
    if rng.random() < 0.5:
        await asyncio.sleep(rng.uniform(3.0, 6.0))
        restart_if_present(model, workers, rng)
        return
    await asyncio.gather(*(lose_worker(model, rng, worker) for worker in workers))


async def remove_workers(model: Model, rng: random.Random):
    """Empty workers and take them away; others come much later."""
    workers = rng.sample(list_workers(model), rng.randint(1, 2))
    removed = await asyncio.gather(
        *(remove_worker(model, rng, worker) for worker in workers)
    )
    await asyncio.sleep(20.0)
    for worker, is_removed in zip(workers, removed, strict=True):
        if is_removed:
            add_successor(model, worker)


async def release_workers(model: Model, rng: random.Random):
    """Replace workers one after the other, as a new version of the service does."""
    workers = rng.sample(list_workers(model), rng.randint(2, 8))
    for worker in workers:
        removing = asyncio.create_task(remove_worker(model, rng, worker))
        model.callers.add(removing)
        await asyncio.sleep(rng.uniform(0.2, 1.0))
        if is_present(model, worker):
            add_successor(model, worker)


async def remove_worker(
    model: Model, rng: random.Random, worker: SimulatedWorker
) -> bool:
    """Drain a worker and take it away later than announced, unless it is lost."""
    if not is_present(model, worker):
        return False
    model.fleet.drain(worker, model.bounds.drain)
    linger = rng.choice([rng.uniform(0.0, 0.5), rng.uniform(0.0, 7.0)])
    await asyncio.sleep(model.bounds.drain + linger)
    if not is_present(model, worker):
        return False
    model.fleet.retire(worker)
    model.fleet.remove(worker)
    return True


async def slow_workers(model: Model, rng: random.Random):
    workers = choose_workers(model, rng)
    await slow_down(workers, rng.uniform(6.5, 8.0), rng.uniform(4.0, 7.0))


async def slow_down(workers: list[SimulatedWorker], factor: float, seconds: float):
    for worker in workers:
        worker.slow_factor = factor
        worker.fault_mode = FaultMode.SLOW
    await asyncio.sleep(seconds)
    for worker in workers:
        worker.fault_mode = FaultMode.NONE


async def lose_answers_of_workers(model: Model, rng: random.Random):
    """Cut workers off in one direction: calls reach them and their answers are lost."""
    workers = choose_workers(model, rng)
    for worker in workers:
        worker.answers_lost = True
    await asyncio.sleep(rng.uniform(1.0, 9.0))
    for worker in workers:
        worker.answers_lost = False


async def reset_connections_of_workers(model: Model, rng: random.Random):
    workers = choose_workers(model, rng)
    share = rng.choice([0.3, 0.7])
    for worker in workers:
        worker.reset_share = share
    await asyncio.sleep(rng.uniform(3.0, 8.0))
    for worker in workers:
        worker.reset_share = 0.0


async def trouble_workers_for_long(model: Model, rng: random.Random):
    """Let workers hang, crawl or be cut off until seconds after the loss of hosts."""
    workers = choose_workers(model, rng)
    seconds = rng.uniform(8.0, 22.0)
    kind = rng.randrange(4)
    if kind == 0:
        await slow_down(workers, rng.uniform(6.5, 8.0), seconds)
        return
    for worker in workers:
        if kind == 1:
            worker.fault_mode = FaultMode.HANGS
        elif kind == 2:
            worker.reachable = False
        else:
            worker.answers_lost = True
    await asyncio.sleep(seconds)
    for worker in workers:
        worker.fault_mode = FaultMode.NONE
        worker.reachable = True
        worker.answers_lost = False


async def evacuate_for_long(model: Model, rng: random.Random):
    domain = rng.choice("abc")
    model.operator.evacuate(domain)
    await asyncio.sleep(rng.uniform(20.0, 50.0))
    model.operator.end_evacuation(domain)


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
