"""In-memory minions for tests and trials in virtual time."""

import asyncio

import msgspec

from zinniatrestle.clock import Clock
from zinniatrestle.ids import ClientAccountId, MinionId
from zinniatrestle.standins.messages import MinionFaults, Run
from zinniatrestle.standins.minion import FAILED, HANG_SECONDS, MinionAnswer
from zinniatrestle.upstreams.messages import (
    AnswerLostError,
    DeclinedError,
    MinionAddress,
    UpstreamAnswer,
    UpstreamRequest,
)
from zinniatrestle.upstreams.transport import UpstreamTransport

DEFAULT_SLOTS = 8


class EmbeddedMinions(UpstreamTransport):
    """Run requests on in-memory minions, with faults for each minion.

    `max_running` is the highest number of attempts that one minion ran at once.
    """

    def __init__(self, clock: Clock, slots: int = DEFAULT_SLOTS):
        self.clock = clock
        self.slots = slots
        self.faults: dict[MinionId, MinionFaults] = {}
        self.unreachable: set[MinionId] = set()
        self.runs: list[Run] = []
        self.running_on: dict[MinionId, list[Run]] = {}
        self.max_running = 0
        self.run_tasks: set[asyncio.Task] = set()

    async def send(
        self, minion: MinionAddress, request: UpstreamRequest
    ) -> UpstreamAnswer:
        """Run one attempt; raises DeclinedError or AnswerLostError."""
        faults = self.faults.get(minion.minion, MinionFaults())
        running = self.running_on.setdefault(minion.minion, [])
        if minion.minion in self.unreachable:
            raise DeclinedError("The minion is unreachable.")
        late = self.clock.wall() > request.start_by
        if faults.leaving or late or len(running) >= self.slots:
            raise DeclinedError(
                "The minion is full or leaving, or start_by has passed.", faults.leaving
            )
        # As in a process, the attempt goes on after its caller is cancelled.
        work = asyncio.create_task(self._run(minion.minion, request, faults))
        self.run_tasks.add(work)
        work.add_done_callback(self.run_tasks.discard)
        try:
            async with asyncio.timeout(request.timeout):
                return await asyncio.shield(work)
        except TimeoutError:
            raise AnswerLostError(
                "The minion did not answer before the timeout."
            ) from None

    async def running(self, minion: MinionAddress, account: ClientAccountId) -> int:
        """Return the number of attempts of an account that run on a minion."""
        if minion.minion in self.unreachable:
            raise AnswerLostError("The minion is unreachable.")
        running = self.running_on.get(minion.minion, [])
        return len([run for run in running if run.account == account])

    def count(self, kind: str) -> int:
        """Return the number of attempts of a kind that were started."""
        return len([run for run in self.runs if run.kind == kind])

    async def close(self):
        """Do nothing; there are no resources to release."""

    async def _run(
        self, minion: MinionId, request: UpstreamRequest, faults: MinionFaults
    ) -> UpstreamAnswer:
        body = request.body.decode(errors="replace")
        now = self.clock.wall()
        run = Run(request.attempt, request.account, request.kind, body, now)
        running = self.running_on[minion]
        self.runs.append(run)
        running.append(run)
        self.max_running = max(self.max_running, len(running))
        try:
            if faults.fail_everything:
                return UpstreamAnswer(FAILED, b"")
            await asyncio.sleep(faults.latency_seconds)
            if faults.hang:
                await asyncio.sleep(HANG_SECONDS)
        finally:
            run.ended = self.clock.wall()
            running.remove(run)
        if faults.cut_body:
            raise AnswerLostError("The connection was closed during the answer.")
        answer = MinionAnswer(minion, request.attempt, body)
        return UpstreamAnswer(200, msgspec.json.encode(answer))
