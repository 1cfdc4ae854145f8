"""Unanswered orders are retried without running a task twice."""

import asyncio
from unittest import mock

import pytest
from common.history import start_events

from zinniatrestle.clock import monotonic
from zinniatrestle.deployment import Bounds
from zinniatrestle.ids import RunNumber, TaskId
from zinniatrestle.jobs import Step
from zinniatrestle.scheduling.session import (
    HOLD_SHARE,
    HOLD_WAIT_SECONDS,
    ORDER_TIMEOUTS_SECONDS,
)
from zinniatrestle.standins.checker import check_capacity, violations
from zinniatrestle.standins.host_orders import HostOrders
from zinniatrestle.standins.idle_waits import MAX_IDLE_SECONDS
from zinniatrestle.standins.model import Model, run_virtual, step
from zinniatrestle.standins.runs import EventKind, OrderMode, TaskScript
from zinniatrestle.workers.lease import MIN_CLOCK_RATE
from zinniatrestle.workers.messages import (
    Refusal,
    RefusedOrderError,
    StartOrder,
    UnansweredOrderError,
)

BOUNDS = Bounds()
# Time for a report, a round and the next start.
DETECTION_SECONDS = 3.0
# Longer than the delay after which an unanswered order may still be carried out.
MAX_ORDER_DELAY_SECONDS = 15.0


async def run_gang_with_unanswered_first_starts() -> Model:
    model = Model(1)
    await model.start(workers=4, rack=4)
    model.fleet.late_order_share = 1.0
    await model.submit("urgent", (step(3, gpus=8, gang=True),), 2.0)
    await asyncio.sleep(ORDER_TIMEOUTS_SECONDS[0] / 2)
    model.fleet.late_order_share = 0.0
    assert await model.wait_for_jobs(30.0)
    await asyncio.sleep(MAX_ORDER_DELAY_SECONDS)
    return model


def test_gang_starts_when_first_start_orders_get_no_answer():
    model = run_virtual(run_gang_with_unanswered_first_starts())
    assert {event.run for event in start_events(model)} == {1}
    assert len(start_events(model)) == 3
    (outcome,) = model.jobs.values()
    assert (
        outcome.completed_at - outcome.sent_at
        < 2.0 + 2 * ORDER_TIMEOUTS_SECONDS[0] + 0.5
    )
    assert violations(model) == []


def test_single_unanswered_hold_does_not_mark_worker_silent():
    async def play():
        model = Model(1)
        await model.start(workers=2, rack=2)
        await model.submit("usual", (step(2, gpus=8),), 6.0)
        await asyncio.sleep(2.0)
        for worker in model.fleet.workers.values():
            worker.reachable = False
        # Each worker receives at least one hold within this time.
        await asyncio.sleep(HOLD_WAIT_SECONDS)
        for worker in model.fleet.workers.values():
            worker.reachable = True
        assert await model.wait_for_jobs(20.0)
        return [line["event"] for line in model.lines]

    assert "worker_silent" not in run_virtual(play())


async def run_with_unanswered_stop() -> tuple[Model, float]:
    model = Model(1)
    await model.start(workers=1, rack=1)
    job = await model.submit("usual", (step(1),), 20.0)
    await asyncio.sleep(1.0)
    model.fleet.late_order_share = 1.0
    await model.cancel(job)
    cancelled_at = model.jobs[job].cancelled_at
    await asyncio.sleep(ORDER_TIMEOUTS_SECONDS[0] / 2)
    model.fleet.late_order_share = 0.0
    await asyncio.sleep(MAX_ORDER_DELAY_SECONDS)
    ends = [event for event in model.fleet.history if event.kind is EventKind.END]
    return model, ends[0].at - cancelled_at


def test_unanswered_stop_is_retried_immediately():
    model, seconds = run_virtual(run_with_unanswered_stop())
    assert seconds < model.bounds.stop + 2 * ORDER_TIMEOUTS_SECONDS[0]


@pytest.mark.parametrize("seconds", [1.0, 3.0, 6.0])
def test_start_left_unanswered_for_some_seconds_runs_once(seconds):
    async def play():
        model = Model(2)
        await model.start(workers=4, rack=4)
        model.fleet.late_order_share = 1.0
        await model.submit("usual", (step(1),), 1.0)
        await asyncio.sleep(seconds)
        model.fleet.late_order_share = 0.0
        assert await model.wait_for_jobs(60.0)
        await asyncio.sleep(MAX_ORDER_DELAY_SECONDS)
        return violations(model)

    assert run_virtual(play()) == []


