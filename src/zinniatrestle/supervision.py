"""Supervision of tasks that must not end, or end others, because of one failure."""

import asyncio
import traceback
from collections.abc import Awaitable, Callable
from typing import Any

from zinniatrestle.clock import boot_time
from zinniatrestle.events import Event, EventLog

FIRST_PAUSE_SECONDS = 0.2
LONGEST_PAUSE_SECONDS = 10.0
# A task that has run for as long counts as recovered from its earlier failures.
CALM_SECONDS = 30.0
# Innermost frames of the traceback that are logged.
MAX_LOGGED_FRAMES = 4


class Backoff:
    """Pauses after failures: each in a row is twice as long, up to a limit."""

    def __init__(self, longest: float = LONGEST_PAUSE_SECONDS):
        self.longest = longest
        self.next_pause = FIRST_PAUSE_SECONDS

    def pause(self, ran: float) -> float:
        """Return the seconds to pause after a task failed that `ran` for some."""
        if ran >= CALM_SECONDS:
            self.next_pause = FIRST_PAUSE_SECONDS
        pause = min(self.next_pause, self.longest)
        self.next_pause = min(2 * pause, self.longest)
        return pause


class Supervisor:
    """Log the failures of tasks, and run those again that must always run."""

    def __init__(self, events: EventLog):
        self.events = events

    async def keep_running(
        self,
        task: str,
        run: Callable[[], Awaitable[None]],
        final_errors: tuple[type[Exception], ...] = (),
        after_failure: Callable[[], None] = lambda: None,
        longest_pause: float = LONGEST_PAUSE_SECONDS,
        **fields: Any,
    ):
        """Run a task until it returns or is cancelled, and again if it fails.

        An error of `final_errors` ends it: it is raised. Each other one is logged with
        `fields`, followed by `after_failure` and by a pause.
        """
        backoff = Backoff(longest_pause)
        while True:
            started_at = boot_time()
            try:
                await run()
                return
            except final_errors:
                raise
            except Exception as error:
                self.log_failure(task, error, **fields)
            try:
                after_failure()
            except Exception as error:
                self.log_failure(task, error, **fields)
            await asyncio.sleep(backoff.pause(boot_time() - started_at))

    def log_failure(self, task: str, error: BaseException, **fields: Any):
        """Log the failure of a task, of a group each cause by itself."""
        if isinstance(error, BaseExceptionGroup):
            for cause in error.exceptions:
                self.log_failure(task, cause, **fields)
            return
        frames = traceback.extract_tb(error.__traceback__)[-MAX_LOGGED_FRAMES:]
        self.events.write(
            Event.TASK_FAILED,
            task=task,
            **fields,
            reason=f"{type(error).__name__}: {error}",
            frames=[f"{frame.name}:{frame.lineno}" for frame in frames],
        )
