"""Tests of waves on the model: all machines, in time, without interrupted tasks."""

import asyncio

import msgspec
import pytest

from zinniatrestle.clock import monotonic
from zinniatrestle.ids import MachineId
from zinniatrestle.queues import Wave
from zinniatrestle.standins.checker import violations
from zinniatrestle.standins.machines import WAVE_STATUS
from zinniatrestle.standins.model import Model, run_virtual, step
from zinniatrestle.standins.rows import Reachability
from zinniatrestle.upkeep.messages import WAVES, WaveRecord, WaveState


class WaveScenario:
    """A model with a wave over some of its machines."""

    def __init__(self, model: Model):
        self.model = model
        self.requested_at = 0.0

    def request_wave(self, count: int, max_concurrent: int, duration: float):
        names = tuple(MachineId(f"m-w{number}") for number in range(count))
        self.model.machines.waves[1] = names
        self.requested_at = monotonic()
        self.model.operator.request_wave(Wave(1, names, duration, max_concurrent))

    def state(self) -> str | None:
        row = self.model.rows.row(WAVE_STATUS, "1")
        return None if row is None else row.value.decode(errors="replace")[1:]

    async def wait_until_completed(self, seconds: float) -> float:
        """Return after how many seconds the wave is reported as completed."""
        deadline = monotonic() + seconds
        while self.state() != WaveState.COMPLETED.value:
            assert monotonic() < deadline, "the wave is late"
            await asyncio.sleep(0.1)
        machines = self.model.machines
        assert all(machines.by_id[name].upkeeps for name in machines.waves[1])
        return monotonic() - self.requested_at


def run_with_scenario(check, workers=6):
    async def run():
        model = Model(1, upkeep=True)
        await model.start(workers=workers, rack=3)
        await check(WaveScenario(model))
        assert violations(model) == []

    run_virtual(run())


def test_every_machine_is_maintained_and_no_more_are_down_than_allowed():
    async def check(scenario):
        scenario.request_wave(count=5, max_concurrent=2, duration=40.0)
        await scenario.wait_until_completed(40.0)
        assert scenario.model.machines.max_down == 2

    run_with_scenario(check)


def test_tasks_that_fit_into_the_wave_are_not_interrupted():
    async def check(scenario):
        for _ in range(4):
            await scenario.model.submit("usual", (step(1, gpus=8),), 5.0)
        scenario.request_wave(count=6, max_concurrent=2, duration=60.0)
        await scenario.wait_until_completed(60.0)
        assert scenario.model.machines.interrupted_tasks == []
        assert await scenario.model.wait_for_jobs(60.0)

    run_with_scenario(check)


def test_a_short_wave_is_in_time_and_stops_tasks_before_maintenance():
    async def check(scenario):
        for _ in range(6):
            await scenario.model.submit("patient", (step(1, gpus=8),), 60.0)
        await asyncio.sleep(0.5)
        scenario.request_wave(count=3, max_concurrent=1, duration=18.0)
        assert await scenario.wait_until_completed(30.0) <= 18.0
        assert scenario.model.machines.interrupted_tasks == []

    run_with_scenario(check)


def test_a_long_running_step_keeps_its_max_unavailable():
    async def check(scenario):
        shape = step(4, gpus=4, long_running=True, max_unavailable=1)
        await scenario.model.submit("usual", (shape,), 10_000.0)
        await asyncio.sleep(1.0)
        scenario.request_wave(count=6, max_concurrent=3, duration=60.0)
        watching = asyncio.create_task(sample_running_counts(scenario.model))
        await asyncio.sleep(45.0)
        watching.cancel()
        assert scenario.state() == WaveState.COMPLETED.value
        assert min(await wait_for(watching)) >= 3

    run_with_scenario(check)


# Guards against a successor that stops all tasks at once, since it has no report yet.
@pytest.mark.parametrize("silent", [0.0, 0.3, 1.0])
def test_a_successor_keeps_to_the_max_unavailable_of_a_step(silent):
    async def check(scenario):
        model = scenario.model
        shape = step(4, gpus=2, long_running=True, max_unavailable=1)
        await model.submit("usual", (shape,), 10_000.0)
        await asyncio.sleep(3.0)
        watching = asyncio.create_task(sample_running_counts(model))
        scenario.request_wave(count=6, max_concurrent=6, duration=90.0)
        await asyncio.sleep(1.0)
        workers = list(model.fleet.workers.values())
        for worker in workers:
            worker.reachable = False
        former = model.leader()
        await former.kill()
        while model.leader() is None:
            await asyncio.sleep(0.01)
        await asyncio.sleep(silent)
        for worker in workers:
            worker.reachable = True
        await asyncio.sleep(60.0)
        watching.cancel()
        assert min(await wait_for(watching)) >= 3
        assert scenario.state() == WaveState.COMPLETED.value

    run_with_scenario(check)


async def sample_running_counts(model):
    counts = []
    try:
        while True:
            running = [len(worker.running) for worker in model.fleet.workers.values()]
            counts.append(sum(running))
            await asyncio.sleep(0.05)
    except asyncio.CancelledError:
        return counts


async def wait_for(task):
    return (await asyncio.gather(task))[0]


@pytest.mark.parametrize("after", [0.5, 1.2, 2.0, 3.5, 5.0])
def test_a_new_leader_continues_a_wave(after):
    async def check(scenario):
        scenario.request_wave(count=4, max_concurrent=1, duration=40.0)
        await asyncio.sleep(after)
        await scenario.model.leader().kill()
        await scenario.wait_until_completed(40.0)
        assert scenario.model.machines.max_down == 1

    run_with_scenario(check)


