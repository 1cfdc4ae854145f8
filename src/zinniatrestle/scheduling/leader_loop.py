"""Run the scheduler while this host holds the scheduling lease."""

import asyncio
import traceback

from zinniatrestle.events import Event, EventLog
from zinniatrestle.scheduling.context import SchedulerContext
from zinniatrestle.scheduling.scheduler import Scheduler

# Innermost frames of the traceback that are logged when a scheduler fails.
MAX_LOGGED_FRAMES = 4


async def run_while_leader(context: SchedulerContext):
    """Run one scheduler for each generation, until cancelled."""
    leadership = context.leadership
    while True:
        await leadership.acquired.wait()
        generation = leadership.generation
        running = asyncio.create_task(Scheduler(context).run())
        lost = asyncio.create_task(leadership.lost.wait())
        try:
            await asyncio.wait({running, lost}, return_when=asyncio.FIRST_COMPLETED)
        finally:
            lost.cancel()
            running.cancel()
            results = await asyncio.gather(running, return_exceptions=True)
            _log_failure(results[0], context.events)
        # After a failure, scheduling restarts under a new generation, unless this host
        # has acquired the lease anew while the scheduler was closed.
        if leadership.generation == generation:
            leadership.step_down("the scheduler ended")


def _log_failure(error: BaseException | None, events: EventLog):
    if error is None or isinstance(error, asyncio.CancelledError):
        return
    causes = [error]
    if isinstance(error, BaseExceptionGroup):
        causes = list(error.exceptions)
    for cause in causes:
        frames = traceback.extract_tb(cause.__traceback__)[-MAX_LOGGED_FRAMES:]
        events.write(
            Event.TASK_FAILED,
            task="scheduler",
            reason=f"{type(cause).__name__}: {cause}",
            frames=[f"{frame.name}:{frame.lineno}" for frame in frames],
        )
