"""Measure gang policies on seeded workloads against first-in first-out, first fit.

`python benchmarks/gangs.py` drives the planner that the scheduler uses over plain
inventories in simulated time. Times are in seconds of the workload.
"""

import argparse
import heapq
import json
import random
import statistics
import time
from dataclasses import dataclass, field

from zinniatrestle.configuration import ConfigurationState
from zinniatrestle.configuration.messages import AccountPlan
from zinniatrestle.gangs.guarantees import Binding
from zinniatrestle.gangs.inventory import Inventory, WorkerCapacity
from zinniatrestle.gangs.messages import JobRow, JobSpec, JobState, TaskShape
from zinniatrestle.gangs.order import AttainedServiceOrder, OrderPolicy
from zinniatrestle.gangs.placement import BestFitRack, PlacementPolicy, fill_in_order
from zinniatrestle.gangs.planner import Planner, RoundDecision, RoundInput, StartOrder
from zinniatrestle.gangs.state import Gang
from zinniatrestle.ids import ClientAccountId, FailureDomainId
from zinniatrestle.standins.site import worker_list

DOMAIN = FailureDomainId("lima")
ACCOUNT = ClientAccountId("norte")
# The overhead of a restart after a preemption.
RESTART_SECONDS = 10.0
# The interval of rounds while gangs wait and no event occurs.
ROUND_SECONDS = 60.0
HOUR = 3600.0


class FirstFit(PlacementPolicy):
    """Take the first workers that have free capacity."""

    def place(self, inventory, tasks, shape, masks):
        """Return slots for all tasks, or None."""
        fitting = []
        total = 0
        for capacity in inventory.capacities.values():
            count = capacity.fits(shape, -1)
            if not count:
                continue
            fitting.append((capacity, count))
            total += count
            if total >= tasks:
                return fill_in_order(fitting, tasks, shape, None)
        return None


class ArrivalOrder(OrderPolicy):
    """Serve in order of arrival and never preempt."""

    def key(self, gang, now):
        """Return the sort key of a waiting gang."""
        return (gang.row.submitted, gang.row.job)

    def is_preemptible(self, running, waiting, now):
        """Return False."""
        return False


class StrictPlanner(Planner):
    """Start gangs in order and stop at the first one that does not fit."""

    def plan(self, round_input: RoundInput) -> RoundDecision:
        """Return the decision of a round."""
        starts = []
        for gang in sorted(
            round_input.waiting, key=lambda g: self.order.key(g, round_input.now)
        ):
            spec = gang.row.spec
            slots = self.placement.place(
                round_input.inventory, spec.tasks, spec.shape, None
            )
            if slots is None:
                break
            round_input.inventory.hold(slots, spec.shape)
            starts.append(StartOrder(gang, slots, False))
        return RoundDecision([], starts)


@dataclass
class Arrival:
    """A job of the workload; times in seconds."""

    name: str
    at: float
    spec: JobSpec
    seconds: float
    cancel_at: float = float("inf")


@dataclass
class Outcome:
    """The measurements of a workload under a policy.

    `bounds` are the run times, the lower bounds of the completion times. `unusable` and
    `busy` are in accelerator-seconds. An accelerator counts as unusable while the
    largest waiting gang that the free accelerators could hold can't be placed.
    """

    completions: list[float] = field(default_factory=list)
    bounds: list[float] = field(default_factory=list)
    unusable: float = 0.0
    elapsed: float = 0.0
    busy: float = 0.0
    preemptions: int = 0
    round_seconds: list[float] = field(default_factory=list)

    def figures(self, accelerators: int) -> dict[str, float]:
        """Return the figures of the workload by heading."""
        done = sorted(self.completions)
        mean = statistics.mean(done)
        return {
            "mean_s": round(mean),
            "p50_s": round(statistics.median(done)),
            "p95_s": round(done[int(0.95 * len(done))]),
            "mean_over_bound": round(mean / statistics.mean(self.bounds), 2),
            "fragmentation": round(self.unusable / (self.elapsed * accelerators), 4),
            "utilization": round(self.busy / (self.elapsed * accelerators), 3),
            "preemptions": self.preemptions,
            "round_ms_p50": round(1000 * statistics.median(self.round_seconds), 2),
            "round_ms_max": round(1000 * max(self.round_seconds), 1),
        }


