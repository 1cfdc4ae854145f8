"""Lease expiries that a leader hands over bound the wait for a lost worker's runs."""

import asyncio
from unittest import mock

import msgspec
import pytest
from common.history import start_times
from common.scheduling import first_step, job, run_on, worker

from zinniatrestle.clock import boot_time, monotonic
from zinniatrestle.deployment import Bounds, StoreLimits
from zinniatrestle.ids import BootSeconds, Generation, HostId, InstanceId, WorkerId
from zinniatrestle.jobs import Step
from zinniatrestle.jobs.intake import BASE64_FACTOR
from zinniatrestle.rows.clock import StoreClock
from zinniatrestle.scheduling.health_records import MAX_HEALTH_RECORDS
from zinniatrestle.scheduling.leadership import LEASE_ROW, LEASES, Leadership
from zinniatrestle.scheduling.lease_expiries import MAX_EXPIRY_RECORDS, LeaseExpiries
from zinniatrestle.scheduling.messages import (
    Handover,
    LeaseRecord,
    RunTimeStatistics,
    WorkerHealthRecord,
)
from zinniatrestle.scheduling.session import HOLD_SHARE
from zinniatrestle.standins.checker import check_recorded_expiries, violations
from zinniatrestle.standins.model import (
    EventCollector,
    Model,
    ModelHost,
    run_virtual,
    step,
)
from zinniatrestle.standins.rows import HostRows
from zinniatrestle.standins.runs import SimulatedWorker
from zinniatrestle.workers.lease import MIN_CLOCK_RATE

BOUNDS = Bounds()
# Longer than the time to take over an expired lease, but not to lose another one.
SUCCESSION_SECONDS = 1.6
# Long enough for a worker to count as silent, and shorter than its lease.
CUT_SECONDS = 4.0
TASK_SECONDS = 25.0
UNTIL = 5_000_000
# Workers of the largest deployments.
LARGE_DEPLOYMENT = 920


def stored_record(model: Model) -> LeaseRecord:
    row = model.rows.row(LEASES, LEASE_ROW)
    return msgspec.msgpack.decode(row.value, type=LeaseRecord)


def is_recorded(model: Model, lost: SimulatedWorker) -> bool:
    return lost.entry.worker in stored_record(model).handover.lease_expiries


async def until_recorded(model: Model, lost: SimulatedWorker):
    until = monotonic() + BOUNDS.max_hold
    while not is_recorded(model, lost):
        assert monotonic() < until
        await asyncio.sleep(0.01)


async def start_with_task(seconds: float) -> tuple[Model, SimulatedWorker]:
    """Start a model with a task and return it with the worker that runs the task."""
    model = Model(1)
    await model.start(workers=2, rack=2)
    await model.submit("usual", (step(gpus=8, seconds=seconds),), seconds)
    while not model.fleet.history:
        await asyncio.sleep(0.05)
    return model, model.fleet.workers[model.fleet.history[0].worker]


async def watch(model: Model, found: list[str]):
    """Check the recorded expiries at each moment."""
    while True:
        check_recorded_expiries(model, found)
        await asyncio.sleep(0.01)


async def deregister(model: Model, lost: SimulatedWorker):
    lost.reachable = False
    model.fleet.crash(lost)
    model.fleet.remove(lost)


async def partition(model: Model, lost: SimulatedWorker):
    lost.reachable = False


async def replace_leader(model: Model, former: ModelHost) -> ModelHost:
    """Kill the leader and return the other host that follows it."""
    await former.kill()
    while model.leader() in (None, former):
        await asyncio.sleep(0.01)
    return model.leader()


# Guards against a wait for a lost worker that begins anew with each successor.
@pytest.mark.parametrize("restarts", [True, False])
@pytest.mark.parametrize("successions", [3, 10])
@pytest.mark.parametrize("lose", [deregister, partition])
def test_successions_do_not_extend_the_wait_for_a_lost_worker(
    lose, successions, restarts
):
    async def play():
        model, lost = await start_with_task(4.0)
        lost_at = monotonic()
        await lose(model, lost)
        for _ in range(successions):
            former = model.leader()
            if restarts:
                await former.kill()
            else:
                await replace_leader(model, former)
            former.start()
            await asyncio.sleep(SUCCESSION_SECONDS)
        assert await model.wait_for_jobs(3 * BOUNDS.finish)
        assert violations(model) == []
        return start_times(model)[-1] - lost_at

    assert run_virtual(play()) <= BOUNDS.finish


