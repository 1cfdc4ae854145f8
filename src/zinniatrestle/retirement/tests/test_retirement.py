"""Tests that no work of an account runs after its certificate is issued."""

import asyncio

import pytest
from common.auditing import open_part_names, start_audited_cluster, wait_for_certificate
from common.hosts import (
    ACCOUNT,
    GRACE_SECONDS,
    LIMA,
    SERVICE,
    HostCluster,
    default_plan,
    wait_until,
)
from common.virtual import run

from zinniatrestle.configuration.messages import (
    ApplyAccount,
    PutTemplate,
    RetireAccount,
    Template,
)
from zinniatrestle.errors import (
    NotProvenError,
    ResultCode,
)
from zinniatrestle.gangs.messages import JobSpec, TaskShape
from zinniatrestle.ids import ClientAccountId, TemplateName
from zinniatrestle.peers.messages import Duty
from zinniatrestle.requests import Request
from zinniatrestle.retirement.messages import Basis, PartKind, digest
from zinniatrestle.standins.messages import WorkerFaults

EIGHT_ACCELERATORS = TaskShape(accelerators=8, cores=8.0, memory_gb=8.0)


def test_active_account_gets_no_certificate():
    async def scenario():
        cluster, _ = await start_audited_cluster()
        with pytest.raises(NotProvenError) as caught:
            await cluster.prove("lima-1")
        assert caught.value.code is ResultCode.NOT_RETIRED

    run(scenario())


def test_certificate_lists_the_report_of_every_part():
    async def scenario():
        cluster, auditor = await start_audited_cluster()
        spec = JobSpec(2, ["sleep", "500"], EIGHT_ACCELERATORS)
        await cluster.hosts["lima-1"].jobs.submit(ACCOUNT, spec, None)
        await cluster.request("lima-1")
        await asyncio.sleep(3)
        await cluster.change(RetireAccount(ACCOUNT))
        proof = await wait_for_certificate(cluster, auditor, "lima-1", 15)
        certificate = proof.sealed.certificate
        assert proof.sealed.sha256 == digest(certificate)
        names = {part.name for part in certificate.parts}
        assert set(cluster.domain_by_host) <= names
        assert set(cluster.platform.hosts.listed) <= names
        bases = {part.basis for part in certificate.parts}
        assert bases == {Basis.OWN_REPORT, Basis.TABLE}
        await asyncio.sleep(30)
        assert auditor.violations == []

    run(scenario())


def test_minion_with_a_running_attempt_keeps_the_proof_open():
    async def scenario():
        cluster, auditor = await start_audited_cluster()
        cluster.set_minion_faults(latency_seconds=40.0)
        call = asyncio.create_task(cluster.request("lima-1", "enrol", "k", timeout=1.0))
        await asyncio.sleep(1)
        await cluster.kill("lima-1")
        await cluster.boot("lima-1")
        await cluster.change(RetireAccount(ACCOUNT), "lima-2")
        await asyncio.sleep(GRACE_SECONDS + 5)
        proof = await cluster.prove("lima-2")
        kinds = {part.kind for part in proof.open}
        assert kinds == {PartKind.MINION}
        await wait_for_certificate(cluster, auditor, "lima-2", 30)
        call.cancel()
        assert auditor.violations == []

    run(scenario())


@pytest.mark.parametrize("kind", ["seat-check", "enrol"])
@pytest.mark.parametrize("turns", [1, 2, 3, 5, 8, 13])
def test_frozen_host_can_not_send_after_the_certificate(kind, turns):
    async def scenario():
        cluster, auditor = await start_audited_cluster()
        calls = []
        for number in range(4):
            call = cluster.request("lima-1", kind, f"k{number}", timeout=30.0)
            calls.append(asyncio.create_task(call))
        for _ in range(turns):
            await asyncio.sleep(0)
        cluster.gates["lima-1"].freeze()
        await cluster.change(RetireAccount(ACCOUNT), "arequipa-1")
        await asyncio.sleep(3)
        proof = await cluster.prove("arequipa-1")
        assert proof.sealed is None or not auditor.violations
        await wait_for_certificate(cluster, auditor, "arequipa-1", GRACE_SECONDS + 20)
        cluster.gates["lima-1"].thaw()
        await asyncio.sleep(40)
        assert auditor.violations == []
        for call in calls:
            call.cancel()

    run(scenario())


