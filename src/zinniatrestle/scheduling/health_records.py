"""Export and restore the health of workers, so that a successor knows it."""

from collections.abc import Iterable

from zinniatrestle.ids import BootSeconds, WorkerId
from zinniatrestle.scheduling.messages import WorkerHealthRecord
from zinniatrestle.scheduling.speeds import is_slow
from zinniatrestle.scheduling.state import Worker, WorkerHealth

# The records are part of the lease's row, which is written several times a second.
MAX_HEALTH_RECORDS = 100


def export_health_records(
    workers: Iterable[Worker], now: BootSeconds
) -> dict[WorkerId, WorkerHealthRecord]:
    """Return records of the workers that are quarantined, canaries or slow."""
    records = {}
    for worker in workers:
        if len(records) == MAX_HEALTH_RECORDS:
            break
        slow = is_slow(worker, now)
        if worker.health is WorkerHealth.SOUND and not slow:
            continue
        records[worker.id] = WorkerHealthRecord(
            instance=worker.entry.instance,
            quarantine_seconds=round(max(0.0, worker.quarantined_until - now), 3),
            quarantines=worker.quarantines,
            speed=round(worker.speed, 3) if slow else None,
        )
    return records


def restore_health(worker: Worker, record: WorkerHealthRecord, now: BootSeconds):
    """Restore a worker's health, if the record is of the same instance."""
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
