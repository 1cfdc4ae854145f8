"""The scheduler of one generation: loads stored state, follows feeds, runs rounds."""

import asyncio
from functools import partial

from zinniatrestle.clock import boot_time, monotonic, wait_for_event
from zinniatrestle.errors import (
    HistoryLostError,
    MalformedInputError,
    PlatformError,
    StoreUnavailableError,
)
from zinniatrestle.events import Event, RejectionLog
from zinniatrestle.ids import BootSeconds, JobId, RowVersion
from zinniatrestle.jobs.messages import (
    CANCELLATIONS,
    PROGRESS,
    SUBMISSIONS,
    JobProgress,
    JobState,
    Submission,
    decode_progress,
    decode_submission,
    row_name,
)
from zinniatrestle.jobs.withdrawals import begin_epoch
from zinniatrestle.rows import Change, Expect, StoredRow, Write
from zinniatrestle.rows.feed import Feed, TableReader
from zinniatrestle.scheduling.backlog import DeferredJob
from zinniatrestle.scheduling.context import SchedulerContext
from zinniatrestle.scheduling.health_records import export_health_records
from zinniatrestle.scheduling.leadership import LeadershipStatus
from zinniatrestle.scheduling.lease_expiries import LeaseExpiries
from zinniatrestle.scheduling.leaving_workers import (
    export_leaving_workers,
    restore_leaving_workers,
)
from zinniatrestle.scheduling.messages import Handover
from zinniatrestle.scheduling.pending_counts import PendingCounts
from zinniatrestle.scheduling.progress_writer import ProgressWriter
from zinniatrestle.scheduling.rounds import Planner
from zinniatrestle.scheduling.session import HOLD_SHARE
from zinniatrestle.scheduling.state import (
    UNASSIGNED,
    Job,
    StepRun,
    TaskStatus,
    occurrence_of,
)
from zinniatrestle.scheduling.tracker import Tracker
from zinniatrestle.scheduling.withdrawal_purge import WithdrawalPurge
from zinniatrestle.supervision import Supervisor
from zinniatrestle.workers.lease import MIN_CLOCK_RATE, TIMER_SLACK_SECONDS

# Long-poll time of the job feeds; each answer, even an empty one, confirms their data.
FEED_WAIT_SECONDS = 0.5
# Workers write their entries often, so changes are read in batches.
FLEET_BATCH_SECONDS = 0.35
# Some decisions depend on time alone (due occurrences, timeouts, ends of
# quarantines), so a round runs at least this often.
MAX_ROUND_INTERVAL_SECONDS = 0.2
# Changes that arrive within this time are handled in one round.
BATCH_SECONDS = 0.015
# Pause before a failed load is retried.
LOAD_RETRY_SECONDS = 0.2
# Decisions pause once the data on workers or the desired state is older than this
# share of the time allowed for draining or for evacuations.
MAX_STALENESS_SHARE = 0.5
MS_PER_SECOND = 1000.0


class SubmissionReader(TableReader):
    """Pass accepted jobs to the scheduler."""

    table = SUBMISSIONS

    def __init__(self, scheduler: "Scheduler"):
        self.scheduler = scheduler
        self.rejections = RejectionLog(scheduler.events, f"table {self.table}")

    def change(self, change: Change):
        """Add a job; deletions are made by the scheduler itself and ignored."""
        if change.value is None:
            self.rejections.accept(change.name)
            return
        submission = self.decode(change)
        if submission is not None:
            self.scheduler.add_job(submission, change.version)

    def decode(self, change: Change) -> Submission | None:
        """Return the submission in a row, or None if it is damaged, which is logged."""
        try:
            submission = decode_submission(change.value)
            if row_name(submission.job) != change.name:
                raise MalformedInputError("The submission is that of another job.")
        except MalformedInputError as error:
            self.rejections.reject(change.name, error.detail)
            return None
        self.rejections.accept(change.name)
        return submission


