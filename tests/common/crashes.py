"""End or freeze a host at a chosen call to the platform."""

import asyncio
from collections.abc import Callable
from typing import Any


class CallCounter:
    """Count a host's calls and do something at one of them.

    `before` tells whether that happens before the call takes effect or after.
    """

    def __init__(self, number: int, before: bool, act: Callable[[], None]):
        self.number = number
        self.before = before
        self.act = act
        self.calls = 0
        self.counting = False

    def wrap(self, inner: Any) -> "CountedService":
        """Return a service whose calls are counted."""
        return CountedService(inner, self)


class CountedService:
    """Pass calls on, and stop for ever at the chosen one."""

    def __init__(self, inner: Any, counter: CallCounter):
        self.inner = inner
        self.counter = counter

    def __getattr__(self, name: str) -> Callable:
        method = getattr(self.inner, name)

        async def call(*arguments):
            counter = self.counter
            if not counter.counting:
                return await method(*arguments)
            counter.calls += 1
            chosen = counter.calls == counter.number
            if chosen and counter.before:
                counter.act()
                await asyncio.sleep(0)
            result = await method(*arguments)
            if chosen and not counter.before:
                counter.act()
                await asyncio.sleep(0)
            return result

        return call
