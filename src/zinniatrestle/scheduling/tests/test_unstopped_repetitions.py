"""A step starts once those before it are done, whatever becomes of repetitions."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field

import pytest
from common.history import lines_of, start_events

from zinniatrestle.clock import monotonic
from zinniatrestle.ids import JobId
from zinniatrestle.standins.checker import check_capacity, violations
from zinniatrestle.standins.idle_waits import MAX_IDLE_SECONDS
from zinniatrestle.standins.model import Model, run_virtual, step
from zinniatrestle.standins.runs import OrderMode, SimulatedWorker
from zinniatrestle.workers.messages import RunOutcome

TASK_SECONDS = 10.0
# The run ends after that while its worker is unreachable, within its lease.
SECONDS_UNTIL_LOSS = 6.0
# Share of its speed at which a worker repeats a run, which lasts a minute then.
REPETITION_SPEED = 0.1
NEXT_TASKS = 5
RESTART_SECONDS = 1.2
POLL_SECONDS = 0.005
# Longer than a minute for the repetition, and the next step.
LONGEST_SECONDS = 120.0


@dataclass
class RepeatedStep:
    """A job whose first step is done at `former`, and repeated at `repeating`."""

    model: Model
    job: JobId
    width: int
    former: list[SimulatedWorker] = field(default_factory=list)
    repeating: list[SimulatedWorker] = field(default_factory=list)

    @property
    def first_step(self) -> str:
        """Return the prefix of the ids of the first step's tasks."""
        return f"{self.job}.0.0."

    @property
    def next_step(self) -> str:
        """Return the prefix of the ids of the second step's tasks."""
        return f"{self.job}.0.1."

    def others(self) -> list[SimulatedWorker]:
        """Return the workers on which the first step did not run."""
        workers = self.model.fleet.workers.values()
        return [worker for worker in workers if worker not in self.former]

    async def until_started(self, prefix: str, count: int):
        """Wait until there have been `count` starts."""
        await until(lambda: len(start_events(self.model, prefix)) >= count)

    async def until_repeated(self):
        """Wait until the first step has been placed again."""
        await until(lambda: len(self._repetitions()) == self.width)
        for line in self._repetitions():
            self.repeating.append(self.model.fleet.workers[line["worker"]])

    def _repetitions(self) -> list[dict]:
        placed = lines_of(self.model, "run_placed", run=2)
        return [line for line in placed if line["task"].startswith(self.first_step)]


async def until(condition: Callable[[], bool]):
    """Wait until a condition holds."""
    until = monotonic() + LONGEST_SECONDS
    while not condition():
        assert monotonic() < until
        await asyncio.sleep(POLL_SECONDS)


async def lose_step_that_is_done(width: int) -> RepeatedStep:
    """Start a job, and cut the workers of its first step off before it ends there.

    The workers that are left are slow until it has been repeated.
    """
    model = Model(1)
    await model.start(workers=8, rack=8)
    first = step(width, gpus=8, gang=width > 1, seconds=TASK_SECONDS)
    following = step(NEXT_TASKS, after=(0,), seconds=TASK_SECONDS)
    job = await model.submit("usual", (first, following), TASK_SECONDS)
    repeated = RepeatedStep(model, job, width)
    await repeated.until_started(repeated.first_step, width)
    for start in start_events(model, repeated.first_step):
        repeated.former.append(model.fleet.workers[start.worker])
    await asyncio.sleep(SECONDS_UNTIL_LOSS)
    for worker in repeated.former:
        worker.reachable = False
    for worker in repeated.others():
        worker.speed = REPETITION_SPEED
    return repeated


def bring_back_former_workers(repeated: RepeatedStep):
    """Bring the workers back that report the first step as done."""
    for worker in repeated.others():
        if worker not in repeated.repeating:
            worker.speed = 1.0
            worker.order_mode = OrderMode.ANSWERED
    for worker in repeated.former:
        (end,) = worker.ended
        assert end.outcome is RunOutcome.DONE
        worker.reachable = True


