"""Limit how long a step waits for the workers it prefers while others are free."""

from dataclasses import dataclass, replace

from zinniatrestle.deployment import Bounds
from zinniatrestle.ids import BootSeconds, ServiceName
from zinniatrestle.scheduling.placement import (
    PlacementConstraints,
    WorkerChoice,
    can_run_near_data,
    candidates,
)
from zinniatrestle.scheduling.state import (
    ACCELERATOR_MILLICORES,
    StepRun,
    Task,
    TaskStatus,
    Worker,
)
from zinniatrestle.scheduling.waits import WaitReason
from zinniatrestle.workers.messages import WorkerState

# Time for workers to join a new scheduler, and for a stopped run's capacity to be free.
MIN_WAIT_SECONDS = 1.5
# Share of the bound on accepted work for which a step waits for preferred workers. The
# rest is for its start order and one retry.
MAX_WAIT_SHARE = 0.7
# A service is idle if a smaller share of its capacity is allocated.
IDLE_SHARE = 0.5
# Reasons of waits that a limit ends; what a step requires has none.
LIMITED_REASONS = frozenset(
    {
        WaitReason.UNHEALTHY_WORKERS,
        WaitReason.AVOIDED_WORKERS,
        WaitReason.LOCALITY,
        WaitReason.BACKFILL,
        WaitReason.HEADROOM,
    }
)


@dataclass
class Relaxation:
    """Weaker constraints, and the waiting tasks of a step that they are for."""

    constraints: PlacementConstraints
    tasks: list[Task]


class WaitLimits:
    """Decide in one scheduling round which steps have to wait no longer.

    Locality, reservations of other steps and the health of workers are preferences: a
    step for which they leave no worker waits, and nothing else may ever end that wait.
    """

    def __init__(
        self,
        bounds: Bounds,
        workers: list[Worker],
        now: BootSeconds,
        last_accepted_at: float = float("-inf"),
    ):
        self.max_wait = bounds.finish * MAX_WAIT_SHARE
        self.workers = workers
        self.now = now
        # When the youngest known job was accepted, in boot seconds.
        self.last_accepted_at = last_accepted_at
        self.idle_services: dict[ServiceName, bool] = {}

    def is_overdue(self, step: StepRun, service: ServiceName) -> bool:
        """Return whether a step has to start wherever its requirements allow.

        A long-running step has to once it has waited for `MIN_WAIT_SECONDS`, any other
        if its job runs nothing for most of the bound while the service is idle.
        """
        if self._seconds_left(step) > 0:
            return False
        return self._is_limited(step, service)

    def may_use_reserved(self, step: StepRun, service: ServiceName) -> bool:
        """Return whether a step may run on workers that are reserved for others.

        While jobs keep coming, late ones would take the workers of a gang that ranks
        before them again and again, so that it never starts.
        """
        if self._seconds_left_for_reserved(step) > 0:
            return False
        return self._is_limited(step, service)

    def may_use_headroom(self, step: StepRun, service: ServiceName) -> bool:
        """Return whether a step may use capacity that is held for urgent jobs.

        Headroom must not keep a job from running, however busy the service is.
        """
        if self._seconds_left(step) > 0:
            return False
        return step.shape.long_running or not self._is_at_work(_allocated(step))

    def remaining(
        self, step: StepRun, service: ServiceName, reason: WaitReason
    ) -> float | None:
        """Return the seconds after which a limit ends a wait, or None if none does."""
        if reason is WaitReason.HEADROOM:
            if not step.shape.long_running and self._is_at_work(_allocated(step)):
                return None
            return max(0.0, self._seconds_left(step))
        if reason not in LIMITED_REASONS or not self._is_limited(step, service):
            return None
        if reason is WaitReason.BACKFILL:
            return max(0.0, self._seconds_left_for_reserved(step))
        left = self._seconds_left(step)
        if reason is WaitReason.UNHEALTHY_WORKERS:
            if not any(can_afford_failure(task) for task in step.waiting_tasks()):
                left = max(left, self.max_wait - step.waited(self.now))
        return max(0.0, left)

    def relaxed(
        self, step: StepRun, constraints: PlacementConstraints
    ) -> list[Relaxation]:
        """Return the weaker constraints to place a waiting step by, in this order."""
        waiting = step.waiting_tasks()
        anywhere = replace(constraints, ignore_locality=True)
        if self.is_overdue(step, constraints.service):
            return [
                Relaxation(anywhere, waiting),
                Relaxation(replace(anywhere, choice=WorkerChoice.SOUND), waiting),
                *self._with_unhealthy_workers(step, anywhere),
            ]
        if constraints.ignore_locality or step.waited(self.now) < MIN_WAIT_SECONDS:
            return []
        if self._waits_for_lost_rack(step, constraints):
            return [Relaxation(anywhere, waiting)]
        return []

    def _with_unhealthy_workers(
        self, step: StepRun, constraints: PlacementConstraints
    ) -> list[Relaxation]:
        """Return the constraints by which waiting tasks may use unhealthy workers.

        The failure of a task at its last attempt is that of its job, so such tasks wait
        longer, and don't return to where they have failed.
        """
        relaxed = []
        waiting = step.waiting_tasks()
        affordable = [task for task in waiting if can_afford_failure(task)]
        if affordable:
            permitted = replace(constraints, choice=WorkerChoice.PERMITTED)
            relaxed.append(Relaxation(permitted, affordable))
        if len(affordable) < len(waiting) and step.waited(self.now) >= self.max_wait:
            untried = replace(constraints, choice=WorkerChoice.UNTRIED)
            relaxed.append(Relaxation(untried, waiting))
        return relaxed

    def _seconds_left(self, step: StepRun) -> float:
        """Return for how long a step may still wait; not positive if it may not."""
        left = MIN_WAIT_SECONDS - step.waited(self.now)
        if step.shape.long_running:
            return left
        return max(left, self.max_wait - (self.now - step.job.accepted_at))

    def _seconds_left_for_reserved(self, step: StepRun) -> float:
        """Return for how long a step may still have to wait for reserved workers."""
        left = self._seconds_left(step)
        if step.shape.long_running:
            return left
        return max(left, self.max_wait - (self.now - self.last_accepted_at))

    def _is_limited(self, step: StepRun, service: ServiceName) -> bool:
        """Return whether the time for which a step may wait is limited now."""
        if step.shape.long_running:
            return True
        return self._is_idle(service) and not self._is_at_work(
            step.job.allocated_tasks()
        )

    def _is_at_work(self, tasks: list[Task]) -> bool:
        """Return whether some of the tasks run, or are about to start or to move.

        A repetition of a run that may be done doesn't count: it may bring nothing new.
        """
        for task in tasks:
            if task.worker.silent or task.may_be_done:
                continue
            if task.status is TaskStatus.RUNNING:
                return True
            if self.now - task.status_at < MIN_WAIT_SECONDS:
                return True
        return False

    def _waits_for_lost_rack(
        self, step: StepRun, constraints: PlacementConstraints
    ) -> bool:
        """Return whether the rack of a step's data can't hold the step any more."""
        rack = step.shape.data_rack
        if not rack:
            return False
        in_rack = []
        for worker in candidates(step, self.workers, constraints):
            if worker.rack == rack:
                in_rack.append(worker)
        return not can_run_near_data(step, in_rack)

    def _is_idle(self, service: ServiceName) -> bool:
        if service not in self.idle_services:
            self.idle_services[service] = is_idle(self.workers, service)
        return self.idle_services[service]


