"""Workers are cut off for some seconds and run on; connections are refused."""

import asyncio
import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "common"))

import cluster as common  # noqa: E402

from zinniatrestle.standins.runs import EventKind, TaskScript  # noqa: E402

JOB = "00000000000000d1"
WORKERS = 12
# The largest doses: 0.17 of the workers are cut off from the hosts for 5.5 s, by the
# site file, and from the store for 5 s, by the default of kinds.
CUT_WORKERS = 2
CUT_SECONDS = 5.5
STORE_CUT_SECONDS = 5.0
RUN_SECONDS = 14.0
# The job fills all workers but two, so that there is room elsewhere.
TASKS = WORKERS - 2


def overlaps(fleet) -> list[str]:
    """Return a line for each two runs of a task that ran at the same time."""
    running, found = {}, []
    for event in fleet.history:
        runs = running.setdefault(event.task, {})
        if event.kind is EventKind.START:
            for run, (worker, at) in runs.items():
                found.append(
                    f"TWICE {event.task}: run {run} on {worker} since {at:.2f} s, "
                    f"run {event.run} on {event.worker} {event.at - at:.2f} s later"
                )
            runs[event.run] = (event.worker, event.at)
        if event.kind is EventKind.END:
            runs.pop(event.run, None)
    return found


async def check(cluster) -> int:
    """Cut off workers on which tasks run, and look for second runs of these."""
    fleet, record = cluster.fleet, cluster.record
    host = cluster.hosts[0]
    body = {
        "spec": TaskScript(seconds=RUN_SECONDS).encoded(),
        "steps": [{"count": TASKS, "cpu": 16000, "gpus": 8, "estimatedMs": 14000}],
    }
    status, _ = await cluster.call(host, "POST", f"/q/{JOB}", body)
    if status != 200:
        return common.NOT_RUN

    def count_starts() -> int:
        return sum(event.kind is EventKind.START for event in fleet.history)

    if not await cluster.wait_for(lambda: count_starts() == TASKS, 10.0):
        record.write("the tasks did not start")
        return common.NOT_RUN
    await asyncio.sleep(1.0)
    busy = [worker for worker in fleet.workers.values() if worker.running]
    if common.has_trouble():
        for worker in busy[:CUT_WORKERS]:
            worker.heartbeats = False
            cluster.doors[worker.entry.worker].close()
            record.write(f"{worker.entry.worker} is cut off and runs on")
        await asyncio.sleep(STORE_CUT_SECONDS)
        for worker in busy[:CUT_WORKERS]:
            worker.heartbeats = True
            cluster.list_worker(worker)
            record.write(f"{worker.entry.worker} reaches the store again")
        await asyncio.sleep(CUT_SECONDS - STORE_CUT_SECONDS)
        for worker in busy[:CUT_WORKERS]:
            await cluster.doors[worker.entry.worker].open()
            record.write(f"{worker.entry.worker} is reached again")
    until = time.monotonic() + 40.0
    while time.monotonic() < until:
        _, text = await cluster.call(host, "GET", f"/q/{JOB}", quiet=True)
        if "completed" in text:
            break
        await asyncio.sleep(0.2)
    record.write(f"state of the job: {text}")
    found = overlaps(fleet)
    for line in found:
        record.write(line)
    if found:
        return common.BROKEN
    return common.HELD if "completed" in text else common.NOT_RUN


if __name__ == "__main__":
    common.main(check, HERE, common.Shape(workers=WORKERS, relayed=True))
