"""Cache the tickets of waiting steps, and request missing ones from the adviser."""

import asyncio
from collections.abc import Callable

from zinniatrestle.advice.interfaces import Adviser, AdviserError
from zinniatrestle.clock import boot_time
from zinniatrestle.events import Event, EventLog
from zinniatrestle.ids import BootSeconds, WorkerId
from zinniatrestle.queues import AdviceTerms

# The duration of a call grows with the number of workers asked about, of whom about a
# third may be allowed.
MAX_WORKERS_PER_CALL = 30
# Time allowed for a call in addition to what the queue's advice terms state.
CALL_MARGIN_SECONDS = 1.0
# Remaining validity that a ticket needs when an order is sent, to last until delivery.
ORDER_DELIVERY_SECONDS = 0.3
# Delay after a failed call.
RETRY_DELAY_SECONDS = 0.3


class StepAdvice:
    """Tickets and denials for one step."""

    def __init__(self):
        self.tickets: dict[WorkerId, tuple[str, BootSeconds]] = {}
        self.asked: set[WorkerId] = set()
        self.denied: set[WorkerId] = set()

    def valid(self, now: BootSeconds) -> dict[WorkerId, str]:
        """Return the tickets that stay valid until an order sent now is delivered."""
        valid = {}
        for worker, (ticket, valid_until) in self.tickets.items():
            if now + ORDER_DELIVERY_SECONDS < valid_until:
                valid[worker] = ticket
        return valid


class AdviceCache:
    """Cache of tickets by step.

    Calls are made one at a time, since the service answers them in turn. `wake` is
    called after each call, whether it succeeded or failed.
    """

    def __init__(self, adviser: Adviser, events: EventLog, wake: Callable[[], None]):
        self.adviser = adviser
        self.events = events
        self.wake = wake
        self.advice_by_step: dict[str, StepAdvice] = {}
        self.pending: dict[str, tuple[AdviceTerms, list[WorkerId]]] = {}
        self.requested = asyncio.Event()

    def tickets(self, step: str, now: BootSeconds) -> dict[WorkerId, str]:
        """Return the valid tickets of a step."""
        advice = self.advice_by_step.get(step)
        return advice.valid(now) if advice is not None else {}

    def denied(self, step: str) -> set[WorkerId]:
        """Return the workers that may not run a step; denials are final."""
        advice = self.advice_by_step.get(step)
        return advice.denied if advice is not None else set()

    def request_tickets(self, step: str, terms: AdviceTerms, workers: list[WorkerId]):
        """Queue a request for a step's tickets, preferred workers first.

        It replaces a pending request for the same step, and leaves out workers that
        were denied.
        """
        denied = self.denied(step)
        not_denied = [worker for worker in workers if worker not in denied][
            :MAX_WORKERS_PER_CALL
        ]
        if not_denied:
            self.pending[step] = (terms, not_denied)
            self.requested.set()

    def drop_ticket(self, step: str, worker: WorkerId):
        """Drop the ticket of a step that a worker has refused."""
        if step in self.advice_by_step:
            self.advice_by_step[step].tickets.pop(worker, None)

    def drop_worker(self, worker: WorkerId):
        """Drop the tickets of a worker's instance that has ended."""
        for step in self.advice_by_step:
            self.drop_ticket(step, worker)

    def forget(self, step: str):
        """Drop the tickets and the pending request of a step that has ended."""
        self.advice_by_step.pop(step, None)
        self.pending.pop(step, None)

    async def run(self):
        """Make the requested calls until cancelled."""
        while True:
            await self.requested.wait()
            if not self.pending:
                self.requested.clear()
                continue
            step, (terms, workers) = next(iter(self.pending.items()))
            del self.pending[step]
            await self._call(step, terms, workers)

    async def _call(self, step: str, terms: AdviceTerms, workers: list[WorkerId]):
        timeout = terms.decision + terms.per_worker * len(workers) + CALL_MARGIN_SECONDS
        try:
            tickets = await self.adviser.advise(step, workers, timeout)
        except AdviserError as error:
            self.events.write_deduplicated(
                Event.DEPENDENCY_LOST, error.detail, dependency="advice", step=step
            )
            await asyncio.sleep(RETRY_DELAY_SECONDS)
            self.wake()
            return
        valid_until = BootSeconds(boot_time() + terms.validity)
        advice = self.advice_by_step.setdefault(step, StepAdvice())
        for worker in workers:
            ticket = tickets.get(worker)
            if ticket is None:
                advice.denied.add(worker)
                continue
            advice.tickets[worker] = (ticket, valid_until)
        self.events.write(
            Event.ADVICE, step=step, asked=len(workers), allowed=len(tickets)
        )
        self.wake()
