"""Minions in this process, for trials and tests in virtual time."""

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
    """Run requests on minions in memory, with faults for each."""

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
        """Run one attempt, or decline it."""
        faults = self.faults.get(minion.minion, MinionFaults())
        running = self.running_on.setdefault(minion.minion, [])
        if minion.minion in self.unreachable:
            raise DeclinedError("The minion can't be reached.")
        late = self.clock.wall() > request.start_by
        if faults.leaving or late or len(running) >= self.slots:
            raise DeclinedError("The minion declines.", faults.leaving)
        # The minion runs on when its caller goes away, as a process would.
        work = asyncio.create_task(self._run(minion.minion, request, faults))
        self.run_tasks.add(work)
        work.add_done_callback(self.run_tasks.discard)
        try:
            async with asyncio.timeout(request.timeout):
                return await asyncio.shield(work)
        except TimeoutError:
            raise AnswerLostError("No answer came in time.") from None

    async def running(self, minion: MinionAddress, account: ClientAccountId) -> int:
        """Return how many attempts of an account a minion runs."""
        if minion.minion in self.unreachable:
            raise AnswerLostError("The minion can't be asked.")
        running = self.running_on.get(minion.minion, [])
        return len([run for run in running if run.account == account])

    def count(self, kind: str) -> int:
        """Return how many attempts of a kind ran."""
        return len([run for run in self.runs if run.kind == kind])

    async def close(self):
        """Give back nothing."""

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
            raise AnswerLostError("The answer was cut off.")
        answer = MinionAnswer(minion, request.attempt, body)
        return UpstreamAnswer(200, msgspec.json.encode(answer))
