"""Make room for urgent work, and keep it until the step can use it."""

import math

from zinniatrestle.events import Event
from zinniatrestle.ids import BootSeconds, ClientAccountId
from zinniatrestle.scheduling.backfill import EarliestStart
from zinniatrestle.scheduling.context import Policy, SchedulerContext
from zinniatrestle.scheduling.draining import ORDER_SECONDS
from zinniatrestle.scheduling.forecast import Forecast
from zinniatrestle.scheduling.order import urgency
from zinniatrestle.scheduling.placement import (
    Assignment,
    PlacementConstraints,
    permitted,
)
from zinniatrestle.scheduling.preemption_costs import PreemptionCosts
from zinniatrestle.scheduling.reclaim import ReclaimPlanner
from zinniatrestle.scheduling.state import (
    MILLICORES,
    StepRun,
    Task,
    TaskStatus,
    Worker,
)
from zinniatrestle.scheduling.tracker import Tracker

# s; after this time room that is kept is planned anew.
RESERVED_SECONDS = 3.0
HIGHEST_PRIORITY = 0
# Work that may be lost for each unit of urgent work that is on time only with that
# room, or late with it and of no use without: urgent work is short, and worth several
# times as much for its size.
WORTH_BEING_ON_TIME = 4.0
WORTH_BEING_LATE = 1.0
# s; an attempt to make room for a step that failed is not repeated sooner.
RETRY_SECONDS = 0.1


class Preemptor:
    """Stop other work for urgent work where that is due or worth it."""

    def __init__(self, context: SchedulerContext, tracker: Tracker, policy: Policy):
        self.context = context
        self.tracker = tracker
        self.policy = policy
        self.planner = ReclaimPlanner()
        self.costs = PreemptionCosts(Forecast(tracker.durations, BootSeconds(0.0)), 0.0)

    def begin(self, forecast: Forecast):
        """Begin a round: what would be lost is worked out anew."""
        interval = self.context.deployment.bounds.checkpoint_interval
        self.costs = PreemptionCosts(forecast, interval)

    def preempt_for(
        self,
        step: StepRun,
        workers: list[Worker],
        constraints: PlacementConstraints,
        room: EarliestStart | None,
        now: BootSeconds,
    ) -> bool:
        """Stop cheaper work for urgent work that waits, guaranteed or worth it.

        `room` is what it will find without that, if known.
        """
        if not self.policy.reclaims or not self._is_urgent(step):
            return False
        if now - step.preemption_tried_at < RETRY_SECONDS:
            return False
        step.preemption_tried_at = now
        waiting = step.waiting()
        limit = self._worth_losing(step, waiting, room, now)
        if self._must_reclaim(step, room, now):
            limit = math.inf
        if limit <= 0:
            return False
        plan = self.planner.plan(step, waiting, workers, constraints, self.costs, limit)
        if plan is None and limit == math.inf and not constraints.ignore_locality:
            constraints.ignore_locality = True
            plan = self.planner.plan(step, waiting, workers, constraints, self.costs)
        if plan is None:
            return False
        for task, worker in plan.places.items():
            task.worker = worker
            task.status = TaskStatus.RESERVED
            if constraints.tickets:
                task.ticket = constraints.tickets[worker.id]
            task.confirmed_at = now
            worker.reserve(task)
        for victim in plan.victims:
            self.context.metrics.preemptions.add(1)
            self.context.events.write(
                Event.RUN_PREEMPTED,
                task=victim.id,
                run=victim.run,
                worker=victim.worker.id,
                reason=f"room for job {step.job.id}",
                for_job=step.job.id,
                lost=round(self.costs.of(victim) / MILLICORES, 1),
            )
            self.tracker.stop(victim, "preempted")
        return True

    def _is_urgent(self, step: StepRun) -> bool:
        """Tell whether other work may be stopped for a step."""
        submission = step.job.submission
        return submission.priority == HIGHEST_PRIORITY and not submission.timed

    def is_guaranteed(self, step: StepRun) -> bool:
        """Tell whether an account's guarantee covers a step."""
        account = self.context.operator.accounts.get(step.job.submission.account)
        if account is None or not account.guaranteed:
            return False
        return self._within(step, account.name, account.guaranteed)

    def _worth_losing(
        self,
        step: StepRun,
        waiting: list[Task],
        room: EarliestStart | None,
        now: BootSeconds,
    ) -> float:
        """Return the work that may be lost so that a step need not wait for room."""
        until = urgency(step, self.tracker.durations)
        with_stops = now + self.context.deployment.bounds.stop + ORDER_SECONDS
        without = room.at if room is not None else math.inf
        seconds = self.tracker.durations.task(step.job.submission.queue, step.shape)
        work = seconds * step.work * len(waiting)
        if with_stops <= until.latest_on_time_start < without:
            return WORTH_BEING_ON_TIME * work
        if with_stops <= until.latest_useful_start < without:
            return WORTH_BEING_LATE * work
        return 0.0

    def _must_reclaim(
        self, step: StepRun, room: EarliestStart | None, now: BootSeconds
    ) -> bool:
        """Tell whether a guarantee makes room whatever it costs.

        That is done at once if the step would find no room in time by itself, else at
        the last, in case it does not come free as expected.
        """
        if not self.is_guaranteed(step):
            return False
        last = self._last_reclaim(step)
        return now >= last or room is None or room.at > last

    def _last_reclaim(self, step: StepRun) -> float:
        """Return until when a stop and a start still fit into a guarantee's time."""
        seconds = (
            self.context.deployment.bounds.reclaim
            - self.context.deployment.bounds.stop
            - 2 * ORDER_SECONDS
        )
        return step.job.due_at + max(0.0, seconds)

    def _within(self, step: StepRun, account: ClientAccountId, bound: int) -> bool:
        """Tell whether an account's urgent jobs up to this one keep to its share."""
        needed = 0
        for job in self.tracker.jobs.values():
            submission = job.submission
            if job.ended or submission.account != account:
                continue
            if submission.priority != HIGHEST_PRIORITY:
                continue
            if job.due_at > step.job.due_at:
                continue
            for other in job.steps.values():
                if not other.done and job.is_ready(other):
                    needed += other.shape.count * other.shape.gpus
        return needed <= bound

    def take(
        self,
        step: StepRun,
        reserved: list[Task],
        constraints: PlacementConstraints,
        now: BootSeconds,
    ) -> Assignment:
        """Return the places of a step whose room is free by now, or give them up."""
        ready: Assignment = {}
        for task in reserved:
            worker = task.worker
            if not permitted(worker, step, constraints):
                self._release(reserved)
                return {}
            if min(worker.free_cpu, worker.free_memory, worker.free_gpus) >= 0:
                ready[task] = worker
        late = now - reserved[0].confirmed_at > RESERVED_SECONDS
        if step.shape.gang and len(ready) < len(reserved):
            if late:
                self._release(reserved)
            return {}
        for task in ready:
            task.worker.release_reservation(task)
        if late:
            self._release([task for task in reserved if task not in ready])
        return ready

    def _release(self, tasks: list[Task]):
        for task in tasks:
            self.tracker.release_reservation(task)
