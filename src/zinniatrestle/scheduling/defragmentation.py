"""Decide which runs to move so that a waiting gang gets the workers that it lacks."""

from collections.abc import Callable
from dataclasses import dataclass

from zinniatrestle.deployment import Bounds
from zinniatrestle.ids import BootSeconds
from zinniatrestle.scheduling.draining import ORDER_LATENCY_SECONDS
from zinniatrestle.scheduling.durations import Durations
from zinniatrestle.scheduling.order import start_deadlines
from zinniatrestle.scheduling.packing import Capacity, free_capacity, needs_of
from zinniatrestle.scheduling.placement import (
    Assignment,
    PlacementConstraints,
    candidates,
)
from zinniatrestle.scheduling.preemption_costs import (
    PRIORITY_LEVEL_WEIGHT,
    PreemptionCosts,
    PreemptionUnit,
)
from zinniatrestle.scheduling.preemption_plan import PreemptionPlanner
from zinniatrestle.scheduling.state import (
    ACCELERATOR_MILLICORES,
    StepRun,
    Task,
    TaskStatus,
    Worker,
    WorkerHealth,
)

# A gang is blocked by fragmentation if the idle capacity would hold it this many times.
IDLE_FACTOR = 2
# Runs are moved only for gangs that have waited for so long, since runs that end anyway
# often make room.
MIN_WAIT_SECONDS = 0.5
# A smaller gain in time is within the error of the estimated ends of runs.
MIN_SECONDS_GAINED = 0.5
# Time until moves are searched again for the same gang, and for any gang.
RETRY_SECONDS = 0.5
SEARCH_INTERVAL_SECONDS = 0.25
# Workers that a search looks at, the most idle ones first. A search among 176 made a
# round up to 50 ms longer.
MAX_SEARCHED_WORKERS = 64
# Work that moves may lose, as a share of the capacity of the service, and the time over
# which an unused share adds up.
BUDGET_SHARE = 0.002
BUDGET_SECONDS = 60.0
# Nothing is moved for this time after an attempt that did not let its gang start. It
# doubles with each further one in a row.
FIRST_PAUSE_SECONDS = 5.0
MAX_PAUSE_SECONDS = 60.0
# More doublings than these reach the maximum anyway, and their power overflows a float.
MAX_DOUBLINGS = 10
# Plans for one gang are limited, since runs that fit nowhere else are excluded from
# each and another plan is made.
MAX_PLANS = 2

# Returns the workers on which a moved run of a step may continue.
FindTargets = Callable[[StepRun], list[Worker]]


@dataclass
class WaitingGang:
    """A gang that could not be placed.

    `workers` are those on which it delays no gang that ranks before it, `starts_at` is
    its estimated start without moves (boot seconds).
    """

    step: StepRun
    constraints: PlacementConstraints
    workers: list[Worker]
    starts_at: float


@dataclass
class MovePlan:
    """Workers for a gang, and the runs that are moved off them.

    `losses` are the work that each of these loses, in thousandths of core-seconds.
    """

    gang: WaitingGang
    assignment: Assignment
    losses: dict[Task, float]

    @property
    def moved(self) -> list[Task]:
        """Return the runs that are moved."""
        return list(self.losses)


class MovableRuns(PreemptionCosts):
    """Costs of the runs that may be moved for a gang.

    These have checkpoints, are neither urgent nor of a higher priority than the gang,
    and have not been moved before. `excluded` are those that fit nowhere else.
    """

    def __init__(self, costs: PreemptionCosts, gang: StepRun, excluded: set[Task]):
        super().__init__(costs.forecast, costs.restore_seconds, costs.max_stop_seconds)
        self.costs = costs
        self.gang = gang
        self.excluded = excluded
        self.units_by_task: dict[Task, PreemptionUnit] = {}

    def units_at(self, worker: Worker) -> list[PreemptionUnit]:
        """Return the units that may be moved off a worker, cheapest first."""
        found = []
        for unit in self.costs.units_at(worker):
            if not self._is_movable(unit):
                continue
            found.append(unit)
            for task in unit.tasks:
                self.units_by_task[task] = unit
        return found

    def units_of(self, tasks: list[Task]) -> set[PreemptionUnit]:
        """Return the units to which tasks of a plan belong."""
        return {self.units_by_task[task] for task in tasks}

    def _is_movable(self, unit: PreemptionUnit) -> bool:
        step = unit.tasks[0].step
        shape = step.shape
        if not shape.checkpointing or shape.rack_bound:
            return False
        priority = step.job.submission.priority
        if priority == 0 or priority < self.gang.job.submission.priority:
            return False
        for task in unit.tasks:
            if task.status is not TaskStatus.RUNNING or task.worker.silent:
                return False
            if task.made_room or task in self.excluded:
                return False
        return True


