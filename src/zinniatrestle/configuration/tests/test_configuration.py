"""Tests of the configuration under races, lost answers, outages and partitions."""

import asyncio
import random

import pytest
from common.hosts import ACCOUNT, AREQUIPA, LIMA, HostCluster, default_plan, wait_until
from common.virtual import run
from hypothesis import given, settings
from hypothesis import strategies as st

from zinniatrestle.configuration.messages import (
    ApplyAccount,
    ChangeAccount,
    DomainState,
    Parameter,
    PutTemplate,
    RetireAccount,
    SetDomain,
    Template,
)
from zinniatrestle.configuration.templates import build_plan, read_template
from zinniatrestle.errors import (
    ConfigurationError,
    ConflictError,
    GuaranteeError,
    NotFoundError,
    PlatformError,
    TemplateError,
)
from zinniatrestle.ids import (
    ClientAccountId,
    FailureDomainId,
    Revision,
    TemplateName,
    new_operation_token,
)

PROPAGATION_SECONDS = 4.0


class RevisionMonitor:
    """Sample the revision applied on each host and record decreases."""

    def __init__(self, cluster: HostCluster):
        self.cluster = cluster
        self.highest: dict[tuple[str, str], int] = {}
        self.reversals: list[str] = []

    async def watch(self):
        while True:
            for name, host in list(self.cluster.hosts.items()):
                host_boot = (name, host.identity.boot)
                revision = host.follower.state.revision
                if revision < self.highest.get(host_boot, 0):
                    self.reversals.append(f"{name} went back to revision {revision}")
                self.highest[host_boot] = max(revision, self.highest.get(host_boot, 0))
            await asyncio.sleep(0.02)


def test_only_one_of_concurrent_changes_to_an_entity_is_accepted():
    async def scenario():
        cluster = await HostCluster.start([LIMA])
        seen = cluster.hosts["lima-1"].follower.state.accounts[ACCOUNT].revision
        outcomes = await asyncio.gather(
            *[
                host.changes.submit(RetireAccount(ACCOUNT), new_operation_token(), seen)
                for host in cluster.hosts.values()
            ],
            return_exceptions=True,
        )
        accepted = [outcome for outcome in outcomes if isinstance(outcome, int)]
        refused = [o for o in outcomes if isinstance(o, (ConflictError, NotFoundError))]
        assert len(accepted) == 1 and len(refused) == len(outcomes) - 1

    run(scenario())


def test_concurrent_changes_to_different_entities_are_all_accepted():
    async def scenario():
        cluster = await HostCluster.start([LIMA, AREQUIPA])
        hosts = list(cluster.hosts)
        changes = []
        for number in range(30):
            change = SetDomain(FailureDomainId(f"d{number}"), DomainState.OUT)
            changes.append(cluster.change(change, hosts[number % len(hosts)]))
        revisions = await asyncio.gather(*changes)
        assert len(set(revisions)) == 30

    run(scenario())


def test_commit_with_a_lost_answer_is_read_back():
    async def scenario():
        cluster = await HostCluster.start([LIMA])
        before = cluster.hosts["lima-1"].follower.state.revision
        cluster.faults.lose_answers = True
        revision = await cluster.change(SetDomain(LIMA, DomainState.OUT))
        assert revision == before + 1

    run(scenario())


def test_outage_right_after_the_commit_does_not_fail_the_change():
    async def scenario():
        cluster = await HostCluster.start([LIMA])
        change_service = cluster.hosts["lima-1"].changes
        before = change_service.follower.state.revision
        commit = change_service.table.commit

        async def commit_then_fail(transaction):
            committed = await commit(transaction)
            cluster.faults.outage = True
            return committed

        change_service.table = TableWithCommitHook(
            change_service.table, commit_then_fail
        )
        change = SetDomain(LIMA, DomainState.OUT)
        revision = await change_service.submit(change, new_operation_token())
        assert revision == before + 1
        assert change_service.follower.state.domain_state(LIMA) is DomainState.OUT

    run(scenario())


class TableWithCommitHook:
    """A table store whose commits go through a given function."""

    def __init__(self, inner, commit):
        self.inner = inner
        self.commit = commit

    def __getattr__(self, name: str):
        return getattr(self.inner, name)


