"""Settle gangs: finished, failed, lost, cancelled, suspended."""

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

MOST_FAILURES = 5

log = ComponentLog("gangs")


class GangOutcome(Enum):
    """What the workers' leases say of a running gang."""

    GOES_ON = "goes on"
    FINISHED = "finished"
    FAILED = "failed"
    LOST = "lost"


class GangReconciler:
    """Write down what became of gangs and end what must not go on."""

    def __init__(
        self,
        job_store: SchedulerJobStore,
        table: GangTable,
        fleet: Fleet,
        follower: ConfigurationFollower,
        clock: Clock,
    ):
        self.job_store = job_store
        self.table = table
        self.fleet = fleet
        self.follower = follower
        self.clock = clock
        self.done = 0
        self.service_done = 0.0
        self.completion_total = 0.0

    async def reconcile(self, epoch: Epoch):
        """Settle every gang whose outcome is known."""
        await self._end_retired(epoch)
        await self._suspend_if_out(epoch)
        changed = []
        for gang in self.table.holding():
            if gang.row.state is not JobState.RUNNING:
                continue
            outcome = self.outcome(gang)
            if outcome is GangOutcome.GOES_ON:
                if self._take_checkpoint(gang):
                    changed.append(gang)
                continue
            if await self._end_attempt(gang, outcome, epoch):
                changed.append(gang)
        await self.save(changed)
        await self._stop_strays(epoch)

    async def suspend(self, gangs: list[Gang], epoch: Epoch):
        """Checkpoint and stop gangs, and queue them again."""
        stopped = await asyncio.gather(*[self._suspend(g, epoch) for g in gangs])
        changed = [g for g, done in zip(gangs, stopped, strict=True) if done]
        await self.save(changed)

    async def cancel_marked(self, epoch: Epoch):
        """End all gangs marked as cancelled, in one wave."""
        marked = [gang for gang in self.table.gangs.values() if gang.cancelled]
        await self._end(marked, epoch, ResultCode.OK, "Cancelled by its caller.")

    async def save(self, gangs: list[Gang]):
        """Write gangs and forget those that have ended."""
        if not gangs:
            return
        await self.job_store.save(gangs)
        self.table.changes += 1
        for gang in gangs:
            if gang.ended:
                self.table.drop(gang.row.job)

    def outcome(self, gang: Gang) -> GangOutcome:
        """Judge a running gang by what its workers last said."""
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
        return GangOutcome.GOES_ON

    def completion_mean(self) -> float:
        """Return the mean completion time of the jobs done, in seconds."""
        return self.completion_total / self.done if self.done else 0.0

    async def _end_attempt(
        self, gang: Gang, outcome: GangOutcome, epoch: Epoch
    ) -> bool:
        """Stop what is left of an attempt; tell whether the row changed."""
        if outcome is GangOutcome.FINISHED:
            for slot in gang.row.placement:
                self.fleet.health.health_of(slot.worker).record_success()
            # The row comes first: a scheduler that dies in between must not make
            # its successor take the job for lost. The leases go as strays.
            self._finish(gang)
            return True
        failed_on = self._failed_workers(gang)
        answered = await self.fleet.stop(gang, epoch, gang.row.spec.checkpoints)
        if not self._surely_ended(gang, answered):
            return False
        if outcome is GangOutcome.FAILED:
            self._note_failure(gang, failed_on)
        self._requeue(gang, gang.row.progress)
        return True

    def _take_checkpoint(self, gang: Gang) -> bool:
        """Note a checkpoint that every task of a gang has written."""
        reached = []
        for slot in gang.row.placement:
            lease = self.fleet.observation(slot.worker).leases.get(gang.row.attempt)
            reached.append(lease.checkpointed if lease else 0.0)
        if min(reached, default=0.0) <= gang.row.progress:
            return False
        gang.update(progress=min(reached))
        gang.checkpointed_wall = self.clock.wall()
        return True

    def _surely_ended(self, gang: Gang, answered: dict) -> bool:
        """Tell whether no task of the gang can run any more."""
        for slot in gang.row.placement:
            if slot.worker in answered:
                continue
            if not self.fleet.lease_expired(gang, slot.worker):
                return False
        return True

    def _finish(self, gang: Gang):
        now = self.clock.wall()
        self.done += 1
        self.service_done += gang.attained_service(now)
        self.completion_total += now - gang.row.submitted
        gang.update(
            state=JobState.DONE,
            service=gang.attained_service(now),
            ended=now,
            placement=[],
        )
        log.info("Job %s is done.", gang.row.job)

    def _requeue(self, gang: Gang, progress: float):
        """Queue a stopped gang again, or end it when it must not run again."""
        now = self.clock.wall()
        service = gang.attained_service(now)
        from_beginning = progress == 0.0
        once = gang.row.spec.semantics is Semantics.AT_MOST_ONCE
        if once and from_beginning:
            self._close(
                gang,
                JobState.UNKNOWN,
                ResultCode.UNKNOWN,
                "It had started and left no checkpoint; it is never run again.",
            )
            return
        if gang.row.failures >= MOST_FAILURES:
            detail = f"Its tasks failed on {gang.row.failures} attempts."
            self._close(gang, JobState.FAILED, ResultCode.UPSTREAM_FAILED, detail)
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
        log.info("Job %s waits again.", gang.row.job)

    def _close(self, gang: Gang, state: JobState, code: ResultCode, detail: str):
        now = self.clock.wall()
        gang.update(
            state=state,
            service=gang.attained_service(now),
            placement=[],
            ended=now,
            code=code,
            detail=detail,
        )
        log.info("Job %s ends as %s.", gang.row.job, state.value)

    async def _suspend(self, gang: Gang, epoch: Epoch) -> bool:
        checkpoint = gang.row.spec.checkpoints
        answered = await self.fleet.stop(gang, epoch, checkpoint)
        if not self._surely_ended(gang, answered):
            return False
        progress = gang.row.progress
        if len(answered) == len(gang.row.placement):
            # A gang resumes from what all its tasks have reached.
            progress = max(progress, min(answered.values(), default=0.0))
        self._requeue(gang, progress)
        return True

    async def _end_retired(self, epoch: Epoch):
        retired = []
        for gang in self.table.gangs.values():
            known = gang.row.account in self.follower.state.accounts
            if known and not self.fleet.account_active(gang):
                retired.append(gang)
        detail = "Its client account is retired."
        await self._end(retired, epoch, ResultCode.ACCOUNT_RETIRED, detail)

    async def _suspend_if_out(self, epoch: Epoch):
        domain = self.fleet.domain
        if self.follower.state.domain_state(domain) is not DomainState.OUT:
            return
        await self.suspend(self.table.holding(), epoch)

    async def _end(
        self, gangs: list[Gang], epoch: Epoch, code: ResultCode, detail: str
    ):
        if not gangs:
            return
        stopped = await asyncio.gather(*[self._stop_for_good(g, epoch) for g in gangs])
        changed = []
        for gang, done in zip(gangs, stopped, strict=True):
            if not done:
                continue
            self._close(gang, JobState.CANCELLED, code, detail)
            changed.append(gang)
        await self.save(changed)

    async def _stop_for_good(self, gang: Gang, epoch: Epoch) -> bool:
        if not gang.holding:
            return True
        answered = await self.fleet.stop(gang, epoch, checkpoint=False)
        return self._surely_ended(gang, answered)

    async def _stop_strays(self, epoch: Epoch):
        """Stop what workers hold for attempts that no row names."""
        known = {gang.row.attempt for gang in self.table.holding()}
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

    def _note_failure(self, gang: Gang, failed_on: list[WorkerId]):
        """Blame the workers and let the gang avoid them."""
        now = self.clock.wall()
        for worker in failed_on:
            self.fleet.health.health_of(worker).record_failure(gang.row.job, now)
        gang.update(
            failures=gang.row.failures + 1, failed_on=gang.row.failed_on + failed_on
        )
