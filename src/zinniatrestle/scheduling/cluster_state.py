"""Jobs, tasks and workers of the scheduler, and the operations that change them."""

import asyncio
from abc import ABC
from collections.abc import Iterable

from zinniatrestle.advice import AdviceCache
from zinniatrestle.clock import boot_time
from zinniatrestle.events import Event
from zinniatrestle.ids import BootSeconds, JobId, TaskId
from zinniatrestle.jobs.messages import JobState, split_task_id
from zinniatrestle.scheduling.backlog import Backlog
from zinniatrestle.scheduling.context import SchedulerContext
from zinniatrestle.scheduling.durations import Durations
from zinniatrestle.scheduling.fleet import Fleet, FleetListener
from zinniatrestle.scheduling.health import HealthMonitor
from zinniatrestle.scheduling.health_records import InheritedHealth
from zinniatrestle.scheduling.load import LoadMeter
from zinniatrestle.scheduling.pacing import PaceController
from zinniatrestle.scheduling.preemption_costs import work_lost
from zinniatrestle.scheduling.progress_writer import ProgressWriter
from zinniatrestle.scheduling.reliability import Evidence, Reliability
from zinniatrestle.scheduling.session import WorkerSession
from zinniatrestle.scheduling.speeds import SpeedEstimator
from zinniatrestle.scheduling.state import (
    FULL_PACE_PERCENT,
    MILLICORES_PER_CORE,
    Job,
    StepRun,
    Task,
    TaskStatus,
    Worker,
)
from zinniatrestle.supervision import Supervisor
from zinniatrestle.workers.messages import RunOutcome

# The reason for the stop of the other members once a gang has lost one.
MEMBER_LOST = "another gang member no longer runs"
# Causes that say only that another member was lost before, not why.
GANG_CAUSES = frozenset({MEMBER_LOST, RunOutcome.MEMBER_ENDED.value})


