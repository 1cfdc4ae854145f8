"""Which runs are moved so that a gang gets whole workers, and when none are."""

import pytest
from common.scheduling import NOW, constraints, first_step, job, run_on, worker

from zinniatrestle.deployment import Bounds
from zinniatrestle.ids import RackId, WorkerId
from zinniatrestle.jobs.messages import JobState, Step
from zinniatrestle.scheduling.defragmentation import (
    BUDGET_SECONDS,
    BUDGET_SHARE,
    FIRST_PAUSE_SECONDS,
    MAX_PAUSE_SECONDS,
    MIN_SECONDS_GAINED,
    MIN_WAIT_SECONDS,
    RETRY_SECONDS,
    Defragmentation,
    MovePlan,
    WaitingGang,
)
from zinniatrestle.scheduling.draining import ORDER_LATENCY_SECONDS
from zinniatrestle.scheduling.durations import Durations
from zinniatrestle.scheduling.forecast import Forecast
from zinniatrestle.scheduling.placement import candidates
from zinniatrestle.scheduling.preemption_costs import PreemptionCosts
from zinniatrestle.scheduling.state import (
    ACCELERATOR_MILLICORES,
    MILLICORES_PER_CORE,
    StepRun,
    Task,
    TaskStatus,
    Worker,
    WorkerHealth,
)

BOUNDS = Bounds(stop=0.9)
WORKERS = 6
LONG_MS = 60_000
# When the gang would start without moves.
STARTS_IN_SECONDS = 10.0


def small_run(
    target: Worker, name: str, priority: int = 2, now: float = NOW, **shape
) -> Task:
    """Run one task that leaves most of a worker idle."""
    values = dict(cpu=1000, gpus=1, estimated_ms=LONG_MS, checkpointing=True)
    values.update(shape)
    since = now - 5.0
    new = job(name * 16, Step(**values), priority=priority, arrived=since)
    step = first_step(new)
    for task in step.tasks:
        run_on(task, target, since=since)
    return step.tasks[0]


def fragmented_workers(count: int = WORKERS, **shape) -> list[Worker]:
    """Return workers with one small run each."""
    workers = [worker(f"w{number}", f"r{number // 3}") for number in range(count)]
    for number, target in enumerate(workers):
        small_run(target, f"{number:x}", **shape)
    return workers


def gang(
    count: int = 2, priority: int = 1, waited: float = 2.0, now: float = NOW, **shape
) -> StepRun:
    values = dict(cpu=1000, gpus=8, gang=True, estimated_ms=5000)
    values.update(shape)
    shape = Step(count=count, **values)
    step = first_step(job("f" * 16, shape, priority=priority, arrived=now - waited))
    step.ready_at = now - waited
    return step


def plan(
    step: StepRun,
    workers: list[Worker],
    decision: Defragmentation | None = None,
    starts_in: float = STARTS_IN_SECONDS,
    now: float = NOW,
    targets: list[Worker] | None = None,
) -> MovePlan | None:
    decision = decision or Defragmentation(BOUNDS, Durations())
    waiting = [WaitingGang(step, constraints(now=now), workers, now + starts_in)]
    costs = PreemptionCosts(Forecast(Durations(), now), BOUNDS.restore)
    targets = workers if targets is None else targets

    def find_targets(moved: StepRun) -> list[Worker]:
        return candidates(moved, targets, constraints(now=now))

    return decision.plan(waiting, workers, costs, find_targets, now)


# Guards against a gang that waits for whole workers while small runs keep them all from
# being whole and most of the capacity is idle.
def test_runs_are_moved_off_the_workers_that_a_gang_lacks():
    workers = fragmented_workers()
    found = plan(gang(2), workers)
    assert len(found.moved) == 2
    assert {task.worker for task in found.moved} == set(found.assignment.values())


def test_only_the_workers_that_are_lacking_are_freed():
    workers = [*fragmented_workers(), worker("whole")]
    found = plan(gang(2), workers)
    assert len(found.moved) == 1
    assert workers[-1] in found.assignment.values()


