"""Crash or freeze a host at a selected call to the platform."""

import asyncio
from collections.abc import Callable
from typing import Any


class CallCounter:
    """Counts the calls of a host and runs `act` at call `number`.

    With `before` set, `act` runs before the call takes effect, otherwise after it.
    Calls are counted while `counting` is set.
    """

    def __init__(self, number: int, before: bool, act: Callable[[], None]):
        self.number = number
        self.before = before
        self.act = act
        self.calls = 0
        self.counting = False

    def wrap(self, inner: Any) -> "CountedService":
        """Return a proxy of a service whose calls are counted."""
        return CountedService(inner, self)


class CountedService:
    """Proxy that runs the counter's action at the selected call.

    A caller that the action cancels ends at the pause that follows.
    """

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
            is_selected = counter.calls == counter.number
            if is_selected and counter.before:
                counter.act()
                await asyncio.sleep(0)
            result = await method(*arguments)
            if is_selected and not counter.before:
                counter.act()
                await asyncio.sleep(0)
            return result

        return call
