"""One host's way to the stand-in workers, with cuts and late orders."""

import asyncio

from zinniatrestle.ids import Generation, RunNumber, TaskId
from zinniatrestle.standins.fleet import SimulatedFleet
from zinniatrestle.workers.interfaces import WorkerOrders
from zinniatrestle.workers.messages import (
    HoldAnswer,
    RefusedOrderError,
    StartOrder,
    UnansweredOrderError,
    WorkerEntry,
)


class HostOrders(WorkerOrders):
    """One host's way to the workers."""

    def __init__(self, fleet: SimulatedFleet, host: str, delay: float = 0.002):
        self.fleet = fleet
        self.host = host
        self.delay = delay

    async def start(
        self, worker: WorkerEntry, order: StartOrder, timeout: float
    ) -> int:
        """Start a run; returns the worker's clock in milliseconds."""
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
        """Stop a run, and keep it from starting if it has not come yet."""
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
        """Let a run work at a share of its speed."""
        await self._send_order(
            worker,
            timeout,
            lambda: self.fleet.pace(worker, task, run, percent, generation),
        )

    async def hold(
        self,
        worker: WorkerEntry,
        generation: Generation,
        acknowledged_end: int,
        deadline_ms: int | None,
        wait: float,
        timeout: float,
    ) -> HoldAnswer:
        """Extend the lease of all that runs, and wait up to `wait` s for an end."""
        await self._cross_network(worker, wait + timeout)
        answer = await self.fleet.hold(
            worker, generation, acknowledged_end, deadline_ms, wait
        )
        await self._cross_network(worker, timeout)
        return answer

    async def _cross_network(self, worker: WorkerEntry, timeout: float):
        target = self.fleet.workers.get(worker.worker)
        cut = (self.host, worker.worker) in self.fleet.partitions
        if cut or (target is not None and not target.reachable):
            await asyncio.sleep(timeout)
            raise UnansweredOrderError("The worker is out of reach.")
        await asyncio.sleep(self.delay)

    async def _send_order(self, worker: WorkerEntry, timeout: float, execute):
        await self._cross_network(worker, timeout)
        if self.fleet.random.random() < self.fleet.late_order_share:
            self._execute_later(worker, execute)
            await asyncio.sleep(timeout)
            raise UnansweredOrderError("The order got no answer.")
        answer = await execute()
        await self._cross_network(worker, timeout)
        return answer

    def _execute_later(self, worker: WorkerEntry, execute):
        target = self.fleet.workers.get(worker.worker)
        instance = target.entry.instance if target else None

        async def execute_late():
            await asyncio.sleep(self.fleet.random.uniform(2.0, 12.0))
            if target is None or target.entry.instance != instance:
                # The worker kept the order in its memory.
                return
            try:
                await execute()
            except RefusedOrderError:
                # Nobody waits for the refusal of a late order.
                return

        task = asyncio.create_task(execute_late())
        self.fleet.late_order_tasks.add(task)
        task.add_done_callback(self.fleet.late_order_tasks.discard)
