"""Run the scheduler while this host holds the scheduling lease."""

import asyncio

from zinniatrestle.clock import boot_time
from zinniatrestle.errors import LeaseLostError
from zinniatrestle.scheduling.context import SchedulerContext
from zinniatrestle.scheduling.scheduler import Scheduler
from zinniatrestle.supervision import Backoff, Supervisor


async def run_while_leader(context: SchedulerContext):
    """Run one scheduler for each generation, until cancelled."""
    leadership = context.leadership
    supervisor = Supervisor(context.events)
    backoff = Backoff()
    while True:
        await leadership.acquired.wait()
        generation = leadership.generation
        started_at = boot_time()
        running = asyncio.create_task(Scheduler(context).run())
        lost = asyncio.create_task(leadership.lost.wait())
        try:
            await asyncio.wait({running, lost}, return_when=asyncio.FIRST_COMPLETED)
        finally:
            lost.cancel()
            running.cancel()
            (error,) = await asyncio.gather(running, return_exceptions=True)
            if _is_failure(error):
                supervisor.log_failure("scheduler", error)
        if _is_failure(error):
            # Another host may schedule meanwhile. If it fails as well, all pause.
            leadership.abstain(backoff.pause(boot_time() - started_at))
        # After a failure, scheduling restarts under a new generation, unless this host
        # has acquired the lease anew while the scheduler was closed.
        if leadership.generation == generation:
            leadership.step_down("the scheduler ended")


def _is_failure(error: BaseException | None) -> bool:
    """Return whether a scheduler ended for another cause than the lease."""
    if isinstance(error, BaseExceptionGroup):
        return any(_is_failure(cause) for cause in error.exceptions)
    return error is not None and not isinstance(
        error, asyncio.CancelledError | LeaseLostError
    )
