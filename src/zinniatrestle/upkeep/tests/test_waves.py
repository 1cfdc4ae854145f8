"""Waves on the model: every machine once, in time, and nothing is cut off."""

import asyncio

import pytest

from zinniatrestle.clock import monotonic
from zinniatrestle.ids import MachineId
from zinniatrestle.queues import Wave
from zinniatrestle.standins.checker import violations
from zinniatrestle.standins.machines import WAVE_STATUS
from zinniatrestle.standins.model import Model, run_virtual, step
from zinniatrestle.standins.rows import Reachability
from zinniatrestle.upkeep.messages import WaveState


class Scene:
    """A model with a wave over some of its machines."""

    def __init__(self, model: Model):
        self.model = model
        self.asked_at = 0.0

    def ask(self, count: int, max_concurrent: int, duration: float):
        names = tuple(MachineId(f"m-w{number}") for number in range(count))
        self.model.machines.waves[1] = names
        self.asked_at = monotonic()
        self.model.operator.ask_wave(Wave(1, names, duration, max_concurrent))

    def state(self) -> str | None:
        row = self.model.rows.row(WAVE_STATUS, "1")
        return None if row is None else row.value.decode(errors="replace")[1:]

    async def completed(self, seconds: float) -> float:
        """Return after how many seconds the wave is said to be completed."""
        until = monotonic() + seconds
        while self.state() != WaveState.COMPLETED.value:
            assert monotonic() < until, "the wave is late"
            await asyncio.sleep(0.1)
        machines = self.model.machines
        assert all(machines.all[name].upkeeps for name in machines.waves[1])
        return monotonic() - self.asked_at


def with_scene(check, workers=6):
    async def run():
        model = Model(1, upkeep=True)
        await model.start(workers=workers, rack=3)
        await check(Scene(model))
        assert violations(model) == []

    run_virtual(run())


def test_every_machine_has_its_upkeep_and_no_more_are_down_than_allowed():
    async def check(scene):
        scene.ask(count=5, max_concurrent=2, duration=40.0)
        await scene.completed(40.0)
        assert scene.model.machines.most_down == 2

    with_scene(check)


def test_work_that_fits_into_the_time_is_not_cut_off():
    async def check(scene):
        for _ in range(4):
            await scene.model.submit("usual", (step(1, gpus=8),), 5.0)
        scene.ask(count=6, max_concurrent=2, duration=60.0)
        await scene.completed(60.0)
        assert scene.model.machines.cut_off == []
        assert await scene.model.settle(60.0)

    with_scene(check)


def test_a_wave_in_a_hurry_is_in_time_and_stops_before_it_takes_down():
    async def check(scene):
        for _ in range(6):
            await scene.model.submit("patient", (step(1, gpus=8),), 60.0)
        await asyncio.sleep(0.5)
        scene.ask(count=3, max_concurrent=1, duration=18.0)
        assert await scene.completed(30.0) <= 18.0
        assert scene.model.machines.cut_off == []

    with_scene(check)


def test_a_step_that_lasts_misses_no_more_tasks_than_it_may():
    async def check(scene):
        shape = step(4, gpus=4, long_running=True, max_unavailable=1)
        await scene.model.submit("usual", (shape,), 10_000.0)
        await asyncio.sleep(1.0)
        scene.ask(count=6, max_concurrent=3, duration=60.0)
        watching = asyncio.create_task(fewest_running(scene.model))
        await asyncio.sleep(45.0)
        watching.cancel()
        assert scene.state() == WaveState.COMPLETED.value
        assert min(await gathered(watching)) >= 3

    with_scene(check)


async def fewest_running(model):
    counts = []
    try:
        while True:
            running = [len(worker.running) for worker in model.fleet.workers.values()]
            counts.append(sum(running))
            await asyncio.sleep(0.05)
    except asyncio.CancelledError:
        return counts


async def gathered(task):
    return (await asyncio.gather(task))[0]


@pytest.mark.parametrize("after", [0.5, 1.2, 2.0, 3.5, 5.0])
def test_a_successor_goes_on_with_a_wave(after):
    async def check(scene):
        scene.ask(count=4, max_concurrent=1, duration=40.0)
        await asyncio.sleep(after)
        await scene.model.leader().kill()
        await scene.completed(40.0)
        assert scene.model.machines.most_down == 1

    with_scene(check)


def test_a_call_without_an_answer_takes_no_second_machine_down():
    async def check(scene):
        scene.model.machines.unanswered = 2
        scene.ask(count=3, max_concurrent=1, duration=60.0)
        await scene.completed(60.0)
        assert scene.model.machines.most_down == 1

    with_scene(check)


def test_a_wave_outlasts_an_outage_of_the_store():
    async def check(scene):
        scene.ask(count=3, max_concurrent=1, duration=60.0)
        await asyncio.sleep(1.5)
        for host in scene.model.hosts:
            host.store.reachability = Reachability.REFUSED
        await asyncio.sleep(4.0)
        for host in scene.model.hosts:
            host.store.reachability = Reachability.SERVED
        await scene.completed(60.0)
        assert scene.model.machines.most_down == 1

    with_scene(check)


def test_a_machine_that_does_not_stay_holds_up_nothing():
    async def check(scene):
        scene.ask(count=3, max_concurrent=1, duration=30.0)
        gone = scene.model.machines.all.pop(MachineId("m-w2"))
        scene.model.machines.waves[1] = tuple(
            name for name in scene.model.machines.waves[1] if name != gone.machine
        )
        await scene.completed(30.0)

    with_scene(check)
