"""Hand over the workers that drain, so that a successor finds out whether they left.

The registry no longer lists a worker that has left, and without its address and state a
successor would have to wait for the longest lease that it may have had.
"""

import math
from collections.abc import Iterable

from zinniatrestle.clock import boot_time
from zinniatrestle.ids import BootSeconds, StoreMilliseconds, WorkerId
from zinniatrestle.rows.clock import StoreClock
from zinniatrestle.scheduling.fleet import Fleet
from zinniatrestle.scheduling.messages import LeavingWorker
from zinniatrestle.scheduling.state import Worker
from zinniatrestle.workers.messages import WorkerState

# The records are part of the lease's row, which is written several times a second.
MAX_LEAVING_RECORDS = 100
MS_PER_SECOND = 1000.0


def export_leaving_workers(
    workers: Iterable[Worker], clock: StoreClock
) -> dict[WorkerId, LeavingWorker]:
    """Return records of the workers that drain while tasks are assigned to them."""
    records = {}
    for worker in workers:
        if len(records) == MAX_LEAVING_RECORDS:
            break
        if worker.entry.state is not WorkerState.DRAINING or not worker.tasks:
            continue
        written_after = clock.earliest(worker.entry_written_after)
        records[worker.id] = LeavingWorker(
            worker.entry, StoreMilliseconds(math.floor(written_after))
        )
    return records


def restore_leaving_workers(
    fleet: Fleet, records: dict[WorkerId, LeavingWorker], clock: StoreClock
):
    """Add the workers of a predecessor's records that the registry no longer lists.

    Their entries count as written at the earliest time that the records stand for.
    """
    now = boot_time()
    for worker_id, record in records.items():
        if worker_id in fleet.workers:
            continue
        age = (clock.latest(now) - record.written_after) / MS_PER_SECOND
        fleet.add_missing(record.entry, BootSeconds(now - age))
