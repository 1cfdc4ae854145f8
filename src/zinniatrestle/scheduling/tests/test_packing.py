"""Packing: tasks fill workers in every resource and leave whole ones for gangs."""

import asyncio

import pytest
from common.packing import SITES, JobClass, Site, compare
from common.scheduling import (
    NOW,
    SERVICE,
    constraints,
    first_step,
    job,
    run_on,
    worker,
)

from zinniatrestle.ids import JobId
from zinniatrestle.jobs.messages import Step
from zinniatrestle.scheduling.context import Policy
from zinniatrestle.scheduling.durations import Durations
from zinniatrestle.scheduling.packing import (
    BEGIN_ALLOCATED_SHARE,
    DEMAND_HALF_LIFE_SECONDS,
    END_ALLOCATED_SHARE,
    MAX_SHAPES,
    MIX_SECONDS,
    Capacity,
    Demand,
    Occupancy,
    Packing,
)
from zinniatrestle.scheduling.placement import BestFit
from zinniatrestle.scheduling.reliability import Reliability
from zinniatrestle.scheduling.state import StepRun, Worker, WorkerHealth
from zinniatrestle.standins.checker import violations
from zinniatrestle.standins.model import Model, run_virtual, step

CORES = 128
MEMORY_GB = 256
HALF_CORES = Capacity(64_000, 20_000, 1)
ALL_GPUS = Capacity(15_000, 20_000, 8)
SMALL = Capacity(11_000, 29_000, 1)
LARGE_MEMORY = Capacity(52_000, 140_000, 1)
LONG_MS = 60_000


def large_worker(name: str, rack: str = "r1") -> Worker:
    return worker(name, rack, cpu=CORES * 1000, memory_mb=MEMORY_GB * 1000)


def shape_of(needs: Capacity, count: int = 1, **fields) -> Step:
    fields.setdefault("estimated_ms", 5000)
    return Step(
        count=count,
        cpu=needs.cpu,
        memory_mb=needs.memory_mb,
        gpus=needs.gpus,
        **fields,
    )


def occupy(target: Worker, name: str, needs: Capacity, estimated_ms: int = LONG_MS):
    step = first_step(job(name * 16, shape_of(needs, estimated_ms=estimated_ms)))
    run_on(step.tasks[0], target)


def packing_for(*shapes: Capacity) -> Packing:
    thirds = (1 / 3, 1 / 3, 1 / 3)
    return Packing(dict.fromkeys(shapes, 1.0), thirds, Occupancy(Durations()))


def place(
    step: StepRun, workers: list[Worker], packing: Packing | None = None
) -> list[Worker]:
    found = BestFit().place(
        step, step.waiting_tasks(), workers, constraints(now=NOW, packing=packing)
    )
    return list(found.values())


# Guards against idle cores behind accelerators that are all in use: the fewest free
# accelerators alone would put the small task beside the idle half of the cores.
def test_small_task_leaves_half_of_the_cores_to_a_task_that_needs_them():
    half_free, nearly_full = large_worker("a"), large_worker("b")
    occupy(half_free, "1", Capacity(64_000, 60_000, 7))
    occupy(nearly_full, "2", Capacity(117_000, 60_000, 6))
    workers = [half_free, nearly_full]
    step = first_step(job("3" * 16, shape_of(SMALL)))
    assert place(step, workers) == [half_free]
    packing = packing_for(SMALL, HALF_CORES, ALL_GPUS)
    assert place(step, workers, packing) == [nearly_full]


# Guards against tasks of half the cores and one accelerator that each take a worker
# from the gangs that want all accelerators of one.
def test_tasks_with_half_of_the_cores_share_workers_beside_gangs_that_want_whole_ones():
    workers = [large_worker(f"w{number}", f"r{number // 2}") for number in range(6)]
    packing = packing_for(HALF_CORES, ALL_GPUS)
    halves = first_step(job("1" * 16, shape_of(HALF_CORES, count=6)))
    for task, target in zip(halves.tasks, place(halves, workers, packing), strict=True):
        run_on(task, target)
    assert sum(not target.tasks for target in workers) == 3
    gang = first_step(job("2" * 16, shape_of(ALL_GPUS, count=3, gang=True)))
    assert len(set(place(gang, workers, packing))) == 3


# Guards against a worker with over half of its memory free that small tasks split,
# while the rest of a worker that holds a task of over half of the memory stays unused.
def test_small_task_goes_beside_one_that_takes_over_half_of_the_memory():
    beside_small, beside_large = large_worker("a"), large_worker("b")
    occupy(beside_small, "1", Capacity(52_000, 116_000, 4))
    occupy(beside_large, "2", Capacity(52_000, 140_000, 4))
    workers = [beside_small, beside_large]
    step = first_step(job("3" * 16, shape_of(SMALL)))
    assert place(step, workers) == [beside_small]
    assert place(step, workers, packing_for(SMALL, LARGE_MEMORY)) == [beside_large]