class Defragmentation:
    """Plan moves, one attempt at a time, within a budget of lost work."""

    def __init__(self, bounds: Bounds, durations: Durations):
        self.bounds = bounds
        self.durations = durations
        self.planner = PreemptionPlanner()
        self.attempt: StepRun | None = None
        self.failures = 0
        self.paused_until = BootSeconds(float("-inf"))
        # Lost work in thousandths of core-seconds that is in the budget, and when the
        # budget was last added to; it begins full.
        self.budget: float | None = None
        self.budget_at = BootSeconds(0.0)
        # The gangs for which moves were searched recently, and when.
        self.tried_at: dict[StepRun, BootSeconds] = {}
        self.searched_at = BootSeconds(float("-inf"))

    def begin_round(self, now: BootSeconds):
        """Record the result of the latest attempt; a failed one suspends moves."""
        step = self.attempt
        if step is None or any(
            task.status is TaskStatus.RESERVED for task in step.tasks
        ):
            return
        self.attempt = None
        if step.job.ended:
            return
        if step.done or any(task.is_allocated or task.completed for task in step.tasks):
            self.failures = 0
            return
        self.failures += 1
        pause = FIRST_PAUSE_SECONDS * 2 ** min(self.failures - 1, MAX_DOUBLINGS)
        self.paused_until = BootSeconds(now + min(pause, MAX_PAUSE_SECONDS))

    def plan(
        self,
        waiting: list[WaitingGang],
        workers: list[Worker],
        costs: PreemptionCosts,
        find_targets: FindTargets,
        now: BootSeconds,
    ) -> MovePlan | None:
        """Return the moves for the first gang of `waiting` that is worth them, if any.

        Its attempt is open from then on.
        """
        if self.attempt is not None or now < self.paused_until:
            return None
        if now - self.searched_at < SEARCH_INTERVAL_SECONDS:
            return None
        self._forget_old_tries(now)
        for gang in waiting:
            if gang.step in self.tried_at or not self._may_need_moves(gang, now):
                continue
            self.tried_at[gang.step] = now
            sound = [
                worker
                for worker in candidates(gang.step, gang.workers, gang.constraints)
                if worker.health is WorkerHealth.SOUND
            ]
            if not _would_hold(gang.step, sound):
                continue
            self.searched_at = now
            self._add_to_budget(gang, workers, now)
            searched = sound if gang.step.shape.rack_bound else _most_idle(sound)
            found = self._plan_for(gang, searched, costs, find_targets, now)
            if found is not None:
                self.attempt = gang.step
                self.budget -= sum(found.losses.values())
                return found
            # One search for a round bounds its time.
            return None
        return None

    def _forget_old_tries(self, now: BootSeconds):
        for step, at in list(self.tried_at.items()):
            if now - at >= RETRY_SECONDS:
                del self.tried_at[step]

    def _seconds_gained(self, gang: WaitingGang, now: float) -> float:
        return gang.starts_at - self._start_with_moves(now)

    def _start_with_moves(self, now: float) -> float:
        return now + self.bounds.stop + ORDER_LATENCY_SECONDS

    def _may_need_moves(self, gang: WaitingGang, now: BootSeconds) -> bool:
        """Return whether a gang waits for long enough, and moves could be in time."""
        step = gang.step
        if step.waited(now) < MIN_WAIT_SECONDS:
            return False
        if self._seconds_gained(gang, now) < MIN_SECONDS_GAINED:
            return False
        deadlines = start_deadlines(step, self.durations)
        return self._start_with_moves(now) <= deadlines.latest_useful_start

    def _add_to_budget(
        self, gang: WaitingGang, workers: list[Worker], now: BootSeconds
    ):
        capacity = 0
        for worker in workers:
            if worker.entry.service == gang.constraints.service:
                capacity += worker.entry.cpu
                capacity += worker.entry.gpus * ACCELERATOR_MILLICORES
        most = capacity * BUDGET_SHARE * BUDGET_SECONDS
        if self.budget is None:
            self.budget = most
        added = (now - self.budget_at) * capacity * BUDGET_SHARE
        self.budget = min(most, self.budget + added)
        self.budget_at = now

    def _plan_for(
        self,
        gang: WaitingGang,
        workers: list[Worker],
        costs: PreemptionCosts,
        find_targets: FindTargets,
        now: float,
    ) -> MovePlan | None:
        step = gang.step
        excluded: set[Task] = set()
        for _ in range(MAX_PLANS):
            movable = MovableRuns(costs, step, excluded)
            found = self.planner.plan(
                step, step.tasks, workers, gang.constraints, movable, self.budget
            )
            if found is None or not found.victims:
                return None
            units = movable.units_of(found.victims)
            loss = sum(unit.weighted_loss for unit in units)
            if loss >= self._gain(gang, now):
                return None
            unfit = _without_room(found.victims, found.assignment, find_targets)
            if not unfit:
                losses = {task: movable.loss_of(task) for task in found.victims}
                return MovePlan(gang, found.assignment, losses)
            excluded |= unfit
        return None

    def _gain(self, gang: WaitingGang, now: float) -> float:
        """Return the value of an earlier start, weighted as lost work is.

        That is the work of the gang in the seconds by which it starts earlier.
        """
        step = gang.step
        weight = PRIORITY_LEVEL_WEIGHT**-step.job.submission.priority
        work = step.task_weight * len(step.tasks) * weight
        return work * self._seconds_gained(gang, now)


