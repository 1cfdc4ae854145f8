"""Reasons why steps wait, and what ends each wait."""

from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import Enum

from zinniatrestle.ids import JobId
from zinniatrestle.scheduling.backfill import BackfillReservations, EarliestStart
from zinniatrestle.scheduling.placement import (
    PlacementConstraints,
    candidates,
    is_allowed,
    locality_groups,
    slots_when_empty,
)
from zinniatrestle.scheduling.state import (
    ACCELERATOR_MILLICORES,
    StepRun,
    Task,
    TaskStatus,
    Worker,
    WorkerHealth,
)


class WaitReason(Enum):
    """What a waiting step lacks."""

    # No worker is of the service, in the permitted regions and has the label.
    NO_PERMITTED_WORKER = "no_permitted_worker"
    # The permitted workers could not hold the step even when empty.
    TOO_LARGE = "too_large"
    # It would fit if all permitted workers were usable (see `worker_unusable`).
    UNUSABLE_WORKERS = "unusable_workers"
    CAPACITY = "capacity"
    # The workers with room have no valid ticket of the advice service.
    NO_TICKETS = "no_tickets"
    # The workers with room are in quarantine, or canaries in use.
    UNHEALTHY_WORKERS = "unhealthy_workers"
    # The workers with room are slow, or a task of the step failed on them.
    AVOIDED_WORKERS = "avoided_workers"
    # It fits, but not near its data or not in one rack.
    LOCALITY = "locality"
    # The workers with room are reserved for a gang that ranks before it.
    BACKFILL = "backfill"
    # Its workers are reserved, and preempted runs on them have not ended yet.
    PREEMPTION = "preemption"
    # Members of the gang are still assigned to workers.
    GANG_MEMBERS = "gang_members"
    # All runs of the step are being stopped.
    STOPPING = "stopping"
    # Runs of the step are on workers that can't be reached, so they may have ended.
    UNREACHABLE_RUNS = "unreachable_runs"
    START_PENDING = "start_pending"
    # A start order got no answer, and no report has shown yet whether it was obeyed.
    START_UNANSWERED = "start_unanswered"
    # It fits, so the next round should place it.
    UNKNOWN = "unknown"


@dataclass
class Wait:
    """Why a step waits, and what ends the wait as far as known."""

    reason: WaitReason
    # Job for which the workers with room, or those that come free, are reserved.
    for_job: JobId | None = None
    # Run whose start or end the step waits for.
    held_by: Task | None = None
    # Permitted workers that would have room if they were usable.
    unusable: list[Worker] = field(default_factory=list)
    # Expected end of the wait, in boot seconds.
    until: float | None = None


@dataclass
class Room:
    """Room for a step on the usable workers it is allowed on, whatever else holds."""

    # Most free slots in one of the groups of workers on which it runs at full speed.
    near: int
    anywhere: int
    # Share of the capacity of its service that is free.
    idle_share: float

    def is_ample(self, count: int) -> bool:
        """Return whether `count` tasks fit twice and half of the capacity is free."""
        return self.anywhere >= 2 * count and self.idle_share > 0.5


def room_for(
    step: StepRun, workers: list[Worker], constraints: PlacementConstraints
) -> Room:
    """Return the room for a step, tickets, health and reservations aside."""
    allowed = [
        worker
        for worker in workers
        if is_allowed(worker, step, constraints) and worker.usable()
    ]
    capacity = free = 0
    for worker in workers:
        if worker.entry.service != constraints.service:
            continue
        capacity += _weight(worker.entry.cpu, worker.entry.gpus)
        free += _weight(worker.free_cpu, worker.free_gpus)
    return Room(
        near=_slots_near(step, allowed, constraints),
        anywhere=_slots(step, allowed),
        idle_share=max(0.0, free / capacity) if capacity else 0.0,
    )


