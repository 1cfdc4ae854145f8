"""Run workloads under several policies and measure the service to callers."""

import asyncio
from dataclasses import dataclass, field

import msgspec

from zinniatrestle.clock import monotonic
from zinniatrestle.deployment import Bounds
from zinniatrestle.errors import CallerError
from zinniatrestle.events import Event
from zinniatrestle.experiments.workload import (
    Arrival,
    JobValue,
    Pattern,
    Size,
    Workload,
    cores_per_task,
)
from zinniatrestle.ids import JobId
from zinniatrestle.jobs import JobState
from zinniatrestle.scheduling.context import Policy
from zinniatrestle.scheduling.order import ArrivalOrder
from zinniatrestle.scheduling.placement import FirstFit
from zinniatrestle.standins.checker import violations
from zinniatrestle.standins.model import Model, run_virtual
from zinniatrestle.standins.runs import EventKind, FaultMode, step_of
from zinniatrestle.workers.messages import RunOutcome

# The limit of the wait for jobs to end after the last arrival.
DRAIN_SECONDS = 90.0
# The resolution of completion times.
SAMPLE_SECONDS = 0.05
# The start and end of the time in which workers are faulty, and their share of all.
FAULT_WINDOW_SECONDS = (6.0, 16.0)
FAULTY_SHARE = 0.12
# A job that takes longer than this factor of its objective is worth nothing.
USELESS_FACTOR = 3.0
# The worth that a lost core-second costs, as users value it.
LOST_WORK_PRICE = 0.002

POLICIES: dict[str, Policy] = {
    "usual": Policy(),
    "first in, first fit": Policy(
        placement=FirstFit(),
        order=ArrivalOrder(),
        preempts=False,
        quarantines=False,
        reserves_workers=False,
    ),
    "no quarantine": Policy(quarantines=False),
    "no reclaim": Policy(preempts=False),
    "nothing held back": Policy(reserves_workers=False),
}
FAULT_MODES = {
    Pattern.FAILING_WORKERS: FaultMode.FAILS,
    Pattern.HANGING_WORKERS: FaultMode.HANGS,
    Pattern.SLOW_WORKERS: FaultMode.SLOW,
}


class Result(msgspec.Struct):
    """The figures of one policy on one workload; times in seconds, shares from 0 to 1.

    `worth` is the share of the possible gain that callers earned, less the price of
    `lost_work`, which is in core-seconds. `fragmentation` is the mean share of the free
    accelerators on workers that are partly in use. `reclaim` is the mean time from
    submission to start of the jobs for which other runs were preempted.
    """

    policy: str
    pattern: str
    seed: int
    jobs: int
    on_time: float
    late: float
    urgent_on_time: float
    wide_on_time: float
    mean_completion: float
    mean_start: float
    longest_urgent_start: float
    fragmentation: float
    reclaim: float
    worth: float
    lost_work: float
    violations: int


@dataclass(frozen=True)
class Experiment:
    """Workloads and the policies to compare on them."""

    patterns: tuple[Pattern, ...] = (Pattern.CALM,)
    seeds: tuple[int, ...] = (1, 2, 3)
    policies: tuple[str, ...] = field(default_factory=lambda: tuple(POLICIES))
    load: float = 1.0
    size: Size = Size.SMALL
    # The time in seconds in which workers stop a task.
    stop: float = Bounds.stop

    def check(self):
        """Raise CallerError if the parameters are invalid."""
        if not self.seeds:
            raise CallerError("Give at least one seed.")
        if self.load <= 0:
            raise CallerError("The load must be above 0.")
        if self.stop < 0:
            raise CallerError("The stop time must be 0 s or more.")
        for name in self.policies:
            if name not in POLICIES:
                known = ", ".join(POLICIES)
                raise CallerError(f"Unknown policy {name!r}; use one of {known}.")


def run_experiment(experiment: Experiment) -> list[Result]:
    """Return a result for each pattern, policy and seed; raises CallerError."""
    experiment.check()
    results = []
    for pattern in experiment.patterns:
        for name in experiment.policies:
            for seed in experiment.seeds:
                workload = Workload(
                    pattern, seed, load=experiment.load, size=experiment.size
                )
                results.append(
                    run_virtual(_run_workload(name, workload, experiment.stop))
                )
    return results


async def _run_workload(name: str, workload: Workload, stop: float) -> Result:
    bounds = Bounds(stop=stop)
    model = Model(workload.seed, policy=POLICIES[name], bounds=bounds)
    await model.start(workload.fleet.workers, workload.fleet.rack)
    for worker in model.fleet.workers.values():
        worker.speed = model.random.choice(workload.fleet.speeds)
    injecting = asyncio.create_task(_inject_faults(model, workload.pattern))
    fragmentations: list[float] = []
    sampling = asyncio.create_task(_sample(model, fragmentations))
    submissions = []
    values: dict[JobId, JobValue] = {}
    started = monotonic()
    for arrival in workload.arrivals():
        await asyncio.sleep(max(0.0, started + arrival.at - monotonic()))
        submissions.append(
            asyncio.create_task(_submit(model, workload, arrival, values))
        )
    await asyncio.gather(*submissions)
    await model.wait_for_jobs(DRAIN_SECONDS)
    injecting.cancel()
    sampling.cancel()
    return _measure(name, workload, model, values, fragmentations)


async def _submit(
    model: Model, workload: Workload, arrival: Arrival, values: dict[JobId, JobValue]
):
    job = await model.submit(
        arrival.queue, arrival.steps, arrival.seconds, failures=arrival.failures
    )
    values[job] = workload.value(arrival)


