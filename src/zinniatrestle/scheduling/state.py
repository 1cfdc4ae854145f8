"""Jobs, steps, tasks and workers as the scheduler sees them."""

import asyncio
from enum import Enum

from zinniatrestle.ids import (
    BootSeconds,
    FailureDomainId,
    JobId,
    RackId,
    RegionId,
    RowVersion,
    RunNumber,
    TaskId,
    WorkerId,
)
from zinniatrestle.jobs.messages import (
    JobProgress,
    JobState,
    Step,
    Submission,
    TaskProgress,
    task_id,
    task_key,
)
from zinniatrestle.workers.lease import WorkerLease
from zinniatrestle.workers.messages import WorkerEntry, WorkerState

MILLISECONDS = 1000.0
MILLICORES_PER_CORE = 1000.0
DONE_PERCENT = 100.0
# Progress is told in whole percents, so a rate is counted over so many percents, or
# over so many seconds if there are fewer.
RATE_WINDOW_PERCENT = 10.0
RATE_WINDOW_SECONDS = 1.5
MIN_RATE_SECONDS = 0.05
# Thousandths of a core that an accelerator counts as when work is weighed.
ACCELERATOR_MILLICORES = 8000


class TaskStatus(Enum):
    """Where a task stands."""

    WAITING = "waiting"
    # Bound to a worker whose room is being made free.
    RESERVED = "reserved"
    # Written down as started; the worker has not confirmed it.
    PLACED = "placed"
    RUNNING = "running"
    # It may still run; a stop is under way.
    STOPPING = "stopping"
    DONE = "done"


# A task of these statuses takes room at its worker.
ALLOCATED_STATUSES = frozenset(
    {TaskStatus.PLACED, TaskStatus.RUNNING, TaskStatus.STOPPING}
)


class Task:
    """One task of a step, and its latest run."""

    def __init__(self, step: "StepRun", index: int):
        self.step = step
        self.index = index
        self.id = task_id(step.job.id, step.occurrence, step.number, index)
        self.key = task_key(self.id)
        self.status = TaskStatus.WAITING
        self.run = RunNumber(0)
        self.worker: Worker | None = None
        self.failed_runs: set[RunNumber] = set()
        self.checkpoint = ""
        self.ticket = ""
        self.started_at = BootSeconds(0.0)
        # Its start is being ordered; a report can't tell yet whether it runs.
        self.start_pending = False
        # Placed by an earlier scheduler.
        self.inherited = False
        self.confirmed_at = BootSeconds(0.0)
        # Where an earlier scheduler placed it: worker and that worker's start.
        self.previous_assignment = (WorkerId(""), 0)
        # Its run began from a checkpoint.
        self.resumed = False
        # Its worker has listed this run, so it belongs to the life that is known.
        self.reported = False
        # Its start was answered, so it is known for how long it runs.
        self.start_time_known = False
        self.percent = 0.0
        self.percent_changed_at = BootSeconds(0.0)
        # The first progress told of this run, from which its pace is counted.
        self.baseline_percent = 0.0
        self.baseline_at = BootSeconds(0.0)
        # Percent a second that it made of late; None: not known yet.
        self.progress_rate: float | None = None
        # From when and where that is counted.
        self.window_percent = 0.0
        self.window_at = BootSeconds(0.0)
        self.reported_at = BootSeconds(0.0)
        # Workers on which it failed or stood still.
        self.avoided_workers: set[WorkerId] = set()
        self.pace = 100

    def note_progress(self, percent: float, at: BootSeconds):
        """Take what a worker told of a run's progress."""
        if not self.baseline_at:
            self.baseline_percent = percent
            self.baseline_at = at
        if not self.window_at:
            self.window_percent = self.baseline_percent
            self.window_at = self.baseline_at
        if percent != self.percent or self.percent_changed_at == 0.0:
            self.percent = percent
            self.percent_changed_at = at
        self.reported_at = at
        gained = percent - self.window_percent
        seconds = at - self.window_at
        if gained < RATE_WINDOW_PERCENT and seconds < RATE_WINDOW_SECONDS:
            return
        self.progress_rate = gained / max(seconds, MIN_RATE_SECONDS)
        if percent < DONE_PERCENT:
            self.window_percent = percent
            self.window_at = at

    def reset_progress(self):
        """Forget the progress of the run before."""
        self.percent = self.baseline_percent = self.window_percent = 0.0
        self.progress_rate = None
        self.started_at = self.baseline_at = self.window_at = BootSeconds(0.0)
        self.start_time_known = self.reported = False

    @property
    def is_allocated(self) -> bool:
        """Tell whether it takes room at its worker."""
        return self.status in ALLOCATED_STATUSES

    def to_progress(self) -> TaskProgress:
        """Return what is kept of it."""
        worker = self.worker if self.is_allocated else None
        return TaskProgress(
            run=self.run,
            worker=worker.id if worker else WorkerId(""),
            instance=worker.entry.instance if worker else 0,
            failed_runs=tuple(sorted(self.failed_runs)),
            checkpoint=self.checkpoint,
            done=self.status is TaskStatus.DONE,
        )

    def restore(self, record: TaskProgress):
        """Take over what was kept, but for its place."""
        self.run = record.run
        self.failed_runs = set(record.failed_runs)
        self.checkpoint = record.checkpoint
        if record.done:
            self.status = TaskStatus.DONE


