"""Client for orders to workers: refusals differ from unknown outcomes."""

import asyncio

import msgspec
import pytest
from common.odd_input import (
    BEYOND_64_BITS,
    UNREADABLE,
    damaged_texts,
    deterministic,
    with_nested_field,
)
from common.permission import Permission
from hypothesis import given

from zinniatrestle.clock import boot_time
from zinniatrestle.errors import WorkerError
from zinniatrestle.ids import BootSeconds, Generation, RowName, RunNumber, TaskId
from zinniatrestle.platform.connections import ConnectionPool
from zinniatrestle.platform.orders import PlatformWorkerOrders, decode_hold_answer
from zinniatrestle.platform.registry import PlatformWorkerRows
from zinniatrestle.standins.wire import WireWorker, serve_app
from zinniatrestle.workers.messages import (
    Acknowledgement,
    MalformedAnswerError,
    Refusal,
    RefusedOrderError,
    RunOutcome,
    StartOrder,
    UnansweredOrderError,
)

TASK = TaskId("00000000000000aa.0.0.0")
GENERATION = Generation(3)
ALWAYS = Acknowledgement(57, BootSeconds(float("inf")))
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
        client = ConnectionPool()
        async with serve_app(worker.app()) as address:
            try:
                orders = PlatformWorkerOrders(client, Permission())
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


# Guards against a new instance that forgets ends which nobody has read (TWICE).
def test_ends_are_acknowledged_only_over_connections_opened_before_a_time():
    async def check(worker, orders, worker_entry):
        worker.body = {"clockMs": 7000}
        confirmed_at = boot_time()
        for _ in range(2):
            answer = await orders.hold(
                worker_entry,
                GENERATION,
                Acknowledgement(57, confirmed_at),
                None,
                0.0,
                TIMEOUT_SECONDS,
            )
            assert confirmed_at < answer.sent_at <= boot_time()
            confirmed_at = answer.sent_at
        assert [body["lastSeen"] for _, body, _ in worker.calls] == [0, 57]
        assert answer.acknowledged_end == 57

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
            worker_entry, GENERATION, ALWAYS, 12000, 0.1, TIMEOUT_SECONDS
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


LISTS = {
    "clockMs": 7000,
    "born": 17,
    "running": [[TASK, 2, "saved", 41, 12.5]],
    "ended": [[58, TASK, 1, "broken", ""]],
}


def changed(**changes) -> bytes:
    return msgspec.json.encode({**LISTS, **changes})


# Without the name of a running task nothing can be concluded from its absence.
@pytest.mark.parametrize(
    "body",
    [
        *(pytest.param(text, id=name) for name, text in UNREADABLE.items()),
        with_nested_field(LISTS),
        changed(clockMs=None),
        changed(clockMs=-1),
        changed(clockMs=BEYOND_64_BITS),
        changed(born=BEYOND_64_BITS),
        changed(born=-1),
        changed(running={}),
        changed(running=[["short"]]),
        changed(running=[7]),
        changed(running=[[7, 1]]),
        changed(running=[[TASK, "1"]]),
        changed(running=[[TASK, -1]]),
        changed(running=[[TASK, BEYOND_64_BITS]]),
        changed(running=[["x" * 5000, 1]]),
        changed(running=[*LISTS["running"], None]),
        changed(ended=7),
        msgspec.json.encode({"running": []}),
    ],
)
def test_malformed_lists_count_as_no_answer(body):
    with pytest.raises(UnansweredOrderError) as caught:
        decode_hold_answer(body)
    assert isinstance(caught.value, MalformedAnswerError)
    assert caught.value.detail


@pytest.mark.parametrize(
    "fields",
    [
        [],
        [7],
        [None, 50],
        ["saved", "x"],
        ["saved", -1, 1],
        ["saved", 41, "x"],
        ["saved", BEYOND_64_BITS, 1],
        ["saved", 41, BEYOND_64_BITS],
        ["x" * 5000, 41, 1],
    ],
)
def test_a_running_entry_is_used_without_its_damaged_fields(fields):
    other = TaskId("00000000000000bb.0.0.0")
    answer = decode_hold_answer(changed(running=[[TASK, 2, *fields], [other, 1]]))
    assert [(run.task, run.run) for run in answer.running] == [(TASK, 2), (other, 1)]
    for run in answer.running:
        assert run.checkpoint in ("", "saved")
        assert 0 <= run.percent <= 100
    assert answer.ended[0].number == 58


