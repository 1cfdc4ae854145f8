"""Move waiting jobs to failure domains that can run them sooner."""

from zinniatrestle.clock import Clock
from zinniatrestle.configuration import ConfigurationFollower
from zinniatrestle.configuration.messages import DomainState
from zinniatrestle.gangs.job_store import JobReader, SchedulerJobStore
from zinniatrestle.gangs.messages import DomainSummary
from zinniatrestle.gangs.state import Gang, GangTable
from zinniatrestle.ids import FailureDomainId
from zinniatrestle.logs import ComponentLog

MOVE_SECONDS = 5.0
MOVE_AFTER_SECONDS = 60.0
MOVES_AT_ONCE = 20
FRESH_SECONDS = 30.0

log = ComponentLog("gangs")


class JobMigrator:
    """Hand jobs over when their failure domain is out or has no room for long."""

    def __init__(
        self,
        job_store: SchedulerJobStore,
        table: GangTable,
        follower: ConfigurationFollower,
        clock: Clock,
    ):
        self.job_store = job_store
        self.reader = JobReader(job_store.table)
        self.table = table
        self.follower = follower
        self.clock = clock
        self.moved_at = 0.0

    async def move(self):
        """Move what waits without prospect, at most every `MOVE_SECONDS`."""
        now = self.clock.wall()
        if now - self.moved_at < MOVE_SECONDS:
            return
        out = self._is_out(self.job_store.domain)
        candidates = []
        for gang in self.table.queued():
            if out or now - gang.row.queued >= MOVE_AFTER_SECONDS:
                candidates.append(gang)
        if not candidates:
            return
        self.moved_at = now
        domains = {domain for gang in candidates for domain in self._others(gang)}
        room = _room_of(await self.reader.summaries(domains), now)
        for gang in candidates[:MOVES_AT_ONCE]:
            target = self._target(gang, room, out)
            if target is None:
                continue
            await self.job_store.move(gang, target)
            self.table.drop(gang.row.job)
            log.info("Job %s moves to %s.", gang.row.job, target)

    def _target(
        self, gang: Gang, room: dict[FailureDomainId, float], out: bool
    ) -> FailureDomainId | None:
        """Return the failure domain with most room left, and use it up."""
        others = [domain for domain in self._others(gang) if domain in room]
        if not others:
            return None
        best = max(others, key=lambda domain: room[domain])
        if room[best] < gang.accelerator_equivalent and not out:
            return None
        room[best] -= gang.accelerator_equivalent
        return best

    def _others(self, gang: Gang) -> list[FailureDomainId]:
        plan = self.follower.state.plans.get(gang.row.account)
        if plan is None:
            return []
        others = []
        for domain in gang.row.spec.domains or plan.domains:
            if domain not in plan.domains or domain == self.job_store.domain:
                continue
            if not self._is_out(domain):
                others.append(domain)
        return others

    def _is_out(self, domain: FailureDomainId) -> bool:
        return self.follower.state.domain_state(domain) is DomainState.OUT


def _room_of(
    summaries: dict[FailureDomainId, DomainSummary], now: float
) -> dict[FailureDomainId, float]:
    """Return free accelerators less those wanted, where the summary is fresh."""
    room = {}
    for domain, summary in summaries.items():
        if now - summary.wall <= FRESH_SECONDS:
            room[domain] = summary.accelerators_free - summary.accelerators_wanted
    return room
