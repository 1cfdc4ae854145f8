"""Gangs under crashes, freezes, cuts, outages and faulty workers."""

import asyncio

import pytest
from common.crashes import CallCounter
from common.gang_history import GangWatcher
from common.hosts import ACCOUNT, AREQUIPA, LIMA, HostCluster, default_plan
from common.virtual import run

from zinniatrestle.configuration.messages import DomainState, Semantics, SetDomain
from zinniatrestle.errors import KeyReusedError, NeverFitsError
from zinniatrestle.gangs.messages import JobRow, JobSpec, JobState, TaskShape
from zinniatrestle.ids import ClientAccountId, RequestKey, WorkerId
from zinniatrestle.standins.messages import WorkerFaults

EIGHT = TaskShape(accelerators=8, cores=8.0, memory_gb=8.0)
# The brief's "a few seconds" after a failure domain is taken out.
STARTS_END_SECONDS = 4.0
URGENT_SECONDS = 4.9
# A lease lapses, another host takes over and rebuilds.
TAKEOVER_SECONDS = 10.0


class GangScene:
    """A cluster with a watcher of its workers."""

    def __init__(self, cluster: HostCluster):
        self.cluster = cluster
        self.watcher = GangWatcher(cluster.platform.workers, cluster.clock)
        self.watching = asyncio.create_task(self.watcher.watch())

    async def submit(self, spec: JobSpec, account=ACCOUNT, key=None) -> str:
        host = next(iter(self.cluster.hosts.values()))
        return (await host.jobs.submit(account, spec, key)).job

    async def row(self, job: str, account=ACCOUNT) -> JobRow:
        host = next(iter(self.cluster.hosts.values()))
        return await host.jobs.status(account, job)

    async def reach(self, job: str, state: JobState, seconds: float, account=ACCOUNT):
        async with asyncio.timeout(seconds):
            while (await self.row(job, account)).state is not state:
                await asyncio.sleep(0.05)

    def scheduling_host(self, domain=LIMA) -> str:
        for name, host in self.cluster.hosts.items():
            if host.lease.held_until and self.cluster.where[name] == domain:
                if host.lease.standing.value == "held":
                    return name
        raise AssertionError("nobody schedules")

    def check(self):
        assert self.watcher.double_runs == []

    def held(self) -> int:
        total = 0
        for state in self.cluster.platform.workers.states.values():
            total += len(state.report().leases)
        return total


async def open_scene(domains=(LIMA,), plan=None, **sizes) -> GangScene:
    cluster = await HostCluster.start(list(domains), plan, **sizes)
    await asyncio.sleep(2)
    return GangScene(cluster)


def count_calls(scene: GangScene, name: str, counter: CallCounter):
    scheduler = scene.cluster.hosts[name].scheduler
    scheduler.book.table = counter.wrap(scheduler.book.table)
    scheduler.fleet.workers = counter.wrap(scheduler.fleet.workers)


@pytest.mark.parametrize("before", [True, False], ids=["before", "after"])
@pytest.mark.parametrize("number", range(1, 19))
def test_scheduler_killed_at_any_call_leaves_whole_gangs(number, before):
    async def scenario():
        scene = await open_scene(hosts=2, workers=4)
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
        scene = await open_scene(domains=domains, hosts=hosts, workers=4)
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
        scene = await open_scene(domains=(LIMA, AREQUIPA), hosts=2, workers=4)
        cluster = scene.cluster
        plan = default_plan([LIMA], offline_grace_seconds=60.0)
        await cluster.account(ClientAccountId("only-lima"), plan)
        lima = [name for name, where in cluster.where.items() if where == LIMA]
        for number in range(6):
            spec = JobSpec(1, ["sleep", "4"], EIGHT)
            key = RequestKey(str(number))
            await scene.submit(spec, ClientAccountId("only-lima"), key)
        match fault:
            case "cut":
                cluster.faults.cut_hosts = list(lima)
                for one in lima:
                    for other in cluster.where:
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


