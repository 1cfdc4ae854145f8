"""A step waits for preferred workers only for a limited time while others are free."""

import asyncio
from unittest import mock

import pytest
from common.history import start_times
from common.scheduling import (
    NOW,
    SERVICE,
    constraints,
    first_step,
    job,
    run_on,
    worker,
    workers_in_racks,
)
from common.wait_scenarios import (
    WORKERS_IN_RACK,
    wait_behind_wide_gang,
    wait_beside_full_rack,
    wait_beside_lost_rack,
)

from zinniatrestle.clock import monotonic
from zinniatrestle.deployment import Bounds
from zinniatrestle.ids import BootSeconds, InstanceId, RackId, RunNumber, WorkerId
from zinniatrestle.jobs.messages import JobState, Step
from zinniatrestle.scheduling.placement import BestFit
from zinniatrestle.scheduling.state import LostRun, TaskStatus, WorkerHealth
from zinniatrestle.scheduling.wait_limits import (
    IDLE_SHARE,
    LIMITED_REASONS,
    MAX_WAIT_SHARE,
    MIN_WAIT_SECONDS,
    WaitLimits,
    is_idle,
)
from zinniatrestle.scheduling.waits import WaitReason
from zinniatrestle.standins.host_orders import HostOrders
from zinniatrestle.standins.model import Model, run_virtual, step
from zinniatrestle.standins.runs import FaultMode
from zinniatrestle.workers.messages import Refusal, RefusedOrderError

BOUNDS = Bounds()
MAX_WAIT = BOUNDS.finish * MAX_WAIT_SHARE
# A waiting task counts as lost if it could run for this time, after the bound.
LOST_SECONDS = 3.0
# Time from a decision to the start at a worker.
START_SECONDS = 0.5


def waiting_step(shape: Step, waited: float, ready_for: float | None = None):
    created = first_step(job("a" * 16, shape, arrived=NOW - waited))
    created.ready_at = NOW - (waited if ready_for is None else ready_for)
    return created


def place_relaxed(waiting, workers, **values):
    """Return where a step is placed by the first relaxed constraints that fit."""
    limits = WaitLimits(BOUNDS, workers, NOW)
    for relaxed in limits.relaxed(waiting, constraints(now=NOW, **values)):
        found = BestFit().place(waiting, relaxed.tasks, workers, relaxed.constraints)
        if found:
            return found
    return {}


# The cores of a worker, in thousandths.
ALL_CPU = 32_000


def occupy(target, gpus: int = 8, name: str = "f", cpu: int = 1000):
    run_on(first_step(job(name * 16, Step(cpu=cpu, gpus=gpus))).tasks[0], target)


# Guards against a job that waits for its rack beside idle workers until it is late.
def test_a_job_older_than_its_limit_runs_away_from_its_data():
    workers = workers_in_racks(4, size=1)
    occupy(workers[0])
    shape = Step(gpus=8, data_rack=RackId("r0"))
    assert place_relaxed(waiting_step(shape, MAX_WAIT - 0.1), workers) == {}
    assert len(place_relaxed(waiting_step(shape, MAX_WAIT + 0.1), workers)) == 1


# Guards against a gang that waits for a rack which has lost too many workers.
def test_a_gang_runs_elsewhere_if_the_rack_of_its_data_can_not_hold_it():
    workers = [worker("w0", "r0"), *workers_in_racks(2, size=2)[2:]]
    shape = Step(count=2, gpus=8, gang=True, data_rack=RackId("r0"))
    assert place_relaxed(waiting_step(shape, MIN_WAIT_SECONDS - 0.1), workers) == {}
    assert len(place_relaxed(waiting_step(shape, MIN_WAIT_SECONDS), workers)) == 2


def test_a_step_that_became_ready_just_now_waits_for_its_rack():
    workers = workers_in_racks(4, size=1)
    occupy(workers[0])
    shape = Step(gpus=8, data_rack=RackId("r0"))
    waiting = waiting_step(shape, 3 * MAX_WAIT, ready_for=MIN_WAIT_SECONDS / 2)
    assert place_relaxed(waiting, workers) == {}


