"""Check the history of worker events against the scheduler's invariants."""

import msgspec

from zinniatrestle.clock import boot_time
from zinniatrestle.ids import JobId, TaskId, WorkerId
from zinniatrestle.jobs.messages import task_id
from zinniatrestle.scheduling.leadership import LEASE_ROW, LEASES
from zinniatrestle.scheduling.messages import LeaseRecord
from zinniatrestle.standins.fleet import SimulatedFleet
from zinniatrestle.standins.model import JobOutcome, Model
from zinniatrestle.standins.room import counted_cpu
from zinniatrestle.standins.runs import EventKind, TaskScript, WorkerEvent
from zinniatrestle.workers.messages import RunOutcome


def violations(model: Model) -> list[str]:
    """Return a line for each violation of an invariant in the history.

    Each line starts with the name of the invariant: TWICE, GANG, UNASKED, REFUSED,
    BUDGET or RECLAIM.
    """
    found = []
    found.extend(_duplicate_runs(model))
    found.extend(_incomplete_gangs(model))
    found.extend(_unrequested_starts(model))
    found.extend(_starts_beyond_attempts(model))
    found.extend(_late_guaranteed_jobs(model))
    return found


def check_capacity(fleet: SimulatedFleet, found: list[str]):
    """Append a line to `found` for each worker loaded beyond its capacity now."""
    for worker in fleet.workers.values():
        gpus = sum(run.shape.gpus for run in worker.running.values())
        cpu = sum(counted_cpu(run.shape) for run in worker.running.values())
        if gpus > worker.entry.gpus or cpu > worker.entry.cpu:
            found.append(
                f"LIMIT: {worker.entry.worker} exceeds its capacity with "
                f"{gpus} accelerators in use"
            )


def check_recorded_expiries(model: Model, found: list[str]):
    """Append a line to `found` for each lease that lasts longer than is recorded now.

    A successor that can't reach the worker would repeat its runs before their end.
    """
    row = model.rows.row(LEASES, LEASE_ROW)
    if row is None:
        return
    record = msgspec.msgpack.decode(row.value, type=LeaseRecord)
    for name, instances in record.handover.lease_expiries.items():
        worker = model.fleet.workers[name]
        until_ms = instances.get(worker.entry.instance)
        if until_ms is None or not worker.running:
            continue
        expires_ms = boot_time() * 1000 + worker.remaining_lease_seconds() * 1000
        if expires_ms > until_ms:
            found.append(
                f"LEASE: {name} may run for {(expires_ms - until_ms) / 1000:.2f} s "
                "after the recorded expiry"
            )


def _duplicate_runs(model: Model) -> list[str]:
    found = []
    long_running = {job for job, outcome in model.jobs.items() if outcome.long_running}
    running: dict[TaskId, dict[tuple[WorkerId, int], WorkerEvent]] = {}
    done: dict[TaskId, WorkerEvent] = {}
    for event in model.fleet.history:
        active = running.setdefault(event.task, {})
        key = (event.worker, event.run)
        if event.kind is EventKind.START:
            if active:
                other = next(iter(active))
                found.append(f"TWICE: {event.task} at {event.worker} and {other}")
            completion = done.get(event.task)
            if completion is not None:
                found.append(f"TWICE: {event.task} starts after it had completed")
            active[key] = event
            continue
        if event.kind is EventKind.END:
            active.pop(key, None)
            continue
        if event.outcome is RunOutcome.DONE and job_of(event.task) not in long_running:
            done[event.task] = event
    return found


