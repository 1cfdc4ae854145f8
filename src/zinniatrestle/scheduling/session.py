"""The task that holds one worker, and the one that gives it orders."""

import asyncio
from abc import ABC, abstractmethod
from collections.abc import Awaitable, Callable

from zinniatrestle.clock import boot_time
from zinniatrestle.deployment import Bounds
from zinniatrestle.errors import WorkerError
from zinniatrestle.events import Event, EventLog
from zinniatrestle.ids import BootSeconds, Generation, RunNumber, TaskId
from zinniatrestle.scheduling.state import Task, TaskStatus, Worker
from zinniatrestle.workers.interfaces import WorkerOrders
from zinniatrestle.workers.messages import (
    HoldAnswer,
    Refusal,
    RefusedOrderError,
    StartOrder,
    UnansweredOrderError,
)

# Share of the longest hold that is granted: work on a worker that is cut off can be
# redone after this time, and a successor has this time to come.
HOLD_SHARE = 0.65
# s; a worker is looked at once in this time while nothing ends there.
LOOK_SECONDS = 0.7
# s; the pause after a hold that failed.
RETRY_SECONDS = 0.3
# Holds without an answer one after the other before a worker counts as silent.
MISSES = 2
# s; how long the answer to each try of an order may take. An order takes a round trip
# and some ms; one without an answer is repeated, which is harmless under the same run.
TRY_SECONDS = (0.3, 0.3, 1.0)
# s; the same for holds, beyond the time for which the worker waits for an end: the
# usual one, and the one that is asked at once after a miss.
HOLD_TRY_SECONDS = 0.4
SECOND_TRY_SECONDS = 0.7
# Orders to one worker that may be under way at once, so that one without an answer
# doesn't hold up the others.
ORDER_LANES = 3


class SessionListener(ABC):
    """What the scheduler does with what sessions learn."""

    @abstractmethod
    def report(self, worker: Worker, answer: HoldAnswer, asked_at: BootSeconds):
        """Take over what runs and what ended."""

    @abstractmethod
    def started(self, task: Task, run: RunNumber):
        """Note that a worker confirmed a run."""

    @abstractmethod
    def not_started(self, task: Task, run: RunNumber, refusal: Refusal):
        """Note that a worker surely did not start a run."""

    @abstractmethod
    def unanswered(self, task: Task, run: RunNumber):
        """Note that a run may have started, or may yet."""

    @abstractmethod
    def generation_superseded(self, worker: Worker):
        """Note that a worker follows a newer generation number."""

    @abstractmethod
    def mark_silent(self, worker: Worker, refused: bool):
        """Note that a worker does not answer; `refused`: nothing listens there."""

    @abstractmethod
    def instance_replaced(self, worker: Worker):
        """Note that the worker has started anew or is another one."""

    @abstractmethod
    def may_order(self) -> bool:
        """Tell whether orders may be given now."""

    @abstractmethod
    def may_hold(self) -> bool:
        """Tell whether workers may be held now."""


