"""Keep the tickets of steps that wait, and ask for those that are missing."""

import asyncio
from collections.abc import Callable

from zinniatrestle.advice.interfaces import Adviser, AdviserError
from zinniatrestle.clock import boot_time
from zinniatrestle.events import Event, EventLog
from zinniatrestle.ids import BootSeconds, WorkerId
from zinniatrestle.queues import AdviceTerms

# Workers named in one call: it takes time for each, and about a third may be allowed.
MAX_WORKERS_PER_CALL = 30
# s; what a call may take beyond the time that the service says it needs.
SLACK_SECONDS = 1.0
# s; what is left of a ticket when an order goes out, for the order's way.
TRAVEL_SECONDS = 0.3
# s; the pause after a call that failed.
RETRY_SECONDS = 0.3


class Advice:
    """What is known for one step."""

    def __init__(self):
        self.tickets: dict[WorkerId, tuple[str, BootSeconds]] = {}
        self.asked: set[WorkerId] = set()
        self.denied: set[WorkerId] = set()

    def valid(self, now: BootSeconds) -> dict[WorkerId, str]:
        """Return the tickets that an order can still use."""
        found = {}
        for worker, (ticket, until) in self.tickets.items():
            if now + TRAVEL_SECONDS < until:
                found[worker] = ticket
        return found


class AdviceCache:
    """Ask for advice, one call at a time, as the service answers in turn."""

    def __init__(self, adviser: Adviser, events: EventLog, wake: Callable[[], None]):
        self.adviser = adviser
        self.events = events
        self.wake = wake
        self.steps: dict[str, Advice] = {}
        self.waiting: dict[str, tuple[AdviceTerms, list[WorkerId]]] = {}
        self.asked = asyncio.Event()

    def tickets(self, step: str, now: BootSeconds) -> dict[WorkerId, str]:
        """Return the valid tickets of a step."""
        advice = self.steps.get(step)
        return advice.valid(now) if advice is not None else {}

    def request_tickets(self, step: str, terms: AdviceTerms, workers: list[WorkerId]):
        """Ask for a step's tickets, best workers first; a later call replaces this."""
        denied = self.steps[step].denied if step in self.steps else set()
        named = [worker for worker in workers if worker not in denied][
            :MAX_WORKERS_PER_CALL
        ]
        if named:
            self.waiting[step] = (terms, named)
            self.asked.set()

    def forget(self, step: str):
        """Drop what is known for a step that has been placed or has ended."""
        self.steps.pop(step, None)
        self.waiting.pop(step, None)

    async def run(self):
        """Make the calls until cancelled."""
        while True:
            await self.asked.wait()
            if not self.waiting:
                self.asked.clear()
                continue
            step, (terms, workers) = next(iter(self.waiting.items()))
            del self.waiting[step]
            await self._call(step, terms, workers)

    async def _call(self, step: str, terms: AdviceTerms, workers: list[WorkerId]):
        timeout = terms.decision + terms.per_worker * len(workers) + SLACK_SECONDS
        try:
            tickets = await self.adviser.advise(step, workers, timeout)
        except AdviserError as error:
            self.events.write_deduplicated(
                Event.DEPENDENCY_LOST, error.detail, dependency="advice", step=step
            )
            await asyncio.sleep(RETRY_SECONDS)
            self.wake()
            return
        until = BootSeconds(boot_time() + terms.validity)
        advice = self.steps.setdefault(step, Advice())
        for worker in workers:
            ticket = tickets.get(worker)
            if ticket is None:
                # What a step may use does not change.
                advice.denied.add(worker)
                continue
            advice.tickets[worker] = (ticket, until)
        self.events.write(
            Event.ADVICE, step=step, asked=len(workers), allowed=len(tickets)
        )
        self.wake()
