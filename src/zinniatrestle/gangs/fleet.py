"""The workers of one failure domain as its scheduler sees them."""

import asyncio
from collections.abc import Coroutine
from typing import Any

from zinniatrestle.clock import Clock, monotonic
from zinniatrestle.configuration import ConfigurationFollower
from zinniatrestle.configuration.messages import AccountState
from zinniatrestle.errors import PlatformError, WorkerError
from zinniatrestle.gangs.health import WorkerHealthTracker
from zinniatrestle.gangs.inventory import Inventory, WorkerCapacity
from zinniatrestle.gangs.messages import JobState
from zinniatrestle.gangs.state import Gang
from zinniatrestle.ids import (
    AttemptId,
    ClientAccountId,
    Epoch,
    FailureDomainId,
    WorkerId,
)
from zinniatrestle.logs import ComponentLog
from zinniatrestle.store import Platform
from zinniatrestle.store.messages import (
    HostRole,
    ListedHost,
    Renew,
    Renewal,
    Stop,
    TaskLease,
)

LIST_SECONDS = 1.0
POLLS_PER_SECOND = 8.0
LEASES_PER_SECOND = 45.0
# Two turns may fail before a lease lapses.
RENEWAL_SHARE = 0.3
SHORTEST_POLL_SECONDS = 1.0
WORKER_TIMEOUT_SECONDS = 2.0
# Covers the skew between clocks when a lapsed lease is taken as ended.
SKEW_SECONDS = 1.0
CALLS_AT_ONCE = 32

log = ComponentLog("fleet")


class WorkerObservation:
    """Hold what was last heard of one worker.

    `polled` is when it was last asked and
    `report_requested_at` when the last report that came was
    asked for (monotonic); `extended_wall` is when a lease may last have been
    extended, whether an answer came or not.
    """

    def __init__(self, now_wall: float):
        self.polled = 0.0
        self.report_requested_at = 0.0
        self.extended_wall = now_wall
        self.leases: dict[AttemptId, TaskLease] = {}
        self.reachable = False


