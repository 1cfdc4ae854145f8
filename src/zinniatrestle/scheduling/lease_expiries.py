"""Hand over when the leases at workers that don't answer expire.

Without these records each successor would have to assume that its predecessor extended
all leases until the end of its own, so the wait for a lost run would begin anew.
"""

import math
from typing import NamedTuple

from zinniatrestle.clock import boot_time
from zinniatrestle.ids import BootSeconds, InstanceId, StoreMilliseconds, WorkerId
from zinniatrestle.rows.clock import StoreClock
from zinniatrestle.scheduling.fleet import Fleet
from zinniatrestle.scheduling.state import Worker

# The records are part of the lease's row, which is written several times a second and
# is limited in size.
MAX_EXPIRY_RECORDS = 1000
MS_PER_SECOND = 1000.0


class ExpiryRecord(NamedTuple):
    """Time after which no lease at an instance is valid, by two clocks."""

    expires_at: BootSeconds
    stored: StoreMilliseconds


class LeaseExpiries:
    """Restore the predecessor's records of lease expiries and export those to hand on.

    The leases at a worker must not be extended while a record of it is exported or
    stored (see `Leadership.may_extend`).
    """

    def __init__(self, clock: StoreClock):
        self.clock = clock
        # The restored or last exported records. One is handed on unchanged as long as
        # the time of this host is, since each conversion may make it later.
        self.records: dict[tuple[WorkerId, InstanceId], ExpiryRecord] = {}

    def restore(self, inherited: dict[WorkerId, dict[InstanceId, StoreMilliseconds]]):
        """Convert the predecessor's records to the latest times that they stand for."""
        now = boot_time()
        store_now = self.clock.earliest(now)
        for worker_id, instances in inherited.items():
            for instance, stored in instances.items():
                expires_at = BootSeconds(now + (stored - store_now) / MS_PER_SECOND)
                self.records[worker_id, instance] = ExpiryRecord(expires_at, stored)

    def recorded_expiry(self, worker: Worker) -> BootSeconds | None:
        """Return after which time no lease at an instance is valid, if it is known."""
        record = self.records.get((worker.id, worker.entry.instance))
        return record.expires_at if record is not None else None

    def export(
        self, fleet: Fleet
    ) -> dict[WorkerId, dict[InstanceId, StoreMilliseconds]]:
        """Return when the leases with tasks expire that are not being extended."""
        exported: dict[WorkerId, dict[InstanceId, StoreMilliseconds]] = {}
        records: dict[tuple[WorkerId, InstanceId], ExpiryRecord] = {}
        for worker in [*fleet.unregistered, *fleet.workers.values()]:
            if len(records) == MAX_EXPIRY_RECORDS:
                break
            if not worker.tasks or self._may_be_extended(worker, fleet):
                continue
            key = (worker.id, worker.entry.instance)
            expires_at = worker.lease.expires_at
            record = self.records.get(key)
            if record is None or record.expires_at != expires_at:
                stored = StoreMilliseconds(math.ceil(self.clock.latest(expires_at)))
                record = ExpiryRecord(expires_at, stored)
            records[key] = record
            exported.setdefault(worker.id, {})[worker.entry.instance] = record.stored
        self.records = records
        return exported

    def _may_be_extended(self, worker: Worker, fleet: Fleet) -> bool:
        """Return whether a session extends the leases at an instance, or is about to.

        It extends none before the first answer, and none while the worker is silent.
        """
        registered = fleet.workers.get(worker.id)
        if registered is None:
            return False
        has_answered = registered.lease.clock_ms is not None
        if registered is not worker:
            return has_answered
        if worker.silent:
            return False
        # Most workers answer soon after a succession: records of them would only delay
        # the next extension.
        return has_answered or (worker.id, worker.entry.instance) not in self.records
