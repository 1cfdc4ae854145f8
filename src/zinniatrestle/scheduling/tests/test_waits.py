"""Reasons of waits: each step that waits states what for, and what ends the wait."""

import msgspec
import pytest
from common.scheduling import (
    NOW,
    constraints,
    first_step,
    job,
    run_on,
    worker,
    workers_in_racks,
)

from zinniatrestle.ids import RackId, RegionId
from zinniatrestle.jobs.messages import Step
from zinniatrestle.scheduling.backfill import BackfillReservations, EarliestStart
from zinniatrestle.scheduling.durations import Durations
from zinniatrestle.scheduling.forecast import Forecast
from zinniatrestle.scheduling.placement import BestFit
from zinniatrestle.scheduling.state import TaskStatus, WorkerHealth
from zinniatrestle.scheduling.waits import (
    WaitReason,
    assigned_wait,
    placement_wait,
    reservation_wait,
    room_for,
)

GANG = Step(count=2, gpus=8, gang=True, estimated_ms=10_000)


def new_reservations() -> BackfillReservations:
    return BackfillReservations(Forecast(Durations(), NOW))


def wait_of(shape, workers, reservations=None, **values):
    """Return the wait of a new step, which must not be placeable."""
    reservations = reservations or new_reservations()
    limits = constraints(**values)
    step = first_step(job("a" * 16, shape))
    open_workers = reservations.eligible_workers(step, workers)
    placed = BestFit().place(step, step.waiting_tasks(), open_workers, limits)
    assert placed == {}
    earliest = reservations.earliest_start(step, shape.count, workers, limits)
    return placement_wait(step, workers, limits, reservations, earliest)


def occupy(target, gpus: int = 8, name: str = "f" * 16):
    shape = Step(cpu=1000, gpus=gpus, estimated_ms=4000)
    return run_on(first_step(job(name, shape)).tasks[0], target)


def test_wait_for_a_worker_that_no_configuration_permits():
    workers = workers_in_racks(1)
    far = frozenset({RegionId("far")})
    assert wait_of(Step(gpus=1), workers, regions=far).reason is (
        WaitReason.NO_PERMITTED_WORKER
    )


def test_wait_of_a_step_that_no_worker_can_hold():
    assert wait_of(Step(gpus=9), workers_in_racks(1)).reason is WaitReason.TOO_LARGE


def test_wait_for_workers_that_are_not_usable_names_them():
    workers = workers_in_racks(1, size=2)
    workers[0].unknown_runs.add("t")
    wait = wait_of(GANG, workers)
    assert wait.reason is WaitReason.UNUSABLE_WORKERS
    assert wait.unusable == workers[:1]


def test_wait_for_capacity_ends_when_the_forecast_says():
    workers = workers_in_racks(1, size=2)
    occupy(workers[0])
    wait = wait_of(GANG, workers)
    assert wait.reason is WaitReason.CAPACITY
    assert wait.until == NOW + 4.0


def test_wait_of_a_single_task_ends_when_a_run_is_forecast_to_end():
    workers = workers_in_racks(1, size=2)
    for number, target in enumerate(workers):
        occupy(target, name=f"{number:016}")
    wait = wait_of(Step(gpus=1), workers)
    assert wait.reason is WaitReason.CAPACITY
    assert wait.until == NOW + 4.0


def test_wait_of_a_gang_behind_a_reservation_names_its_job():
    workers = workers_in_racks(1, size=2)
    occupy(workers[0])
    reservations = new_reservations()
    wide = first_step(job("3" * 16, GANG))
    reservations.reserve(reservations.earliest_start(wide, 2, workers, constraints()))
    wait = wait_of(GANG, workers, reservations)
    assert wait.reason is WaitReason.CAPACITY
    assert (wait.for_job, wait.until) == (wide.job.id, None)


def test_wait_for_tickets():
    workers = workers_in_racks(1)
    assert wait_of(Step(gpus=1), workers, tickets={}).reason is WaitReason.NO_TICKETS


def test_wait_for_the_end_of_a_quarantine():
    workers = workers_in_racks(1, size=2)
    workers[0].health = WorkerHealth.QUARANTINED
    workers[0].quarantined_until = NOW + 8.0
    wait = wait_of(GANG, workers)
    assert wait.reason is WaitReason.UNHEALTHY_WORKERS
    assert wait.until == NOW + 8.0


def test_a_canary_in_use_is_no_room_for_a_single_task():
    canary = worker("w")
    canary.health = WorkerHealth.CANARY
    occupy(canary, gpus=1)
    assert wait_of(Step(gpus=1), [canary]).reason is WaitReason.UNHEALTHY_WORKERS