async def cut_off_until_recorded(
    model: Model, lost: SimulatedWorker, registered: bool
) -> ModelHost:
    """Cut a worker off until a leader has recorded its expiry; return that leader.

    The worker can be reached again afterwards, while its lease is still valid. It
    stays registered, or it is missing from the registry over a succession.
    """
    leader = model.leader()
    cut_at = monotonic()
    lost.reachable = False
    if not registered:
        model.fleet.remove(lost)
        former, leader = leader, await replace_leader(model, leader)
        former.start()
    await until_recorded(model, lost)
    await asyncio.sleep(cut_at + CUT_SECONDS - monotonic())
    lost.reachable = True
    if not registered:
        model.fleet.write(lost)
    return leader


def cut_off_from_others(model: Model, lost: SimulatedWorker, leader: ModelHost):
    for host in model.hosts:
        if host is not leader:
            model.fleet.partitions.add((host.name, lost.entry.worker))


# Guards against a second run beside one whose lease outlasts its recorded expiry.
@pytest.mark.parametrize("late_commits", [None, 0.0, 1.0])
@pytest.mark.parametrize("registered", [True, False])
@pytest.mark.parametrize(
    "seconds", [0.0, 0.02, 0.1, 0.2, 0.3, 0.4, 0.5, 0.6, 0.8, 1.0, 1.5, 2.5]
)
def test_run_that_goes_on_is_not_repeated_by_a_successor_without_contact(
    seconds, registered, late_commits
):
    async def play():
        found: list[str] = []
        model, lost = await start_with_task(TASK_SECONDS)
        watching = asyncio.create_task(watch(model, found))
        leader = await cut_off_until_recorded(model, lost, registered)
        cut_off_from_others(model, lost, leader)
        if late_commits is not None:
            leader.store.lost_answer_share = 1.0
            leader.store.late_commit_share = late_commits
        await asyncio.sleep(seconds)
        await replace_leader(model, leader)
        await asyncio.sleep(2 * BOUNDS.max_hold)
        watching.cancel()
        assert len(start_times(model)) > 1
        return found + violations(model)

    assert run_virtual(play()) == []


# Guards against a run that is lost at its recorded expiry while its worker answers.
@pytest.mark.parametrize("registered", [True, False])
@pytest.mark.parametrize("seconds", [0.0, 0.1, 0.3, 0.5, 0.8, 1.5])
def test_run_goes_on_if_its_worker_answers_the_successor(seconds, registered):
    async def play():
        found: list[str] = []
        model, lost = await start_with_task(TASK_SECONDS)
        watching = asyncio.create_task(watch(model, found))
        leader = await cut_off_until_recorded(model, lost, registered)
        await asyncio.sleep(seconds)
        leader.leadership.released = True
        await leader.kill()
        await leader.leadership.release()
        assert await model.wait_for_jobs(2 * TASK_SECONDS)
        watching.cancel()
        assert len(start_times(model)) == 1
        return found + violations(model)

    assert run_virtual(play()) == []


def recorded_until(model: Model, lost: SimulatedWorker) -> int:
    """Return the recorded expiry of a worker's leases, in ms of the store's clock."""
    expiries = stored_record(model).handover.lease_expiries
    (until_ms,) = expiries[lost.entry.worker].values()
    return until_ms


def expires_ms(lost: SimulatedWorker) -> float:
    return (boot_time() + lost.remaining_lease_seconds()) * 1000


# Guards against a worker that stays without extensions after it has answered again.
@pytest.mark.parametrize("registered", [True, False])
def test_lease_is_extended_again_once_its_record_is_withdrawn(registered):
    async def play():
        model, lost = await start_with_task(TASK_SECONDS)
        await cut_off_until_recorded(model, lost, registered)
        reachable_at, until_ms = monotonic(), recorded_until(model, lost)
        while expires_ms(lost) <= until_ms:
            assert lost.running
            await asyncio.sleep(0.01)
        assert not is_recorded(model, lost)
        extended_after = monotonic() - reachable_at
        assert await model.wait_for_jobs(2 * TASK_SECONDS)
        assert len(start_times(model)) == 1
        return extended_after

    # Within the rest of the lease after an outage that ends in time.
    assert run_virtual(play()) <= BOUNDS.max_hold * HOLD_SHARE - CUT_SECONDS


