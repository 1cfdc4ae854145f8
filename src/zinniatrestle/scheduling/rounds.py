"""Scheduling rounds: which tasks start where, are stopped, or have to wait."""

import asyncio
import time
from dataclasses import replace
from functools import partial

from zinniatrestle.clock import boot_time, wall_time
from zinniatrestle.deployment import Bounds
from zinniatrestle.errors import LeaseLostError
from zinniatrestle.events import Event
from zinniatrestle.ids import BootSeconds, RunNumber
from zinniatrestle.jobs.intake import MAX_TASKS
from zinniatrestle.queues import Queue, permitted_regions
from zinniatrestle.scheduling.backfill import BackfillReservations, EarliestStart
from zinniatrestle.scheduling.checkpoint_saves import CheckpointSaves
from zinniatrestle.scheduling.context import Policy, SchedulerContext
from zinniatrestle.scheduling.draining import has_room, interrupted_tasks, should_move
from zinniatrestle.scheduling.forecast import Forecast
from zinniatrestle.scheduling.headroom_control import HeadroomControl
from zinniatrestle.scheduling.moves import Mover
from zinniatrestle.scheduling.order import (
    OrderPolicy,
    PriorityDeadlineOrder,
    start_deadlines,
)
from zinniatrestle.scheduling.packing import Demand
from zinniatrestle.scheduling.placement import (
    Assignment,
    BestFit,
    PlacementConstraints,
    PlacementPolicy,
    candidates,
    has_free_slots,
    is_remote,
)
from zinniatrestle.scheduling.preemption import HIGHEST_PRIORITY, Preemptor
from zinniatrestle.scheduling.remote_runs import tasks_to_move_near
from zinniatrestle.scheduling.speeds import should_restart, slow_workers
from zinniatrestle.scheduling.state import (
    FULL_PACE_PERCENT,
    Job,
    StepRun,
    Task,
    TaskStatus,
    Worker,
)
from zinniatrestle.scheduling.tracker import Tracker
from zinniatrestle.scheduling.unusable import UnusableWorkers
from zinniatrestle.scheduling.wait_limits import WaitLimits
from zinniatrestle.scheduling.wait_log import WaitLog
from zinniatrestle.scheduling.waits import (
    Wait,
    WaitReason,
    assigned_wait,
    former_worker_of,
    placement_wait,
    repetition_wait,
    reservation_wait,
    room_for,
)

# Runs are looked at for progress no more often than this: a stall takes several times
# as long.
STALL_CHECK_SECONDS = 0.2


