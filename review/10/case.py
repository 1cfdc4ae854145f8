"""pendingJobs after a planned restart of the host that schedules."""

import asyncio
import json
import signal
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common-2"))

from cluster import BROKEN, HELD, VISIBLE_SECONDS, CaseError, Cluster, has_trouble, main

WAITING_JOBS = 6
# A job counts as waiting once it was accepted this long before (RULES.md, MIXED).
ACCEPTED_SECONDS = VISIBLE_SECONDS + 2.0


async def check(record):
    """Hand in more than fits, restart the scheduling host, and read the counts."""
    async with Cluster(record, hosts=3, machines=1) as cluster:
        await asyncio.sleep(4.5)
        first = cluster.hosts[0]
        spec = json.dumps({"seconds": 90})
        accepted: dict[str, float] = {}
        full = [{"count": 1, "gpus": 8, "cpu": 1000, "estimatedMs": 90_000}]
        for number in range(WAITING_JOBS + 1):
            job = f"{number + 1:016x}"
            if await cluster.submit(first, f"/usual/{job}", spec, full) == 200:
                accepted[job] = time.monotonic()
            await asyncio.sleep(0.3 if number else 1.5)
        if len(accepted) <= WAITING_JOBS:
            raise CaseError("a job was not accepted")
        await asyncio.sleep(ACCEPTED_SECONDS + 1.0)
        restart = None
        if has_trouble():
            leader = cluster.leader()
            record.write("SIGTERM", host=leader.name)
            leader.send(signal.SIGTERM)
            restart = asyncio.create_task(leader.restart_after(1.0))
        result = HELD
        ends_at = time.monotonic() + 10.0
        while time.monotonic() < ends_at:
            for host in cluster.hosts:
                if not host.in_touch:
                    continue
                sent_at = time.monotonic()
                status, body = await cluster.request(host, "GET", "/usual/")
                # What began before the answer is left out.
                begun = cluster.begun_jobs()
                waiting = sum(
                    job not in begun and sent_at - at > ACCEPTED_SECONDS
                    for job, at in accepted.items()
                )
                if status != 200 or not host.in_touch:
                    record.write("count", host=host.name, status=status)
                    continue
                shown = body["pendingJobs"]
                is_broken = shown < waiting / 2
                word = "BROKEN-MIXED" if is_broken else "count"
                record.write(word, host=host.name, shown=shown, waiting=waiting)
                if is_broken:
                    result = BROKEN
            await asyncio.sleep(0.05)
        if restart is not None:
            await restart
        return result


main(check, str(Path(__file__).parent))