def workload(seed: int, jobs: int, accelerators: int, load: float) -> list[Arrival]:
    """Return bursts of small or large gangs.

    Declared run times deviate from the actual ones by a factor of up to 10.
    """
    rng = random.Random(seed)
    arrivals = []
    now = 0.0
    while len(arrivals) < jobs:
        large = rng.random() < 0.25
        burst = rng.randint(1, 3) if large else rng.randint(2, 12)
        work = 0.0
        for _ in range(min(burst, jobs - len(arrivals))):
            seconds = min(24 * HOUR, max(60.0, rng.lognormvariate(7.6, 1.1)))
            tasks, each = _size(rng, large)
            shape = TaskShape(each, cores=each * 2.0, memory_gb=each * 4.0)
            declared = seconds * 10 ** rng.uniform(-1, 1)
            spec = JobSpec(tasks, ["sleep", str(seconds)], shape, declared)
            arrival = Arrival(f"j{len(arrivals):05d}", now, spec, seconds)
            if rng.random() < 0.05:
                arrival.cancel_at = now + rng.uniform(60, 3600)
            arrivals.append(arrival)
            work += seconds * tasks * each
        now += work / (load * accelerators) * rng.uniform(0.5, 1.5)
    return arrivals


def _size(rng: random.Random, large: bool) -> tuple[int, int]:
    if large:
        return rng.choice([(2, 8), (4, 8), (8, 8), (16, 4), (64, 1)])
    return rng.choice([(1, 1), (1, 2), (1, 4), (2, 2), (4, 1), (1, 8)])


class Simulation:
    """Simulate a workload, scheduled by a planner."""

    def __init__(self, planner: Planner, workers: int, arrivals: list[Arrival]):
        self.planner = planner
        self.listed = worker_list(DOMAIN, workers, "")
        self.arrivals = {arrival.name: arrival for arrival in arrivals}
        self.state = ConfigurationState()
        self.state.plans[ACCOUNT] = AccountPlan([DOMAIN])
        self.gangs: dict[str, Gang] = {}
        self.done_at: dict[str, float] = {}
        self.outcome = Outcome()
        self.events: list[tuple[float, int, str, str]] = []
        self.sequence = 0
        self.accelerators = 8 * workers
        self.last_arrival = max(arrival.at for arrival in arrivals)
        self.arriving = True

    def run(self) -> Outcome:
        """Run all events and return the outcome."""
        for arrival in self.arrivals.values():
            self._push(arrival.at, "arrive", arrival.name)
            if arrival.cancel_at < float("inf"):
                self._push(arrival.cancel_at, "cancel", arrival.name)
        last = 0.0
        while self.events:
            now = self.events[0][0]
            self.arriving = now <= self.last_arrival
            self._integrate_usage(now - last)
            last = now
            while self.events and self.events[0][0] == now:
                _, _, kind, name = heapq.heappop(self.events)
                self._handle_event(kind, name, now)
            self._round(now)
        return self.outcome

    def _push(self, at: float, kind: str, name: str):
        self.sequence += 1
        heapq.heappush(self.events, (at, self.sequence, kind, name))

    def _handle_event(self, kind: str, name: str, now: float):
        if kind == "arrive":
            spec = self.arrivals[name].spec
            row = JobRow(name, ACCOUNT, 1, spec, DOMAIN, now, queued=now)
            self.gangs[name] = Gang(row)
            return
        gang = self.gangs.get(name)
        if gang is None:
            return
        if kind == "end" and self.done_at.get(name) == now:
            arrival = self.arrivals[name]
            self.outcome.completions.append(now - arrival.at)
            self.outcome.bounds.append(arrival.seconds)
            del self.gangs[name]
        if kind == "cancel":
            del self.gangs[name]

    def _round(self, now: float):
        waiting = [g for g in self.gangs.values() if g.row.state is JobState.QUEUED]
        if not waiting:
            return
        running = [g for g in self.gangs.values() if g.row.state is JobState.RUNNING]
        inventory = self._inventory(running)
        started = time.perf_counter()
        round_input = RoundInput(
            inventory, Binding(), self.state, running, waiting, now
        )
        plan = self.planner.plan(round_input)
        self.outcome.round_seconds.append(time.perf_counter() - started)
        for gang in plan.stops:
            self._stop(gang, now)
        for order in plan.starts:
            self._start(order, now)
        # Ageing and quanta change the decision without an event, so another round is
        # due while gangs wait.
        if len(plan.starts) < len(waiting):
            self._push(now + ROUND_SECONDS, "round", "")

    def _stop(self, gang: Gang, now: float):
        ran = max(0.0, now - gang.row.started - RESTART_SECONDS)
        self.outcome.preemptions += 1
        self.done_at.pop(gang.row.job)
        gang.update(
            state=JobState.QUEUED,
            service=gang.attained_service(now),
            progress=gang.row.progress + ran,
            queued=now,
            placement=[],
        )

    def _start(self, order: StartOrder, now: float):
        gang = order.gang
        gang.update(state=JobState.RUNNING, started=now, placement=order.placement)
        left = self.arrivals[gang.row.job].seconds - gang.row.progress
        end = now + left + (RESTART_SECONDS if gang.row.progress else 0.0)
        self.done_at[gang.row.job] = end
        self._push(end, "end", gang.row.job)

    def _inventory(self, running: list[Gang]) -> Inventory:
        inventory = Inventory(WorkerCapacity(listed) for listed in self.listed)
        for gang in running:
            inventory.hold(gang.row.placement, gang.row.spec.shape)
        return inventory

    def _integrate_usage(self, seconds: float):
        if seconds <= 0:
            return
        # After the last arrival long jobs run alone, so policies don't differ.
        if not self.arriving:
            return
        running = [g for g in self.gangs.values() if g.row.state is JobState.RUNNING]
        waiting = [g for g in self.gangs.values() if g.row.state is JobState.QUEUED]
        inventory = self._inventory(running)
        free = inventory.accelerators_free
        self.outcome.elapsed += seconds
        self.outcome.busy += seconds * (self.accelerators - free)
        fitting = [g for g in waiting if _accelerators(g) <= free]
        if not fitting:
            return
        largest = max(fitting, key=_accelerators)
        spec = largest.row.spec
        if BestFitRack().place(inventory, spec.tasks, spec.shape, None) is None:
            self.outcome.unusable += seconds * free


