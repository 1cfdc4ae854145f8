"""Views of an entry host for the operators' API."""

from zinniatrestle.burn import merge
from zinniatrestle.configuration.messages import AccountState
from zinniatrestle.entry.host import EntryHost
from zinniatrestle.errors import ResultCode
from zinniatrestle.gangs.job_store import JobReader
from zinniatrestle.ids import FailureDomainId
from zinniatrestle.operators.messages import (
    AccountView,
    ConfigurationView,
    HostStatus,
    HostView,
    MinionView,
    RefusalView,
    ReportView,
    StatusView,
)


def configuration_view(host: EntryHost) -> ConfigurationView:
    """Return the configuration in force."""
    state = host.follower.require()
    return ConfigurationView(
        state.revision,
        list(state.templates.values()),
        [AccountView.of(record) for record in state.accounts.values()],
        list(state.domains.values()),
    )


def status_view(host: EntryHost) -> StatusView:
    """Return the revision in force on each host."""
    accepted = host.follower.state.revision
    settings = host.settings
    hosts = [
        HostStatus(host.identity.host, host.identity.domain, host.state.value, accepted)
    ]
    for name, peer in sorted(host.mesh.peers.items()):
        revision = peer.heartbeat.revision if peer.heartbeat else 0
        accepted = max(accepted, revision)
        standing = peer.state.value
        hosts.append(HostStatus(name, peer.address.domain, standing, revision))
    everywhere = all(entry.revision == accepted for entry in hosts)
    age = host.clock.wall() - host.follower.confirmed_wall
    hosts.sort(key=lambda entry: (entry.host != settings.host, entry.host))
    return StatusView(accepted, round(age, 3), hosts, everywhere)


def host_view(host: EntryHost, metrics: dict[str, float]) -> HostView:
    """Return a host's minions, refusals and metrics."""
    minions = []
    for name, minion in sorted(host.pool.minions.items()):
        minions.append(
            MinionView(
                name,
                minion.address.service,
                minion.state.value,
                minion.in_use,
                host.pool.limit(name),
            )
        )
    return HostView(
        host.identity.host,
        host.state.value,
        minions,
        refusals(host),
        metrics,
    )


def refusals(host: EntryHost) -> list[RefusalView]:
    """Return what a host currently refuses, and why."""
    refused = []
    domain = host.identity.domain
    refusal = host.scheduler.permit_issuer.refusal(domain)
    if refusal is not None:
        refused.append(
            RefusalView(
                f"starts of gangs in {domain}",
                refusal.value,
                ResultCode.DOMAIN_OUT,
            )
        )
    age = host.clock.wall() - host.follower.confirmed_wall
    for account, plan in sorted(host.follower.state.plans.items()):
        record = host.follower.state.accounts[account]
        if record.state is not AccountState.ACTIVE:
            continue
        if age > plan.offline_grace_seconds:
            reason = f"configuration not confirmed for {age:.0f} s"
            refused.append(
                RefusalView(
                    f"all requests of {account}",
                    reason,
                    ResultCode.ACCOUNT_UNCONFIRMED,
                )
            )
    if host.claims.failing:
        refused.append(
            RefusalView(
                "at-most-once requests",
                "the store does not accept claims",
                ResultCode.CLAIMS_UNAVAILABLE,
            )
        )
    return refused


async def report_view(host: EntryHost) -> ReportView:
    """Return the burn report of all hosts and the summaries of all domains."""
    burns, missing = await host.mesh.host_burns()
    burn = merge(host.follower.require(), burns, missing)
    domains = {FailureDomainId(host.settings.domain)}
    domains.update(peer.address.domain for peer in host.mesh.peers.values())
    summaries = await JobReader(host.platform.table).summaries(sorted(domains))
    return ReportView(burn, [summaries[name] for name in sorted(summaries)])
