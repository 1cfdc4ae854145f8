"""Track runs through worker reports, answers to orders, and lost workers."""

import asyncio
from functools import partial

from zinniatrestle.clock import boot_time
from zinniatrestle.errors import LeaseLostError
from zinniatrestle.events import Event
from zinniatrestle.ids import BootSeconds, InstanceId, RunNumber, TaskId, WorkerId
from zinniatrestle.jobs.messages import job_of_task
from zinniatrestle.scheduling.cluster_state import ClusterState
from zinniatrestle.scheduling.fleet import FleetListener
from zinniatrestle.scheduling.leadership import LeadershipStatus
from zinniatrestle.scheduling.load import HOLD_WAIT_SECONDS
from zinniatrestle.scheduling.placement import is_remote
from zinniatrestle.scheduling.reliability import Evidence
from zinniatrestle.scheduling.restarts import EARLY_END_SECONDS, restart_delay
from zinniatrestle.scheduling.session import (
    MAX_CONCURRENT_ORDERS,
    SessionListener,
    WorkerSession,
)
from zinniatrestle.scheduling.state import (
    Job,
    LostRun,
    StepRun,
    Task,
    TaskStatus,
    Worker,
)
from zinniatrestle.workers.messages import (
    EndedRun,
    HoldAnswer,
    Refusal,
    RunningTask,
    RunOutcome,
    WorkerState,
)

# A worker may read its clock up to this time before it lists its runs.
START_SLACK_MS = 100