def test_wait_for_workers_on_which_no_task_of_the_step_failed():
    workers = workers_in_racks(1, size=2)
    occupy(workers[1])
    step = first_step(job("a" * 16, Step(gpus=8)))
    step.tasks[0].avoided_workers |= {workers[0].id}
    wait = placement_wait(step, workers, constraints(), new_reservations(), None)
    assert wait.reason is WaitReason.AVOIDED_WORKERS


@pytest.mark.parametrize(
    "shape",
    [
        Step(gpus=8, data_rack=RackId("r0")),
        Step(count=2, gpus=8, gang=True, rack_bound=True),
    ],
)
def test_wait_for_a_place_near_the_data_or_in_one_rack(shape):
    workers = workers_in_racks(2, size=2)
    occupy(workers[0], name="1" * 16)
    if shape.rack_bound:
        occupy(workers[2], name="2" * 16)
    else:
        occupy(workers[1], name="2" * 16)
    assert wait_of(shape, workers).reason is WaitReason.LOCALITY


def test_wait_for_a_reservation_names_the_job_and_its_start():
    workers = workers_in_racks(1, size=2)
    occupy(workers[0])
    reservations = new_reservations()
    wide = first_step(job("3" * 16, GANG))
    reservations.reserve(reservations.earliest_start(wide, 2, workers, constraints()))
    wait = wait_of(Step(gpus=1, estimated_ms=8000), workers, reservations)
    assert wait.reason is WaitReason.BACKFILL
    assert wait.for_job == wide.job.id
    assert wait.until == NOW + 4.0


# Guards against an error that ends the scheduler if a reserved worker has no room.
def test_wait_for_a_rack_that_is_too_small_without_a_reserved_worker():
    workers = workers_in_racks(2, size=2)
    for number, gpus in enumerate((8, 4, 8, 8)):
        occupy(workers[number], gpus, str(number) * 16)
    reservations = new_reservations()
    gang = first_step(job("9" * 16, GANG))
    reservations.reserve(EarliestStart(gang, NOW + 4.0, workers[:1]))
    shape = Step(count=4, gpus=4, rack_bound=True, estimated_ms=8000)
    wait = wait_of(shape, workers, reservations)
    assert wait.reason is WaitReason.BACKFILL
    assert wait.for_job == gang.job.id


def test_wait_for_a_preempted_run_names_it():
    target = worker("w")
    victim = occupy(target)
    victim.status = TaskStatus.STOPPING
    step = first_step(job("a" * 16, Step(gpus=8)))
    step.tasks[0].worker = target
    target.reserve(step.tasks[0])
    wait = reservation_wait(step.tasks, NOW + 3.0)
    assert wait.reason is WaitReason.PREEMPTION
    assert wait.held_by is victim


def place_gang(*statuses):
    workers = workers_in_racks(1, size=len(statuses))
    shape = msgspec.structs.replace(GANG, count=len(statuses))
    step = first_step(job("a" * 16, shape))
    for task, target, status in zip(step.tasks, workers, statuses, strict=True):
        if status is TaskStatus.WAITING:
            continue
        run_on(task, target)
        task.status = status
    return step


def test_a_gang_that_runs_does_not_wait():
    assert assigned_wait(place_gang(TaskStatus.RUNNING, TaskStatus.RUNNING)) is None


@pytest.mark.parametrize(
    "status", [TaskStatus.STOPPING, TaskStatus.RUNNING, TaskStatus.PLACED]
)
def test_wait_for_a_gang_member_that_is_still_assigned_names_it(status):
    step = place_gang(TaskStatus.WAITING, status)
    wait = assigned_wait(step)
    assert wait.reason is WaitReason.GANG_MEMBERS
    assert wait.held_by is step.tasks[1]
    assert wait.until is None


def become_silent(target):
    target.silent = True


def become_ended(target):
    target.has_ended = True


def become_known_from_progress_only(target):
    target.entry = msgspec.structs.replace(target.entry, address="")


@pytest.fixture(params=[become_silent, become_ended, become_known_from_progress_only])
def lose_contact(request):
    """Return a function after which a worker sends no more reports."""

    def lose(target, lease_seconds: float):
        request.param(target)
        target.lease.expires_at = NOW + lease_seconds

    return lose


def test_wait_for_a_member_without_reports_ends_with_its_lease(lose_contact):
    step = place_gang(TaskStatus.WAITING, TaskStatus.STOPPING)
    lose_contact(step.tasks[1].worker, 6.0)
    assert assigned_wait(step).until == NOW + 6.0