class StepRun:
    """One step of one occurrence of a job."""

    def __init__(self, job: "Job", occurrence: int, number: int):
        self.job = job
        self.occurrence = occurrence
        self.number = number
        self.shape: Step = job.submission.steps[number]
        self.key = f"{occurrence}.{number}"
        self.tasks = [Task(self, index) for index in range(self.shape.count)]
        self.done = False
        self.ready_at: BootSeconds | None = None
        # When room was last to be made for it.
        self.preemption_tried_at = BootSeconds(float("-inf"))
        # Members of the latest run that ended because another member had ended.
        self.aborted_members: set[Task] = set()

    @property
    def task_weight(self) -> float:
        """Return a task's weight in thousandths of a core."""
        return self.shape.cpu + self.shape.gpus * ACCELERATOR_MILLICORES

    def failure_count(self, task: Task) -> int:
        """Return how often a task has failed, or its gang as a whole."""
        if not self.shape.gang:
            return len(task.failed_runs)
        failed: set[RunNumber] = set()
        for member in self.tasks:
            failed |= member.failed_runs
        return len(failed)

    def waiting_tasks(self) -> list[Task]:
        """Return the tasks without a place."""
        return [task for task in self.tasks if task.status is TaskStatus.WAITING]

    def finish(self):
        """Forget the tasks of a step whose tasks are all done."""
        self.done = True
        self.tasks = []


class Job:
    """A job that has not ended, or of which something may still run."""

    def __init__(self, submission: Submission, version: RowVersion):
        self.id: JobId = submission.job
        self.submission = submission
        self.version = version
        self.state = JobState.PENDING
        self.has_started = False
        self.steps: dict[str, StepRun] = {}
        # Steps that are done, of the occurrences from `finished_before` on.
        self.finished_steps: set[str] = set()
        self.finished_before = 0
        self.next_occurrence = 0
        self.submission_deleted = False
        self.accepted_at = BootSeconds(0.0)
        self.due_at = BootSeconds(0.0)
        if not submission.timed:
            self.add_occurrence(0)
            self.next_occurrence = 1

    @property
    def ended(self) -> bool:
        """Tell whether nothing of it starts any more."""
        return self.state.ended

    def add_occurrence(self, occurrence: int):
        """Add the steps of one occurrence."""
        for number in range(len(self.submission.steps)):
            step = StepRun(self, occurrence, number)
            if step.key in self.finished_steps:
                step.finish()
            self.steps[step.key] = step

    def is_ready(self, step: StepRun) -> bool:
        """Tell whether the steps that come before a step are done."""
        for before in step.shape.after:
            if not self.steps[f"{step.occurrence}.{before}"].done:
                return False
        return True

    def allocated_tasks(self) -> list[Task]:
        """Return the tasks that take room somewhere."""
        found = []
        for step in self.steps.values():
            found.extend(task for task in step.tasks if task.is_allocated)
        return found

    def all_done(self) -> bool:
        """Tell whether every task of every occurrence has ended as done."""
        if self.submission.timed:
            if self.next_occurrence < self.submission.occurrences:
                return False
        return all(step.done for step in self.steps.values())

    def drop_finished_occurrences(self):
        """Forget occurrences of which every step is done."""
        if not self.submission.timed:
            return
        open_occurrences = {
            step.occurrence for step in self.steps.values() if not step.done
        }
        self.finished_before = min(open_occurrences, default=self.next_occurrence)
        for key, step in list(self.steps.items()):
            if step.occurrence not in open_occurrences:
                del self.steps[key]
        for key in list(self.finished_steps):
            if occurrence_of(key) < self.finished_before:
                self.finished_steps.discard(key)

    @property
    def tasks_per_occurrence(self) -> int:
        """Return how many tasks one occurrence has."""
        return sum(step.count for step in self.submission.steps)

    def unfinished_task_count(self) -> int:
        """Return how many tasks its steps have that are not done."""
        return sum(len(step.tasks) for step in self.steps.values())

    def to_progress(self, now_ms: float) -> JobProgress:
        """Return what is kept of it."""
        tasks = {}
        for step in self.steps.values():
            for task in step.tasks:
                if task.run:
                    tasks[task.key] = task.to_progress()
        return JobProgress(
            state=self.state,
            queue=self.submission.queue,
            timed=self.submission.timed,
            changed_at=int(now_ms),
            finished_before=self.finished_before,
            finished=sorted(self.finished_steps),
            tasks={} if self.ended and not self.allocated_tasks() else tasks,
        )


