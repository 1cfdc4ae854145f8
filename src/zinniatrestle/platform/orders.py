"""Client for orders to workers."""

from typing import Any

import msgspec

from zinniatrestle.ids import Generation, InstanceId, RunNumber, TaskId
from zinniatrestle.platform.http import CallEffect, CallError, HttpAnswer, HttpClient
from zinniatrestle.workers.interfaces import WorkerOrders
from zinniatrestle.workers.messages import (
    EndedRun,
    HoldAnswer,
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
    clockMs: int | None = None


class WireLists(msgspec.Struct, frozen=True):
    """The running and the ended runs at a worker.

    A running entry is `[task, run, checkpoint, percent, load]`, an ended one is
    `[number, task, run, outcome, checkpoint]`.
    """

    clockMs: int
    running: list[list[Any]] = []
    ended: list[list[Any]] = []
    born: float = 0


class PlatformWorkerOrders(WorkerOrders):
    """Send orders to workers at the addresses of their entries."""

    def __init__(self, client: HttpClient):
        self.client = client

    async def start(
        self, worker: WorkerEntry, order: StartOrder, timeout: float
    ) -> int:
        """Start a run and return the worker's clock in milliseconds."""
        body = WireStart(
            order.task,
            order.run,
            order.spec,
            order.deadline_ms,
            order.generation,
            order.checkpoint,
            order.ticket,
        )
        answer = await self._call(worker, "/-/run-start", body, timeout)
        return _decode(answer, WireLists).clockMs

    async def stop(
        self,
        worker: WorkerEntry,
        task: TaskId,
        run: RunNumber,
        generation: Generation,
        timeout: float,
    ):
        """Stop a run, or prevent its start if the start order has not arrived yet."""
        body = WireStop(task, run, generation)
        await self._call(worker, "/-/run-stop", body, timeout)

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
        body = WirePace(task, run, percent, generation)
        await self._call(worker, "/-/pace", body, timeout)

    async def hold(
        self,
        worker: WorkerEntry,
        generation: Generation,
        acknowledged_end: int,
        deadline_ms: int | None,
        wait: float,
        timeout: float,
    ) -> HoldAnswer:
        """Extend the leases of all runs and wait up to `wait` s for one to end."""
        body = WireHold(
            generation, acknowledged_end, deadline_ms, int(wait * MS_PER_SECOND)
        )
        answer = await self._call(worker, "/-/hold", body, wait + timeout)
        lists = _decode(answer, WireLists)
        try:
            running = tuple(_decode_running(entry) for entry in lists.running)
            ended = tuple(_decode_ended(entry) for entry in lists.ended)
        except (ValueError, IndexError, TypeError) as error:
            raise UnansweredOrderError(
                f"The worker's lists of runs can't be decoded: {error}."
            ) from error
        return HoldAnswer(lists.clockMs, InstanceId(int(lists.born)), running, ended)

    async def _call(
        self, worker: WorkerEntry, path: str, body: Any, timeout: float
    ) -> HttpAnswer:
        try:
            answer = await self.client.call(
                "POST",
                worker.address,
                path,
                timeout,
                msgspec.json.encode(body),
                headers={INSTANCE_HEADER: worker.worker},
            )
        except CallError as error:
            if error.connection_refused:
                raise RefusedOrderError(Refusal.NOT_LISTENING) from error
            if error.effect is CallEffect.NO_EFFECT:
                raise RefusedOrderError(Refusal.NOT_REACHED) from error
            raise UnansweredOrderError(error.detail) from error
        if answer.status == OK:
            return answer
        if answer.status == 409:
            refusal = _decode(answer, WireRefusal)
            reason = REFUSALS_BY_REASON.get(refusal.reason, Refusal.MALFORMED)
            raise RefusedOrderError(reason, refusal.clockMs)
        if answer.status in REFUSALS_BY_STATUS:
            raise RefusedOrderError(REFUSALS_BY_STATUS[answer.status])
        raise UnansweredOrderError(f"The worker answered with status {answer.status}.")


def _decode(answer: HttpAnswer, body_type: type) -> Any:
    try:
        return msgspec.json.decode(answer.body, type=body_type)
    except (msgspec.ValidationError, msgspec.DecodeError) as error:
        raise UnansweredOrderError(
            f"The worker's answer can't be decoded: {error}."
        ) from error


def _decode_running(entry: list[Any]) -> RunningTask:
    load = float(entry[4] or 0) if len(entry) > 4 else 0.0
    return RunningTask(
        TaskId(entry[0]),
        RunNumber(entry[1]),
        entry[2] or "",
        float(entry[3] or 0),
        load,
    )


def _decode_ended(entry: list[Any]) -> EndedRun:
    return EndedRun(
        int(entry[0]),
        TaskId(entry[1]),
        RunNumber(entry[2]),
        RunOutcome(entry[3]),
        entry[4] or "",
    )
