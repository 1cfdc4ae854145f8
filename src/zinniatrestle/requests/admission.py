"""Share a service's slots between client accounts."""

import asyncio
from collections import deque
from collections.abc import Callable

from zinniatrestle.errors import NotRunError, ResultCode
from zinniatrestle.ids import ClientAccountId


class AccountQueue:
    """Hold the waiting and running requests of one account."""

    def __init__(self):
        self.share = 1
        self.running = 0
        self.quick: deque[asyncio.Future] = deque()
        self.slow: deque[asyncio.Future] = deque()

    @property
    def waiting(self) -> int:
        """Return how many requests wait."""
        return len(self.quick) + len(self.slow)

    def pop(self) -> asyncio.Future | None:
        """Return the next waiting request, quick ones first."""
        for queue in (self.quick, self.slow):
            while queue:
                future = queue.popleft()
                if not future.done():
                    return future
        return None


class FairQueue:
    """Give free slots to the account that uses least of its share.

    All slots are in use while anybody waits; an account below its share gets the
    next slot that comes free, so a borrower delays it by one request at most.
    """

    def __init__(self, capacity: Callable[[], int]):
        self.capacity = capacity
        self.accounts: dict[ClientAccountId, AccountQueue] = {}
        self.running = 0

    async def enter(
        self,
        account: ClientAccountId,
        share: int,
        limit: int,
        quick: bool,
        deadline: float,
    ):
        """Wait for a slot until `deadline` (monotonic); raises NotRunError."""
        queue = self.accounts.setdefault(account, AccountQueue())
        queue.share = share
        if self.running < self.capacity() and not self._anyone_waits():
            self._run(queue)
            return
        if queue.waiting >= limit:
            raise NotRunError(
                "The account's queue is full; slow down.", ResultCode.QUEUE_FULL
            )
        future = asyncio.get_running_loop().create_future()
        line = queue.quick if quick else queue.slow
        line.append(future)
        self.dispatch()
        try:
            async with asyncio.timeout_at(deadline):
                await future
        except TimeoutError:
            self._abandon(account, line, future)
            if self.capacity() == 0:
                raise NotRunError(
                    "No minion of the service takes work.", ResultCode.NO_UPSTREAM
                ) from None
            raise NotRunError(
                "The deadline passed in the queue.", ResultCode.DEADLINE_PASSED
            ) from None
        except asyncio.CancelledError:
            self._abandon(account, line, future)
            raise

    def fair_slots(self, account: ClientAccountId) -> float:
        """Return the slots that fall to an account among those in use now."""
        own = self.accounts.get(account)
        share = own.share if own else 1
        total = share
        for name, queue in self.accounts.items():
            if name != account and (queue.running or queue.waiting):
                total += queue.share
        return self.capacity() * share / max(1, total)

    def leave(self, account: ClientAccountId):
        """Free a slot."""
        self.accounts[account].running -= 1
        self.running -= 1
        self.dispatch()

    def dispatch(self):
        """Give free slots away."""
        while self.running < self.capacity():
            queue = self._most_entitled()
            if queue is None:
                return
            future = queue.pop()
            if future is None:
                continue
            self._run(queue)
            future.set_result(None)

    def _abandon(
        self,
        account: ClientAccountId,
        line: deque[asyncio.Future],
        future: asyncio.Future,
    ):
        """Leave the line, or give back a slot that came at the last instant."""
        if future in line:
            line.remove(future)
        if future.done() and not future.cancelled():
            self.leave(account)

    def _run(self, queue: AccountQueue):
        queue.running += 1
        self.running += 1

    def _anyone_waits(self) -> bool:
        return any(queue.waiting for queue in self.accounts.values())

    def _most_entitled(self) -> AccountQueue | None:
        waiting = [queue for queue in self.accounts.values() if queue.waiting]
        if not waiting:
            return None
        # A share of 0 is served only when nobody with a share waits.
        return min(waiting, key=_use_of_share)


def _use_of_share(queue: AccountQueue) -> tuple[bool, float]:
    if queue.share == 0:
        return True, float(queue.running)
    return False, queue.running / queue.share
