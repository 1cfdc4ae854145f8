"""A session with one worker: one task extends its leases, others send it orders."""

import asyncio
from abc import ABC, abstractmethod
from collections.abc import Awaitable, Callable

from zinniatrestle.clock import boot_time
from zinniatrestle.deployment import Bounds
from zinniatrestle.errors import WorkerError
from zinniatrestle.events import Event, EventLog, RejectionLog
from zinniatrestle.ids import (
    BootSeconds,
    Generation,
    InstanceId,
    RunNumber,
    TaskId,
)
from zinniatrestle.scheduling.load import HOLD_WAIT_SECONDS
from zinniatrestle.scheduling.state import Task, TaskStatus, Worker
from zinniatrestle.supervision import Supervisor
from zinniatrestle.workers.interfaces import WorkerOrders
from zinniatrestle.workers.messages import (
    Acknowledgement,
    HoldAnswer,
    MalformedAnswerError,
    Refusal,
    RefusedOrderError,
    StartOrder,
    UnansweredOrderError,
)

# Consecutive answered holds over new connections after which a worker counts as one
# that closes its connections, so that it learns of stored ends all the same.
MAX_WITHHELD = 3
# Share of the longest permitted hold for which leases are extended. Runs on a worker
# that is cut off can be restarted elsewhere after this time, and a successor has to
# take over within it.
HOLD_SHARE = 0.65
# Pause after a failed hold.
RETRY_SECONDS = 0.3
# Longest pause after an unexpected error: a hold finds that the worker answers again.
MAX_FAILURE_PAUSE_SECONDS = 2.0
# Consecutive holds without an answer after which a worker counts as silent.
MISSES_UNTIL_SILENT = 2
# Timeout of each try of an order. An order takes a round trip and some ms; one without
# an answer is repeated, which is idempotent under the same run number.
ORDER_TIMEOUTS_SECONDS = (0.3, 0.3, 1.0)
# A start that is carried out later than its last try could be answered is refused, so
# that a run without an answer need not be waited for any longer. Holds cover its lease.
START_VALID_SECONDS = sum(ORDER_TIMEOUTS_SECONDS)
# Timeouts of holds, on top of the long-poll wait: of an ordinary hold, and of one that
# is repeated at once after a missed answer.
HOLD_TIMEOUT_SECONDS = 0.4
HOLD_RETRY_TIMEOUT_SECONDS = 0.7
# Orders in flight to one worker. Several avoid head-of-line blocking by an order that
# gets no answer.
MAX_CONCURRENT_ORDERS = 3
MS_PER_SECOND = 1000.0


class SessionListener(ABC):
    """Receiver of what sessions learn about their workers and runs."""

    @abstractmethod
    def report(self, worker: Worker, answer: HoldAnswer, asked_at: BootSeconds):
        """Apply a worker's report of running and ended runs.

        `asked_at` is when the hold was sent.
        """

    @abstractmethod
    def started(self, task: Task, run: RunNumber):
        """Record that a worker confirmed the start of a run."""

    @abstractmethod
    def not_started(self, task: Task, run: RunNumber, refusal: Refusal):
        """Record that a worker certainly did not start a run."""

    @abstractmethod
    def unanswered(self, task: Task, run: RunNumber):
        """Record that a run may have started, or may still start."""

    @abstractmethod
    def generation_superseded(self, worker: Worker):
        """Record that a worker has seen a newer generation number."""

    @abstractmethod
    def mark_silent(self, worker: Worker, refused: bool):
        """Mark a worker as silent; `refused` means that nothing listens there."""

    @abstractmethod
    def instance_replaced(self, worker: Worker, instance: InstanceId):
        """Record that another instance of the worker answers, which may run tasks."""

    @abstractmethod
    def worker_replaced(self, worker: Worker):
        """Record that another worker answers at the address, which refuses its orders.

        No run of the instance goes on, and no order to it can be carried out any more.
        """

    @abstractmethod
    def may_order(self) -> bool:
        """Return whether this host may send orders to workers now."""

    @abstractmethod
    def may_start(self, worker: Worker) -> bool:
        """Return whether tasks may start at a worker now."""

    @abstractmethod
    def may_hold(self) -> bool:
        """Return whether this host may extend the leases at workers now."""

    @abstractmethod
    def may_extend(self, worker: Worker) -> bool:
        """Return whether the leases at one worker may be extended.

        They may not while their expiry is recorded for a successor.
        """

    @abstractmethod
    def hold_wait(self) -> float:
        """Return the long-poll wait of holds in seconds.

        A worker on which no run ends answers after this time.
        """


