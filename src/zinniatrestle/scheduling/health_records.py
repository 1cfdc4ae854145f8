"""Export and restore the health of workers, so that a successor knows it."""

from collections.abc import Iterable

from zinniatrestle.ids import BootSeconds, WorkerId
from zinniatrestle.scheduling.messages import WorkerHealthRecord
from zinniatrestle.scheduling.speeds import is_slow
from zinniatrestle.scheduling.state import Worker, WorkerHealth

# The records are part of the lease's row, which is written several times a second.
MAX_HEALTH_RECORDS = 100
# Records of workers that have not joined by then are dropped. Registry entries that
# were lost with the store return much sooner.
INHERITED_SECONDS = 30.0


class InheritedHealth:
    """Health records of a predecessor, for workers that have not joined yet."""

    def __init__(self, records: dict[WorkerId, WorkerHealthRecord], now: BootSeconds):
        self.records = dict(records)
        self.inherited_at = now

    def claim(self, worker: Worker, now: BootSeconds):
        """Restore the health of a worker that joins, and drop its record."""
        record = self.records.pop(worker.id, None)
        if record is not None:
            restore_health(worker, record, now)

    def add_to(self, records: dict[WorkerId, WorkerHealthRecord], now: BootSeconds):
        """Hand the records on that no worker has claimed, as far as there is room."""
        if now - self.inherited_at > INHERITED_SECONDS:
            self.records.clear()
        for worker, record in self.records.items():
            if len(records) >= MAX_HEALTH_RECORDS:
                break
            records.setdefault(worker, record)


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
