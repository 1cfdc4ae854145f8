"""Migrate waiting jobs to failure domains that can run them sooner."""

from zinniatrestle.clock import Clock
from zinniatrestle.configuration import ConfigurationFollower
from zinniatrestle.configuration.messages import DomainState
from zinniatrestle.gangs.job_store import JobReader, SchedulerJobStore
from zinniatrestle.gangs.messages import DomainSummary
from zinniatrestle.gangs.state import Gang, GangTable
from zinniatrestle.ids import FailureDomainId
from zinniatrestle.logs import ComponentLog

MIGRATION_INTERVAL_SECONDS = 5.0
MIGRATE_AFTER_SECONDS = 60.0
MAX_MIGRATIONS_AT_ONCE = 20
MAX_SUMMARY_AGE_SECONDS = 30.0

log = ComponentLog("gangs")


class JobMigrator:
    """Migrate jobs that wait for long, or whose failure domain is out of service."""

    def __init__(
        self,
        job_store: SchedulerJobStore,
        gang_table: GangTable,
        follower: ConfigurationFollower,
        clock: Clock,
    ):
        self.job_store = job_store
        self.reader = JobReader(job_store.table)
        self.gang_table = gang_table
        self.follower = follower
        self.clock = clock
        self.migrated_wall = 0.0

    async def migrate(self):
        """Migrate jobs, at most once per `MIGRATION_INTERVAL_SECONDS`."""
        now = self.clock.wall()
        if now - self.migrated_wall < MIGRATION_INTERVAL_SECONDS:
            return
        domain_out = self._is_out(self.job_store.domain)
        candidates = []
        for gang in self.gang_table.queued():
            if domain_out or now - gang.row.queued >= MIGRATE_AFTER_SECONDS:
                candidates.append(gang)
        if not candidates:
            return
        self.migrated_wall = now
        domains = {
            domain for gang in candidates for domain in self._other_domains(gang)
        }
        spare = _spare_accelerators(await self.reader.summaries(domains), now)
        for gang in candidates[:MAX_MIGRATIONS_AT_ONCE]:
            target = self._target(gang, spare, domain_out)
            if target is None:
                continue
            await self.job_store.reassign(gang, target)
            self.gang_table.drop(gang.row.job)
            log.info("Job %s migrated to failure domain %s.", gang.row.job, target)

    def _target(
        self, gang: Gang, spare: dict[FailureDomainId, float], domain_out: bool
    ) -> FailureDomainId | None:
        """Return the domain with the most spare capacity and deduct the gang."""
        others = [domain for domain in self._other_domains(gang) if domain in spare]
        if not others:
            return None
        best = max(others, key=lambda domain: spare[domain])
        if spare[best] < gang.accelerator_equivalent and not domain_out:
            return None
        spare[best] -= gang.accelerator_equivalent
        return best

    def _other_domains(self, gang: Gang) -> list[FailureDomainId]:
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


def _spare_accelerators(
    summaries: dict[FailureDomainId, DomainSummary], now: float
) -> dict[FailureDomainId, float]:
    """Return the free accelerators less those that waiting gangs want, by domain.

    Domains whose summary is older than `MAX_SUMMARY_AGE_SECONDS` are left out.
    """
    spare = {}
    for domain, summary in summaries.items():
        if now - summary.wall <= MAX_SUMMARY_AGE_SECONDS:
            spare[domain] = summary.accelerators_free - summary.accelerators_wanted
    return spare
