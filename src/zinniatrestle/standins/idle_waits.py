"""Check that no accepted job waits while most of its service is idle."""

from collections.abc import Iterator
from dataclasses import dataclass

from zinniatrestle.clock import monotonic
from zinniatrestle.ids import (
    FailureDomainId,
    InstanceId,
    JobId,
    RowName,
    TaskId,
    WorkerId,
)
from zinniatrestle.jobs.messages import Step, task_id
from zinniatrestle.standins.checker import job_of
from zinniatrestle.standins.fleet import WORKER_TABLE
from zinniatrestle.standins.model import JobOutcome, Model
from zinniatrestle.standins.operator import EVACUATION_PREFIX, OPERATOR_TABLE
from zinniatrestle.standins.runs import EventKind, FaultMode, SimulatedWorker, step_of
from zinniatrestle.workers.messages import RunOutcome, WorkerState

# The longest time in seconds for which nothing of a job may run although it could.
MAX_IDLE_SECONDS = 3.0
# The promise holds while a smaller share of the service's capacity is in use.
BUSY_SHARE = 0.5
# A step could run if there is room for this many times what it needs to start.
ROOM_FACTOR = 2
# Thousandths of a core to which one accelerator is equated in a worker's capacity.
ACCELERATOR_MILLICORES = 8000
# Fault modes in which a worker's free capacity is of no use to a task.
UNFIT_MODES = frozenset({FaultMode.FAILS, FaultMode.HANGS, FaultMode.SHEDS})


@dataclass
class IdleWait:
    """A time in which nothing of a job ran although the step of `task` could have."""

    job: JobId
    task: TaskId
    since: float
    until: float

    def __str__(self):
        seconds = self.until - self.since
        return (
            f"LOST: {self.task} waits from {self.since:.1f} to {self.until:.1f} "
            f"({seconds:.1f} s) while most of its service is idle"
        )