def test_a_step_whose_run_has_just_ended_waits_for_its_rack():
    workers = workers_in_racks(4, size=1)
    occupy(workers[0])
    waiting = waiting_step(Step(gpus=8, data_rack=RackId("r0")), 3 * MAX_WAIT)
    waiting.tasks[0].free_since = NOW - MIN_WAIT_SECONDS / 2
    assert place_relaxed(waiting, workers) == {}


def test_a_job_keeps_its_preferences_while_most_of_the_service_is_in_use():
    workers = workers_in_racks(4, size=1)
    for number, target in enumerate(workers):
        occupy(target, gpus=4, name=str(number), cpu=int(IDLE_SHARE * ALL_CPU))
    occupy(workers[0], gpus=4, name="e")
    shape = Step(gpus=4, data_rack=RackId("r0"))
    assert place_relaxed(waiting_step(shape, 3 * MAX_WAIT), workers) == {}


# Guards against jobs that give up their preferences in a service that is busy, as its
# tasks need few cores for their accelerators, or few accelerators for their cores.
@pytest.mark.parametrize(("cores", "cpu", "gpus"), [(32, 1000, 8), (128, 128_000, 1)])
def test_a_service_is_busy_if_its_tasks_use_up_most_of_its_capacity(cores, cpu, gpus):
    workers = [worker(f"w{number}", cpu=1000 * cores) for number in range(4)]
    assert is_idle(workers, SERVICE)
    for number, target in enumerate(workers):
        created = first_step(job(str(number) * 16, Step(cpu=cpu, gpus=gpus)))
        run_on(created.tasks[0], target)
    assert not is_idle(workers, SERVICE)


# Guards against runs that count as work of the service although nothing shows it.
def test_workers_that_do_not_answer_do_not_make_a_service_busy():
    workers = workers_in_racks(4, size=1)
    for number, target in enumerate(workers[:2]):
        occupy(target, name=str(number), cpu=ALL_CPU)
    assert not is_idle(workers, SERVICE)
    workers[0].silent = True
    assert is_idle(workers, SERVICE)


# Guards against a wait without a limit as a few workers that answer are busy (LOST).
def test_a_service_is_idle_if_it_is_with_the_workers_that_do_not_answer():
    workers = workers_in_racks(5, size=1)
    for number, target in enumerate(workers[:2]):
        occupy(target, name=str(number), cpu=ALL_CPU)
    for target in workers[3:]:
        target.silent = True
    assert is_idle(workers, SERVICE)
    assert not is_idle(workers[:3], SERVICE)


# Guards against a wait without a limit for work that has not started (LOST).
def test_reservations_do_not_make_a_service_busy():
    workers = workers_in_racks(4, size=1)
    reserving = first_step(job("9" * 16, Step(count=3, cpu=ALL_CPU, gpus=8)))
    for task, target in zip(reserving.tasks, workers, strict=False):
        target.reserve(task)
    assert is_idle(workers, SERVICE)


def test_a_job_with_a_running_task_keeps_its_preferences():
    workers = workers_in_racks(4, size=1)
    waiting = waiting_step(Step(count=2, gpus=8, data_rack=RackId("r0")), 3 * MAX_WAIT)
    run_on(waiting.tasks[0], workers[0])
    assert place_relaxed(waiting, workers) == {}


def test_a_long_running_step_waits_for_preferred_workers_only_briefly():
    workers = workers_in_racks(4, size=1)
    for number, target in enumerate(workers[:3]):
        occupy(target, name=str(number), cpu=ALL_CPU)
    shape = Step(gpus=8, data_rack=RackId("r0"), long_running=True)
    assert len(place_relaxed(waiting_step(shape, MIN_WAIT_SECONDS), workers)) == 1


# Guards against a step that waits for the quarantine of all workers with free capacity.
@pytest.mark.parametrize("gang", [False, True])
def test_an_overdue_step_runs_on_a_quarantined_worker_if_no_other_is_free(gang):
    workers = workers_in_racks(4, size=1)
    for target in workers[1:]:
        target.health = WorkerHealth.QUARANTINED
    occupy(workers[0])
    shape = Step(count=2, gpus=8, gang=gang)
    assert len(place_relaxed(waiting_step(shape, MAX_WAIT + 0.1), workers)) == 2


