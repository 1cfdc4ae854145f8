"""Gangs under crashed and frozen hosts, network cuts, outages and lost workers."""

import asyncio

import pytest
from common.crashes import CallCounter
from common.hosts import ACCOUNT, AREQUIPA, LIMA, default_plan
from common.virtual import run
from common.watched_gangs import (
    EIGHT_ACCELERATORS,
    LAST_START_AFTER_OUT_SECONDS,
    TAKEOVER_SECONDS,
    count_scheduler_calls,
    start_watched_cluster,
)

from zinniatrestle.configuration.messages import DomainState, Semantics, SetDomain
from zinniatrestle.gangs.messages import JobSpec, JobState
from zinniatrestle.ids import ClientAccountId, RequestKey, WorkerId
from zinniatrestle.standins.messages import WorkerFaults


@pytest.mark.parametrize("before_call", [True, False], ids=["before", "after"])
@pytest.mark.parametrize("call_number", range(1, 19))
def test_scheduler_killed_at_any_call_leaves_no_partial_gang(call_number, before_call):
    async def scenario():
        watched = await start_watched_cluster(hosts=2, workers=4)
        name = watched.scheduling_host()
        killed = []

        def kill():
            killed.append(asyncio.create_task(watched.cluster.kill(name)))

        counter = CallCounter(call_number, before_call, kill)
        count_scheduler_calls(watched, name, counter)
        other = next(host for host in watched.cluster.hosts if host != name)
        submitter = watched.cluster.hosts[other].jobs
        counter.counting = True
        spec = JobSpec(3, ["sleep", "12"], EIGHT_ACCELERATORS)
        job = (await submitter.submit(ACCOUNT, spec, None)).job
        await asyncio.sleep(60)
        row = await submitter.status(ACCOUNT, job)
        assert row.state is JobState.DONE
        assert watched.held_leases() == 0
        assert watched.watcher.longest_partial <= TAKEOVER_SECONDS
        watched.check_no_double_runs()

    run(scenario())


@pytest.mark.parametrize("before_call", [True, False], ids=["before", "after"])
@pytest.mark.parametrize("call_number", range(1, 25))
@pytest.mark.parametrize("frozen_seconds", [6, 15])
@pytest.mark.parametrize(
    ("domains", "hosts"), [((LIMA,), 2), ((LIMA, AREQUIPA), 1)], ids=["two", "alone"]
)
def test_frozen_scheduler_starts_no_task_in_a_domain_taken_out(
    call_number, before_call, frozen_seconds, domains, hosts
):
    async def scenario():
        watched = await start_watched_cluster(domains=domains, hosts=hosts, workers=4)
        name = watched.scheduling_host()
        gate = watched.cluster.gates[name]
        counter = CallCounter(call_number, before_call, gate.freeze)
        count_scheduler_calls(watched, name, counter)
        other = next(host for host in watched.cluster.hosts if host != name)
        counter.counting = True
        spec = JobSpec(3, ["sleep", "50"], EIGHT_ACCELERATORS, domains=[LIMA])
        await watched.cluster.hosts[other].jobs.submit(ACCOUNT, spec, None)
        await asyncio.sleep(1.2)
        await watched.cluster.change(SetDomain(LIMA, DomainState.OUT), other)
        out_wall = watched.cluster.clock.wall()
        await asyncio.sleep(frozen_seconds)
        gate.thaw()
        await asyncio.sleep(20)
        late = watched.watcher.starts_after(out_wall)
        assert max(late, default=0.0) <= LAST_START_AFTER_OUT_SECONDS
        assert watched.held_leases() == 0
        watched.check_no_double_runs()

    run(scenario())


