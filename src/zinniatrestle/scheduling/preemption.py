"""Preempt cheaper work for urgent steps, and reserve the freed capacity for them."""

import bisect
import math
from collections import defaultdict
from collections.abc import Iterable
from dataclasses import replace

from zinniatrestle.events import Event
from zinniatrestle.ids import BootSeconds, ClientAccountId
from zinniatrestle.scheduling.backfill import EarliestStart
from zinniatrestle.scheduling.context import Policy, SchedulerContext
from zinniatrestle.scheduling.draining import ORDER_LATENCY_SECONDS
from zinniatrestle.scheduling.forecast import Forecast
from zinniatrestle.scheduling.order import latest_hopeful_start, start_deadlines
from zinniatrestle.scheduling.placement import (
    Assignment,
    PlacementConstraints,
    is_permitted,
)
from zinniatrestle.scheduling.preemption_costs import PreemptionCosts
from zinniatrestle.scheduling.preemption_plan import PreemptionPlanner
from zinniatrestle.scheduling.state import (
    MILLICORES_PER_CORE,
    Job,
    StepRun,
    Task,
    TaskStatus,
    Worker,
)
from zinniatrestle.scheduling.tracker import Tracker

# Time for the order to stop a run, one retry of it, and the report of the run's end.
STOP_LATENCY_SECONDS = 3 * ORDER_LATENCY_SECONDS
HIGHEST_PRIORITY = 0
# Work that may be lost per unit of urgent work, if the job is on time only with
# preemption, or late with it and useless without it. Urgent jobs are short, and worth
# several times as much for their size as other jobs.
ON_TIME_LOSS_RATIO = 4.0
LATE_LOSS_RATIO = 1.0
# Minimum time between two plans of preemption for the same step.
RETRY_INTERVAL_SECONDS = 0.1


class UrgentNeeds:
    """Accelerators that an account's urgent jobs need, by the jobs' due times."""

    def __init__(self):
        self.due_times: list[float] = []
        self.totals: list[int] = []

    def add(self, due_at: float, gpus: int):
        """Add a job; jobs are added in order of their due times."""
        self.due_times.append(due_at)
        self.totals.append(gpus + (self.totals[-1] if self.totals else 0))

    def until(self, due_at: float) -> int:
        """Return the accelerators that the jobs due by then need together."""
        count = bisect.bisect_right(self.due_times, due_at)
        return self.totals[count - 1] if count else 0


def urgent_needs(jobs: Iterable[Job]) -> defaultdict[ClientAccountId, UrgentNeeds]:
    """Return what the urgent jobs that have not ended need now, by account."""
    urgent = []
    for job in jobs:
        if not job.ended and job.submission.priority == HIGHEST_PRIORITY:
            urgent.append(job)
    urgent.sort(key=lambda job: job.due_at)
    needs: defaultdict[ClientAccountId, UrgentNeeds] = defaultdict(UrgentNeeds)
    for job in urgent:
        gpus = 0
        for step in job.steps.values():
            if not step.completed and job.is_ready(step):
                gpus += step.shape.count * step.shape.gpus
        needs[job.submission.account].add(job.due_at, gpus)
    return needs


