"""Check that hosts don't show too few waiting jobs."""

from zinniatrestle.clock import monotonic
from zinniatrestle.errors import AuthenticationError, NotFoundError
from zinniatrestle.ids import JobId
from zinniatrestle.serving import RetryLaterError
from zinniatrestle.standins.checker import job_of
from zinniatrestle.standins.model import Model, ModelHost
from zinniatrestle.standins.runs import EventKind

# Jobs that were confirmed this many seconds before an answer have to be in its count.
COUNTED_AFTER_SECONDS = 5.0


class CountWatch:
    """Ask hosts for their counts, and compare them with what workers have started.

    The promise is broken if a host that has run undisturbed for `bounds.contact` shows
    less than half of a queue's jobs that had been accepted in time and have not begun.
    A refused count breaks nothing, but is counted.
    """

    def __init__(self, model: Model):
        self.model = model
        self.up_since: dict[ModelHost, float] = {}
        self.begun: set[JobId] = set()
        self.read_events = 0
        self.shown = self.refused = 0
        self.violations: list[str] = []

    async def sample(self):
        """Ask each live host for the counts of all queues."""
        for host in self.model.hosts:
            if not host.alive:
                self.up_since.pop(host, None)
                continue
            self.up_since.setdefault(host, monotonic())
            for queue in self.model.operator.queues:
                await self._ask(host, queue.name)

    async def _ask(self, host: ModelHost, queue: str):
        asked_at = monotonic()
        try:
            admission = host.frontend.admit("queues.example", f"/{queue}/", "key-first")
            count = await host.frontend.pending(admission.queue)
        except (RetryLaterError, NotFoundError, AuthenticationError):
            self.refused += 1
            return
        self.shown += 1
        up_since = self.up_since.get(host)
        if up_since is None or asked_at - up_since < self.model.bounds.contact:
            return
        waiting = self._waiting(queue, asked_at)
        if count < waiting / 2:
            self.violations.append(
                f"MIXED: {host.name} shows {count} of {waiting} waiting jobs of "
                f"{queue} at {asked_at:.2f}"
            )

    def _waiting(self, queue: str, asked_at: float) -> int:
        """Return the number of jobs that the count of a queue has to contain."""
        history = self.model.fleet.history
        for event in history[self.read_events :]:
            if event.kind is EventKind.START:
                self.begun.add(job_of(event.task))
        self.read_events = len(history)
        waiting = 0
        for job, outcome in self.model.jobs.items():
            if outcome.queue != queue or outcome.due_times or job in self.begun:
                continue
            if outcome.accepted_at is None or outcome.cancel_sent:
                continue
            waiting += asked_at - outcome.accepted_at > COUNTED_AFTER_SECONDS
        return waiting