class IdleWaits:
    """Look for waits of accepted jobs from `begins_at` on, as the workers see them.

    `sample` is to be called often from the start of the model. The promise is broken
    if nothing of an accepted, uncancelled job runs for `MAX_IDLE_SECONDS` while all
    steps before an unfinished one have ended, there is room for it twice over, and
    less than half of the service's capacity is in use.
    """

    def __init__(self, model: Model, begins_at: float):
        self.model = model
        self.begins_at = begins_at
        self.events_read = 0
        # Tasks that ended well, and those of which the scheduler may not know it yet.
        self.done: set[TaskId] = set()
        self.unconfirmed: dict[TaskId, tuple[WorkerId, InstanceId]] = {}
        self.current: dict[JobId, IdleWait] = {}
        self.broken: list[IdleWait] = []

    def sample(self):
        """Update all waits to the state of the workers now."""
        self._read_history()
        self._confirm_ends()
        now = monotonic()
        waiting = self._waiting_tasks() if now >= self.begins_at else {}
        for job in list(self.current):
            if job not in waiting:
                del self.current[job]
        for job, task in waiting.items():
            wait = self.current.get(job)
            if wait is None:
                self.current[job] = IdleWait(job, task, now, now)
                continue
            wait.until = now
            if now - wait.since >= MAX_IDLE_SECONDS and wait not in self.broken:
                self.broken.append(wait)

    def violations(self) -> list[str]:
        """Return a line for each wait that broke the promise."""
        return [str(wait) for wait in self.broken]

    # Ends of tasks

    def _read_history(self):
        fleet = self.model.fleet
        for event in fleet.history[self.events_read :]:
            if event.outcome is not RunOutcome.DONE:
                continue
            if event.kind is EventKind.ACKNOWLEDGED:
                self._confirm(event.task)
            elif event.task not in self.done and event.worker in fleet.workers:
                instance = fleet.workers[event.worker].entry.instance
                self.unconfirmed[event.task] = (event.worker, instance)
        self.events_read = len(fleet.history)

    def _confirm_ends(self):
        """Settle the ends that their worker has dropped since the last sample."""
        for task, (worker_id, instance) in list(self.unconfirmed.items()):
            worker = self.model.fleet.workers.get(worker_id)
            if worker is None or not worker.alive or worker.entry.instance != instance:
                # The end was lost with the worker, so the task has to run again.
                del self.unconfirmed[task]
                continue
            if not any(end.task == task for end in worker.ended):
                self._confirm(task)

    def _confirm(self, task: TaskId):
        self.done.add(task)
        self.unconfirmed.pop(task, None)

    def _has_ended(self, task: TaskId) -> bool:
        return task in self.done or task in self.unconfirmed

    def _unfinished(self, job: JobId, number: int, shape: Step) -> list[TaskId]:
        """Return the tasks of a step that have not ended well.

        One end stands for a whole gang.
        """
        tasks = [task_id(job, 0, number, index) for index in range(shape.count)]
        unfinished = [task for task in tasks if not self._has_ended(task)]
        if shape.gang and len(unfinished) < len(tasks):
            return []
        return unfinished

    # Waits

    def _waiting_tasks(self) -> dict[JobId, TaskId]:
        """Return the jobs that run nothing although they could, with one such task."""
        if not self._is_idle():
            return {}
        running = set()
        for worker in self._live_workers():
            running |= {job_of(task) for task in worker.running}
        usable = [worker for worker in self._live_workers() if self._is_usable(worker)]
        waiting = {}
        for job, outcome in self.model.jobs.items():
            if not outcome.accepted or outcome.cancel_sent or job in running:
                continue
            if self.model.has_ended(job):
                continue
            task = self._task_with_room(job, outcome, usable)
            if task is not None:
                waiting[job] = task
        return waiting

    def _task_with_room(
        self, job: JobId, outcome: JobOutcome, usable: list[SimulatedWorker]
    ) -> TaskId | None:
        unfinished = [
            self._unfinished(job, number, shape)
            for number, shape in enumerate(outcome.steps)
        ]
        for shape, tasks in zip(outcome.steps, unfinished, strict=True):
            if not tasks or any(unfinished[number] for number in shape.after):
                continue
            needed = ROOM_FACTOR * (shape.count if shape.gang else 1)
            slots = 0
            for worker in usable:
                slots += _slots(worker, shape, step_of(tasks[0]))
            if slots >= needed:
                return tasks[0]
        return None

    def _live_workers(self) -> Iterator[SimulatedWorker]:
        for worker in self.model.fleet.workers.values():
            if worker.alive:
                yield worker

    def _is_idle(self) -> bool:
        capacity = used = 0
        for worker in self._live_workers():
            entry = worker.entry
            capacity += entry.cpu + entry.gpus * ACCELERATOR_MILLICORES
            for run in worker.running.values():
                used += _cpu(run.shape) + run.shape.gpus * ACCELERATOR_MILLICORES
        return used < BUSY_SHARE * capacity

    def _is_usable(self, worker: SimulatedWorker) -> bool:
        entry = worker.entry
        if not worker.reachable or worker.fault_mode in UNFIT_MODES:
            return False
        if entry.state is not WorkerState.READY:
            return False
        if self.model.rows.row(WORKER_TABLE, RowName(entry.worker)) is None:
            return False
        if any(name == entry.worker for _, name in self.model.fleet.partitions):
            return False
        return not self._is_evacuated(entry.domain)

    def _is_evacuated(self, domain: FailureDomainId) -> bool:
        name = RowName(EVACUATION_PREFIX + domain)
        return self.model.rows.row(OPERATOR_TABLE, name) is not None


def _slots(worker: SimulatedWorker, shape: Step, step: str) -> int:
    """Return how many tasks of a step fit on a worker beside what runs there."""
    runs = [run.shape for run in worker.running.values()]
    slots = ROOM_FACTOR * shape.count
    if _cpu(shape):
        free_cpu = worker.entry.cpu - sum(_cpu(run) for run in runs)
        slots = min(slots, free_cpu // shape.cpu)
    if shape.memory_mb:
        free_memory = worker.entry.memory_mb - sum(run.memory_mb for run in runs)
        slots = min(slots, free_memory // shape.memory_mb)
    if shape.gpus:
        free_gpus = worker.entry.gpus - sum(run.gpus for run in runs)
        slots = min(slots, free_gpus // shape.gpus)
    if shape.max_per_worker:
        on_worker = sum(step_of(task) == step for task in worker.running)
        slots = min(slots, shape.max_per_worker - on_worker)
    return max(0, slots)


def _cpu(shape: Step) -> int:
    """Return the capacity that a task takes; one at best effort takes none."""
    return 0 if shape.best_effort else shape.cpu