# Guards against extensions while the store can't confirm that a record is withdrawn.
@pytest.mark.parametrize("late_commits", [0.0, 1.0])
def test_lease_is_not_extended_while_answers_to_renewals_are_lost(late_commits):
    async def play():
        model, lost = await start_with_task(TASK_SECONDS)
        leader = await cut_off_until_recorded(model, lost, registered=True)
        cut_off_from_others(model, lost, leader)
        leader.store.lost_answer_share = 1.0
        leader.store.late_commit_share = late_commits
        until_ms = recorded_until(model, lost)
        latest = 0.0
        while leader.leadership.may_hold() and leader.leadership.is_holder:
            await asyncio.sleep(0.05)
            latest = max(latest, expires_ms(lost))
        assert latest
        return latest - until_ms

    assert run_virtual(play()) <= 0.0


# Guards against a spinning session while the lease can't be extended.
def test_holds_are_not_repeated_at_once_while_the_lease_may_not_be_extended():
    async def play():
        model, lost = await start_with_task(TASK_SECONDS)
        leader = await cut_off_until_recorded(model, lost, registered=False)
        holds = 0
        answer_hold = model.fleet.hold

        async def count(entry, *args):
            nonlocal holds
            holds += entry.worker == lost.entry.worker
            return await answer_hold(entry, *args)

        model.fleet.hold = count
        leader.store.lost_answer_share = 1.0
        await asyncio.sleep(1.0)
        return holds

    assert 1 <= run_virtual(play()) <= 5


async def step_down_after(seconds: float, model: Model):
    await asyncio.sleep(seconds)
    if model.leader() is not None:
        model.leader().leadership.step_down("the test ends it")


def leadership_of_its_own(model: Model) -> Leadership:
    """Return a leadership whose handover the test publishes in place of a scheduler."""
    events = EventCollector("host", model.lines)
    host = ModelHost(model, "host", "r")
    for task in host.tasks:
        task.cancel()
    return Leadership(host.store, host.deployment, events)


async def until_written(store: HostRows):
    """Wait until a transaction is being sent to the store."""
    sent = asyncio.Event()
    transact = store.transact

    async def note(*args):
        sent.set()
        return await transact(*args)

    with mock.patch.object(store, "transact", note):
        await sent.wait()


# Guards against an extension after a record was published, sent or stored.
@pytest.mark.parametrize("late_commits", [None, 0.0, 0.5, 1.0])
def test_no_lease_may_be_extended_while_its_record_is_or_may_be_stored(late_commits):
    name = WorkerId("w")
    recorded = Handover(lease_expiries={name: {InstanceId(1): UNTIL}})

    async def play():
        model = Model(1, hosts=0)
        leadership = leadership_of_its_own(model)
        running = asyncio.create_task(leadership.run())
        await leadership.acquired.wait()
        store = leadership.store
        assert leadership.may_extend(name)
        # Published and not sent yet.
        leadership.handover = recorded
        assert not leadership.may_extend(name)
        if late_commits is not None:
            store.lost_answer_share, store.late_commit_share = 1.0, late_commits
        await until_written(store)
        # Sent, and withdrawn before it is stored.
        leadership.handover = Handover()
        freed_at = None
        for _ in range(1000):
            await asyncio.sleep(0.01)
            if monotonic() > 6.0:
                store.lost_answer_share = 0.0
            stored = stored_record(model).handover.lease_expiries
            if leadership.is_holder and leadership.may_extend(name):
                assert not stored
                freed_at = freed_at or monotonic()
                continue
            assert freed_at is None
        running.cancel()
        return freed_at

    assert run_virtual(play()) is not None


# Guards against a successor that writes the records of an earlier time as leader.
@pytest.mark.parametrize("lost_answer_share", [0.0, 0.6])
def test_acquisition_hands_the_stored_expiries_on(lost_answer_share):
    async def play():
        model, lost = await start_with_task(TASK_SECONDS)
        seen: list[LeaseRecord] = [stored_record(model)]
        changed = []

        def observe(writes):
            for write in writes:
                if write.table != LEASES:
                    continue
                record = msgspec.msgpack.decode(write.value, type=LeaseRecord)
                former = seen[-1]
                seen.append(record)
                if record.generation == former.generation:
                    continue
                if record.handover.lease_expiries != former.handover.lease_expiries:
                    changed.append((former, record))

        model.rows.observers.append(observe)
        for host in model.hosts:
            host.store.lost_answer_share = lost_answer_share
        for _ in range(4):
            lost.reachable = False
            model.fleet.remove(lost)
            await step_down_after(SUCCESSION_SECONDS, model)
            await step_down_after(SUCCESSION_SECONDS, model)
            lost.reachable = True
            model.fleet.write(lost)
            await step_down_after(SUCCESSION_SECONDS, model)
        generations = {record.generation for record in seen}
        recorded = [record for record in seen if record.handover.lease_expiries]
        assert len(generations) > 4
        assert recorded
        return changed

    assert run_virtual(play()) == []


