"""Reasons why steps wait, and what ends each wait."""

from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import Enum

from zinniatrestle.ids import JobId
from zinniatrestle.scheduling.backfill import BackfillReservations, EarliestStart
from zinniatrestle.scheduling.forecast import Forecast
from zinniatrestle.scheduling.placement import (
    PlacementConstraints,
    candidates,
    is_allowed,
    locality_groups,
    slots_when_empty,
)
from zinniatrestle.scheduling.state import (
    ACCELERATOR_MILLICORES,
    LostRun,
    StepRun,
    Task,
    TaskStatus,
    Worker,
    WorkerHealth,
)

# Room is ample if a step fits this many times and more than this share is free.
AMPLE_ROOM_FACTOR = 2
AMPLE_IDLE_SHARE = 0.5


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
    # The workers with room are slow, or the step failed or was refused there.
    AVOIDED_WORKERS = "avoided_workers"
    # It fits, but not near its data or not in one rack.
    LOCALITY = "locality"
    # The workers with room are reserved for a gang that ranks before it.
    BACKFILL = "backfill"
    # The workers with room are held back for urgent jobs that are about to arrive.
    HEADROOM = "headroom"
    # Its workers are reserved, and preempted runs on them have not ended yet.
    PREEMPTION = "preemption"
    # Members of the gang are still assigned to workers.
    GANG_MEMBERS = "gang_members"
    # All runs of the step are being stopped.
    STOPPING = "stopping"
    # Runs of the step are on workers that can't be reached, so they may have ended.
    UNREACHABLE_RUNS = "unreachable_runs"
    START_PENDING = "start_pending"
    # A start order got no answer, and no report has shown yet whether it runs.
    START_UNANSWERED = "start_unanswered"
    # All that is left of the steps before it are repetitions of runs that were lost
    # and may have been done.
    REPEATED_RUNS = "repeated_runs"
    # It fits, so the next round should place it.
    UNKNOWN = "unknown"


class FormerWorker(Enum):
    """What is known of a worker on which a run was lost: it may report the end yet."""

    # It answers, so it would have reported the run.
    ANSWERS = "answers"
    # It reports the end when it answers again.
    SILENT = "silent"
    # It reports the end only if the same instance registers again.
    MISSING = "missing"
    # Another instance answers in its place, and knows nothing of the run.
    REPLACED = "replaced"


@dataclass
class Wait:
    """Why a step waits, and what ends the wait as far as known."""

    reason: WaitReason
    # Job for which the workers with room, or those that come free, are reserved.
    for_job: JobId | None = None
    # Run whose start or end the step waits for.
    held_by: Task | None = None
    # The worker on which an earlier run of that task was lost.
    former_worker: FormerWorker | None = None
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
        """Return whether `count` tasks fit twice while the service is mostly idle."""
        has_room = self.anywhere >= AMPLE_ROOM_FACTOR * count
        return has_room and self.idle_share > AMPLE_IDLE_SHARE


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
    diagnosis = PlacementDiagnosis(step, workers, constraints, reservations, earliest)
    return diagnosis.find_wait()