def test_guaranteed_shape_is_reclaimed_from_borrowers():
    async def scenario():
        scene = await open_scene(hosts=1, workers=8)
        owner = ClientAccountId("owner")
        guarantee = {"domain": LIMA, "cell": "worker", "count": 4}
        await scene.cluster.account(owner, default_plan([LIMA], guarantees=[guarantee]))
        small = TaskShape(accelerators=1, cores=1.0, memory_gb=1.0)
        for number in range(16):
            spec = JobSpec(4, ["sleep", "5000"], small)
            await scene.submit(spec, key=RequestKey(str(number)))
        await asyncio.sleep(5)
        began = scene.cluster.clock.wall()
        job = await scene.submit(JobSpec(4, ["sleep", "30"], EIGHT), owner)
        await scene.reach(job, JobState.RUNNING, URGENT_SECONDS, owner)
        assert scene.cluster.clock.wall() - began <= URGENT_SECONDS
        row = await scene.row(job, owner)
        assert row.guaranteed
        assert all(slot.accelerators == list(range(8)) for slot in row.placement)
        await scene.reach(job, JobState.DONE, 60, owner)
        scene.check()

    run(scenario())


@pytest.mark.parametrize("cell", ["worker", "rack"])
def test_guarantee_is_reclaimed_although_workers_of_its_cells_are_lost(cell):
    async def scenario():
        scene = await open_scene(hosts=1, workers=24)
        owner = ClientAccountId("owner")
        count, tasks = (4, 4) if cell == "worker" else (1, 8)
        guarantee = {"domain": LIMA, "cell": cell, "count": count}
        await scene.cluster.account(owner, default_plan([LIMA], guarantees=[guarantee]))
        for number in range(24):
            spec = JobSpec(1, ["sleep", "9000"], EIGHT)
            await scene.submit(spec, key=RequestKey(str(number)))
        await asyncio.sleep(10)
        scheduler = scene.cluster.hosts["lima-1"].scheduler
        lost = next(iter(scheduler.binding.masks(owner)))
        faults = scene.cluster.views["lima-1"].workers.faults
        faults[lost] = WorkerFaults(unreachable=True)
        await asyncio.sleep(15)
        job = await scene.submit(JobSpec(tasks, ["sleep", "30"], EIGHT), owner)
        await scene.reach(job, JobState.RUNNING, URGENT_SECONDS, owner)
        row = await scene.row(job, owner)
        assert row.guaranteed
        assert lost not in {slot.worker for slot in row.placement}
        await scene.reach(job, JobState.DONE, 60, owner)
        scene.check()

    run(scenario())


def test_large_gang_does_not_starve_behind_a_stream_of_small_ones():
    async def scenario():
        scene = await open_scene(hosts=1, workers=4)
        small = TaskShape(accelerators=4, cores=4.0, memory_gb=4.0)
        for number in range(8):
            spec = JobSpec(1, ["sleep", "700"], small)
            await scene.submit(spec, key=RequestKey(f"first-{number}"))
        large = await scene.submit(JobSpec(4, ["sleep", "60"], EIGHT))
        for number in range(60):
            spec = JobSpec(1, ["sleep", "700"], small)
            await scene.submit(spec, key=RequestKey(f"next-{number}"))
            await asyncio.sleep(60)
            if (await scene.row(large)).state is JobState.DONE:
                break
        assert (await scene.row(large)).state is JobState.DONE
        scene.check()

    run(scenario())


def test_evicted_borrower_resumes_from_its_checkpoint():
    async def scenario():
        scene = await open_scene(hosts=1, workers=2)
        owner = ClientAccountId("owner")
        guarantee = {"domain": LIMA, "cell": "worker", "count": 2}
        await scene.cluster.account(owner, default_plan([LIMA], guarantees=[guarantee]))
        borrower = await scene.submit(JobSpec(2, ["sleep", "100"], EIGHT))
        await asyncio.sleep(50)
        await scene.submit(JobSpec(2, ["sleep", "10"], EIGHT), owner)
        await asyncio.sleep(10)
        row = await scene.row(borrower)
        assert row.state is JobState.QUEUED and row.progress > 40
        await scene.reach(borrower, JobState.DONE, 75)

    run(scenario())