# Guards against a worker that is never empty, since each short run there overlaps with
# the next, while another one is kept by a long run anyway.
def test_task_runs_where_others_run_for_longer():
    nearly_empty_again, in_use_for_long = large_worker("a"), large_worker("b")
    occupy(nearly_empty_again, "1", SMALL, estimated_ms=500)
    occupy(in_use_for_long, "2", SMALL)
    step = first_step(job("3" * 16, shape_of(SMALL)))
    workers = [nearly_empty_again, in_use_for_long]
    assert place(step, workers, packing_for(SMALL, ALL_GPUS)) == [in_use_for_long]


# A long-running task never leaves its worker, which is not whole in any case.
def test_worker_with_a_long_running_task_is_not_freed_later_by_another_task():
    occupancy = Occupancy(Durations())
    pinned, idle = large_worker("a"), large_worker("b")
    lasting = first_step(job("1" * 16, shape_of(SMALL, long_running=True)))
    run_on(lasting.tasks[0], pinned)
    step = first_step(job("2" * 16, shape_of(SMALL)))
    assert occupancy.delay(pinned, step, NOW) == 0.0
    assert occupancy.delay(idle, step, NOW) == 5.0
    occupancy.retain([pinned])
    assert list(occupancy.ends_by_worker) == [pinned]


def test_empty_workers_are_taken_last_and_from_the_fullest_rack():
    in_use, beside, alone = (
        large_worker("a", "r1"),
        large_worker("b", "r1"),
        large_worker("c", "r2"),
    )
    occupy(in_use, "1", Capacity(0, 0, 7))
    step = first_step(job("2" * 16, shape_of(SMALL, count=2)))
    workers = [alone, large_worker("d", "r2"), beside, in_use]
    packing = packing_for(SMALL, ALL_GPUS)
    assert place(step, workers, packing) == [in_use, beside]


# Guards against partly used workers in all racks, which leave no rack with room for a
# rack-bound gang.
@pytest.mark.parametrize("rack_bound", [False, True])
def test_nothing_is_packed_while_rack_bound_gangs_are_in_demand(rack_bound):
    demand = demand_of(SMALL, ALL_GPUS)
    shape = shape_of(ALL_GPUS, count=3, gang=True, rack_bound=rack_bound)
    demand.count(first_step(job("3" * 16, shape)), NOW)
    demand.begin_round(loaded_workers(0.9), NOW)
    assert (demand.packing(SERVICE) is None) is rack_bound


def test_health_and_avoidance_rank_before_packing():
    packed, other = large_worker("a"), large_worker("b")
    occupy(packed, "1", SMALL)
    step = first_step(job("2" * 16, shape_of(SMALL)))
    step.tasks[0].avoided_workers |= {packed.id}
    packing = packing_for(SMALL, ALL_GPUS)
    limits = constraints(now=NOW, packing=packing)
    found = BestFit().place(step, step.tasks, [packed, other], limits)
    assert list(found.values()) == [other]
    step.tasks[0].avoided_workers = frozenset()
    packed.health = WorkerHealth.QUARANTINED
    found = BestFit().place(step, step.tasks, [packed, other], limits)
    assert list(found.values()) == [other]


def test_gang_with_a_limit_per_worker_is_packed_whole_or_not_at_all():
    workers = [large_worker(f"w{number}") for number in range(3)]
    packing = packing_for(SMALL, ALL_GPUS)
    shape = shape_of(SMALL, count=3, gang=True, max_per_worker=1)
    assert len(set(place(first_step(job("1" * 16, shape)), workers, packing))) == 3
    assert place(first_step(job("2" * 16, shape)), workers[:2], packing) == []


def demand_of(*shapes: Capacity, now: float = NOW) -> Demand:
    demand = Demand(Durations())
    for number, needs in enumerate(shapes):
        demand.count(first_step(job(f"{number:016}", shape_of(needs))), now)
    return demand


def loaded_workers(share: float) -> list[Worker]:
    """Return workers of which a share of the accelerators is allocated."""
    workers = [large_worker(f"w{number:02}") for number in range(10)]
    for number in range(round(share * len(workers))):
        occupy(workers[number], str(number), Capacity(11_000, 29_000, 8))
    return workers


# Guards against other placements than before where there is no shortage.
def test_nothing_is_packed_for_a_mix_without_shortage():
    demand = demand_of(SMALL, ALL_GPUS)
    demand.begin_round(loaded_workers(BEGIN_ALLOCATED_SHARE - 0.1), NOW)
    assert demand.packing(SERVICE) is None


@pytest.mark.parametrize("shapes", [(SMALL,), (SMALL, SMALL), (ALL_GPUS,), ()])
def test_nothing_is_packed_for_a_mix_without_large_and_other_tasks(shapes):
    demand = demand_of(*shapes)
    demand.begin_round(loaded_workers(0.9), NOW)
    assert demand.packing(SERVICE) is None


def test_packing_continues_until_clearly_less_is_allocated():
    demand = demand_of(SMALL, ALL_GPUS)
    packed = []
    shares = (
        BEGIN_ALLOCATED_SHARE,
        END_ALLOCATED_SHARE,
        END_ALLOCATED_SHARE - 0.1,
        END_ALLOCATED_SHARE,
    )
    for number, share in enumerate(shares):
        demand.begin_round(loaded_workers(share), NOW + number * MIX_SECONDS)
        packed.append(demand.packing(SERVICE) is not None)
    assert packed == [True, True, False, False]


