"""A seeded sequence of placements and ends, for measuring how placement packs."""

import heapq
import random
from dataclasses import dataclass

from common.scheduling import NOW, SERVICE, constraints, first_step, job, run_on, worker
from zinniatrestle.jobs.messages import Step
from zinniatrestle.scheduling.durations import Durations
from zinniatrestle.scheduling.packing import Demand
from zinniatrestle.scheduling.placement import BestFit
from zinniatrestle.scheduling.state import Job, Worker

WORKERS = 176
GPUS = (1, 2, 4, 8, 8)
WARM_UP_SECONDS = 20.0
MB_PER_GB = 1024


@dataclass(frozen=True)
class JobClass:
    """Jobs of one priority: rate per second, and the shape of their tasks."""

    priority: int
    rate: float
    tasks: int
    seconds: float
    cores: int
    memory_gb: int
    gpus: tuple[int, ...] = GPUS


@dataclass(frozen=True)
class Site:
    """Workers and job classes of one of the two deployments."""

    memory_gb: int
    rack_size: int
    classes: tuple[JobClass, ...]

    def workers(self) -> list[Worker]:
        return [
            worker(
                f"w{number:03}",
                f"r{number // self.rack_size:02}",
                cpu=128_000,
                memory_mb=self.memory_gb * MB_PER_GB,
            )
            for number in range(WORKERS)
        ]


SITES = {
    "A": Site(
        256,
        8,
        (
            JobClass(0, 2.65, 5, 2.1, 15, 22),
            JobClass(1, 0.779, 13, 7.2, 52, 140),
            JobClass(2, 0.609 * 1.3, 39, 8.1, 11, 29, (1,)),
        ),
    ),
    "B": Site(
        512,
        12,
        (
            JobClass(0, 4.73, 5, 2.5, 15, 79),
            JobClass(1, 1.11, 13, 6.8, 52, 150),
            JobClass(2, 0.694 * 1.3, 39, 9.5, 11, 59, (1,)),
        ),
    ),
}


@dataclass
class Arrival:
    """A job that arrives, with the run time of each of its tasks."""

    at: float
    job_class: JobClass
    gpus: int
    seconds: list[float]


def arrivals(site: Site, load: float, seconds: float, seed: int) -> list[Arrival]:
    """Return jobs at `load` times the mean rates; members of a gang end together."""
    rng = random.Random(seed)
    found = []
    for job_class in site.classes:
        at = rng.expovariate(load * job_class.rate)
        while at < seconds:
            ends = [
                job_class.seconds * rng.uniform(0.5, 1.5)
                for _ in range(job_class.tasks)
            ]
            if job_class.priority < 2:
                ends = [ends[0]] * job_class.tasks
            found.append(Arrival(at, job_class, rng.choice(job_class.gpus), ends))
            at += rng.expovariate(load * job_class.rate)
    found.sort(key=lambda arrival: arrival.at)
    return found


class PackedFleet:
    """Workers that are filled by one way to place; `packs` enables packing."""

    def __init__(self, site: Site, packs: bool):
        self.workers = site.workers()
        self.packs = packs
        self.demand = Demand(Durations())
        self.ends: list[tuple[float, str, object]] = []
        self.refused = 0

    def place(self, new: Job, arrival: Arrival) -> bool:
        """Place a job whole, or return False and leave everything as it was."""
        now = NOW + arrival.at
        self.end_until(arrival.at)
        step = first_step(new)
        packing = None
        if self.packs:
            self.demand.count(step, now)
            self.demand.begin_round(self.workers, now)
            packing = self.demand.packing(SERVICE)
        found = BestFit().place(
            step, step.tasks, self.workers, constraints(now=now, packing=packing)
        )
        if len(found) < len(step.tasks):
            self.refused += 1
            return False
        for task, target in found.items():
            run_on(task, target, now)
            at = arrival.at + arrival.seconds[task.index]
            heapq.heappush(self.ends, (at, task.id, task))
        return True

    def undo(self, new: Job):
        """Remove a job that another fleet could not hold."""
        for task in first_step(new).tasks:
            if task.worker is not None:
                task.worker.remove_task(task)
                task.worker = None

    def end_until(self, at: float):
        """End the runs that are over by then."""
        while self.ends and self.ends[0][0] <= at:
            task = heapq.heappop(self.ends)[2]
            if task.worker is not None:
                task.worker.remove_task(task)

    def whole_workers(self) -> int:
        """Return the number of workers that are empty."""
        return sum(not found.tasks for found in self.workers)

    def slots(self, cores: int, memory_gb: int) -> int:
        """Return how many tasks with all accelerators of a worker fit now."""
        shape = Step(count=1, cpu=cores * 1000, memory_mb=memory_gb * MB_PER_GB, gpus=8)
        step = first_step(job("0" * 16, shape))
        return sum(found.slots(step) for found in self.workers)


@dataclass
class Outcome:
    """Means over the arrivals after the warm-up, and the jobs that did not fit."""

    whole_before: float
    whole_after: float
    refused_before: int
    refused_after: int
    allocated_gpus: float
    jobs: int


def compare(site: Site, load: float, seed: int, seconds: float = 60.0) -> Outcome:
    """Play the same jobs with and without packing, at equal load.

    A job that does not fit in one of the two fleets is left out of both.
    """
    before, after = PackedFleet(site, packs=False), PackedFleet(site, packs=True)
    samples = []
    before_refused = after_refused = jobs = 0
    for number, arrival in enumerate(arrivals(site, load, seconds, seed)):
        job_class = arrival.job_class
        shape = Step(
            count=job_class.tasks,
            cpu=job_class.cores * 1000,
            memory_mb=job_class.memory_gb * MB_PER_GB,
            gpus=arrival.gpus,
            estimated_ms=round(1000 * job_class.seconds),
            gang=job_class.priority < 2,
        )
        copies = [
            job(f"{number:016}", shape, priority=job_class.priority) for _ in range(2)
        ]
        placed = [
            fleet.place(copy, arrival)
            for fleet, copy in zip((before, after), copies, strict=True)
        ]
        if not all(placed):
            before.undo(copies[0])
            after.undo(copies[1])
        if arrival.at < WARM_UP_SECONDS:
            continue
        jobs += 1
        before_refused += not placed[0]
        after_refused += not placed[1]
        free = sum(found.free_gpus for found in after.workers)
        samples.append((before.whole_workers(), after.whole_workers(), free))
    count = len(samples)
    return Outcome(
        sum(sample[0] for sample in samples) / count,
        sum(sample[1] for sample in samples) / count,
        before_refused,
        after_refused,
        8 * WORKERS - sum(sample[2] for sample in samples) / count,
        jobs,
    )
