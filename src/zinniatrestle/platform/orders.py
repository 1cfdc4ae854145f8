"""Client for orders to workers."""

from collections.abc import Callable
from functools import partial
from typing import Annotated, Any

import msgspec
from msgspec import Meta

from zinniatrestle.decoding import (
    Counter,
    Duration,
    Factor,
    Name,
    PositiveCounter,
    decode_json,
    summarize,
)
from zinniatrestle.errors import MalformedInputError
from zinniatrestle.ids import BootSeconds, Generation, InstanceId, RunNumber, TaskId
from zinniatrestle.platform.http import (
    Body,
    CallEffect,
    CallError,
    HttpAnswer,
    HttpCaller,
)
from zinniatrestle.workers.interfaces import OrderPermission, WorkerOrders
from zinniatrestle.workers.messages import (
    Acknowledgement,
    EndedRun,
    HoldAnswer,
    MalformedAnswerError,
    Refusal,
    RefusedOrderError,
    RunningTask,
    RunOutcome,
    StartOrder,
    UnansweredOrderError,
    WorkerEntry,
)

INSTANCE_HEADER = "Zinniatrestle-Expect-Instance"
MS_PER_SECOND = 1000.0
# A worker lists at most this many ends, the oldest first.
MAX_LISTED_ENDS = 500
# A job's row has to hold the checkpoints of its tasks.
MAX_CHECKPOINT_LENGTH = 4000

Checkpoint = Annotated[str, Meta(max_length=MAX_CHECKPOINT_LENGTH)]

FULL_PERCENT = 100.0
OK = 200
OTHER_INSTANCE_STATUS = 421
REFUSALS_BY_REASON = {
    "fence": Refusal.STALE_GENERATION,
    "old": Refusal.STALE_RUN,
    "late": Refusal.TOO_LATE,
    "room": Refusal.NO_ROOM,
    "ticket": Refusal.BAD_TICKET,
}
REFUSALS_BY_STATUS = {
    400: Refusal.MALFORMED,
    404: Refusal.MALFORMED,
    OTHER_INSTANCE_STATUS: Refusal.OTHER_INSTANCE,
    429: Refusal.UNHEALTHY,
    503: Refusal.UNHEALTHY,
}


class WireStart(msgspec.Struct, frozen=True, omit_defaults=True):
    """Order to start a run.

    `deadlineMs` is on the worker's clock; `fencingToken` is the generation.
    """

    task: str
    run: int
    spec: str
    deadlineMs: int
    fencingToken: int
    checkpoint: str = ""
    ticket: str = ""


class WireStop(msgspec.Struct, frozen=True):
    """Order to stop a run."""

    task: str
    run: int
    fencingToken: int


class WirePace(msgspec.Struct, frozen=True):
    """Order to change the pace of a run."""

    task: str
    run: int
    percent: int
    fencingToken: int


class WireHold(msgspec.Struct, frozen=True, omit_defaults=True):
    """A hold; the worker drops its records of ends up to number `lastSeen`."""

    fencingToken: int
    lastSeen: int
    deadlineMs: int | None = None
    waitMs: int = 0


class WireRefusal(msgspec.Struct, frozen=True):
    """A refusal, and the worker's clock."""

    reason: str = ""
    clockMs: Counter | None = None


class WireClock(msgspec.Struct, frozen=True):
    """The worker's clock, which each answer with a body has."""

    clockMs: Counter


class WireLists(msgspec.Struct, frozen=True):
    """The running and the ended runs at a worker, each entry decoded by itself."""

    clockMs: Counter
    running: list[msgspec.Raw] = []
    ended: list[msgspec.Raw] = []
    born: Duration = 0


class WireRun(msgspec.Struct, frozen=True, array_like=True):
    """The fields of a running entry without which it is of no use."""

    task: Name
    run: Counter


class WireRunning(msgspec.Struct, frozen=True, array_like=True):
    """An entry of the running runs."""

    task: Name
    run: Counter
    checkpoint: Checkpoint | None = None
    percent: Factor | None = None
    load: Factor | None = None


class WireEndNumber(msgspec.Struct, frozen=True, array_like=True):
    """The number of an ended entry, up to which a hold acknowledges ends."""

    number: PositiveCounter


class WireEnd(msgspec.Struct, frozen=True, array_like=True):
    """The fields of an ended entry without which it is of no use."""

    number: PositiveCounter
    task: Name
    run: Counter
    outcome: Name


class WireEnded(msgspec.Struct, frozen=True, array_like=True):
    """An entry of the ended runs."""

    number: PositiveCounter
    task: Name
    run: Counter
    outcome: Name
    checkpoint: Checkpoint | None = None