def test_repeated_operation_token_returns_the_same_revision():
    async def scenario():
        cluster = await HostCluster.start([LIMA])
        token = new_operation_token()
        change = SetDomain(LIMA, DomainState.OUT)
        first = await cluster.hosts["lima-1"].changes.submit(change, token)
        again = await cluster.hosts["lima-2"].changes.submit(change, token)
        assert first == again

    run(scenario())


def test_outage_refuses_changes_and_changes_nothing():
    async def scenario():
        cluster = await HostCluster.start([LIMA])
        before = cluster.hosts["lima-1"].follower.state.revision
        cluster.faults.outage = True
        with pytest.raises(PlatformError):
            await cluster.change(SetDomain(LIMA, DomainState.OUT))
        cluster.faults.outage = False
        await asyncio.sleep(3)
        assert cluster.hosts["lima-2"].follower.state.revision == before

    run(scenario())


def test_change_is_applied_on_all_hosts_within_four_seconds():
    async def scenario():
        cluster = await HostCluster.start([LIMA, AREQUIPA], hosts=4)
        for number in range(20):
            state = DomainState.OUT if number % 2 else DomainState.IN
            revision = await cluster.change(SetDomain(LIMA, state))
            await wait_until(
                lambda wanted=revision: all(
                    host.follower.state.revision >= wanted
                    for host in cluster.hosts.values()
                ),
                PROPAGATION_SECONDS,
            )

    run(scenario())


def test_host_far_behind_loads_a_snapshot():
    async def scenario():
        cluster = await HostCluster.start([LIMA])
        cluster.faults.cut_hosts = ["lima-2"]
        cluster.cut("lima-1", "lima-2")
        for number in range(600):
            domain = FailureDomainId(f"d{number % 5}")
            state = DomainState.OUT if number % 2 else DomainState.IN
            await cluster.change(SetDomain(domain, state), "lima-1")
        behind = cluster.hosts["lima-2"].follower.state
        ahead = cluster.hosts["lima-1"].follower.state
        assert behind.revision < ahead.revision
        cluster.faults.cut_hosts = []
        await wait_until(lambda: behind.revision == ahead.revision, PROPAGATION_SECONDS)
        assert behind.domains == ahead.domains

    run(scenario())


EVENTS = st.sampled_from(["change", "kill", "cut", "heal", "outage", "lose", "wait"])


@settings(max_examples=25, deadline=None, derandomize=True, database=None)
@given(seed=st.integers(0, 10_000), events=st.lists(EVENTS, min_size=5, max_size=25))
def test_accepted_changes_never_revert(seed, events):
    run(changing_history(seed, events))


async def changing_history(seed: int, events: list[str]):
    rng = random.Random(seed)
    cluster = await HostCluster.start([LIMA, AREQUIPA])
    monitor = RevisionMonitor(cluster)
    monitoring = asyncio.create_task(monitor.watch())
    accepted: dict[int, str] = {}
    for number, event in enumerate(events):
        names = list(cluster.hosts)
        match event:
            case "change":
                await try_change(cluster, rng.choice(names), number, accepted)
            case "kill":
                name = rng.choice(names)
                await cluster.kill(name)
                await cluster.boot(name)
            case "cut":
                cluster.faults.cut_hosts = [rng.choice(names)]
                cluster.cut(*rng.sample(list(cluster.domain_by_host), 2))
            case "heal":
                cluster.faults.cut_hosts = []
                for host in cluster.domain_by_host:
                    for other in cluster.domain_by_host:
                        if host != other:
                            cluster.heal(host, other)
            case "outage":
                cluster.faults.outage = not cluster.faults.outage
            case "lose":
                cluster.faults.lose_answers = not cluster.faults.lose_answers
            case "wait":
                await asyncio.sleep(rng.choice([0.1, 2.0]))
    cluster.faults.cut_hosts = []
    cluster.faults.outage = False
    cluster.faults.lose_answers = False
    await asyncio.sleep(PROPAGATION_SECONDS)
    monitoring.cancel()
    assert monitor.reversals == []
    for host in cluster.hosts.values():
        state = host.follower.state
        for revision, domain in accepted.items():
            assert state.revision >= revision
            assert domain in state.domains