def can_afford_failure(task: Task) -> bool:
    """Return whether a task, or its gang, has more than one attempt left."""
    step = task.step
    if step.shape.long_running:
        return True
    return step.failure_count(task) + 1 < step.job.submission.attempts


def is_idle(workers: list[Worker], service: ServiceName) -> bool:
    """Return whether under `IDLE_SHARE` of a service's capacity is in use.

    Cores and accelerators count together: either may run out long before the other.
    The service is idle if it is by the workers that answer, or by all of them. What is
    only reserved is not in use.
    """
    of_service = [worker for worker in workers if worker.entry.service == service]
    answering = [worker for worker in of_service if _is_in_service(worker)]
    return _is_mostly_free(of_service) or _is_mostly_free(answering)


def _is_in_service(worker: Worker) -> bool:
    if worker.silent or worker.missing_since is not None:
        return False
    return worker.entry.state is WorkerState.READY


def _is_mostly_free(workers: list[Worker]) -> bool:
    capacity = used = 0
    for worker in workers:
        capacity += worker.entry.cpu + worker.entry.gpus * ACCELERATOR_MILLICORES
        for task in worker.tasks.values():
            shape = task.step.shape
            used += 0 if shape.best_effort else shape.cpu
            used += shape.gpus * ACCELERATOR_MILLICORES
    return used < IDLE_SHARE * capacity


def _allocated(step: StepRun) -> list[Task]:
    """Return the tasks of a step to which resources of a worker are allocated."""
    return [task for task in step.tasks if task.is_allocated]
