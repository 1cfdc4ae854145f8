"""Kill all hosts of a model at the n-th call of the store or of a worker."""

import asyncio
import contextlib
from collections.abc import Callable, Iterator
from enum import Enum
from typing import Any, NoReturn
from unittest import mock

from zinniatrestle.clock import monotonic
from zinniatrestle.standins.host_orders import HostOrders
from zinniatrestle.standins.model import Model
from zinniatrestle.standins.rows import HostRows
from zinniatrestle.workers.messages import RefusedOrderError

# The hosts are back after this time.
OUTAGE_SECONDS = 1.2


class KillMoment(Enum):
    """When in a call the caller is killed, and what becomes of the call."""

    # The call is never carried out.
    BEFORE = "before"
    # It is carried out, and its answer is lost.
    AFTER = "after"
    # It is carried out while no host runs, or once a successor has loaded its state.
    LATE = "late"
    VERY_LATE = "very_late"


LATE_SECONDS = {KillMoment.LATE: 0.6, KillMoment.VERY_LATE: 3.0}


class KillPoints:
    """Count calls, and kill all hosts at call `number`, once.

    A call is a transaction, a start, a stop or a hold that a worker has answered. None
    are counted before `begin`.
    """

    def __init__(self, model: Model, number: int | None, moment: KillMoment):
        self.model = model
        self.number = number
        self.moment = moment
        self.counting = False
        self.calls: list[str] = []
        self.killed_at: float | None = None
        self.back_at: float | None = None
        self.background: set[asyncio.Task] = set()

    def begin(self):
        """Count the calls from now on."""
        self.counting = True

    async def pass_call(self, name: str, call: Callable, carry_out: Callable) -> Any:
        """Make a call, or be killed; `carry_out` is its effect without an answer."""
        if self.killed_at is not None or not self.counting:
            return await call()
        self.calls.append(name)
        if len(self.calls) - 1 != self.number:
            return await call()
        self.killed_at = monotonic()
        self.model.disturbance_times.append(self.killed_at)
        if self.moment is KillMoment.AFTER:
            await carry_out()
        elif self.moment in LATE_SECONDS:
            self._run(self._carry_out_late(carry_out))
        self._run(self._restart_hosts())
        return await _wait_to_be_killed()

    def _run(self, coroutine):
        task = asyncio.create_task(coroutine)
        self.background.add(task)
        task.add_done_callback(self.background.discard)

    async def _carry_out_late(self, carry_out: Callable):
        await asyncio.sleep(LATE_SECONDS[self.moment])
        await carry_out()

    async def _restart_hosts(self):
        for host in self.model.hosts:
            await host.kill()
        await asyncio.sleep(OUTAGE_SECONDS)
        for host in self.model.hosts:
            host.start()
        self.back_at = monotonic()
        self.model.disturbance_times.append(self.back_at)


async def _wait_to_be_killed() -> NoReturn:
    await asyncio.Event().wait()
    raise AssertionError("The caller was not killed.")


@contextlib.contextmanager
def intercepted(points: KillPoints) -> Iterator[None]:
    """Let all calls of hosts pass the points."""
    transact, hold = HostRows.transact, HostOrders.hold
    start, stop = HostOrders.start, HostOrders.stop

    async def pass_transaction(rows, expects, writes, timeout):
        async def apply():
            rows.rows.apply(expects, writes)

        tables = "+".join(sorted({write.table for write in writes}))
        return await points.pass_call(
            f"write {tables}", lambda: transact(rows, expects, writes, timeout), apply
        )

    def pass_order(name, order, execute):
        async def send(orders, worker, *args):
            async def carry_out():
                # A refusal reaches no one.
                with contextlib.suppress(RefusedOrderError):
                    await execute(orders.fleet, worker, *args[:-1])

            return await points.pass_call(
                name, lambda: order(orders, worker, *args), carry_out
            )

        return send

    async def pass_hold(orders, worker, *args):
        answer = await hold(orders, worker, *args)

        async def return_answer():
            return answer

        name = "answer with ends" if answer.ended else "answer"
        return await points.pass_call(name, return_answer, return_answer)

    fleet = type(points.model.fleet)
    with (
        mock.patch.object(HostRows, "transact", pass_transaction),
        mock.patch.object(HostOrders, "start", pass_order("start", start, fleet.start)),
        mock.patch.object(HostOrders, "stop", pass_order("stop", stop, fleet.stop)),
        mock.patch.object(HostOrders, "hold", pass_hold),
    ):
        yield
