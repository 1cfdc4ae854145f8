"""Weighted fair queueing of a service's slots between client accounts."""

import asyncio
from collections import deque
from collections.abc import Callable

from zinniatrestle.errors import NotRunError, ResultCode
from zinniatrestle.ids import ClientAccountId


class AccountQueue:
    """Queue of one account's waiting requests and count of its running ones."""

    def __init__(self):
        self.share = 1
        self.running = 0
        self.quick: deque[asyncio.Future] = deque()
        self.slow: deque[asyncio.Future] = deque()

    @property
    def waiting(self) -> int:
        """Return the number of requests in the queue."""
        return len(self.quick) + len(self.slow)

    def pop(self) -> asyncio.Future | None:
        """Remove and return the next waiting request, quick ones first."""
        for queue in (self.quick, self.slow):
            while queue:
                future = queue.popleft()
                if not future.done():
                    return future
        return None


class FairQueue:
    """Grant free slots to the account with the lowest utilization of its share.

    The queue is work-conserving: no slot stays free while a request waits, so an
    account may borrow unused slots above its share. An account below its share gets
    the next slot that is released, so a borrower delays it by one request at most.
    """

    def __init__(self, capacity: Callable[[], int]):
        self.capacity = capacity
        self.accounts: dict[ClientAccountId, AccountQueue] = {}
        self.running = 0

    async def acquire(
        self,
        account: ClientAccountId,
        share: int,
        limit: int,
        quick: bool,
        deadline: float,
    ):
        """Acquire a slot, waiting for it until `deadline` in monotonic seconds.

        Raises NotRunError if `limit` requests of the account wait already or if the
        deadline passes.
        """
        queue = self.accounts.setdefault(account, AccountQueue())
        queue.share = share
        if self.running < self.capacity() and not self._has_waiting_requests():
            self._occupy_slot(queue)
            return
        if queue.waiting >= limit:
            raise NotRunError(
                "The account's queue is full; retry later.",
                ResultCode.QUEUE_FULL,
            )
        future = asyncio.get_running_loop().create_future()
        waiters = queue.quick if quick else queue.slow
        waiters.append(future)
        self.dispatch()
        try:
            async with asyncio.timeout_at(deadline):
                await future
        except TimeoutError:
            self._remove_waiter(account, waiters, future)
            if self.capacity() == 0:
                raise NotRunError(
                    "No minion of the service accepts requests.", ResultCode.NO_UPSTREAM
                ) from None
            raise NotRunError(
                "The deadline passed while the request waited for a slot.",
                ResultCode.DEADLINE_PASSED,
            ) from None
        except asyncio.CancelledError:
            self._remove_waiter(account, waiters, future)
            raise

    def fair_slots(self, account: ClientAccountId) -> float:
        """Return an account's fair share, in slots, among the accounts active now."""
        own_queue = self.accounts.get(account)
        share = own_queue.share if own_queue else 1
        total = share
        for name, queue in self.accounts.items():
            if name != account and (queue.running or queue.waiting):
                total += queue.share
        return self.capacity() * share / max(1, total)

    def release(self, account: ClientAccountId):
        """Release a slot of an account and grant it to the next waiting request."""
        self.accounts[account].running -= 1
        self.running -= 1
        self.dispatch()

    def dispatch(self):
        """Grant free slots to waiting requests."""
        while self.running < self.capacity():
            queue = self._next_account()
            if queue is None:
                return
            future = queue.pop()
            if future is None:
                continue
            self._occupy_slot(queue)
            future.set_result(None)

    def _remove_waiter(
        self,
        account: ClientAccountId,
        waiters: deque[asyncio.Future],
        future: asyncio.Future,
    ):
        """Remove a request that no longer waits.

        If a slot was granted at the same moment as the time-out or the cancellation,
        the slot is released.
        """
        if future in waiters:
            waiters.remove(future)
        if future.done() and not future.cancelled():
            self.release(account)

    def _occupy_slot(self, queue: AccountQueue):
        queue.running += 1
        self.running += 1

    def _has_waiting_requests(self) -> bool:
        return any(queue.waiting for queue in self.accounts.values())

    def _next_account(self) -> AccountQueue | None:
        waiting = [queue for queue in self.accounts.values() if queue.waiting]
        if not waiting:
            return None
        # Accounts with a share of 0 get a slot only if no other account waits.
        return min(waiting, key=_share_utilization)


def _share_utilization(queue: AccountQueue) -> tuple[bool, float]:
    if queue.share == 0:
        return True, float(queue.running)
    return False, queue.running / queue.share
