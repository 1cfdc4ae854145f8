"""Orders of one host to stand-in workers, with partitions and late execution."""

import asyncio
from typing import NamedTuple

import msgspec

from zinniatrestle.clock import boot_time
from zinniatrestle.ids import (
    BootSeconds,
    Generation,
    InstanceId,
    RunNumber,
    TaskId,
    WorkerId,
)
from zinniatrestle.standins.fleet import SimulatedFleet
from zinniatrestle.standins.runs import OrderMode
from zinniatrestle.workers.interfaces import WorkerOrders
from zinniatrestle.workers.messages import (
    Acknowledgement,
    HoldAnswer,
    Refusal,
    RefusedOrderError,
    StartOrder,
    UnansweredOrderError,
    WorkerEntry,
)


class HoldConnection(NamedTuple):
    """The connection of the last answered hold, which ends with its instance."""

    instance: InstanceId
    opened_at: BootSeconds


class HostOrders(WorkerOrders):
    """Send orders of one host to the workers of a fleet.

    `delay` is the one-way latency in seconds.
    """

    def __init__(self, fleet: SimulatedFleet, host: str, delay: float = 0.002):
        self.fleet = fleet
        self.host = host
        self.delay = delay
        self.connections: dict[WorkerId, HoldConnection] = {}

    async def start(
        self, worker: WorkerEntry, order: StartOrder, timeout: float
    ) -> int:
        """Start a run and return the worker's clock in milliseconds."""
        return await self._send_order(
            worker, timeout, lambda: self.fleet.start(worker, order)
        )

    async def stop(
        self,
        worker: WorkerEntry,
        task: TaskId,
        run: RunNumber,
        generation: Generation,
        timeout: float,
    ):
        """Stop a run, or refuse its start if that arrives later."""
        await self._send_order(
            worker, timeout, lambda: self.fleet.stop(worker, task, run, generation)
        )

    async def pace(
        self,
        worker: WorkerEntry,
        task: TaskId,
        run: RunNumber,
        percent: int,
        generation: Generation,
        timeout: float,
    ):
        """Set the share of its speed at which a run works."""
        await self._send_order(
            worker,
            timeout,
            lambda: self.fleet.pace(worker, task, run, percent, generation),
        )

    async def hold(
        self,
        worker: WorkerEntry,
        generation: Generation,
        acknowledgement: Acknowledgement,
        deadline_ms: int | None,
        wait: float,
        timeout: float,
    ) -> HoldAnswer:
        """Extend the lease of all runs; wait up to `wait` seconds for one to end."""
        connection = self.connections.pop(worker.worker, None)
        await self._cross_network(worker, wait + timeout)
        self._refuse_connection(worker)
        self._reset_some(worker)
        connection = self._connect(worker, connection)
        sent_at = boot_time()
        number = acknowledgement.number_over(connection.opened_at)
        if self._are_answers_lost(worker):
            await self.fleet.hold(worker, generation, number, deadline_ms, 0)
            await asyncio.sleep(wait + timeout)
            raise UnansweredOrderError("The answer was lost.")
        answer = await self.fleet.hold(worker, generation, number, deadline_ms, wait)
        await self._cross_network(worker, timeout)
        self._reset_some(worker)
        self.connections[worker.worker] = connection
        return msgspec.structs.replace(answer, acknowledged_end=number, sent_at=sent_at)

    def _connect(
        self, worker: WorkerEntry, connection: HoldConnection | None
    ) -> HoldConnection:
        """Return a connection to the instance that serves, which may be the last one.

        Raises RefusedOrderError if none does.
        """
        instance = self.fleet.find_worker(worker).entry.instance
        if connection is None or connection.instance != instance:
            return HoldConnection(instance, boot_time())
        return connection

    async def _cross_network(self, worker: WorkerEntry, timeout: float):
        target = self.fleet.workers.get(worker.worker)
        cut = (self.host, worker.worker) in self.fleet.partitions
        cut = cut or worker.address in self.fleet.unpowered
        if cut or (target is not None and not target.reachable):
            await asyncio.sleep(timeout)
            raise UnansweredOrderError("The worker is unreachable.")
        delay = self.delay
        if self.fleet.traits.max_extra_delay:
            delay += self.fleet.random.uniform(0.0, self.fleet.traits.max_extra_delay)
        await asyncio.sleep(delay)

    def _refuse_connection(self, worker: WorkerEntry):
        """Raise RefusedOrderError if new connections to a worker are refused."""
        target = self.fleet.workers.get(worker.worker)
        if target is not None and target.refuses_connections:
            raise RefusedOrderError(Refusal.NOT_LISTENING)

    def _reset_some(self, worker: WorkerEntry):
        """Raise UnansweredOrderError if the connection to a worker is reset now."""
        target = self.fleet.workers.get(worker.worker)
        if target is None:
            return
        if target.refuses_connections:
            raise UnansweredOrderError("The connection was reset.")
        if not target.reset_share:
            return
        if self.fleet.random.random() < target.reset_share:
            raise UnansweredOrderError("The connection was reset.")

    def _are_answers_lost(self, worker: WorkerEntry) -> bool:
        target = self.fleet.workers.get(worker.worker)
        return target is not None and target.answers_lost

    async def _send_order(self, worker: WorkerEntry, timeout: float, execute):
        await self._cross_network(worker, timeout)
        self._refuse_connection(worker)
        self._reset_some(worker)
        target = self.fleet.workers.get(worker.worker)
        mode = target.order_mode if target is not None else OrderMode.ANSWERED
        if mode is OrderMode.DROPPED:
            await asyncio.sleep(timeout)
            raise UnansweredOrderError("The worker drops the order.")
        is_late = self.fleet.random.random() < self.fleet.late_order_share
        if is_late or mode is OrderMode.LATE:
            self._execute_later(worker, execute)
            await asyncio.sleep(timeout)
            raise UnansweredOrderError("The order timed out.")
        answer = await execute()
        if self._are_answers_lost(worker):
            await asyncio.sleep(timeout)
            raise UnansweredOrderError("The answer was lost.")
        await self._cross_network(worker, timeout)
        self._reset_some(worker)
        return answer

    def _execute_later(self, worker: WorkerEntry, execute):
        target = self.fleet.workers.get(worker.worker)
        instance = target.entry.instance if target else None

        async def execute_late():
            await asyncio.sleep(self.fleet.random.uniform(2.0, 12.0))
            if target is None or target.entry.instance != instance:
                # The pending order was in the memory of an instance that has ended.
                return
            try:
                await execute()
            except RefusedOrderError:
                # The sender has timed out, so the refusal reaches no one.
                return

        task = asyncio.create_task(execute_late())
        self.fleet.late_order_tasks.add(task)
        task.add_done_callback(self.fleet.late_order_tasks.discard)
