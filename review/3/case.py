"""The store is slow while more runs end at a worker than one list of ends holds."""

import asyncio
import random
import sys
import time
from pathlib import Path

import msgspec

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "common"))

import cluster as common  # noqa: E402

from zinniatrestle.standins.fleet import SimulatedFleet  # noqa: E402
from zinniatrestle.standins.runs import EventKind, TaskScript  # noqa: E402
from zinniatrestle.workers.messages import RunOutcome  # noqa: E402

JOBS = ("00000000000000a1", "00000000000000a2")
TASKS_PER_JOB = 1000
TASKS = TASKS_PER_JOB * len(JOBS)
# The pages: ends are returned 500 at a time.
LISTED_ENDS = 500
RUN_SECONDS = 9.0
# Each task takes up to so much more or less time than its job's mean.
UNEVEN = 0.03
# The largest dose of the site for a slow store.
SLOWNESS = 60.0
SLOW_SECONDS = 4.5
# The workers are in the failure domain of the hosts: 0.2 ms one way.
ONE_WAY_SECONDS = 0.0002
# The store turns slow so long before the first run can end.
SLOW_BEFORE_SECONDS = 0.3
FINISH_SECONDS = 40.0


class PagedFleet(SimulatedFleet):
    """Workers that list 500 ends at a time, the oldest first."""

    def __init__(self, rows, **settings):
        super().__init__(rows, **settings)
        self.random_durations = random.Random(7)
        self.factors = {}

    def _advance_run(self, worker, run, now, passed, members_by_run):
        factor = self.factors.get(run.task)
        if factor is None:
            factor = self.random_durations.uniform(1 - UNEVEN, 1 + UNEVEN)
            self.factors[run.task] = factor
        super()._advance_run(worker, run, now, passed / factor, members_by_run)

    async def _cross_network(self):
        await asyncio.sleep(ONE_WAY_SECONDS)

    async def hold(self, worker, generation, acknowledged_end, deadline_ms, wait):
        """Extend the leases, and return the runs and the first of the ends."""
        await self._cross_network()
        answer = await super().hold(
            worker, generation, acknowledged_end, deadline_ms, wait
        )
        await self._cross_network()
        return msgspec.structs.replace(answer, ended=answer.ended[:LISTED_ENDS])

    async def start(self, worker, order):
        """Start a run."""
        await self._cross_network()
        clock_ms = await super().start(worker, order)
        await self._cross_network()
        return clock_ms

    async def stop(self, worker, task, run, generation):
        """Stop a run."""
        await self._cross_network()
        await super().stop(worker, task, run, generation)
        await self._cross_network()


def events_of(fleet, kind: EventKind):
    """Return the events of a kind."""
    return [event for event in fleet.history if event.kind is kind]


def repeated_tasks(fleet) -> dict[str, str]:
    """Return the tasks that TWICE forbids to start again, with the reason.

    A run has ended as done, that end is taken note of at some time, and a later run of
    the task starts after it.
    """
    done, noted, repeated = {}, set(), {}
    for event in events_of(fleet, EventKind.ACKNOWLEDGED):
        if event.outcome is RunOutcome.DONE:
            noted.add((event.task, event.run))
    for event in fleet.history:
        if event.kind is EventKind.END and event.outcome is RunOutcome.DONE:
            if (event.task, event.run) in noted:
                done.setdefault(event.task, event)
        if event.kind is EventKind.START and event.task in done:
            first = done[event.task]
            repeated[event.task] = (
                f"run {first.run} was done and taken note of, and run {event.run} "
                f"started {event.at - first.at:.2f} s after its end"
            )
    return repeated


async def check(cluster) -> int:
    """Run jobs of small tasks, and slow down the store while they end."""
    fleet, record = cluster.fleet, cluster.record
    other = cluster.hosts[0]
    body = {
        "spec": TaskScript(seconds=RUN_SECONDS).encoded(),
        "steps": [
            {"count": TASKS_PER_JOB, "cpu": 16, "memMb": 50, "estimatedMs": 12000}
        ],
    }
    for job in JOBS:
        status, _ = await cluster.call(other, "POST", f"/q/{job}", body)
        if status != 200:
            return common.NOT_RUN
    if not await cluster.wait_for(
        lambda: len(events_of(fleet, EventKind.START)) == TASKS, RUN_SECONDS - 2
    ):
        record.write("the tasks did not start in time")
        return common.NOT_RUN
    starts = [event.at for event in events_of(fleet, EventKind.START)]
    record.write(f"all tasks have started, over {max(starts) - min(starts):.1f} s")
    slow_at = min(starts) + RUN_SECONDS * (1 - UNEVEN) - SLOW_BEFORE_SECONDS
    await asyncio.sleep(max(0.0, slow_at - time.monotonic()))
    if common.has_trouble():
        cluster.wire.slowness = SLOWNESS
        record.write(f"the store is {SLOWNESS:g} times slower")
        await asyncio.sleep(SLOW_SECONDS)
        cluster.wire.slowness = 1.0
        record.write("the store is as fast as before")
    until = time.monotonic() + FINISH_SECONDS
    states = []
    while time.monotonic() < until:
        states = [
            await cluster.call(other, "GET", f"/q/{job}", quiet=True) for job in JOBS
        ]
        if all("completed" in text for _, text in states):
            break
        await asyncio.sleep(0.2)
    record.write(f"states of the jobs: {states}")
    # The last ends are still to be taken note of.
    await asyncio.sleep(3.0)
    repeated = repeated_tasks(fleet)
    for task, reason in list(repeated.items())[:10]:
        record.write(f"TWICE {task}: {reason}")
    record.write(f"TWICE: {len(repeated)} tasks of {TASKS} started again")
    if repeated:
        return common.BROKEN
    is_complete = all("completed" in text for _, text in states)
    return common.HELD if is_complete else common.NOT_RUN


if __name__ == "__main__":
    common.main(check, HERE, common.Shape(workers=3, fleet=PagedFleet))