class Planner:
    """Run scheduling rounds and apply their decisions through the tracker."""

    def __init__(self, context: SchedulerContext, tracker: Tracker):
        self.context = context
        self.tracker = tracker
        self.bounds: Bounds = context.deployment.bounds
        self.policy = context.policy or Policy()
        self.placement: PlacementPolicy = self.policy.placement or BestFit()
        self.order: OrderPolicy = self.policy.order or PriorityDeadlineOrder(
            tracker.durations
        )
        self.preemptor = Preemptor(context, tracker, self.policy)
        self.headroom = HeadroomControl(context)
        self.mover = Mover(context, tracker, self.preemptor)
        self.start_tasks: set[asyncio.Task] = set()
        self.checkpoint_saves = CheckpointSaves()
        self.demand = Demand(tracker.durations)
        self.wait_log = WaitLog(context.events, context.metrics)
        # Those of the current round.
        self.slow_workers: frozenset[Worker] = frozenset()
        self.stalls_checked_at = BootSeconds(float("-inf"))
        self.unusable_workers = UnusableWorkers(context.events)

    def run_round(self, now: BootSeconds):
        """Place waiting tasks, and preempt cheaper work for urgent steps."""
        started_at = time.perf_counter()
        tracker = self.tracker
        tracker.fleet.expire_leases(now)
        workers = list(tracker.fleet.workers.values())
        for worker in workers:
            tracker.health.start_canary_if_due(worker, now)
        self._add_due_occurrences()
        self.slow_workers = slow_workers(workers, now)
        if now - self.stalls_checked_at >= STALL_CHECK_SECONDS:
            self.stalls_checked_at = now
            self._stop_stalled(now)
        forecast = Forecast(tracker.durations, now)
        self._stop_on_draining_workers(workers, forecast)
        self._stop_on_slow_workers(forecast)
        self.wait_log.begin_round(now)
        steps = self._waiting_steps(forecast)
        steps.sort(key=lambda step: self.order.key(step, now))
        reservations = BackfillReservations(forecast)
        limits = WaitLimits(self.bounds, workers, now, self._last_accepted_at())
        self.preemptor.begin_round(forecast)
        self.headroom.begin_round(workers, forecast)
        self.demand.begin_round(workers, now)
        self.mover.begin_round(now)
        placed: list[Task] = []
        for step in steps:
            placed.extend(self._schedule_step(step, reservations, limits, now))
        self._stop_remote_runs(reservations, limits, now)
        self.mover.make_room(
            workers, partial(self._targets, reservations, limits, now), now
        )
        self.headroom.end_round()
        due_jobs = self.checkpoint_saves.due_jobs(tracker.jobs.values(), now)
        tracker.unsaved_jobs.update(due_jobs)
        if placed:
            self._start(placed)
        elif tracker.unsaved_jobs:
            self._start([])
        if self.wait_log.is_surveying:
            self.unusable_workers.check(workers, now)
        self.wait_log.end_round()
        self.context.metrics.rounds.record(time.perf_counter() - started_at)

    def _last_accepted_at(self) -> float:
        jobs = self.tracker.jobs.values()
        return max((job.accepted_at for job in jobs), default=float("-inf"))

    def _waiting_steps(self, forecast: Forecast) -> list[StepRun]:
        now = forecast.now
        waiting = []
        for job in self.tracker.jobs.values():
            if job.ended:
                continue
            for step in job.steps.values():
                if step.completed:
                    continue
                if not job.is_ready(step):
                    if self.wait_log.is_surveying:
                        self._log_repetition(step, forecast)
                    continue
                if step.ready_at is None:
                    step.ready_at = now
                self.demand.count(step, now)
                if self._has_tasks_to_place(step):
                    waiting.append(step)
                elif self.wait_log.is_surveying:
                    self._log_assigned(step, now)
        return waiting

    def _has_tasks_to_place(self, step: StepRun) -> bool:
        """Return whether a step has tasks to place; a gang is placed as a whole."""
        to_place = [
            task.status in (TaskStatus.WAITING, TaskStatus.RESERVED)
            for task in step.tasks
        ]
        return all(to_place) if step.shape.gang else any(to_place)

    def constraints(self, step: StepRun, now: BootSeconds) -> PlacementConstraints:
        """Return the placement constraints of a step at this time."""
        operator = self.context.operator
        submission = step.job.submission
        queue: Queue | None = operator.queues.get(submission.queue)
        account = operator.accounts.get(submission.account)
        durations = self.tracker.durations
        deadlines = start_deadlines(step, durations)
        slack = deadlines.latest_on_time_start - now
        run_seconds = durations.expected_seconds(submission.queue, step.shape)
        tickets = None
        if (
            queue is not None
            and queue.advice is not None
            and self.tracker.advice is not None
        ):
            tickets = self.tracker.advice.tickets(step.id, now)
        is_urgent = submission.priority == HIGHEST_PRIORITY
        service = queue.service if queue else submission.service
        return PlacementConstraints(
            service=service,
            regions=permitted_regions(queue, account),
            evacuated=operator.evacuated,
            tickets=tickets,
            now=now,
            slow=self.slow_workers,
            time_critical=0 < slack < run_seconds,
            prefers_slow=not is_urgent and slack >= run_seconds,
            ignore_locality=slack < 0,
            reliability=self.tracker.reliability,
            run_seconds=run_seconds,
            packing=self.demand.packing(service),
        )

    def _schedule_step(
        self,
        step: StepRun,
        reservations: BackfillReservations,
        limits: WaitLimits,
        now: BootSeconds,
    ) -> list[Task]:
        constraints = self.constraints(step, now)
        workers = self.headroom.workers_for(step, limits, constraints.service)
        placed = self._place_reserved(step, workers, reservations, constraints, now)
        if any(task.status is TaskStatus.RESERVED for task in step.tasks):
            return placed
        waiting = step.waiting_tasks()
        if not waiting:
            return placed
        assignment, applied = self._find_workers(
            step, workers, reservations, limits, constraints
        )
        if not assignment and self.mover.make_way(step):
            assignment, applied = self._find_workers(
                step, workers, reservations, limits, constraints
            )
        self._assign_tickets(assignment, constraints)
        placed.extend(self._place(step, assignment))
        unplaced = len(waiting) - len(assignment)
        if not unplaced:
            return placed
        if constraints.tickets is not None:
            self._request_advice(step, workers, applied)
        earliest = None
        if self.policy.reserves_workers:
            earliest = reservations.earliest_start(step, unplaced, workers, constraints)
        if self.preemptor.preempt_for(step, workers, constraints, earliest, now):
            self.headroom.record_wait(step)
            return placed
        if self.headroom.may_record_wait(step):
            if not has_free_slots(step, unplaced, workers):
                self.headroom.record_wait(step)
        if self.wait_log.is_due(step):
            wait = self._placement_wait(
                step, workers, constraints, reservations, earliest
            )
            limit = limits.remaining(step, constraints.service, wait.reason)
            self._log_wait(
                step, wait, self.headroom.workers, constraints, earliest, limit
            )
        if earliest is not None:
            self.mover.note_waiting(earliest, workers, constraints, reservations)
            reservations.reserve(earliest)
        return placed

    def _place_reserved(
        self,
        step: StepRun,
        workers: list[Worker],
        reservations: BackfillReservations,
        constraints: PlacementConstraints,
        now: BootSeconds,
    ) -> list[Task]:
        """Place the reserved tasks of a step for which workers have come free."""
        reserved = [task for task in step.tasks if task.status is TaskStatus.RESERVED]
        if not reserved:
            return []
        assignment = self.preemptor.take_reserved(step, reserved, constraints, now)
        if not assignment:
            assignment = self._place_elsewhere(
                step, reserved, workers, reservations, constraints
            )
        if not assignment:
            self._log_reserved(step, reserved, workers, constraints)
        return self._place(step, assignment)

    def _find_workers(
        self,
        step: StepRun,
        workers: list[Worker],
        reservations: BackfillReservations,
        limits: WaitLimits,
        constraints: PlacementConstraints,
    ) -> tuple[Assignment, PlacementConstraints]:
        """Return workers for the waiting tasks, and the constraints applied last.

        If the constraints leave none, those that the limits on waits allow are tried.
        """
        waiting = step.waiting_tasks()
        has_tickets = constraints.tickets is not None
        if not has_tickets and not has_free_slots(step, len(waiting), workers):
            return {}, constraints
        open_workers = reservations.eligible_workers(step, workers)
        assignment = self.placement.place(step, waiting, open_workers, constraints)
        if assignment:
            return assignment, constraints
        if limits.may_use_reserved(step, constraints.service):
            open_workers = workers
        applied = constraints
        for weaker in limits.relaxed(step, constraints):
            applied = weaker.constraints
            assignment = self.placement.place(step, weaker.tasks, open_workers, applied)
            if assignment:
                break
        return assignment, applied

    def _place_elsewhere(
        self,
        step: StepRun,
        reserved: list[Task],
        workers: list[Worker],
        reservations: BackfillReservations,
        constraints: PlacementConstraints,
    ) -> Assignment:
        """Return an assignment of reserved tasks to workers that came free before.

        What is free at their reserved workers counts. The reservations of the assigned
        tasks are released.
        """
        open_workers = reservations.eligible_workers(step, workers)
        held = [task for task in reserved if task.status is TaskStatus.RESERVED]
        for task in held:
            task.worker.release_reservation(task)
        assignment = self.placement.place(step, reserved, open_workers, constraints)
        for task in assignment:
            self.tracker.release_reservation(task)
        for task in held:
            if task.status is TaskStatus.RESERVED:
                task.worker.reserve(task)
        self._assign_tickets(assignment, constraints)
        return assignment

    def _assign_tickets(
        self, assignment: Assignment, constraints: PlacementConstraints
    ):
        if not constraints.tickets:
            return
        for task, worker in assignment.items():
            task.ticket = constraints.tickets[worker.id]

    # Reasons of waits

    def _placement_wait(
        self,
        step: StepRun,
        workers: list[Worker],
        constraints: PlacementConstraints,
        reservations: BackfillReservations,
        earliest: EarliestStart | None,
    ) -> Wait:
        """Return why a step that sees `workers` could not be placed."""
        everywhere = self.headroom.workers
        wait = placement_wait(step, everywhere, constraints, reservations, earliest)
        if workers is not everywhere and wait.reason is WaitReason.UNKNOWN:
            return Wait(WaitReason.HEADROOM)
        return wait

    def _log_reserved(
        self,
        step: StepRun,
        reserved: list[Task],
        workers: list[Worker],
        constraints: PlacementConstraints,
    ):
        """Log which preempted run a step with reserved workers waits for."""
        if reserved[0].status is not TaskStatus.RESERVED:
            return
        if self.wait_log.is_due(step, is_short=True):
            until = reserved[0].confirmed_at + self.preemptor.max_stop_seconds
            wait = reservation_wait(reserved, until)
            self._log_wait(step, wait, workers, constraints)

    def _log_assigned(self, step: StepRun, now: BootSeconds):
        """Log which run a step waits for that has no tasks to place."""
        wait = assigned_wait(step)
        if wait is not None and self.wait_log.is_due(step, is_short=True):
            workers = list(self.tracker.fleet.workers.values())
            self._log_wait(step, wait, workers, self.constraints(step, now))

    def _log_repetition(self, step: StepRun, forecast: Forecast):
        """Log which repetition of a run that may be done keeps a step from its turn."""
        wait = repetition_wait(step, forecast)
        if wait is None or not self.wait_log.is_due(step, is_short=True):
            return
        fleet = self.tracker.fleet
        lost = wait.held_by.lost_run
        if lost is not None:
            registered = fleet.workers.get(lost.worker)
            wait.former_worker = former_worker_of(lost, registered)
        constraints = self.constraints(step, forecast.now)
        self._log_wait(step, wait, list(fleet.workers.values()), constraints)

    def _log_wait(
        self,
        step: StepRun,
        wait: Wait,
        workers: list[Worker],
        constraints: PlacementConstraints,
        earliest: EarliestStart | None = None,
        limit: float | None = None,
    ):
        now = self.wait_log.now
        deadlines = start_deadlines(step, self.tracker.durations)
        is_urgent = step.job.submission.priority == HIGHEST_PRIORITY
        self.wait_log.write(
            step,
            wait,
            room_for(step, workers, constraints),
            anywhere=constraints.ignore_locality,
            guaranteed=is_urgent and self.preemptor.is_guaranteed(step),
            room_in=round(earliest.at - now, 2) if earliest is not None else None,
            limit_in=round(limit, 2) if limit is not None else None,
            slack=round(deadlines.latest_on_time_start - now, 2),
        )

    # Placing

    def _place(self, step: StepRun, assignment: Assignment) -> list[Task]:
        if not assignment:
            return []
        run = RunNumber(0)
        if step.shape.gang:
            run = RunNumber(max(task.run for task in step.tasks) + 1)
            step.begin_run()
        placed_at = boot_time()
        self.headroom.record_placed(step, placed_at)
        for task, worker in assignment.items():
            task.run = run or RunNumber(task.run + 1)
            task.worker = worker
            task.placed_instance = worker.entry.instance
            task.status = TaskStatus.PLACED
            task.status_at = placed_at
            task.start_pending = True
            task.inherited = False
            task.resumed = bool(task.checkpoint)
            task.reset_progress()
            task.pace = FULL_PACE_PERCENT
            worker.add_task(task)
        return list(assignment)

    # Advice

    def _request_advice(
        self, step: StepRun, workers: list[Worker], constraints: PlacementConstraints
    ):
        """Request advice on workers for a step that its tickets could not place.

        Workers that were denied don't count as alternatives to those that the step
        avoids.
        """
        queue = self.context.operator.queues[step.job.submission.queue]
        without_tickets = replace(constraints, tickets=None)
        denied = self.tracker.advice.denied(step.id)
        not_denied = [worker for worker in workers if worker.id not in denied]
        eligible = candidates(step, not_denied, without_tickets)
        eligible.sort(key=lambda worker: (-worker.slots(step), worker.id))
        worker_ids = [
            worker.id for worker in eligible if worker.id not in constraints.tickets
        ]
        self.tracker.advice.request_tickets(step.id, queue.advice, worker_ids)

    # Starting

    def _start(self, placed: list[Task]):
        runs = [(task, task.run) for task in placed]
        starting = asyncio.create_task(self._save_and_start(runs))
        self.start_tasks.add(starting)
        starting.add_done_callback(self.start_tasks.discard)
        starting.add_done_callback(partial(self._end_start, runs))

    def _end_start(self, runs: list[tuple[Task, RunNumber]], starting: asyncio.Task):
        """Treat runs as unanswered if starting them has failed."""
        self.tracker.log_failure("start", None, starting)
        if starting.cancelled() or starting.exception() is None:
            return
        for task, run in runs:
            if task.start_pending:
                self.tracker.unanswered(task, run)

    async def _save_and_start(self, runs: list[tuple[Task, RunNumber]]):
        """Save the placements, then send the start orders."""
        tracker = self.tracker
        jobs: set[Job] = set(tracker.unsaved_jobs)
        tracker.unsaved_jobs.clear()
        jobs.update(task.step.job for task, _ in runs)
        try:
            await tracker.progress_writer.save(jobs)
        except LeaseLostError as error:
            self.context.events.write_deduplicated(Event.LEASE_LOST, error.detail)
            return
        # All start orders are queued together, those to other regions first, since
        # their round trips take longest.
        runs.sort(key=lambda start: self._is_in_own_region(start[0]))
        for task, run in runs:
            if task.run != run or not task.is_allocated:
                continue
            session = tracker.sessions.get(task.worker)
            stopped = task.status is not TaskStatus.PLACED
            if session is None or stopped or task.step.job.ended:
                # No start order was sent, so the run doesn't exist.
                task.latest_end = "not ordered"
                tracker.unassign(task)
                tracker.stop_gang(task.step)
                continue
            self.context.events.write(
                Event.RUN_PLACED,
                task=task.id,
                run=run,
                worker=task.worker.id,
                account=task.step.job.submission.account,
                priority=task.step.job.submission.priority,
                waited=round(boot_time() - task.step.job.due_at, 2),
                desired_version=self.context.operator.desired.version,
                checkpoint=task.checkpoint,
                former=task.latest_end or None,
                risk=tracker.risk(task),
            )
            session.start(task, run)

    def _is_in_own_region(self, task: Task) -> bool:
        own = self.context.deployment.identity.region
        return task.worker is not None and task.worker.region == own

    # Stalled, draining and slow workers

    def _stop_stalled(self, now: BootSeconds):
        tracker = self.tracker
        for task in tracker.stalled_tasks():
            worker = task.worker
            if tracker.health.may_be_at_fault(worker, task):
                tracker.suspect_stall(worker, task, now)
            tracker.stop(task, "no progress")
            tracker.stop_gang(task.step)

    def _stop_on_draining_workers(self, workers: list[Worker], forecast: Forecast):
        """Stop runs that a draining worker would interrupt, so that they move."""
        now = forecast.now
        for worker in workers:
            for task in interrupted_tasks(worker, forecast):
                constraints = self.constraints(task.step, now)
                if should_move(task, workers, constraints, self.bounds, now):
                    self.tracker.stop(task, "its worker shuts down before it can end")
                    self.tracker.stop_gang(task.step)

    def _stop_on_slow_workers(self, forecast: Forecast):
        """Stop runs on slow workers that are worth restarting on another worker."""
        workers = list(self.tracker.fleet.workers.values())
        for worker in workers:
            if worker not in self.slow_workers:
                continue
            for task in list(worker.tasks.values()):
                if not should_restart(task, forecast):
                    continue
                constraints = self.constraints(task.step, forecast.now)
                if has_room(task.step, [task], workers, constraints):
                    self.tracker.stop(task, "its worker is slow")
                    self.tracker.stop_gang(task.step)

    def _stop_remote_runs(
        self,
        reservations: BackfillReservations,
        limits: WaitLimits,
        now: BootSeconds,
    ):
        """Stop runs that end sooner near their data, where no waiting step needs room.

        That is judged after the waiting steps have been placed.
        """
        for job in self.tracker.jobs.values():
            if job.ended:
                continue
            for step in job.steps.values():
                if not is_remote(step):
                    continue
                constraints = self.constraints(step, now)
                workers = self.headroom.workers_for(step, limits, constraints.service)
                open_workers = reservations.eligible_workers(step, workers)
                for task in tasks_to_move_near(
                    step, open_workers, constraints, self.bounds
                ):
                    task.moves += 1
                    self.tracker.stop(task, "there is room near its data")

    def _targets(
        self,
        reservations: BackfillReservations,
        limits: WaitLimits,
        now: BootSeconds,
        step: StepRun,
    ) -> list[Worker]:
        """Return the workers on which a moved run of a step may continue."""
        constraints = self.constraints(step, now)
        workers = self.headroom.workers_for(step, limits, constraints.service)
        open_workers = reservations.eligible_workers(step, workers)
        return candidates(step, open_workers, constraints)

    # Timed jobs

    def _add_due_occurrences(self):
        now_ms = wall_time() * 1000
        for job in self.tracker.jobs.values():
            submission = job.submission
            if job.ended or not submission.timed:
                continue
            while job.next_occurrence < submission.occurrences:
                due = submission.first_due_ms
                due += job.next_occurrence * submission.every_ms
                if now_ms < due:
                    break
                kept = job.unfinished_task_count() + len(job.finished_steps)
                if kept + job.tasks_per_occurrence > MAX_TASKS:
                    # The job's progress row has room for this many tasks only, and a
                    # finished step takes less of it than a task.
                    break
                backlog = self.tracker.backlog
                if not backlog.may_add_occurrence(submission, job.occurrence_count):
                    # It is added once other work of the account has ended.
                    break
                job.add_occurrence(job.next_occurrence)
                job.next_occurrence += 1
                backlog.set_occurrences(submission, job.occurrence_count)
