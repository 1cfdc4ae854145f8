"""Reconcile job rows with what workers report, and stop gangs that must end."""

import asyncio
from enum import Enum

from zinniatrestle.clock import Clock
from zinniatrestle.configuration import ConfigurationFollower
from zinniatrestle.configuration.messages import (
    DomainState,
    Semantics,
)
from zinniatrestle.errors import ResultCode
from zinniatrestle.gangs.fleet import Fleet
from zinniatrestle.gangs.job_store import SchedulerJobStore
from zinniatrestle.gangs.messages import NO_ATTEMPT, JobState
from zinniatrestle.gangs.state import Gang, GangTable
from zinniatrestle.ids import Epoch, WorkerId
from zinniatrestle.logs import ComponentLog
from zinniatrestle.store.messages import LeaseState

MAX_FAILED_ATTEMPTS = 5

log = ComponentLog("gangs")


class GangOutcome(Enum):
    """State of a running gang, derived from its leases at the workers."""

    STILL_RUNNING = "goes on"
    FINISHED = "finished"
    FAILED = "failed"
    LOST = "lost"


class GangReconciler:
    """Record the outcome of gangs and stop those that may not run on."""

    def __init__(
        self,
        job_store: SchedulerJobStore,
        gang_table: GangTable,
        fleet: Fleet,
        follower: ConfigurationFollower,
        clock: Clock,
    ):
        self.job_store = job_store
        self.gang_table = gang_table
        self.fleet = fleet
        self.follower = follower
        self.clock = clock
        self.jobs_done = 0
        self.service_done = 0.0
        self.completion_total = 0.0

    async def reconcile(self, epoch: Epoch):
        """Record the outcome of each gang that ended, and stop those that must end."""
        await self._end_retired(epoch)
        await self._suspend_if_domain_out(epoch)
        changed = []
        for gang in self.gang_table.holding():
            if gang.row.state is not JobState.RUNNING:
                continue
            outcome = self.outcome(gang)
            if outcome is GangOutcome.STILL_RUNNING:
                if self._record_checkpoint(gang):
                    changed.append(gang)
                continue
            if await self._end_attempt(gang, outcome, epoch):
                changed.append(gang)
        await self.save(changed)
        await self._stop_unknown_attempts(epoch)

    async def suspend(self, gangs: list[Gang], epoch: Epoch):
        """Checkpoint and stop gangs, and return them to the queue."""
        stopped = await asyncio.gather(*[self._suspend(g, epoch) for g in gangs])
        changed = [g for g, done in zip(gangs, stopped, strict=True) if done]
        await self.save(changed)

    async def cancel_marked(self, epoch: Epoch):
        """End all gangs marked as cancelled, in one batch of writes."""
        marked = [gang for gang in self.gang_table.gangs.values() if gang.cancelled]
        await self._end(marked, epoch, ResultCode.OK, "Cancelled by its caller.")

    async def save(self, gangs: list[Gang]):
        """Write the rows of gangs and drop those that have ended from the table."""
        if not gangs:
            return
        await self.job_store.save(gangs)
        self.gang_table.changes += 1
        for gang in gangs:
            if gang.ended:
                self.gang_table.drop(gang.row.job)

    def outcome(self, gang: Gang) -> GangOutcome:
        """Return the outcome of a running gang by its workers' last reports."""
        finished = 0
        for slot in gang.row.placement:
            observation = self.fleet.observation(slot.worker)
            if not observation.reachable:
                if self.fleet.lease_expired(gang, slot.worker):
                    return GangOutcome.LOST
                continue
            if observation.report_requested_at <= gang.reports_valid_after:
                continue
            lease = observation.leases.get(gang.row.attempt)
            if lease is None:
                return GangOutcome.LOST
            if lease.state is LeaseState.FAILED:
                return GangOutcome.FAILED
            finished += lease.state is LeaseState.FINISHED
        if finished == len(gang.row.placement):
            return GangOutcome.FINISHED
        return GangOutcome.STILL_RUNNING

    def completion_mean(self) -> float:
        """Return the mean time from submission to completion, in seconds."""
        return self.completion_total / self.jobs_done if self.jobs_done else 0.0

    async def _end_attempt(
        self, gang: Gang, outcome: GangOutcome, epoch: Epoch
    ) -> bool:
        """Stop the remaining tasks of an attempt; return whether the row changed."""
        if outcome is GangOutcome.FINISHED:
            for slot in gang.row.placement:
                self.fleet.health.health_of(slot.worker).record_success()
            # Write the row before the leases are released: if the scheduler crashed in
            # between, its successor would otherwise count the job as lost. The leases
            # are released later, as those of an unknown attempt.
            self._finish(gang)
            return True
        failed_on = self._failed_workers(gang)
        progress_by_worker = await self.fleet.stop(
            gang, epoch, gang.row.spec.checkpoints
        )
        if not self._all_tasks_ended(gang, progress_by_worker):
            return False
        if outcome is GangOutcome.FAILED:
            self._record_failure(gang, failed_on)
        self._requeue(gang, gang.row.progress)
        return True

    def _record_checkpoint(self, gang: Gang) -> bool:
        """Record the progress for which all tasks of a gang have a checkpoint."""
        reached = []
        for slot in gang.row.placement:
            lease = self.fleet.observation(slot.worker).leases.get(gang.row.attempt)
            reached.append(lease.checkpointed if lease else 0.0)
        if min(reached, default=0.0) <= gang.row.progress:
            return False
        gang.update(progress=min(reached))
        gang.checkpointed_wall = self.clock.wall()
        return True

    def _all_tasks_ended(self, gang: Gang, progress_by_worker: dict) -> bool:
        """Return whether no task of the gang can be running any more."""
        for slot in gang.row.placement:
            if slot.worker in progress_by_worker:
                continue
            if not self.fleet.lease_expired(gang, slot.worker):
                return False
        return True

    def _finish(self, gang: Gang):
        now = self.clock.wall()
        self.jobs_done += 1
        self.service_done += gang.attained_service(now)
        self.completion_total += now - gang.row.submitted
        gang.update(
            state=JobState.DONE,
            service=gang.attained_service(now),
            ended=now,
            placement=[],
        )
        log.info("Job %s completed.", gang.row.job)

    def _requeue(self, gang: Gang, progress: float):
        """Return a stopped gang to the queue, or end it if it may not run again."""
        now = self.clock.wall()
        service = gang.attained_service(now)
        without_checkpoint = progress == 0.0
        at_most_once = gang.row.spec.semantics is Semantics.AT_MOST_ONCE
        if at_most_once and without_checkpoint:
            self._end_job(
                gang,
                JobState.UNKNOWN,
                ResultCode.UNKNOWN,
                "It started and left no checkpoint; an at-most-once job never reruns.",
            )
            return
        if gang.row.failures >= MAX_FAILED_ATTEMPTS:
            detail = f"Its tasks failed in {gang.row.failures} attempts."
            self._end_job(gang, JobState.FAILED, ResultCode.UPSTREAM_FAILED, detail)
            return
        gang.update(
            state=JobState.QUEUED,
            attempt=NO_ATTEMPT,
            placement=[],
            guaranteed=False,
            progress=progress,
            service=service,
            queued=now,
        )
        log.info("Job %s is queued again.", gang.row.job)

    def _end_job(self, gang: Gang, state: JobState, code: ResultCode, detail: str):
        now = self.clock.wall()
        gang.update(
            state=state,
            service=gang.attained_service(now),
            placement=[],
            ended=now,
            code=code,
            detail=detail,
        )
        log.info("Job %s ended with state %s.", gang.row.job, state.value)

    async def _suspend(self, gang: Gang, epoch: Epoch) -> bool:
        """Stop a gang and requeue it; return whether all its tasks have ended."""
        checkpoint = gang.row.spec.checkpoints
        progress_by_worker = await self.fleet.stop(gang, epoch, checkpoint)
        if not self._all_tasks_ended(gang, progress_by_worker):
            return False
        progress = gang.row.progress
        if len(progress_by_worker) == len(gang.row.placement):
            # A gang resumes from the smallest progress among its tasks.
            progress = max(progress, min(progress_by_worker.values(), default=0.0))
        self._requeue(gang, progress)
        return True

    async def _end_retired(self, epoch: Epoch):
        retired = []
        for gang in self.gang_table.gangs.values():
            known = gang.row.account in self.follower.state.accounts
            if known and not self.fleet.account_active(gang):
                retired.append(gang)
        detail = "Its client account is retired."
        await self._end(retired, epoch, ResultCode.ACCOUNT_RETIRED, detail)

    async def _suspend_if_domain_out(self, epoch: Epoch):
        domain = self.fleet.domain
        if self.follower.state.domain_state(domain) is not DomainState.OUT:
            return
        await self.suspend(self.gang_table.holding(), epoch)

    async def _end(
        self, gangs: list[Gang], epoch: Epoch, code: ResultCode, detail: str
    ):
        if not gangs:
            return
        stopped = await asyncio.gather(
            *[self._stop_without_checkpoint(g, epoch) for g in gangs]
        )
        changed = []
        for gang, done in zip(gangs, stopped, strict=True):
            if not done:
                continue
            self._end_job(gang, JobState.CANCELLED, code, detail)
            changed.append(gang)
        await self.save(changed)

    async def _stop_without_checkpoint(self, gang: Gang, epoch: Epoch) -> bool:
        """Stop a gang for good; return whether all its tasks have ended."""
        if not gang.holding:
            return True
        progress_by_worker = await self.fleet.stop(gang, epoch, checkpoint=False)
        return self._all_tasks_ended(gang, progress_by_worker)

    async def _stop_unknown_attempts(self, epoch: Epoch):
        """Stop attempts that workers hold but no job row names."""
        known = {gang.row.attempt for gang in self.gang_table.holding()}
        calls = []
        for worker, observation in self.fleet.observations.items():
            if not observation.reachable:
                continue
            for attempt in observation.leases:
                if attempt not in known:
                    calls.append(
                        self.fleet.stop_unknown_attempt(worker, attempt, epoch)
                    )
        await asyncio.gather(*calls)

    def _failed_workers(self, gang: Gang) -> list[WorkerId]:
        failed = []
        for slot in gang.row.placement:
            lease = self.fleet.observation(slot.worker).leases.get(gang.row.attempt)
            if lease is not None and lease.state is LeaseState.FAILED:
                failed.append(slot.worker)
        return failed

    def _record_failure(self, gang: Gang, failed_on: list[WorkerId]):
        """Record a failure against the workers and make the gang avoid them."""
        now = self.clock.wall()
        for worker in failed_on:
            self.fleet.health.health_of(worker).record_failure(gang.row.job, now)
        gang.update(
            failures=gang.row.failures + 1, failed_on=gang.row.failed_on + failed_on
        )
