"""Rounds under urgent load: who sees headroom, and what it does for urgent gangs."""

import asyncio
import random
from types import SimpleNamespace
from unittest import mock

import msgspec
from common.history import lines_of, start_times
from common.scheduling import NOW, SERVICE, first_step, job, run_on, workers_in_racks

from zinniatrestle.clock import monotonic
from zinniatrestle.deployment import Bounds
from zinniatrestle.events import Event
from zinniatrestle.jobs.messages import Step
from zinniatrestle.metrics import Metrics
from zinniatrestle.queues import OperatorState
from zinniatrestle.scheduling.context import Policy
from zinniatrestle.scheduling.durations import Durations
from zinniatrestle.scheduling.forecast import Forecast
from zinniatrestle.scheduling.headroom import MAX_HEADROOM_SHARE, HeadroomPhase
from zinniatrestle.scheduling.headroom_control import HeadroomControl
from zinniatrestle.scheduling.messages import Handover
from zinniatrestle.scheduling.wait_limits import MAX_WAIT_SHARE, WaitLimits
from zinniatrestle.standins.checker import violations
from zinniatrestle.standins.model import Model, run_virtual, step
from zinniatrestle.standins.runs import FleetTraits

BOUNDS = Bounds(stop=0.9, reclaim=3.4)
URGENT = Step(count=2, cpu=1000, memory_mb=1000, gpus=8, gang=True)
BACKGROUND = Step(count=4, cpu=1000, memory_mb=1000, gpus=1)
MAX_WAIT = BOUNDS.finish * MAX_WAIT_SHARE


def control_of(handover=None, policy=None) -> HeadroomControl:
    """Return the headroom of a scheduler that starts at NOW."""
    operator = OperatorState()
    operator.queues = {"urgent": SimpleNamespace(service=SERVICE, regions=frozenset())}
    context = SimpleNamespace(
        deployment=SimpleNamespace(bounds=BOUNDS),
        policy=policy,
        leadership=SimpleNamespace(handover=handover or Handover()),
        operator=operator,
        metrics=Metrics(),
        events=SimpleNamespace(write=mock.Mock()),
    )
    with mock.patch("zinniatrestle.scheduling.headroom_control.boot_time", lambda: NOW):
        return HeadroomControl(context)


def urgent_job(name, arrived=NOW):
    return job(name, URGENT, priority=0, queue="urgent", arrived=arrived)


def control_under_load(policy=None) -> HeadroomControl:
    """Return the headroom after 20 urgent jobs in 20 s, of which three had to wait."""
    control = control_of(policy=policy)
    for number in range(1, 21):
        arrived = urgent_job(f"u{number}", NOW + number)
        control.learn_arrival(arrived)
        control.begin_round([], Forecast(Durations(), NOW + number))
        if number > 17:
            control.record_wait(first_step(arrived))
    return control


def background_step(waited=0.0, now=NOW + 20.0):
    waiting = first_step(job("b" * 16, BACKGROUND, priority=2, arrived=now - waited))
    waiting.ready_at = now - waited
    return waiting


def visible(control, waiting, workers, now=NOW + 20.0):
    control.begin_round(workers, Forecast(Durations(), now))
    limits = WaitLimits(BOUNDS, workers, now)
    return control.workers_for(waiting, limits, SERVICE)


def test_less_urgent_steps_do_not_see_the_workers_held_for_urgent_gangs():
    control = control_under_load()
    workers = workers_in_racks(10, size=4)
    seen = visible(control, background_step(), workers)
    # 1.5 gangs of two tasks are expected within 1.5 s.
    assert len(seen) == len(workers) - 3
    assert control.context.metrics.headroom_workers == 3
    assert control.context.metrics.headroom_accelerators == 24
    urgent = first_step(urgent_job("x" * 16, NOW + 20.0))
    assert visible(control, urgent, workers) == workers


# Guards against capacity held for the time until a preemption, where nothing is
# preempted.
def test_a_policy_without_preemption_holds_no_capacity_back():
    control = control_under_load(Policy(preempts=False))
    workers = workers_in_racks(10, size=4)
    assert visible(control, background_step(), workers) == workers


# Guards against accepted work that never runs because capacity is held for other work.
def test_a_background_step_whose_wait_limit_has_expired_uses_headroom():
    control = control_under_load()
    workers = workers_in_racks(10, size=4)
    for busy in workers[:36]:
        running = job(busy.id, Step(cpu=1000, gpus=8, estimated_ms=60_000), priority=1)
        run_on(first_step(running).tasks[0], busy, NOW)
    assert len(visible(control, background_step(MAX_WAIT - 0.1), workers)) == 37
    assert visible(control, background_step(MAX_WAIT + 0.1), workers) == workers


def test_a_background_step_of_which_tasks_run_leaves_headroom_alone():
    control = control_under_load()
    workers = workers_in_racks(10, size=4)
    partly_placed = background_step(MAX_WAIT + 0.1)
    run_on(partly_placed.tasks[0], workers[0], NOW + 19.0)
    assert len(visible(control, partly_placed, workers)) == 37