class Tracker(ClusterState, SessionListener, FleetListener):
    """Update jobs, tasks and workers from what workers report."""

    # Workers

    def joined(self, worker: Worker):
        """Open a session with a worker that joined."""
        self.inherited_health.claim(worker, boot_time())
        if self.fleet.has_read_all:
            # Workers that were there before this scheduler may have proven themselves.
            self.reliability.record(worker.id, Evidence.JOIN, boot_time())
        session = WorkerSession(
            worker,
            self.context.orders,
            self,
            self.context.deployment.bounds,
            self.context.leadership.generation,
            self.events,
        )
        self.sessions[worker] = session
        senders = [session.send_orders() for _ in range(MAX_CONCURRENT_ORDERS)]
        running = [asyncio.create_task(task) for task in (session.hold(), *senders)]
        for task in running:
            task.add_done_callback(partial(self.log_failure, "session", worker.id))
        self.session_tasks[worker] = running
        self.wake.set()

    def log_failure(self, name: str, worker: WorkerId | None, task: asyncio.Task):
        """Log the exception of a background task, if it has failed."""
        if task.cancelled() or task.exception() is None:
            return
        self.supervisor.log_failure(name, task.exception(), worker=worker)

    def drain_started(self, worker: Worker):
        """Start a round, since a worker is draining."""
        self.wake.set()

    def ended(self, worker: Worker, reason: str, replaced: bool):
        """Close the session of an ended instance and mark its runs as lost.

        If the instance was replaced, runs that no report contained stay assigned: their
        start order may have reached the new instance.
        """
        self.sessions.pop(worker, None)
        if replaced:
            self.reliability.record(worker.id, Evidence.RETURN, boot_time())
        if self.advice is not None:
            self.advice.drop_worker(worker.id)
        for running in self.session_tasks.pop(worker, ()):
            if running is not asyncio.current_task():
                running.cancel()
        self._mark_all_lost(worker, reason, reported_only=replaced)
        for task in list(worker.reserved_tasks.values()):
            self.release_reservation(task)
        self.wake.set()

    def runs_ended(self, worker: Worker, reason: str):
        """Mark the runs of an unreachable worker as lost, except unconfirmed ones.

        These wait for the lease: their start orders may be under way, and a new
        instance under the same id would carry them out. It refuses those of a
        predecessor once a hold has reached it.
        """
        for task in list(worker.tasks.values()):
            if task.has_run or task.inherited:
                self._mark_lost(worker, task, reason)
        self.wake.set()

    def lease_expired(self, worker: Worker):
        """Mark the runs of an unreachable worker as lost once its lease has expired."""
        self._mark_all_lost(worker, "lease expired while the worker was unreachable")
        self.wake.set()

    def _mark_all_lost(self, worker: Worker, reason: str, reported_only: bool = False):
        for task in list(worker.tasks.values()):
            if reported_only and not task.reported:
                # The session that sent the start order is closed.
                task.start_pending = False
                continue
            self._mark_lost(worker, task, reason, may_be_done=True)

    def mark_silent(self, worker: Worker, refused: bool):
        """Mark a worker as silent and start a round."""
        if not worker.silent:
            self.reliability.record(worker.id, Evidence.SILENCE, boot_time())
        self.fleet.mark_silent(worker, refused)
        for task in list(worker.tasks.values()):
            self._infer_unreachable_end(task.step)
        self.wake.set()

    def instance_replaced(self, worker: Worker, instance: InstanceId):
        """End an instance, and open a session with the one that answers."""
        self.fleet.replace(worker, instance)

    def worker_replaced(self, worker: Worker):
        """End an instance and its runs, since another worker answers at its address."""
        self.fleet.end(worker, "another worker answers at its address")

    def generation_superseded(self, worker: Worker):
        """Step down, since a worker has accepted a newer generation."""
        self.context.leadership.step_down(
            f"worker {worker.id} has accepted a newer generation"
        )

    def may_order(self) -> bool:
        """Return whether this host holds the lease and may send orders."""
        return self.context.leadership.status is LeadershipStatus.HOLDER

    def may_start(self, worker: Worker) -> bool:
        """Return whether tasks may start at a worker that was chosen earlier."""
        if worker.cordoned or worker.entry.state is not WorkerState.READY:
            return False
        return worker.entry.domain not in self.context.operator.evacuated

    def may_hold(self) -> bool:
        """Return whether leases of workers may be extended now."""
        return self.context.leadership.may_hold()

    def may_extend(self, worker: Worker) -> bool:
        """Return whether the leases at one worker may be extended."""
        return self.context.leadership.may_extend(worker.id)

    def hold_wait(self) -> float:
        """Return the long-poll wait of holds, which is longer in overload."""
        return self.load.hold_wait()

    # Reports

    def report(self, worker: Worker, answer: HoldAnswer, asked_at: BootSeconds):
        """Apply a report of a worker; the ends of runs are saved in the background."""
        if worker.has_ended:
            return
        self._record_answer(worker)
        changed = self._apply_ends(worker, answer)
        loads = self._apply_runs(worker, answer)
        self._handle_unreported_runs(worker, answer, asked_at)
        session = self.sessions.get(worker)
        if session is None:
            return
        session.forget_stops(asked_at)
        self._set_paces(session, loads, asked_at)
        worker.generation_confirmed = True
        # An end that can't be read is acknowledged too, or the worker would list it for
        # ever; its run is missing from the running ones.
        if answer.last_end > worker.save_requested_end:
            self._save_ends(worker, changed, answer.last_end)

    def _record_answer(self, worker: Worker):
        if worker.silent:
            worker.silent = worker.runs_ended = False
            self.reliability.record(worker.id, Evidence.RETURN, boot_time())
            self.events.write(Event.WORKER_SEEN, worker=worker.id, again=True)
        # The registry may list an instance with an earlier number than the one that a
        # predecessor assigned tasks to: its clock was set back.
        self.fleet.transfer_tasks(worker)
        worker.reported_at = boot_time()

    def _apply_ends(self, worker: Worker, answer: HoldAnswer) -> set[Job]:
        """Apply the ended runs, and return the jobs to save before they are dropped."""
        changed: set[Job] = set()
        for end in answer.ended:
            job = self._apply_end(worker, end)
            if job is not None:
                changed.add(job)
        return changed

    def _apply_runs(self, worker: Worker, answer: HoldAnswer) -> dict[Task, float]:
        """Apply the progress of the running tasks, and return the load of each."""
        answered_at = boot_time()
        loads: dict[Task, float] = {}
        worker.unknown_runs.clear()
        for running in answer.running:
            task = self._apply_running(worker, running, answered_at)
            if task is not None:
                loads[task] = running.load
        for step in {task.step for task in loads}:
            self.speeds.compare(step, answered_at)
        return loads

    def _set_paces(
        self, session: WorkerSession, loads: dict[Task, float], asked_at: BootSeconds
    ):
        worker = session.worker
        for task, percent in self.pacing.choose_paces(worker, loads, asked_at).items():
            self.events.write(
                Event.RUN_PACED,
                task=task.id,
                run=task.run,
                worker=worker.id,
                percent=percent,
            )
            task.pace = percent
            session.pace(task, task.run, percent)

    def _save_ends(self, worker: Worker, changed: set[Job], number: int):
        """Save what ends up to `number` have changed, then acknowledge these."""
        changed |= self.unsaved_jobs
        self.unsaved_jobs.clear()
        self.wake.set()
        worker.save_requested_end = number
        saved = self.progress_writer.request(changed)
        worker.save_task = asyncio.create_task(
            self._acknowledge_saved(worker, worker.save_task, saved, number)
        )
        self.save_tasks.add(worker.save_task)
        worker.save_task.add_done_callback(self.save_tasks.discard)
        worker.save_task.add_done_callback(partial(self.log_failure, "save", worker.id))

    async def _acknowledge_saved(
        self,
        worker: Worker,
        previous: asyncio.Task | None,
        saved: asyncio.Future,
        number: int,
    ):
        """Acknowledge ends once the jobs changed by them and earlier ones are saved."""
        if previous is not None:
            await asyncio.wait({previous})
        try:
            await saved
        except LeaseLostError as error:
            # Unacknowledged ends are reported again, to the successor.
            self.events.write_deduplicated(Event.LEASE_LOST, error.detail)
            return
        worker.acknowledged_end = max(worker.acknowledged_end, number)
        self.wake.set()

    def _apply_running(
        self, worker: Worker, running: RunningTask, answered_at: BootSeconds
    ) -> Task | None:
        """Apply a reported run and return its task; a run of no task is stopped."""
        task = self.find_task(running.task)
        session = self.sessions.get(worker)
        is_expected = (
            task is not None
            and task.run == running.run
            and task.worker is worker
            and task.is_allocated
        )
        if not is_expected:
            if task is not None:
                self._record_late_checkpoint(task, running.run, running.checkpoint)
            if session is not None:
                worker.unknown_runs.add(running.task)
                session.stop(running.task, running.run)
            return None
        if task.step.job.ended:
            self.stop(task, "job ended")
        elif task.completed:
            self.stop(task, "an earlier run is done")
        if task.status is TaskStatus.STOPPING and session is not None:
            session.stop(task.id, task.run)
        if task.status is TaskStatus.PLACED:
            self._confirm_run(task)
        task.reported = True
        task.record_progress(running.percent, answered_at)
        if running.checkpoint:
            self.record_checkpoint(task, running.checkpoint)
        return task

    def _handle_unreported_runs(
        self, worker: Worker, answer: HoldAnswer, asked_at: BootSeconds
    ):
        """Stop or mark as lost the runs that are missing from a report.

        Nothing follows from the absence of a run while ends are listed in parts: it may
        have ended as done.
        """
        if not answer.lists_all_ends:
            self.events.write_deduplicated(
                Event.ENDS_LISTED_IN_PART,
                f"worker {worker.id} has more ends than it lists at once",
                worker=worker.id,
                listed=len(answer.ended) + len(answer.unreadable_ends),
                last=answer.last_end,
                acknowledged=worker.acknowledged_end,
            )
            return
        session = self.sessions.get(worker)
        if session is None:
            return
        reported = {(end.task, end.run) for end in answer.ended}
        reported |= {(running.task, running.run) for running in answer.running}
        for task in list(worker.tasks.values()):
            if (task.id, task.run) in reported or task.start_pending:
                continue
            if task.confirmed_at >= asked_at:
                continue
            if task.inherited:
                # The worker has accepted this generation and refuses the predecessor's
                # orders, so the run can't start any more.
                self._mark_lost(worker, task, "never started by the predecessor")
                continue
            answered_at = session.stops.get((task.id, task.run))
            if answered_at is not None and answered_at < asked_at:
                self._mark_lost(worker, task, "not running after a stop")
                continue
            self._stop_unreported(session, task, answer.clock_ms)

    def _stop_unreported(self, session: WorkerSession, task: Task, clock_ms: int):
        """Stop a run that may still start, or mark it as lost if it can't any more."""
        worker = session.worker
        # After a restart the unanswered order was one to the former instance.
        if task.status is TaskStatus.PLACED and task.start_deadline_ms is not None:
            self._avoid_unresponsive(worker, task)
        if _start_has_expired(task, clock_ms):
            self._avoid_unresponsive(worker, task)
            self._mark_lost(worker, task, "its start order has expired")
            return
        if task.status is not TaskStatus.STOPPING:
            self.stop(task, "not reported by its worker")
            self.stop_gang(task.step)
            return
        session.stop(task.id, task.run)

    def _avoid_unresponsive(self, worker: Worker, task: Task):
        """Avoid a worker that answers holds and left a start without an answer."""
        if worker.id not in task.avoided_workers:
            self.reliability.record(worker.id, Evidence.UNANSWERED, boot_time())
        task.avoided_workers |= {worker.id}
        reason = f"the start of task {task.id} got no answer"
        self.quarantine(worker, reason, boot_time())

    def _mark_lost(
        self, worker: Worker, task: Task, reason: str, may_be_done: bool = False
    ):
        """Mark a run as lost; the end of one that may be done may yet be reported."""
        instance = task.placed_instance
        if not task.completed and (may_be_done or instance != worker.entry.instance):
            task.lost_run = LostRun(task.run, worker.id, instance, boot_time(), reason)
        self.metrics.lost_runs.add(1, {"reason": reason})
        known_at = task.reported_at if task.reported else None
        self.events.write(
            Event.RUN_LOST,
            task=task.id,
            run=task.run,
            worker=worker.id,
            reason=reason,
            lost=self.lost_core_seconds(task),
            percent=task.percent if task.reported else None,
            reported=round(boot_time() - known_at, 2) if known_at else None,
        )
        task.latest_end = f"lost: {reason}"
        self.record_loss(task, reason)
        self.unassign(task)
        self.stop_gang(task.step)
        self.wake.set()

    def _apply_end(self, worker: Worker, end: EndedRun) -> Job | None:
        """Apply the end of a run, and return the job to save before it is dropped."""
        task = self.find_task(end.task)
        if task is None:
            return self._unsaved_job_of(end.task)
        now = boot_time()
        job = task.step.job
        self._mark_started(job)
        is_current = task.run == end.run and task.worker is worker and task.is_allocated
        if not is_current:
            return self._apply_late_end(worker, task, end)
        self.metrics.ends.add(1, {"how": end.outcome.value})
        self.events.write(
            Event.RUN_ENDED,
            task=task.id,
            run=task.run,
            worker=worker.id,
            how=end.outcome.value,
            seconds=round(now - task.started_at, 2) if task.start_time_known else None,
            failures=len(task.failed_runs) or task.early_ends,
            lost=0.0
            if end.outcome is RunOutcome.DONE
            else self.lost_core_seconds(task),
        )
        task.latest_end = f"ended {end.outcome.value}"
        if end.checkpoint:
            at_stop = end.outcome is RunOutcome.STOPPED
            self.record_checkpoint(task, end.checkpoint, at_stop)
        if end.outcome in (RunOutcome.DONE, RunOutcome.FAILED):
            self._delay_restart(task, now)
        if end.outcome is RunOutcome.DONE:
            self._record_success(worker, task, now)
            return job
        self.record_loss(task, end.outcome.value)
        self.unassign(task)
        if end.outcome is RunOutcome.FAILED:
            self._record_failure(worker, task, now)
        if end.outcome is RunOutcome.MEMBER_ENDED or (
            end.outcome is RunOutcome.STOPPED and task in task.step.stopped_members
        ):
            task.step.aborted_members |= {task}
        self.stop_gang(task.step)
        self._infer_unreachable_end(task.step)
        return job

    def _apply_late_end(self, worker: Worker, task: Task, end: EndedRun) -> Job | None:
        """Apply the end of a run that was marked as lost, or of an earlier one."""
        step, job = task.step, task.step.job
        if task.lost_run is not None and task.lost_run.run == end.run:
            self._log_end_of_lost_run(worker, task, end)
            task.lost_run = None
        if end.outcome is RunOutcome.DONE and self._is_new_completion(task):
            self._restore_health(worker, boot_time())
            self.complete(step.tasks if step.shape.gang else [task])
            return job
        is_failure = end.outcome is RunOutcome.FAILED and not step.shape.long_running
        # The failure still counts as an attempt.
        if is_failure and end.run not in task.failed_runs:
            task.failed_runs |= {end.run}
            self.reliability.record_failure(worker.id, job.id, boot_time())
            self.fail_if_out_of_attempts(task)
            return job
        at_stop = end.outcome is RunOutcome.STOPPED
        if self._record_late_checkpoint(task, end.run, end.checkpoint, at_stop):
            return job
        return self._unsaved_job_of(end.task)

    def _record_late_checkpoint(
        self, task: Task, run: RunNumber, checkpoint: str, at_stop: bool = False
    ) -> bool:
        """Record a checkpoint of a run that was marked as lost, and return whether.

        Once a further run has been placed, its members start from the checkpoint that
        was known then.
        """
        if not checkpoint or task.run != run or task.is_allocated:
            return False
        if task.completed or task.step.job.ended or task.step.shape.long_running:
            return False
        self.record_checkpoint(task, checkpoint, at_stop)
        return True

    def _log_end_of_lost_run(self, worker: Worker, task: Task, end: EndedRun):
        self.metrics.late_ends.add(1, {"how": end.outcome.value})
        self.events.write(
            Event.RUN_ENDED,
            task=task.id,
            run=end.run,
            worker=worker.id,
            how=end.outcome.value,
            late=round(boot_time() - task.lost_run.lost_at, 2),
            latest_run=task.run,
        )

    def _unsaved_job_of(self, task: TaskId) -> Job | None:
        """Return the job of a task if changes of it are not stored yet, else None.

        The end of one gang member stands for all, so the ends of the others may be
        acknowledged only after it is stored.
        """
        job = self.jobs.get(job_of_task(task))
        if job is None:
            return None
        if job in self.unsaved_jobs or self.progress_writer.is_saving(job.id):
            return job
        return None

    def _infer_unreachable_end(self, step: StepRun):
        """Mark the last member of a gang as lost if all others were aborted by its end.

        All other members ended because a member had ended, or were stopped after such
        an end was known, so the remaining one must have ended first. Its worker does
        not answer, so the end can't be reported.
        """
        if not step.aborted_members or len(step.aborted_members) != len(step.tasks) - 1:
            return
        remaining = [member for member in step.tasks if member.is_allocated]
        if len(remaining) != 1:
            return
        (member,) = remaining
        if member.worker.silent and member.reported:
            self._mark_lost(member.worker, member, "its end aborted the gang")

    def _is_new_completion(self, task: Task) -> bool:
        """Return whether it is not known yet that a run of a task has ended as done."""
        if task.step.job.ended or task.step.shape.long_running:
            return False
        return not task.completed

    def _record_success(self, worker: Worker, task: Task, now: BootSeconds):
        step = task.step
        finished = step.tasks if step.shape.gang else [task]
        workers = [worker, *(member.worker for member in finished if member.worker)]
        for proven in dict.fromkeys(workers):
            self._restore_health(proven, now)
        if task.start_time_known and not task.resumed and not is_remote(step):
            self.durations.learn(task, now - task.started_at)
        if step.shape.long_running:
            self.unassign(task)
            # The next run starts from scratch, not from the end of this one.
            task.checkpoint = ""
            return
        for member in finished:
            member.completed = True
        for member in finished:
            self.unassign(member)

    def _restore_health(self, worker: Worker, now: BootSeconds):
        """Record a success of a worker, which ends its quarantine or canary run."""
        self.reliability.record_success(worker.id, now)
        if self.health.record_success(worker, now):
            self.events.write(Event.WORKER_RESTORED, worker=worker.id)

    def _delay_restart(self, task: Task, now: BootSeconds):
        """Choose when a long-running task restarts whose run has ended by itself."""
        if not task.step.shape.long_running:
            return
        if task.has_run and now - task.started_at >= EARLY_END_SECONDS:
            task.early_ends = 0
            return
        task.early_ends += 1
        seconds = restart_delay(task.early_ends, task.id, task.run)
        if not seconds:
            return
        task.restart_at = BootSeconds(now + seconds)
        self.metrics.restarts_delayed.add(1)
        self.events.write_deduplicated(
            Event.RESTART_DELAYED,
            f"tasks of job {task.step.job.id} keep ending early",
            job=task.step.job.id,
            task=task.id,
            run=task.run,
            worker=task.worker.id,
            early_ends=task.early_ends,
            seconds=round(seconds, 2),
        )

    def _record_failure(self, worker: Worker, task: Task, now: BootSeconds):
        if not task.step.shape.long_running:
            task.failed_runs |= {task.run}
        self.reliability.record_failure(worker.id, task.step.job.id, now)
        if self.health.record_failure(worker, task, now):
            self.quarantine(worker, f"task {task.id} failed", now)
        self.fail_if_out_of_attempts(task)

    # Orders

    def started(self, task: Task, run: RunNumber):
        """Record that a worker confirmed the start of a run."""
        if task.run != run or not task.is_allocated:
            return
        task.start_pending = False
        if task.status is not TaskStatus.PLACED:
            return
        task.start_time_known = True
        self._confirm_run(task)
        if not task.resumed:
            task.baseline_at = task.started_at

    def _confirm_run(self, task: Task):
        """Mark a run as running, and its job as started."""
        now = boot_time()
        task.status = TaskStatus.RUNNING
        task.status_at = now
        task.inherited = False
        task.started_at = task.percent_changed_at = task.confirmed_at = now
        self.metrics.starts.add(1)
        self._mark_started(task.step.job)

    def _mark_started(self, job: Job):
        """Record that a task of a job has started, which is stored soon."""
        if job.has_started:
            return
        job.has_started = job.start_unsaved = True
        self.metrics.waiting.record(max(0.0, boot_time() - job.due_at))

    def not_started(self, task: Task, run: RunNumber, refusal: Refusal):
        """Unassign a task whose run the worker certainly did not start."""
        if task.run != run or not task.is_allocated:
            return
        task.start_pending = False
        worker = task.worker
        self.metrics.start_failures.add(1, {"reason": refusal.value})
        self.events.write(
            Event.RUN_REFUSED,
            task=task.id,
            run=run,
            worker=worker.id,
            reason=refusal.value,
        )
        if refusal not in (Refusal.NOT_ORDERED, Refusal.BAD_TICKET):
            # By then runs that the worker is stopping have ended and are reported.
            seconds = self.context.deployment.bounds.stop + HOLD_WAIT_SECONDS
            until = BootSeconds(boot_time() + seconds)
            task.refused_until = {**task.refused_until, worker.id: until}
        if refusal is Refusal.UNHEALTHY:
            task.avoided_workers |= {worker.id}
            self.reliability.record(worker.id, Evidence.REFUSAL, boot_time())
            self.quarantine(worker, "it rejects starts as unhealthy", boot_time())
        if refusal is Refusal.BAD_TICKET and self.advice is not None:
            self.advice.drop_ticket(task.step.id, worker.id)
        if refusal in (Refusal.NOT_LISTENING, Refusal.NOT_REACHED):
            self.mark_silent(worker, refusal is Refusal.NOT_LISTENING)
        task.latest_end = f"refused: {refusal.value}"
        self.record_loss(task, task.latest_end)
        self.unassign(task)
        self.stop_gang(task.step)
        self.wake.set()

    def unanswered(self, task: Task, run: RunNumber):
        """Record that a start got no answer; the run may have started, or may yet."""
        if task.run != run or not task.is_allocated:
            return
        task.start_pending = False
        self.events.write(
            Event.RUN_UNANSWERED,
            task=task.id,
            run=run,
            worker=task.worker.id,
            order="start",
        )
        # The next report shows whether the run exists. If it doesn't, a stop makes sure
        # that a delayed start order is refused.
        self.wake.set()


def _start_has_expired(task: Task, clock_ms: int) -> bool:
    """Return whether a worker whose clock reads `clock_ms` would refuse the start."""
    if task.start_deadline_ms is None:
        return False
    return clock_ms > task.start_deadline_ms + START_SLACK_MS
