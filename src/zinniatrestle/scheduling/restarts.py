"""When a long-running task that keeps ending early is restarted."""

import zlib

from zinniatrestle.ids import RunNumber, TaskId

# Early ends in a row after which restarts are still immediate.
IMMEDIATE_RESTARTS = 2
FIRST_DELAY_SECONDS = 0.5
# A long-running task has to run again within 6 s of its last run.
MAX_DELAY_SECONDS = 4.0
# A run that worked for this long didn't end early.
EARLY_END_SECONDS = MAX_DELAY_SECONDS
# Share of a delay that is spread, so that tasks which end together don't start so.
JITTER_SHARE = 0.5


def restart_delay(early_ends: int, task: TaskId, run: RunNumber) -> float:
    """Return the seconds to wait after a number of early ends in a row.

    The delay doubles with each of them up to `MAX_DELAY_SECONDS`. Its jitter follows
    from the task and the run that has ended.
    """
    doublings = early_ends - IMMEDIATE_RESTARTS - 1
    if doublings < 0:
        return 0.0
    # More doublings than this exceed the bound, and too many any float.
    delay = min(MAX_DELAY_SECONDS, FIRST_DELAY_SECONDS * 2.0 ** min(doublings, 10))
    spread = zlib.crc32(f"{task}/{run}".encode()) / 2**32
    return delay * (1.0 - JITTER_SHARE * spread)
