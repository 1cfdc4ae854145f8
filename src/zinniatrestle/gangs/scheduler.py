"""Scheduler of one failure domain's gangs, active while this host holds its lease."""

import asyncio

from zinniatrestle.clock import Clock, monotonic, wait_for_event
from zinniatrestle.configuration import ConfigurationFollower
from zinniatrestle.domains import PermitIssuer
from zinniatrestle.errors import LeaseLostError, PlatformError
from zinniatrestle.gangs.fleet import Fleet
from zinniatrestle.gangs.guarantees import Binding, bind, demands_of
from zinniatrestle.gangs.job_store import SchedulerJobStore
from zinniatrestle.gangs.messages import DomainSummary, InboxAction, JobState
from zinniatrestle.gangs.migration import JobMigrator
from zinniatrestle.gangs.planner import Planner, RoundInput
from zinniatrestle.gangs.reconciliation import GangReconciler
from zinniatrestle.gangs.starting import GangStarter
from zinniatrestle.gangs.state import Gang, GangTable
from zinniatrestle.ids import Epoch, FailureDomainId
from zinniatrestle.in_progress import InProgress
from zinniatrestle.logs import ComponentLog
from zinniatrestle.store import Platform
from zinniatrestle.store.leases import Lease, LeaseOwnership

ROUND_INTERVAL_SECONDS = 1.0
SUMMARY_INTERVAL_SECONDS = 5.0
POLL_PAUSE_SECONDS = 0.25
MAX_PLAN_AGE_SECONDS = 10.0

log = ComponentLog("scheduler")


