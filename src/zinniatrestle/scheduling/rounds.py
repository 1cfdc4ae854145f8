"""One round of decisions: what starts where, what is stopped, what has to wait."""

import asyncio
import time
from dataclasses import replace

from zinniatrestle.advice import AdviceCache
from zinniatrestle.clock import boot_time, wall_time
from zinniatrestle.deployment import Bounds
from zinniatrestle.errors import LeaseLostError
from zinniatrestle.events import Event
from zinniatrestle.ids import BootSeconds, RunNumber
from zinniatrestle.jobs.intake import MAX_TASKS
from zinniatrestle.jobs.messages import JobState
from zinniatrestle.queues import Queue
from zinniatrestle.scheduling.backfill import BackfillReservations, EarliestStart
from zinniatrestle.scheduling.context import Policy, SchedulerContext
from zinniatrestle.scheduling.draining import has_room, interrupted_tasks, should_move
from zinniatrestle.scheduling.forecast import Forecast
from zinniatrestle.scheduling.order import OrderPolicy, UsefulFirst, urgency
from zinniatrestle.scheduling.placement import (
    Assignment,
    BestFit,
    PlacementConstraints,
    PlacementPolicy,
    candidates,
)
from zinniatrestle.scheduling.preemption import HIGHEST_PRIORITY, Preemptor
from zinniatrestle.scheduling.speeds import is_slow, should_restart
from zinniatrestle.scheduling.state import Job, StepRun, Task, TaskStatus, Worker
from zinniatrestle.scheduling.tracker import Tracker


