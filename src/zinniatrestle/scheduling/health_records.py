"""What speaks against workers, kept for a successor so that it needs not find out."""

from collections.abc import Iterable

from zinniatrestle.ids import BootSeconds, WorkerId
from zinniatrestle.scheduling.messages import WorkerHealthRecord
from zinniatrestle.scheduling.speeds import is_slow
from zinniatrestle.scheduling.state import Worker, WorkerHealth

# Workers that a successor hears of at most: they are in the row of the lease, which is
# written several times a second.
MAX_HEALTH_RECORDS = 100


def export_health_records(
    workers: Iterable[Worker], now: BootSeconds
) -> dict[WorkerId, WorkerHealthRecord]:
    """Return the workers that are left alone, on trial or crawling."""
    found = {}
    for worker in workers:
        if len(found) == MAX_HEALTH_RECORDS:
            break
        crawls = is_slow(worker, now)
        if worker.health is WorkerHealth.SOUND and not crawls:
            continue
        found[worker.id] = WorkerHealthRecord(
            instance=worker.entry.instance,
            quarantine_seconds=round(max(0.0, worker.quarantined_until - now), 3),
            quarantines=worker.quarantines,
            speed=round(worker.speed, 3) if crawls else None,
        )
    return found


def restore_health(worker: Worker, record: WorkerHealthRecord, now: BootSeconds):
    """Take over what speaks against a worker, if this is the life that it was about."""
    if record.instance != worker.entry.instance:
        return
    if record.speed is not None:
        worker.speed = record.speed
        worker.speed_measured_at = now
    if not record.quarantines:
        return
    worker.quarantines = record.quarantines
    worker.quarantined_until = BootSeconds(now + record.quarantine_seconds)
    worker.health = WorkerHealth.QUARANTINED