async def _sample(model: Model, fragmentations: list[float]):
    """Record completion times and samples of the fragmentation until cancelled."""
    while True:
        await asyncio.sleep(SAMPLE_SECONDS)
        if not all(model.has_ended(job) for job in model.jobs):
            fragmentations.append(_fragmentation(model))
        for job, outcome in model.jobs.items():
            if outcome.completed_at is None:
                model.has_ended(job)


async def _inject_faults(model: Model, pattern: Pattern):
    fault_mode = FAULT_MODES.get(pattern)
    if fault_mode is None:
        return
    start, end = FAULT_WINDOW_SECONDS
    await asyncio.sleep(start)
    workers = list(model.fleet.workers.values())
    faulty = model.random.sample(workers, max(1, int(FAULTY_SHARE * len(workers))))
    for worker in faulty:
        worker.fault_mode = fault_mode
    await asyncio.sleep(end - start)
    for worker in faulty:
        worker.fault_mode = FaultMode.NONE


def _fragmentation(model: Model) -> float:
    """Return the share of the free accelerators on workers partly in use."""
    free = fragmented = 0
    for worker in model.fleet.workers.values():
        taken = sum(run.shape.gpus for run in worker.running.values())
        free += worker.entry.gpus - taken
        if taken:
            fragmented += worker.entry.gpus - taken
    return fragmented / free if free else 0.0


def _reclaim_times(model: Model, starts: dict) -> list[float]:
    """Return the times from submission to start of jobs that preempted others."""
    found = []
    reclaiming = {
        line["for_job"]
        for line in model.lines
        if line["event"] == Event.RUN_PREEMPTED.value
    }
    for job, outcome in model.jobs.items():
        if job in reclaiming and job in starts:
            found.append(starts[job] - outcome.sent_at)
    return found


def _measure(
    name: str,
    workload: Workload,
    model: Model,
    values: dict[JobId, JobValue],
    fragmentations: list[float],
) -> Result:
    queues = {queue.name: queue for queue in model.operator.queues}
    starts = _first_starts(model)
    on_time: list[bool] = []
    urgent: list[bool] = []
    late = 0
    possible = earned = 0.0
    completions: list[float] = []
    waits: list[float] = []
    urgent_waits: list[float] = [0.0]
    widths: list[tuple[int, bool]] = []
    for job, outcome in model.jobs.items():
        queue = queues[outcome.queue]
        if model.state(job) is JobState.FAILED:
            continue
        objective = queue.stretch * outcome.seconds + queue.target
        taken = float("inf")
        if outcome.completed_at is not None:
            taken = outcome.completed_at - outcome.sent_at
            completions.append(taken)
        is_on_time = taken <= objective
        on_time.append(is_on_time)
        possible += values[job].on_time
        if is_on_time:
            earned += values[job].on_time
        elif taken <= USELESS_FACTOR * objective:
            late += 1
            earned += values[job].late
        widths.append((outcome.tasks, is_on_time))
        wait = starts.get(job, float("inf")) - outcome.sent_at
        waits.append(wait)
        if outcome.queue == "urgent":
            urgent.append(is_on_time)
            urgent_waits.append(wait)
    widths.sort(key=lambda width: width[0])
    widest = [is_on_time for _, is_on_time in widths[-max(1, len(widths) // 10) :]]
    lost = _lost_work(model)
    return Result(
        policy=name,
        pattern=workload.pattern.value,
        seed=workload.seed,
        jobs=len(model.jobs),
        on_time=_share(on_time),
        late=late / max(1, len(on_time)),
        urgent_on_time=_share(urgent),
        wide_on_time=_share(widest),
        mean_completion=_mean(completions),
        mean_start=_mean(waits),
        longest_urgent_start=max(urgent_waits),
        fragmentation=_mean(fragmentations),
        reclaim=_mean(_reclaim_times(model, starts)),
        worth=(earned - LOST_WORK_PRICE * lost) / possible if possible else 1.0,
        lost_work=lost,
        violations=len(violations(model)),
    )


def _first_starts(model: Model) -> dict:
    found: dict = {}
    for event in model.fleet.history:
        if event.kind is EventKind.START:
            found.setdefault(event.task.split(".")[0], event.at)
    return found


def _lost_work(model: Model) -> float:
    """Return the core-seconds of runs that ended without a result or a checkpoint.

    A gang has one result, which one of its members reports.
    """
    started: dict = {}
    gangs_done: set = set()
    ends = []
    for event in model.fleet.history:
        key = (event.worker, event.task, event.run)
        if event.kind is EventKind.START:
            started[key] = event.at
        if event.kind is not EventKind.END:
            continue
        if event.outcome is RunOutcome.DONE:
            gangs_done.add((step_of(event.task), event.run))
            continue
        ends.append(event)
    lost = 0.0
    for event in ends:
        seconds = event.at - started[(event.worker, event.task, event.run)]
        shape = model.shape(event.task)
        if shape.gang and (step_of(event.task), event.run) in gangs_done:
            continue
        if shape.checkpointing and event.outcome is not RunOutcome.LEASE_EXPIRED:
            # The end writes a checkpoint, so no work is lost.
            continue
        lost += seconds * cores_per_task(shape)
    return lost


def _share(values: list[bool]) -> float:
    return sum(values) / len(values) if values else 1.0


def _mean(values: list[float]) -> float:
    return sum(values) / len(values) if values else 0.0
