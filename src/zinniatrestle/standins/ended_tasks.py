"""Follow which tasks have ended well, as the workers and the scheduler see them."""

from abc import ABC, abstractmethod

from zinniatrestle.ids import InstanceId, JobId, TaskId, WorkerId
from zinniatrestle.jobs.messages import Step, task_id
from zinniatrestle.standins.fleet import SimulatedFleet
from zinniatrestle.standins.model import JobOutcome
from zinniatrestle.standins.runs import EventKind, WorkerEvent
from zinniatrestle.workers.messages import RunOutcome


class EndedTasks(ABC):
    """The tasks that ended well; `update` is to be called often from the start."""

    def __init__(self, fleet: SimulatedFleet):
        self.fleet = fleet
        self.events_read = 0
        self.done: set[TaskId] = set()
        # Tasks that ended well, but the scheduler may not know it yet.
        self.unconfirmed: dict[TaskId, tuple[WorkerId, InstanceId]] = {}

    def update(self):
        """Read what has happened at the workers since the last call."""
        for event in self.fleet.history[self.events_read :]:
            if event.outcome is RunOutcome.DONE:
                self._read_end(event)
        self.events_read = len(self.fleet.history)

    def next_steps(
        self, job: JobId, outcome: JobOutcome, now: float
    ) -> list[tuple[Step, list[TaskId]]]:
        """Return the unfinished steps of a job whose turn has come, and their tasks."""
        occurrences = 1
        if outcome.due_times is not None:
            occurrences = outcome.due_times.due_by(now)
        found = []
        for occurrence in range(occurrences):
            unfinished = []
            for number, shape in enumerate(outcome.steps):
                unfinished.append(self._unfinished(job, occurrence, number, shape))
            for shape, tasks in zip(outcome.steps, unfinished, strict=True):
                if tasks and not any(unfinished[number] for number in shape.after):
                    found.append((shape, tasks))
        return found

    def _unfinished(
        self, job: JobId, occurrence: int, number: int, shape: Step
    ) -> list[TaskId]:
        """Return the tasks of a step that have not ended well.

        One end stands for a whole gang. Long-running tasks don't end.
        """
        tasks = []
        for index in range(shape.count):
            tasks.append(task_id(job, occurrence, number, index))
        if shape.long_running:
            return tasks
        unfinished = [task for task in tasks if not self._has_ended(task)]
        if shape.gang and len(unfinished) < len(tasks):
            return []
        return unfinished

    def _has_ended(self, task: TaskId) -> bool:
        return task in self.done or task in self.unconfirmed

    @abstractmethod
    def _read_end(self, event: WorkerEvent):
        """Read that a run has ended well, or that such an end was acknowledged."""


class ReportedEnds(EndedTasks):
    """The tasks whose ends the scheduler knows or can still learn of."""

    def update(self):
        """Read what has happened at the workers since the last call."""
        super().update()
        self._confirm_ends()

    def _read_end(self, event: WorkerEvent):
        workers = self.fleet.workers
        if event.kind is EventKind.ACKNOWLEDGED:
            self._confirm(event.task)
        elif event.task not in self.done and event.worker in workers:
            instance = workers[event.worker].entry.instance
            self.unconfirmed[event.task] = (event.worker, instance)

    def _confirm_ends(self):
        """Settle the ends that their worker has dropped since the last call."""
        for task, (worker_id, instance) in list(self.unconfirmed.items()):
            worker = self.fleet.workers.get(worker_id)
            if worker is None or not worker.alive or worker.entry.instance != instance:
                # The end was lost with the worker, so the task has to run again.
                del self.unconfirmed[task]
                continue
            if not any(end.task == task for end in worker.ended):
                self._confirm(task)

    def _confirm(self, task: TaskId):
        self.done.add(task)
        self.unconfirmed.pop(task, None)


class EndsAtWorkers(EndedTasks):
    """The tasks that ended at a worker, even if it left before anyone heard of it."""

    def _read_end(self, event: WorkerEvent):
        self.done.add(event.task)
