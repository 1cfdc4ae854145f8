"""The workers of one failure domain: polls, lease renewals and free capacity."""

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

LIST_INTERVAL_SECONDS = 1.0
# Rates over all workers, from which the poll interval is computed.
POLLS_PER_SECOND = 8.0
LEASES_PER_SECOND = 45.0
# Share of the offline grace after which leases are renewed, so that two renewals may
# fail before a lease lapses.
RENEWAL_SHARE = 0.3
MIN_POLL_INTERVAL_SECONDS = 1.0
WORKER_TIMEOUT_SECONDS = 2.0
# Allowance for clock skew before a lease at an unreachable worker counts as lapsed.
CLOCK_SKEW_SECONDS = 1.0
MAX_CONCURRENT_CALLS = 32

log = ComponentLog("fleet")


class WorkerObservation:
    """The last known state of one worker.

    `last_polled_at` is the time of the last poll, answered or not, and
    `report_requested_at` that of the poll which `leases` is from (both monotonic).
    `last_extension_wall` is the wall time of the last command that may have extended a
    lease, answered or not.
    """

    def __init__(self, now_wall: float):
        self.last_polled_at = 0.0
        self.report_requested_at = 0.0
        self.last_extension_wall = now_wall
        self.leases: dict[AttemptId, TaskLease] = {}
        self.reachable = False