def test_large_tasks_that_have_not_been_demanded_for_long_are_not_packed_for():
    demand = demand_of(ALL_GPUS)
    later = NOW + 10 * DEMAND_HALF_LIFE_SECONDS
    demand.count(first_step(job("f" * 16, shape_of(SMALL))), later)
    demand.begin_round(loaded_workers(0.9), later)
    assert demand.packing(SERVICE) is None


# Guards against a cold start of a successor, which finds all steps of its jobs at once,
# and against steps that count anew in each round while they wait.
def test_step_counts_once_whether_it_waits_or_runs():
    demand = Demand(Durations())
    step = first_step(job("1" * 16, shape_of(SMALL, count=3)))
    run_on(step.tasks[0], large_worker("a"))
    demand.count(step, NOW)
    demand.count(step, NOW)
    (counted,) = demand.services[SERVICE].task_seconds.values()
    assert counted.value == 15.0


def test_shapes_in_the_mix_are_bounded_and_the_rarest_is_dropped():
    demand = Demand(Durations())
    for number in range(2 * MAX_SHAPES):
        needs = Capacity(1000 + number, 0, 1)
        shape = shape_of(needs, count=number + 1)
        demand.count(first_step(job(f"{number:016}", shape)), NOW)
    kept = demand.services[SERVICE].task_seconds
    assert len(kept) == MAX_SHAPES
    assert Capacity(1000 + 2 * MAX_SHAPES - 1, 0, 1) in kept
    assert Capacity(1000, 0, 1) not in kept


def test_service_without_workers_is_not_packed():
    demand = demand_of(SMALL, ALL_GPUS)
    demand.begin_round([], NOW)
    assert demand.packing(SERVICE) is None


HALVES_BESIDE_GANGS = Site(
    MEMORY_GB,
    8,
    (
        JobClass(1, 2.0, 10, 6.0, 64, 20, (1,)),
        JobClass(0, 2.0, 5, 2.5, 15, 20, (8,)),
        JobClass(2, 1.0, 39, 8.0, 11, 29, (1,)),
    ),
)


# Guards against a ranking that leaves fewer whole workers free than the one by free
# accelerators and cores, for the two deployments and the mix of half workers.
@pytest.mark.parametrize("site", [*SITES.values(), HALVES_BESIDE_GANGS])
def test_more_whole_workers_stay_free_at_equal_load(site):
    found = [compare(site, 1.0, seed, 35.0) for seed in range(3)]
    after = sum(outcome.whole_after for outcome in found)
    assert after > sum(outcome.whole_before for outcome in found)
    refused = sum(outcome.refused_after for outcome in found)
    assert refused <= sum(outcome.refused_before for outcome in found)


# Guards against a round that ends with an error, and with it the scheduler, once all
# tasks of a step probe suspect workers while the service is packed.
@pytest.mark.parametrize("tasks", [1, 2, 4])
def test_workers_are_probed_and_packed_in_the_same_placement(tasks):
    suspect, others = large_worker("a"), [large_worker("b"), large_worker("c")]
    reliability = Reliability()
    for number in range(2):
        reliability.record_failure(suspect.id, JobId(f"{number}"), NOW)
    step = first_step(job("2" * 16, shape_of(SMALL, count=tasks)))
    limits = constraints(
        now=NOW, packing=packing_for(SMALL, ALL_GPUS), reliability=reliability
    )
    found = BestFit().place(step, step.tasks, [suspect, *others], limits)
    assert len(found) == tasks
    assert list(found.values()).count(suspect) == 1


class RecordingFit(BestFit):
    """Record whether the constraints of each placement call for packing."""

    def __init__(self):
        self.packs: list[bool] = []

    def place(self, step, tasks, workers, constraints):
        self.packs.append(constraints.packing is not None)
        return super().place(step, tasks, workers, constraints)


# Guards against rounds that don't pass the measured state on to placement, and a
# successor that knows the mix only once new jobs arrive.
def test_rounds_pack_under_load_and_after_a_succession():
    async def play():
        placement = RecordingFit()
        model = Model(1, policy=Policy(placement=placement))
        await model.start(workers=4, rack=4)
        await model.submit("usual", (step(gpus=1),), 60.0)
        await asyncio.sleep(0.5)
        assert placement.packs
        assert not any(placement.packs)
        await model.submit("usual", (step(3, gpus=8),), 60.0)
        await asyncio.sleep(1.0)
        await model.submit("usual", (step(gpus=1),), 60.0)
        await asyncio.sleep(0.5)
        assert placement.packs[-1]
        await model.leader().kill()
        await asyncio.sleep(8.0)
        placement.packs.clear()
        await model.submit("usual", (step(gpus=1),), 60.0)
        await asyncio.sleep(0.5)
        assert placement.packs[0]
        await model.stop()
        assert violations(model) == []

    run_virtual(play())