async def repeat_step_that_is_done(width: int) -> RepeatedStep:
    """Return a job whose first step is done and runs again at slow workers."""
    repeated = await lose_step_that_is_done(width)
    await repeated.until_repeated()
    await repeated.until_started(repeated.first_step, 2 * width)
    # The worker reports the run as running.
    await asyncio.sleep(1.0)
    return repeated


def keep_running(model: Model, worker: SimulatedWorker):
    """Leave the worker of a repetition as it is."""


def drop_orders(model: Model, worker: SimulatedWorker):
    """Let a worker answer holds, and leave stops without an answer."""
    worker.order_mode = OrderMode.DROPPED


def cut_off(model: Model, worker: SimulatedWorker):
    """Let a worker answer nothing, while its runs go on."""
    worker.reachable = False


def crash(model: Model, worker: SimulatedWorker):
    """End a worker, whose entry stays for now."""
    model.fleet.crash(worker)


def leave(model: Model, worker: SimulatedWorker):
    """End a worker and remove its entry."""
    model.fleet.crash(worker)
    model.fleet.remove(worker)


async def play_next_step(repeated: RepeatedStep, since: float) -> float:
    """Return the seconds until the next step starts; play until the job has ended."""
    model = repeated.model
    overloaded: list[str] = []
    while not start_events(model, repeated.next_step):
        check_capacity(model.fleet, overloaded)
        await asyncio.sleep(POLL_SECONDS)
    assert await model.wait_for_jobs(LONGEST_SECONDS)
    assert violations(model) + overloaded == []
    return start_events(model, repeated.next_step)[0].at - since


async def restart_all_hosts(model: Model) -> float:
    """Kill all hosts, start them again, and return when one of them leads."""
    for host in model.hosts:
        await host.kill()
    await asyncio.sleep(RESTART_SECONDS)
    for host in model.hosts:
        host.start()
    await until(lambda: model.leader() is not None)
    return monotonic()


FAULTS = [keep_running, drop_orders, cut_off, crash, leave]


# Guards against a step that waits for the stop of a repetition (LOST): the steps before
# it are done.
@pytest.mark.parametrize("width", [1, 2])
@pytest.mark.parametrize("fault", FAULTS)
def test_step_does_not_wait_until_a_repetition_has_been_stopped(fault, width):
    async def play():
        repeated = await repeat_step_that_is_done(width)
        fault(repeated.model, repeated.repeating[0])
        bring_back_former_workers(repeated)
        return await play_next_step(repeated, monotonic())

    assert run_virtual(play()) <= MAX_IDLE_SECONDS


# Guards against a successor that waits for a repetition of what the row says is done.
@pytest.mark.parametrize("width", [1, 2])
@pytest.mark.parametrize("fault", FAULTS)
def test_successor_does_not_wait_until_a_repetition_has_been_stopped(fault, width):
    async def play():
        repeated = await repeat_step_that_is_done(width)
        fault(repeated.model, repeated.repeating[0])
        bring_back_former_workers(repeated)
        await until(lambda: not any(worker.ended for worker in repeated.former))
        leads_at = await restart_all_hosts(repeated.model)
        return await play_next_step(repeated, leads_at)

    assert run_virtual(play()) <= MAX_IDLE_SECONDS


# Guards against a step that waits for a repetition whose start got no answer (LOST).
@pytest.mark.parametrize("width", [1, 2])
def test_step_does_not_wait_for_a_repetition_whose_start_got_no_answer(width):
    async def play():
        repeated = await lose_step_that_is_done(width)
        for worker in repeated.others():
            worker.order_mode = OrderMode.DROPPED
        await repeated.until_repeated()
        bring_back_former_workers(repeated)
        return await play_next_step(repeated, monotonic())

    assert run_virtual(play()) <= MAX_IDLE_SECONDS