class ClusterState(FleetListener, ABC):
    """Hold the jobs and workers, and pass changes to the workers' sessions."""

    def __init__(self, context: SchedulerContext, progress_writer: ProgressWriter):
        self.context = context
        self.events = context.events
        self.supervisor = Supervisor(context.events)
        self.metrics = context.metrics
        self.progress_writer = progress_writer
        self.jobs: dict[JobId, Job] = {}
        self.fleet = Fleet(
            context.worker_rows,
            context.deployment,
            context.store.version_times,
            self,
            context.events,
        )
        self.sessions: dict[Worker, WorkerSession] = {}
        self.session_tasks: dict[Worker, list[asyncio.Task]] = {}
        handover = context.leadership.handover
        self.durations = Durations()
        self.durations.restore(handover.times)
        self.inherited_health = InheritedHealth(handover.health_records, boot_time())
        self.health = HealthMonitor()
        self.reliability = Reliability()
        self.reliability.restore(handover.reliability, boot_time())
        self.pacing = PaceController()
        self.speeds = SpeedEstimator()
        self.load = LoadMeter(
            context.deployment.bounds, context.events, context.metrics
        )
        self.wake = asyncio.Event()
        # None if there is no advice service.
        self.advice: AdviceCache | None = None
        if context.adviser is not None:
            self.advice = AdviceCache(context.adviser, context.events, self.wake.set)
        max_bytes = context.work.max_bytes(context.deployment.resources)
        self.backlog = Backlog(max_bytes)
        self.unsaved_jobs: set[Job] = set()
        self.save_tasks: set[asyncio.Task] = set()

    # Tasks

    def lost_core_seconds(self, task: Task) -> float:
        """Return the unsaved work of a run in core-seconds (see `work_lost`)."""
        interval = self.context.deployment.bounds.checkpoint_interval
        lost = work_lost(task, self.durations, interval, boot_time())
        return round(lost / MILLICORES_PER_CORE, 1)

    def record_loss(self, task: Task, cause: str):
        """Count the unsaved work of a run that is over without being done.

        A run that was stopped counts by the reason of that, and one whose gang has lost
        a member by the cause of that loss.
        """
        step = task.step
        if task.status is TaskStatus.STOPPING:
            # A member that is stopped because of others may be the one at fault.
            if task.stop_reason not in GANG_CAUSES or cause == RunOutcome.STOPPED.value:
                cause = task.stop_reason
        self._record_break(step, cause)
        if cause in GANG_CAUSES:
            cause = step.break_cause or cause
        self.metrics.work_lost.add(self.lost_core_seconds(task), {"cause": cause})

    def _record_break(self, step: StepRun, cause: str):
        """Record why a gang is over; the first cause but the loss of a member counts.

        A member may report that its gang has ended before the one that ended first.
        """
        if len(step.tasks) == 1 or not step.shape.gang:
            return
        if step.completed or step.job.ended:
            return
        if not step.break_cause or step.break_cause in GANG_CAUSES:
            step.break_cause = cause

    def _count_broken_gang(self, step: StepRun):
        """Count a gang that is over without being done, once no member is assigned."""
        if not step.break_cause or any(member.is_allocated for member in step.tasks):
            return
        if not step.completed:
            self.metrics.gangs_broken.add(1, {"cause": step.break_cause})
        step.break_cause = ""

    def stop(self, task: Task, reason: str):
        """Stop a run, unless it is being stopped already."""
        if not task.is_allocated or task.status is TaskStatus.STOPPING:
            return
        task.status = TaskStatus.STOPPING
        task.stop_reason = reason
        task.status_at = boot_time()
        self._record_break(task.step, reason)
        # The order of a predecessor may have stopped a run that it has started.
        if task.step.aborted_members and task.start_time_known:
            task.step.stopped_members |= {task}
        self.events.write(
            Event.RUN_STOPPED,
            task=task.id,
            run=task.run,
            worker=task.worker.id,
            reason=reason,
            lost=self.lost_core_seconds(task),
        )
        session = self.sessions.get(task.worker)
        if session is not None:
            session.stop(task.id, task.run)

    def stop_gang(self, step: StepRun):
        """Stop the remaining members of a gang that has lost a member."""
        if not step.shape.gang:
            return
        for member in step.tasks:
            if member.status is TaskStatus.RESERVED:
                self.release_reservation(member)
            self.stop(member, MEMBER_LOST)

    def unassign(self, task: Task):
        """Remove a task from its worker, where it is known not to run."""
        if task.worker is not None:
            task.worker.remove_task(task)
        task.worker = None
        task.status_at = boot_time()
        if task.has_run:
            task.free_since = task.status_at
        task.start_pending = False
        task.inherited = False
        task.pace = FULL_PACE_PERCENT
        task.status = TaskStatus.DONE if task.completed else TaskStatus.WAITING
        self.unsaved_jobs.add(task.step.job)
        self._count_broken_gang(task.step)
        if task.completed:
            self._finish_if_done(task.step)

    def complete(self, tasks: list[Task]):
        """Record that a task of a step, or all members of a gang, have ended as done.

        Later runs of them are stopped first, since their workers' capacity is in use.
        """
        for task in tasks:
            task.completed = True
        for task in tasks:
            self.release_reservation(task)
            if task.is_allocated:
                self.stop(task, "an earlier run is done")
            else:
                self.unassign(task)
        self._end_if_completed(tasks[0].step.job)

    def _finish_if_done(self, step: StepRun):
        if any(task.status is not TaskStatus.DONE for task in step.tasks):
            return
        step.finish()
        self.speeds.forget(step)
        job = step.job
        job.finished_steps.add(step.key)
        job.drop_finished_occurrences()
        self.backlog.set_occurrences(job.submission, job.occurrence_count)
        self._end_if_completed(job)

    def _end_if_completed(self, job: Job):
        """End a job of which all tasks have completed, whatever is still stopping."""
        if job.has_completed() and not job.ended:
            self.end_job(job, JobState.COMPLETED, "all tasks done")

    def release_reservation(self, task: Task):
        """Release the reservation of a task, if it has one, or those of its gang."""
        if task.status is not TaskStatus.RESERVED:
            return
        released = task.step.tasks if task.step.shape.gang else [task]
        for member in released:
            if member.status is not TaskStatus.RESERVED:
                continue
            member.worker.release_reservation(member)
            member.worker = None
            member.status = TaskStatus.WAITING

    def record_checkpoint(self, task: Task, checkpoint: str, at_stop: bool = False):
        """Record a checkpoint of the latest run of a task, or of its whole gang.

        `at_stop` means that the run was stopped, which saves a checkpoint.
        """
        step = task.step
        if checkpoint == task.checkpoint:
            return
        if not step.shape.gang:
            task.checkpoint = checkpoint
            step.job.checkpoints_changed = True
            return
        is_newest = at_stop and not step.has_stop_checkpoint
        if checkpoint in step.replaced_checkpoints and not is_newest:
            # Members report at different times, so this one is older.
            return
        if step.has_stop_checkpoint and not at_stop:
            # A gang makes no progress after the stop of a member.
            return
        step.has_stop_checkpoint = at_stop
        if task.checkpoint:
            step.replace_checkpoint(task.checkpoint)
        step.job.checkpoints_changed = True
        # A checkpoint reported by any member covers the whole gang.
        for member in step.tasks:
            member.checkpoint = checkpoint

    # Jobs

    def find_task(self, task: TaskId, job: Job | None = None) -> Task | None:
        """Return a task by its id, or None; pass `job` if it is not registered yet."""
        parts = split_task_id(task)
        if parts is None:
            return None
        job_id, step_key, index = parts
        job = job or self.jobs.get(job_id)
        if job is None:
            return None
        step = job.steps.get(step_key)
        if step is None or index >= len(step.tasks):
            return None
        return step.tasks[index]

    def end_job(self, job: Job, state: JobState, reason: str):
        """Set the final state of a job and stop its tasks."""
        job.state = state
        self.unsaved_jobs.add(job)
        seconds = boot_time() - job.due_at
        self.metrics.ended.add(1, {"state": state.value})
        self.metrics.completion.record(max(0.0, seconds))
        self.events.write(
            Event.JOB_ENDED,
            job=job.id,
            queue=job.submission.queue,
            state=state.value,
            reason=reason,
            seconds=round(seconds, 2),
        )
        self.stop_job(job, f"job {state.value}")
        self.wake.set()

    def stop_job(self, job: Job, reason: str):
        """Stop all tasks of a job and release its reservations."""
        for step in job.steps.values():
            for task in step.tasks:
                self.release_reservation(task)
                self.stop(task, reason)

    def drop_advice(self, job: Job):
        """Drop the cached advice for a job that has ended."""
        if self.advice is None:
            return
        for step in job.steps.values():
            self.advice.forget(step.id)

    def waiting_jobs(self) -> Iterable[Job]:
        """Return the untimed jobs of which no task has started."""
        for job in self.jobs.values():
            if not job.has_started and not job.ended and not job.submission.timed:
                yield job

    def fail_if_out_of_attempts(self, task: Task):
        """Fail the job of a task that has used up its attempts."""
        step, job = task.step, task.step.job
        if task.completed or step.shape.long_running or job.ended:
            return
        failures = step.failure_count(task)
        if failures < job.submission.attempts:
            return
        self.end_job(job, JobState.FAILED, f"task {task.id} failed {failures} times")

    # Workers

    def quarantine(self, worker: Worker, reason: str, now: BootSeconds):
        """Quarantine a worker, unless too many workers are or the policy forbids it."""
        if self.context.policy and not self.context.policy.quarantines:
            return
        workers = list(self.fleet.workers.values())
        if self.health.quarantine(worker, workers, now):
            self.metrics.quarantines.add(1)
            self.events.write(
                Event.WORKER_QUARANTINED,
                worker=worker.id,
                reason=reason,
                seconds=round(worker.quarantined_until - now, 1),
                evidence=self.reliability.evidence(worker.id, now),
            )

    def suspect_stall(self, worker: Worker, task: Task, now: BootSeconds):
        """Avoid and quarantine a worker that may be why a run makes no progress."""
        task.avoided_workers |= {worker.id}
        suspects = {worker.id}
        if task.step.shape.gang:
            # A member that is ahead of another one waits for it.
            for member in task.step.tasks:
                if member.worker is not None and member.percent <= task.percent:
                    suspects.add(member.worker.id)
        self.reliability.record(worker.id, Evidence.STALL, now, 1 / len(suspects))
        self.quarantine(worker, f"task {task.id} makes no progress", now)

    def risk(self, task: Task) -> float:
        """Return the probability that the run of a task does not end well."""
        step, worker = task.step, task.worker
        seconds = self.durations.expected_seconds(step.job.submission.queue, step.shape)
        risk = self.reliability.risk(
            worker.id, seconds, boot_time(), worker.drain_deadline
        )
        return round(risk, 3)

    def _stalled(self, task: Task) -> bool:
        queue = task.step.job.submission.queue
        expected = self.durations.expected_seconds(queue, task.step.shape)
        return self.health.is_stalled(task, expected)

    def stalled_tasks(self) -> list[Task]:
        """Return the tasks whose runs have stopped making progress."""
        stalled = []
        for worker in self.fleet.workers.values():
            for task in worker.tasks.values():
                if task.status is not TaskStatus.RUNNING:
                    continue
                if self._stalled(task):
                    stalled.append(task)
        return stalled