class DomainScheduler:
    """Accept jobs, start and stop gangs, and record their outcome.

    All state is rebuilt from the job rows and the workers' leases whenever this host
    acquires the lease or a write is refused.
    """

    def __init__(
        self,
        domain: FailureDomainId,
        platform: Platform,
        lease: Lease,
        follower: ConfigurationFollower,
        permit_issuer: PermitIssuer,
        planner: Planner,
        in_progress: InProgress,
        clock: Clock,
    ):
        self.domain = domain
        self.platform = platform
        self.lease = lease
        self.follower = follower
        self.permit_issuer = permit_issuer
        self.planner = planner
        self.clock = clock
        self.job_store = SchedulerJobStore(platform.table, domain)
        self.gang_table = GangTable()
        self.fleet = Fleet(domain, platform, follower, clock)
        self.reconciler = GangReconciler(
            self.job_store, self.gang_table, self.fleet, follower, clock
        )
        self.starter = GangStarter(
            self.job_store,
            self.gang_table,
            self.fleet,
            lease,
            permit_issuer,
            in_progress,
            clock,
        )
        self.migrator = JobMigrator(self.job_store, self.gang_table, follower, clock)
        self.binding = Binding()
        self.epoch = Epoch(0)
        self.must_rebuild = True
        self.summarized_wall = 0.0
        self.last_plan_inputs: tuple[int, int, float] | None = None
        self.planned_at = 0.0
        self.wake = asyncio.Event()
        self.resigned = False
        self.round_lock = asyncio.Lock()

    async def run(self):
        """Run rounds and polls while the lease is held, until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._run_rounds())
            group.create_task(self._run_polls())

    async def resign(self):
        """Wait for the current round to end and run no more."""
        self.resigned = True
        async with self.round_lock:
            self.must_rebuild = True

    async def _run_rounds(self):
        while not self.resigned:
            if self.lease.ownership is LeaseOwnership.HELD:
                await self.serve_round()
            else:
                self.must_rebuild = True
            if await wait_for_event(self.wake, ROUND_INTERVAL_SECONDS):
                self.wake.clear()

    async def _run_polls(self):
        """Poll beside the rounds, so that a hanging worker delays no start."""
        while True:
            held = self.lease.ownership is LeaseOwnership.HELD
            if held and not self.must_rebuild and not self.resigned:
                await self.fleet.poll(self.gang_table.holding(), self.epoch)
            await asyncio.sleep(POLL_PAUSE_SECONDS)

    async def serve_round(self):
        """Run one round; after a failure, rebuild the state before the next."""
        try:
            async with self.round_lock:
                await self.round()
        except LeaseLostError as error:
            log.warning(
                "Round in %s aborted, lease lost or write refused: %s",
                self.domain,
                error.detail,
            )
            self.must_rebuild = True
        except PlatformError as error:
            log.warning(
                "Round in %s aborted, platform call failed: %s",
                self.domain,
                error.detail,
            )
            self.must_rebuild = True

    async def round(self):
        """Take new jobs, reconcile and migrate gangs, and start those that fit."""
        self.lease.require()
        await self.fleet.refresh()
        if self.must_rebuild or self.epoch != self.lease.epoch:
            await self._rebuild()
        await self._take_inbox()
        await self.reconciler.reconcile(self.epoch)
        await self.migrator.migrate()
        await self._plan_and_start()
        await self._summarize()

    async def _rebuild(self):
        """Load all state under a new epoch and recover unfinished starts."""
        epoch = self.lease.require()
        gangs = await self.job_store.take_over(epoch)
        self.gang_table.gangs.clear()
        for gang in gangs:
            self.gang_table.add(gang)
        self.epoch = epoch
        self.fleet.reset(epoch)
        await self.fleet.poll_all(self.gang_table.holding(), epoch)
        await self.starter.complete_or_roll_back(epoch)
        self.must_rebuild = False
        log.info(
            "Took over failure domain %s with %d jobs at epoch %d.",
            self.domain,
            len(gangs),
            epoch,
        )

    async def _take_inbox(self):
        while True:
            entries = await self.job_store.inbox()
            if not entries:
                return
            to_load = []
            for entry in entries:
                gang = self.gang_table.gangs.get(entry.job)
                if entry.action is InboxAction.CANCEL and gang is not None:
                    gang.cancelled = True
                    continue
                if gang is None:
                    to_load.append(entry.job)
            cancelled = {e.job for e in entries if e.action is InboxAction.CANCEL}
            for gang in await self.job_store.load(to_load):
                if gang.row.domain != self.domain or gang.ended:
                    continue
                gang.cancelled = gang.row.job in cancelled
                self.gang_table.add(gang)
            await self.reconciler.cancel_marked(self.epoch)
            await self.job_store.clear(entries)

    async def _plan_and_start(self):
        if self.permit_issuer.refusal(self.domain) is not None:
            return
        waiting = self.gang_table.queued()
        if not waiting or not self._must_replan():
            return
        state = self.follower.state
        workers = self.fleet.reclaimable_workers()
        self.binding = bind(demands_of(state, self.domain), workers, self.binding)
        now = self.clock.wall()
        running = self.gang_table.holding()
        round_input = RoundInput(
            inventory=self.fleet.inventory(running, now),
            binding=self.binding,
            state=state,
            running=running,
            waiting=waiting,
            now=now,
            admitted_share=self.permit_issuer.admitted_share(self.domain),
        )
        plan = self.planner.plan(round_input)
        await self.reconciler.suspend(plan.stops, self.epoch)
        # Start a relocated gang only if all its tasks have stopped.
        starts = []
        for order in plan.starts:
            if order.gang.row.state is JobState.QUEUED:
                starts.append(order)
        await self.starter.start(starts, self.epoch)

    def _must_replan(self) -> bool:
        """Return whether the inputs of the plan changed or the last plan is too old.

        Planning takes most of a round's time. Ageing changes the order even with the
        same inputs, but little within `MAX_PLAN_AGE_SECONDS`.
        """
        now = monotonic()
        share = self.permit_issuer.admitted_share(self.domain)
        plan_inputs = (self.gang_table.changes, self.follower.state.revision, share)
        if (
            plan_inputs == self.last_plan_inputs
            and now - self.planned_at < MAX_PLAN_AGE_SECONDS
        ):
            return False
        self.last_plan_inputs = plan_inputs
        self.planned_at = now
        return True

    async def _summarize(self):
        now = self.clock.wall()
        if now - self.summarized_wall < SUMMARY_INTERVAL_SECONDS:
            return
        self.summarized_wall = now
        await self.job_store.summarize(self.summary())

    def summary(self) -> DomainSummary:
        """Return the use of the failure domain and the demand for it."""
        now = self.clock.wall()
        running = self.gang_table.holding()
        inventory = self.fleet.inventory(running, now)
        waiting = self.gang_table.queued()
        return DomainSummary(
            domain=self.domain,
            wall=now,
            accelerators=inventory.accelerators,
            accelerators_free=inventory.accelerators_free,
            accelerators_wanted=sum(_accelerators_of(gang) for gang in waiting),
            cores=inventory.cores,
            cores_free=inventory.cores_free,
            cores_wanted=sum(_cores_of(gang) for gang in waiting),
            unusable=self._stranded_accelerators(inventory, waiting),
            running=len(running),
            queued=len(waiting),
            done=self.reconciler.jobs_done,
            service_done=self.reconciler.service_done,
            completion_mean=self.reconciler.completion_mean(),
        )

    def _stranded_accelerators(self, inventory, waiting: list[Gang]) -> int:
        """Return the free accelerators too fragmented for the largest waiting gang.

        The result is 0 if the gang fits or needs more than is free.
        """
        if not waiting:
            return 0
        largest = max(waiting, key=_accelerators_of)
        spec = largest.row.spec
        wanted = _accelerators_of(largest)
        if not wanted or wanted > inventory.accelerators_free:
            return 0
        placed = self.planner.placement.place(inventory, spec.tasks, spec.shape, None)
        return 0 if placed is not None else inventory.accelerators_free


def _accelerators_of(gang: Gang) -> int:
    return gang.row.spec.tasks * gang.row.spec.shape.accelerators


def _cores_of(gang: Gang) -> float:
    return gang.row.spec.tasks * gang.row.spec.shape.cores
