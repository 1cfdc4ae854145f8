"""Make room for urgent work by stopping the work whose loss is cheapest."""

import heapq
import math
from dataclasses import dataclass, field

from zinniatrestle.scheduling.placement import (
    Assignment,
    PlacementConstraints,
    candidates,
    groups,
)
from zinniatrestle.scheduling.preemption_costs import PreemptionCosts, PreemptionUnit
from zinniatrestle.scheduling.state import (
    StepRun,
    Task,
    TaskStatus,
    Worker,
)


@dataclass
class ReclaimPlan:
    """Where a step will go, and what has to be stopped for it.

    `loss` is in thousandths of core-seconds.
    """

    places: Assignment = field(default_factory=dict)
    victims: list[Task] = field(default_factory=list)
    loss: float = 0.0


class FreeCapacity:
    """What is free at a worker, in a plan."""

    def __init__(self, worker: Worker, step: StepRun):
        self.worker = worker
        self.step = step
        self.cpu = worker.free_cpu
        self.memory = worker.free_memory
        self.gpus = worker.free_gpus
        for task in worker.tasks.values():
            if task.status is TaskStatus.STOPPING:
                self.add(task)
        # Raised by each change, so that offers made before it are known as old.
        self.changes = 0

    def add(self, task: Task, sign: int = 1):
        """Count a task's room as free, or as taken again by a `sign` of -1."""
        shape = task.step.shape
        self.cpu += 0 if shape.best_effort else sign * shape.cpu
        self.memory += sign * shape.memory_mb
        self.gpus += sign * shape.gpus

    def slots(self) -> int:
        """Return how many tasks of the step fit."""
        shape = self.step.shape
        most = shape.count
        if shape.cpu and not shape.best_effort:
            most = min(most, self.cpu // shape.cpu)
        if shape.memory_mb:
            most = min(most, self.memory // shape.memory_mb)
        if shape.gpus:
            most = min(most, self.gpus // shape.gpus)
        if shape.max_per_worker:
            most = min(most, shape.max_per_worker)
        return max(0, most)


@dataclass(order=True)
class Offer:
    """Units whose stop makes room for more tasks at one worker."""

    rank_per_slot: float
    number: int
    room: FreeCapacity = field(compare=False)
    changes: int = field(compare=False)
    units: list[PreemptionUnit] = field(compare=False)


class ReclaimPlanner:
    """Plan the whole step before the first stop."""

    def plan(
        self,
        step: StepRun,
        tasks: list[Task],
        workers: list[Worker],
        constraints: PlacementConstraints,
        costs: PreemptionCosts,
        limit: float = math.inf,
    ) -> ReclaimPlan | None:
        """Return the cheapest plan that places all tasks, or None.

        A plan that would lose more than `limit` (thousandths of core-seconds) is none.
        """
        usable = candidates(step, workers, constraints)
        best: ReclaimPlan | None = None
        for group in groups(step, usable, constraints):
            if best is not None and group is usable:
                break
            most = limit if best is None else min(limit, best.loss)
            found = GroupPlan(step, tasks, group, costs).make(most)
            if found is not None and (best is None or found.loss < best.loss):
                best = found
        return best


class GroupPlan:
    """Plan for one step within one set of workers."""

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
        self.rooms = {worker: FreeCapacity(worker, step) for worker in group}
        self.slots = {worker: room.slots() for worker, room in self.rooms.items()}
        self.total = sum(self.slots.values())
        self.chosen: list[PreemptionUnit] = []
        self.stopped: set[PreemptionUnit] = set()
        self.offers: list[Offer] = []

    def make(self, limit: float) -> ReclaimPlan | None:
        """Return the plan, or None if it can't be made or loses more than `limit`."""
        for room in self.rooms.values():
            self._offer(room)
        loss = 0.0
        while self.total < len(self.tasks):
            if not self.offers:
                return None
            offer = heapq.heappop(self.offers)
            if offer.changes != offer.room.changes:
                self._offer(offer.room)
                continue
            for unit in offer.units:
                loss += unit.loss
                self._stop(unit)
            if loss > limit:
                return None
            self._offer(offer.room)
        self._spare_what_is_not_needed()
        return self._result()

    def _offer(self, room: FreeCapacity):
        """Offer the cheapest units that make room for one more task at a worker."""
        before = self.slots[room.worker]
        if before >= self.step.shape.count:
            return
        rank = 0.0
        units = []
        for unit in self.costs.units_at(room.worker):
            if unit in self.stopped or unit.is_stopped:
                continue
            units.append(unit)
            rank += unit.rank
            self._count(unit, room)
            if room.slots() > before:
                break
        gained = room.slots() - before
        for unit in units:
            self._count(unit, room, -1)
        if gained <= 0:
            return
        needed = min(gained, len(self.tasks) - self.total)
        offer = Offer(
            rank / max(1, needed), len(self.offers), room, room.changes, units
        )
        heapq.heappush(self.offers, offer)

    def _count(self, unit: PreemptionUnit, room: FreeCapacity, sign: int = 1):
        for task in unit.tasks:
            if task.worker is room.worker:
                room.add(task, sign)

    def _stop(self, unit: PreemptionUnit, sign: int = 1):
        """Count all that a unit frees, on all its workers."""
        touched = set()
        for task in unit.tasks:
            room = self.rooms.get(task.worker)
            if room is None:
                continue
            room.add(task, sign)
            touched.add(room)
        for room in touched:
            room.changes += 1
            slots = room.slots()
            self.total += slots - self.slots[room.worker]
            self.slots[room.worker] = slots
        if sign > 0:
            self.stopped.add(unit)
            self.chosen.append(unit)

    def _spare_what_is_not_needed(self):
        """Leave units alone without which the step fits as well."""
        for unit in sorted(self.chosen, key=lambda unit: -unit.rank):
            self._stop(unit, -1)
            if self.total >= len(self.tasks):
                self.chosen.remove(unit)
                continue
            self.chosen.remove(unit)
            self._stop(unit)

    def _result(self) -> ReclaimPlan:
        found = ReclaimPlan()
        for unit in self.chosen:
            found.loss += unit.loss
            found.victims.extend(unit.tasks)
        waiting = iter(self.tasks)
        ranked = sorted(
            self.rooms, key=lambda worker: (self.rooms[worker].gpus, worker.id)
        )
        for worker in ranked:
            for _ in range(self.slots[worker]):
                task = next(waiting, None)
                if task is None:
                    return found
                found.places[task] = worker
        return found
