"""A run that ends while no host runs is repeated soon if its worker is lost."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

import pytest
from common.history import lines_of, start_events

from zinniatrestle.clock import monotonic
from zinniatrestle.deployment import Bounds
from zinniatrestle.ids import JobId, TaskId
from zinniatrestle.jobs.messages import task_id
from zinniatrestle.scheduling.leadership import HOLD_EXTENSION_SHARE, MIN_LEASE_SHARE
from zinniatrestle.scheduling.session import HOLD_SHARE
from zinniatrestle.standins.checker import violations
from zinniatrestle.standins.fleet import EXPIRY_HEARTBEATS
from zinniatrestle.standins.idle_waits import MAX_IDLE_SECONDS
from zinniatrestle.standins.model import Model, run_virtual, step
from zinniatrestle.standins.runs import EventKind, SimulatedWorker
from zinniatrestle.workers.lease import MIN_CLOCK_RATE, TIMER_SLACK_SECONDS
from zinniatrestle.workers.messages import RunOutcome

BOUNDS = Bounds()
TASK_SECONDS = 10.0
# The hosts are killed this long before the run ends, and start again after the outage.
SECONDS_BEFORE_END = 0.5
OUTAGE_SECONDS = 1.2
# A worker that drains announces it this long before the hosts are killed, and leaves
# once its run has ended.
DRAINING_SECONDS = 1.5
LEAVING_SECONDS = 0.5
# Time until the next round.
ROUND_SECONDS = 0.3
# Time for a hold, a round and the start order.
DETECTION_SECONDS = 1.5
RACK_SIZE = 8
POLL_SECONDS = 0.005
LONGEST_SECONDS = 120.0


@dataclass
class LostEnd:
    """A job whose first step is done at a lost worker; times are monotonic."""

    model: Model
    job: JobId
    done_at: float
    hosts_back_at: float

    @property
    def task(self) -> TaskId:
        """Return the task of the first step."""
        return task_id(self.job, 0, 0, 0)

    @property
    def repeated_at(self) -> float:
        """Return when the task was started again."""
        _, repeated = start_events(self.model, self.task)
        return repeated.at

    @property
    def given_up_at(self) -> float:
        """Return when the first run was marked as lost."""
        (lost,) = lines_of(self.model, "run_lost", task=self.task)
        return lost["at"]

    @property
    def next_step_at(self) -> float:
        """Return when the second step was started."""
        return start_events(self.model, f"{self.job}.0.1.")[0].at


async def drain_and_leave(model: Model, worker: SimulatedWorker):
    await asyncio.sleep(LEAVING_SECONDS)
    model.fleet.crash(worker)
    model.fleet.remove(worker)


async def crash(model: Model, worker: SimulatedWorker):
    model.fleet.crash(worker)


async def cut_off(model: Model, worker: SimulatedWorker):
    worker.reachable = worker.heartbeats = False


async def restart(model: Model, worker: SimulatedWorker):
    model.fleet.restart(worker)


async def until(condition: Callable[[], bool]):
    """Wait until a condition holds."""
    until = monotonic() + LONGEST_SECONDS
    while not condition():
        assert monotonic() < until
        await asyncio.sleep(POLL_SECONDS)


async def fill_rack(model: Model, seconds: float):
    """Occupy the workers of the first rack that are left."""
    shape = step(gpus=8, seconds=seconds, data_rack="rack-0")
    for _ in range(RACK_SIZE - 1):
        await model.submit("usual", (shape,), seconds)


async def lose_end(lose: Callable, rack_busy_seconds: float = 0.0) -> LostEnd:
    """Lose all hosts before the first step of a job ends, and its worker afterwards.

    Both steps of the job have their data in the first rack. Play until it has ended.
    """
    model = Model(1, bounds=BOUNDS, lists_machines=True)
    await model.start(workers=2 * RACK_SIZE, rack=RACK_SIZE)
    beating = asyncio.create_task(model.fleet.send_heartbeats(BOUNDS.heartbeat))
    first = step(1, gpus=8, seconds=TASK_SECONDS, data_rack="rack-0")
    following = step(5, after=(0,), seconds=TASK_SECONDS, data_rack="rack-0")
    job = await model.submit("patient", (first, following), TASK_SECONDS)
    await until(lambda: bool(start_events(model, job)))
    (start,) = start_events(model, job)
    worker = model.fleet.workers[start.worker]
    if rack_busy_seconds:
        await fill_rack(model, rack_busy_seconds)
    killed_at = start.at + TASK_SECONDS - SECONDS_BEFORE_END
    if lose is drain_and_leave:
        await asyncio.sleep(killed_at - DRAINING_SECONDS - monotonic())
        remaining = DRAINING_SECONDS + SECONDS_BEFORE_END + LEAVING_SECONDS
        model.fleet.drain(worker, remaining)
    await asyncio.sleep(killed_at - monotonic())
    for host in model.hosts:
        await host.kill()
    await until(lambda: bool(worker.ended))
    assert worker.ended[0].outcome is RunOutcome.DONE
    done_at = monotonic()
    await lose(model, worker)
    await asyncio.sleep(killed_at + OUTAGE_SECONDS - monotonic())
    for host in model.hosts:
        host.start()
    lost_end = LostEnd(model, job, done_at, monotonic())
    await until(lambda: model.has_ended(job))
    beating.cancel()
    assert violations(model) == []
    return lost_end


def test_end_that_is_lost_with_a_restarted_worker_is_repeated_at_once():
    lost_end = run_virtual(lose_end(restart))
    waited = lost_end.repeated_at - lost_end.hosts_back_at
    assert waited <= MAX_IDLE_SECONDS


def test_end_that_is_lost_with_a_crashed_worker_is_repeated_once_its_entry_is_gone():
    lost_end = run_virtual(lose_end(crash))
    waited = lost_end.repeated_at - lost_end.done_at
    assert waited <= EXPIRY_HEARTBEATS * BOUNDS.heartbeat + DETECTION_SECONDS


# Guards against a successor that waits for the lease at a worker that has left (LOST).
def test_end_that_is_lost_with_a_worker_that_leaves_is_repeated_at_once():
    lost_end = run_virtual(lose_end(drain_and_leave))
    waited = lost_end.repeated_at - lost_end.hosts_back_at
    assert waited <= MAX_IDLE_SECONDS


# Guards against a wait for leases that no former holder can have extended (LOST).
@pytest.mark.parametrize("lose", [cut_off, drain_and_leave])
def test_successor_waits_for_no_lease_longer_than_a_former_holder_could_extend(lose):
    lost_end = run_virtual(lose_end(lose))
    held_until = BOUNDS.lease * MIN_LEASE_SHARE + BOUNDS.max_hold * HOLD_EXTENSION_SHARE
    lease = BOUNDS.max_hold * HOLD_SHARE / MIN_CLOCK_RATE + TIMER_SLACK_SECONDS
    waited = lost_end.given_up_at - (lost_end.hosts_back_at - OUTAGE_SECONDS)
    assert waited <= held_until + lease + ROUND_SECONDS


# Guards against a repetition away from the data that takes longer than a wait for the
# rack and a run there (LOST): it is no work for its job until it has ended.
@pytest.mark.parametrize("lose, busy_seconds", [(crash, 17.0), (cut_off, 25.0)])
def test_repetition_ends_as_soon_as_near_the_data(lose, busy_seconds):
    lost_end = run_virtual(lose_end(lose, busy_seconds))
    ends = []
    for event in lost_end.model.fleet.history:
        if event.kind is EventKind.END and not event.task.startswith(lost_end.job):
            ends.append(event.at)
    rack_free_at = max(min(ends), lost_end.given_up_at)
    ended_near_at = rack_free_at + TASK_SECONDS
    assert lost_end.next_step_at <= ended_near_at + DETECTION_SECONDS
