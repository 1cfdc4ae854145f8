"""Follow what becomes of runs: reports of workers, answers to orders, lost workers."""

import asyncio

from zinniatrestle.clock import boot_time
from zinniatrestle.errors import LeaseLostError
from zinniatrestle.events import Event
from zinniatrestle.ids import BootSeconds, RunNumber
from zinniatrestle.jobs.messages import JobState
from zinniatrestle.scheduling.cluster_state import ClusterState
from zinniatrestle.scheduling.fleet import FleetListener
from zinniatrestle.scheduling.health_records import restore_health
from zinniatrestle.scheduling.leadership import LeadershipStatus
from zinniatrestle.scheduling.placement import is_remote
from zinniatrestle.scheduling.session import (
    MAX_CONCURRENT_ORDERS,
    SessionListener,
    WorkerSession,
)
from zinniatrestle.scheduling.state import (
    Job,
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
)


class Tracker(ClusterState, SessionListener, FleetListener):
    """Keep jobs, tasks and workers in step with what workers say."""

    # Workers

    def joined(self, worker: Worker):
        """Begin to hold a worker."""
        record = self.health_records.pop(worker.id, None)
        if record is not None:
            restore_health(worker, record, boot_time())
        session = WorkerSession(
            worker,
            self.context.orders,
            self,
            self.context.deployment.bounds,
            self.context.leadership.generation,
            self.events,
        )
        self.sessions[worker] = session
        lanes = [session.send_orders() for _ in range(MAX_CONCURRENT_ORDERS)]
        running = [asyncio.create_task(task) for task in (session.hold(), *lanes)]
        for task in running:
            task.add_done_callback(self._explain)
        self.session_tasks[worker] = running
        self.wake.set()

    def _explain(self, task: asyncio.Task):
        """Log why a session's task failed."""
        if task.cancelled() or task.exception() is None:
            return
        error = task.exception()
        self.events.write(
            Event.TASK_FAILED,
            task="session",
            reason=f"{type(error).__name__}: {error}",
        )

    def drained(self, worker: Worker):
        """Plan anew, since a worker is leaving."""
        self.wake.set()

    def ended(self, worker: Worker, reason: str, replaced: bool):
        """Give up what ran on a life that is over, but what a new one may run."""
        self.sessions.pop(worker, None)
        for running in self.session_tasks.pop(worker, ()):
            if running is not asyncio.current_task():
                running.cancel()
        self._lose_all(worker, reason, listed_only=replaced)
        for task in list(worker.reserved.values()):
            self.release_reservation(task)
        self.wake.set()

    def lease_expired(self, worker: Worker):
        """Give up what ran on a worker out of reach."""
        self._lose_all(worker, "lease expired out of reach")
        self.wake.set()

    def _lose_all(self, worker: Worker, reason: str, listed_only: bool = False):
        for task in list(worker.tasks.values()):
            if listed_only and not task.listed:
                # The session that ordered it is gone.
                task.ordering = False
                continue
            self.events.write(
                Event.RUN_LOST,
                task=task.id,
                run=task.run,
                worker=worker.id,
                reason=reason,
                lost=self.lost_core_seconds(task),
            )
            self.unassign(task)
            self.stop_gang(task.step)

    def mark_silent(self, worker: Worker, refused: bool):
        """Note that a worker does not answer."""
        self.fleet.mark_silent(worker, refused)
        for task in list(worker.tasks.values()):
            self._find_end_out_of_reach(task.step)
        self.wake.set()

    def instance_replaced(self, worker: Worker):
        """End a life that the worker itself denies."""
        self.fleet.end(worker, "another life answers", replaced=True)

    def generation_superseded(self, worker: Worker):
        """Stop scheduling, since a worker follows a newer generation number."""
        self.context.leadership.step_down(
            f"worker {worker.id} follows another scheduler"
        )

    def may_order(self) -> bool:
        """Tell whether orders may be given now."""
        return self.context.leadership.status is LeadershipStatus.HOLDER

    def may_hold(self) -> bool:
        """Tell whether workers may be held now."""
        return self.context.leadership.may_hold()

    # Reports

    def report(self, worker: Worker, answer: HoldAnswer, asked_at: BootSeconds):
        """Take over what runs and what ended; the ends are kept in the background."""
        if worker.has_ended:
            return
        if worker.silent:
            worker.silent = False
            self.events.write(Event.WORKER_SEEN, worker=worker.id, again=True)
        changed: set[Job] = set()
        listed = set()
        for end in answer.ended:
            listed.add((end.task, end.run))
            job = self._take_end(worker, end)
            if job is not None:
                changed.add(job)
        figures: dict[Task, float] = {}
        answered_at = boot_time()
        for running in answer.running:
            listed.add((running.task, running.run))
            task = self._take_running(worker, running, answered_at)
            if task is not None:
                figures[task] = running.load
        for step in {task.step for task in figures}:
            self.speeds.compare(step, answered_at)
        self._find_absent(worker, listed, asked_at)
        session = self.sessions.get(worker)
        if session is None:
            return
        for key, answered_at in list(session.stops.items()):
            if answered_at is not None and answered_at < asked_at:
                del session.stops[key]
                worker.unknown_runs.discard(key[0])
        for task, percent in self.pacing.paces(worker, figures, asked_at).items():
            self.events.write(
                Event.RUN_PACED,
                task=task.id,
                run=task.run,
                worker=worker.id,
                percent=percent,
            )
            task.pace = percent
            session.pace(task, task.run, percent)
        worker.generation_confirmed = True
        if answer.ended and answer.ended[-1].number > worker.saving_up_to:
            changed |= self.unsaved
            self.unsaved.clear()
            self.wake.set()
            worker.saving_up_to = answer.ended[-1].number
            worker.saving = asyncio.create_task(
                self._keep(worker, worker.saving, changed, worker.saving_up_to)
            )
            self.saving.add(worker.saving)
            worker.saving.add_done_callback(self.saving.discard)

    async def _keep(
        self,
        worker: Worker,
        earlier: asyncio.Task | None,
        changed: set[Job],
        number: int,
    ):
        """Keep what ends have changed, then let the worker forget them."""
        if earlier is not None:
            await asyncio.wait({earlier})
        try:
            await self.progress_writer.save(changed)
        except LeaseLostError as error:
            # The successor reads the ends from the worker.
            self.events.write_deduplicated(Event.LEASE_LOST, error.detail)
            return
        worker.acknowledged_end = max(worker.acknowledged_end, number)
        self.wake.set()

    def _take_running(
        self, worker: Worker, running: RunningTask, answered_at: BootSeconds
    ) -> Task | None:
        task = self.find(running.task)
        session = self.sessions.get(worker)
        ours = (
            task is not None
            and task.run == running.run
            and task.worker is worker
            and task.occupies
        )
        if not ours:
            if session is not None:
                worker.unknown_runs.add(running.task)
                session.stop(running.task, running.run)
            return None
        if task.step.job.ended and task.status is not TaskStatus.STOPPING:
            self.stop(task, "job ended")
        if task.status is TaskStatus.STOPPING and session is not None:
            session.stop(task.id, task.run)
        if task.status is TaskStatus.PLACED:
            self._confirm(task)
        task.listed = True
        task.note_progress(running.percent, answered_at)
        if running.checkpoint:
            self.record_checkpoint(task, running.checkpoint)
        return task

    def _find_absent(self, worker: Worker, listed: set, asked_at: BootSeconds):
        """Find runs that the worker neither runs nor lists as ended."""
        session = self.sessions.get(worker)
        if session is None:
            return
        for task in list(worker.tasks.values()):
            if (task.id, task.run) in listed or task.ordering:
                continue
            if task.confirmed_at >= asked_at:
                continue
            if task.inherited:
                # The worker refuses the predecessor's orders from now on.
                self._lose(worker, task, "never started by the predecessor")
                continue
            answered_at = session.stops.get((task.id, task.run))
            if answered_at is not None and answered_at < asked_at:
                self._lose(worker, task, "not there after a stop")
                continue
            if task.status is not TaskStatus.STOPPING:
                self.stop(task, "not listed by its worker")
                self.stop_gang(task.step)
                continue
            session.stop(task.id, task.run)

    def _lose(self, worker: Worker, task: Task, reason: str):
        self.events.write(
            Event.RUN_LOST,
            task=task.id,
            run=task.run,
            worker=worker.id,
            reason=reason,
            lost=self.lost_core_seconds(task),
        )
        self.unassign(task)
        self.stop_gang(task.step)
        self.wake.set()

    def _take_end(self, worker: Worker, end: EndedRun) -> Job | None:
        task = self.find(end.task)
        if task is None:
            return None
        now = boot_time()
        job = task.step.job
        current = task.run == end.run and task.worker is worker and task.occupies
        if not current:
            if end.outcome is RunOutcome.DONE and self._was_given_up(task, end):
                task.start_known = False
                self._done(worker, task, now)
                return job
            # A run that was given up counts if it turns out to have failed.
            if end.outcome is RunOutcome.FAILED and end.run not in task.failed_runs:
                task.failed_runs.add(end.run)
                self.fail_if_out_of_attempts(task)
                return job
            return None
        self.metrics.ends.add(1, {"how": end.outcome.value})
        self.events.write(
            Event.RUN_ENDED,
            task=task.id,
            run=task.run,
            worker=worker.id,
            how=end.outcome.value,
            seconds=round(now - task.started_at, 2) if task.start_known else None,
            failures=len(task.failed_runs),
            lost=0.0
            if end.outcome is RunOutcome.DONE
            else self.lost_core_seconds(task),
        )
        if end.checkpoint:
            self.record_checkpoint(task, end.checkpoint)
        if end.outcome is RunOutcome.DONE:
            self._done(worker, task, now)
            return job
        self.unassign(task)
        if end.outcome is RunOutcome.FAILED:
            self._failed(worker, task, now)
        if end.outcome is RunOutcome.MEMBER_ENDED:
            task.step.aborted_members.add(task)
        self.stop_gang(task.step)
        self._find_end_out_of_reach(task.step)
        return job

    def _find_end_out_of_reach(self, step: StepRun):
        """Give up the one member that must have ended, since all others were broken.

        Its worker does not answer, so its end can't be heard of.
        """
        if not step.aborted_members or len(step.aborted_members) != len(step.tasks) - 1:
            return
        left = [member for member in step.tasks if member.occupies]
        if len(left) != 1:
            return
        (member,) = left
        if member.worker.silent and member.listed:
            self._lose(member.worker, member, "its gang was broken by its end")

    def _was_given_up(self, task: Task, end: EndedRun) -> bool:
        """Tell whether an end is that of a task's latest run, given up before."""
        if task.step.job.ended or task.step.shape.long_running:
            return False
        members = task.step.tasks if task.step.shape.gang else [task]
        return all(
            member.status is TaskStatus.WAITING and member.run == end.run
            for member in members
        )

    def _done(self, worker: Worker, task: Task, now: BootSeconds):
        if self.health.record_success(worker, now):
            self.events.write(Event.WORKER_RESTORED, worker=worker.id)
        step = task.step
        if task.start_known and not task.resumed and not is_remote(step):
            self.durations.learn(task, now - task.started_at)
        if step.shape.long_running:
            self.unassign(task)
            # The next run begins anew, not where this one ended.
            task.checkpoint = ""
            return
        finished = step.tasks if step.shape.gang else [task]
        for member in finished:
            self.unassign(member)
            member.status = TaskStatus.DONE
        if any(member.status is not TaskStatus.DONE for member in step.tasks):
            return
        step.finish()
        self.speeds.forget(step)
        job = step.job
        job.finished.add(step.key)
        job.drop_finished_occurrences()
        if job.all_done() and not job.ended:
            self.end_job(job, JobState.COMPLETED, "all tasks done")

    def _failed(self, worker: Worker, task: Task, now: BootSeconds):
        task.failed_runs.add(task.run)
        if self.health.record_failure(worker, task, now):
            self.quarantine(worker, f"task {task.id} failed", now)
        self.fail_if_out_of_attempts(task)

    # Orders

    def started(self, task: Task, run: RunNumber):
        """Note that a worker confirmed a run."""
        if task.run != run or not task.occupies:
            return
        task.ordering = False
        if task.status is not TaskStatus.PLACED:
            return
        task.start_known = True
        self._confirm(task)
        if not task.resumed:
            task.base_at = task.started_at

    def _confirm(self, task: Task):
        """Note that a run is there."""
        now = boot_time()
        task.status = TaskStatus.RUNNING
        task.inherited = False
        task.started_at = task.percent_at = task.confirmed_at = now
        self.metrics.starts.add(1)
        job = task.step.job
        if not job.began:
            job.began = True
            self.metrics.waiting.record(max(0.0, now - job.due_at))

    def not_started(self, task: Task, run: RunNumber, refusal: Refusal):
        """Note that a worker surely did not start a run."""
        if task.run != run or not task.occupies:
            return
        task.ordering = False
        worker = task.worker
        self.metrics.start_failures.add(1, {"reason": refusal.value})
        self.events.write(
            Event.RUN_REFUSED,
            task=task.id,
            run=run,
            worker=worker.id,
            reason=refusal.value,
        )
        if refusal is Refusal.UNHEALTHY:
            task.avoided.add(worker.id)
            self.quarantine(worker, "it sheds starts", boot_time())
        if refusal in (Refusal.NOT_LISTENING, Refusal.NOT_REACHED):
            self.mark_silent(worker, refusal is Refusal.NOT_LISTENING)
        self.unassign(task)
        self.stop_gang(task.step)
        self.wake.set()

    def unanswered(self, task: Task, run: RunNumber):
        """Close a run that may have started, or may yet."""
        if task.run != run or not task.occupies:
            return
        task.ordering = False
        self.events.write(
            Event.RUN_UNANSWERED, task=task.id, run=run, worker=task.worker.id
        )
        # The next report tells whether it runs; if not, it is stopped for good.
        self.wake.set()