# Guards against a task that waits without a limit for the answer to a stop.
@pytest.mark.parametrize("gang", [False, True])
def test_run_is_repeated_elsewhere_if_its_worker_answers_holds_but_no_orders(gang):
    async def play():
        model = Model(1)
        await model.start(workers=4, rack=4)
        model.fleet.workers["w0"].order_mode = OrderMode.DROPPED
        shape = step(2 if gang else 1, gpus=8, gang=gang)
        await model.submit("usual", (shape,), 1.0)
        sent_at = monotonic()
        assert await model.wait_for_jobs(60.0)
        assert violations(model) == []
        assert any(line.get("worker") == "w0" for line in model.lines)
        return max(event.at for event in start_events(model)) - sent_at

    lease = BOUNDS.max_hold * HOLD_SHARE / MIN_CLOCK_RATE
    assert run_virtual(play()) <= lease + DETECTION_SECONDS < BOUNDS.finish


# Guards against a task that waits for a lease, beside idle workers, since its start got
# no answer (LOST).
@pytest.mark.parametrize("gang", [False, True])
@pytest.mark.parametrize("mode", [OrderMode.DROPPED, OrderMode.LATE])
def test_unanswered_start_is_repeated_elsewhere_within_the_bound_on_waits(gang, mode):
    async def play():
        model = Model(1)
        await model.start(workers=6, rack=6)
        model.fleet.workers["w0"].order_mode = mode
        shape = step(3 if gang else 1, gpus=8, gang=gang)
        await model.submit("usual", (shape,), 1.0)
        sent_at = monotonic()
        assert await model.wait_for_jobs(60.0)
        assert any(line["event"] == "run_unanswered" for line in model.lines)
        await asyncio.sleep(MAX_ORDER_DELAY_SECONDS)
        assert violations(model) == []
        return max(event.at for event in start_events(model)) - sent_at

    assert run_virtual(play()) <= MAX_IDLE_SECONDS


# Guards against a step that is placed again and again where orders come late.
@pytest.mark.parametrize("gang", [False, True])
@pytest.mark.parametrize("seed", range(3))
def test_step_is_placed_once_on_a_worker_that_answers_no_orders(gang, seed):
    async def play():
        model = Model(seed)
        await model.start(workers=6, rack=6)
        model.fleet.workers["w0"].order_mode = OrderMode.LATE
        shape = step(3 if gang else 1, gpus=8, gang=gang, seconds=6.0)
        await model.submit("usual", (shape,), 6.0)
        sent_at = monotonic()
        assert await model.wait_for_jobs(120.0)
        placed = [line for line in model.lines if line["event"] == "run_placed"]
        times = sum(line["worker"] == "w0" for line in placed)
        return times, start_events(model)[-1].at - sent_at

    times, seconds = run_virtual(play())
    assert times == 1
    assert seconds <= BOUNDS.finish


# Guards against a worker that is quarantined for an order to its former instance.
def test_restarted_worker_is_not_quarantined_for_a_start_that_it_never_got():
    async def play():
        model = Model(1)
        await model.start(workers=4, rack=4)
        worker = model.fleet.workers["w0"]
        worker.order_mode = OrderMode.DROPPED
        await model.submit("usual", (step(gpus=8),), 1.0)
        await asyncio.sleep(ORDER_TIMEOUTS_SECONDS[0] / 2)
        worker.order_mode = OrderMode.ANSWERED
        model.fleet.restart(worker)
        assert await model.wait_for_jobs(30.0)
        return [line["event"] for line in model.lines]

    assert "worker_quarantined" not in run_virtual(play())


# Guards against a run that counts as lost although its start may still be carried out.
@pytest.mark.parametrize("seed", range(6))
def test_no_run_is_repeated_while_its_late_start_may_be_carried_out(seed):
    async def play():
        model = Model(seed)
        await model.start(workers=4, rack=4)
        model.fleet.late_order_share = 1.0
        for _ in range(4):
            await model.submit("usual", (step(gpus=8),), 15.0)
        await asyncio.sleep(BOUNDS.max_hold)
        model.fleet.late_order_share = 0.0
        assert await model.wait_for_jobs(120.0)
        await asyncio.sleep(MAX_ORDER_DELAY_SECONDS)
        return violations(model)

    assert run_virtual(play()) == []


