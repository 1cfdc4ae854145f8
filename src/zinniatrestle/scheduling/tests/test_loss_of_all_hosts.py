"""Jobs go on after all hosts were killed at any call, and started from the store."""

import asyncio
import math
from collections.abc import Callable

import pytest
from common.history import start_events
from common.kill_points import KillMoment, KillPoints, intercepted

from zinniatrestle.clock import monotonic
from zinniatrestle.deployment import Bounds
from zinniatrestle.ids import JobId
from zinniatrestle.jobs import JobState
from zinniatrestle.standins.checker import check_capacity, violations
from zinniatrestle.standins.ended_tasks import EndsAtWorkers
from zinniatrestle.standins.idle_waits import IdleWaits
from zinniatrestle.standins.model import Model, run_virtual, step

BOUNDS = Bounds(stop=0.9)
TASK_SECONDS = 3.0
NEXT_TASKS = 5
# A run ends while its worker is unreachable, and is repeated.
LONG_TASK_SECONDS = 10.0
SECONDS_UNTIL_LOSS = 6.0
# A call carried out late is carried out by then.
SETTLE_SECONDS = 4.0
LONGEST_SECONDS = 60.0
SAMPLE_SECONDS = 0.1
POLL_SECONDS = 0.005
# Every nth of these calls is tried, and each of the others.
STRIDES = {"answer": 16, "write leases": 4}


def two_steps(count: int, seconds: float, gang: bool = False):
    """Return a step of whole workers, and one that follows it."""
    first = step(count, gpus=8, gang=gang, seconds=seconds)
    return (first, step(NEXT_TASKS, gpus=2, after=(0,), seconds=seconds))


async def run_and_cancel(model: Model, points: KillPoints):
    """Run a job, and cancel another one when both run."""
    points.begin()
    steps = two_steps(2, TASK_SECONDS)
    await model.submit("usual", steps, TASK_SECONDS)
    cancelled = await model.submit("usual", steps, TASK_SECONDS)
    await asyncio.sleep(TASK_SECONDS / 2)
    await model.cancel(cancelled)


async def fail_and_repeat(model: Model, points: KillPoints):
    """Run a job and a gang of which each task fails once."""
    points.begin()
    for gang in (False, True):
        steps = two_steps(2, TASK_SECONDS, gang)
        await model.submit("usual", steps, TASK_SECONDS, failures=1)


async def leave_starts_unanswered(model: Model, points: KillPoints):
    """Run a job and a gang while some orders get no answer and come late."""
    points.begin()
    model.fleet.late_order_share = 0.5
    for gang in (False, True):
        await model.submit("usual", two_steps(2, TASK_SECONDS, gang), TASK_SECONDS)
    await asyncio.sleep(TASK_SECONDS / 2)
    model.fleet.late_order_share = 0.0


async def stop_repetition(model: Model, points: KillPoints):
    """Repeat a step that is done, and stop that when its end is reported."""
    steps = two_steps(1, LONG_TASK_SECONDS)
    job = await model.submit("usual", steps, LONG_TASK_SECONDS)
    while not start_events(model, job):
        await asyncio.sleep(POLL_SECONDS)
    former = model.fleet.workers[start_events(model, job)[0].worker]
    await asyncio.sleep(SECONDS_UNTIL_LOSS)
    former.reachable = False
    while len(start_events(model, job)) < 2:
        await asyncio.sleep(POLL_SECONDS)
    # The worker reports the repetition.
    await asyncio.sleep(1.0)
    points.begin()
    former.reachable = True


SCENARIOS = [run_and_cancel, fail_and_repeat, leave_starts_unanswered, stop_repetition]


def expected_state(model: Model, job: JobId) -> JobState:
    """Return the state in which a job has to end."""
    is_cancelled = model.jobs[job].cancelled_at is not None
    return JobState.CANCELLED if is_cancelled else JobState.COMPLETED


async def play(
    scenario: Callable, number: int | None, moment: KillMoment
) -> tuple[KillPoints, list[str]]:
    """Kill all hosts at a call of a scenario, and return what went wrong then."""
    model = Model(1, bounds=BOUNDS)
    points = KillPoints(model, number, moment)
    waits = IdleWaits(model, math.inf, EndsAtWorkers(model.fleet))
    found: list[str] = []
    with intercepted(points):
        await model.start(workers=8, rack=8)
        playing = asyncio.create_task(scenario(model, points))
        ends_at = monotonic() + LONGEST_SECONDS
        settled_at = math.inf if number is not None else 0.0
        while monotonic() < ends_at:
            if points.back_at is not None and settled_at == math.inf:
                waits.begins_at = points.back_at
                settled_at = points.back_at + SETTLE_SECONDS
            waits.sample()
            check_capacity(model.fleet, found)
            has_ended = playing.done() and all(map(model.has_ended, model.jobs))
            if has_ended and monotonic() > settled_at:
                break
            await asyncio.sleep(SAMPLE_SECONDS)
        playing.cancel()
    for job in model.jobs:
        if model.state(job) is not expected_state(model, job):
            found.append(f"{job} is {model.state(job)}")
    found += [str(line) for line in model.lines if line["event"] == "task_failed"]
    return points, found + waits.violations() + violations(model)


def chosen_calls(calls: list[str]) -> list[int]:
    """Return the numbers of the calls at which the hosts are killed."""
    seen = dict.fromkeys(STRIDES, 0)
    chosen = []
    for number, name in enumerate(calls):
        if name in STRIDES:
            seen[name] += 1
            if seen[name] % STRIDES[name]:
                continue
        chosen.append(number)
    return chosen


# Guards against a state that a scheduler which starts from the store never resolves.
@pytest.mark.parametrize("moment", KillMoment)
@pytest.mark.parametrize("scenario", SCENARIOS)
def test_jobs_go_on_after_all_hosts_were_killed_at_a_call(scenario, moment):
    points, found = run_virtual(play(scenario, None, moment))
    assert found == []
    broken = {}
    for number in chosen_calls(points.calls):
        killed, found = run_virtual(play(scenario, number, moment))
        assert killed.back_at is not None
        if found:
            broken[f"{number}: {killed.calls[number]}"] = found
    assert broken == {}