def test_cut_off_domain_serves_until_its_bound_and_never_after_the_certificate():
    async def scenario():
        cluster, auditor = await start_audited_cluster()
        lima = [name for name, where in cluster.domain_by_host.items() if where == LIMA]
        spec = JobSpec(2, ["sleep", "500"], EIGHT_ACCELERATORS, domains=[LIMA])
        await cluster.hosts["lima-1"].jobs.submit(ACCOUNT, spec, None)
        await asyncio.sleep(3)
        cluster.faults.cut_hosts = lima
        for one in lima:
            for other in cluster.domain_by_host:
                if other not in lima:
                    cluster.cut(one, other)
        cluster.views["arequipa-1"].workers.faults.update(
            {
                worker: WorkerFaults(unreachable=True)
                for worker in cluster.platform.workers.states
                if worker.startswith("lima")
            }
        )
        await cluster.change(RetireAccount(ACCOUNT), "arequipa-1")
        await asyncio.sleep(5)
        assert (await cluster.request("lima-1")).code is ResultCode.OK
        proof = await cluster.prove("arequipa-1")
        assert set(lima) <= open_part_names(proof)
        requests = asyncio.create_task(send_requests(cluster, "lima-1"))
        proof = await wait_for_certificate(
            cluster, auditor, "arequipa-1", GRACE_SECONDS + 20
        )
        bases = {part.basis for part in proof.sealed.certificate.parts}
        assert Basis.GRACE_PASSED in bases
        await asyncio.sleep(20)
        requests.cancel()
        assert auditor.violations == []

    run(scenario())


async def send_requests(cluster: HostCluster, host: str):
    while True:
        await cluster.request(host, timeout=1.0)
        await asyncio.sleep(0.1)


def test_worker_that_reconnects_has_ended_its_tasks():
    async def scenario():
        cluster, auditor = await start_audited_cluster(domains=(LIMA,))
        spec = JobSpec(2, ["sleep", "500"], EIGHT_ACCELERATORS)
        job = (await cluster.hosts["lima-1"].jobs.submit(ACCOUNT, spec, None)).job
        await asyncio.sleep(3)
        row = await cluster.hosts["lima-1"].jobs.status(ACCOUNT, job)
        lost_worker = row.placement[0].worker
        for view in cluster.views.values():
            view.workers.faults[lost_worker] = WorkerFaults(unreachable=True)
        await cluster.change(RetireAccount(ACCOUNT))
        await asyncio.sleep(3)
        proof = await cluster.prove("lima-1")
        assert lost_worker in open_part_names(proof)
        await wait_for_certificate(cluster, auditor, "lima-1", GRACE_SECONDS + 20)
        for view in cluster.views.values():
            view.workers.faults.clear()
        await asyncio.sleep(10)
        assert auditor.violations == []

    run(scenario())


def test_minion_missing_from_the_host_list_is_still_queried():
    async def scenario():
        cluster, auditor = await start_audited_cluster(domains=(LIMA,), minions=1)
        cluster.set_minion_faults(latency_seconds=30.0)
        call = asyncio.create_task(cluster.request("lima-1", timeout=29.0))
        await asyncio.sleep(1)
        minion = f"{LIMA}-{SERVICE}-0"
        del cluster.platform.hosts.listed[minion]
        await asyncio.sleep(2)
        await cluster.change(RetireAccount(ACCOUNT))
        await asyncio.sleep(3)
        proof = await cluster.prove("lima-2")
        assert minion in open_part_names(proof)
        await wait_for_certificate(cluster, auditor, "lima-2", 60)
        call.cancel()
        assert auditor.violations == []

    run(scenario())


