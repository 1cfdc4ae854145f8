"""Gangs under crashes, freezes, cuts, outages and lost workers."""

import asyncio

import pytest
from common.crashes import CallCounter
from common.hosts import ACCOUNT, AREQUIPA, LIMA, default_plan
from common.virtual import run
from common.watched_gangs import (
    EIGHT,
    STARTS_END_SECONDS,
    TAKEOVER_SECONDS,
    count_calls,
    start_watched_cluster,
)

from zinniatrestle.configuration.messages import DomainState, Semantics, SetDomain
from zinniatrestle.gangs.messages import JobSpec, JobState
from zinniatrestle.ids import ClientAccountId, RequestKey, WorkerId
from zinniatrestle.standins.messages import WorkerFaults


@pytest.mark.parametrize("before", [True, False], ids=["before", "after"])
@pytest.mark.parametrize("number", range(1, 19))
def test_scheduler_killed_at_any_call_leaves_whole_gangs(number, before):
    async def scenario():
        scene = await start_watched_cluster(hosts=2, workers=4)
        name = scene.scheduling_host()
        killed = []

        def kill():
            killed.append(asyncio.create_task(scene.cluster.kill(name)))

        counter = CallCounter(number, before, kill)
        count_calls(scene, name, counter)
        other = next(host for host in scene.cluster.hosts if host != name)
        submitter = scene.cluster.hosts[other].jobs
        counter.counting = True
        spec = JobSpec(3, ["sleep", "12"], EIGHT)
        job = (await submitter.submit(ACCOUNT, spec, None)).job
        await asyncio.sleep(60)
        row = await submitter.status(ACCOUNT, job)
        assert row.state is JobState.DONE
        assert scene.held() == 0
        assert scene.watcher.longest_partial <= TAKEOVER_SECONDS
        scene.check()

    run(scenario())


@pytest.mark.parametrize("before", [True, False], ids=["before", "after"])
@pytest.mark.parametrize("number", range(1, 25))
@pytest.mark.parametrize("frozen", [6, 15])
@pytest.mark.parametrize(
    ("domains", "hosts"), [((LIMA,), 2), ((LIMA, AREQUIPA), 1)], ids=["two", "alone"]
)
def test_nothing_starts_after_out_although_the_scheduler_was_frozen(
    number, before, frozen, domains, hosts
):
    async def scenario():
        scene = await start_watched_cluster(domains=domains, hosts=hosts, workers=4)
        name = scene.scheduling_host()
        gate = scene.cluster.gates[name]
        counter = CallCounter(number, before, gate.freeze)
        count_calls(scene, name, counter)
        other = next(host for host in scene.cluster.hosts if host != name)
        counter.counting = True
        spec = JobSpec(3, ["sleep", "50"], EIGHT, domains=[LIMA])
        await scene.cluster.hosts[other].jobs.submit(ACCOUNT, spec, None)
        await asyncio.sleep(1.2)
        await scene.cluster.change(SetDomain(LIMA, DomainState.OUT), other)
        out_wall = scene.cluster.clock.wall()
        await asyncio.sleep(frozen)
        gate.thaw()
        await asyncio.sleep(20)
        late = scene.watcher.starts_after(out_wall)
        assert max(late, default=0.0) <= STARTS_END_SECONDS
        assert scene.held() == 0
        scene.check()

    run(scenario())


