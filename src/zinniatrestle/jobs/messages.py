"""Jobs as submitted, and the form in which the store holds them."""

from enum import Enum

import msgspec

from zinniatrestle.decoding import decode_msgpack
from zinniatrestle.errors import MalformedInputError
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
# The progress of a job; the row outlives the job, so that repeated submissions and
# queries still find its result.
PROGRESS = TableName("progress")
# One row per cancellation, by which the scheduler is notified.
CANCELLATIONS = TableName("cancels")
# Numbers in a task's id: its occurrence, step and index.
TASK_NUMBERS = 3
MAX_DIGITS = 16


class JobState(Enum):
    """State of a job as seen by callers."""

    PENDING = "pending"
    RUNNING = "running"
    COMPLETED = "completed"
    FAILED = "failed"
    CANCELLED = "cancelled"

    @property
    def ended(self) -> bool:
        """Return whether the job is in a final state, so that no task starts."""
        return self not in (JobState.PENDING, JobState.RUNNING)


class Step(msgspec.Struct, frozen=True, omit_defaults=True, array_like=True):
    """A set of identical tasks of a job.

    `cpu` is in thousandths of a core and `after` holds the numbers of the steps that
    have to end first. Times are in milliseconds.
    """

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

    def fitting(self, cpu: int, memory_mb: int, gpus: int) -> int:
        """Return how many of the tasks fit into some room, at most all of them.

        The result may be negative if the room is. Work at best effort needs no cores of
        its own.
        """
        fitting = self.count
        if self.cpu and not self.best_effort:
            by_cpu = cpu // self.cpu
            fitting = by_cpu if by_cpu < fitting else fitting
        if self.memory_mb:
            by_memory = memory_mb // self.memory_mb
            fitting = by_memory if by_memory < fitting else fitting
        if self.gpus:
            by_gpus = gpus // self.gpus
            fitting = by_gpus if by_gpus < fitting else fitting
        return fitting


class Submission(msgspec.Struct, frozen=True, omit_defaults=True, array_like=True):
    """A job as accepted.

    The queue's terms are copied, so that the job keeps them if the queue is removed.
    """

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
        """Return whether the job is timed: its occurrences have due times."""
        return self.occurrences > 0


class TaskProgress(msgspec.Struct):
    """Progress of one task; `worker` is empty while it is not assigned."""

    run: RunNumber = RunNumber(0)
    worker: WorkerId = WorkerId("")
    instance: InstanceId = InstanceId(0)
    # Numbers of failed runs; a failure may be reported twice, but counts once.
    failed_runs: tuple[RunNumber, ...] = ()
    checkpoint: str = ""
    done: bool = False


class JobProgress(msgspec.Struct):
    """Progress of a job.

    `finished` holds finished steps as OCCURRENCE.STEP; all occurrences before
    `finished_before` are finished as well. The keys of `tasks` are
    OCCURRENCE.STEP.INDEX. `started` means that a worker is known to have started one.
    `account` is empty for a job that was submitted without a key.
    """

    state: JobState = JobState.PENDING
    queue: QueueName = QueueName("")
    timed: bool = False
    changed_at: StoreMilliseconds = StoreMilliseconds(0)
    finished_before: int = 0
    finished: list[str] = []
    tasks: dict[str, TaskProgress] = {}
    started: bool = False
    account: ClientAccountId = ClientAccountId("")

    @property
    def has_started(self) -> bool:
        """Return whether a task has been started, as far as the record shows it."""
        if self.started or self.finished or self.finished_before:
            return True
        return any(
            task.done or task.failed_runs or task.checkpoint
            for task in self.tasks.values()
        )


class StoredTask(msgspec.Struct, omit_defaults=True, array_like=True):
    """Stored form of a task.

    `place` is a position in the `places` of the job, counted from 1; 0 stands for none.
    """

    run: RunNumber
    place: int = 0
    failed_runs: tuple[RunNumber, ...] = ()
    checkpoint: str = ""
    done: bool = False


class StoredProgress(msgspec.Struct, omit_defaults=True, array_like=True):
    """Stored form of progress, with each place held once, and tasks by step and index.

    A place is a worker's id and instance.
    """

    state: JobState
    queue: QueueName
    timed: bool = False
    changed_at: StoreMilliseconds = StoreMilliseconds(0)
    finished_before: int = 0
    finished: list[str] = []
    places: list[tuple[WorkerId, InstanceId]] = []
    steps: dict[str, dict[int, StoredTask]] = {}
    started: bool = False
    account: ClientAccountId = ClientAccountId("")


def row_name(job: JobId) -> RowName:
    """Return the name of a job's rows, which is the same in all tables of jobs."""
    return RowName(job)


def task_id(job: JobId, occurrence: int, step: int, index: int) -> TaskId:
    """Return the id of a task that is used in orders to workers."""
    return TaskId(f"{job}.{occurrence}.{step}.{index}")


def split_task_id(task: TaskId) -> tuple[JobId, str, int] | None:
    """Return the job of a task, the key of its step and its index.

    Return None for an id that `task_id` doesn't return.
    """
    job, *numbers = task.split(".")
    if len(numbers) != TASK_NUMBERS or not all(map(_is_number, numbers)):
        return None
    occurrence, step, index = numbers
    return JobId(job), f"{occurrence}.{step}", int(index)


def _is_number(text: str) -> bool:
    if not text.isascii() or not text.isdecimal() or len(text) > MAX_DIGITS:
        return False
    return text == "0" or text[0] != "0"


def job_of_task(task: TaskId) -> JobId:
    """Return the id of the job that a task belongs to."""
    return JobId(task.split(".", 1)[0])


def task_key(task: TaskId) -> str:
    """Return the key of a task within its job: its id without the job's."""
    return task.split(".", 1)[1]


def encode_submission(submission: Submission) -> bytes:
    """Encode a submission for the store."""
    return msgspec.msgpack.encode(submission)


def decode_submission(value: bytes) -> Submission:
    """Decode a submission from the store; raises MalformedInputError."""
    return decode_msgpack(value, Submission, "The submission")


def encode_progress(progress: JobProgress) -> bytes:
    """Encode progress for the store; compact, as each change rewrites the whole row."""
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
    stored = StoredProgress(
        progress.state,
        progress.queue,
        progress.timed,
        progress.changed_at,
        progress.finished_before,
        progress.finished,
        list(places),
        steps,
        progress.started,
        progress.account,
    )
    return msgspec.msgpack.encode(stored)


def decode_progress(value: bytes) -> JobProgress:
    """Decode progress from the store; raises MalformedInputError."""
    stored = decode_msgpack(value, StoredProgress, "The progress")
    tasks = {}
    for step, members in stored.steps.items():
        for index, task in members.items():
            worker, instance = WorkerId(""), InstanceId(0)
            if not 0 <= task.place <= len(stored.places):
                raise MalformedInputError("The progress names a place that is none.")
            if task.place:
                worker, instance = stored.places[task.place - 1]
            tasks[f"{step}.{index}"] = TaskProgress(
                task.run, worker, instance, task.failed_runs, task.checkpoint, task.done
            )
    return JobProgress(
        stored.state,
        stored.queue,
        stored.timed,
        stored.changed_at,
        stored.finished_before,
        stored.finished,
        tasks,
        stored.started,
        stored.account,
    )