def placement_wait(
    step: StepRun,
    workers: list[Worker],
    constraints: PlacementConstraints,
    reservations: BackfillReservations,
    earliest: EarliestStart | None,
) -> Wait:
    """Return why the waiting tasks of a step could not be placed."""
    needed = len(step.waiting_tasks()) if step.shape.gang else 1
    until = earliest.at if earliest is not None else None
    allowed = [worker for worker in workers if is_allowed(worker, step, constraints)]
    if not allowed:
        return Wait(WaitReason.NO_PERMITTED_WORKER)
    if _slots_when_empty(step, allowed) < needed:
        return Wait(WaitReason.TOO_LARGE)
    usable = [worker for worker in allowed if worker.usable()]
    if _slots(step, usable) < needed:
        if _slots(step, allowed) >= needed or _slots_when_empty(step, usable) < needed:
            unusable = [
                worker
                for worker in allowed
                if not worker.usable() and slots_when_empty(worker, step)
            ]
            return Wait(WaitReason.UNUSABLE_WORKERS, unusable=unusable, until=until)
        if not step.shape.gang:
            until = reservations.next_slot(step, usable)
            return Wait(WaitReason.CAPACITY, until=until)
        ahead = reservations.first_reserving() if earliest is None else None
        for_job = ahead.job.id if ahead is not None else None
        return Wait(WaitReason.CAPACITY, for_job, until=until)
    if constraints.tickets is not None:
        usable = [worker for worker in usable if worker.id in constraints.tickets]
        if _slots(step, usable) < needed:
            return Wait(WaitReason.NO_TICKETS)
    healthy = [worker for worker in usable if _is_healthy(worker, step)]
    if _slots(step, healthy) < needed:
        ends = [
            worker.quarantined_until
            for worker in usable
            if worker.health is WorkerHealth.QUARANTINED
        ]
        return Wait(WaitReason.UNHEALTHY_WORKERS, until=min(ends, default=None))
    preferred = [
        worker
        for worker in candidates(step, workers, constraints)
        if _is_healthy(worker, step)
    ]
    if _slots(step, preferred) < needed:
        return Wait(WaitReason.AVOIDED_WORKERS, until=until)
    if _slots_near(step, preferred, constraints) < needed:
        return Wait(WaitReason.LOCALITY, until=until)
    eligible = set(reservations.eligible_workers(step, workers))
    unreserved = [worker for worker in preferred if worker in eligible]
    if _slots_near(step, unreserved, constraints) < needed:
        # A reserved worker without room may still be what makes its rack large enough.
        blocked = [worker for worker in preferred if worker not in eligible]
        blocked.sort(
            key=lambda worker: (
                not worker.slots(step),
                worker.rack != step.shape.data_rack,
            )
        )
        return Wait(
            WaitReason.BACKFILL,
            for_job=reservations.reserved_for[blocked[0]].job.id,
            until=reservations.reserved_from[blocked[0]],
        )
    return Wait(WaitReason.UNKNOWN)


def reservation_wait(reserved: list[Task], until: float) -> Wait:
    """Return the wait for workers that are being freed by preemption."""
    wait = Wait(WaitReason.PREEMPTION, until=until)
    for task in reserved:
        worker = task.worker
        if worker.has_room_for_reserved(task.step):
            continue
        for other in worker.tasks.values():
            if other.status is TaskStatus.STOPPING:
                wait.held_by = other
                return wait
    return wait


def assigned_wait(step: StepRun) -> Wait | None:
    """Return the wait of a step with assigned tasks, or None if it is at work."""
    if step.shape.long_running:
        unfinished = [task for task in step.tasks if task.status is not TaskStatus.DONE]
        if all(is_known_to_run(task) for task in unfinished):
            return None
    elif is_at_work(step):
        return None
    assigned = [task for task in step.tasks if task.is_allocated]
    if not assigned:
        return None
    stopping = [task for task in assigned if task.status is TaskStatus.STOPPING]
    placed = [task for task in assigned if task.status is TaskStatus.PLACED]
    running = [task for task in assigned if task.status is TaskStatus.RUNNING]
    unreachable = [task for task in running if not is_known_to_run(task)]
    if step.shape.gang and (stopping or len(assigned) < len(step.tasks)):
        held_by = _last_known([*stopping, *placed, *assigned])
        wait = Wait(WaitReason.GANG_MEMBERS, held_by=held_by)
    elif placed:
        unanswered = [task for task in placed if not task.start_pending]
        held_by = _last_known(unanswered or placed)
        reason = WaitReason.START_UNANSWERED if unanswered else WaitReason.START_PENDING
        wait = Wait(reason, held_by=held_by)
    elif unreachable:
        wait = Wait(WaitReason.UNREACHABLE_RUNS, held_by=_last_known(unreachable))
    elif stopping:
        wait = Wait(WaitReason.STOPPING, held_by=_last_known(stopping))
    else:
        return None
    worker = wait.held_by.worker
    if worker is not None and not worker.can_report():
        # The run is lost when its lease expires.
        wait.until = worker.lease.expires_at
    return wait


def is_at_work(step: StepRun) -> bool:
    """Return whether tasks of a step run, for a gang all of them."""
    running = (is_known_to_run(task) for task in step.tasks)
    return all(running) if step.shape.gang else any(running)


def is_known_to_run(task: Task) -> bool:
    """Return whether a task runs on a worker that would report its end."""
    if task.status is not TaskStatus.RUNNING:
        return False
    return task.worker is None or task.worker.can_report()


def _last_known(tasks: list[Task]) -> Task:
    """Return the run whose end may become known last, by default the first."""
    unreachable = [
        task
        for task in tasks
        if task.worker is not None and not task.worker.can_report()
    ]
    return max(
        unreachable, key=lambda task: task.worker.lease.expires_at, default=tasks[0]
    )


def _weight(cpu: int, gpus: int) -> int:
    return cpu + gpus * ACCELERATOR_MILLICORES


def _is_healthy(worker: Worker, step: StepRun) -> bool:
    if worker.health is WorkerHealth.CANARY:
        return step.shape.gang or not worker.tasks
    return worker.health is not WorkerHealth.QUARANTINED


def _slots(step: StepRun, workers: Iterable[Worker]) -> int:
    return sum(worker.slots(step) for worker in workers)


def _slots_when_empty(step: StepRun, workers: Iterable[Worker]) -> int:
    return sum(slots_when_empty(worker, step) for worker in workers)


def _slots_near(
    step: StepRun, workers: list[Worker], constraints: PlacementConstraints
) -> int:
    groups = locality_groups(step, workers, constraints)
    return max((_slots(step, group) for group in groups), default=0)