def test_an_overdue_step_prefers_a_healthy_worker():
    workers = workers_in_racks(4, size=1)
    workers[0].health = WorkerHealth.QUARANTINED
    found = place_relaxed(waiting_step(Step(gpus=8), MAX_WAIT + 0.1), workers)
    assert list(found.values()) == [workers[1]]


def remaining(waiting, workers, reason=WaitReason.LOCALITY, young=float("-inf")):
    """Return the rest of a wait; the youngest job was accepted at `young`."""
    limits = WaitLimits(BOUNDS, workers, NOW, young)
    return limits.remaining(waiting, SERVICE, reason)


def test_the_time_that_remains_of_a_wait_ends_once_the_step_is_overdue():
    workers = workers_in_racks(4, size=1)
    shape = Step(gpus=8, data_rack=RackId("r0"))
    assert remaining(waiting_step(shape, 2.0), workers) == pytest.approx(MAX_WAIT - 2.0)
    assert remaining(waiting_step(shape, MAX_WAIT + 1.0), workers) == 0.0
    assert remaining(waiting_step(shape, MAX_WAIT, 0.5), workers) == pytest.approx(
        MIN_WAIT_SECONDS - 0.5
    )


def test_only_waits_for_what_a_step_prefers_are_limited():
    workers = workers_in_racks(4, size=1)
    waiting = waiting_step(Step(gpus=8), MAX_WAIT)
    limited = {
        reason
        for reason in WaitReason
        if remaining(waiting, workers, reason) is not None
    }
    assert limited == LIMITED_REASONS


def test_a_wait_for_reserved_workers_is_limited_once_no_more_jobs_come():
    workers = workers_in_racks(4, size=1)
    waiting = waiting_step(Step(gpus=8), MAX_WAIT + 1.0)
    left = remaining(waiting, workers, WaitReason.BACKFILL, young=NOW - 3.0)
    assert left == pytest.approx(MAX_WAIT - 3.0)
    assert remaining(waiting, workers, young=NOW - 3.0) == 0.0


@pytest.mark.parametrize(
    ("reason", "at_last_attempt"),
    [
        (WaitReason.UNHEALTHY_WORKERS, MAX_WAIT - MIN_WAIT_SECONDS),
        (WaitReason.AVOIDED_WORKERS, 0.0),
    ],
)
def test_a_wait_for_healthy_workers_is_longer_before_the_last_attempt(
    reason, at_last_attempt
):
    workers = workers_in_racks(4, size=1)
    waiting = waiting_step(Step(gpus=8), MAX_WAIT + 1.0, MIN_WAIT_SECONDS)
    waiting.tasks[0].failed_runs |= {RunNumber(1)}
    assert remaining(waiting, workers, reason) == 0.0
    waiting.tasks[0].failed_runs |= {RunNumber(2)}
    assert remaining(waiting, workers, reason) == pytest.approx(at_last_attempt)


def at_last_attempt(waited: float, count: int = 1, gang: bool = False):
    """Return a waiting step that has failed on the first two workers."""
    waiting = waiting_step(Step(count=count, gpus=8, gang=gang), 3 * MAX_WAIT, waited)
    for run in (1, 2):
        waiting.tasks[0].failed_runs |= {RunNumber(run)}
    waiting.tasks[0].avoided_workers = {"w00", "w01"}
    return waiting


# Guards against a step that waits without a limit for the workers on which it has not
# failed (LOST): those on which it has are free, and no fault of them is known.
@pytest.mark.parametrize("gang", [False, True])
def test_an_overdue_step_returns_to_sound_workers_before_its_last_attempt(gang):
    workers = workers_in_racks(4, size=1)
    for number, target in enumerate(workers[2:]):
        occupy(target, name=str(number))
    waiting = at_last_attempt(MIN_WAIT_SECONDS, count=2 if gang else 1, gang=gang)
    assert set(place_relaxed(waiting, workers).values()) <= set(workers[:2])
    assert len(place_relaxed(waiting, workers)) == len(waiting.tasks)
    workers[0].health = WorkerHealth.CANARY
    workers[1].health = WorkerHealth.QUARANTINED
    assert place_relaxed(waiting, workers) == {}