async def try_change(cluster, host: str, number: int, accepted: dict[int, str]):
    domain = FailureDomainId(f"d{number}")
    try:
        revision = await cluster.change(SetDomain(domain, DomainState.OUT), host)
    except (PlatformError, ConfigurationError):
        return
    assert revision not in accepted
    accepted[revision] = domain


def test_older_snapshots_and_changes_are_ignored():
    async def scenario():
        cluster = await HostCluster.start([LIMA])
        follower = cluster.hosts["lima-1"].follower
        old = follower.state.snapshot()
        old_changes = list(follower.recent_changes.values())
        revision = await cluster.change(SetDomain(LIMA, DomainState.OUT))
        follower.apply_from_peer(old_changes, old)
        assert follower.state.revision == revision
        assert follower.state.domain_state(LIMA) is DomainState.OUT

    run(scenario())


def test_monitor_detects_a_planted_reversal():
    async def scenario():
        cluster = await HostCluster.start([LIMA])
        monitor = RevisionMonitor(cluster)
        monitoring = asyncio.create_task(monitor.watch())
        await asyncio.sleep(0.1)
        cluster.hosts["lima-1"].follower.state.revision = Revision(0)
        await asyncio.sleep(0.1)
        monitoring.cancel()
        assert monitor.reversals

    run(scenario())


def test_guarantee_beyond_the_capacity_is_refused():
    async def scenario():
        cluster = await HostCluster.start([LIMA], workers=4)
        guarantee = {"domain": LIMA, "cell": "worker", "count": 3}
        plan = default_plan([LIMA], guarantees=[guarantee])
        await cluster.apply_account(ClientAccountId("first"), plan)
        with pytest.raises(GuaranteeError):
            await cluster.apply_account(ClientAccountId("second"), plan)
        assert "second" not in cluster.hosts["lima-1"].follower.state.accounts

    run(scenario())


def test_longest_grace_is_kept_when_the_template_shortens_it():
    async def scenario():
        cluster = await HostCluster.start([LIMA])
        name = TemplateName(f"for-{ACCOUNT}")
        shorter = default_plan([LIMA], offline_grace_seconds=1.0)
        await cluster.change(PutTemplate(Template(name, shorter)))
        await cluster.change(ChangeAccount(ACCOUNT, {}))
        await asyncio.sleep(2)
        for host in cluster.hosts.values():
            assert host.follower.state.longest_grace(ACCOUNT) == 20.0

    run(scenario())


@pytest.mark.parametrize(
    "text",
    [
        "name = 'x",
        "name = 'x'",
        "name = 'x'\n[plan]\ndomains = []",
        "name = 'x'\n[plan]\ndomains = ['a']\noffline_grace_seconds = 0",
        "name = 'x'\n[plan]\ndomains = ['a']\nunknown = 1",
        "name = 'x'\n[plan]\ndomains = ['a']\nslot_share = '$gap'",
        "name = 'x'\n[plan]\ndomains = ['a']\n"
        "[[plan.guarantees]]\ndomain = 'b'\ncell = 'worker'\ncount = 1",
    ],
)
def test_invalid_template_is_refused(text):
    with pytest.raises(TemplateError):
        build_plan(read_template(text), {})


def test_parameters_replace_placeholders():
    plan = {"domains": ["a"], "slot_share": "$share"}
    template = Template(TemplateName("t"), plan, {"share": Parameter("a share")})
    assert build_plan(template, {"share": 3}).slot_share == 3
    with pytest.raises(TemplateError):
        build_plan(template, {})
    with pytest.raises(TemplateError):
        build_plan(template, {"share": 3, "other": 1})


def test_recreated_account_has_a_new_incarnation():
    async def scenario():
        cluster = await HostCluster.start([LIMA])
        state = cluster.hosts["lima-1"].follower.state
        first = state.accounts[ACCOUNT].incarnation
        await cluster.change(RetireAccount(ACCOUNT))
        name = state.accounts[ACCOUNT].template
        await cluster.change(ApplyAccount(ACCOUNT, name, "another-digest"))
        assert state.accounts[ACCOUNT].incarnation > first

    run(scenario())