async def start_unknown_run(model: Model, shape: Step, seconds: float):
    """Start a run on the first worker of which the scheduler has no record."""
    worker = model.fleet.workers["w0"]
    order = StartOrder(
        task=TaskId("0123456789abcdef.0.0.0"),
        run=RunNumber(1),
        spec=TaskScript(seconds=seconds, steps=(shape,)).encoded(),
        deadline_ms=worker.clock_ms() + 9000,
        generation=worker.generation,
    )
    await model.fleet.start(worker.entry, order)


# Guards against a worker that stays unusable after an unknown run on it has ended.
def test_worker_is_used_again_after_unknown_run_whose_stop_got_no_answer():
    async def play():
        model = Model(1)
        await model.start(workers=1, rack=1)
        model.fleet.late_order_share = 1.0
        await start_unknown_run(model, step(1), seconds=1.0)
        await asyncio.sleep(sum(ORDER_TIMEOUTS_SECONDS) + HOLD_WAIT_SECONDS + 1.0)
        assert not model.fleet.workers["w0"].running
        model.fleet.late_order_share = 0.0
        await asyncio.sleep(MAX_ORDER_DELAY_SECONDS)
        await model.submit("usual", (step(1),), 1.0)
        return await model.wait_for_jobs(10.0)

    assert run_virtual(play())


# Guards against the use of capacity that an unknown run keeps until its stop is over.
@pytest.mark.parametrize("seconds", [0.5, 1.3])
def test_unknown_run_keeps_its_capacity_until_it_has_ended(seconds):
    async def play():
        model = Model(1, bounds=Bounds(stop=0.9))
        await model.start(workers=1, rack=1)
        await model.submit("usual", (step(1),), seconds)
        await asyncio.sleep(0.2)
        await start_unknown_run(model, step(1, gpus=7), seconds=60.0)
        await model.submit("usual", (step(1, gpus=8),), 1.0)
        found: list[str] = []
        while not all(model.has_ended(job) for job in model.jobs):
            check_capacity(model.fleet, found)
            await asyncio.sleep(0.05)
        return found

    assert run_virtual(play()) == []


async def first_start_beside_worker_without_answers(lost_orders: set[str]) -> float:
    """Return when a task starts if orders to w0, which ranks first, are lost."""
    answered = {name: getattr(HostOrders, name) for name in ("start", "stop")}

    def lose(name: str):
        async def send(self, worker, *args):
            if worker.worker != "w0" or name not in lost_orders:
                return await answered[name](self, worker, *args)
            await asyncio.sleep(args[-1])
            raise UnansweredOrderError("The order timed out.")

        return send

    model = Model(1)
    await model.start(workers=4, rack=4)
    with (
        mock.patch.object(HostOrders, "start", lose("start")),
        mock.patch.object(HostOrders, "stop", lose("stop")),
    ):
        sent_at = monotonic()
        await model.submit("usual", (step(1),), 1.0)
        await model.wait_for_jobs(3 * model.bounds.finish)
    assert violations(model) == []
    starts = [event.at for event in start_events(model)]
    return min(starts, default=monotonic()) - sent_at


# Guards against a task that is placed again and again where its starts get no answer.
def test_task_whose_starts_get_no_answer_is_placed_on_another_worker():
    waited = run_virtual(first_start_beside_worker_without_answers({"start"}))
    assert waited <= Bounds().finish


# Guards against a task that stays assigned until a stop is answered, without a limit.
def test_task_whose_start_and_stops_get_no_answer_is_placed_after_its_lease():
    orders = {"start", "stop"}
    waited = run_virtual(first_start_beside_worker_without_answers(orders))
    assert waited <= Bounds().finish


# Guards against a start that is sent after its task was placed on another worker.
def test_start_that_waits_behind_unanswered_ones_is_not_sent_once_its_lease_is_over():
    async def play():
        model = Model(1)
        await model.start(workers=1, rack=1)
        lost = model.fleet.workers["w0"]
        await model.submit("usual", (step(32, gpus=0),), 12.0)
        while not any(line["event"] == "run_placed" for line in model.lines):
            await asyncio.sleep(0.001)
        lost.reachable = False
        model.fleet.add("w1")
        while not any(event.worker == "w1" for event in model.fleet.history):
            await asyncio.sleep(0.05)
        lost.reachable, lost.order_mode = True, OrderMode.DROPPED
        while not any(line.get("again") for line in model.lines):
            await asyncio.sleep(0.05)
        lost.order_mode = OrderMode.ANSWERED
        await asyncio.sleep(BOUNDS.max_hold)
        return violations(model)

    assert run_virtual(play()) == []


