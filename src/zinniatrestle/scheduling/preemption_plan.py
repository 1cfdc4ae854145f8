"""Preemption plans: free capacity for a step at the lowest cost in lost work."""

import heapq
import math
from dataclasses import dataclass, field

from zinniatrestle.scheduling.placement import (
    Assignment,
    PlacementConstraints,
    candidates,
    locality_groups,
)
from zinniatrestle.scheduling.preemption_costs import PreemptionCosts, PreemptionUnit
from zinniatrestle.scheduling.speeds import is_below_usual
from zinniatrestle.scheduling.state import (
    StepRun,
    Task,
    Worker,
)


@dataclass
class PreemptionPlan:
    """Placement of a step, and the tasks to be preempted for it.

    `loss` is in thousandths of core-seconds.
    """

    assignment: Assignment = field(default_factory=dict)
    victims: list[Task] = field(default_factory=list)
    loss: float = 0.0


class FreeCapacity:
    """Free capacity of a worker while a plan is made.

    Capacity of tasks that are being stopped already counts as free, unless their stop
    is overdue.
    """

    def __init__(self, worker: Worker, step: StepRun, costs: PreemptionCosts):
        self.worker = worker
        self.step = step
        self.cpu = worker.free_cpu
        self.memory = worker.free_memory
        self.gpus = worker.free_gpus
        for task in worker.tasks.values():
            if costs.ends_soon(task):
                self.add(task)
        # Tasks of the step that the worker may still take, if the step limits them.
        self.allowed = step.shape.max_per_worker
        for task in worker.tasks.values():
            self.allowed -= task.step is step
        # Incremented by each change, so that options computed before it count as stale.
        self.version = 0

    def add(self, task: Task, sign: int = 1):
        """Count a task's resources as free, or as occupied again if `sign` is -1."""
        shape = task.step.shape
        self.cpu += 0 if shape.best_effort else sign * shape.cpu
        self.memory += sign * shape.memory_mb
        self.gpus += sign * shape.gpus

    def slots(self) -> int:
        """Return how many tasks of the step fit into the free capacity."""
        shape = self.step.shape
        max_slots = shape.count
        if shape.cpu and not shape.best_effort:
            max_slots = min(max_slots, self.cpu // shape.cpu)
        if shape.memory_mb:
            max_slots = min(max_slots, self.memory // shape.memory_mb)
        if shape.gpus:
            max_slots = min(max_slots, self.gpus // shape.gpus)
        if shape.max_per_worker:
            max_slots = min(max_slots, self.allowed)
        return max(0, max_slots)


@dataclass(order=True)
class PreemptionOption:
    """Units whose preemption lets more tasks of the step fit on one worker."""

    weighted_loss_per_slot: float
    sequence: int
    capacity: FreeCapacity = field(compare=False)
    version: int = field(compare=False)
    units: list[PreemptionUnit] = field(compare=False)


class PreemptionPlanner:
    """Plan the preemptions for a whole step before the first task is stopped."""

    def plan(
        self,
        step: StepRun,
        tasks: list[Task],
        workers: list[Worker],
        constraints: PlacementConstraints,
        costs: PreemptionCosts,
        limit: float = math.inf,
    ) -> PreemptionPlan | None:
        """Return the cheapest plan that places all tasks.

        Returns None if there is no plan that loses at most `limit` thousandths of
        core-seconds. Protected units are preempted only if there is no limit. A
        time-critical step gets workers below the usual speed only if the others are not
        enough.
        """
        usable = candidates(step, workers, constraints)
        if constraints.time_critical and limit < math.inf:
            fast = [
                worker for worker in usable if not is_below_usual(worker, costs.now)
            ]
            if len(fast) < len(usable):
                plan = self._plan_within(step, tasks, fast, constraints, costs, limit)
                if plan is not None:
                    return plan
        return self._plan_within(step, tasks, usable, constraints, costs, limit)

    def _plan_within(
        self,
        step: StepRun,
        tasks: list[Task],
        usable: list[Worker],
        constraints: PlacementConstraints,
        costs: PreemptionCosts,
        limit: float,
    ) -> PreemptionPlan | None:
        """Return the cheapest plan on the given workers."""
        best: PreemptionPlan | None = None
        for group in locality_groups(step, usable, constraints):
            if best is not None and group is usable:
                break
            loss_limit = limit if best is None else min(limit, best.loss)
            found = GroupPlanner(step, tasks, group, costs).plan(
                loss_limit, limit == math.inf
            )
            if found is not None and (best is None or found.loss < best.loss):
                best = found
        return best


class GroupPlanner:
    """Make a plan for one step within one group of workers.

    The plan is built greedily: the option with the lowest weighted loss per slot is
    applied until all tasks fit. Units that turn out to be redundant are then dropped.
    """

    def __init__(
        self,
        step: StepRun,
        tasks: list[Task],
        group: list[Worker],
        costs: PreemptionCosts,
    ):
        self.step = step
        self.tasks = tasks
        self.costs = costs
        self.capacities = {
            worker: FreeCapacity(worker, step, costs) for worker in group
        }
        self.slots = {
            worker: capacity.slots() for worker, capacity in self.capacities.items()
        }
        self.total = sum(self.slots.values())
        self.may_use_protected = False
        self.chosen: list[PreemptionUnit] = []
        self.preempted: set[PreemptionUnit] = set()
        self.options: list[PreemptionOption] = []

    def plan(self, limit: float, may_use_protected: bool) -> PreemptionPlan | None:
        """Return a plan, or None if the tasks don't fit or the loss exceeds `limit`."""
        self.may_use_protected = may_use_protected
        for capacity in self.capacities.values():
            self._push_option(capacity)
        loss = 0.0
        while self.total < len(self.tasks):
            if not self.options:
                return None
            option = heapq.heappop(self.options)
            if option.version != option.capacity.version:
                self._push_option(option.capacity)
                continue
            for unit in option.units:
                loss += unit.loss
                self._apply(unit)
            if loss > limit:
                return None
            self._push_option(option.capacity)
        self._drop_redundant_units()
        return self._build_plan()

    def _push_option(self, capacity: FreeCapacity):
        """Queue the cheapest units that let at least one more task fit on a worker."""
        before = self.slots[capacity.worker]
        if before >= self.step.shape.count:
            return
        weighted_loss = 0.0
        units = []
        for unit in self.costs.units_at(capacity.worker):
            if unit in self.preempted or unit.is_stopped:
                continue
            if unit.is_protected and not self.may_use_protected:
                continue
            units.append(unit)
            weighted_loss += unit.weighted_loss
            self._adjust(unit, capacity)
            if capacity.slots() > before:
                break
        slots_gained = capacity.slots() - before
        for unit in units:
            self._adjust(unit, capacity, -1)
        if slots_gained <= 0:
            return
        needed = min(slots_gained, len(self.tasks) - self.total)
        option = PreemptionOption(
            weighted_loss / max(1, needed),
            len(self.options),
            capacity,
            capacity.version,
            units,
        )
        heapq.heappush(self.options, option)

    def _adjust(self, unit: PreemptionUnit, capacity: FreeCapacity, sign: int = 1):
        for task in unit.tasks:
            if task.worker is capacity.worker:
                capacity.add(task, sign)

    def _apply(self, unit: PreemptionUnit, sign: int = 1):
        """Count a unit as preempted on all its workers; undo that if `sign` is -1."""
        touched = set()
        for task in unit.tasks:
            capacity = self.capacities.get(task.worker)
            if capacity is None:
                continue
            capacity.add(task, sign)
            touched.add(capacity)
        for capacity in touched:
            capacity.version += 1
            slots = capacity.slots()
            self.total += slots - self.slots[capacity.worker]
            self.slots[capacity.worker] = slots
        if sign > 0:
            self.preempted.add(unit)
            self.chosen.append(unit)

    def _drop_redundant_units(self):
        """Drop units whose preemption the step doesn't need, the costliest first."""
        for unit in sorted(self.chosen, key=lambda unit: -unit.weighted_loss):
            self._apply(unit, -1)
            if self.total >= len(self.tasks):
                self.chosen.remove(unit)
                continue
            self.chosen.remove(unit)
            self._apply(unit)

    def _build_plan(self) -> PreemptionPlan:
        plan = PreemptionPlan()
        for unit in self.chosen:
            plan.loss += unit.loss
            plan.victims.extend(unit.tasks)
        waiting = iter(self.tasks)
        ranked = sorted(
            self.capacities,
            key=lambda worker: (self.capacities[worker].gpus, worker.id),
        )
        for worker in ranked:
            for _ in range(self.slots[worker]):
                task = next(waiting, None)
                if task is None:
                    return plan
                plan.assignment[task] = worker
        return plan