def test_an_end_with_an_unknown_outcome_is_an_end():
    ended = [[1, TASK, 1, "unheard", "saved"], [2, TASK, 2, "done", ""]]
    answer = decode_hold_answer(changed(ended=ended))
    outcomes = [end.outcome for end in answer.ended]
    assert outcomes == [RunOutcome.UNKNOWN, RunOutcome.DONE]
    assert TASK in answer.damage


@pytest.mark.parametrize("checkpoint", [7, None, "x" * 5000, [], {"a": 1}])
def test_an_end_counts_without_its_damaged_checkpoint(checkpoint):
    answer = decode_hold_answer(changed(ended=[[1, TASK, 1, "done", checkpoint]]))
    (end,) = answer.ended
    assert (end.outcome, end.checkpoint) == (RunOutcome.DONE, "")


@pytest.mark.parametrize(
    "entry, numbers",
    [
        ([60], (60,)),
        ([60, 7, 1, "done", ""], (60,)),
        ([60, TASK, BEYOND_64_BITS, "done", ""], (60,)),
        ([60, TASK, 1, 7, ""], (60,)),
        (["60", TASK, 1, "done", ""], ()),
        ([0, TASK, 1, "done", ""], ()),
        ([-1, TASK, 1, "done", ""], ()),
        ([BEYOND_64_BITS, TASK, 1, "done", ""], ()),
        ([], ()),
        ("end", ()),
        (None, ()),
    ],
)
def test_an_end_that_cannot_be_read_hides_no_other(entry, numbers):
    answer = decode_hold_answer(changed(ended=[*LISTS["ended"], entry]))
    assert [end.number for end in answer.ended] == [58]
    assert answer.unreadable_ends == numbers
    assert answer.last_end == max(58, *numbers, 0)
    assert answer.damage


@deterministic
@given(damaged_texts(LISTS))
def test_any_lists_are_usable_or_malformed(text):
    try:
        answer = decode_hold_answer(text)
    except MalformedAnswerError:
        return
    # What later parts need: rows, log lines, orders and sums.
    msgspec.msgpack.encode(answer)
    msgspec.json.encode(answer)
    assert 0 <= answer.last_end <= 2**53
    for run in answer.running:
        assert 0 <= run.percent <= 100


def test_a_start_with_an_unreadable_answer_may_have_been_carried_out():
    async def check(worker, orders, worker_entry):
        for body in UNREADABLE.values():
            worker.body = msgspec.Raw(body)
            with pytest.raises(UnansweredOrderError):
                await orders.start(worker_entry, start_order(), TIMEOUT_SECONDS)

    run_with_worker(check)


def test_a_refusal_that_cannot_be_read_is_an_error_of_the_worker():
    async def check(worker, orders, worker_entry):
        worker.status = 409
        for body in UNREADABLE.values():
            worker.body = msgspec.Raw(body)
            with pytest.raises(WorkerError):
                await orders.start(worker_entry, start_order(), TIMEOUT_SECONDS)

    run_with_worker(check)


# Guards against orders of a host whose lease expired while it opened a connection.
@pytest.mark.parametrize("order", ["start", "stop", "pace", "hold"])
def test_no_order_is_sent_once_the_permission_has_run_out(order):
    async def check(worker, orders, worker_entry):
        orders.permission.is_given = False
        calls = {
            "start": lambda: orders.start(worker_entry, start_order(), TIMEOUT_SECONDS),
            "stop": lambda: orders.stop(
                worker_entry, TASK, RunNumber(2), GENERATION, TIMEOUT_SECONDS
            ),
            "pace": lambda: orders.pace(
                worker_entry, TASK, RunNumber(2), 50, GENERATION, TIMEOUT_SECONDS
            ),
            "hold": lambda: orders.hold(
                worker_entry, GENERATION, ALWAYS, None, 0.0, TIMEOUT_SECONDS
            ),
        }
        with pytest.raises(RefusedOrderError) as caught:
            await calls[order]()
        assert caught.value.refusal is Refusal.NOT_ORDERED
        assert worker.calls == []

    run_with_worker(check)


# Guards against a list of ends that is cut off at its limit and taken for complete.
@pytest.mark.parametrize(
    ("listed", "all_listed"), [(0, True), (499, True), (500, False)]
)
def test_a_full_list_of_ends_may_lack_some(listed, all_listed):
    ended = [[number, TASK, 1, "done", ""] for number in range(1, listed + 1)]
    assert decode_hold_answer(changed(ended=ended)).lists_all_ends is all_listed


def test_ends_that_cannot_be_read_count_as_listed():
    ended = [[number, None] for number in range(1, 501)]
    assert not decode_hold_answer(changed(ended=ended)).lists_all_ends
