"""A tracker without sessions, for tests of what it concludes from reports."""

from types import SimpleNamespace
from unittest import mock

from common.events import EventList
from common.scheduling import NOW, first_step, job
from zinniatrestle.clock import boot_time
from zinniatrestle.deployment import Deployment
from zinniatrestle.ids import BootSeconds, RunNumber
from zinniatrestle.jobs.messages import Step
from zinniatrestle.metrics import Metrics
from zinniatrestle.scheduling.backlog import WorkSettings
from zinniatrestle.scheduling.messages import Handover
from zinniatrestle.scheduling.state import StepRun, Task, TaskStatus, Worker
from zinniatrestle.scheduling.tracker import Tracker
from zinniatrestle.workers.messages import (
    EndedRun,
    HoldAnswer,
    RunningTask,
    RunOutcome,
)


def tracker_of(workers: list[Worker]) -> Tracker:
    context = mock.Mock()
    context.deployment = Deployment(mock.Mock(), mock.Mock())
    context.events = EventList()
    context.metrics = Metrics()
    context.adviser = context.policy = None
    context.work = WorkSettings()
    context.leadership.handover = Handover()
    writer = SimpleNamespace(is_saving=lambda job: False)
    tracker = Tracker(context, writer)
    for worker in workers:
        tracker.fleet.workers[worker.id] = worker
    return tracker


def run_gang(
    tracker: Tracker, workers: list[Worker], name: str = "1", **shape
) -> StepRun:
    """Return a gang with one member on each worker, which all run."""
    fields = dict(cpu=1000, gpus=4, estimated_ms=5000, checkpointing=True)
    created = job(name * 16, Step(count=len(workers), gang=True, **{**fields, **shape}))
    tracker.jobs[created.id] = created
    step = first_step(created)
    start_members(step, workers)
    return step


def start_members(step: StepRun, workers: list[Worker], run: int = 1):
    for task, worker in zip(step.tasks, workers, strict=True):
        task.run = RunNumber(run)
        task.worker = worker
        task.status = TaskStatus.RUNNING
        task.started_at = task.percent_changed_at = boot_time()
        task.start_time_known = task.reported = True
        worker.add_task(task)


def report(
    tracker: Tracker,
    worker: Worker,
    running: tuple[RunningTask, ...] = (),
    ended: tuple[EndedRun, ...] = (),
):
    answer = HoldAnswer(1, worker.entry.instance, running, ended)
    tracker.report(worker, answer, BootSeconds(NOW))


def running(task: Task, checkpoint: str = "") -> RunningTask:
    return RunningTask(task.id, task.run, checkpoint, 10.0)


def ended(task: Task, outcome: RunOutcome, checkpoint: str = "") -> EndedRun:
    return EndedRun(1, task.id, task.run, outcome, checkpoint)