class PlatformWorkerOrders(WorkerOrders):
    """Send orders to workers at the addresses of their entries."""

    def __init__(self, client: HttpCaller, permission: OrderPermission):
        self.client = client
        self.permission = permission

    async def start(
        self, worker: WorkerEntry, order: StartOrder, timeout: float
    ) -> int:
        """Start a run and return the worker's clock in milliseconds."""
        wire = WireStart(
            order.task,
            order.run,
            order.spec,
            order.deadline_ms,
            order.generation,
            order.checkpoint,
            order.ticket,
        )
        body = msgspec.json.encode(wire)
        may_send = partial(self.permission.permits_orders, order.generation)
        answer = await self._call(worker, "/-/run-start", body, timeout, may_send)
        return _decode(answer.body, WireClock).clockMs

    async def stop(
        self,
        worker: WorkerEntry,
        task: TaskId,
        run: RunNumber,
        generation: Generation,
        timeout: float,
    ):
        """Stop a run, or prevent its start if the start order has not arrived yet."""
        body = msgspec.json.encode(WireStop(task, run, generation))
        may_send = partial(self.permission.permits_orders, generation)
        await self._call(worker, "/-/run-stop", body, timeout, may_send)

    async def pace(
        self,
        worker: WorkerEntry,
        task: TaskId,
        run: RunNumber,
        percent: int,
        generation: Generation,
        timeout: float,
    ):
        """Let a run work at `percent` of its speed."""
        body = msgspec.json.encode(WirePace(task, run, percent, generation))
        may_send = partial(self.permission.permits_orders, generation)
        await self._call(worker, "/-/pace", body, timeout, may_send)

    async def hold(
        self,
        worker: WorkerEntry,
        generation: Generation,
        acknowledgement: Acknowledgement,
        deadline_ms: int | None,
        wait: float,
        timeout: float,
    ) -> HoldAnswer:
        """Extend the leases of all runs and wait up to `wait` s for one to end."""

        def encode(opened_at: BootSeconds) -> bytes:
            number = acknowledgement.number_over(opened_at)
            wait_ms = int(wait * MS_PER_SECOND)
            return msgspec.json.encode(
                WireHold(generation, number, deadline_ms, wait_ms)
            )

        may_send = partial(self.permission.permits_holds, generation)
        answer = await self._call(worker, "/-/hold", encode, wait + timeout, may_send)
        return msgspec.structs.replace(
            decode_hold_answer(answer.body),
            acknowledged_end=acknowledgement.number_over(answer.opened_at),
            sent_at=answer.sent_at,
        )

    async def _call(
        self,
        worker: WorkerEntry,
        path: str,
        body: Body,
        timeout: float,
        may_send: Callable[[], bool],
    ) -> HttpAnswer:
        try:
            answer = await self.client.call(
                "POST",
                worker.address,
                path,
                timeout,
                body,
                headers={INSTANCE_HEADER: worker.worker},
                may_send=may_send,
            )
        except CallError as error:
            if not error.permitted:
                raise RefusedOrderError(Refusal.NOT_ORDERED) from error
            if error.connection_refused:
                raise RefusedOrderError(Refusal.NOT_LISTENING) from error
            if error.effect is CallEffect.NO_EFFECT:
                raise RefusedOrderError(Refusal.NOT_REACHED) from error
            raise UnansweredOrderError(error.detail) from error
        if answer.status == OK:
            return answer
        if answer.status == 409:
            refusal = _decode(answer.body, WireRefusal)
            reason = REFUSALS_BY_REASON.get(refusal.reason, Refusal.MALFORMED)
            raise RefusedOrderError(reason, refusal.clockMs)
        if answer.status in REFUSALS_BY_STATUS:
            raise RefusedOrderError(REFUSALS_BY_STATUS[answer.status])
        raise UnansweredOrderError(f"The worker answered with status {answer.status}.")


def _decode(body: bytes, body_type: type) -> Any:
    try:
        return decode_json(body, body_type, "The worker's answer")
    except MalformedInputError as error:
        raise MalformedAnswerError(error.detail) from error


def decode_hold_answer(body: bytes) -> HoldAnswer:
    """Decode the answer to a hold; raises MalformedAnswerError.

    An entry of which only some fields are valid is used without the others. Without the
    name of a running task the lists are of no use, since it could be any task's.
    """
    lists = _decode(body, WireLists)
    errors: list[MalformedInputError] = []
    running = [_decode_running(entry, errors) for entry in lists.running]
    ended, unreadable = [], []
    for entry in lists.ended:
        try:
            ended.append(_decode_ended(entry, errors))
        except MalformedInputError as error:
            errors.append(error)
            number = _decode_end_number(entry)
            if number is not None:
                unreadable.append(number)
    return HoldAnswer(
        lists.clockMs,
        InstanceId(int(lists.born)),
        tuple(running),
        tuple(ended),
        tuple(unreadable),
        summarize(errors),
        lists_all_ends=len(lists.ended) < MAX_LISTED_ENDS,
    )


def _decode_running(
    entry: msgspec.Raw, errors: list[MalformedInputError]
) -> RunningTask:
    try:
        wire = decode_json(entry, WireRunning, "A running entry")
    except MalformedInputError as error:
        errors.append(error)
        try:
            run = decode_json(entry, WireRun, "A running entry")
        except MalformedInputError:
            raise MalformedAnswerError(error.detail) from error
        return RunningTask(TaskId(run.task), RunNumber(run.run), "", 0.0)
    return RunningTask(
        TaskId(wire.task),
        RunNumber(wire.run),
        wire.checkpoint or "",
        min(wire.percent or 0.0, FULL_PERCENT),
        wire.load or 0.0,
    )


def _decode_ended(entry: msgspec.Raw, errors: list[MalformedInputError]) -> EndedRun:
    checkpoint = ""
    try:
        wire = decode_json(entry, WireEnded, "An ended entry")
        checkpoint = wire.checkpoint or ""
    except MalformedInputError as error:
        wire = decode_json(entry, WireEnd, "An ended entry")
        errors.append(error)
    try:
        outcome = RunOutcome(wire.outcome)
    except ValueError:
        outcome = RunOutcome.UNKNOWN
        errors.append(
            MalformedInputError(f"The end of {wire.task} has an unknown outcome.")
        )
    return EndedRun(
        wire.number, TaskId(wire.task), RunNumber(wire.run), outcome, checkpoint
    )


def _decode_end_number(entry: msgspec.Raw) -> int | None:
    try:
        return decode_json(entry, WireEndNumber, "An ended entry").number
    except MalformedInputError:
        return None
