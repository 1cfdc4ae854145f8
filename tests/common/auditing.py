"""Audit that nothing of an account runs after its certificate was issued."""

import asyncio

from common.hosts import ACCOUNT, AREQUIPA, LIMA, HostCluster
from zinniatrestle.retirement import Proof
from zinniatrestle.store.messages import LeaseState

ACTIVE = frozenset({LeaseState.RESERVED, LeaseState.RUNNING})
SAMPLE_SECONDS = 0.05


class Auditor:
    """Samples what runs for an account and records violations of its certificate.

    Work of the incarnation that is seen, or was started, after the certificate was
    issued is a violation.
    """

    def __init__(self, cluster: HostCluster, incarnation: int):
        self.cluster = cluster
        self.incarnation = incarnation
        self.issued_at: float | None = None
        self.violations: list[str] = []

    async def watch(self):
        while True:
            self.sample()
            await asyncio.sleep(SAMPLE_SECONDS)

    def mark_issued(self):
        if self.issued_at is None:
            self.issued_at = self.cluster.clock.wall()
        self.sample()

    def sample(self):
        if self.issued_at is None:
            return
        for state in self.cluster.platform.workers.states.values():
            for lease in state.report().leases:
                if lease.incarnation != self.incarnation:
                    continue
                if lease.state in ACTIVE:
                    self.violations.append(f"{state.worker} runs {lease.job}")
        for minion, running in self.cluster.minions.running_on.items():
            for run in running:
                if run.account == ACCOUNT:
                    self.violations.append(f"{minion} runs {run.attempt}")
        for run in self.cluster.minions.runs:
            if run.started > self.issued_at:
                self.violations.append(
                    f"{run.attempt} started after the certificate was issued"
                )


async def start_audited_cluster(domains=(LIMA, AREQUIPA), plan=None, **sizes):
    cluster = await HostCluster.start(list(domains), plan, **sizes)
    host = next(iter(cluster.hosts.values()))
    incarnation = host.follower.state.accounts[ACCOUNT].incarnation
    auditor = Auditor(cluster, incarnation)
    watching = asyncio.create_task(auditor.watch())
    auditor.watching = watching
    return cluster, auditor


async def wait_for_certificate(cluster, auditor, host: str, seconds: float) -> Proof:
    deadline = asyncio.get_running_loop().time() + seconds
    while True:
        proof = await cluster.prove(host)
        if proof.sealed is not None:
            auditor.mark_issued()
            return proof
        assert asyncio.get_running_loop().time() < deadline, proof.open
        await asyncio.sleep(0.2)


def open_part_names(proof: Proof) -> set[str]:
    return {part.name for part in proof.open}