class PlacementDiagnosis:
    """Apply what restricts a placement one by one until a step doesn't fit any more."""

    def __init__(
        self,
        step: StepRun,
        workers: list[Worker],
        constraints: PlacementConstraints,
        reservations: BackfillReservations,
        earliest: EarliestStart | None,
    ):
        self.step = step
        self.workers = workers
        self.constraints = constraints
        self.reservations = reservations
        self.earliest = earliest
        self.needed = len(step.waiting_tasks()) if step.shape.gang else 1
        self.until = earliest.at if earliest is not None else None
        self.allowed: list[Worker] = []
        for worker in workers:
            if is_allowed(worker, step, constraints):
                self.allowed.append(worker)
        self.usable = [worker for worker in self.allowed if worker.usable()]

    def find_wait(self) -> Wait:
        """Return what the first restriction leaves the step to wait for."""
        for find in (
            self._requirements_wait,
            self._capacity_wait,
            self._tickets_wait,
            self._health_wait,
            self._preferences_wait,
        ):
            wait = find()
            if wait is not None:
                return wait
        return Wait(WaitReason.UNKNOWN)

    def _requirements_wait(self) -> Wait | None:
        """Return the wait for workers on which the step could run when empty."""
        if not self.allowed:
            return Wait(WaitReason.NO_PERMITTED_WORKER)
        if _slots_when_empty(self.step, self.allowed) < self.needed:
            return Wait(WaitReason.TOO_LARGE)
        return None

    def _capacity_wait(self) -> Wait | None:
        """Return the wait for room on usable workers, or for more usable workers."""
        step, needed = self.step, self.needed
        if _slots(step, self.usable) >= needed:
            return None
        would_fit = _slots(step, self.allowed) >= needed
        if would_fit or _slots_when_empty(step, self.usable) < needed:
            unusable = []
            for worker in self.allowed:
                if not worker.usable() and slots_when_empty(worker, step):
                    unusable.append(worker)
            return Wait(
                WaitReason.UNUSABLE_WORKERS, unusable=unusable, until=self.until
            )
        for_job = None
        if step.shape.gang and self.earliest is None:
            ahead = self.reservations.first_reserving()
            for_job = ahead.job.id if ahead is not None else None
        return Wait(WaitReason.CAPACITY, for_job, until=self._room_at(self.usable))

    def _tickets_wait(self) -> Wait | None:
        if _slots(self.step, self._with_tickets()) < self.needed:
            return Wait(WaitReason.NO_TICKETS)
        return None

    def _health_wait(self) -> Wait | None:
        with_tickets = self._with_tickets()
        if _slots(self.step, self._healthy(with_tickets)) >= self.needed:
            return None
        ends = []
        for worker in with_tickets:
            if worker.health is WorkerHealth.QUARANTINED:
                ends.append(worker.quarantined_until)
        return Wait(WaitReason.UNHEALTHY_WORKERS, until=min(ends, default=None))

    def _preferences_wait(self) -> Wait | None:
        """Return the wait for preferred workers that no other step has reserved."""
        step, constraints = self.step, self.constraints
        preferred = self._healthy(candidates(step, self.workers, constraints))
        if _slots(step, preferred) < self.needed:
            until = self._room_at(preferred)
            return Wait(WaitReason.AVOIDED_WORKERS, until=until)
        if _slots_near(step, preferred, constraints) < self.needed:
            near = [
                worker
                for group in locality_groups(step, preferred, constraints)
                for worker in group
            ]
            return Wait(WaitReason.LOCALITY, until=self._room_at(near))
        eligible = set(self.reservations.eligible_workers(step, self.workers))
        unreserved = [worker for worker in preferred if worker in eligible]
        if _slots_near(step, unreserved, constraints) >= self.needed:
            return None
        # A reserved worker without room may still be what makes its rack large enough.
        blocking = min(
            (worker for worker in preferred if worker not in eligible),
            key=lambda worker: (
                not worker.slots(step),
                worker.rack != step.shape.data_rack,
            ),
        )
        return Wait(
            WaitReason.BACKFILL,
            for_job=self.reservations.reserved_for[blocking].job.id,
            until=self.reservations.reserved_from[blocking],
        )

    def _room_at(self, workers: list[Worker]) -> float | None:
        """Return when the step, or a single task of it, is forecast to fit."""
        if self.step.shape.gang:
            return self.until
        return self.reservations.next_slot(self.step, workers)

    def _with_tickets(self) -> list[Worker]:
        tickets = self.constraints.tickets
        if tickets is None:
            return self.usable
        return [worker for worker in self.usable if worker.id in tickets]

    def _healthy(self, workers: list[Worker]) -> list[Worker]:
        return [worker for worker in workers if _is_healthy(worker, self.step)]


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
    assigned = [task for task in step.tasks if task.is_allocated]
    if not assigned or _has_all_runs(step):
        return None
    wait = _wait_for_assigned(step, assigned)
    if wait is not None:
        wait.until = _lost_at(wait.held_by)
    return wait


