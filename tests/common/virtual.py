"""Run coroutines in virtual time: the same verdict each run, and no real waiting."""

import asyncio
from collections.abc import Coroutine
from typing import Any

import async_solipsism


def run(coroutine: Coroutine) -> Any:
    """Run a coroutine on a loop whose time jumps to the next timer."""
    loop = async_solipsism.EventLoop()
    asyncio.set_event_loop(loop)
    try:
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