@pytest.mark.parametrize("fault", ["cut", "slow", "lose", "outage"])
def test_no_task_starts_in_a_domain_taken_out_despite_store_faults(fault):
    async def scenario():
        watched = await start_watched_cluster(
            domains=(LIMA, AREQUIPA), hosts=2, workers=4
        )
        cluster = watched.cluster
        plan = default_plan([LIMA], offline_grace_seconds=60.0)
        await cluster.apply_account(ClientAccountId("only-lima"), plan)
        lima_hosts = [
            name for name, domain in cluster.domain_by_host.items() if domain == LIMA
        ]
        for number in range(6):
            spec = JobSpec(1, ["sleep", "4"], EIGHT_ACCELERATORS)
            key = RequestKey(str(number))
            await watched.submit(spec, ClientAccountId("only-lima"), key)
        match fault:
            case "cut":
                cluster.faults.cut_hosts = list(lima_hosts)
                for one in lima_hosts:
                    for other in cluster.domain_by_host:
                        if other not in lima_hosts:
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
        late = watched.watcher.starts_after(out_wall)
        assert max(late, default=0.0) <= LAST_START_AFTER_OUT_SECONDS
        watched.check_no_double_runs()

    run(scenario())


@pytest.mark.parametrize(
    ("semantics", "state"),
    [
        (Semantics.REPEATABLE, JobState.DONE),
        (Semantics.AT_MOST_ONCE, JobState.UNKNOWN),
    ],
)
def test_lost_worker_ends_its_gang_which_reruns_only_if_repeatable(semantics, state):
    async def scenario():
        watched = await start_watched_cluster(hosts=1, workers=4)
        spec = JobSpec(2, ["sleep", "60"], EIGHT_ACCELERATORS, semantics=semantics)
        job = await watched.submit(spec)
        await asyncio.sleep(10)
        row = await watched.row(job)
        lost = row.placement[0].worker
        view = watched.cluster.views["lima-1"]
        view.workers.faults[lost] = WorkerFaults(unreachable=True)
        await watched.wait_for_state(job, state, 150)
        watched.check_no_double_runs()
        starts = {start[2] for start in watched.watcher.all_starts()}
        assert len(starts) == (2 if state is JobState.DONE else 1)

    run(scenario())


@pytest.mark.parametrize("before_call", [True, False], ids=["before", "after"])
@pytest.mark.parametrize("call_number", range(1, 19))
def test_finished_job_is_done_although_its_scheduler_is_killed(
    call_number, before_call
):
    async def scenario():
        watched = await start_watched_cluster(hosts=2, workers=2)
        name = watched.scheduling_host()
        other = next(host for host in watched.cluster.hosts if host != name)
        job_service = watched.cluster.hosts[other].jobs
        spec = JobSpec(
            2, ["sleep", "8"], EIGHT_ACCELERATORS, semantics=Semantics.AT_MOST_ONCE
        )
        job = (await job_service.submit(ACCOUNT, spec, None)).job
        await watched.wait_for_state(job, JobState.RUNNING, 5)
        await asyncio.sleep(6.5)
        killed = []

        def kill():
            killed.append(asyncio.create_task(watched.cluster.kill(name)))

        counter = CallCounter(call_number, before_call, kill)
        count_scheduler_calls(watched, name, counter)
        counter.counting = True
        await asyncio.sleep(20)
        row = await job_service.status(ACCOUNT, job)
        assert row.state is JobState.DONE
        assert watched.held_leases() == 0

    run(scenario())


@pytest.mark.parametrize("verb", ["reserve", "start"])
def test_gang_runs_on_other_workers_if_one_does_not_answer(verb):
    async def scenario():
        watched = await start_watched_cluster(hosts=1, workers=4)
        view = watched.cluster.views["lima-1"]
        bad = WorkerId("lima-worker-0")
        view.workers.faults[bad] = WorkerFaults(deaf_to=[verb])
        job = await watched.submit(JobSpec(3, ["sleep", "10"], EIGHT_ACCELERATORS))
        await watched.wait_for_state(job, JobState.DONE, 120)
        started = {}
        for _, _, attempt in watched.watcher.all_starts():
            started[attempt] = started.get(attempt, 0) + 1
        row = await watched.row(job)
        assert started.pop(row.attempt) == 3
        if verb == "reserve":
            assert started == {}
        assert watched.watcher.longest_partial <= 1.0
        watched.check_no_double_runs()

    run(scenario())