# Guards against a wait for the end of a quarantine of up to a minute (LOST).
def test_a_step_at_its_last_attempt_uses_an_untried_worker_in_quarantine_in_the_end():
    workers = workers_in_racks(4, size=1)
    for target in workers:
        target.health = WorkerHealth.QUARANTINED
    assert place_relaxed(at_last_attempt(MAX_WAIT - 0.1), workers) == {}
    found = place_relaxed(at_last_attempt(MAX_WAIT + 0.1), workers)
    assert list(found.values()) == [workers[2]]
    assert place_relaxed(at_last_attempt(3 * MAX_WAIT), workers[:2]) == {}


# Guards against tasks that wait for others of their step, at their last attempt (LOST).
def test_a_task_at_its_last_attempt_does_not_hold_the_others_of_its_step():
    workers = workers_in_racks(4, size=1)
    for target in workers:
        target.health = WorkerHealth.QUARANTINED
    waiting = at_last_attempt(MIN_WAIT_SECONDS, count=3)
    assert set(place_relaxed(waiting, workers)) == set(waiting.tasks[1:])


def test_no_time_remains_known_while_the_service_is_busy_or_the_job_runs():
    workers = workers_in_racks(4, size=1)
    waiting = waiting_step(Step(count=2, gpus=8), 2.0)
    run_on(waiting.tasks[0], workers[0])
    assert remaining(waiting, workers) is None
    for number, target in enumerate(workers[1:]):
        occupy(target, name=str(number), cpu=ALL_CPU)
    assert remaining(waiting_step(Step(gpus=8), 2.0), workers) is None


# Guards against waits of over 20 s for a rack or a reservation beside idle workers.
@pytest.mark.parametrize(
    "scenario", [wait_beside_full_rack, wait_beside_lost_rack, wait_behind_wide_gang]
)
def test_accepted_work_starts_within_the_bound_while_workers_are_idle(scenario):
    async def play():
        model = Model(1)
        await model.start(workers=3 * WORKERS_IN_RACK, rack=WORKERS_IN_RACK)
        name = await scenario(model)
        accepted_at = monotonic()
        await asyncio.sleep(BOUNDS.finish + LOST_SECONDS)
        starts = start_times(model, name)
        await model.stop()
        assert starts
        return starts[0] - accepted_at

    assert run_virtual(play()) <= MAX_WAIT + START_SECONDS < BOUNDS.finish


# Guards against a job that waits for its rack because a run of it doesn't end or start.
@pytest.mark.parametrize("status", [TaskStatus.PLACED, TaskStatus.STOPPING])
def test_a_job_of_which_no_assigned_task_runs_is_overdue(status):
    workers = workers_in_racks(4, size=1)
    waiting = waiting_step(Step(count=2, gpus=8, data_rack=RackId("r0")), 3 * MAX_WAIT)
    assigned = run_on(waiting.tasks[0], workers[0])
    assigned.status = status
    assigned.status_at = NOW - MAX_WAIT
    assert len(place_relaxed(waiting, workers)) == 1


# Guards against a job that waits for its rack until an unreachable worker's lease ends.
def test_a_job_whose_only_running_task_is_on_a_silent_worker_is_overdue():
    workers = workers_in_racks(3, size=2)
    other = waiting_step(Step(count=1, gpus=8), 3 * MAX_WAIT)
    run_on(other.tasks[0], workers[1])
    waiting = waiting_step(Step(count=2, gpus=8, data_rack=RackId("r0")), 3 * MAX_WAIT)
    run_on(waiting.tasks[0], workers[0])
    assert place_relaxed(waiting, workers) == {}
    workers[0].silent = True
    assert len(place_relaxed(waiting, workers)) == 1


# Guards against a job that waits for its rack while it only repeats what may be done.
def test_a_job_of_which_only_a_repetition_of_a_lost_run_runs_is_overdue():
    workers = workers_in_racks(4, size=1)
    waiting = waiting_step(Step(count=2, gpus=8, data_rack=RackId("r0")), 3 * MAX_WAIT)
    repeated = run_on(waiting.tasks[0], workers[0])
    repeated.lost_run = LostRun(
        RunNumber(1), WorkerId("lost"), InstanceId(1), BootSeconds(NOW - MAX_WAIT), ""
    )
    assert len(place_relaxed(waiting, workers)) == 1


