"""Start gangs atomically: all tasks of a gang, or none."""

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

# A reservation that is not started within this time expires at the worker.
RESERVATION_SECONDS = 15.0

log = ComponentLog("gangs")


class GangStarter:
    """Start gangs in two phases: reserve on every worker, then start.

    The job row is STARTING while workers are asked for reservations and becomes RUNNING
    before the first start command is sent, so that the next scheduler can tell whether
    tasks may have run.
    """

    def __init__(
        self,
        job_store: SchedulerJobStore,
        gang_table: GangTable,
        fleet: Fleet,
        lease: Lease,
        permit_issuer: PermitIssuer,
        in_progress: InProgress,
        clock: Clock,
    ):
        self.job_store = job_store
        self.gang_table = gang_table
        self.fleet = fleet
        self.lease = lease
        self.permit_issuer = permit_issuer
        self.in_progress = in_progress
        self.clock = clock

    async def start(self, orders: list[StartOrder], epoch: Epoch):
        """Start gangs, each of them completely or not at all."""
        if not orders:
            return
        gangs = [order.gang for order in orders]
        with self._counted_in_progress(gangs):
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
        results = await asyncio.gather(*[self._reserve(gang, epoch) for gang in gangs])
        reserved = [gang for gang, ok in zip(gangs, results, strict=True) if ok]
        refused = [gang for gang, ok in zip(gangs, results, strict=True) if not ok]
        self.gang_table.changes += len(refused)
        now = self.clock.wall()
        for gang in reserved:
            gang.update(state=JobState.RUNNING, started=now)
        for gang in refused:
            self._requeue(gang)
        await self.job_store.save(gangs)
        await self._start_reserved(reserved, epoch)

    async def complete_or_roll_back(self, epoch: Epoch):
        """Complete or roll back starts that an earlier scheduler left unfinished."""
        rolled_back = []
        half_started = []
        for gang in self.gang_table.holding():
            if gang.row.state is JobState.STARTING:
                await self.fleet.stop(gang, epoch, checkpoint=False)
                self._requeue(gang)
                rolled_back.append(gang)
                continue
            if self._has_reservation(gang):
                half_started.append(gang)
        if rolled_back:
            await self.job_store.save(rolled_back)
        with self._counted_in_progress(half_started):
            await self._start_reserved(half_started, epoch)

    @contextmanager
    def _counted_in_progress(self, gangs: list[Gang]) -> Iterator[None]:
        """Count gangs as in progress while commands for them may be in flight."""
        incarnations = [(gang.row.account, gang.row.incarnation) for gang in gangs]
        for incarnation_key in incarnations:
            self.in_progress.enter(*incarnation_key)
        try:
            yield
        finally:
            for incarnation_key in incarnations:
                self.in_progress.leave(*incarnation_key)

    async def _start_reserved(self, gangs: list[Gang], epoch: Epoch):
        rows_unchanged = await asyncio.gather(
            *[self._start(gang, epoch) for gang in gangs]
        )
        rolled_back = []
        for gang, unchanged in zip(gangs, rows_unchanged, strict=True):
            if not unchanged:
                rolled_back.append(gang)
        if rolled_back:
            await self.job_store.save(rolled_back)
            self.gang_table.changes += 1
            for gang in rolled_back:
                if gang.ended:
                    self.gang_table.drop(gang.row.job)

    async def _reserve(self, gang: Gang, epoch: Epoch) -> bool:
        """Reserve on every worker, or release all; return whether it succeeded."""
        try:
            calls = [self._reserve_slot(gang, slot, epoch) for slot in _slots(gang)]
            await self._gather_or_raise(gang, calls)
        except GangError as error:
            log.warning(
                "Can't reserve workers for job %s: %s", gang.row.job, error.detail
            )
            await self.fleet.stop(gang, epoch, checkpoint=False)
            return False
        return True

    async def _reserve_slot(self, gang: Gang, slot: Slot, epoch: Epoch):
        spec = gang.row.spec
        start_by = self._start_deadline(gang, epoch)
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
        await self._send_command(gang, slot.worker, start_by, call)

    async def _start(self, gang: Gang, epoch: Epoch) -> bool:
        """Start the tasks on every worker; roll back if one fails.

        Returns False if a rollback changed the row, which must then be written.
        """
        gang.reports_valid_after = monotonic()
        try:
            calls = [self._start_slot(gang, slot, epoch) for slot in _slots(gang)]
            await self._gather_or_raise(gang, calls)
        except GangError as error:
            log.warning("Can't start job %s: %s", gang.row.job, error.detail)
            return not await self._roll_back_start(gang, epoch)
        log.info("Job %s started in %s.", gang.row.job, gang.row.domain)
        return True

    async def _start_slot(self, gang: Gang, slot: Slot, epoch: Epoch):
        start_by = self._start_deadline(gang, epoch)
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
        await self._send_command(gang, slot.worker, start_by, call)

    async def _send_command(
        self, gang: Gang, worker: WorkerId, start_by: float, call: Coroutine
    ):
        """Send a command, which may take effect late but not after `start_by`."""
        self.fleet.record_extension(worker)
        try:
            await self.fleet.call(call)
        except WorkerError:
            row = gang.row
            self.in_progress.abandon(row.account, row.incarnation, start_by)
            raise

    async def _roll_back_start(self, gang: Gang, epoch: Epoch) -> bool:
        """Stop a partly started gang; return whether its row changed."""
        answered = await self.fleet.stop(gang, epoch, checkpoint=False)
        unanswered = [slot for slot in _slots(gang) if slot.worker not in answered]
        if unanswered:
            # Tasks may run on these workers: the row stays RUNNING until their leases
            # have lapsed.
            return False
        at_most_once = gang.row.spec.semantics is Semantics.AT_MOST_ONCE
        if at_most_once and gang.row.progress == 0.0:
            gang.update(
                state=JobState.UNKNOWN,
                ended=self.clock.wall(),
                placement=[],
                code=ResultCode.UNKNOWN,
                detail="Some tasks may have started; an at-most-once job never reruns.",
            )
            return True
        self._requeue(gang)
        return True

    async def _gather_or_raise(self, gang: Gang, calls: list[Coroutine]):
        """Await the calls to all workers, then raise the first error, if any."""
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

    def _start_deadline(self, gang: Gang, epoch: Epoch) -> float:
        """Return the wall time by which a start must take effect.

        Raises GangError if the epoch is no longer current, the account is retired or
        the failure domain is out of service, and LeaseLostError without the lease.
        """
        if self.lease.require() != epoch:
            raise GangError(
                "The scheduler's lease has another epoch.", ResultCode.STALE_EPOCH
            )
        if not self.fleet.account_active(gang):
            raise GangError(
                "The client account is retired.", ResultCode.ACCOUNT_RETIRED
            )
        permit = self.permit_issuer.permit(gang.row.domain, epoch)
        return permit.start_by

    def _has_reservation(self, gang: Gang) -> bool:
        for slot in _slots(gang):
            lease = self.fleet.observation(slot.worker).leases.get(gang.row.attempt)
            if lease is not None and lease.state is LeaseState.RESERVED:
                return True
        return False

    def _requeue(self, gang: Gang):
        gang.update(
            state=JobState.QUEUED,
            attempt=NO_ATTEMPT,
            placement=[],
            guaranteed=False,
        )


def _slots(gang: Gang) -> list[Slot]:
    return gang.row.placement