def test_running_gangs_survive_an_outage_within_the_grace_period():
    async def scenario():
        watched = await start_watched_cluster(hosts=2, workers=4)
        job = await watched.submit(JobSpec(2, ["sleep", "30"], EIGHT_ACCELERATORS))
        await asyncio.sleep(5)
        watched.cluster.faults.outage = True
        await asyncio.sleep(12)
        assert watched.held_leases() == 2
        watched.cluster.faults.outage = False
        await asyncio.sleep(30)
        assert (await watched.row(job)).state is JobState.DONE
        assert (await watched.row(job)).attempts == 1
        watched.check_no_double_runs()

    run(scenario())


def test_expired_leases_stop_tasks_during_a_long_store_outage():
    async def scenario():
        watched = await start_watched_cluster(hosts=1, workers=4)
        await watched.submit(JobSpec(2, ["sleep", "3000"], EIGHT_ACCELERATORS))
        await asyncio.sleep(5)
        watched.cluster.faults.outage = True
        await asyncio.sleep(30)
        assert watched.held_leases() == 0

    run(scenario())


def test_gangs_of_a_domain_taken_out_resume_elsewhere_from_checkpoints():
    async def scenario():
        watched = await start_watched_cluster(
            domains=(LIMA, AREQUIPA), hosts=1, workers=4
        )
        spec = JobSpec(4, ["sleep", "100"], EIGHT_ACCELERATORS)
        jobs = [await watched.submit(spec, key=RequestKey(k)) for k in "ab"]
        await asyncio.sleep(50)
        await watched.cluster.change(SetDomain(LIMA, DomainState.OUT))
        await asyncio.sleep(20)
        rows = [await watched.row(job) for job in jobs]
        assert {row.domain for row in rows} == {AREQUIPA}
        checkpointed = [row for row in rows if row.progress > 0]
        assert checkpointed and checkpointed[0].progress > 40
        for job in jobs:
            await watched.wait_for_state(job, JobState.DONE, 200)
        watched.check_no_double_runs()

    run(scenario())


def test_jobs_of_a_failed_domain_run_elsewhere_once_it_is_taken_out():
    async def scenario():
        watched = await start_watched_cluster(
            domains=(LIMA, AREQUIPA), hosts=1, workers=4
        )
        cluster = watched.cluster
        spec = JobSpec(4, ["sleep", "60"], EIGHT_ACCELERATORS, domains=[LIMA, AREQUIPA])
        job = await watched.submit(spec)
        await asyncio.sleep(5)
        lost = (await watched.row(job)).domain
        other = AREQUIPA if lost == LIMA else LIMA
        await cluster.kill(f"{lost}-1")
        faults = cluster.views[f"{other}-1"].workers.faults
        for worker in cluster.platform.workers.states:
            if worker.startswith(lost):
                faults[worker] = WorkerFaults(unreachable=True)
        await cluster.change(SetDomain(lost, DomainState.OUT), f"{other}-1")
        await watched.wait_for_state(job, JobState.DONE, 150)
        assert (await watched.row(job)).domain == other
        watched.check_no_double_runs()
        # Once the lost domain is back, its own host schedules it again.
        await cluster.boot(f"{lost}-1")
        faults.clear()
        await cluster.change(SetDomain(lost, DomainState.IN), f"{other}-1")
        await asyncio.sleep(15)
        spec = JobSpec(1, ["sleep", "5"], EIGHT_ACCELERATORS, domains=[lost])
        job = await watched.submit(spec)
        await watched.wait_for_state(job, JobState.DONE, 30)

    run(scenario())


def test_readmitted_domain_resumes_checkpointed_gangs_first_and_gradually():
    async def scenario():
        watched = await start_watched_cluster(hosts=1, workers=4)
        spec = JobSpec(1, ["sleep", "100"], EIGHT_ACCELERATORS)
        old = [await watched.submit(spec, key=RequestKey(k)) for k in "abcd"]
        await asyncio.sleep(20)
        await watched.cluster.change(SetDomain(LIMA, DomainState.OUT))
        await asyncio.sleep(5)
        new = await watched.submit(spec, key=RequestKey("new"))
        await watched.cluster.change(SetDomain(LIMA, DomainState.IN))
        await asyncio.sleep(3)
        running = [job for job in old if (await watched.row(job)).placement]
        assert 1 <= len(running) < 4
        await asyncio.sleep(25)
        assert all([(await watched.row(job)).placement for job in old])
        assert (await watched.row(new)).state is JobState.QUEUED

    run(scenario())
