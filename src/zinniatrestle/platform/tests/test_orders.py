"""Client for orders to workers: refusals differ from unknown outcomes."""

import asyncio

import msgspec
import pytest

from zinniatrestle.ids import Generation, RowName, RunNumber, TaskId
from zinniatrestle.platform.http import HttpClient
from zinniatrestle.platform.orders import PlatformWorkerOrders
from zinniatrestle.platform.registry import PlatformWorkerRows
from zinniatrestle.standins.wire import WireWorker, serve_app
from zinniatrestle.workers.messages import (
    Refusal,
    RefusedOrderError,
    RunOutcome,
    StartOrder,
    UnansweredOrderError,
)

TASK = TaskId("00000000000000aa.0.0.0")
GENERATION = Generation(3)
# Also the time for which a test waits for a worker that never answers.
TIMEOUT_SECONDS = 1.0
ENTRY = {
    "service": "service",
    "address": "127.0.0.1:1",
    "zone": "zone-a",
    "state": "ready",
    "capacity": {"cpu": 8000, "memMb": 1024, "gpus": 2},
    "labels": ["a", "r1-2"],
    "sequence": 4,
    "born": 17,
    "coldRemainingMs": 0,
}


def entry(**changes):
    value = msgspec.json.encode({**ENTRY, **changes})
    return PlatformWorkerRows().decode(RowName("i-1"), value)


def run_with_worker(check):
    async def run():
        worker = WireWorker()
        client = HttpClient()
        async with serve_app(worker.app()) as address:
            try:
                orders = PlatformWorkerOrders(client)
                await check(worker, orders, entry(address=address))
            finally:
                await client.close()

    asyncio.run(run())


def start_order() -> StartOrder:
    return StartOrder(TASK, RunNumber(2), "spec", 9000, GENERATION, "saved", "ticket")


def test_a_start_order_names_the_expected_instance():
    async def check(worker, orders, worker_entry):
        assert await orders.start(worker_entry, start_order(), TIMEOUT_SECONDS) == 5000
        call, body, expected = worker.calls[0]
        assert (call, expected) == ("run-start", "i-1")
        assert body == {
            "task": TASK,
            "run": 2,
            "spec": "spec",
            "deadlineMs": 9000,
            "fencingToken": 3,
            "checkpoint": "saved",
            "ticket": "ticket",
        }

    run_with_worker(check)


@pytest.mark.parametrize(
    "status, body, refusal",
    [
        (409, {"reason": "fence", "clockMs": 1}, Refusal.STALE_GENERATION),
        (409, {"reason": "old", "clockMs": 1}, Refusal.STALE_RUN),
        (409, {"reason": "late", "clockMs": 1}, Refusal.TOO_LATE),
        (409, {"reason": "room", "clockMs": 1}, Refusal.NO_ROOM),
        (409, {"reason": "ticket", "clockMs": 1}, Refusal.BAD_TICKET),
        (421, {}, Refusal.OTHER_INSTANCE),
        (429, {}, Refusal.UNHEALTHY),
        (503, {}, Refusal.UNHEALTHY),
        (400, {}, Refusal.MALFORMED),
    ],
)
def test_a_refused_start_is_decoded_into_its_reason(status, body, refusal):
    async def check(worker, orders, worker_entry):
        worker.status, worker.body = status, body
        with pytest.raises(RefusedOrderError) as caught:
            await orders.start(worker_entry, start_order(), TIMEOUT_SECONDS)
        assert caught.value.refusal is refusal

    run_with_worker(check)


@pytest.mark.parametrize("status", [500, 502, 504])
def test_a_server_error_leaves_the_outcome_unknown(status):
    async def check(worker, orders, worker_entry):
        worker.status = status
        with pytest.raises(UnansweredOrderError):
            await orders.start(worker_entry, start_order(), TIMEOUT_SECONDS)

    run_with_worker(check)


def test_a_missing_answer_leaves_the_outcome_unknown():
    async def check(worker, orders, worker_entry):
        worker.silent = True
        with pytest.raises(UnansweredOrderError):
            await orders.stop(
                worker_entry, TASK, RunNumber(2), GENERATION, TIMEOUT_SECONDS
            )

    run_with_worker(check)


def test_a_port_without_a_listener_refuses_orders():
    async def check(worker, orders, worker_entry):
        worker_entry = entry(address="127.0.0.1:1")
        with pytest.raises(RefusedOrderError) as caught:
            await orders.stop(
                worker_entry, TASK, RunNumber(2), GENERATION, TIMEOUT_SECONDS
            )
        assert caught.value.refusal is Refusal.NOT_LISTENING

    run_with_worker(check)


def test_a_hold_decodes_running_and_ended_runs():
    async def check(worker, orders, worker_entry):
        worker.body = {
            "clockMs": 7000,
            "born": 17,
            "running": [[TASK, 2, "saved", 41, 12.5]],
            "ended": [[58, TASK, 1, "broken", ""]],
        }
        answer = await orders.hold(
            worker_entry, GENERATION, 57, 12000, 0.1, TIMEOUT_SECONDS
        )
        assert (answer.clock_ms, answer.instance) == (7000, 17)
        assert answer.running[0].percent == 41
        assert answer.running[0].load == 12.5
        assert answer.ended[0].outcome is RunOutcome.MEMBER_ENDED
        assert worker.calls[0][1] == {
            "fencingToken": 3,
            "lastSeen": 57,
            "deadlineMs": 12000,
            "waitMs": 100,
        }

    run_with_worker(check)


@pytest.mark.parametrize(
    "body",
    [
        {"clockMs": 1, "running": [["short"]], "ended": []},
        {"clockMs": 1, "running": [], "ended": [[1, TASK, 1, "unheard", ""]]},
        {"running": []},
    ],
)
def test_malformed_lists_count_as_no_answer(body):
    async def check(worker, orders, worker_entry):
        worker.body = body
        with pytest.raises(UnansweredOrderError):
            await orders.hold(worker_entry, GENERATION, 0, None, 0.0, TIMEOUT_SECONDS)

    run_with_worker(check)