class Planner:
    """Decide rounds; the tracker carries the decisions out."""

    def __init__(self, context: SchedulerContext, tracker: Tracker):
        self.context = context
        self.tracker = tracker
        self.bounds: Bounds = context.deployment.bounds
        self.policy = context.policy or Policy()
        self.placement: PlacementPolicy = self.policy.placement or BestFit()
        self.order: OrderPolicy = self.policy.order or UsefulFirst(tracker.durations)
        self.preemptor = Preemptor(context, tracker, self.policy)
        self.advice: AdviceCache | None = None
        if context.adviser is not None:
            self.advice = AdviceCache(context.adviser, context.events, tracker.wake.set)
        self.starting: set[asyncio.Task] = set()

    def round(self, now: BootSeconds):
        """Place what can be placed, and make room for guaranteed work."""
        begun = time.perf_counter()
        tracker = self.tracker
        tracker.fleet.expire_leases(now)
        workers = list(tracker.fleet.workers.values())
        for worker in workers:
            tracker.health.start_canary_if_due(worker, now)
        self._add_due_occurrences()
        self._stop_stalled(now)
        forecast = Forecast(tracker.durations, now)
        self._leave_draining(workers, forecast)
        self._leave_crawling(workers, forecast)
        steps = self._waiting_steps(now)
        steps.sort(key=lambda step: self.order.key(step, now))
        reservations = BackfillReservations(forecast)
        self.preemptor.begin(forecast)
        placed: list[Task] = []
        for step in steps:
            placed.extend(self._decide(step, workers, reservations, now))
        if placed:
            self._start(placed)
        elif tracker.unsaved:
            self._start([])
        self.context.metrics.rounds.record(time.perf_counter() - begun)

    def _waiting_steps(self, now: BootSeconds) -> list[StepRun]:
        found = []
        for job in self.tracker.jobs.values():
            if job.ended:
                continue
            for step in job.steps.values():
                if step.done or not job.is_ready(step):
                    continue
                if step.ready_at is None:
                    step.ready_at = now
                if self._may_place(step):
                    found.append(step)
        return found

    def _may_place(self, step: StepRun) -> bool:
        """Tell whether a step has tasks to place; a gang needs all its members."""
        if not step.shape.gang:
            return any(
                task.status in (TaskStatus.WAITING, TaskStatus.RESERVED)
                for task in step.tasks
            )
        return all(
            task.status in (TaskStatus.WAITING, TaskStatus.RESERVED)
            for task in step.tasks
        )

    def constraints(self, step: StepRun, now: BootSeconds) -> PlacementConstraints:
        """Return where a step may run now."""
        operator = self.context.operator
        submission = step.job.submission
        queue: Queue | None = operator.queues.get(submission.queue)
        account = operator.accounts.get(submission.account)
        regions = queue.regions if queue else frozenset()
        if account and account.regions:
            regions = regions & account.regions if regions else account.regions
        durations = self.tracker.durations
        until = urgency(step, durations)
        spare = until.latest_on_time_start - now
        tickets = None
        if queue is not None and queue.advice is not None and self.advice is not None:
            tickets = self.advice.tickets(self._advice_key(step), now)
        return PlacementConstraints(
            service=queue.service if queue else submission.service,
            regions=regions,
            evacuated=operator.evacuated,
            tickets=tickets,
            now=now,
            time_critical=0 < spare < durations.task(submission.queue, step.shape),
            ignore_locality=spare < 0,
        )

    def _decide(
        self,
        step: StepRun,
        workers: list[Worker],
        reservations: BackfillReservations,
        now: BootSeconds,
    ) -> list[Task]:
        constraints = self.constraints(step, now)
        reserved = [task for task in step.tasks if task.status is TaskStatus.RESERVED]
        if reserved:
            return self._place(
                step, self.preemptor.take(step, reserved, constraints, now)
            )
        waiting = step.waiting()
        open_workers = reservations.eligible_workers(step, workers)
        assignment = self.placement.place(step, waiting, open_workers, constraints)
        if constraints.tickets:
            for task, worker in assignment.items():
                task.ticket = constraints.tickets[worker.id]
        placed = self._place(step, assignment)
        left = len(waiting) - len(placed)
        if not left:
            return placed
        if constraints.tickets is not None:
            self._ask_advice(step, workers, constraints)
        room = None
        if self.policy.reserves_workers:
            room = reservations.earliest_start(step, left, workers, constraints)
        if self.preemptor.preempt_for(step, workers, constraints, room, now):
            return placed
        self._tell_waiting(step, left, constraints, room, now)
        if room is not None:
            reservations.reserve(room)
        return placed

    def _tell_waiting(
        self,
        step: StepRun,
        left: int,
        constraints: PlacementConstraints,
        room: EarliestStart | None,
        now: BootSeconds,
    ):
        """Log why an urgent step waits; others are many and wait for room alone."""
        submission = step.job.submission
        if submission.priority != HIGHEST_PRIORITY:
            return
        self.context.events.write_deduplicated(
            Event.JOB_WAITS,
            f"no room for job {step.job.id}",
            job=step.job.id,
            tasks=left,
            gpus=step.shape.gpus,
            rack=step.shape.data_rack,
            rack_bound=step.shape.rack_bound,
            anywhere=constraints.ignore_locality,
            guaranteed=self.preemptor.is_guaranteed(step),
            room_in=round(room.at - now, 2) if room is not None else None,
            slack=round(
                urgency(step, self.tracker.durations).latest_on_time_start - now, 2
            ),
        )

    def _place(self, step: StepRun, assignment: Assignment) -> list[Task]:
        if not assignment:
            return []
        run = RunNumber(0)
        if step.shape.gang:
            run = RunNumber(max(task.run for task in step.tasks) + 1)
            step.aborted_members.clear()
        for task, worker in assignment.items():
            task.run = run or RunNumber(task.run + 1)
            task.worker = worker
            task.status = TaskStatus.PLACED
            task.ordering = True
            task.inherited = False
            task.resumed = bool(task.checkpoint)
            task.begin_run()
            task.pace = 100
            worker.add_task(task)
        job = step.job
        if job.state is JobState.PENDING:
            job.state = JobState.RUNNING
        return list(assignment)

    # Advice

    def _ask_advice(
        self, step: StepRun, workers: list[Worker], constraints: PlacementConstraints
    ):
        """Ask where a step may run that found no place with the tickets it has."""
        queue = self.context.operator.queues[step.job.submission.queue]
        open_terms = replace(constraints, tickets=None)
        found = candidates(step, workers, open_terms)
        found.sort(key=lambda worker: (-worker.slots(step), worker.id))
        names = [worker.id for worker in found if worker.id not in constraints.tickets]
        self.advice.ask(self._advice_key(step), queue.advice, names)

    def _advice_key(self, step: StepRun) -> str:
        return f"{step.job.id}.{step.key}"

    def forget(self, job: Job):
        """Drop what is kept for a job that has ended."""
        if self.advice is None:
            return
        for step in job.steps.values():
            self.advice.forget(self._advice_key(step))

    # Starting

    def _start(self, placed: list[Task]):
        runs = [(task, task.run) for task in placed]
        starting = asyncio.create_task(self._save_and_start(runs))
        self.starting.add(starting)
        starting.add_done_callback(self.starting.discard)

    async def _save_and_start(self, runs: list[tuple[Task, RunNumber]]):
        """Write the placements down, then order the starts."""
        tracker = self.tracker
        jobs: set[Job] = set(tracker.unsaved)
        tracker.unsaved.clear()
        jobs.update(task.step.job for task, _ in runs)
        try:
            await tracker.progress_writer.save(jobs)
        except LeaseLostError as error:
            self.context.events.write_deduplicated(Event.LEASE_LOST, error.detail)
            return
        # Orders to one worker go out together, the farthest workers first.
        runs.sort(key=lambda start: self._is_near(start[0]))
        for task, run in runs:
            if task.run != run or not task.occupies:
                continue
            session = tracker.sessions.get(task.worker)
            stopped = task.status is not TaskStatus.PLACED
            if session is None or stopped or task.step.job.ended:
                # Nothing was ordered yet, so nothing of this run exists.
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
            )
            session.start(task, run)

    def _is_near(self, task: Task) -> bool:
        own = self.context.deployment.identity.region
        return task.worker is not None and task.worker.region == own

    # What runs badly

    def _stop_stalled(self, now: BootSeconds):
        tracker = self.tracker
        for task in tracker.stalled_tasks():
            worker = task.worker
            if tracker.health.may_be_at_fault(worker, task):
                task.avoided.add(worker.id)
                tracker.quarantine(worker, f"task {task.id} stands still", now)
            tracker.stop(task, "no progress")
            tracker.stop_gang(task.step)

    def _leave_draining(self, workers: list[Worker], forecast: Forecast):
        """Stop what a leaving worker would cut off, so that it runs elsewhere."""
        now = forecast.now
        for worker in workers:
            for task in interrupted_tasks(worker, forecast):
                constraints = self.constraints(task.step, now)
                if should_move(task, workers, constraints, self.bounds, now):
                    self.tracker.stop(task, "its worker leaves before it can end")
                    self.tracker.stop_gang(task.step)

    def _leave_crawling(self, workers: list[Worker], forecast: Forecast):
        """Stop what is of more use if it starts anew on another worker."""
        for worker in workers:
            if not is_slow(worker, forecast.now):
                continue
            for task in list(worker.tasks.values()):
                if not should_restart(task, forecast):
                    continue
                constraints = self.constraints(task.step, forecast.now)
                if has_room(task.step, [task], workers, constraints):
                    self.tracker.stop(task, "its worker crawls")
                    self.tracker.stop_gang(task.step)

    # Time

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
                if job.open_tasks() + job.tasks_of_occurrence > MAX_TASKS:
                    # The row that keeps its progress could not hold more.
                    break
                job.add_occurrence(job.next_occurrence)
                job.next_occurrence += 1