@pytest.mark.parametrize("fault", ["cut", "slow", "lose", "outage"])
def test_nothing_starts_after_out_behind_a_faulty_store(fault):
    async def scenario():
        scene = await start_watched_cluster(
            domains=(LIMA, AREQUIPA), hosts=2, workers=4
        )
        cluster = scene.cluster
        plan = default_plan([LIMA], offline_grace_seconds=60.0)
        await cluster.apply_account(ClientAccountId("only-lima"), plan)
        lima = [name for name, where in cluster.domain_by_host.items() if where == LIMA]
        for number in range(6):
            spec = JobSpec(1, ["sleep", "4"], EIGHT)
            key = RequestKey(str(number))
            await scene.submit(spec, ClientAccountId("only-lima"), key)
        match fault:
            case "cut":
                cluster.faults.cut_hosts = list(lima)
                for one in lima:
                    for other in cluster.domain_by_host:
                        if other not in lima:
                            cluster.cut(one, other)
            case "slow":
                cluster.faults.slow_seconds = 0.8
            case "lose":
                cluster.faults.lose_answers = True
        await cluster.change(SetDomain(LIMA, DomainState.OUT), "arequipa-1")
        out_wall = cluster.clock.wall()
        if fault == "outage":
            cluster.faults.outage = True
        await asyncio.sleep(30)
        late = scene.watcher.starts_after(out_wall)
        assert max(late, default=0.0) <= STARTS_END_SECONDS
        scene.check()

    run(scenario())


@pytest.mark.parametrize(
    ("semantics", "state"),
    [
        (Semantics.REPEATABLE, JobState.DONE),
        (Semantics.AT_MOST_ONCE, JobState.UNKNOWN),
    ],
)
def test_lost_worker_ends_the_gang_and_runs_it_again_only_if_permitted(
    semantics, state
):
    async def scenario():
        scene = await start_watched_cluster(hosts=1, workers=4)
        spec = JobSpec(2, ["sleep", "60"], EIGHT, semantics=semantics)
        job = await scene.submit(spec)
        await asyncio.sleep(10)
        row = await scene.row(job)
        lost = row.placement[0].worker
        view = scene.cluster.views["lima-1"]
        view.workers.faults[lost] = WorkerFaults(unreachable=True)
        await scene.wait_for_state(job, state, 150)
        scene.check()
        starts = {start[2] for start in scene.watcher.all_starts()}
        assert len(starts) == (2 if state is JobState.DONE else 1)

    run(scenario())


@pytest.mark.parametrize("before", [True, False], ids=["before", "after"])
@pytest.mark.parametrize("number", range(1, 19))
def test_finished_job_is_done_although_its_scheduler_is_killed(number, before):
    async def scenario():
        scene = await start_watched_cluster(hosts=2, workers=2)
        name = scene.scheduling_host()
        other = next(host for host in scene.cluster.hosts if host != name)
        job_service = scene.cluster.hosts[other].jobs
        spec = JobSpec(2, ["sleep", "8"], EIGHT, semantics=Semantics.AT_MOST_ONCE)
        job = (await job_service.submit(ACCOUNT, spec, None)).job
        await scene.wait_for_state(job, JobState.RUNNING, 5)
        await asyncio.sleep(6.5)
        killed = []

        def kill():
            killed.append(asyncio.create_task(scene.cluster.kill(name)))

        counter = CallCounter(number, before, kill)
        count_calls(scene, name, counter)
        counter.counting = True
        await asyncio.sleep(20)
        row = await job_service.status(ACCOUNT, job)
        assert row.state is JobState.DONE
        assert scene.held() == 0

    run(scenario())


@pytest.mark.parametrize("verb", ["reserve", "start"])
def test_gang_that_one_worker_does_not_take_runs_whole_elsewhere(verb):
    async def scenario():
        scene = await start_watched_cluster(hosts=1, workers=4)
        view = scene.cluster.views["lima-1"]
        bad = WorkerId("lima-worker-0")
        view.workers.faults[bad] = WorkerFaults(deaf_to=[verb])
        job = await scene.submit(JobSpec(3, ["sleep", "10"], EIGHT))
        await scene.wait_for_state(job, JobState.DONE, 120)
        started = {}
        for _, _, attempt in scene.watcher.all_starts():
            started[attempt] = started.get(attempt, 0) + 1
        row = await scene.row(job)
        assert started.pop(row.attempt) == 3
        if verb == "reserve":
            assert started == {}
        assert scene.watcher.longest_partial <= 1.0
        scene.check()

    run(scenario())