class CancellationReader(TableReader):
    """Pass cancellations to the scheduler."""

    table = CANCELLATIONS

    def __init__(self, scheduler: "Scheduler"):
        self.scheduler = scheduler

    def change(self, change: Change):
        """Apply a cancellation; the scheduler's own deletions are ignored."""
        if change.value is not None:
            self.scheduler.apply_cancellation(JobId(change.name), change.version)


class Scheduler:
    """Schedule under one generation, until cancelled."""

    def __init__(self, context: SchedulerContext):
        self.context = context
        self.events = context.events
        self.leadership = context.leadership
        self.supervisor = Supervisor(context.events)
        self.progress_writer = ProgressWriter(
            context.store,
            context.leadership,
            context.events,
            context.deployment.store,
        )
        self.tracker = Tracker(context, self.progress_writer)
        self.planner = Planner(context, self.tracker)
        self.lease_expiries = LeaseExpiries(context.store.clock)
        self.stored_progress: dict[JobId, tuple[JobProgress, RowVersion]] = {}
        # Cancellations of jobs whose submissions have not been read yet.
        self.early_cancellations: dict[JobId, RowVersion] = {}
        # Ended jobs ordered by time of end, to be purged after the retention time.
        self.ended_jobs: list[tuple[float, JobId, RowVersion]] = []
        # Ids of ended jobs: a reread table may still show the state before their end.
        self.ended_ids: set[JobId] = set()
        # Jobs of which a row was damaged when it was loaded. This scheduler leaves them
        # out, since their tasks may have run.
        self.damaged_jobs: set[JobId] = set()
        self.backlog = self.tracker.backlog
        self.progress_rejections = RejectionLog(self.events, f"table {PROGRESS}")
        store = context.store
        self.submission_reader = SubmissionReader(self)
        self.submissions = Feed(
            store,
            self.submission_reader,
            self.events,
            FEED_WAIT_SECONDS,
            BATCH_SECONDS,
        )
        self.cancellations = Feed(
            store,
            CancellationReader(self),
            self.events,
            FEED_WAIT_SECONDS,
            BATCH_SECONDS,
        )
        self.fleet = Feed(
            store, self.tracker.fleet, self.events, 0.0, FLEET_BATCH_SECONDS
        )

    async def run(self):
        """Load the stored state and schedule until cancelled.

        Raises LeaseLostError, and the error of a round that fails: its changes may be
        incomplete, so that the state has to be loaded again. Other parts go on.
        """
        keep_running = self.supervisor.keep_running
        try:
            await self._load()
            async with asyncio.TaskGroup() as group:
                group.create_task(self.progress_writer.run())
                group.create_task(self.submissions.follow())
                group.create_task(self.cancellations.follow())
                group.create_task(self.fleet.follow())
                group.create_task(self._run_rounds())
                group.create_task(self.tracker.load.measure())
                group.create_task(keep_running("purge", self._purge_ended_jobs))
                group.create_task(keep_running("backlog", self._resume_jobs))
                withdrawals = WithdrawalPurge(self.context)
                group.create_task(keep_running("withdrawals", withdrawals.run))
                for leader_task in self.context.leader_tasks:
                    run = partial(leader_task.run, self.tracker)
                    group.create_task(keep_running(leader_task.name, run))
                if self.tracker.advice is not None:
                    advice = self.tracker.advice
                    group.create_task(keep_running("advice", advice.run))
        finally:
            await self._close()

    async def _close(self):
        self.planner.wait_log.close()
        self.planner.headroom.close()
        running = [*self.planner.start_tasks, *self.tracker.save_tasks]
        for tasks in self.tracker.session_tasks.values():
            running.extend(tasks)
        for task in running:
            task.cancel()
        await asyncio.gather(*running, return_exceptions=True)

    async def _load(self):
        """Load jobs before workers, so that the runs that workers report are known."""
        while True:
            try:
                page = await self.context.store.all_rows(PROGRESS)
                for row in page.rows:
                    self._load_progress(row)
                await self.submissions.step()
                await self.cancellations.step()
                await self.fleet.step()
                break
            except StoreUnavailableError as error:
                self.events.write_deduplicated(
                    Event.DEPENDENCY_LOST, error.detail, dependency="load"
                )
                await asyncio.sleep(LOAD_RETRY_SECONDS)
            except HistoryLostError:
                for feed in (self.submissions, self.cancellations, self.fleet):
                    feed.version = None
        self.damaged_jobs.update(self.submission_reader.rejections.reasons)
        for job_id, (progress, version) in self.stored_progress.items():
            if job_id not in self.damaged_jobs and not self._is_known(job_id):
                self._record_ended(progress.changed_at, job_id, version)
        self.ended_jobs.sort()
        self._defer_excess()
        self.stored_progress.clear()
        self._restore_assignments()
        self._log_loaded()

    def _load_progress(self, row: StoredRow):
        job_id = JobId(row.name)
        try:
            progress = decode_progress(row.value)
        except MalformedInputError as error:
            self.damaged_jobs.add(job_id)
            self.progress_rejections.reject(row.name, error.detail)
            return
        self.damaged_jobs.discard(job_id)
        self.stored_progress[job_id] = (progress, row.version)

    # Jobs

    def add_job(self, submission: Submission, version: RowVersion):
        """Add a job unless it is known, or defer it if there is no room for it."""
        if self._is_known(submission.job) or submission.job in self.ended_ids:
            return
        if submission.job in self.damaged_jobs:
            return
        if not self._must_hold(submission.job) and not self.backlog.has_room(
            submission
        ):
            self._defer(submission)
            return
        self._hold(submission, version)

    def _is_known(self, job_id: JobId) -> bool:
        return job_id in self.tracker.jobs or job_id in self.backlog.deferred

    def _must_hold(self, job_id: JobId) -> bool:
        """Return whether tasks of a job may run, or it has to be ended."""
        if job_id in self.early_cancellations:
            return True
        stored = self.stored_progress.get(job_id)
        if stored is None:
            return False
        progress, _ = stored
        return progress.has_started or bool(progress.tasks) or progress.state.ended

    def _defer(self, submission: Submission):
        self.backlog.defer(submission)
        self.tracker.metrics.jobs_deferred.add(1)
        self.events.write_deduplicated(
            Event.JOB_DEFERRED,
            f"account {submission.account} has too much accepted work",
            job=submission.job,
            account=submission.account,
            deferred=len(self.backlog.deferred),
            bytes=self.backlog.budget.bytes,
        )

    def _hold(self, submission: Submission, version: RowVersion):
        """Hold a job in memory, to be scheduled."""
        job = Job(submission, version)
        store_now = self.context.store.clock.earliest(boot_time())
        waited = max(0.0, (store_now - submission.accepted_at) / MS_PER_SECOND)
        job.accepted_at = job.due_at = BootSeconds(boot_time() - waited)
        stored = self.stored_progress.get(submission.job)
        if stored is not None:
            self._restore(job, *stored)
        cancellation_version = self.early_cancellations.pop(submission.job, None)
        if cancellation_version is not None:
            job.state = JobState.CANCELLED
            job.version = max(job.version, cancellation_version)
            self.tracker.unsaved_jobs.add(job)
        never_runs = job.ended and (stored is None or not stored[0].tasks)
        if never_runs:
            job.steps.clear()
        self.backlog.hold(submission, has_tasks=not never_runs)
        if submission.timed:
            self.backlog.set_occurrences(submission, job.occurrence_count)
        self.tracker.jobs[job.id] = job
        self.planner.headroom.learn_arrival(job)
        self.tracker.wake.set()

    def _defer_excess(self):
        """Defer jobs that were loaded before others that had to be held."""
        budget = self.backlog.budget
        for job in list(self.tracker.jobs.values()):
            if budget.bytes <= budget.max_bytes:
                return
            if not job.ended and not self._must_hold(job.id):
                self.backlog.release(job.id)
                del self.tracker.jobs[job.id]
                self._defer(job.submission)

    async def _resume_jobs(self):
        """Hold deferred jobs as soon as there is room for them."""
        while True:
            deferred = self.backlog.next_job()
            if deferred is None:
                self.backlog.changed.clear()
                await self.backlog.changed.wait()
                continue
            name = row_name(deferred.job)
            try:
                submission = await self.context.store.row(SUBMISSIONS, name)
                progress = await self.context.store.row(PROGRESS, name)
            except StoreUnavailableError as error:
                self.events.write_deduplicated(
                    Event.DEPENDENCY_LOST, error.detail, dependency="deferred jobs"
                )
                await asyncio.sleep(LOAD_RETRY_SECONDS)
                continue
            self._resume(deferred, submission, progress)

    def _resume(
        self,
        deferred: DeferredJob,
        submission_row: StoredRow | None,
        progress_row: StoredRow | None,
    ):
        """Hold a deferred job that was read again."""
        job_id = deferred.job
        self.backlog.forget(job_id)
        if submission_row is None or progress_row is None:
            self.early_cancellations.pop(job_id, None)
            self.events.write(Event.JOB_RESUMED, job=job_id, found=False)
            return
        self._load_progress(progress_row)
        if job_id in self.damaged_jobs:
            return
        change = Change(
            submission_row.name, submission_row.version, submission_row.value
        )
        submission = self.submission_reader.decode(change)
        if submission is not None:
            self._hold(submission, submission_row.version)
            job = self.tracker.jobs[job_id]
            if job.ended:
                self.tracker.unsaved_jobs.add(job)
            self.events.write_deduplicated(
                Event.JOB_RESUMED,
                "there is room for deferred jobs",
                job=job_id,
                account=deferred.account,
                deferred=len(self.backlog.deferred),
            )
        self.stored_progress.pop(job_id, None)

    def _restore(self, job: Job, progress: JobProgress, version: RowVersion):
        job.version = version
        job.state = progress.state
        job.has_started = progress.has_started
        job.finished_steps = set(progress.finished)
        if job.submission.timed:
            started = {occurrence_of(key) for key in progress.tasks}
            started |= {occurrence_of(key) for key in progress.finished}
            job.finished_before = job.next_occurrence = progress.finished_before
            while job.next_occurrence <= max(started, default=-1):
                job.add_occurrence(job.next_occurrence)
                job.next_occurrence += 1
        for key in job.finished_steps:
            if key in job.steps:
                job.steps[key].finish()
        job.drop_finished_occurrences()
        for key, record in progress.tasks.items():
            task = self.tracker.find_task(f"{job.id}.{key}", job)
            if task is not None:
                task.restore(record)
                task.previous_assignment = (record.worker, record.instance)

    def _restore_assignments(self):
        """Assign the predecessor's tasks to the workers on which they may run."""
        self.tracker.fleet.inherited_lease_end = self._inherited_lease_end()
        handover = self.leadership.handover
        self.lease_expiries.restore(handover.lease_expiries)
        clock = self.context.store.clock
        restore_leaving_workers(self.tracker.fleet, handover.leaving, clock)
        for job in self.tracker.jobs.values():
            if job.ended:
                self.tracker.unsaved_jobs.add(job)
            for step in job.steps.values():
                self._restore_step(step)
                self._stop_broken_gang(step)

    def _log_loaded(self):
        """Log what the predecessor left: what is still assigned, and waited for."""
        fleet = self.tracker.fleet
        jobs = self.tracker.jobs.values()
        assigned = [task for job in jobs for task in job.allocated_tasks()]
        unregistered = [task for task in assigned if task.worker in fleet.unregistered]
        self.events.write(
            Event.STATE_LOADED,
            generation=self.leadership.generation,
            jobs=len(jobs),
            ended=sum(job.ended for job in jobs),
            workers=len(fleet.workers),
            assigned=len(assigned),
            assigned_done=sum(task.completed for task in assigned),
            unregistered=len(unregistered),
            recorded=len(self.lease_expiries.records),
            until=round(fleet.inherited_lease_end - boot_time(), 2),
        )

    def _inherited_lease_end(self) -> BootSeconds:
        """Return when leases that only the predecessor could extend have expired."""
        now = boot_time()
        store_now = self.context.store.clock.earliest(now)
        left = (self.leadership.predecessor_hold_until - store_now) / MS_PER_SECOND
        held = self.context.deployment.bounds.max_hold * HOLD_SHARE
        expires_at = now + left + held / MIN_CLOCK_RATE + TIMER_SLACK_SECONDS
        return BootSeconds(max(now, expires_at))

    def _restore_step(self, step: StepRun):
        for task in step.tasks:
            worker_id, instance = task.previous_assignment
            task.previous_assignment = UNASSIGNED
            if not worker_id:
                continue
            fleet = self.tracker.fleet
            worker = fleet.workers.get(worker_id)
            if worker is None or worker.entry.instance < instance:
                worker = fleet.get_or_add_unregistered(worker_id, instance)
            expires_at = self.lease_expiries.recorded_expiry(worker)
            if expires_at is None:
                expires_at = fleet.inherited_lease_end
            task.status = TaskStatus.PLACED
            task.status_at = boot_time()
            task.inherited = True
            task.worker = worker
            if step.shape.best_effort:
                task.pace = None
            worker.add_task(task)
            worker.lease.expires_at = max(worker.lease.expires_at, expires_at)

    def _stop_broken_gang(self, step: StepRun):
        """Stop the members of a gang of which the predecessor had lost others.

        The stop orders of the predecessor may not have reached them.
        """
        if any(task.status is TaskStatus.WAITING for task in step.tasks):
            self.tracker.stop_gang(step)

    def apply_cancellation(self, job_id: JobId, version: RowVersion):
        """Cancel a job and stop its tasks."""
        job = self.tracker.jobs.get(job_id)
        if job is None:
            self.early_cancellations[job_id] = version
            self.backlog.cancel(job_id)
            return
        if job.ended:
            return
        job.version = max(job.version, version)
        self._cancel(job)

    def _cancel(self, job: Job):
        self.tracker.end_job(job, JobState.CANCELLED, "cancelled by the caller")

    # Rounds

    async def _run_rounds(self):
        tracker = self.tracker
        while True:
            await wait_for_event(tracker.wake, MAX_ROUND_INTERVAL_SECONDS)
            tracker.wake.clear()
            await asyncio.sleep(max(BATCH_SECONDS, tracker.load.round_pause()))
            for job in self.progress_writer.ended:
                tracker.stop_job(job, f"job {job.state.value}")
                tracker.unsaved_jobs.add(job)
            self.progress_writer.ended.clear()
            self._end_oversized()
            self._drop_ended()
            self._publish_handover()
            reason = self._pause_reason()
            if reason:
                self.events.write_deduplicated(Event.DECISIONS_PAUSED, reason)
                continue
            began_at = monotonic()
            self.planner.run_round(boot_time())
            tracker.load.record_round(monotonic() - began_at)

    def _pause_reason(self) -> str:
        """Return why decisions have to pause, or an empty string."""
        if self.leadership.status is not LeadershipStatus.HOLDER:
            return "the lease was not renewed in time"
        if self.context.operator.desired is None:
            return "no desired state has been read"
        bounds = self.context.deployment.bounds
        now = boot_time()
        if now - self.fleet.confirmed_at > MAX_STALENESS_SHARE * bounds.drain:
            return "the worker registry was not confirmed in time"
        age = now - self.context.operator.confirmed_at
        if age > MAX_STALENESS_SHARE * bounds.evacuation:
            return "the desired state was not confirmed in time"
        return ""

    def _end_oversized(self):
        """Fail jobs whose state the store can't hold: no run may start unsaved."""
        for job in list(self.progress_writer.oversized.values()):
            if job.ended:
                continue
            self.tracker.metrics.rows_too_large.add(1)
            reason = "its progress does not fit into a row of the store"
            self.tracker.end_job(job, JobState.FAILED, reason)

    def _drop_ended(self):
        for job in list(self.tracker.jobs.values()):
            if job.submission_deleted and job.id not in self.progress_writer.dirty:
                self.tracker.drop_advice(job)
                del self.tracker.jobs[job.id]
                self.backlog.release(job.id)
                now = self.context.store.clock.earliest(boot_time())
                self._record_ended(now, job.id, job.version)

    def _record_ended(self, at: float, job: JobId, version: RowVersion):
        self.ended_jobs.append((at, job, version))
        self.ended_ids.add(job)

    def _publish_handover(self):
        """Publish the waiting jobs per queue, and the handover to a successor."""
        counts: dict = {}
        for job in self.tracker.waiting_jobs():
            queue = job.submission.queue
            counts[queue] = counts.get(queue, 0) + 1
        for deferred in self.backlog.deferred.values():
            if not deferred.is_timed and deferred.job not in self.backlog.cancelled:
                counts[deferred.queue] = counts.get(deferred.queue, 0) + 1
        # Jobs that the feed has not confirmed since then may be missing.
        counted_at = self.context.store.clock.earliest(self.submissions.confirmed_at)
        full_accounts = self.backlog.full_accounts()
        self.tracker.metrics.work_bytes = self.backlog.budget.bytes
        self.leadership.pending_counts.update(
            PendingCounts(counts, counted_at, full_accounts)
        )
        workers = self.tracker.fleet.workers.values()
        health_records = export_health_records(workers, boot_time())
        self.tracker.inherited_health.add_to(health_records, boot_time())
        self.leadership.handover = Handover(
            times=self.tracker.durations.export(),
            health_records=health_records,
            lease_expiries=self.lease_expiries.export(self.tracker.fleet),
            leaving=export_leaving_workers(workers, self.context.store.clock),
            reliability=self.tracker.reliability.export(boot_time()),
            **self.planner.headroom.export(),
        )
        for worker in workers:
            worker.expiry_recorded = not self.leadership.may_extend(worker.id)

    async def _purge_ended_jobs(self):
        """Delete the progress rows of jobs that ended over twice the retention ago."""
        retention_seconds = 2 * self.context.deployment.bounds.status_retention
        while True:
            await asyncio.sleep(retention_seconds / 10)
            purge_before = self.context.store.clock.earliest(boot_time())
            purge_before -= retention_seconds * MS_PER_SECOND
            if not self.ended_jobs or self.ended_jobs[0][0] >= purge_before:
                continue
            if not await self._begin_intake_epoch():
                continue
            while self.ended_jobs and self.ended_jobs[0][0] < purge_before:
                _, job_id, version = self.ended_jobs[0]
                name = row_name(job_id)
                expects = [
                    self.leadership.fence_expectation(),
                    Expect(PROGRESS, name, version),
                ]
                try:
                    await self.context.store.transact(
                        expects, [Write(PROGRESS, name, None)], FEED_WAIT_SECONDS
                    )
                except PlatformError as error:
                    # Retried at the next interval.
                    self.events.write_deduplicated(
                        Event.DEPENDENCY_LOST, error.detail, job=job_id
                    )
                    break
                self.ended_jobs.pop(0)
                self.ended_ids.discard(job_id)

    async def _begin_intake_epoch(self) -> bool:
        """Begin an epoch, so that no repeated acceptance is applied after a purge."""
        fence = self.leadership.fence_expectation()
        try:
            await begin_epoch(self.context.store, fence, FEED_WAIT_SECONDS)
        except PlatformError as error:
            self.events.write_deduplicated(
                Event.DEPENDENCY_LOST, error.detail, dependency="intake epoch"
            )
            return False
        return True
