"""In-memory jobs and workers for tests of scheduling decisions."""

from zinniatrestle.ids import (
    ClientAccountId,
    FailureDomainId,
    InstanceId,
    JobId,
    QueueName,
    RackId,
    RegionId,
    RowVersion,
    RunNumber,
    ServiceName,
    StoreMilliseconds,
    WorkerId,
)
from zinniatrestle.jobs.messages import Step, Submission
from zinniatrestle.scheduling.placement import PlacementConstraints
from zinniatrestle.scheduling.state import Job, StepRun, Task, TaskStatus, Worker
from zinniatrestle.workers.messages import WorkerEntry, WorkerState

SERVICE = ServiceName("service")
NOW = 1000.0


def worker(name: str, rack: str = "r1", domain: str = "a", **overrides) -> Worker:
    fields = dict(
        worker=WorkerId(name),
        service=SERVICE,
        address=f"{name}:1",
        domain=FailureDomainId(domain),
        state=WorkerState.READY,
        cpu=32_000,
        memory_mb=131_072,
        gpus=8,
        labels=frozenset({"a", rack}),
        rack=RackId(rack),
        instance=InstanceId(1),
        sequence=1,
    )
    fields.update(overrides)
    created = Worker(WorkerEntry(**fields), RegionId("region"))
    created.generation_confirmed = True
    return created


def workers_in_racks(count: int, size: int = 4) -> list[Worker]:
    workers = []
    for number in range(count * size):
        workers.append(worker(f"w{number:02}", f"r{number // size}"))
    return workers


def job(
    name: str,
    *steps: Step,
    priority: int = 1,
    queue: str = "usual",
    stretch: float = 3.0,
    target: float = 1.0,
    arrived: float = NOW,
    account: str = "account",
    **fields,
) -> Job:
    submission = Submission(
        job=JobId(name),
        queue=QueueName(queue),
        account=ClientAccountId(account),
        service=SERVICE,
        spec="",
        steps=steps or (Step(cpu=1000, gpus=1, estimated_ms=5000),),
        accepted_at=StoreMilliseconds(0),
        priority=priority,
        attempts=3,
        stretch=stretch,
        target=target,
        **fields,
    )
    created = Job(submission, RowVersion(1))
    created.due_at = created.accepted_at = arrived
    return created


def first_step(of_job: Job) -> StepRun:
    return of_job.steps["0.0"]


def run_on(task: Task, on_worker: Worker, since: float = NOW) -> Task:
    task.status = TaskStatus.RUNNING
    task.worker = on_worker
    task.run = RunNumber(1)
    task.started_at = task.percent_changed_at = task.reported_at = since
    task.baseline_at = task.window_at = since
    task.start_time_known = True
    on_worker.add_task(task)
    return task


def with_progress(task: Task, *progress: tuple[float, float]) -> Task:
    """Report progress of a run as pairs of percent and time."""
    for percent, at in progress:
        task.record_progress(percent, at)
    return task


def constraints(**values) -> PlacementConstraints:
    return PlacementConstraints(service=SERVICE, **values)
