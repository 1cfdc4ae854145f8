"""What speaks against workers, kept for a successor so that it needs not find out."""

from collections.abc import Iterable

from zinniatrestle.ids import BootSeconds, WorkerId
from zinniatrestle.scheduling.messages import WorkerDoubt
from zinniatrestle.scheduling.speeds import is_crawling
from zinniatrestle.scheduling.state import Worker, WorkerHealth

# Workers that a successor hears of at most: they are in the row of the lease, which is
# written several times a second.
MOST_DOUBTS = 100


def export_doubts(
    workers: Iterable[Worker], now: BootSeconds
) -> dict[WorkerId, WorkerDoubt]:
    """Return the workers that are left alone, on trial or crawling."""
    found = {}
    for worker in workers:
        if len(found) == MOST_DOUBTS:
            break
        crawls = is_crawling(worker, now)
        if worker.health is WorkerHealth.SOUND and not crawls:
            continue
        found[worker.id] = WorkerDoubt(
            instance=worker.entry.instance,
            away_seconds=round(max(0.0, worker.quarantined_until - now), 3),
            quarantines=worker.quarantines,
            speed=round(worker.speed, 3) if crawls else None,
        )
    return found


def recall_doubt(worker: Worker, doubt: WorkerDoubt, now: BootSeconds):
    """Take over what speaks against a worker, if this is the life that it was about."""
    if doubt.instance != worker.entry.instance:
        return
    if doubt.speed is not None:
        worker.speed = doubt.speed
        worker.speed_seen_at = now
    if not doubt.quarantines:
        return
    worker.quarantines = doubt.quarantines
    worker.quarantined_until = BootSeconds(now + doubt.away_seconds)
    worker.health = WorkerHealth.QUARANTINED
