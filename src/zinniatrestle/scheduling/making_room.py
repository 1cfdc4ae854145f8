"""Make room for urgent work, and keep it until the step can use it."""

from zinniatrestle.events import Event
from zinniatrestle.ids import BootSeconds, ClientAccountId
from zinniatrestle.scheduling.context import Policy, SchedulerContext
from zinniatrestle.scheduling.leaving import ORDER_SECONDS
from zinniatrestle.scheduling.placement import Assignment, Terms, permitted
from zinniatrestle.scheduling.reclaim import ReclaimPlanner
from zinniatrestle.scheduling.state import StepRun, Task, TaskStatus, Worker
from zinniatrestle.scheduling.tracker import Tracker

# s; after this time room that is kept is planned anew.
RESERVED_SECONDS = 3.0
HIGHEST_PRIORITY = 0
# Work that may be lost for each unit of urgent work that would come too late without
# its room: urgent work is short, and worth several times as much for its size.
WORTH_LOSING = 1.5


class RoomMaker:
    """Stop other work for urgent work where that is due or worth it."""

    def __init__(self, context: SchedulerContext, tracker: Tracker, policy: Policy):
        self.context = context
        self.tracker = tracker
        self.policy = policy
        self.planner = ReclaimPlanner(context.deployment.bounds.checkpoint_interval)

    def make_room(
        self, step: StepRun, workers: list[Worker], terms: Terms, now: BootSeconds
    ) -> bool:
        """Stop cheaper work for urgent work that waits, guaranteed or worth it."""
        if not self.policy.reclaims or not self._is_urgent(step):
            return False
        waiting = step.waiting()
        plan = self.planner.plan(step, waiting, workers, terms, now)
        if plan is None and not terms.anywhere:
            terms.anywhere = True
            plan = self.planner.plan(step, waiting, workers, terms, now)
        if plan is None:
            return False
        if plan.cost > self._worth_losing(step, waiting):
            # What costs more than it brings is done for a guarantee, and at the last.
            if now < self._last_reclaim(step) or not self.is_guaranteed(step):
                return False
        for task, worker in plan.places.items():
            task.worker = worker
            task.status = TaskStatus.RESERVED
            if terms.tickets:
                task.ticket = terms.tickets[worker.id]
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
                cost=round(self.planner.loss(victim, now) / 1000, 1),
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

    def _worth_losing(self, step: StepRun, waiting: list[Task]) -> float:
        """Return the work that may be lost for urgent work without a guarantee."""
        seconds = self.tracker.durations.task(step.job.submission.queue, step.shape)
        return WORTH_LOSING * seconds * step.work * len(waiting)

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
        self, step: StepRun, reserved: list[Task], terms: Terms, now: BootSeconds
    ) -> Assignment:
        """Return the places of a step whose room is free by now, or give them up."""
        ready: Assignment = {}
        for task in reserved:
            worker = task.worker
            if not permitted(worker, step, terms):
                self._release(reserved)
                return {}
            if min(worker.free_cpu, worker.free_memory, worker.free_gpus) >= 0:
                ready[task] = worker
        if step.shape.gang and len(ready) < len(reserved):
            if now - reserved[0].confirmed_at > RESERVED_SECONDS:
                self._release(reserved)
            return {}
        for task in ready:
            task.worker.unreserve(task)
        return ready

    def _release(self, tasks: list[Task]):
        for task in tasks:
            self.tracker.release(task)