def occurrence_of(key: str) -> int:
    """Return the occurrence in the name of a step or a task within its job."""
    return int(key.split(".")[0])


class WorkerHealth(Enum):
    """Whether a worker is trusted with tasks."""

    SOUND = "sound"
    QUARANTINED = "quarantined"
    # It gets a single task to show that it works again.
    CANARY = "canary"


class Worker:
    """One life of a worker."""

    def __init__(self, entry: WorkerEntry, region: RegionId):
        self.id: WorkerId = entry.worker
        self.entry = entry
        self.region = region
        self.lease = WorkerLease()
        self.tasks: dict[TaskId, Task] = {}
        self.reserved: dict[TaskId, Task] = {}
        self.free_cpu = entry.cpu
        self.free_memory = entry.memory_mb
        self.free_gpus = entry.gpus
        # Runs that are not the scheduler's own: being stopped, weight unknown.
        self.unknown_runs: set[TaskId] = set()
        # It has answered to this scheduler's generation number.
        self.generation_confirmed = False
        self.silent = False
        self.entry_seen_at = BootSeconds(0.0)
        # Its entry is gone from the registry since.
        self.missing_since: BootSeconds | None = None
        # Until when it works at least, once it is leaving.
        self.drain_deadline: BootSeconds | None = None
        self.has_ended = False
        # It is being emptied and gets no new work.
        self.cordoned = False
        # Ends up to this number are kept, and the worker may forget them.
        self.acknowledged_end = 0
        self.save_requested_end = 0
        self.save_task: asyncio.Task | None = None
        # Its speed as compared with others, 1 being the usual one.
        self.speed = 1.0
        self.speed_seen_at = BootSeconds(0.0)
        self.health = WorkerHealth.SOUND
        self.quarantined_until = BootSeconds(0.0)
        self.quarantines = 0
        self.last_done_at = BootSeconds(0.0)
        self.failed_jobs: dict[JobId, BootSeconds] = {}

    @property
    def domain(self) -> FailureDomainId:
        """Return its failure domain."""
        return self.entry.domain

    @property
    def rack(self) -> RackId:
        """Return its rack."""
        return self.entry.rack

    def usable(self) -> bool:
        """Tell whether new tasks may go there, health and evacuations aside."""
        return (
            self.generation_confirmed
            and not self.silent
            and not self.has_ended
            and not self.cordoned
            and self.missing_since is None
            and self.entry.state is WorkerState.READY
            and not self.unknown_runs
        )

    def add_task(self, task: Task):
        """Count a task in."""
        self.tasks[task.id] = task
        self._allocate(task, 1)

    def remove_task(self, task: Task):
        """Count a task out."""
        if self.tasks.pop(task.id, None) is not None:
            self._allocate(task, -1)

    def reserve(self, task: Task):
        """Keep room for a task."""
        self.reserved[task.id] = task
        self._allocate(task, 1)

    def release_reservation(self, task: Task):
        """Give up the room kept for a task."""
        if self.reserved.pop(task.id, None) is not None:
            self._allocate(task, -1)

    def _allocate(self, task: Task, sign: int):
        shape = task.step.shape
        if not shape.best_effort:
            self.free_cpu -= sign * shape.cpu
        self.free_memory -= sign * shape.memory_mb
        self.free_gpus -= sign * shape.gpus

    def slots(self, step: StepRun) -> int:
        """Return how many more tasks of a step fit."""
        shape = step.shape
        cpu, memory, gpus = self.free_cpu, self.free_memory, self.free_gpus
        most = shape.count
        if shape.cpu and not shape.best_effort:
            most = min(most, cpu // shape.cpu)
        if shape.memory_mb:
            most = min(most, memory // shape.memory_mb)
        if shape.gpus:
            most = min(most, gpus // shape.gpus)
        if shape.max_per_worker:
            here = sum(task.step is step for task in self.tasks.values())
            most = min(most, shape.max_per_worker - here)
        return max(0, most)