# Guards against a run in a new instance that is lost at the expiry of the former one.
def test_recorded_expiry_does_not_bound_the_lease_of_a_new_instance():
    async def play():
        model, lost = await start_with_task(4.0)
        lost.reachable = False
        await until_recorded(model, lost)
        model.fleet.remove(lost)
        await asyncio.sleep(CUT_SECONDS)
        await replace_leader(model, model.leader())
        taken_at = monotonic()
        await asyncio.sleep(0.2)
        model.fleet.restart(lost)
        assert await model.wait_for_jobs(3 * BOUNDS.finish)
        assert violations(model) == []
        return start_times(model)[-1] - taken_at

    held = BOUNDS.max_hold * HOLD_SHARE / MIN_CLOCK_RATE
    assert run_virtual(play()) >= held


class EarlierHandover(msgspec.Struct, frozen=True):
    """The handover as builds without lease expiries write and read it."""

    times: dict[str, RunTimeStatistics] = {}
    doubts: dict[str, WorkerHealthRecord] = {}


class EarlierLeaseRecord(msgspec.Struct, frozen=True):
    """The lease's record as builds without lease expiries write and read it."""

    holder: str
    address: str
    until: float
    generation: int
    written_at: float
    pending: dict[str, int] = {}
    learned: EarlierHandover = EarlierHandover()


def lease_record(**fields) -> LeaseRecord:
    return LeaseRecord(HostId("h"), "h:1", 1.0, Generation(3), 0.5, {}, **fields)


def test_row_of_an_earlier_build_has_no_expiries():
    health = WorkerHealthRecord(InstanceId(1), 2.0, 1, None)
    learned = EarlierHandover({"q": RunTimeStatistics(1, 2.0, 0.1, 0.1)}, {"w": health})
    row = EarlierLeaseRecord("h", "h:1", 1.0, 3, 0.5, {}, learned)
    handover = msgspec.msgpack.decode(
        msgspec.msgpack.encode(row), type=LeaseRecord
    ).handover
    assert handover.lease_expiries == {}
    assert handover.health_records == {"w": health}


def test_earlier_build_reads_a_row_with_expiries():
    handover = Handover(lease_expiries={WorkerId("w"): {InstanceId(7): UNTIL}})
    encoded = msgspec.msgpack.encode(lease_record(handover=handover))
    row = msgspec.msgpack.decode(encoded, type=EarlierLeaseRecord)
    assert (row.holder, row.generation, row.learned) == ("h", 3, EarlierHandover())
    assert msgspec.msgpack.decode(encoded, type=LeaseRecord).handover == handover


# Guards against a successor of an earlier build that leaves a record in the row.
def test_wait_without_records_lasts_until_the_inherited_leases_end():
    async def play():
        model, lost = await start_with_task(4.0)
        lost_at = monotonic()
        await deregister(model, lost)
        leader = await replace_leader(model, model.leader())
        await until_recorded(model, lost)
        await leader.kill()
        row = model.rows.row(LEASES, LEASE_ROW)
        earlier = msgspec.msgpack.decode(row.value, type=EarlierLeaseRecord)
        model.rows.put(LEASES, LEASE_ROW, msgspec.msgpack.encode(earlier))
        assert await model.wait_for_jobs(3 * BOUNDS.finish)
        assert violations(model) == []
        return start_times(model)[-1] - lost_at

    held = BOUNDS.max_hold * HOLD_SHARE / MIN_CLOCK_RATE
    assert run_virtual(play()) > held


class FleetOf:
    """The registered and unregistered workers of a fleet."""

    def __init__(self, workers=(), unregistered=()):
        self.workers = {known.id: known for known in workers}
        self.unregistered = list(unregistered)


def clock_with_uncertainty(seconds: float) -> StoreClock:
    clock = StoreClock()
    now = boot_time()
    clock.observe(1_000_000, BootSeconds(now - seconds), now)
    return clock


def assigned_worker(name: str = "w", expires_in: float = 4.0, **overrides):
    """Return a silent worker with a task."""
    created = worker(name, **overrides)
    run_on(first_step(job(f"job-{name}", Step(cpu=1000))).tasks[0], created)
    created.lease.expires_at = BootSeconds(boot_time() + expires_in)
    created.silent = True
    return created


