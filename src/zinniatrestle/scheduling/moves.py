"""Move runs so that a gang gets whole workers, and reserve these for it."""

from zinniatrestle.events import Event
from zinniatrestle.ids import BootSeconds
from zinniatrestle.scheduling.backfill import BackfillReservations, EarliestStart
from zinniatrestle.scheduling.context import SchedulerContext
from zinniatrestle.scheduling.defragmentation import (
    Defragmentation,
    FindTargets,
    MovePlan,
    WaitingGang,
)
from zinniatrestle.scheduling.placement import PlacementConstraints
from zinniatrestle.scheduling.preemption import HIGHEST_PRIORITY, Preemptor
from zinniatrestle.scheduling.state import (
    MILLICORES_PER_CORE,
    StepRun,
    TaskStatus,
    Worker,
)
from zinniatrestle.scheduling.tracker import Tracker


class Mover:
    """Carry out the moves that the defragmentation plans, once a round."""

    def __init__(
        self, context: SchedulerContext, tracker: Tracker, preemptor: Preemptor
    ):
        self.context = context
        self.tracker = tracker
        self.preemptor = preemptor
        self.decision = Defragmentation(context.deployment.bounds, tracker.durations)
        # The gangs of the current round that wait, the first to be placed first.
        self.waiting: list[WaitingGang] = []

    def begin_round(self, now: BootSeconds):
        """Start a scheduling round."""
        self.waiting = []
        self.decision.begin_round(now)

    def note_waiting(
        self,
        earliest: EarliestStart,
        workers: list[Worker],
        constraints: PlacementConstraints,
        reservations: BackfillReservations,
    ):
        """Note a gang that was neither placed nor given reservations in this round."""
        step = earliest.step
        open_workers = reservations.eligible_workers(step, workers)
        self.waiting.append(WaitingGang(step, constraints, open_workers, earliest.at))

    def make_way(self, step: StepRun) -> bool:
        """Release what is reserved for the gang of an attempt, for an urgent step.

        Returns whether anything was released. Preemption doesn't count reservations,
        and the urgent step may be late before the moved runs have stopped.
        """
        gang = self.decision.attempt
        if gang is None or step.job.submission.priority != HIGHEST_PRIORITY:
            return False
        if gang.job.submission.priority == HIGHEST_PRIORITY:
            return False
        for task in gang.tasks:
            if task.status is TaskStatus.RESERVED:
                self.tracker.release_reservation(task)
                return True
        return False

    def make_room(
        self, workers: list[Worker], find_targets: FindTargets, now: BootSeconds
    ):
        """Stop runs that continue elsewhere, for one of the gangs that wait."""
        if not self.waiting or not self.preemptor.policy.preempts:
            return
        costs = self.preemptor.costs
        plan = self.decision.plan(self.waiting, workers, costs, find_targets, now)
        if plan is not None:
            self._carry_out(plan, now)

    def _carry_out(self, plan: MovePlan, now: BootSeconds):
        job = plan.gang.step.job
        self.preemptor.reserve(plan.assignment, plan.gang.constraints, now)
        metrics = self.context.metrics
        for task in plan.moved:
            lost = round(plan.losses[task] / MILLICORES_PER_CORE, 1)
            metrics.moves_to_make_room.add(1)
            metrics.work_moved.add(lost)
            self.context.events.write(
                Event.RUN_MOVED,
                task=task.id,
                run=task.run,
                worker=task.worker.id,
                for_job=job.id,
                lost=lost,
            )
            task.made_room = True
            self.tracker.stop(task, "moved to make room")