def test_small_gangs_move_together_for_a_large_one():
    async def scenario():
        scene = await open_scene(hosts=1, workers=3)
        small = TaskShape(accelerators=2, cores=2.0, memory_gb=2.0)
        jobs = []
        for number in range(12):
            spec = JobSpec(1, ["sleep", "3000"], small)
            jobs.append(await scene.submit(spec, key=RequestKey(str(number))))
        await asyncio.sleep(5)
        # One small gang is left on each worker, so that none is whole.
        left = set()
        for job in jobs:
            worker = (await scene.row(job)).placement[0].worker
            if worker in left:
                host = scene.cluster.hosts["lima-1"]
                await host.jobs.cancel(ACCOUNT, job)
            left.add(worker)
        await asyncio.sleep(400)
        large = await scene.submit(JobSpec(2, ["sleep", "60"], EIGHT))
        await scene.reach(large, JobState.RUNNING, URGENT_SECONDS)
        await asyncio.sleep(10)
        rows = [await scene.row(job) for job in jobs]
        running = [row for row in rows if row.state is JobState.RUNNING]
        assert len(running) == 3
        assert all(row.progress > 300 for row in running if row.attempts == 2)
        scene.check()

    run(scenario())


@pytest.mark.parametrize("ran", [5, 400])
def test_urgent_gang_starts_in_time_on_a_full_cluster(ran):
    async def scenario():
        scene = await open_scene(hosts=1, workers=4)
        await scene.submit(JobSpec(4, ["sleep", "9000"], EIGHT))
        await asyncio.sleep(ran)
        urgent = JobSpec(2, ["sleep", "5"], EIGHT, urgent=True)
        job = await scene.submit(urgent)
        await scene.reach(job, JobState.RUNNING, URGENT_SECONDS)

    run(scenario())


def test_wave_of_cancellations_takes_few_writes():
    async def scenario():
        scene = await open_scene(hosts=1, workers=4)
        jobs = []
        for number in range(100):
            spec = JobSpec(1, ["sleep", "900"], EIGHT)
            jobs.append(await scene.submit(spec, key=RequestKey(str(number))))
        await asyncio.sleep(3)
        desk = scene.cluster.hosts["lima-1"].jobs
        for _ in range(2):
            for job in jobs:
                await desk.cancel(ACCOUNT, job)
        state = scene.cluster.platform.table.state
        before = state.commits
        await asyncio.sleep(4)
        assert state.commits - before <= 20
        rows = await desk.jobs(ACCOUNT)
        assert {row.state for row in rows} == {JobState.CANCELLED}
        assert scene.held() == 0

    run(scenario())


def test_worker_that_fails_everything_is_quarantined():
    async def scenario():
        scene = await open_scene(hosts=1, workers=4)
        bad = WorkerId("lima-worker-0")
        scene.cluster.platform.workers.states[bad].fails_everything = True
        jobs = []
        for number in range(24):
            spec = JobSpec(1, ["sleep", "5"], EIGHT)
            jobs.append(await scene.submit(spec, key=RequestKey(str(number))))
        await asyncio.sleep(90)
        for job in jobs:
            assert (await scene.row(job)).state is JobState.DONE
        starts = len(scene.cluster.platform.workers.states[bad].starts)
        assert starts <= 6

    run(scenario())


def test_job_whose_tasks_fail_everywhere_ends_as_failed():
    async def scenario():
        scene = await open_scene(hosts=1, workers=4)
        job = await scene.submit(JobSpec(2, ["fail"], EIGHT))
        await scene.reach(job, JobState.FAILED, 60)

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
        scene = await open_scene(hosts=1, workers=4)
        spec = JobSpec(2, ["sleep", "60"], EIGHT, semantics=semantics)
        job = await scene.submit(spec)
        await asyncio.sleep(10)
        row = await scene.row(job)
        lost = row.placement[0].worker
        view = scene.cluster.views["lima-1"]
        view.workers.faults[lost] = WorkerFaults(unreachable=True)
        await scene.reach(job, state, 150)
        scene.check()
        starts = {start[2] for start in scene.watcher.all_starts()}
        assert len(starts) == (2 if state is JobState.DONE else 1)

    run(scenario())


@pytest.mark.parametrize("before", [True, False], ids=["before", "after"])
@pytest.mark.parametrize("number", range(1, 19))
def test_finished_job_is_done_although_its_scheduler_is_killed(number, before):
    async def scenario():
        scene = await open_scene(hosts=2, workers=2)
        name = scene.scheduling_host()
        other = next(host for host in scene.cluster.hosts if host != name)
        desk = scene.cluster.hosts[other].jobs
        spec = JobSpec(2, ["sleep", "8"], EIGHT, semantics=Semantics.AT_MOST_ONCE)
        job = (await desk.submit(ACCOUNT, spec, None)).job
        await scene.reach(job, JobState.RUNNING, 5)
        await asyncio.sleep(6.5)
        killed = []

        def kill():
            killed.append(asyncio.create_task(scene.cluster.kill(name)))

        counter = CallCounter(number, before, kill)
        count_calls(scene, name, counter)
        counter.counting = True
        await asyncio.sleep(20)
        row = await desk.status(ACCOUNT, job)
        assert row.state is JobState.DONE
        assert scene.held() == 0

    run(scenario())