def _accelerators(gang: Gang) -> int:
    return gang.row.spec.tasks * gang.row.spec.shape.accelerators


def planners() -> dict[str, Planner]:
    """Return the policies to compare."""
    return {
        "first-in first-out, first fit": StrictPlanner(ArrivalOrder(), FirstFit()),
        "arrival order, tightest rack": Planner(ArrivalOrder(), BestFitRack()),
        "attained service, tightest rack": Planner(
            AttainedServiceOrder(), BestFitRack()
        ),
    }


def main():
    """Print a row for each policy and seed, then means over the seeds."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=5)
    parser.add_argument("--jobs", type=int, default=400)
    parser.add_argument("--workers", type=int, default=24)
    parser.add_argument("--load", type=float, default=0.8)
    parser.add_argument("--json", action="store_true")
    options = parser.parse_args()
    rows = []
    for name, planner in planners().items():
        for seed in range(options.seeds):
            accelerators = 8 * options.workers
            arrivals = workload(seed, options.jobs, accelerators, options.load)
            outcome = Simulation(planner, options.workers, arrivals).run()
            rows.append({"policy": name, "seed": seed, **outcome.figures(accelerators)})
    if options.json:
        print(json.dumps(rows, indent=1))
        return
    headings = list(rows[0])
    print(f"| {' | '.join(headings)} |\n|{' --- |' * len(headings)}")
    for row in rows:
        print(f"| {' | '.join(str(value) for value in row.values())} |")
    for name in planners():
        own = [row for row in rows if row["policy"] == name]
        means = []
        for heading in headings[2:]:
            means.append(f"{statistics.mean(row[heading] for row in own):.3g}")
        print(f"| {name} | mean | {' | '.join(means)} |")


if __name__ == "__main__":
    main()