# Guards against a rack-bound gang that waits although each rack is nearly idle.
def test_rack_bound_gang_gets_the_workers_of_one_rack():
    workers = fragmented_workers()
    found = plan(gang(2, rack_bound=True), workers)
    assert len({target.rack for target in found.assignment.values()}) == 1


def test_the_run_that_loses_the_least_is_moved():
    workers = fragmented_workers(cpu=20_000)
    cheap = first_step(job("a" * 16, Step(gpus=1, cpu=1000, checkpointing=True)))
    (costly,) = workers[4].tasks.values()
    workers[4].remove_task(costly)
    run_on(cheap.tasks[0], workers[4], since=NOW - 5.0)
    assert plan(gang(1), workers).moved == [cheap.tasks[0]]


def test_nothing_is_moved_unless_the_idle_capacity_would_hold_the_gang_twice():
    workers = fragmented_workers()
    for target in workers[:3]:
        small_run(target, f"{workers.index(target) + 8:x}", gpus=7, checkpointing=False)
    # 21 accelerators are idle, and 16 are needed.
    assert plan(gang(2), workers) is None


@pytest.mark.parametrize(
    "shape",
    [
        {"checkpointing": False},
        {"long_running": True},
        {"rack_bound": True},
        {"priority": 0},
    ],
)
def test_runs_without_checkpoints_lasting_rack_bound_and_urgent_ones_stay(shape):
    assert plan(gang(2), fragmented_workers(**shape)) is None


def test_runs_of_a_higher_priority_than_the_gang_stay():
    assert plan(gang(2, priority=2), fragmented_workers(priority=1)) is None
    assert plan(gang(2, priority=1), fragmented_workers(priority=1)) is not None


@pytest.mark.parametrize("status", [TaskStatus.PLACED, TaskStatus.STOPPING])
def test_runs_that_do_not_run_yet_or_any_more_are_not_moved(status):
    workers = fragmented_workers()
    for target in workers:
        for task in target.tasks.values():
            task.status = status
    found = plan(gang(2), workers)
    assert found is None


# Guards against runs that are moved again and again and never end.
def test_a_run_is_moved_once_at_most():
    workers = fragmented_workers()
    for target in workers[:5]:
        for task in target.tasks.values():
            task.made_room = True
    assert plan(gang(2), workers) is None
    assert [task.worker for task in plan(gang(1), workers).moved] == [workers[5]]


def test_a_run_out_of_reach_is_not_moved():
    workers = fragmented_workers()
    for target in workers:
        target.silent = True
    assert plan(gang(2), workers) is None


def test_runs_that_fit_nowhere_else_stay():
    workers = fragmented_workers()
    assert plan(gang(2), workers, targets=[]) is None
    small = worker("small", gpus=1)
    assert plan(gang(2), workers, targets=[small]) is None
    assert plan(gang(1), workers, targets=[small]) is not None