@pytest.mark.parametrize("verb", ["reserve", "start"])
def test_gang_that_one_worker_does_not_take_runs_whole_elsewhere(verb):
    async def scenario():
        scene = await open_scene(hosts=1, workers=4)
        view = scene.cluster.views["lima-1"]
        bad = WorkerId("lima-worker-0")
        view.workers.faults[bad] = WorkerFaults(deaf_to=[verb])
        job = await scene.submit(JobSpec(3, ["sleep", "10"], EIGHT))
        await scene.reach(job, JobState.DONE, 120)
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
        scene = await open_scene(hosts=2, workers=4)
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
        scene = await open_scene(hosts=1, workers=4)
        await scene.submit(JobSpec(2, ["sleep", "3000"], EIGHT))
        await asyncio.sleep(5)
        scene.cluster.faults.outage = True
        await asyncio.sleep(30)
        assert scene.held() == 0

    run(scenario())


def test_domain_out_moves_gangs_from_their_checkpoints():
    async def scenario():
        scene = await open_scene(domains=(LIMA, AREQUIPA), hosts=1, workers=4)
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
            await scene.reach(job, JobState.DONE, 200)
        scene.check()

    run(scenario())


def test_jobs_of_a_domain_that_is_lost_whole_run_elsewhere_once_it_is_out():
    async def scenario():
        scene = await open_scene(domains=(LIMA, AREQUIPA), hosts=1, workers=4)
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
        await scene.reach(job, JobState.DONE, 150)
        assert (await scene.row(job)).domain == other
        scene.check()
        # The lost domain's own host serves it again once it is back.
        await cluster.boot(f"{lost}-1")
        faults.clear()
        await cluster.change(SetDomain(lost, DomainState.IN), f"{other}-1")
        await asyncio.sleep(15)
        back = JobSpec(1, ["sleep", "5"], EIGHT, domains=[lost])
        job = await scene.submit(back)
        await scene.reach(job, JobState.DONE, 30)

    run(scenario())


def test_returning_domain_resumes_checkpointed_gangs_first_and_gradually():
    async def scenario():
        scene = await open_scene(hosts=1, workers=4)
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


@pytest.mark.parametrize(
    "spec",
    [
        JobSpec(5, ["sleep", "1"], EIGHT),
        JobSpec(1, ["sleep", "1"], TaskShape(accelerators=9)),
        JobSpec(1, ["sleep", "1"], TaskShape(cores=33.0)),
    ],
    ids=["too many tasks", "too many accelerators", "too many cores"],
)
def test_job_that_can_never_run_is_told_so_at_once(spec):
    async def scenario():
        scene = await open_scene(hosts=1, workers=4)
        with pytest.raises(NeverFitsError):
            await scene.submit(spec)

    run(scenario())


def test_job_is_taken_while_the_list_shows_no_workers_yet():
    async def scenario():
        scene = await open_scene(hosts=1, workers=4)
        listed = scene.cluster.platform.hosts.listed
        workers = {name: host for name, host in listed.items() if host.accelerators}
        for name in workers:
            del listed[name]
        job = await scene.submit(JobSpec(2, ["sleep", "5"], EIGHT))
        assert (await scene.row(job)).state is JobState.QUEUED
        listed.update(workers)
        await scene.reach(job, JobState.DONE, 20)

    run(scenario())


def test_job_key_returns_the_first_job_and_refuses_another():
    async def scenario():
        scene = await open_scene(hosts=1, workers=4)
        spec = JobSpec(1, ["sleep", "1"], EIGHT)
        first = await scene.submit(spec, key=RequestKey("k"))
        assert await scene.submit(spec, key=RequestKey("k")) == first
        other = JobSpec(2, ["sleep", "1"], EIGHT)
        with pytest.raises(KeyReusedError):
            await scene.submit(other, key=RequestKey("k"))

    run(scenario())
