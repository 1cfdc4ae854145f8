"""Start gangs whole or not at all."""

import asyncio
from collections.abc import Coroutine, Iterator
from contextlib import contextmanager

from zinniatrestle.clock import Clock, monotonic
from zinniatrestle.configuration.messages import Semantics
from zinniatrestle.domains import PermitIssuer
from zinniatrestle.errors import GangError, ResultCode, WorkerError
from zinniatrestle.gangs.fleet import Fleet
from zinniatrestle.gangs.job_store import SchedulerJobStore
from zinniatrestle.gangs.messages import NO_ATTEMPT, JobState, Slot
from zinniatrestle.gangs.planner import StartOrder
from zinniatrestle.gangs.state import Gang, GangTable
from zinniatrestle.ids import Epoch, WorkerId, new_attempt_id
from zinniatrestle.in_progress import InProgress
from zinniatrestle.logs import ComponentLog
from zinniatrestle.store.leases import Lease
from zinniatrestle.store.messages import LeaseState, Reserve, Start

RESERVATION_SECONDS = 15.0

log = ComponentLog("gangs")


class GangStarter:
    """Reserve on every worker, write the start down, then start.

    The row says STARTING while reservations are asked for and RUNNING from before
    the first task starts, so that a later scheduler knows what may have run.
    """

    def __init__(
        self,
        job_store: SchedulerJobStore,
        table: GangTable,
        fleet: Fleet,
        lease: Lease,
        permit_issuer: PermitIssuer,
        in_progress: InProgress,
        clock: Clock,
    ):
        self.job_store = job_store
        self.table = table
        self.fleet = fleet
        self.lease = lease
        self.permit_issuer = permit_issuer
        self.in_progress = in_progress
        self.clock = clock

    async def start(self, orders: list[StartOrder], epoch: Epoch):
        """Start gangs, each whole or not at all."""
        if not orders:
            return
        gangs = [order.gang for order in orders]
        with self._counted(gangs):
            await self._start_orders(orders, epoch)

    async def _start_orders(self, orders: list[StartOrder], epoch: Epoch):
        gangs = [order.gang for order in orders]
        for order in orders:
            order.gang.update(
                state=JobState.STARTING,
                attempt=new_attempt_id(),
                attempts=order.gang.row.attempts + 1,
                placement=order.placement,
                guaranteed=order.guaranteed,
            )
        await self.job_store.save(gangs)
        held = await asyncio.gather(*[self._reserve(gang, epoch) for gang in gangs])
        reserved = [gang for gang, ok in zip(gangs, held, strict=True) if ok]
        refused = [gang for gang, ok in zip(gangs, held, strict=True) if not ok]
        self.table.changes += len(refused)
        now = self.clock.wall()
        for gang in reserved:
            gang.update(state=JobState.RUNNING, started=now)
        for gang in refused:
            self._back_to_queue(gang)
        await self.job_store.save(gangs)
        await self._start_reserved(reserved, epoch)

    async def complete_or_roll_back(self, epoch: Epoch):
        """Complete or roll back the starts that an earlier scheduler left half-done."""
        undone = []
        half_started = []
        for gang in self.table.holding():
            if gang.row.state is JobState.STARTING:
                await self.fleet.stop(gang, epoch, checkpoint=False)
                self._back_to_queue(gang)
                undone.append(gang)
                continue
            if self._has_reserved(gang):
                half_started.append(gang)
        if undone:
            await self.job_store.save(undone)
        with self._counted(half_started):
            await self._start_reserved(half_started, epoch)

    @contextmanager
    def _counted(self, gangs: list[Gang]) -> Iterator[None]:
        """Count gangs as in progress while commands for them may be under way."""
        lives = [(gang.row.account, gang.row.incarnation) for gang in gangs]
        for life in lives:
            self.in_progress.enter(*life)
        try:
            yield
        finally:
            for life in lives:
                self.in_progress.leave(*life)

    async def _start_reserved(self, gangs: list[Gang], epoch: Epoch):
        started = await asyncio.gather(*[self._start(gang, epoch) for gang in gangs])
        undone = []
        for gang, whole in zip(gangs, started, strict=True):
            if not whole:
                undone.append(gang)
        if undone:
            await self.job_store.save(undone)
            self.table.changes += 1
            for gang in undone:
                if gang.ended:
                    self.table.drop(gang.row.job)

    async def _reserve(self, gang: Gang, epoch: Epoch) -> bool:
        """Reserve on every worker, or on none."""
        try:
            calls = [self._reserve_slot(gang, slot, epoch) for slot in _slots(gang)]
            await self._all_or_raise(gang, calls)
        except GangError as error:
            log.warning("Job %s is not reserved: %s", gang.row.job, error.detail)
            await self.fleet.stop(gang, epoch, checkpoint=False)
            return False
        return True

    async def _reserve_slot(self, gang: Gang, slot: Slot, epoch: Epoch):
        spec = gang.row.spec
        start_by = self._leave_to_start(gang, epoch)
        command = Reserve(
            job=gang.row.job,
            attempt=gang.row.attempt,
            account=gang.row.account,
            incarnation=gang.row.incarnation,
            epoch=epoch,
            accelerators=slot.accelerators,
            start_by=start_by,
            expires=self.clock.wall() + RESERVATION_SECONDS,
            tasks=slot.tasks,
            cores=spec.shape.cores * slot.tasks,
            memory_gb=spec.shape.memory_gb * slot.tasks,
        )
        call = self.fleet.workers.reserve(slot.worker, command)
        await self._command(gang, slot.worker, start_by, call)

    async def _start(self, gang: Gang, epoch: Epoch) -> bool:
        """Start on every worker; stop all again when one refuses."""
        gang.reports_valid_after = monotonic()
        try:
            calls = [self._start_slot(gang, slot, epoch) for slot in _slots(gang)]
            await self._all_or_raise(gang, calls)
        except GangError as error:
            log.warning("Job %s is not started: %s", gang.row.job, error.detail)
            return not await self._undo_start(gang, epoch)
        log.info("Job %s runs in %s.", gang.row.job, gang.row.domain)
        return True

    async def _start_slot(self, gang: Gang, slot: Slot, epoch: Epoch):
        start_by = self._leave_to_start(gang, epoch)
        command = Start(
            job=gang.row.job,
            attempt=gang.row.attempt,
            epoch=epoch,
            start_by=start_by,
            expires=self.fleet.lease_end(gang.row.account),
            command=gang.row.spec.command,
            progress=gang.row.progress,
        )
        call = self.fleet.workers.start(slot.worker, command)
        await self._command(gang, slot.worker, start_by, call)

    async def _command(
        self, gang: Gang, worker: WorkerId, start_by: float, call: Coroutine
    ):
        """Send a command that may take effect late, but not after `start_by`."""
        self.fleet.record_extension(worker)
        try:
            await self.fleet.call(call)
        except WorkerError:
            row = gang.row
            self.in_progress.abandon(row.account, row.incarnation, start_by)
            raise

    async def _undo_start(self, gang: Gang, epoch: Epoch) -> bool:
        """Stop a half-started gang; tell whether its row changed."""
        answered = await self.fleet.stop(gang, epoch, checkpoint=False)
        unheard = [slot for slot in _slots(gang) if slot.worker not in answered]
        if unheard:
            # It may run there: the row stays RUNNING until its lease has lapsed.
            return False
        once = gang.row.spec.semantics is Semantics.AT_MOST_ONCE
        if once and gang.row.progress == 0.0:
            gang.update(
                state=JobState.UNKNOWN,
                ended=self.clock.wall(),
                placement=[],
                code=ResultCode.UNKNOWN,
                detail="Some of its tasks may have started; it is never run again.",
            )
            return True
        self._back_to_queue(gang)
        return True

    async def _all_or_raise(self, gang: Gang, calls: list[Coroutine]):
        """Await a call to each worker, then raise the first error among them."""
        answers = await asyncio.gather(*calls, return_exceptions=True)
        errors = []
        for slot, answer in zip(_slots(gang), answers, strict=True):
            if not isinstance(answer, BaseException):
                continue
            errors.append(answer)
            if isinstance(answer, WorkerError):
                gang.refused_by[slot.worker] = self.clock.wall()
        if errors:
            raise errors[0]

    def _leave_to_start(self, gang: Gang, epoch: Epoch) -> float:
        """Return the wall time by which a start must happen; raises GangError."""
        if self.lease.require() != epoch:
            raise GangError("The lease changed hands.", ResultCode.STALE_EPOCH)
        if not self.fleet.account_active(gang):
            raise GangError("The account is retired.", ResultCode.ACCOUNT_RETIRED)
        permit = self.permit_issuer.permit(gang.row.domain, epoch)
        return permit.start_by

    def _has_reserved(self, gang: Gang) -> bool:
        for slot in _slots(gang):
            lease = self.fleet.observation(slot.worker).leases.get(gang.row.attempt)
            if lease is not None and lease.state is LeaseState.RESERVED:
                return True
        return False

    def _back_to_queue(self, gang: Gang):
        gang.update(
            state=JobState.QUEUED,
            attempt=NO_ATTEMPT,
            placement=[],
            guaranteed=False,
        )


def _slots(gang: Gang) -> list[Slot]:
    return gang.row.placement
