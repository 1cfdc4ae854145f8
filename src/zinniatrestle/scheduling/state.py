"""In-memory state of jobs, steps, tasks and workers in the scheduler."""

import asyncio
from collections.abc import Iterator, Mapping, Set
from dataclasses import dataclass
from enum import Enum
from types import MappingProxyType

from zinniatrestle.clock import boot_time
from zinniatrestle.ids import (
    BootSeconds,
    FailureDomainId,
    InstanceId,
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

MS_PER_SECOND = 1000.0
MILLICORES_PER_CORE = 1000.0
DONE_PERCENT = 100.0
FULL_PACE_PERCENT = 100
# Workers report progress in whole percents, so a rate is only computed once progress
# has advanced by this many percentage points, or after this many seconds.
RATE_WINDOW_PERCENT = 10.0
RATE_WINDOW_SECONDS = 1.5
MIN_RATE_SECONDS = 0.05
# Thousandths of a core to which one accelerator is equated in a task's weight.
ACCELERATOR_MILLICORES = 8000
# A member's report lags behind those of its gang by a few checkpoints at most.
MAX_REPLACED_CHECKPOINTS = 32
# Shared by the tasks that have none.
NO_RUNS: Set[RunNumber] = frozenset()
NO_WORKERS: Set[WorkerId] = frozenset()
NO_TASKS: Set["Task"] = frozenset()
NO_REFUSALS: Mapping[WorkerId, BootSeconds] = MappingProxyType({})
# No worker, and no instance of one.
UNASSIGNED = (WorkerId(""), 0)


class TaskStatus(Enum):
    """Scheduling status of a task."""

    WAITING = "waiting"
    # Bound to a worker on which resources are being freed by preemption.
    RESERVED = "reserved"
    # Assigned to a worker, which has not confirmed the run yet.
    PLACED = "placed"
    RUNNING = "running"
    # A stop was requested; the run may still be in progress.
    STOPPING = "stopping"
    DONE = "done"


# Statuses in which resources of a worker are allocated to the task.
ALLOCATED_STATUSES = frozenset(
    {TaskStatus.PLACED, TaskStatus.RUNNING, TaskStatus.STOPPING}
)


@dataclass(frozen=True)
class LostRun:
    """A run that was marked as lost and whose end isn't known; it may be done."""

    run: RunNumber
    worker: WorkerId
    instance: InstanceId
    lost_at: BootSeconds
    reason: str


class Task:
    """One task of a step, and its latest run.

    A job may have a thousand tasks, so an instance has no dictionary, and attributes
    that few tasks need are empty and shared at first.
    """

    __slots__ = (
        "avoided_workers",
        "baseline_at",
        "baseline_percent",
        "checkpoint",
        "completed",
        "confirmed_at",
        "early_ends",
        "failed_runs",
        "failed_workers",
        "free_since",
        "id",
        "index",
        "inherited",
        "latest_end",
        "lost_run",
        "made_room",
        "moves",
        "pace",
        "percent",
        "percent_changed_at",
        "placed_instance",
        "previous_assignment",
        "progress_rate",
        "refused_until",
        "reported",
        "reported_at",
        "restart_at",
        "restart_cost",
        "resumed",
        "run",
        "start_deadline_ms",
        "start_pending",
        "start_time_known",
        "started_at",
        "status",
        "status_at",
        "step",
        "stop_reason",
        "ticket",
        "window_at",
        "window_percent",
        "worker",
    )

    def __init__(self, step: "StepRun", index: int):
        self.step = step
        self.index = index
        self.id = task_id(step.job.id, step.occurrence, step.number, index)
        self.status = TaskStatus.WAITING
        # A run has ended as done. If it isn't the latest one, that is being stopped.
        self.completed = False
        # When the latest run was placed, was confirmed, began to be stopped or ended.
        self.status_at = BootSeconds(0.0)
        # When the latest run that a worker has confirmed was over, since which the task
        # could run again.
        self.free_since = BootSeconds(0.0)
        self.run = RunNumber(0)
        self.worker: Worker | None = None
        # Why the latest run is being stopped or was; empty if it wasn't stopped.
        self.stop_reason = ""
        # How the latest run is known to be over; empty if only a predecessor knows.
        self.latest_end = ""
        # Failed runs count as attempts. A long-running task has no limit of those and
        # keeps none of them.
        self.failed_runs: Set[RunNumber] = NO_RUNS
        # Runs of a long-running task in a row that have ended early, and when it is
        # restarted after them.
        self.early_ends = 0
        self.restart_at = BootSeconds(0.0)
        # The latest run that was lost while it may have been done, until its end is
        # known. A later run may repeat what is done.
        self.lost_run: LostRun | None = None
        self.checkpoint = ""
        self.ticket = ""
        self.started_at = BootSeconds(0.0)
        # The start order has no final answer yet, so the absence of the run from a
        # report proves nothing.
        self.start_pending = False
        # Deadline of the start order on the clock of the worker's instance, which
        # refuses the order from then on; None if it is unknown.
        self.start_deadline_ms: int | None = None
        # Placed by a scheduler of an earlier generation.
        self.inherited = False
        self.confirmed_at = BootSeconds(0.0)
        # Worker and worker instance to which an earlier scheduler assigned the task.
        self.previous_assignment = UNASSIGNED
        # Instance on which the run was placed; another one may answer in its place.
        self.placed_instance = InstanceId(0)
        # The run started from a checkpoint.
        self.resumed = False
        # A report of the worker contained this run, so the run belongs to the known
        # instance of the worker.
        self.reported = False
        # The worker answered the start order, so the run time can be computed.
        self.start_time_known = False
        self.percent = 0.0
        self.percent_changed_at = BootSeconds(0.0)
        # First progress reported for this run, the baseline for comparing speeds.
        self.baseline_percent = 0.0
        self.baseline_at = BootSeconds(0.0)
        # Recent progress in percent per second, or None if not yet known.
        self.progress_rate: float | None = None
        # Start of the window over which progress_rate is computed.
        self.window_percent = 0.0
        self.window_at = BootSeconds(0.0)
        self.reported_at = BootSeconds(0.0)
        # Workers on which the task failed or made no progress.
        self.avoided_workers: Set[WorkerId] = NO_WORKERS
        # Workers on which a run of the task failed.
        self.failed_workers: Set[WorkerId] = NO_WORKERS
        # Workers that refused to start the task, and until when it avoids them.
        self.refused_until: Mapping[WorkerId, BootSeconds] = NO_REFUSALS
        # Percentage of its full speed at which a best-effort run works; None while that
        # is unknown, as a predecessor or an order without an answer may have set it.
        self.pace: int | None = FULL_PACE_PERCENT
        # Seconds of its run time that its last preemption cost; 0 without one.
        self.restart_cost = 0.0
        # How often it was stopped to run nearer to its data.
        self.moves = 0
        # It was stopped to make room for a gang, which happens once at most.
        self.made_room = False

    def record_progress(self, percent: float, at: BootSeconds):
        """Record the progress of the run that its worker reported."""
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
        """Clear the progress and start of the previous run."""
        self.percent = self.baseline_percent = self.window_percent = 0.0
        self.progress_rate = None
        self.started_at = self.baseline_at = self.window_at = BootSeconds(0.0)
        self.start_time_known = self.reported = False
        self.start_deadline_ms = None
        self.stop_reason = ""

    @property
    def key(self) -> str:
        """Return the key of the task within its job."""
        return task_key(self.id)

    @property
    def may_be_done(self) -> bool:
        """Return whether a run is done, or was lost and may have been done."""
        return self.completed or self.lost_run is not None

    @property
    def has_run(self) -> bool:
        """Return whether a worker has confirmed the latest run."""
        return self.start_time_known or self.reported

    @property
    def is_slowed(self) -> bool:
        """Return whether the run works, or may work, at less than its full speed."""
        return self.pace is None or self.pace < FULL_PACE_PERCENT

    @property
    def is_allocated(self) -> bool:
        """Return whether resources of a worker are allocated to the task."""
        return self.status in ALLOCATED_STATUSES

    def to_progress(self) -> TaskProgress:
        """Return the state of the task that is stored."""
        worker = self.worker if self.is_allocated else None
        return TaskProgress(
            run=self.run,
            worker=worker.id if worker else WorkerId(""),
            instance=worker.entry.instance if worker else 0,
            failed_runs=tuple(sorted(self.failed_runs)),
            checkpoint=self.checkpoint,
            done=self.completed,
        )

    def restore(self, record: TaskProgress):
        """Restore the stored state, except for the assigned worker."""
        self.run = record.run
        self.placed_instance = record.instance
        if not self.step.shape.long_running:
            self.failed_runs = frozenset(record.failed_runs)
        self.checkpoint = record.checkpoint
        self.completed = record.done
        if record.done:
            self.status = TaskStatus.DONE


class StepRun:
    """One step of one occurrence of a job."""

    __slots__ = (
        "aborted_members",
        "break_cause",
        "demand_counted",
        "done",
        "has_stop_checkpoint",
        "job",
        "key",
        "lacked_capacity",
        "number",
        "occurrence",
        "preemption_tried_at",
        "ready_at",
        "replaced_checkpoints",
        "shape",
        "stopped_members",
        "tasks",
    )

    def __init__(self, job: "Job", occurrence: int, number: int):
        self.job = job
        self.occurrence = occurrence
        self.number = number
        self.shape: Step = job.submission.steps[number]
        self.key = f"{occurrence}.{number}"
        self.tasks = [Task(self, index) for index in range(self.shape.count)]
        self.done = False
        self.ready_at: BootSeconds | None = None
        # Its tasks are counted in the demand that placements pack for.
        self.demand_counted = False
        # When preemption was last attempted for the step.
        self.preemption_tried_at = BootSeconds(float("-inf"))
        # It had to wait for capacity or to preempt other work.
        self.lacked_capacity = False
        # Gang members whose latest run ended because another member had ended, and
        # those that were stopped only after such an end was known.
        self.aborted_members: Set[Task] = NO_TASKS
        self.stopped_members: Set[Task] = NO_TASKS
        # Checkpoints of a gang's latest run that newer ones have replaced.
        self.replaced_checkpoints: tuple[str, ...] = ()
        # Why a gang's latest run is over without being done; empty if it isn't known.
        self.break_cause = ""
        # The gang's checkpoint was saved at the stop of a member of its latest run.
        self.has_stop_checkpoint = False

    @property
    def id(self) -> str:
        """Return the id of the step, with which the ids of its tasks begin."""
        return f"{self.job.id}.{self.key}"

    @property
    def task_weight(self) -> float:
        """Return the weight of one task in thousandths of a core."""
        return self.shape.cpu + self.shape.gpus * ACCELERATOR_MILLICORES

    def failure_count(self, task: Task) -> int:
        """Return the number of failed runs of a task, or of its gang as a whole."""
        if not self.shape.gang:
            return len(task.failed_runs)
        failed: set[RunNumber] = set()
        for member in self.tasks:
            failed |= member.failed_runs
        return len(failed)

    def avoided_workers(self, now: float) -> set[WorkerId]:
        """Return the workers that one of its tasks avoids at `now`, in boot seconds."""
        avoided: set[WorkerId] = set()
        for task in self.tasks:
            avoided |= task.avoided_workers
            for worker, until in task.refused_until.items():
                if now < until:
                    avoided.add(worker)
        return avoided

    def failed_workers(self, task: Task) -> Set[WorkerId]:
        """Return the workers on which runs of a task, or of its whole gang, failed."""
        if not self.shape.gang:
            return task.failed_workers
        failed: set[WorkerId] = set()
        for member in self.tasks:
            failed |= member.failed_workers
        return failed

    def begin_run(self):
        """Clear what is known of a gang's former run, as a new one is placed."""
        self.aborted_members = self.stopped_members = NO_TASKS
        self.replaced_checkpoints = ()
        self.has_stop_checkpoint = False
        self.break_cause = ""

    def replace_checkpoint(self, checkpoint: str):
        """Note that a newer checkpoint of a gang's latest run replaces this one."""
        kept = self.replaced_checkpoints[1 - MAX_REPLACED_CHECKPOINTS :]
        self.replaced_checkpoints = (*kept, checkpoint)

    @property
    def completed(self) -> bool:
        """Return whether a run of each task has ended as done.

        Repetitions of such runs may not have been stopped yet.
        """
        return self.done or all(task.completed for task in self.tasks)

    def waiting_tasks(self) -> list[Task]:
        """Return the tasks that are neither assigned nor done, and may start now.

        A long-running task that keeps ending early is held back, with its whole gang.
        """
        waiting = [task for task in self.tasks if task.status is TaskStatus.WAITING]
        if not self.shape.long_running:
            return waiting
        now = boot_time()
        due = [task for task in waiting if task.restart_at <= now]
        if self.shape.gang and len(due) < len(waiting):
            return []
        return due

    def waited(self, now: BootSeconds) -> float:
        """Return for how many seconds the longest waiting task could have started."""
        waiting = self.waiting_tasks()
        if self.ready_at is None or not waiting:
            return 0.0
        return now - max(self.ready_at, min(task.free_since for task in waiting))

    def finish(self):
        """Mark the step as done, as nothing of it runs any more, and drop its tasks."""
        self.done = True
        self.tasks = []


class Job:
    """A job that has not ended or of which tasks may still be running."""

    def __init__(self, submission: Submission, version: RowVersion):
        self.id: JobId = submission.job
        self.submission = submission
        self.version = version
        self.state = JobState.PENDING
        # A worker has confirmed a run of it, or has listed the end of one.
        self.has_started = False
        self.steps: dict[str, StepRun] = {}
        # Keys of the steps done, for the occurrences from `finished_before` on; every
        # step of the earlier occurrences is done.
        self.finished_steps: set[str] = set()
        self.finished_before = 0
        self.next_occurrence = 0
        # The final progress is stored and the row of the submission is deleted.
        self.submission_deleted = False
        # That it has begun may not be stored yet.
        self.start_unsaved = False
        # Whether a task has a newer checkpoint than when the job was last stored for
        # checkpoints alone, and when that was.
        self.checkpoints_changed = False
        self.checkpoints_saved_at = BootSeconds(0.0)
        self.accepted_at = BootSeconds(0.0)
        self.due_at = BootSeconds(0.0)
        if not submission.timed:
            self.add_occurrence(0)
            self.next_occurrence = 1

    @property
    def ended(self) -> bool:
        """Return whether the job is in a final state, so that no task starts."""
        return self.state.ended

    @property
    def shown_state(self) -> JobState:
        """Return the state that callers see; a job runs once a task is assigned."""
        if self.ended:
            return self.state
        if self.has_started or self.allocated_tasks():
            return JobState.RUNNING
        return JobState.PENDING

    def add_occurrence(self, occurrence: int):
        """Add the steps of one occurrence."""
        for number in range(len(self.submission.steps)):
            step = StepRun(self, occurrence, number)
            if step.key in self.finished_steps:
                step.finish()
            self.steps[step.key] = step

    def is_ready(self, step: StepRun) -> bool:
        """Return whether all steps that a step depends on have completed."""
        return all(earlier.completed for earlier in self.dependencies(step))

    def dependencies(self, step: StepRun) -> Iterator[StepRun]:
        """Yield the steps that have to complete before a step starts."""
        for number in step.shape.after:
            yield self.steps[f"{step.occurrence}.{number}"]

    def allocated_tasks(self) -> list[Task]:
        """Return the tasks to which resources of a worker are allocated."""
        allocated = []
        for step in self.steps.values():
            allocated.extend(task for task in step.tasks if task.is_allocated)
        return allocated

    def has_completed(self) -> bool:
        """Return whether every task of every occurrence has completed."""
        if self.submission.timed:
            if self.next_occurrence < self.submission.occurrences:
                return False
        return all(step.completed for step in self.steps.values())

    def drop_finished_occurrences(self):
        """Drop the occurrences of which every step is done."""
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
        """Return the number of tasks in one occurrence."""
        return sum(step.count for step in self.submission.steps)

    @property
    def occurrence_count(self) -> int:
        """Return the number of occurrences that are held, also done ones."""
        return len(self.steps) // max(1, len(self.submission.steps))

    def unfinished_task_count(self) -> int:
        """Return the number of tasks in the steps that are not done."""
        return sum(len(step.tasks) for step in self.steps.values())

    def to_progress(self, now_ms: float) -> JobProgress:
        """Return the state of the job that is stored, changed at `now_ms`."""
        tasks = {}
        for step in self.steps.values():
            for task in step.tasks:
                if task.run:
                    tasks[task.key] = task.to_progress()
        return JobProgress(
            state=self.shown_state,
            queue=self.submission.queue,
            timed=self.submission.timed,
            changed_at=int(now_ms),
            finished_before=self.finished_before,
            finished=sorted(self.finished_steps),
            tasks={} if self.ended and not self.allocated_tasks() else tasks,
            started=self.has_started,
            account=self.submission.account,
        )


def occurrence_of(key: str) -> int:
    """Return the occurrence from the key of a step or task."""
    return int(key.split(".")[0])


class WorkerHealth(Enum):
    """Whether a worker may be given tasks, judged by its past runs."""

    SOUND = "sound"
    QUARANTINED = "quarantined"
    # Given a single task after its quarantine, to test whether it works again.
    CANARY = "canary"


class Worker:
    """One instance of a worker, with its free capacity and its tasks."""

    def __init__(self, entry: WorkerEntry, region: RegionId):
        self.id: WorkerId = entry.worker
        self.entry = entry
        self.region = region
        self.lease = WorkerLease()
        self.tasks: dict[TaskId, Task] = {}
        # Changes with each task that is added or removed.
        self.tasks_revision = 0
        self.reserved_tasks: dict[TaskId, Task] = {}
        self.free_cpu = entry.cpu
        self.free_memory = entry.memory_mb
        self.free_gpus = entry.gpus
        # Capacity except that of long-running tasks, whose runs don't end.
        self.unpinned_cpu = entry.cpu
        self.unpinned_memory = entry.memory_mb
        self.unpinned_gpus = entry.gpus
        # Tasks of runs in the latest report that the scheduler doesn't know. They are
        # being stopped, and take an unknown amount of resources.
        self.unknown_runs: set[TaskId] = set()
        # The worker has accepted this scheduler's generation.
        self.generation_confirmed = False
        self.silent = False
        # The expiry of its leases is recorded for a successor: until the record is
        # withdrawn they can't be extended, and nothing can be started.
        self.expiry_recorded = False
        # When the worker last answered a hold.
        self.reported_at = BootSeconds(0.0)
        self.entry_seen_at = BootSeconds(0.0)
        # A time before which its latest entry was not written.
        self.entry_written_after = BootSeconds(0.0)
        # The latest entry with an earlier instance than this one.
        self.earlier_entry: WorkerEntry | None = None
        self.earlier_entry_written_after = BootSeconds(0.0)
        # Since when the worker's entry has been missing from the registry.
        self.missing_since: BootSeconds | None = None
        # Earliest time at which a draining worker may shut down.
        self.drain_deadline: BootSeconds | None = None
        self.has_ended = False
        # It is out of reach, and its runs are known to have ended.
        self.runs_ended = False
        # Excluded from new work, for example while its machine is emptied.
        self.cordoned = False
        # Ends of runs up to this number are stored, so the worker may drop them.
        self.acknowledged_end = 0
        # Highest number of an end for which saving was started.
        self.save_requested_end = 0
        self.save_task: asyncio.Task | None = None
        # Speed relative to other workers, 1.0 being typical.
        self.speed = 1.0
        self.speed_measured_at = BootSeconds(0.0)
        self.health = WorkerHealth.SOUND
        self.quarantined_until = BootSeconds(0.0)
        self.quarantines = 0
        self.last_success_at = BootSeconds(0.0)
        self.failed_jobs: dict[JobId, BootSeconds] = {}

    @property
    def domain(self) -> FailureDomainId:
        """Return the failure domain of the worker."""
        return self.entry.domain

    @property
    def rack(self) -> RackId:
        """Return the rack of the worker."""
        return self.entry.rack

    def usable(self) -> bool:
        """Return whether the worker accepts tasks, health and evacuation aside."""
        return (
            self.generation_confirmed
            and not self.silent
            and not self.has_ended
            and not self.cordoned
            and not self.expiry_recorded
            and self.missing_since is None
            and self.entry.state is WorkerState.READY
            and not self.unknown_runs
        )

    def can_report(self) -> bool:
        """Return whether this instance may still report its runs.

        Otherwise their end is known at the latest when its lease has expired.
        """
        # An instance that is known only from a job's progress has no address.
        return not self.silent and not self.has_ended and bool(self.entry.address)

    def update_entry(self, entry: WorkerEntry):
        """Take over an entry of this instance, of which the capacity may differ."""
        cpu = entry.cpu - self.entry.cpu
        memory = entry.memory_mb - self.entry.memory_mb
        gpus = entry.gpus - self.entry.gpus
        self.free_cpu += cpu
        self.unpinned_cpu += cpu
        self.free_memory += memory
        self.unpinned_memory += memory
        self.free_gpus += gpus
        self.unpinned_gpus += gpus
        self.entry = entry

    def add_task(self, task: Task):
        """Assign a task to the worker and deduct its resources."""
        self.tasks[task.id] = task
        self.tasks_revision += 1
        self._allocate(task, 1)

    def remove_task(self, task: Task):
        """Remove a task from the worker and return its resources."""
        if self.tasks.pop(task.id, None) is not None:
            self.tasks_revision += 1
            self._allocate(task, -1)

    def reserve(self, task: Task):
        """Reserve resources for a task."""
        self.reserved_tasks[task.id] = task
        self._allocate(task, 1)

    def release_reservation(self, task: Task):
        """Release the resources reserved for a task."""
        if self.reserved_tasks.pop(task.id, None) is not None:
            self._allocate(task, -1)

    def has_room_for_reserved(self, step: StepRun) -> bool:
        """Return whether the tasks of a step that are reserved here fit by now.

        Resources reserved for other steps are not in use yet, so they count as free.
        """
        cpu, memory, gpus = self.free_cpu, self.free_memory, self.free_gpus
        for task in self.reserved_tasks.values():
            if task.step is step:
                continue
            shape = task.step.shape
            cpu += 0 if shape.best_effort else shape.cpu
            memory += shape.memory_mb
            gpus += shape.gpus
        return min(cpu, memory, gpus) >= 0

    def _allocate(self, task: Task, sign: int):
        shape = task.step.shape
        if not shape.best_effort:
            self.free_cpu -= sign * shape.cpu
        self.free_memory -= sign * shape.memory_mb
        self.free_gpus -= sign * shape.gpus
        if not shape.long_running:
            return
        if not shape.best_effort:
            self.unpinned_cpu -= sign * shape.cpu
        self.unpinned_memory -= sign * shape.memory_mb
        self.unpinned_gpus -= sign * shape.gpus

    def slots(self, step: StepRun) -> int:
        """Return how many more tasks of a step fit on the worker."""
        shape = step.shape
        fitting = shape.fitting(self.free_cpu, self.free_memory, self.free_gpus)
        if fitting > 0 and shape.max_per_worker:
            on_worker = sum(task.step is step for task in self.tasks.values())
            fitting = min(fitting, shape.max_per_worker - on_worker)
        return max(0, fitting)
