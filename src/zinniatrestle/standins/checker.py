"""Check the history of workers against what must always hold."""

import msgspec

from zinniatrestle.ids import JobId, TaskId, WorkerId
from zinniatrestle.standins.fleet import SimulatedFleet
from zinniatrestle.standins.model import Model
from zinniatrestle.standins.runs import EventKind, TaskScript, WorkerEvent
from zinniatrestle.workers.messages import RunOutcome


def violations(model: Model) -> list[str]:
    """Return every broken promise that the history shows, in words."""
    found = []
    found.extend(_duplicate_runs(model))
    found.extend(_incomplete_gangs(model))
    found.extend(_unrequested_starts(model))
    found.extend(_starts_beyond_attempts(model))
    return found


def check_capacity(fleet: SimulatedFleet, found: list[str]):
    """Note workers that hold more than they have, as of now."""
    for worker in fleet.workers.values():
        gpus = sum(run.shape.gpus for run in worker.running.values())
        cpu = sum(run.shape.cpu for run in worker.running.values())
        if gpus > worker.entry.gpus or cpu > worker.entry.cpu:
            found.append(f"LIMIT: {worker.entry.worker} holds {gpus} accelerators")


def _duplicate_runs(model: Model) -> list[str]:
    found = []
    lasting = {job for job, outcome in model.jobs.items() if outcome.long_running}
    running: dict[TaskId, dict[tuple[WorkerId, int], WorkerEvent]] = {}
    done: dict[TaskId, WorkerEvent] = {}
    for event in model.fleet.history:
        places = running.setdefault(event.task, {})
        place = (event.worker, event.run)
        if event.kind is EventKind.START:
            if places:
                other = next(iter(places))
                found.append(f"TWICE: {event.task} at {event.worker} and {other}")
            finished = done.get(event.task)
            if finished is not None:
                found.append(f"TWICE: {event.task} starts after it was done")
            places[place] = event
            continue
        if event.kind is EventKind.END:
            places.pop(place, None)
            continue
        if event.outcome is RunOutcome.DONE and job_of(event.task) not in lasting:
            done[event.task] = event
    return found


def _incomplete_gangs(model: Model) -> list[str]:
    """Find members that waited in vain although nothing was disturbed near that time.

    An order that gets no answer, a lost scheduler or a cancellation leaves a gang
    partial for longer than its members wait; the promise allows that.
    """
    found = []
    for event in model.fleet.history:
        if (
            event.outcome is not RunOutcome.GANG_INCOMPLETE
            or event.kind is not EventKind.END
        ):
            continue
        outcome = model.jobs.get(job_of(event.task))
        if outcome is not None and outcome.cancelled_at is not None:
            continue
        since = event.at - model.bounds.contact - model.bounds.gang
        if any(since <= at <= event.at for at in model.disturbance_times):
            continue
        found.append(f"GANG: {event.task} waited alone at {event.worker}")
    return found


def _unrequested_starts(model: Model) -> list[str]:
    found = []
    for event in model.fleet.history:
        if event.kind is not EventKind.START:
            continue
        outcome = model.jobs.get(job_of(event.task))
        if outcome is None:
            found.append(f"UNASKED: {event.task} was never handed in")
            continue
        if outcome.refused:
            found.append(f"REFUSED: {event.task} runs although it was refused")
        late = outcome.cancelled_at
        if late is not None and event.at > late + model.bounds.reclaim:
            found.append(f"UNASKED: {event.task} starts after it was cancelled")
    return found


def _starts_beyond_attempts(model: Model) -> list[str]:
    found = []
    attempts = {queue.name: queue.attempts for queue in model.operator.queues}
    failures: dict[TaskId, int] = {}
    for event in model.fleet.history:
        outcome = model.jobs.get(job_of(event.task))
        if outcome is None:
            continue
        if event.kind is EventKind.ACKNOWLEDGED and event.outcome is RunOutcome.FAILED:
            failures[event.task] = failures.get(event.task, 0) + 1
        if event.kind is not EventKind.START:
            continue
        if failures.get(event.task, 0) >= attempts[outcome.queue]:
            found.append(f"BUDGET: {event.task} starts after its last attempt")
    return found


def job_of(task: TaskId) -> JobId:
    """Return the job of a task."""
    return JobId(task.split(".")[0])


def script_of(spec: str) -> TaskScript:
    """Return what a job's text makes its tasks do."""
    return msgspec.json.decode(spec, type=TaskScript)