def test_runs_move_only_to_sound_workers_that_the_gang_does_not_take():
    workers = fragmented_workers()
    canary = worker("canary")
    canary.health = WorkerHealth.CANARY
    assert plan(gang(2), workers, targets=[canary]) is None
    assert plan(gang(WORKERS // 2), workers[:3], targets=workers[:3]) is None


def test_a_run_near_its_data_moves_only_within_that_rack():
    workers = fragmented_workers(3, data_rack=RackId("r0"))
    far = [worker(f"x{number}", "r9") for number in range(3)]
    for target in far[:2]:
        small_run(target, target.id[1], checkpointing=False)
    # Besides the whole worker, one of those near the data has to be freed.
    step = gang(2)
    assert len(plan(step, [*workers, *far]).moved) == 1
    assert plan(step, [*workers, *far], targets=far) is None


def test_a_limit_per_worker_holds_for_moved_runs():
    workers = [worker(f"w{number}") for number in range(4)]
    shape = Step(
        count=4,
        cpu=1000,
        gpus=1,
        checkpointing=True,
        max_per_worker=1,
        estimated_ms=LONG_MS,
    )
    step = first_step(job("1" * 16, shape, priority=2))
    for task, target in zip(step.tasks, workers, strict=True):
        run_on(task, target)
    assert plan(gang(1), workers) is None
    assert plan(gang(1), [*workers, worker("more", gpus=7)]) is not None


# All members have to be moved, since the loss of one ends the gang.
def test_a_gang_is_moved_whole_or_not_at_all():
    workers = [worker(f"w{number}") for number in range(5)]
    shape = Step(
        count=2, cpu=1000, gpus=1, gang=True, checkpointing=True, estimated_ms=LONG_MS
    )
    members = first_step(job("1" * 16, shape, priority=2)).tasks
    for task, target in zip(members, workers, strict=False):
        run_on(task, target)
    for number, target in enumerate(workers[2:]):
        small_run(target, str(number + 2), checkpointing=False)
    found = plan(gang(1), workers)
    assert found.moved == members
    single = worker("single", gpus=1)
    assert plan(gang(1), workers, targets=[single]) is None


# Guards against moves that throw away more work than the earlier start of the gang
# brings.
def test_nothing_is_moved_if_the_gain_is_smaller_than_the_lost_work():
    workers = fragmented_workers(12, cpu=30_000, memory_mb=10, priority=1)
    memory = workers[0].entry.memory_mb
    workers.append(worker("target", gpus=7, memory_mb=memory - 1))
    # Of little weight, but it needs all the memory of a worker.
    slight = gang(1, cpu=100, gpus=0, memory_mb=memory)
    assert plan(slight, workers) is None
    assert plan(gang(1), workers) is not None


@pytest.mark.parametrize(
    ("starts_in", "moves"),
    [
        (BOUNDS.stop + ORDER_LATENCY_SECONDS + MIN_SECONDS_GAINED - 0.1, False),
        (BOUNDS.stop + ORDER_LATENCY_SECONDS + MIN_SECONDS_GAINED + 0.1, True),
    ],
)
def test_a_gang_that_starts_about_as_soon_without_moves_waits(starts_in, moves):
    found = plan(gang(2), fragmented_workers(), starts_in=starts_in)
    assert (found is not None) is moves


def test_a_gang_that_has_just_begun_to_wait_gets_no_moves():
    step = gang(2, waited=MIN_WAIT_SECONDS - 0.1)
    assert plan(step, fragmented_workers()) is None


# A job that is too late to be useful gains nothing from an earlier start.
def test_nothing_is_moved_for_a_job_that_is_useless_by_now():
    step = gang(2)
    step.job.due_at = NOW - 600.0
    assert plan(step, fragmented_workers()) is None


def budget_of(workers: list[Worker]) -> float:
    """Return the whole budget in thousandths of core-seconds."""
    capacity = 0
    for target in workers:
        capacity += target.entry.cpu + target.entry.gpus * ACCELERATOR_MILLICORES
    return capacity * BUDGET_SHARE * BUDGET_SECONDS


def close_attempt(decision: Defragmentation, step: StepRun, now: float):
    """End an attempt as one after which the gang runs."""
    for task in step.tasks:
        task.status = TaskStatus.RUNNING
    decision.begin_round(now)
    for task in step.tasks:
        task.status = TaskStatus.WAITING


# Guards against moves that together throw away much work under lasting overload.
def test_moves_keep_to_a_budget_of_lost_work_that_is_renewed_over_time():
    workers = fragmented_workers()
    decision = Defragmentation(BOUNDS, Durations())
    lost = 0.0
    plans = 0
    now = NOW
    while now < NOW + 10.0:
        step = gang(2, now=now)
        found = plan(step, workers, decision, now=now)
        if found is not None:
            plans += 1
            lost += sum(found.losses.values())
            close_attempt(decision, step, now)
        now += 0.1
    assert plans
    assert lost <= budget_of(workers) * (1 + 10.0 / BUDGET_SECONDS)
    assert plan(gang(2, now=now), workers, decision, now=now) is None
    later = now + BUDGET_SECONDS
    renewed = fragmented_workers(now=later)
    assert plan(gang(2, now=later), renewed, decision, now=later) is not None


def test_the_loss_of_a_move_counts_the_restore_from_the_checkpoint():
    found = plan(gang(1), fragmented_workers())
    ((task, lost),) = found.losses.items()
    assert lost == pytest.approx(BOUNDS.restore * task.step.task_weight)
    assert lost / MILLICORES_PER_CORE < 20


def failed_attempt(decision: Defragmentation, now: float) -> StepRun:
    """Begin an attempt whose reservations are released without a start."""
    step = gang(2, now=now)
    assert plan(step, fragmented_workers(now=now), decision, now=now) is not None
    for task in step.tasks:
        task.status = TaskStatus.RESERVED
    decision.begin_round(now + 1.0)
    for task in step.tasks:
        task.status = TaskStatus.WAITING
    decision.begin_round(now + 1.0)
    return step


def test_one_attempt_at_a_time():
    decision = Defragmentation(BOUNDS, Durations())
    step = gang(2)
    assert plan(step, fragmented_workers(), decision) is not None
    for task in step.tasks:
        task.status = TaskStatus.RESERVED
    decision.begin_round(NOW + 1.0)
    assert plan(gang(1), fragmented_workers(), decision, now=NOW + 1.0) is None
    close_attempt(decision, step, NOW + 1.5)
    assert plan(gang(1), fragmented_workers(), decision, now=NOW + 1.5) is not None


# Guards against moves in vain over and over, for example while a worker does not carry
# out its stop orders.
def test_moves_pause_after_a_failed_attempt_and_longer_after_further_ones():
    decision = Defragmentation(BOUNDS, Durations())
    now = NOW
    pause = FIRST_PAUSE_SECONDS
    for _ in range(2):
        failed_attempt(decision, now)
        now += 1.0 + pause
        early = now - 0.1
        workers = fragmented_workers(now=early)
        assert plan(gang(2, now=early), workers, decision, now=early) is None
        pause *= 2
    workers = fragmented_workers(now=now)
    assert plan(gang(2, now=now), workers, decision, now=now) is not None


def test_the_pause_is_bounded_and_a_success_ends_its_growth():
    decision = Defragmentation(BOUNDS, Durations())
    now = NOW
    for _ in range(8):
        failed_attempt(decision, now)
        ended = now + 1.0
        now = decision.paused_until
    assert now - ended == MAX_PAUSE_SECONDS
    step = gang(2, now=now)
    assert plan(step, fragmented_workers(now=now), decision, now=now) is not None
    close_attempt(decision, step, now)
    now += 1.0
    failed_attempt(decision, now)
    assert decision.paused_until == now + 1.0 + FIRST_PAUSE_SECONDS


def test_the_end_of_the_job_is_no_failure():
    decision = Defragmentation(BOUNDS, Durations())
    step = gang(2)
    assert plan(step, fragmented_workers(), decision) is not None
    step.job.state = JobState.CANCELLED
    decision.begin_round(NOW + 0.5)
    assert plan(gang(1), fragmented_workers(), decision, now=NOW + 0.5) is not None


# Guards against rounds that take long: a search looks at all workers.
def test_moves_for_a_gang_are_not_looked_for_in_every_round():
    decision = Defragmentation(BOUNDS, Durations())
    workers = fragmented_workers(checkpointing=False)
    step = gang(2)
    assert plan(step, workers, decision) is None
    for number, target in enumerate(workers):
        target.remove_task(next(iter(target.tasks.values())))
        small_run(target, f"{number:x}")
    assert plan(step, workers, decision, now=NOW + RETRY_SECONDS / 2) is None
    assert plan(step, workers, decision, now=NOW + RETRY_SECONDS) is not None


def test_a_gang_that_only_some_workers_may_run_frees_no_others():
    workers = fragmented_workers()
    step = gang(1, label="near")
    assert plan(step, workers) is None
    near = [
        worker(f"n{number}", labels=frozenset({"near"}), gpus=8) for number in range(3)
    ]
    for number, target in enumerate(near):
        small_run(target, f"{number + 8:x}")
    found = plan(step, [*workers, *near])
    (target,) = found.assignment.values()
    assert target.id in {WorkerId("n0"), WorkerId("n1"), WorkerId("n2")}