def test_an_unanswered_call_takes_no_second_machine_down():
    async def check(scenario):
        scenario.model.machines.answers_to_drop = 2
        scenario.request_wave(count=3, max_concurrent=1, duration=60.0)
        await scenario.wait_until_completed(60.0)
        assert scenario.model.machines.max_down == 1

    run_with_scenario(check)


async def wait_for_late_call(scenario):
    while scenario.model.machines.late_calls:
        await asyncio.sleep(0.01)


# Guards against a successor that takes a second machine down, since it doesn't know of
# an order that its predecessor has sent.
@pytest.mark.parametrize("seconds", [2.5, 4.0, 6.0])
def test_a_late_order_of_a_former_leader_takes_no_second_machine_down(seconds):
    async def check(scenario):
        # Only one machine is idle for the former leader, and all for its successor.
        for _ in range(5):
            await scenario.model.submit("usual", (step(1, gpus=8, seconds=1.4),), 1.4)
        await asyncio.sleep(0.5)
        scenario.model.machines.late_calls = [seconds]
        scenario.request_wave(count=6, max_concurrent=1, duration=60.0)
        await wait_for_late_call(scenario)
        await scenario.model.leader().kill()
        await scenario.wait_until_completed(60.0)
        assert scenario.model.machines.max_down == 1

    run_with_scenario(check)


# Guards against an order that no successor would know of.
@pytest.mark.parametrize("late_share", [0.0, 0.5, 1.0])
def test_each_order_is_stored_before_it_is_sent(late_share):
    async def check(scenario):
        model = scenario.model
        begin_upkeep = model.machines.begin_upkeep
        ordered: list[MachineId] = []

        async def begin_stored_upkeep(machine, *arguments):
            assert machine in stored_orders(model)
            ordered.append(machine)
            await begin_upkeep(machine, *arguments)

        model.machines.begin_upkeep = begin_stored_upkeep
        scenario.request_wave(count=3, max_concurrent=1, duration=60.0)
        for host in model.hosts:
            host.store.lost_answer_share = 0.5
            host.store.late_commit_share = late_share
        await asyncio.sleep(4.0)
        for host in model.hosts:
            host.store.lost_answer_share = 0.0
        await scenario.wait_until_completed(60.0)
        assert len(set(ordered)) == 3

    run_with_scenario(check)


def stored_orders(model) -> tuple[MachineId, ...]:
    (record,) = model.rows.tables[WAVES].values()
    return msgspec.msgpack.decode(record.value, type=WaveRecord).ordered


def test_a_removed_machine_with_an_unanswered_order_does_not_hold_up_its_wave():
    async def check(scenario):
        model = scenario.model
        model.machines.late_calls = [600.0]
        scenario.request_wave(count=3, max_concurrent=1, duration=60.0)
        await wait_for_late_call(scenario)
        (removed,) = stored_orders(model)
        worker = model.fleet.workers[model.machines.by_id[removed].worker]
        model.fleet.crash(worker)
        model.fleet.remove(worker)
        del model.machines.by_id[removed]
        names = [name for name in model.machines.waves[1] if name != removed]
        model.machines.waves[1] = tuple(names)
        await scenario.wait_until_completed(60.0)

    run_with_scenario(check)


def test_a_wave_completes_after_a_store_outage():
    async def check(scenario):
        scenario.request_wave(count=3, max_concurrent=1, duration=60.0)
        await asyncio.sleep(1.5)
        for host in scenario.model.hosts:
            host.store.reachability = Reachability.REFUSED
        await asyncio.sleep(4.0)
        for host in scenario.model.hosts:
            host.store.reachability = Reachability.SERVED
        await scenario.wait_until_completed(60.0)
        assert scenario.model.machines.max_down == 1

    run_with_scenario(check)


def test_a_removed_machine_does_not_block_the_wave():
    async def check(scenario):
        scenario.request_wave(count=3, max_concurrent=1, duration=30.0)
        gone = scenario.model.machines.by_id.pop(MachineId("m-w2"))
        scenario.model.machines.waves[1] = tuple(
            name for name in scenario.model.machines.waves[1] if name != gone.machine
        )
        await scenario.wait_until_completed(30.0)

    run_with_scenario(check)


# Guards against a machine that the platform refuses and that is emptied at each update.
def test_a_refused_machine_is_not_emptied_again_and_again():
    async def check(scenario):
        model = scenario.model
        scenario.request_wave(count=3, max_concurrent=1, duration=60.0)
        model.machines.waves[1] = model.machines.waves[1][1:]
        for _ in range(6):
            await model.submit("patient", (step(1, gpus=8, checkpointing=True),), 30.0)
        await asyncio.sleep(20.0)
        emptied = [
            line["machine"]
            for line in model.lines
            if line["event"] == "machine_emptied"
        ]
        assert emptied.count("m-w0") == 1

    run_with_scenario(check)


# Guards against a worker that stays cordoned if the latest list lacks its machine.
@pytest.mark.parametrize("is_withdrawn", [False, True])
def test_a_worker_is_used_again_if_its_machine_is_missing_from_the_lists(is_withdrawn):
    async def check(scenario):
        model = scenario.model
        await model.submit("usual", (step(1, gpus=1),), 20.0)
        scenario.request_wave(count=1, max_concurrent=1, duration=60.0)
        while not any(line["event"] == "machine_emptied" for line in model.lines):
            await asyncio.sleep(0.1)
        del model.machines.by_id[MachineId("m-w0")]
        await asyncio.sleep(1.5)
        if is_withdrawn:
            model.operator.withdraw_wave(1)
        await asyncio.sleep(5.0)
        await model.submit("usual", (step(1, gpus=8),), 1.0)
        assert await model.wait_for_jobs(30.0)

    run_with_scenario(check, workers=1)