class WorkerSession:
    """Extend the leases at one worker and send it orders, until either side ends."""

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
        self.max_hold = bounds.max_hold
        self.hold_seconds = bounds.max_hold * HOLD_SHARE
        self.generation = generation
        self.events = events
        self.rejections = RejectionLog(events, "answer of a worker")
        self.supervisor = Supervisor(events)
        # When the latest hold was sent that the worker's instance has answered, if none
        # has failed since.
        self.confirmed_at = BootSeconds(float("-inf"))
        # Consecutive answered holds over new connections, which acknowledged no ends.
        self.withheld = 0
        self.outbox: asyncio.Queue[Callable[[], Awaitable[None]]] = asyncio.Queue()
        # When a start or a stop was last left without an answer to any try.
        self.unanswered_at = BootSeconds(float("-inf"))
        # Runs to be stopped, with the time at which the stop was answered, if it was.
        self.stops: dict[tuple[TaskId, RunNumber], BootSeconds | None] = {}

    async def hold(self):
        """Extend the leases at the worker until its instance has ended."""
        await self.supervisor.keep_running(
            "session",
            self._extend_leases,
            after_failure=self._mark_failed,
            longest_pause=MAX_FAILURE_PAUSE_SECONDS,
            worker=self.worker.id,
            part="hold",
        )

    def _mark_failed(self):
        """Let the leases expire, since the state of runs is unknown without reports."""
        self.listener.mark_silent(self.worker, refused=False)

    async def _extend_leases(self):
        worker = self.worker
        wait = 0.0
        misses = 0
        while not worker.has_ended:
            if not self.listener.may_hold():
                await asyncio.sleep(RETRY_SECONDS)
                continue
            asked_at = boot_time()
            deadline = self._deadline(asked_at, self.hold_seconds)
            acknowledgement = self._acknowledgement()
            timeout = HOLD_RETRY_TIMEOUT_SECONDS if misses else HOLD_TIMEOUT_SECONDS
            try:
                answer = await self.orders.hold(
                    worker.entry,
                    self.generation,
                    acknowledgement,
                    deadline,
                    wait,
                    timeout,
                )
            except RefusedOrderError as error:
                if error.refusal is Refusal.NOT_ORDERED:
                    # That says nothing about the worker.
                    await asyncio.sleep(RETRY_SECONDS)
                    continue
                misses += 1
                self._forget_confirmation()
                wait = 0.0
                if not self._handle_refused_hold(error):
                    return
                await asyncio.sleep(RETRY_SECONDS)
                continue
            except UnansweredOrderError as error:
                if isinstance(error, MalformedAnswerError):
                    self.rejections.reject(worker.id, error.detail)
                misses += 1
                self._forget_confirmation()
                wait = 0.0
                if misses >= MISSES_UNTIL_SILENT:
                    self.listener.mark_silent(worker, refused=False)
                    await asyncio.sleep(RETRY_SECONDS)
                continue
            misses = 0
            is_first = worker.lease.clock_ms is None
            if is_first and answer.clock_ms < self.max_hold * MS_PER_SECOND:
                # A hold that a predecessor sent to the former instance may have
                # extended the leases of this one, by a deadline on another clock.
                worker.lease.assume_granted(boot_time(), self.max_hold)
            worker.lease.observe(answer.clock_ms, boot_time())
            if self._is_from_another_instance(answer):
                self.listener.instance_replaced(worker, answer.instance)
                return
            self._confirm(acknowledgement, answer)
            if answer.damage:
                self.rejections.reject(worker.id, answer.damage)
            else:
                self.rejections.accept(worker.id)
            known_end = worker.save_requested_end
            self.listener.report(worker, answer, asked_at)
            if answer.last_end <= known_end and boot_time() - asked_at < wait / 2:
                # The worker has nothing new and doesn't wait for it either.
                await asyncio.sleep(RETRY_SECONDS)
            if worker.save_task is not None:
                # Until the ends are stored and acknowledged, the worker would answer
                # the next hold with them at once.
                await asyncio.wait({worker.save_task}, timeout=HOLD_WAIT_SECONDS)
            wait = self._next_wait(deadline)

    def _acknowledgement(self) -> Acknowledgement:
        """Return the ends that a hold acknowledges, if the same instance answers."""
        confirmed_at = self.confirmed_at
        if self.withheld >= MAX_WITHHELD:
            confirmed_at = BootSeconds(float("inf"))
        return Acknowledgement(self.worker.acknowledged_end, confirmed_at)

    def _confirm(self, acknowledgement: Acknowledgement, answer: HoldAnswer):
        """Note that the worker's instance has answered a hold."""
        self.confirmed_at = max(self.confirmed_at, answer.sent_at)
        if answer.acknowledged_end < acknowledgement.number:
            self.withheld += 1
        elif self.withheld < MAX_WITHHELD:
            self.withheld = 0

    def _forget_confirmation(self):
        """Acknowledge nothing before the instance has answered again."""
        self.confirmed_at = BootSeconds(float("-inf"))
        self.withheld = 0

    def _is_from_another_instance(self, answer: HoldAnswer) -> bool:
        known = self.worker.entry.instance
        return bool(known and answer.instance) and answer.instance != known

    def _next_wait(self, deadline: int | None) -> float:
        """Return the long-poll wait of the hold that follows one with `deadline`."""
        if not self.listener.may_extend(self.worker):
            # The lease is extended soon after it may be again.
            return RETRY_SECONDS
        if deadline is None:
            # Only the first answer carries the worker's clock, without which no
            # deadline can be set.
            return 0.0
        return self.listener.hold_wait()

    def _deadline(self, asked_at: BootSeconds, seconds: float) -> int | None:
        """Return the deadline of a hold or a start, in ms of the worker's clock.

        It is `seconds` ahead. Return None while that clock is unknown. A silent worker
        gets no later deadline than before, so that its lease expires although holds may
        still reach it. Neither does one whose expiry is recorded, on which a successor
        may rely.
        """
        lease = self.worker.lease
        if self.worker.silent or not self.listener.may_extend(self.worker):
            return lease.granted_until_ms or None
        return lease.deadline(asked_at, seconds)

    def _handle_refused_hold(self, error: RefusedOrderError) -> bool:
        """Handle a refused hold and return whether the session continues."""
        if error.refusal is Refusal.STALE_GENERATION:
            self.listener.generation_superseded(self.worker)
            return False
        if error.refusal is Refusal.OTHER_INSTANCE:
            self.listener.worker_replaced(self.worker)
            return False
        refused = error.refusal is Refusal.NOT_LISTENING
        self.listener.mark_silent(self.worker, refused)
        return True

    async def send_orders(self):
        """Send orders from the outbox, one at a time."""
        while not self.worker.has_ended:
            order = await self.outbox.get()
            try:
                await order()
            except Exception as error:
                self.supervisor.log_failure(
                    "session", error, worker=self.worker.id, part="order"
                )

    def start(self, task: Task, run: RunNumber):
        """Queue the start of a run that is already stored."""
        queued_at = boot_time()
        self.outbox.put_nowait(lambda: self._start(task, run, queued_at))

    def stop(self, task_id: TaskId, run: RunNumber):
        """Queue the stop of a run, unless one is already queued or answered."""
        if (task_id, run) in self.stops:
            return
        self.stops[(task_id, run)] = None
        self.outbox.put_nowait(lambda: self._stop(task_id, run))

    def forget_stops(self, asked_at: BootSeconds):
        """Forget the stops that were answered before a hold was sent at `asked_at`."""
        for key, answered_at in list(self.stops.items()):
            if answered_at is not None and answered_at < asked_at:
                del self.stops[key]

    def pace(self, task: Task, run: RunNumber, percent: int):
        """Queue a change of a run's pace to `percent` of its speed."""
        self.outbox.put_nowait(lambda: self._pace(task, run, percent))

    async def _start(self, task: Task, run: RunNumber, queued_at: BootSeconds):
        if self.unanswered_at > queued_at:
            # It would wait for answers as long as the orders before it.
            self.listener.not_started(task, run, Refusal.NOT_ANSWERING)
            return
        try:
            await self._send_start(task, run)
        except Exception:
            # The order may have been carried out.
            self.listener.unanswered(task, run)
            raise

    async def _send_start(self, task: Task, run: RunNumber):
        deadline = None
        # The task may have been stopped or moved while the order was queued, and the
        # worker may have begun to drain or be evacuated.
        if self._is_still_wanted(task, run):
            deadline = self._deadline(boot_time(), START_VALID_SECONDS)
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
        task.start_deadline_ms = deadline
        await self._try_start(task, order)

    async def _try_start(self, task: Task, order: StartOrder):
        """Send a start order until it is answered, at most a few times."""
        worker, run = self.worker, order.run
        unanswered = False
        for timeout in ORDER_TIMEOUTS_SECONDS:
            if unanswered and not self._is_still_wanted(task, run):
                break
            try:
                clock_ms = await self.orders.start(worker.entry, order, timeout)
            except RefusedOrderError as error:
                if error.refusal is Refusal.STALE_GENERATION:
                    self.listener.generation_superseded(worker)
                if unanswered:
                    # An earlier try without an answer may still have started it.
                    break
                self.listener.not_started(task, run, error.refusal)
                return
            except UnansweredOrderError:
                unanswered = True
                continue
            worker.lease.observe(clock_ms, boot_time())
            self.listener.started(task, run)
            return
        else:
            # All tries timed out.
            self.unanswered_at = boot_time()
        self.listener.unanswered(task, run)

    def _is_still_wanted(self, task: Task, run: RunNumber) -> bool:
        """Return whether the run is still to be started at this worker."""
        if task.run != run or task.status is not TaskStatus.PLACED:
            return False
        return self.listener.may_order() and self.listener.may_start(self.worker)

    async def _stop(self, task_id: TaskId, run: RunNumber):
        try:
            await self._send_stop(task_id, run)
        finally:
            if self.stops.get((task_id, run)) is None:
                # If the next report still has the run, the scheduler stops it again.
                self.stops.pop((task_id, run), None)

    async def _send_stop(self, task_id: TaskId, run: RunNumber):
        for timeout in ORDER_TIMEOUTS_SECONDS:
            if not self.listener.may_order():
                return
            try:
                await self.orders.stop(
                    self.worker.entry, task_id, run, self.generation, timeout
                )
            except RefusedOrderError as error:
                if error.refusal is Refusal.STALE_GENERATION:
                    self.listener.generation_superseded(self.worker)
                if error.refusal is not Refusal.STALE_RUN:
                    return
            except UnansweredOrderError:
                continue
            self.stops[(task_id, run)] = boot_time()
            return
        self.unanswered_at = boot_time()
        self.events.write(
            Event.RUN_UNANSWERED,
            task=task_id,
            run=run,
            worker=self.worker.id,
            order="stop",
        )

    async def _pace(self, task: Task, run: RunNumber, percent: int):
        if task.run != run:
            return
        if not self.listener.may_order():
            task.pace = None
            return
        try:
            await self.orders.pace(
                self.worker.entry,
                task.id,
                run,
                percent,
                self.generation,
                ORDER_TIMEOUTS_SECONDS[-1],
            )
        except WorkerError as error:
            self.events.write_deduplicated(
                Event.RUN_PACED, error.detail, task=task.id, worker=self.worker.id
            )
            if task.run == run:
                task.pace = None
            return
        if task.run == run:
            task.pace = percent