def test_a_job_of_which_a_task_was_placed_just_now_is_not_overdue():
    workers = workers_in_racks(4, size=1)
    waiting = waiting_step(Step(count=2, gpus=8, data_rack=RackId("r0")), 3 * MAX_WAIT)
    assigned = run_on(waiting.tasks[0], workers[0])
    assigned.status = TaskStatus.PLACED
    assigned.status_at = NOW
    assert place_relaxed(waiting, workers) == {}


# Guards against a wait for the rack of the data that begins anew with each refusal.
@pytest.mark.parametrize("stop_seconds", [0.2, 0.9])
def test_refusals_of_a_near_worker_do_not_extend_the_wait(stop_seconds):
    start = HostOrders.start
    refusing: set[WorkerId] = set()

    async def refuse(self, target, *args):
        if target.worker in refusing:
            raise RefusedOrderError(Refusal.NO_ROOM)
        return await start(self, target, *args)

    async def play():
        model = Model(1, bounds=Bounds(stop=stop_seconds))
        await model.start(workers=3 * WORKERS_IN_RACK, rack=WORKERS_IN_RACK)
        shape = step(gpus=8, seconds=60.0, data_rack="rack-0")
        for _ in range(WORKERS_IN_RACK - 1):
            await model.submit("usual", (shape,), 60.0)
        await asyncio.sleep(1.0)
        for target in model.fleet.workers.values():
            if target.entry.rack == "rack-0" and not target.running:
                refusing.add(target.entry.worker)
        shape = step(gpus=8, seconds=20.0, data_rack="rack-0")
        with mock.patch.object(HostOrders, "start", refuse):
            job_id = await model.submit("patient", (shape,), 20.0)
            accepted_at = monotonic()
            while not start_times(model, job_id):
                await asyncio.sleep(0.02)
        return start_times(model, job_id)[0] - accepted_at

    assert run_virtual(play()) <= BOUNDS.finish


# Guards against overdue tasks that use up all their attempts on a faulty worker, the
# only one with room, and so fail a job that others could have run.
def test_a_job_does_not_fail_for_the_lack_of_room_on_healthy_workers():
    async def play():
        model = Model(1)
        await model.start(workers=4, rack=4)
        model.fleet.workers["w3"].fault_mode = FaultMode.FAILS
        # One of these fails on w3, and waits for the cores of the other workers.
        for _ in range(4):
            shape = step(cpu=32_000, gpus=1, seconds=30.0)
            await model.submit("usual", (shape,), 30.0)
        await asyncio.sleep(1.0)
        await model.submit("usual", (step(6, cpu=4000, seconds=3.0),), 3.0)
        assert await model.wait_for_jobs(100.0)
        return {model.state(job) for job in model.jobs}

    assert run_virtual(play()) == {JobState.COMPLETED}


# Guards against a gang that never starts since late jobs that rank behind it take its
# reserved workers, while most accelerators are in use and most cores are idle.
def test_late_jobs_do_not_take_the_workers_reserved_for_a_gang():
    async def play():
        model = Model(1)
        await model.start(workers=6, rack=6)

        async def submit_small_jobs():
            while True:
                shape = step(gpus=4, seconds=5.0)
                await model.submit("patient", (shape,), 4.0 + 2 * model.random.random())
                await asyncio.sleep(0.3)

        submitting = asyncio.create_task(submit_small_jobs())
        await asyncio.sleep(35.0)
        shape = step(6, gpus=8, gang=True, seconds=3.0)
        gang = await model.submit("usual", (shape,), 3.0)
        sent_at = monotonic()
        while not start_times(model, gang) and monotonic() < sent_at + 40.0:
            await asyncio.sleep(0.5)
        submitting.cancel()
        return min(start_times(model, gang), default=monotonic()) - sent_at

    # The runs that the gang waits for take 4 to 6 s.
    assert run_virtual(play()) <= BOUNDS.finish