def _would_hold(step: StepRun, workers: list[Worker]) -> bool:
    """Return whether the idle capacity would hold a gang `IDLE_FACTOR` times."""
    cpu = memory = gpus = 0
    for worker in workers:
        free = free_capacity(worker)
        cpu += free.cpu
        memory += free.memory_mb
        gpus += free.gpus
    tasks = IDLE_FACTOR * len(step.tasks)
    needs = needs_of(step.shape)
    return (
        cpu >= tasks * needs.cpu
        and memory >= tasks * needs.memory_mb
        and gpus >= tasks * needs.gpus
    )


def _most_idle(workers: list[Worker]) -> list[Worker]:
    """Return the workers that are cheapest to free."""
    ranked = sorted(workers, key=lambda worker: (-worker.free_gpus, -worker.free_cpu))
    return ranked[:MAX_SEARCHED_WORKERS]


def _without_room(
    moved: list[Task], assignment: Assignment, find_targets: FindTargets
) -> set[Task]:
    """Return the moved runs that don't fit on other workers now, beside the others.

    The workers that the gang takes and those that are left don't count.
    """
    left = {*assignment.values(), *(task.worker for task in moved)}
    free: dict[Worker, Capacity] = {}
    targets_by_step: dict[StepRun, list[Worker]] = {}
    slots: dict[tuple[StepRun, Worker], int] = {}
    without_room: set[Task] = set()
    for task in sorted(moved, key=lambda task: (-task.step.task_weight, task.id)):
        step = task.step
        if step not in targets_by_step:
            targets_by_step[step] = _targets(step, left, find_targets)
        needs = needs_of(step.shape)
        for worker in targets_by_step[step]:
            room = free.setdefault(worker, free_capacity(worker))
            if any(have < need for have, need in zip(room, needs, strict=True)):
                continue
            # Limits on the tasks of a step per worker count as well.
            remaining = slots.setdefault((step, worker), worker.slots(step))
            if not remaining:
                continue
            slots[step, worker] = remaining - 1
            free[worker] = room.minus(needs)
            break
        else:
            without_room.add(task)
    return without_room


def _targets(
    step: StepRun, left: set[Worker], find_targets: FindTargets
) -> list[Worker]:
    """Return the sound workers for moved runs of a step, the fullest first."""
    targets = []
    for worker in find_targets(step):
        if worker in left or worker.health is not WorkerHealth.SOUND:
            continue
        if step.shape.data_rack and worker.rack != step.shape.data_rack:
            continue
        targets.append(worker)
    targets.sort(key=lambda worker: (worker.free_gpus, worker.id))
    return targets
