"""A cancelled job whose acceptance the store carries out late."""

import asyncio
import json
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common-2"))

from cluster import (
    BROKEN,
    CONTACT_SECONDS,
    HELD,
    CaseError,
    Cluster,
    has_trouble,
    main,
)

CANCEL_SECONDS = 3.0
# The bench's kinds say that late writes are done 1 to 6 s later.
LATE_SECONDS = 6.0
LOSS_SECONDS = 1.4
# Other writes in that time keep the share of lost ones below 0.3.
OTHER_JOBS = 12
JOB = f"{1:016x}"
# Another job takes all accelerators meanwhile, so that the store has been calm for
# `contactMs` after the last late write when the cancelled job can start.
BLOCKER = f"{2:016x}"
BLOCKER_SECONDS = 13.5


async def submit_others(cluster, host, spec: str, steps: list):
    """Hand in other jobs, whose writes are answered."""
    for number in range(OTHER_JOBS):
        path = f"/usual/{number + 100:016x}"
        if await cluster.submit(host, path, spec, steps) != 200:
            raise CaseError("another job was not accepted")
        await asyncio.sleep(LOSS_SECONDS / OTHER_JOBS / 2)


async def check(record):
    """Hand a job in while the store loses its writes, and cancel it."""
    async with Cluster(record, hosts=3, machines=1) as cluster:
        first, second, third = cluster.hosts
        await asyncio.sleep(4.5)
        all_gpus = [{"count": 1, "cpu": 1000, "gpus": 8, "estimatedMs": 13_500}]
        blocker = json.dumps({"seconds": BLOCKER_SECONDS})
        path = f"/usual/{BLOCKER}"
        if await cluster.submit(first, path, blocker, all_gpus) != 200:
            raise CaseError("the first job was not accepted")
        await asyncio.sleep(0.5)
        spec = json.dumps({"seconds": 0.5})
        steps = [{"count": 1, "cpu": 1000, "memMb": 10, "estimatedMs": 500}]
        store = cluster.store
        if has_trouble():
            store.late_key, store.late_seconds = JOB, LATE_SECONDS
            store.late_until = time.monotonic() + LOSS_SECONDS
        disturbed_until = record.now() + LOSS_SECONDS + LATE_SECONDS
        others = asyncio.create_task(submit_others(cluster, third, spec, steps))
        status = await cluster.submit(first, f"/usual/{JOB}", spec, all_gpus)
        if status not in (200, 0, 504):
            raise CaseError("the acceptance of the job is not uncertain")
        await others
        record.write("writes", asked=store.asked, lost=store.lost)
        status, _ = await cluster.request(second, "DELETE", f"/usual/{JOB}")
        acknowledged_at = record.now()
        record.write("cancel", path=f"/usual/{JOB}", host=second.name, status=status)
        if status not in (200, 410):
            raise CaseError("the cancelling was not acknowledged")
        await asyncio.sleep(16.0)
        result = HELD
        for at, kind, minion, _, task, run, _ in cluster.events():
            if kind != "start" or task.split(".")[0] != JOB:
                continue
            is_in_touch = at - disturbed_until >= CONTACT_SECONDS
            if is_in_touch and at - acknowledged_at > CANCEL_SECONDS:
                after = f"{at - acknowledged_at:.3f}"
                record.write(
                    "BROKEN-UNASKED", task=task, run=run, at=minion, after=after
                )
                result = BROKEN
        return result


main(check, str(Path(__file__).parent))