def test_host_that_restarts_from_a_lagging_peer_keeps_the_proof_open():
    async def scenario():
        cluster, auditor = await start_audited_cluster(domains=(LIMA,), hosts=3)
        cluster.faults.cut_hosts = ["lima-3"]
        cluster.cut("lima-3", "lima-1")
        cluster.cut("lima-3", "lima-2")
        await asyncio.sleep(4)
        await cluster.change(RetireAccount(ACCOUNT), "lima-1")
        cluster.faults.cut_hosts = ["lima-2", "lima-3"]
        await cluster.kill("lima-2")
        await cluster.boot("lima-2")
        cluster.cut("lima-2", "lima-1")
        cluster.heal("lima-2", "lima-3")
        await wait_until(lambda: cluster.hosts["lima-2"].follower.state.revision > 0, 4)
        served = await cluster.request("lima-2")
        proof = await cluster.prove("lima-1")
        assert {"lima-2", "lima-3"} <= open_part_names(proof)
        assert served.code is ResultCode.OK
        await wait_for_certificate(cluster, auditor, "lima-1", GRACE_SECONDS + 20)
        assert (await cluster.request("lima-2")).code is not ResultCode.OK
        assert auditor.violations == []

    run(scenario())


def test_host_that_restarts_stale_between_queries_keeps_the_proof_open():
    async def scenario():
        cluster, auditor = await start_audited_cluster(domains=(LIMA,), hosts=3)
        cluster.faults.cut_hosts = ["lima-3"]
        cluster.cut("lima-3", "lima-2")
        lagging = cluster.hosts["lima-3"]
        # The lagging host must not learn of the retirement from heartbeats.
        lagging.mesh.on_heartbeat = lambda peer: None
        await cluster.change(RetireAccount(ACCOUNT), "lima-1")
        await asyncio.sleep(1)
        answers = asyncio.Event()
        serve = lagging.mesh.serve

        async def hold_evidence(duty, body):
            if duty is Duty.EVIDENCE:
                await answers.wait()
            return await serve(duty, body)

        lagging.mesh.serve = hold_evidence
        proving = asyncio.create_task(cluster.prove("lima-1"))
        await asyncio.sleep(0.1)
        cluster.faults.cut_hosts = ["lima-2", "lima-3"]
        await cluster.kill("lima-2")
        await cluster.boot("lima-2")
        restarted = cluster.hosts["lima-2"]
        cluster.cut("lima-2", "lima-1")
        cluster.heal("lima-2", "lima-3")
        await wait_until(lambda: restarted.follower.state.revision > 0, 1.4)
        cluster.faults.cut_hosts = ["lima-2"]
        cluster.cut("lima-2", "lima-3")
        restarted.mesh.on_heartbeat = lambda peer: None
        await wait_until(
            lambda: lagging.follower.state.revision > restarted.follower.state.revision,
            1.5,
        )
        answers.set()
        proof = await proving
        assert (await cluster.request("lima-2")).code is ResultCode.OK
        assert proof.sealed is None
        assert auditor.violations == []

    run(scenario())


def test_request_that_waits_for_a_slot_keeps_the_proof_open():
    async def scenario():
        cluster, auditor = await start_audited_cluster(
            domains=(LIMA,), hosts=1, minions=1
        )
        other = ClientAccountId("other")
        await cluster.apply_account(other, default_plan([LIMA]))
        cluster.set_minion_faults(latency_seconds=8.0)
        busy = []
        for _ in range(8):
            request = Request(other, SERVICE, "seat-check", b"{}", 20.0)
            handler = cluster.hosts["lima-1"].handler
            busy.append(asyncio.create_task(handler.handle(request)))
        await asyncio.sleep(0.1)
        waiting = asyncio.create_task(cluster.request("lima-1", timeout=19.0))
        await asyncio.sleep(0.1)
        await cluster.change(RetireAccount(ACCOUNT))
        await asyncio.sleep(3)
        assert "lima-1" in open_part_names(await cluster.prove("lima-1"))
        await wait_for_certificate(cluster, auditor, "lima-1", 30)
        await asyncio.gather(waiting, *busy)
        assert auditor.violations == []

    run(scenario())