class WorkerSession:
    """Hold one worker, and give it orders, until it or the scheduler ends."""

    def __init__(
        self,
        worker: Worker,
        orders: WorkerOrders,
        listener: SessionListener,
        bounds: Bounds,
        generation: Generation,
        events: EventLog,
    ):
        self.worker = worker
        self.orders = orders
        self.listener = listener
        self.hold_seconds = bounds.max_hold * HOLD_SHARE
        self.generation = generation
        self.events = events
        self.outbox: asyncio.Queue[Callable[[], Awaitable[None]]] = asyncio.Queue()
        # Runs to be stopped, with the time at which a stop was answered.
        self.stops: dict[tuple[TaskId, RunNumber], BootSeconds | None] = {}

    async def hold(self):
        """Hold the worker until its life is over."""
        worker = self.worker
        wait = 0.0
        misses = 0
        while not worker.has_ended:
            if not self.listener.may_hold():
                await asyncio.sleep(RETRY_SECONDS)
                continue
            asked_at = boot_time()
            deadline = self._deadline(asked_at)
            try:
                answer = await self.orders.hold(
                    worker.entry,
                    self.generation,
                    worker.acknowledged_end,
                    deadline,
                    wait,
                    SECOND_TRY_SECONDS if misses else HOLD_TRY_SECONDS,
                )
            except RefusedOrderError as error:
                misses += 1
                if not self._refused(error):
                    return
                await asyncio.sleep(RETRY_SECONDS)
                wait = 0.0
                continue
            except UnansweredOrderError:
                misses += 1
                wait = 0.0
                if misses >= MISSES:
                    self.listener.mark_silent(worker, refused=False)
                    await asyncio.sleep(RETRY_SECONDS)
                continue
            misses = 0
            worker.lease.observe(answer.clock_ms, boot_time())
            if (
                worker.entry.instance
                and answer.instance
                and answer.instance != worker.entry.instance
            ):
                self.listener.instance_replaced(worker)
                return
            self.listener.report(worker, answer, asked_at)
            if worker.save_task is not None:
                # Until the ends are kept, the worker tells them again at once.
                await asyncio.wait({worker.save_task}, timeout=LOOK_SECONDS)
            # The first answer gives the clock; only the next hold can set a deadline.
            wait = LOOK_SECONDS if deadline is not None else 0.0

    def _deadline(self, asked_at: BootSeconds) -> int | None:
        """Return the deadline that a hold sets, on the worker's clock.

        A worker that does not answer is not promised more, so that its lease runs out
        although each hold may still reach it.
        """
        lease = self.worker.lease
        if self.worker.silent:
            return lease.granted_until_ms or None
        return lease.deadline(asked_at, self.hold_seconds)

    def _refused(self, error: RefusedOrderError) -> bool:
        """Handle a refused hold; tell whether to go on."""
        if error.refusal is Refusal.STALE_GENERATION:
            self.listener.generation_superseded(self.worker)
            return False
        if error.refusal is Refusal.OTHER_INSTANCE:
            self.listener.instance_replaced(self.worker)
            return False
        refused = error.refusal is Refusal.NOT_LISTENING
        self.listener.mark_silent(self.worker, refused)
        return True

    async def give_orders(self):
        """Give orders as they come, one at a time."""
        while not self.worker.has_ended:
            order = await self.outbox.get()
            await order()

    def start(self, task: Task, run: RunNumber):
        """Order the start of a run that is written down."""
        self.outbox.put_nowait(lambda: self._start(task, run))

    def stop(self, task_id: TaskId, run: RunNumber):
        """Order a stop, again and again until it is answered."""
        if (task_id, run) in self.stops:
            return
        self.stops[(task_id, run)] = None
        self.outbox.put_nowait(lambda: self._stop(task_id, run))

    def pace(self, task: Task, run: RunNumber, percent: int):
        """Order a change of a run's speed."""
        self.outbox.put_nowait(lambda: self._pace(task, run, percent))

    async def _start(self, task: Task, run: RunNumber):
        if not self.listener.may_order():
            self.listener.not_started(task, run, Refusal.NOT_ORDERED)
            return
        worker = self.worker
        deadline = self._deadline(boot_time())
        if deadline is None:
            self.listener.not_started(task, run, Refusal.NOT_ORDERED)
            return
        order = StartOrder(
            task=task.id,
            run=run,
            spec=task.step.job.submission.spec,
            deadline_ms=deadline,
            generation=self.generation,
            checkpoint=task.checkpoint,
            ticket=task.ticket,
        )
        unanswered = False
        for timeout in TRY_SECONDS:
            if unanswered and not self._may_repeat(task, run):
                break
            try:
                clock_ms = await self.orders.start(worker.entry, order, timeout)
            except RefusedOrderError as error:
                if error.refusal is Refusal.STALE_GENERATION:
                    self.listener.generation_superseded(worker)
                if unanswered:
                    # The refused try says nothing of the one before it.
                    break
                self.listener.not_started(task, run, error.refusal)
                return
            except UnansweredOrderError:
                unanswered = True
                continue
            worker.lease.observe(clock_ms, boot_time())
            self.listener.started(task, run)
            return
        self.listener.unanswered(task, run)

    def _may_repeat(self, task: Task, run: RunNumber) -> bool:
        """Tell whether the start of a run is still wanted here."""
        wanted = task.run == run and task.status is TaskStatus.PLACED
        return wanted and self.listener.may_order()

    async def _stop(self, task_id: TaskId, run: RunNumber):
        for timeout in TRY_SECONDS:
            if not self.listener.may_order():
                break
            try:
                await self.orders.stop(
                    self.worker.entry, task_id, run, self.generation, timeout
                )
            except RefusedOrderError as error:
                if error.refusal is Refusal.STALE_GENERATION:
                    self.listener.generation_superseded(self.worker)
                    return
                if error.refusal is not Refusal.STALE_RUN:
                    break
            except UnansweredOrderError:
                continue
            self.stops[(task_id, run)] = boot_time()
            return
        # The next report finds the run still there and stops it again.
        self.stops.pop((task_id, run), None)

    async def _pace(self, task: Task, run: RunNumber, percent: int):
        if not self.listener.may_order() or task.run != run:
            return
        try:
            await self.orders.pace(
                self.worker.entry,
                task.id,
                run,
                percent,
                self.generation,
                TRY_SECONDS[-1],
            )
        except WorkerError as error:
            self.events.write_deduplicated(
                Event.RUN_PACED, error.detail, task=task.id, worker=self.worker.id
            )
            return
        task.pace = percent