# Guards against a step that is placed again and again on a worker which refuses it.
@pytest.mark.parametrize("gang", [False, True])
@pytest.mark.parametrize(
    "refusal", [Refusal.NO_ROOM, Refusal.STALE_RUN, Refusal.TOO_LATE, Refusal.MALFORMED]
)
def test_step_is_placed_elsewhere_if_a_worker_refuses_it(gang, refusal):
    start = HostOrders.start

    async def start_or_refuse(self, worker, order, timeout):
        if worker.worker == "w0":
            raise RefusedOrderError(refusal)
        return await start(self, worker, order, timeout)

    async def play():
        model = Model(1)
        await model.start(workers=6, rack=6)
        shape = step(3 if gang else 1, gpus=8, gang=gang)
        await model.submit("usual", (shape,), 1.0)
        sent_at = monotonic()
        assert await model.wait_for_jobs(BOUNDS.finish)
        assert any(line["event"] == "run_refused" for line in model.lines)
        return start_events(model)[-1].at - sent_at

    with mock.patch.object(HostOrders, "start", start_or_refuse):
        assert run_virtual(play()) <= DETECTION_SECONDS


# Guards against jobs that wait for the start orders of one worker that answers none,
# each of which is sent only once those before it have timed out.
def test_jobs_whose_starts_wait_behind_unanswered_ones_start_elsewhere_in_time():
    async def play():
        model = Model(1)
        await model.start(workers=4, rack=4)
        model.fleet.workers["w0"].order_mode = OrderMode.DROPPED
        sent_at = monotonic()
        jobs = [model.submit("usual", (step(gpus=0),), 1.0) for _ in range(24)]
        await asyncio.gather(*jobs)
        assert await model.wait_for_jobs(60.0)
        assert violations(model) == []
        return max(event.at for event in start_events(model)) - sent_at

    assert run_virtual(play()) <= BOUNDS.finish


async def wait_beside_unanswered_starts(workers: int) -> float:
    """Return how long a task waits of which workers leave the first starts unanswered.

    They answer holds, and do nothing.
    """
    model = Model(1)
    await model.start(workers=8, rack=8)
    for number in range(workers):
        model.fleet.workers[f"w{number}"].order_mode = OrderMode.DROPPED
    await model.submit("usual", (step(gpus=8),), 2.0)
    accepted_at = monotonic()
    assert await model.wait_for_jobs(60.0)
    assert violations(model) == []
    unanswered = [
        line
        for line in model.lines
        if line["event"] == "run_unanswered" and line["order"] == "start"
    ]
    assert len(unanswered) == workers
    (start,) = start_events(model)
    return start.at - accepted_at


# Guards against a task that waits for the lease of a run that never started (LOST).
def test_task_whose_start_gets_no_answer_starts_elsewhere_within_the_bound():
    assert run_virtual(wait_beside_unanswered_starts(1)) <= MAX_IDLE_SECONDS


def test_task_of_which_two_starts_get_no_answer_starts_within_the_bound():
    assert run_virtual(wait_beside_unanswered_starts(2)) <= BOUNDS.finish


# Guards against a start that waits behind stops which get no answer (LOST).
def test_start_does_not_wait_behind_stops_without_an_answer():
    async def play():
        model = Model(1)
        await model.start(workers=4, rack=4)
        small = step(24, cpu=500, gpus=0, memory_mb=100, seconds=60.0)
        cancelled = await model.submit("usual", (small,), 60.0)
        while len(start_events(model)) < small.count:
            await asyncio.sleep(0.02)
        (crowded,) = {event.worker for event in start_events(model)}
        model.fleet.workers[crowded].order_mode = OrderMode.DROPPED
        await model.cancel(cancelled)
        job = await model.submit("usual", (step(gpus=0),), 2.0)
        accepted_at = monotonic()
        while not start_events(model, job):
            await asyncio.sleep(0.02)
        return monotonic() - accepted_at

    assert run_virtual(play()) <= BOUNDS.finish
