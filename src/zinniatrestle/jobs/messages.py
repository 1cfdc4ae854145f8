"""Jobs as they are handed in and as they are kept."""

from enum import Enum

import msgspec

from zinniatrestle.ids import (
    ClientAccountId,
    InstanceId,
    JobId,
    QueueName,
    RackId,
    RowName,
    RunNumber,
    ServiceName,
    StoreMilliseconds,
    TableName,
    TaskId,
    WorkerId,
)

# The submission of a job that has not ended: written once, removed at the end.
SUBMISSIONS = TableName("jobs")
# What became of a job: kept after its end, so that repeats and questions find it.
PROGRESS = TableName("progress")
# A row for each cancellation, so that the scheduler hears of it.
CANCELLATIONS = TableName("cancels")


class JobState(Enum):
    """Where a job stands, as callers see it."""

    PENDING = "pending"
    RUNNING = "running"
    COMPLETED = "completed"
    FAILED = "failed"
    CANCELLED = "cancelled"

    @property
    def ended(self) -> bool:
        """Tell whether nothing of the job starts any more."""
        return self not in (JobState.PENDING, JobState.RUNNING)


class Step(msgspec.Struct, frozen=True, omit_defaults=True, array_like=True):
    """Tasks alike; `cpu` in thousandths of a core, times in milliseconds."""

    count: int = 1
    cpu: int = 0
    memory_mb: int = 0
    gpus: int = 0
    estimated_ms: int = 0
    after: tuple[int, ...] = ()
    checkpointing: bool = False
    gang: bool = False
    rack_bound: bool = False
    label: str = ""
    data_rack: RackId = RackId("")
    max_per_worker: int = 0
    allow_duplicates: bool = False
    long_running: bool = False
    image: str = ""
    target_ms: int = 0
    best_effort: bool = False
    max_unavailable: int = 0


class Submission(msgspec.Struct, frozen=True, omit_defaults=True, array_like=True):
    """A job as accepted; its queue's terms are kept in case the queue is dropped."""

    job: JobId
    queue: QueueName
    account: ClientAccountId
    service: ServiceName
    spec: str
    steps: tuple[Step, ...]
    accepted_at: StoreMilliseconds
    priority: int = 0
    attempts: int = 1
    stretch: float = 1.0
    target: float = 0.0
    occurrences: int = 0
    first_due_ms: int = 0
    every_ms: int = 0

    @property
    def timed(self) -> bool:
        """Tell whether the job's occurrences have times of their own."""
        return self.occurrences > 0


class TaskProgress(msgspec.Struct):
    """What is known of one task; `worker` is empty while it has no place."""

    run: RunNumber = RunNumber(0)
    worker: WorkerId = WorkerId("")
    instance: InstanceId = InstanceId(0)
    # Runs that ended as failed: a number may be told twice, and counts once.
    failed_runs: tuple[RunNumber, ...] = ()
    checkpoint: str = ""
    done: bool = False


class JobProgress(msgspec.Struct):
    """What became of a job so far.

    Finished steps are named OCCURRENCE.STEP; all occurrences before `finished_before`
    are finished. Tasks are named OCCURRENCE.STEP.INDEX.
    """

    state: JobState = JobState.PENDING
    queue: QueueName = QueueName("")
    timed: bool = False
    changed_at: StoreMilliseconds = StoreMilliseconds(0)
    finished_before: int = 0
    finished: list[str] = []
    tasks: dict[str, TaskProgress] = {}


class StoredTask(msgspec.Struct, omit_defaults=True, array_like=True):
    """A task as it is kept; `place` counts the places of its job from 1, 0 is none."""

    run: RunNumber
    place: int = 0
    failed_runs: tuple[RunNumber, ...] = ()
    checkpoint: str = ""
    done: bool = False


class StoredProgress(msgspec.Struct, omit_defaults=True, array_like=True):
    """Progress as it is kept: each place once, tasks by step and index."""

    state: JobState
    queue: QueueName
    timed: bool = False
    changed_at: StoreMilliseconds = StoreMilliseconds(0)
    finished_before: int = 0
    finished: list[str] = []
    places: list[tuple[WorkerId, InstanceId]] = []
    steps: dict[str, dict[int, StoredTask]] = {}


def row_name(job: JobId) -> RowName:
    """Return the name of a job's rows."""
    return RowName(job)


def task_id(job: JobId, occurrence: int, step: int, index: int) -> TaskId:
    """Return the id by which workers know a task."""
    return TaskId(f"{job}.{occurrence}.{step}.{index}")


def task_key(task: TaskId) -> str:
    """Return the part of a task's id behind its job."""
    return task.split(".", 1)[1]


def encode_submission(submission: Submission) -> bytes:
    """Return a submission as it is kept."""
    return msgspec.msgpack.encode(submission)


def decode_submission(value: bytes) -> Submission:
    """Return a kept submission."""
    return msgspec.msgpack.decode(value, type=Submission)


def encode_progress(progress: JobProgress) -> bytes:
    """Return progress as it is kept: compact, since each change writes it anew."""
    places: dict[tuple[WorkerId, InstanceId], int] = {}
    steps: dict[str, dict[int, StoredTask]] = {}
    for key, task in progress.tasks.items():
        place = 0
        if task.worker:
            place = places.setdefault((task.worker, task.instance), len(places) + 1)
        step, index = key.rsplit(".", 1)
        steps.setdefault(step, {})[int(index)] = StoredTask(
            task.run, place, task.failed_runs, task.checkpoint, task.done
        )
    kept = StoredProgress(
        progress.state,
        progress.queue,
        progress.timed,
        progress.changed_at,
        progress.finished_before,
        progress.finished,
        list(places),
        steps,
    )
    return msgspec.msgpack.encode(kept)


def decode_progress(value: bytes) -> JobProgress:
    """Return kept progress."""
    kept = msgspec.msgpack.decode(value, type=StoredProgress)
    tasks = {}
    for step, members in kept.steps.items():
        for index, task in members.items():
            worker, instance = WorkerId(""), InstanceId(0)
            if task.place:
                worker, instance = kept.places[task.place - 1]
            tasks[f"{step}.{index}"] = TaskProgress(
                task.run, worker, instance, task.failed_runs, task.checkpoint, task.done
            )
    return JobProgress(
        kept.state,
        kept.queue,
        kept.timed,
        kept.changed_at,
        kept.finished_before,
        kept.finished,
        tasks,
    )