class Preemptor:
    """Preempt other work for urgent steps if a guarantee or the value justifies it."""

    def __init__(self, context: SchedulerContext, tracker: Tracker, policy: Policy):
        self.context = context
        self.tracker = tracker
        self.policy = policy
        self.planner = PreemptionPlanner()
        # What the urgent jobs of each account need; None until a round asks for it.
        self.urgent_needs: dict[ClientAccountId, UrgentNeeds] | None = None
        # Reservations that can't be used after this time are released, and the step is
        # planned anew without the runs that haven't stopped by then.
        self.max_stop_seconds = context.deployment.bounds.stop + STOP_LATENCY_SECONDS
        self.costs = PreemptionCosts(Forecast(tracker.durations, BootSeconds(0.0)), 0.0)

    def begin_round(self, forecast: Forecast):
        """Start a scheduling round; costs and needs are computed anew."""
        self.urgent_needs = None
        restore_seconds = self.context.deployment.bounds.restore
        self.costs = PreemptionCosts(forecast, restore_seconds, self.max_stop_seconds)

    def preempt_for(
        self,
        step: StepRun,
        workers: list[Worker],
        constraints: PlacementConstraints,
        earliest: EarliestStart | None,
        now: BootSeconds,
    ) -> bool:
        """Preempt cheaper work for the waiting tasks of an urgent step.

        Any loss is accepted if a guarantee requires it, else a loss up to a limit that
        depends on the step's deadlines. `earliest` is the step's estimated start
        without preemption, if known. Returns whether the step got reservations.
        """
        if not self.policy.preempts or not self._is_urgent(step):
            return False
        if now - step.preemption_tried_at < RETRY_INTERVAL_SECONDS:
            return False
        waiting = step.waiting_tasks()
        loss_limit = self._loss_limit(step, waiting, earliest, now)
        if self._must_reclaim(step, earliest, now):
            loss_limit = math.inf
        if loss_limit <= 0:
            # Nothing was planned, so the next round may try, as soon as it is due.
            return False
        step.preemption_tried_at = now
        plan = self.planner.plan(
            step, waiting, workers, constraints, self.costs, loss_limit
        )
        if plan is None and loss_limit == math.inf and not constraints.ignore_locality:
            anywhere = replace(constraints, ignore_locality=True)
            plan = self.planner.plan(step, waiting, workers, anywhere, self.costs)
        if plan is None:
            return False
        self.reserve(plan.assignment, constraints, now)
        for victim in plan.victims:
            self.context.metrics.preemptions.add(1)
            self.context.events.write(
                Event.RUN_PREEMPTED,
                task=victim.id,
                run=victim.run,
                worker=victim.worker.id,
                reason=f"room for job {step.job.id}",
                for_job=step.job.id,
                lost=round(self.costs.loss_of(victim) / MILLICORES_PER_CORE, 1),
            )
            victim.restart_cost = self.costs.seconds_lost(victim)
            self.tracker.stop(victim, "preempted")
        return True

    def _is_urgent(self, step: StepRun) -> bool:
        """Return whether other work may be preempted for a step."""
        submission = step.job.submission
        return submission.priority == HIGHEST_PRIORITY and not submission.timed

    def is_guaranteed(self, step: StepRun) -> bool:
        """Return whether a step is covered by the guarantee of its account."""
        account = self.context.operator.accounts.get(step.job.submission.account)
        if account is None or not account.guaranteed:
            return False
        return self._is_within_guarantee(step, account.name, account.guaranteed)

    def _loss_limit(
        self,
        step: StepRun,
        waiting: list[Task],
        earliest: EarliestStart | None,
        now: BootSeconds,
    ) -> float:
        """Return the limit on lost work for a step, in thousandths of core-seconds.

        It is 0 unless preemption makes the difference between on time and late, or
        between late and useless.
        """
        deadlines = start_deadlines(step, self.tracker.durations)
        start_with_preemption = (
            now + self.context.deployment.bounds.stop + ORDER_LATENCY_SECONDS
        )
        start_without_preemption = earliest.at if earliest is not None else math.inf
        hopeful_start = latest_hopeful_start(step, self.tracker.durations)
        seconds = self.tracker.durations.expected_seconds(
            step.job.submission.queue, step.shape
        )
        work = seconds * step.task_weight * len(waiting)
        can_be_on_time = start_with_preemption <= hopeful_start
        if can_be_on_time and deadlines.latest_on_time_start < start_without_preemption:
            return ON_TIME_LOSS_RATIO * work
        if (
            start_with_preemption
            <= deadlines.latest_useful_start
            < start_without_preemption
        ):
            return LATE_LOSS_RATIO * work
        return 0.0

    def _must_reclaim(
        self, step: StepRun, earliest: EarliestStart | None, now: BootSeconds
    ) -> bool:
        """Return whether a guarantee requires preemption now, whatever the loss.

        A step that is not expected to start in time without preemption preempts at
        once. Any other waits until the last moment, and preempts only if the expected
        capacity has not come free by then.
        """
        if not self.is_guaranteed(step):
            return False
        deadline = self._reclaim_deadline(step)
        return now >= deadline or earliest is None or earliest.at > deadline

    def _reclaim_deadline(self, step: StepRun) -> float:
        """Return the latest time (boot seconds) to preempt for a guarantee.

        After it, a stop and a start no longer fit into the guaranteed time.
        """
        seconds = (
            self.context.deployment.bounds.reclaim
            - self.context.deployment.bounds.stop
            - 2 * ORDER_LATENCY_SECONDS
        )
        return step.job.due_at + max(0.0, seconds)

    def _is_within_guarantee(
        self, step: StepRun, account: ClientAccountId, guaranteed: int
    ) -> bool:
        """Return whether an account's urgent jobs up to this one fit its guarantee.

        `guaranteed` is in accelerators; jobs count in order of their due times.
        """
        if self.urgent_needs is None:
            self.urgent_needs = urgent_needs(self.tracker.jobs.values())
        return self.urgent_needs[account].until(step.job.due_at) <= guaranteed

    def reserve(
        self,
        assignment: Assignment,
        constraints: PlacementConstraints,
        now: BootSeconds,
    ):
        """Reserve the workers of an assignment, whose capacity is being freed."""
        for task, worker in assignment.items():
            task.worker = worker
            task.status = TaskStatus.RESERVED
            if constraints.tickets:
                task.ticket = constraints.tickets[worker.id]
            task.confirmed_at = now
            worker.reserve(task)

    def take_reserved(
        self,
        step: StepRun,
        reserved: list[Task],
        constraints: PlacementConstraints,
        now: BootSeconds,
    ) -> Assignment:
        """Return the assignment of the reserved tasks whose capacity is free by now.

        A gang gets all its tasks or none. Of the steps with reservations at a worker,
        the first whose tasks fit starts there. Reservations are released if a worker is
        no longer permitted, or if their capacity is not free in time.
        """
        ready: Assignment = {}
        for task in reserved:
            worker = task.worker
            if not is_permitted(worker, step, constraints):
                self._release(reserved)
                return {}
            if worker.has_room_for_reserved(step):
                ready[task] = worker
        expired = now - reserved[0].confirmed_at > self.max_stop_seconds
        if step.shape.gang and len(ready) < len(reserved):
            if expired:
                self._release(reserved)
            return {}
        for task in ready:
            task.worker.release_reservation(task)
        if expired:
            self._release([task for task in reserved if task not in ready])
        return ready

    def _release(self, tasks: list[Task]):
        for task in tasks:
            self.tracker.release_reservation(task)
