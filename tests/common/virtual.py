"""Run coroutines in virtual time: the same verdict each run, and no real waiting."""

import asyncio
import random
from collections.abc import Coroutine
from typing import Any
from unittest import mock

import async_solipsism

SEED = 1


class SeededTokens:
    """Draw the same ids in each run, since ties are broken by them."""

    def __init__(self):
        self.random = random.Random(SEED)

    def token_hex(self, size: int) -> str:
        """Return the next token."""
        return self.random.randbytes(size).hex()


def run(coroutine: Coroutine) -> Any:
    """Run a coroutine on a loop whose time jumps to the next timer."""
    loop = async_solipsism.EventLoop()
    asyncio.set_event_loop(loop)
    try:
        with mock.patch("zinniatrestle.ids.secrets", SeededTokens()):
            return loop.run_until_complete(_settled(coroutine))
    finally:
        asyncio.set_event_loop(None)
        loop.close()


async def _settled(coroutine: Coroutine) -> Any:
    try:
        return await coroutine
    finally:
        others = asyncio.all_tasks() - {asyncio.current_task()}
        for task in others:
            task.cancel()
        await asyncio.gather(*others, return_exceptions=True)