def test_a_restored_expiry_is_not_earlier_than_the_exported_one():
    lost = assigned_worker()
    exported = LeaseExpiries(clock_with_uncertainty(0.3)).export(FleetOf([lost]))
    successor = LeaseExpiries(clock_with_uncertainty(0.3))
    successor.restore(exported)
    assert successor.recorded_expiry(lost) >= lost.lease.expires_at


# Guards against a wait to which each conversion between clocks adds its uncertainty.
def test_an_expiry_is_handed_on_unchanged():
    lost = assigned_worker()
    exported = LeaseExpiries(clock_with_uncertainty(0.3)).export(FleetOf([lost]))
    successor = LeaseExpiries(clock_with_uncertainty(0.3))
    successor.restore(exported)
    lost.lease.expires_at = successor.recorded_expiry(lost)
    for _ in range(2):
        assert successor.export(FleetOf((), [lost])) == exported


def test_an_expiry_of_another_instance_is_not_restored():
    exported = LeaseExpiries(clock_with_uncertainty(0.0)).export(
        FleetOf([assigned_worker()])
    )
    successor = LeaseExpiries(clock_with_uncertainty(0.0))
    successor.restore(exported)
    assert successor.recorded_expiry(worker("w", instance=InstanceId(2))) is None


def test_expiries_of_workers_that_answer_or_have_no_tasks_are_not_exported():
    answering = assigned_worker("w0")
    answering.silent = False
    answering.lease.clock_ms = 5
    idle = worker("w1")
    idle.silent = True
    fleet = FleetOf([answering, idle])
    assert LeaseExpiries(clock_with_uncertainty(0.0)).export(fleet) == {}


# Guards against a record of an instance in whose place another one may be extended.
def test_expiry_is_not_exported_while_another_instance_answers():
    former = assigned_worker(instance=InstanceId(1))
    answering = worker("w", instance=InstanceId(2))
    answering.lease.clock_ms = 5
    expiries = LeaseExpiries(clock_with_uncertainty(0.0))
    assert expiries.export(FleetOf([answering], [former])) == {}
    assert expiries.export(FleetOf([], [former])) != {}


# Guards against a wait that begins anew if a successor ends before its first answers.
def test_an_inherited_expiry_is_handed_on_until_the_worker_answers():
    lost = assigned_worker()
    exported = LeaseExpiries(clock_with_uncertainty(0.0)).export(FleetOf([lost]))
    lost.silent = False
    successor = LeaseExpiries(clock_with_uncertainty(0.0))
    assert successor.export(FleetOf([lost])) == {}
    successor.restore(exported)
    lost.lease.expires_at = successor.recorded_expiry(lost)
    assert successor.export(FleetOf([lost])) == exported
    lost.lease.clock_ms = 5
    assert successor.export(FleetOf([lost])) == {}


def test_the_number_of_expiries_is_bounded():
    lost = [assigned_worker(f"w{n}") for n in range(2 * MAX_EXPIRY_RECORDS)]
    exported = LeaseExpiries(clock_with_uncertainty(0.0)).export(FleetOf(lost))
    assert len(exported) == MAX_EXPIRY_RECORDS


# Guards against waits that begin anew with each successor if a large share of the
# workers is lost at a time.
def test_all_workers_of_a_large_deployment_can_be_recorded():
    lost = [assigned_worker(f"w{n}") for n in range(LARGE_DEPLOYMENT)]
    exported = LeaseExpiries(clock_with_uncertainty(0.0)).export(FleetOf(lost))
    assert len(exported) == LARGE_DEPLOYMENT


def test_the_largest_handover_fits_into_a_row():
    lost = []
    for number in range(MAX_EXPIRY_RECORDS):
        instance = InstanceId(1_800_000_000_000 + number)
        lost.append(assigned_worker(f"i-{number:010}", instance=instance))
    health = WorkerHealthRecord(lost[0].entry.instance, 12.345, 3, 0.123)
    handover = Handover(
        times={f"queue-{n:02}": RunTimeStatistics(1, 2.0, 0.1, 0.1) for n in range(50)},
        health_records={known.id: health for known in lost[:MAX_HEALTH_RECORDS]},
        lease_expiries=LeaseExpiries(clock_with_uncertainty(0.0)).export(FleetOf(lost)),
    )
    encoded = msgspec.msgpack.encode(lease_record(handover=handover))
    assert len(encoded) * BASE64_FACTOR <= StoreLimits().row_bytes