def repetition_wait(step: StepRun, forecast: Forecast) -> Wait | None:
    """Return the wait of a step for nothing but repetitions in the steps before it.

    Return None if these have other work left, or have completed.
    """
    repeated: list[Task] = []
    for earlier in step.job.dependencies(step):
        for task in earlier.tasks:
            if not task.may_be_done:
                return None
            if not task.completed:
                repeated.append(task)
    if not repeated:
        return None
    held_by = max(repeated, key=forecast.remaining)
    until = None
    if is_known_to_run(held_by):
        until = forecast.now + forecast.remaining(held_by)
    return Wait(WaitReason.REPEATED_RUNS, held_by=held_by, until=until)


def former_worker_of(lost: LostRun, registered: Worker | None) -> FormerWorker:
    """Return what is known of the worker of a lost run.

    `registered` is the instance with the worker's id that is known now, if any.
    """
    if registered is None:
        return FormerWorker.MISSING
    if registered.entry.instance != lost.instance:
        return FormerWorker.REPLACED
    return FormerWorker.SILENT if registered.silent else FormerWorker.ANSWERS


def _lost_at(task: Task) -> float | None:
    """Return when a run is lost if nothing more is heard of it, or None if never."""
    worker = task.worker
    if worker is None:
        return None
    if not worker.can_report():
        return worker.lease.expires_at
    if task.reported or task.start_deadline_ms is None:
        return None
    # From then on the worker refuses the start.
    return worker.lease.latest_at(task.start_deadline_ms)


def _has_all_runs(step: StepRun) -> bool:
    """Return whether a step waits for none of its assigned tasks."""
    if not step.shape.long_running:
        return is_at_work(step)
    return all(
        task.status is TaskStatus.DONE or is_known_to_run(task) for task in step.tasks
    )


def _wait_for_assigned(step: StepRun, assigned: list[Task]) -> Wait | None:
    """Return which of the assigned tasks a step waits for, and why."""
    stopping = _of_status(assigned, TaskStatus.STOPPING)
    placed = _of_status(assigned, TaskStatus.PLACED)
    if step.shape.gang and (stopping or len(assigned) < len(step.tasks)):
        held_by = _last_known([*stopping, *placed, *assigned])
        return Wait(WaitReason.GANG_MEMBERS, held_by=held_by)
    unanswered = [task for task in placed if not task.start_pending]
    if unanswered:
        return Wait(WaitReason.START_UNANSWERED, held_by=_last_known(unanswered))
    if placed:
        return Wait(WaitReason.START_PENDING, held_by=_last_known(placed))
    running = _of_status(assigned, TaskStatus.RUNNING)
    unreachable = [task for task in running if not is_known_to_run(task)]
    if unreachable:
        return Wait(WaitReason.UNREACHABLE_RUNS, held_by=_last_known(unreachable))
    if stopping:
        return Wait(WaitReason.STOPPING, held_by=_last_known(stopping))
    return None


def is_at_work(step: StepRun) -> bool:
    """Return whether tasks of a step run, for a gang all of them."""
    running = (is_known_to_run(task) for task in step.tasks)
    return all(running) if step.shape.gang else any(running)


def does_new_work(step: StepRun) -> bool:
    """Return whether a task of a step runs of which no earlier run may be done."""
    for task in step.tasks:
        if is_known_to_run(task) and not task.may_be_done:
            return True
    return False


def is_known_to_run(task: Task) -> bool:
    """Return whether a task runs on a worker that would report its end."""
    if task.status is not TaskStatus.RUNNING:
        return False
    return task.worker is None or task.worker.can_report()


def _of_status(tasks: list[Task], status: TaskStatus) -> list[Task]:
    return [task for task in tasks if task.status is status]


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