def test_running_gangs_go_on_through_an_outage_within_the_grace():
    async def scenario():
        scene = await start_watched_cluster(hosts=2, workers=4)
        job = await scene.submit(JobSpec(2, ["sleep", "30"], EIGHT))
        await asyncio.sleep(5)
        scene.cluster.faults.outage = True
        await asyncio.sleep(12)
        assert scene.held() == 2
        scene.cluster.faults.outage = False
        await asyncio.sleep(30)
        assert (await scene.row(job)).state is JobState.DONE
        assert (await scene.row(job)).attempts == 1
        scene.check()

    run(scenario())


def test_lapsed_leases_stop_tasks_of_a_domain_that_stays_cut_off():
    async def scenario():
        scene = await start_watched_cluster(hosts=1, workers=4)
        await scene.submit(JobSpec(2, ["sleep", "3000"], EIGHT))
        await asyncio.sleep(5)
        scene.cluster.faults.outage = True
        await asyncio.sleep(30)
        assert scene.held() == 0

    run(scenario())


def test_domain_out_moves_gangs_from_their_checkpoints():
    async def scenario():
        scene = await start_watched_cluster(
            domains=(LIMA, AREQUIPA), hosts=1, workers=4
        )
        spec = JobSpec(4, ["sleep", "100"], EIGHT)
        jobs = [await scene.submit(spec, key=RequestKey(k)) for k in "ab"]
        await asyncio.sleep(50)
        await scene.cluster.change(SetDomain(LIMA, DomainState.OUT))
        await asyncio.sleep(20)
        rows = [await scene.row(job) for job in jobs]
        assert {row.domain for row in rows} == {AREQUIPA}
        moved = [row for row in rows if row.progress > 0]
        assert moved and moved[0].progress > 40
        for job in jobs:
            await scene.wait_for_state(job, JobState.DONE, 200)
        scene.check()

    run(scenario())


def test_jobs_of_a_domain_that_is_lost_whole_run_elsewhere_once_it_is_out():
    async def scenario():
        scene = await start_watched_cluster(
            domains=(LIMA, AREQUIPA), hosts=1, workers=4
        )
        cluster = scene.cluster
        spec = JobSpec(4, ["sleep", "60"], EIGHT, domains=[LIMA, AREQUIPA])
        job = await scene.submit(spec)
        await asyncio.sleep(5)
        lost = (await scene.row(job)).domain
        other = AREQUIPA if lost == LIMA else LIMA
        await cluster.kill(f"{lost}-1")
        faults = cluster.views[f"{other}-1"].workers.faults
        for worker in cluster.platform.workers.states:
            if worker.startswith(lost):
                faults[worker] = WorkerFaults(unreachable=True)
        await cluster.change(SetDomain(lost, DomainState.OUT), f"{other}-1")
        await scene.wait_for_state(job, JobState.DONE, 150)
        assert (await scene.row(job)).domain == other
        scene.check()
        # The lost domain's own host serves it again once it is back.
        await cluster.boot(f"{lost}-1")
        faults.clear()
        await cluster.change(SetDomain(lost, DomainState.IN), f"{other}-1")
        await asyncio.sleep(15)
        back = JobSpec(1, ["sleep", "5"], EIGHT, domains=[lost])
        job = await scene.submit(back)
        await scene.wait_for_state(job, JobState.DONE, 30)

    run(scenario())


def test_returning_domain_resumes_checkpointed_gangs_first_and_gradually():
    async def scenario():
        scene = await start_watched_cluster(hosts=1, workers=4)
        spec = JobSpec(1, ["sleep", "100"], EIGHT)
        old = [await scene.submit(spec, key=RequestKey(k)) for k in "abcd"]
        await asyncio.sleep(20)
        await scene.cluster.change(SetDomain(LIMA, DomainState.OUT))
        await asyncio.sleep(5)
        new = await scene.submit(spec, key=RequestKey("new"))
        await scene.cluster.change(SetDomain(LIMA, DomainState.IN))
        await asyncio.sleep(3)
        running = [job for job in old if (await scene.row(job)).placement]
        assert 1 <= len(running) < 4
        await asyncio.sleep(25)
        assert all([(await scene.row(job)).placement for job in old])
        assert (await scene.row(new)).state is JobState.QUEUED

    run(scenario())
