"""A draining worker is cut off while the store forgets its history."""

import asyncio
import os
import sys
import tempfile
import time
from collections import defaultdict
from itertools import pairwise
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common-3"))

from cluster import Deployment, Record, deployment, job  # noqa: E402

from zinniatrestle.standins.runs import EventKind  # noqa: E402

HELD, BROKEN, NOT_RUN = 0, 1, 2
# Deployments that run beside each other, and tries in each.
DEPLOYMENTS = 2
CYCLES = 13
WORKERS = 18
JOB_SECONDS = 8.5
# How long a draining worker stays at least.
LEAVE_SECONDS = 9.5
# How long it is cut off from the store and from the hosts.
STORE_CUT_SECONDS = 5.0
HOST_CUT_SECONDS = 5.5
# From the heartbeat of the worker, which comes early in the second in which watches
# hear nothing, to the cut.
CUT_DELAY_SECONDS = 0.1
START_SECONDS = 3.0
# From the start of a cycle to that of the next one.
CYCLE_SECONDS = 7.0
DESIRED = {
    "version": 1,
    "routes": [
        {
            "name": "r-1",
            "host": "queue.example",
            "pathPrefix": "/q/",
            "service": "service",
            "priority": 1,
            "maxAttempts": 3,
            "stretch": 3.0,
            "targetLatencyMs": 1200,
            "timeoutMs": 3000,
        }
    ],
    "services": [{"name": "service", "enforcesCapacity": False}],
    "limits": {"maxBodyBytes": 262144},
    "tenants": [{"name": "t", "apiKeys": ["key"], "guaranteed": {"gpus": 8}}],
}


async def sleep_until(at: float):
    """Sleep until a time of the monotonic clock."""
    await asyncio.sleep(max(0.0, at - time.monotonic()))


async def first_worker(cluster: Deployment, name: str) -> str:
    """Return the worker on which a job's task has started; raises TimeoutError."""
    async with asyncio.timeout(START_SECONDS):
        while True:
            for event in cluster.fleet.history:
                if event.kind is EventKind.START and event.task.startswith(name):
                    return event.worker
            await asyncio.sleep(0.02)


async def run_cycle(cluster: Deployment, number: int, is_disturbed: bool):
    """Drain the worker of a job, cut it off and compact the store's history."""
    record = cluster.record
    name = f"{number:016x}"
    host = cluster.hosts[number % len(cluster.hosts)]
    status = await cluster.call(host, "POST", f"/q/{name}", job(JOB_SECONDS), "key")
    if status != 200:
        raise TimeoutError
    worker = await first_worker(cluster, name)
    began_at = time.monotonic()
    cluster.drain(worker, LEAVE_SECONDS)
    if is_disturbed:
        beat_at = cluster.next_beats_at[worker]
        if beat_at < began_at + 0.2:
            beat_at += 1.5
        await sleep_until(beat_at - 0.02)
        record.write("store: watches hear nothing")
        compaction = asyncio.create_task(cluster.wire.compact())
        await sleep_until(beat_at + CUT_DELAY_SECONDS)
        cut_at = beat_at + CUT_DELAY_SECONDS
        app = cluster.apps[worker]
        app.cut()
        app.is_cut_from_store = True
        record.write(f"worker {worker}: is cut off, and runs on")
        await compaction
        record.write("store: the history is dropped")
        await sleep_until(cut_at + STORE_CUT_SECONDS)
        app.is_cut_from_store = False
        record.write(f"worker {worker}: reaches the store again")
        await sleep_until(cut_at + HOST_CUT_SECONDS)
        app.is_cut = False
        record.write(f"worker {worker}: is reached again")
    await sleep_until(began_at + LEAVE_SECONDS)
    cluster.leave(worker)


def overlaps(cluster: Deployment) -> list[str]:
    """Return the tasks of which two runs were at work at the same time."""
    runs: dict[str, dict[tuple, list[float]]] = defaultdict(dict)
    for event in cluster.fleet.history:
        key = (event.worker, event.run)
        if event.kind is EventKind.START:
            runs[event.task][key] = [event.at, float("inf")]
        elif event.kind is EventKind.END:
            runs[event.task][key][1] = event.at
    found = []
    for task, spans in runs.items():
        ordered = sorted(spans.values())
        for (_, end), (start, _) in pairwise(ordered):
            if start < end:
                found.append(f"{task}: two runs for {end - start:.2f} s")
    return found


async def run_deployment(record: Record, folder: Path, is_disturbed: bool) -> list[str]:
    """Return the tasks of one deployment that ran twice at the same time."""
    folder.mkdir()
    async with deployment(folder, record, DESIRED, workers=WORKERS) as cluster:
        await asyncio.sleep(1.0)
        began_at = time.monotonic()
        async with asyncio.TaskGroup() as group:
            for number in range(CYCLES):
                await sleep_until(began_at + number * CYCLE_SECONDS)
                group.create_task(run_cycle(cluster, number, is_disturbed))
        cluster.write_runs()
        return overlaps(cluster)


async def run(record: Record, folder: Path, is_disturbed: bool) -> int:
    """Return the result of the case."""
    runs = []
    async with asyncio.TaskGroup() as group:
        for number in range(DEPLOYMENTS):
            own = folder / str(number)
            run = run_deployment(record, own, is_disturbed)
            runs.append(group.create_task(run))
    found = [text for run in runs for text in run.result()]
    for text in found:
        record.write(f"broken: {text}")
    return BROKEN if found else HELD


def main() -> int:
    """Run the case and return the exit code."""
    record = Record(FOLDER / "record.txt")
    is_disturbed = os.environ.get("TROUBLE", "1") != "0"
    record.write(f"TROUBLE={int(is_disturbed)}")
    with tempfile.TemporaryDirectory() as folder:
        try:
            result = asyncio.run(run(record, Path(folder), is_disturbed))
        except* TimeoutError:
            result = NOT_RUN
    record.write(f"exit code {result}")
    return result


sys.exit(main())
