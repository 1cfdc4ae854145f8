"""Make room for guaranteed work by stopping the work whose loss is cheapest."""

from dataclasses import dataclass, field

from zinniatrestle.ids import JobId
from zinniatrestle.scheduling.placement import (
    Assignment,
    Terms,
    candidates,
    groups,
)
from zinniatrestle.scheduling.state import (
    StepRun,
    Task,
    TaskStatus,
    Worker,
)

# Core-seconds (in thousandths) of extra cost for each level that a victim's queue
# stands above the lowest, so that the least urgent work is stopped first.
LEVEL_COST = 20_000.0
LOWEST_LEVEL = 9


@dataclass
class Reclaim:
    """Where a step will go, and what has to be stopped for it."""

    places: Assignment = field(default_factory=dict)
    victims: list[Task] = field(default_factory=list)
    cost: float = 0.0


@dataclass
class Room:
    """What is free at a worker, in a plan."""

    cpu: int
    memory: int
    gpus: int

    def add(self, task: Task):
        """Count a task's room as free."""
        shape = task.step.shape
        self.cpu += 0 if shape.fills else shape.cpu
        self.memory += shape.memory_mb
        self.gpus += shape.gpus

    def slots(self, step: StepRun) -> int:
        """Return how many tasks of a step fit."""
        shape = step.shape
        most = shape.count
        if shape.cpu and not shape.fills:
            most = min(most, self.cpu // shape.cpu)
        if shape.memory_mb:
            most = min(most, self.memory // shape.memory_mb)
        if shape.gpus:
            most = min(most, self.gpus // shape.gpus)
        if shape.most_per_worker:
            most = min(most, shape.most_per_worker)
        return max(0, most)


class ReclaimPlanner:
    """Plan the whole step before the first stop."""

    def __init__(self, checkpoint_interval: float):
        self.checkpoint_interval = checkpoint_interval

    def plan(
        self,
        step: StepRun,
        tasks: list[Task],
        workers: list[Worker],
        terms: Terms,
        now: float,
    ) -> Reclaim | None:
        """Return the cheapest plan that places all tasks, or None."""
        usable = candidates(step, workers, terms)
        best: Reclaim | None = None
        for group in groups(step, usable, terms):
            if best is not None and group is usable:
                break
            found = self._plan_in(step, tasks, group, now)
            if found is None:
                continue
            if best is None or found.cost < best.cost:
                best = found
        return best

    def loss(self, task: Task, now: float) -> float:
        """Return the work in thousandths of core-seconds that a stop would lose."""
        elapsed = max(0.0, now - task.started_at)
        if task.step.shape.checkpointing:
            elapsed = min(elapsed, self.checkpoint_interval / 2)
        level = max(0, LOWEST_LEVEL - task.step.job.submission.priority)
        return elapsed * task.step.work + level * LEVEL_COST

    def _plan_in(
        self, step: StepRun, tasks: list[Task], group: list[Worker], now: float
    ) -> Reclaim | None:
        rooms: dict[Worker, Room] = {}
        for worker in group:
            room = Room(worker.free_cpu, worker.free_memory, worker.free_gpus)
            for task in worker.tasks.values():
                if task.status is TaskStatus.STOPPING:
                    room.add(task)
            rooms[worker] = room
        chosen = Reclaim()
        stopped: set[Task] = set()
        while sum(room.slots(step) for room in rooms.values()) < len(tasks):
            cheapest = self._cheapest(step, rooms, stopped, now)
            if cheapest is None:
                return None
            cost, victims = cheapest
            chosen.cost += cost
            for victim in victims:
                stopped.add(victim)
                chosen.victims.append(victim)
                if victim.worker in rooms:
                    rooms[victim.worker].add(victim)
        waiting = iter(tasks)
        ranked = sorted(rooms, key=lambda worker: (rooms[worker].gpus, worker.id))
        for worker in ranked:
            for _ in range(rooms[worker].slots(step)):
                task = next(waiting, None)
                if task is None:
                    return chosen
                chosen.places[task] = worker
        return chosen

    def _cheapest(
        self,
        step: StepRun,
        rooms: dict[Worker, Room],
        stopped: set[Task],
        now: float,
    ) -> tuple[float, list[Task]] | None:
        """Return the cheapest victims that make room for one more task."""
        best: tuple[float, list[Task]] | None = None
        for worker, room in rooms.items():
            before = room.slots(step)
            if before >= step.shape.count:
                continue
            trial = Room(room.cpu, room.memory, room.gpus)
            victims: list[Task] = []
            cost = 0.0
            for unit_cost, unit in self._units(worker, step.job.id, stopped, now):
                victims.extend(unit)
                cost += unit_cost
                for task in unit:
                    if task.worker is worker:
                        trial.add(task)
                if trial.slots(step) > before:
                    if best is None or cost < best[0]:
                        best = (cost, victims)
                    break
        return best

    def _units(
        self, worker: Worker, job: JobId, stopped: set[Task], now: float
    ) -> list[tuple[float, list[Task]]]:
        """Return what may be stopped at a worker, cheapest first, gangs as one."""
        units = []
        counted: set[StepRun] = set()
        for task in worker.tasks.values():
            if not self._may_stop(task) or task in stopped or task.step in counted:
                continue
            members = [task]
            if task.step.shape.gang:
                counted.add(task.step)
                members = [
                    member
                    for member in task.step.tasks
                    if member.occupies and member not in stopped
                ]
            units.append((sum(self.loss(member, now) for member in members), members))
        units.sort(key=lambda unit: unit[0])
        return units

    def _may_stop(self, task: Task) -> bool:
        if task.status not in (TaskStatus.RUNNING, TaskStatus.PLACED):
            return False
        if task.step.shape.lasting:
            return False
        return task.step.job.submission.priority > 0