class Fleet:
    """Poll the workers of a failure domain, renew leases and compute free capacity."""

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
        self.list_read_at = -LIST_INTERVAL_SECONDS
        self.call_limit = asyncio.Semaphore(MAX_CONCURRENT_CALLS)

    async def refresh(self):
        """Read the list of hosts, at most once per `LIST_INTERVAL_SECONDS`."""
        if monotonic() - self.list_read_at < LIST_INTERVAL_SECONDS:
            return
        try:
            listed = await self.platform.hosts.hosts()
        except PlatformError as error:
            log.warning(
                "Can't read the list of workers, using the last one: %s", error.detail
            )
            return
        self.list_read_at = monotonic()
        self.listed = {}
        for host in listed:
            if host.role is HostRole.WORKER and host.domain == self.domain:
                self.listed[WorkerId(host.name)] = host

    def reset(self, epoch: Epoch):
        """Drop observations from an earlier leadership of this host."""
        self.observations.clear()

    async def poll_all(self, gangs: list[Gang], epoch: Epoch):
        """Poll every listed worker for its leases."""
        await self._poll(list(self.listed), gangs, epoch)

    async def poll(self, gangs: list[Gang], epoch: Epoch):
        """Poll the workers that are due.

        The poll interval grows with the number of workers and leases, which bounds the
        rate of calls. Workers whose leases would lapse earlier are polled more often.
        """
        shortest_graces: dict[WorkerId, float] = {}
        lease_count = 0
        for gang in gangs:
            grace = self.grace(gang.row.account)
            lease_count += len(gang.row.placement)
            for slot in gang.row.placement:
                shortest = shortest_graces.get(slot.worker, grace)
                shortest_graces[slot.worker] = min(shortest, grace)
        base_interval = max(
            MIN_POLL_INTERVAL_SECONDS,
            len(self.listed) / POLLS_PER_SECOND,
            lease_count / LEASES_PER_SECOND,
        )
        now = monotonic()
        due_workers = []
        for worker in self._known_workers(gangs):
            interval = min(
                base_interval,
                shortest_graces.get(worker, base_interval) * RENEWAL_SHARE,
            )
            if now - self.observation(worker).last_polled_at >= max(
                MIN_POLL_INTERVAL_SECONDS, interval
            ):
                due_workers.append(worker)
        await self._poll(due_workers, gangs, epoch)

    def observation(self, worker: WorkerId) -> WorkerObservation:
        """Return the last known state of a worker."""
        if worker not in self.observations:
            self.observations[worker] = WorkerObservation(self.clock.wall())
        return self.observations[worker]

    def record_extension(self, worker: WorkerId):
        """Record that a command which extends a lease is about to be sent."""
        self.observation(worker).last_extension_wall = self.clock.wall()

    def lease_expired(self, gang: Gang, worker: WorkerId) -> bool:
        """Return whether a gang's lease at an unreachable worker has surely lapsed.

        A lease is extended at most to the last confirmation of the configuration plus
        the account's offline grace, and that confirmation is never later than the
        command that extends the lease.
        """
        observation = self.observation(worker)
        if observation.reachable:
            return False
        latest_lease_end = (
            observation.last_extension_wall
            + self.grace(gang.row.account)
            + CLOCK_SKEW_SECONDS
        )
        return self.clock.wall() > latest_lease_end

    def reclaimable_workers(self) -> list[ListedHost]:
        """Return the workers on which guaranteed cells can be reclaimed now."""
        now = self.clock.wall()
        reclaimable = []
        for worker, listed in self.listed.items():
            healthy = self.health.usable(worker, busy=True, now=now)
            if self.observation(worker).reachable and healthy:
                reclaimable.append(listed)
        return reclaimable

    def grace(self, account: ClientAccountId) -> float:
        """Return an account's offline grace in seconds."""
        plan = self.follower.state.plans.get(account)
        return plan.offline_grace_seconds if plan else 0.0

    def account_active(self, gang: Gang) -> bool:
        """Return whether the account incarnation that owns a gang is active."""
        record = self.follower.state.accounts.get(gang.row.account)
        if record is None or record.state is not AccountState.ACTIVE:
            return False
        return record.incarnation == gang.row.incarnation

    def lease_end(self, account: ClientAccountId) -> float:
        """Return the latest wall time to which a task lease may be extended now."""
        return self.follower.confirmed_wall + self.grace(account)

    def inventory(self, running: list[Gang], now: float) -> Inventory:
        """Return the free capacity; `running` gangs hold theirs even if unreported."""
        busy_workers = set()
        for gang in running:
            busy_workers.update(slot.worker for slot in gang.row.placement)
        capacities = []
        for worker, listed in self.listed.items():
            capacity = WorkerCapacity(listed)
            observation = self.observation(worker)
            healthy = self.health.usable(worker, worker in busy_workers, now)
            capacity.usable = capacity.usable and observation.reachable and healthy
            capacities.append(capacity)
        inventory = Inventory(capacities)
        known_attempts = set()
        for gang in running:
            known_attempts.add(gang.row.attempt)
            inventory.hold(gang.row.placement, gang.row.spec.shape)
        self._exclude_workers_with_unknown_attempts(inventory, known_attempts)
        return inventory

    async def stop(
        self, gang: Gang, epoch: Epoch, checkpoint: bool
    ) -> dict[WorkerId, float]:
        """Stop a gang; return progress in seconds, by worker that answered."""
        command = Stop(gang.row.attempt, epoch, checkpoint)
        workers = [slot.worker for slot in gang.row.placement]
        calls = [self._stop_one(worker, command) for worker in workers]
        answers = await asyncio.gather(*calls)
        progress = {}
        for worker, progress_seconds in zip(workers, answers, strict=True):
            if progress_seconds is not None:
                progress[worker] = progress_seconds
        return progress

    async def stop_unknown_attempt(
        self, worker: WorkerId, attempt: AttemptId, epoch: Epoch
    ):
        """Stop an attempt that a worker holds but no job row names."""
        await self._stop_one(worker, Stop(attempt, epoch))

    async def call(self, coroutine: Coroutine) -> Any:
        """Await a worker's answer; raises WorkerError on a time-out."""
        async with self.call_limit:
            try:
                async with asyncio.timeout(WORKER_TIMEOUT_SECONDS):
                    return await coroutine
            except TimeoutError:
                raise WorkerError(
                    "The worker did not answer before the time-out."
                ) from None

    async def _stop_one(self, worker: WorkerId, command: Stop) -> float | None:
        try:
            progress_seconds = await self.call(self.workers.stop(worker, command))
        except WorkerError as error:
            log.warning("Can't stop an attempt on worker %s: %s", worker, error.detail)
            return None
        self.observation(worker).leases.pop(command.attempt, None)
        return progress_seconds

    async def _poll(self, due: list[WorkerId], gangs: list[Gang], epoch: Epoch):
        renewals = self._renewals(gangs)
        calls = []
        for worker in due:
            calls.append(self._poll_one(worker, renewals.get(worker, []), epoch))
        await asyncio.gather(*calls)

    async def _poll_one(self, worker: WorkerId, renewals: list[Renewal], epoch: Epoch):
        observation = self.observation(worker)
        requested_at = monotonic()
        observation.last_polled_at = requested_at
        # Don't extend leases at an unreachable worker: each extension, even one that is
        # lost, would put off the time at which the lease has surely lapsed.
        command = Renew(renewals if observation.reachable else [], epoch)
        if command.renewals:
            observation.last_extension_wall = self.clock.wall()
        try:
            report = await self.call(self.workers.renew(worker, command))
        except WorkerError as error:
            if observation.reachable:
                log.warning("Worker %s is unreachable: %s", worker, error.detail)
            observation.reachable = False
            return
        observation.reachable = True
        observation.report_requested_at = requested_at
        observation.leases = {lease.attempt: lease for lease in report.leases}

    def _renewals(self, gangs: list[Gang]) -> dict[WorkerId, list[Renewal]]:
        """Return the lease renewals of running gangs, by worker."""
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

    def _known_workers(self, gangs: list[Gang]) -> list[WorkerId]:
        known = set(self.listed)
        for gang in gangs:
            known.update(slot.worker for slot in gang.row.placement)
        return sorted(known)

    def _exclude_workers_with_unknown_attempts(
        self, inventory: Inventory, known_attempts: set[AttemptId]
    ):
        """Mark workers that hold leases of unknown attempts as unusable."""
        for worker, observation in self.observations.items():
            capacity = inventory.capacities.get(worker)
            if capacity is None:
                continue
            for lease in observation.leases.values():
                if lease.attempt not in known_attempts:
                    capacity.usable = False