class Fleet:
    """Poll workers, renew their leases, and tell what is free on them."""

    def __init__(
        self,
        domain: FailureDomainId,
        platform: Platform,
        follower: ConfigurationFollower,
        clock: Clock,
    ):
        self.domain = domain
        self.platform = platform
        self.workers = platform.workers
        self.follower = follower
        self.clock = clock
        self.listed: dict[WorkerId, ListedHost] = {}
        self.observations: dict[WorkerId, WorkerObservation] = {}
        self.health = WorkerHealthTracker()
        self.listed_at = -LIST_SECONDS
        self.limit = asyncio.Semaphore(CALLS_AT_ONCE)

    async def refresh(self):
        """Read the platform's list, at most once in `LIST_SECONDS`."""
        if monotonic() - self.listed_at < LIST_SECONDS:
            return
        try:
            listed = await self.platform.hosts.hosts()
        except PlatformError as error:
            log.warning("The list of workers is old: %s", error.detail)
            return
        self.listed_at = monotonic()
        self.listed = {}
        for host in listed:
            if host.role is HostRole.WORKER and host.domain == self.domain:
                self.listed[WorkerId(host.name)] = host

    def reset(self, epoch: Epoch):
        """Forget what an earlier tenure knew."""
        self.observations.clear()

    async def poll_all(self, gangs: list[Gang], epoch: Epoch):
        """Ask every listed worker what it holds."""
        await self._poll(list(self.listed), gangs, epoch)

    async def poll(self, gangs: list[Gang], epoch: Epoch):
        """Ask those workers whose turn it is.

        The rate does not grow with workers and tasks, except where leases would
        lapse between two turns.
        """
        graces: dict[WorkerId, float] = {}
        held = 0
        for gang in gangs:
            grace = self.grace(gang.row.account)
            held += len(gang.row.placement)
            for slot in gang.row.placement:
                shortest = graces.get(slot.worker, grace)
                graces[slot.worker] = min(shortest, grace)
        period = max(
            SHORTEST_POLL_SECONDS,
            len(self.listed) / POLLS_PER_SECOND,
            held / LEASES_PER_SECOND,
        )
        now = monotonic()
        due = []
        for worker in self._known(gangs):
            turn = min(period, graces.get(worker, period) * RENEWAL_SHARE)
            if now - self.observation(worker).polled >= max(
                SHORTEST_POLL_SECONDS, turn
            ):
                due.append(worker)
        await self._poll(due, gangs, epoch)

    def observation(self, worker: WorkerId) -> WorkerObservation:
        """Return what was last heard of a worker."""
        if worker not in self.observations:
            self.observations[worker] = WorkerObservation(self.clock.wall())
        return self.observations[worker]

    def record_extension(self, worker: WorkerId):
        """Note that a command which extends a lease is about to be sent."""
        self.observation(worker).extended_wall = self.clock.wall()

    def lease_expired(self, gang: Gang, worker: WorkerId) -> bool:
        """Tell whether an unreachable worker must have ended a gang's tasks.

        A lease is only ever extended to a confirmation plus the account's grace,
        and no confirmation is younger than the command that extends it.
        """
        observation = self.observation(worker)
        if observation.reachable:
            return False
        bound = observation.extended_wall + self.grace(gang.row.account) + SKEW_SECONDS
        return self.clock.wall() > bound

    def reclaimable_workers(self) -> list[ListedHost]:
        """Return the workers on which cells can be reclaimed now."""
        now = self.clock.wall()
        found = []
        for worker, listed in self.listed.items():
            healthy = self.health.usable(worker, busy=True, now=now)
            if self.observation(worker).reachable and healthy:
                found.append(listed)
        return found

    def grace(self, account: ClientAccountId) -> float:
        """Return an account's offline grace in seconds."""
        plan = self.follower.state.plans.get(account)
        return plan.offline_grace_seconds if plan else 0.0

    def account_active(self, gang: Gang) -> bool:
        """Tell whether the account's life that a gang belongs to is active."""
        record = self.follower.state.accounts.get(gang.row.account)
        if record is None or record.state is not AccountState.ACTIVE:
            return False
        return record.incarnation == gang.row.incarnation

    def lease_end(self, account: ClientAccountId) -> float:
        """Return the wall time to which a task lease may run now."""
        return self.follower.confirmed_wall + self.grace(account)

    def inventory(self, running: list[Gang], now: float) -> Inventory:
        """Return what is free, own reservations counted at once."""
        busy = set()
        for gang in running:
            busy.update(slot.worker for slot in gang.row.placement)
        rooms = []
        for worker, listed in self.listed.items():
            room = WorkerCapacity(listed)
            observation = self.observation(worker)
            healthy = self.health.usable(worker, worker in busy, now)
            room.usable = room.usable and observation.reachable and healthy
            rooms.append(room)
        inventory = Inventory(rooms)
        known = set()
        for gang in running:
            known.add(gang.row.attempt)
            inventory.hold(gang.row.placement, gang.row.spec.shape)
        self._hold_strays(inventory, known)
        return inventory

    async def stop(
        self, gang: Gang, epoch: Epoch, checkpoint: bool
    ) -> dict[WorkerId, float]:
        """Stop a gang on its workers; return the progress of those that answered."""
        command = Stop(gang.row.attempt, epoch, checkpoint)
        workers = [slot.worker for slot in gang.row.placement]
        calls = [self._stop_one(worker, command) for worker in workers]
        answers = await asyncio.gather(*calls)
        progress = {}
        for worker, seconds in zip(workers, answers, strict=True):
            if seconds is not None:
                progress[worker] = seconds
        return progress

    async def stop_unknown_attempt(
        self, worker: WorkerId, attempt: AttemptId, epoch: Epoch
    ):
        """Stop an attempt that has ended or should not be on a worker."""
        await self._stop_one(worker, Stop(attempt, epoch))

    async def call(self, coroutine: Coroutine) -> Any:
        """Await one worker's answer within the time-out; raises WorkerError."""
        async with self.limit:
            try:
                async with asyncio.timeout(WORKER_TIMEOUT_SECONDS):
                    return await coroutine
            except TimeoutError:
                raise WorkerError("The worker did not answer in time.") from None

    async def _stop_one(self, worker: WorkerId, command: Stop) -> float | None:
        try:
            seconds = await self.call(self.workers.stop(worker, command))
        except WorkerError as error:
            log.warning("No stop on %s: %s", worker, error.detail)
            return None
        self.observation(worker).leases.pop(command.attempt, None)
        return seconds

    async def _poll(self, due: list[WorkerId], gangs: list[Gang], epoch: Epoch):
        renewals = self._renewals(gangs)
        calls = []
        for worker in due:
            calls.append(self._poll_one(worker, renewals.get(worker, []), epoch))
        await asyncio.gather(*calls)

    async def _poll_one(self, worker: WorkerId, renewals: list[Renewal], epoch: Epoch):
        observation = self.observation(worker)
        asked = monotonic()
        observation.polled = asked
        # A worker out of reach gets no more extensions, or its leases would never
        # be sure to have lapsed.
        command = Renew(renewals if observation.reachable else [], epoch)
        if command.renewals:
            observation.extended_wall = self.clock.wall()
        try:
            report = await self.call(self.workers.renew(worker, command))
        except WorkerError as error:
            if observation.reachable:
                log.warning("Worker %s is out of reach: %s", worker, error.detail)
            observation.reachable = False
            return
        observation.reachable = True
        observation.report_requested_at = asked
        observation.leases = {lease.attempt: lease for lease in report.leases}

    def _renewals(self, gangs: list[Gang]) -> dict[WorkerId, list[Renewal]]:
        """Return which attempts each worker may run on with, and until when."""
        renewals: dict[WorkerId, list[Renewal]] = {}
        now = self.clock.wall()
        for gang in gangs:
            if gang.row.state is not JobState.RUNNING or not self.account_active(gang):
                continue
            renewal = Renewal(
                gang.row.attempt,
                self.lease_end(gang.row.account),
                gang.checkpoint_due(now),
            )
            for slot in gang.row.placement:
                renewals.setdefault(slot.worker, []).append(renewal)
        return renewals

    def _known(self, gangs: list[Gang]) -> list[WorkerId]:
        known = set(self.listed)
        for gang in gangs:
            known.update(slot.worker for slot in gang.row.placement)
        return sorted(known)

    def _hold_strays(self, inventory: Inventory, known: set[AttemptId]):
        """Leave alone what workers hold for attempts that no row names."""
        for worker, observation in self.observations.items():
            room = inventory.capacities.get(worker)
            if room is None:
                continue
            for lease in observation.leases.values():
                if lease.attempt not in known:
                    room.usable = False