def _incomplete_gangs(model: Model) -> list[str]:
    """Find members that gave up waiting for their gang with no disturbance nearby.

    An unanswered order, a lost scheduler or a cancellation may leave a gang incomplete
    for longer than its members wait, so ends near one of them are allowed.
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
        found.append(f"GANG: {event.task} at {event.worker} lacked its gang")
    return found


def _unrequested_starts(model: Model) -> list[str]:
    found = []
    for event in model.fleet.history:
        if event.kind is not EventKind.START:
            continue
        outcome = model.jobs.get(job_of(event.task))
        if outcome is None:
            found.append(f"UNASKED: {event.task} was never submitted")
            continue
        if outcome.refused:
            found.append(f"REFUSED: {event.task} starts although its job was refused")
        cancelled_at = outcome.cancelled_at
        if cancelled_at is not None and event.at > cancelled_at + model.bounds.reclaim:
            found.append(f"UNASKED: {event.task} starts after its job was cancelled")
    return found


def _starts_beyond_attempts(model: Model) -> list[str]:
    found = []
    attempts = {queue.name: queue.attempts for queue in model.operator.queues}
    failures: dict[TaskId, int] = {}
    for event in model.fleet.history:
        outcome = model.jobs.get(job_of(event.task))
        if outcome is None or model.shape(event.task).long_running:
            continue
        if event.kind is EventKind.ACKNOWLEDGED and event.outcome is RunOutcome.FAILED:
            failures[event.task] = failures.get(event.task, 0) + 1
        if event.kind is not EventKind.START:
            continue
        if failures.get(event.task, 0) >= attempts[outcome.queue]:
            found.append(f"BUDGET: {event.task} starts after all attempts failed")
    return found


def _late_guaranteed_jobs(model: Model) -> list[str]:
    """Find urgent jobs within their account's guarantee that began late.

    Jobs with a disturbance nearby are left out, as are those whose account asks for
    more than it is guaranteed.
    """
    found = []
    urgent = _urgent_jobs(model)
    first_starts: dict[TaskId, float] = {}
    last_ends: dict[JobId, float] = {}
    for event in model.fleet.history:
        if event.kind is EventKind.START:
            first_starts.setdefault(event.task, event.at)
        elif event.kind is EventKind.END:
            last_ends[job_of(event.task)] = event.at
    for job, outcome in urgent.items():
        if outcome.accepted_at is None or outcome.cancel_sent:
            continue
        due_at = outcome.accepted_at + model.bounds.reclaim
        since = outcome.accepted_at - model.bounds.contact
        if any(since <= at <= due_at for at in model.disturbance_times):
            continue
        if not _is_within_guarantee(model, job, due_at, urgent, last_ends):
            continue
        for index in range(outcome.steps[0].count):
            task = task_id(job, 0, 0, index)
            if first_starts.get(task, due_at + 1.0) > due_at:
                found.append(f"RECLAIM: {task} has not begun by {due_at:.1f}")
                break
    return found


def _urgent_jobs(model: Model) -> dict[JobId, JobOutcome]:
    """Return the jobs of the highest priority that may have been accepted."""
    queues = {entry.name for entry in model.operator.queues if not entry.priority}
    urgent = {}
    for job, outcome in model.jobs.items():
        if outcome.queue in queues and not outcome.refused:
            urgent[job] = outcome
    return urgent


def _is_within_guarantee(
    model: Model,
    job: JobId,
    due_at: float,
    urgent: dict[JobId, JobOutcome],
    last_ends: dict[JobId, float],
) -> bool:
    """Return whether an account is guaranteed what its urgent jobs need by `due_at`."""
    outcome = urgent[job]
    needed = 0
    for other, theirs in urgent.items():
        if theirs.account != outcome.account or theirs.sent_at > due_at:
            continue
        ended_at = last_ends.get(other, 0.0)
        if model.has_ended(other) and ended_at < outcome.accepted_at:
            continue
        needed += max(shape.count * shape.gpus for shape in theirs.steps)
    guaranteed = {entry.name: entry.guaranteed for entry in model.operator.accounts}
    return needed <= guaranteed[outcome.account]


def job_of(task: TaskId) -> JobId:
    """Return the id of the job that a task belongs to."""
    return JobId(task.split(".")[0])


def script_of(spec: str) -> TaskScript:
    """Decode the script in a job's spec."""
    return msgspec.json.decode(spec, type=TaskScript)