def test_urgent_jobs_that_find_room_at_once_cause_no_headroom():
    control = control_of()
    for number in range(1, 21):
        control.learn_arrival(urgent_job(f"u{number}", NOW + number))
    workers = workers_in_racks(10, size=4)
    assert visible(control, background_step(), workers) is workers
    assert control.headroom.phase is HeadroomPhase.INACTIVE


def test_a_step_that_waits_for_many_rounds_counts_as_one_wait():
    control = control_of()
    control.begin_round([], Forecast(Durations(), NOW))
    waiting = first_step(urgent_job("u" * 16))
    for _ in range(10):
        control.record_wait(waiting)
    assert control.headroom.pressure_now(NOW) == 1


# Guards against a successor that has to learn the load and wait for urgent gangs to be
# late before it holds anything back.
def test_headroom_is_handed_over_to_a_successor():
    control = control_under_load()
    workers = workers_in_racks(10, size=4)
    visible(control, background_step(), workers)
    with mock.patch(
        "zinniatrestle.scheduling.headroom_control.boot_time", lambda: NOW + 20.0
    ):
        row = msgspec.msgpack.encode(Handover(**control.export()))
    successor = control_of(msgspec.msgpack.decode(row, type=Handover))
    seen = visible(successor, background_step(now=NOW + 0.5), workers, NOW + 0.5)
    assert len(seen) == len(workers) - 3


def test_a_successor_without_a_forecast_holds_nothing_back():
    workers = workers_in_racks(10, size=4)
    assert visible(control_of(), background_step(), workers) is workers


def test_the_begin_a_change_and_the_end_of_headroom_are_logged():
    control = control_under_load()
    workers = workers_in_racks(10, size=4)
    for seconds in (20.0, 20.2, 200.0, 220.0):
        visible(control, background_step(), workers, NOW + seconds)
    logged = []
    for call in control.context.events.write.call_args_list:
        assert call.args == (Event.HEADROOM,)
        logged.append((call.kwargs["phase"], call.kwargs["gpus"]))
    # It holds nothing once nothing is expected, and ends some time after.
    assert logged == [("active", 24), ("active", 0), ("inactive", 0)]


# Load on a whole deployment: urgent gangs that want whole workers arrive independently
# of each other, while more background tasks wait than the deployment holds.
WORKERS = 40
# A job this short is on time only if it starts within 0.9 s, too soon for a preemption.
URGENT_SECONDS = 1.0
START_BY_SECONDS = 0.3
BACKGROUND_SECONDS = 3.0
WARM_UP_SECONDS = 15.0
PLAY_SECONDS = 45.0


async def submit_background(model: Model):
    """Keep a little more background work waiting than the deployment holds."""
    task = step(8, cpu=2000, gpus=2, seconds=BACKGROUND_SECONDS)
    while True:
        for _ in range(6):
            await model.submit("patient", (task,), BACKGROUND_SECONDS, "second")
        await asyncio.sleep(0.8)


async def play_urgent_load(model: Model) -> tuple[float, float]:
    """Return the share of urgent gangs that start at once, and that of busy workers."""
    rng = random.Random(model.seed)
    await model.start(workers=WORKERS, rack=8)
    # Accounts without a guarantee, so that only value justifies a preemption.
    model.operator.accounts = tuple(
        msgspec.structs.replace(account, guaranteed=0)
        for account in model.operator.accounts
    )
    model.operator.write()
    background = asyncio.create_task(submit_background(model))
    began = monotonic()
    sent: dict[str, float] = {}
    busy = []
    next_urgent = began
    while monotonic() - began < PLAY_SECONDS:
        is_warm = monotonic() - began > WARM_UP_SECONDS
        if monotonic() >= next_urgent:
            next_urgent += rng.expovariate(1.0)
            shape = step(2, cpu=8000, gpus=8, gang=True, seconds=URGENT_SECONDS)
            sent_at = monotonic()
            name = await model.submit("urgent", (shape,), URGENT_SECONDS)
            if is_warm:
                sent[name] = sent_at
        if is_warm:
            used = sum(bool(worker.running) for worker in model.fleet.workers.values())
            busy.append(used / WORKERS)
        await asyncio.sleep(0.1)
    background.cancel()
    await asyncio.sleep(5.0)
    at_once = 0
    for name, sent_at in sent.items():
        starts = start_times(model, name)
        at_once += len(starts) > 1 and starts[1] - sent_at <= START_BY_SECONDS
    found = violations(model)
    await model.stop()
    assert found == []
    return at_once / len(sent), sum(busy) / len(busy)


# Guards against urgent gangs that wait while background tasks take each worker that
# comes free, and against headroom that costs more than its share.
def test_urgent_gangs_find_whole_workers_while_background_tasks_wait():
    traits = FleetTraits(checkpoints_by_step=True)
    model = Model(1, bounds=BOUNDS, traits=traits)
    at_once, busy = run_virtual(play_urgent_load(model))
    # Without headroom half of them start that soon, and 0.99 of the workers are busy.
    assert at_once >= 0.85
    assert busy >= 1 - MAX_HEADROOM_SHARE
    assert lines_of(model, "headroom", phase="active")
    assert lines_of(model, "job_waits", reason="headroom", priority=2)
    assert not lines_of(model, "job_waits", reason="headroom", priority=0)