@pytest.mark.parametrize(
    "statuses",
    [
        (TaskStatus.STOPPING, TaskStatus.PLACED),
        (TaskStatus.STOPPING, TaskStatus.RUNNING),
        (TaskStatus.PLACED, TaskStatus.RUNNING),
        (TaskStatus.RUNNING, TaskStatus.STOPPING),
    ],
)
def test_a_gang_waits_for_the_member_whose_end_is_known_last(statuses, lose_contact):
    step = place_gang(TaskStatus.STOPPING, *statuses)
    lose_contact(step.tasks[1].worker, 5.0)
    lose_contact(step.tasks[2].worker, 6.0)
    wait = assigned_wait(step)
    assert wait.reason is WaitReason.GANG_MEMBERS
    assert wait.held_by is step.tasks[2]
    assert wait.until == NOW + 6.0


# Such runs counted as work, so a job that had lost all of its runs wrote no line.
@pytest.mark.parametrize(
    "shape", [Step(gpus=1), GANG, Step(count=2, gpus=1, long_running=True)]
)
def test_runs_on_workers_without_reports_are_waited_for(shape, lose_contact):
    step = first_step(job("a" * 16, shape))
    for task, target in zip(step.tasks, workers_in_racks(1), strict=False):
        run_on(task, target)
    assert assigned_wait(step) is None
    lose_contact(step.tasks[-1].worker, 6.0)
    wait = assigned_wait(step)
    assert wait.reason is WaitReason.UNREACHABLE_RUNS
    assert wait.held_by is step.tasks[-1]
    assert wait.until == NOW + 6.0


def test_a_step_of_single_tasks_does_not_wait_while_one_of_them_runs(lose_contact):
    step = first_step(job("a" * 16, Step(count=2, gpus=1)))
    for task, target in zip(step.tasks, workers_in_racks(1, size=2), strict=True):
        run_on(task, target)
    lose_contact(step.tasks[0].worker, 6.0)
    assert assigned_wait(step) is None


@pytest.mark.parametrize(
    "status, reason",
    [
        (TaskStatus.STOPPING, WaitReason.STOPPING),
        (TaskStatus.PLACED, WaitReason.START_UNANSWERED),
    ],
)
def test_each_long_running_task_waits_whether_others_run_or_not(status, reason):
    step = first_step(job("a" * 16, Step(count=2, gpus=1, long_running=True)))
    for task, target in zip(step.tasks, workers_in_racks(1, size=2), strict=True):
        run_on(task, target)
    step.tasks[1].status = status
    wait = assigned_wait(step)
    assert (wait.reason, wait.held_by) == (reason, step.tasks[1])
    assert wait.until is None


def test_wait_for_a_start_order():
    step = place_gang(TaskStatus.RUNNING, TaskStatus.PLACED)
    step.tasks[1].start_pending = True
    assert assigned_wait(step).reason is WaitReason.START_PENDING
    step.tasks[1].start_pending = False
    assert assigned_wait(step).reason is WaitReason.START_UNANSWERED


# Guards against lines about a start without an answer that give no end of the wait.
@pytest.mark.parametrize("status", [TaskStatus.PLACED, TaskStatus.STOPPING])
def test_wait_for_a_run_without_reports_ends_when_its_start_expires(status):
    task = first_step(job("a" * 16)).tasks[0]
    target = worker("w")
    run_on(task, target).status = status
    target.lease.observe(50_000, NOW)
    task.start_deadline_ms = 54_900
    assert assigned_wait(task.step).until == pytest.approx(NOW + 5.0)
    task.reported = True
    assert assigned_wait(task.step).until is None


def test_wait_for_the_stop_of_a_single_task():
    step = first_step(job("a" * 16))
    run_on(step.tasks[0], worker("w")).status = TaskStatus.STOPPING
    assert assigned_wait(step).reason is WaitReason.STOPPING


def test_room_counts_slots_near_the_data_apart_from_all_others():
    workers = workers_in_racks(2, size=2)
    occupy(workers[0], name="1" * 16)
    occupy(workers[1], name="2" * 16)
    step = first_step(job("a" * 16, Step(gpus=8, data_rack=RackId("r0"))))
    room = room_for(step, workers, constraints())
    assert (room.near, room.anywhere) == (0, 2)
    assert 0.5 < room.idle_share < 0.75
    assert room.is_ample(1)
    assert not room.is_ample(2)