def test_leases_at_a_worker_that_gets_no_stop_are_not_renewed():
    async def scenario():
        cluster, auditor = await start_audited_cluster(domains=(LIMA,), hosts=1)
        spec = JobSpec(1, ["sleep", "5000"], EIGHT_ACCELERATORS)
        job = (await cluster.hosts["lima-1"].jobs.submit(ACCOUNT, spec, None)).job
        await asyncio.sleep(3)
        row = await cluster.hosts["lima-1"].jobs.status(ACCOUNT, job)
        deaf_worker = row.placement[0].worker
        faults = WorkerFaults(deaf_to=["stop", "report"])
        cluster.views["lima-1"].workers.faults[deaf_worker] = faults
        await cluster.change(RetireAccount(ACCOUNT))
        await wait_for_certificate(cluster, auditor, "lima-1", GRACE_SECONDS + 20)
        await asyncio.sleep(10)
        assert auditor.violations == []

    run(scenario())


def test_shorter_grace_does_not_shorten_the_bound_of_a_cut_off_host():
    async def scenario():
        cluster, auditor = await start_audited_cluster(domains=(LIMA,))
        cluster.faults.cut_hosts = ["lima-2"]
        cluster.cut("lima-1", "lima-2")
        await asyncio.sleep(1)
        name = TemplateName(f"for-{ACCOUNT}")
        shorter = default_plan([LIMA], offline_grace_seconds=1.0)
        await cluster.change(PutTemplate(Template(name, shorter)), "lima-1")
        await cluster.change(RetireAccount(ACCOUNT), "lima-1")
        await asyncio.sleep(5)
        assert (await cluster.request("lima-2")).code is ResultCode.OK
        proof = await cluster.prove("lima-1")
        assert proof.sealed is None
        requests = asyncio.create_task(send_requests(cluster, "lima-2"))
        await wait_for_certificate(cluster, auditor, "lima-1", GRACE_SECONDS + 20)
        await asyncio.sleep(10)
        requests.cancel()
        assert auditor.violations == []

    run(scenario())


def test_certificate_is_issued_once_though_provers_race_and_answers_are_lost():
    async def scenario():
        cluster, _ = await start_audited_cluster()
        await cluster.change(RetireAccount(ACCOUNT))
        await asyncio.sleep(3)
        cluster.faults.lose_answers = True
        proofs = await asyncio.gather(*[cluster.prove(host) for host in cluster.hosts])
        digests = {proof.sealed.sha256 for proof in proofs}
        assert len(digests) == 1

    run(scenario())


def test_recreated_account_leaves_the_certificate_valid():
    async def scenario():
        cluster, auditor = await start_audited_cluster()
        await cluster.change(RetireAccount(ACCOUNT))
        first = await wait_for_certificate(cluster, auditor, "lima-1", 15)
        name = TemplateName(f"for-{ACCOUNT}")
        await cluster.change(ApplyAccount(ACCOUNT, name, "another-digest"))
        assert (await cluster.request("lima-1")).code is ResultCode.OK
        await cluster.change(RetireAccount(ACCOUNT))
        await asyncio.sleep(6)
        second = (await cluster.prove("lima-1")).sealed
        assert second.certificate.incarnation > first.sealed.certificate.incarnation
        incarnation = first.sealed.certificate.incarnation
        stored = cluster.platform.objects.bodies
        assert f"certificates/{ACCOUNT}/{incarnation}.json" in stored

    run(scenario())


def test_auditor_detects_a_planted_run():
    async def scenario():
        cluster, auditor = await start_audited_cluster()
        auditor.mark_issued()
        await asyncio.sleep(0.1)
        await cluster.request("lima-1")
        await asyncio.sleep(0.1)
        assert auditor.violations

    run(scenario())
