"""Health records that a leader leaves to its successor."""

import asyncio

import msgspec
import pytest
from common.scheduling import NOW, worker, workers_in_racks
from msgspec.structs import replace

from zinniatrestle.ids import InstanceId
from zinniatrestle.scheduling.health import FIRST_QUARANTINE_SECONDS, HealthMonitor
from zinniatrestle.scheduling.health_records import (
    INHERITED_SECONDS,
    MAX_HEALTH_RECORDS,
    InheritedHealth,
    export_health_records,
    restore_health,
)
from zinniatrestle.scheduling.leadership import LEASE_ROW, LEASES
from zinniatrestle.scheduling.messages import LeaseRecord, WorkerHealthRecord
from zinniatrestle.scheduling.speeds import is_slow
from zinniatrestle.scheduling.state import WorkerHealth
from zinniatrestle.standins.model import Model, run_virtual


def exported(workers, at=NOW):
    return export_health_records(workers, at)


def test_healthy_workers_are_not_exported():
    assert exported(workers_in_racks(2)) == {}


def test_a_restored_quarantine_lasts_its_remaining_time():
    workers = workers_in_racks(2)
    faulty = workers[0]
    HealthMonitor().quarantine(faulty, workers, NOW)
    health_records = exported(workers, NOW + 1)
    restored = worker(faulty.id, faulty.rack)
    restore_health(restored, health_records[faulty.id], NOW + 100)
    assert restored.health is WorkerHealth.QUARANTINED
    assert restored.quarantined_until == pytest.approx(
        NOW + 99 + FIRST_QUARANTINE_SECONDS
    )


def test_a_canary_remains_a_canary_after_a_handover():
    monitor, workers = HealthMonitor(), workers_in_racks(2)
    faulty = workers[0]
    monitor.quarantine(faulty, workers, NOW)
    monitor.start_canary_if_due(faulty, NOW + FIRST_QUARANTINE_SECONDS)
    health_records = exported(workers, NOW + FIRST_QUARANTINE_SECONDS + 1)
    restored = worker(faulty.id, faulty.rack)
    restore_health(restored, health_records[faulty.id], NOW)
    monitor.start_canary_if_due(restored, NOW)
    assert restored.health is WorkerHealth.CANARY
    assert restored.quarantines == 1


def test_a_slow_worker_remains_slow_after_a_handover():
    workers = workers_in_racks(1)
    workers[0].speed, workers[0].speed_measured_at = 0.2, NOW
    health_records = exported(workers)
    restored = worker(workers[0].id, workers[0].rack)
    restore_health(restored, health_records[workers[0].id], NOW + 50)
    assert is_slow(restored, NOW + 50)
    assert restored.health is WorkerHealth.SOUND


def test_a_health_record_does_not_apply_to_another_instance():
    workers = workers_in_racks(2)
    faulty = workers[0]
    HealthMonitor().quarantine(faulty, workers, NOW)
    restored = worker(faulty.id, faulty.rack, instance=InstanceId(2))
    restore_health(restored, exported(workers)[faulty.id], NOW)
    assert restored.health is WorkerHealth.SOUND


def test_the_number_of_health_records_is_bounded():
    workers = workers_in_racks(50)
    for slow in workers:
        slow.speed, slow.speed_measured_at = 0.2, NOW
    assert len(exported(workers)) == MAX_HEALTH_RECORDS


def quarantine_records():
    workers = workers_in_racks(2)
    HealthMonitor().quarantine(workers[0], workers, NOW)
    return workers, exported(workers)


def test_records_are_handed_on_until_their_worker_joins():
    workers, records = quarantine_records()
    inherited = InheritedHealth(records, NOW)
    handed_on = {}
    inherited.add_to(handed_on, NOW + 1)
    assert handed_on == records
    joined = worker(workers[0].id, workers[0].rack)
    inherited.claim(joined, NOW + 2)
    assert joined.health is WorkerHealth.QUARANTINED
    handed_on = {}
    inherited.add_to(handed_on, NOW + 2)
    assert handed_on == {}


def test_records_of_workers_that_do_not_join_are_dropped():
    _, records = quarantine_records()
    inherited, handed_on = InheritedHealth(records, NOW), {}
    inherited.add_to(handed_on, NOW + INHERITED_SECONDS + 1)
    assert handed_on == {}
    assert inherited.records == {}


def test_inherited_records_count_for_the_bound():
    workers = workers_in_racks(MAX_HEALTH_RECORDS)
    for slow in workers:
        slow.speed, slow.speed_measured_at = 0.2, NOW
    known = exported(workers)
    _, records = quarantine_records()
    InheritedHealth({"other": records[workers[0].id]}, NOW).add_to(known, NOW)
    assert len(known) == MAX_HEALTH_RECORDS


# Guards against a handover in which a new leader drops what it has not read yet.
def test_a_quarantine_outlives_a_leader_that_never_saw_its_worker():
    async def check():
        model = Model(1, hosts=3)
        await model.start(workers=4, rack=4)
        faulty = next(iter(model.fleet.workers.values()))
        name, instance = faulty.entry.worker, faulty.entry.instance
        quarantined = WorkerHealthRecord(instance, 20.0, 1, None)
        await model.leader().kill()
        model.fleet.remove(faulty)
        record = decode_lease(model.rows.row(LEASES, LEASE_ROW).value)
        handover = replace(record.handover, health_records={name: quarantined})
        encoded = msgspec.msgpack.encode(replace(record, handover=handover))
        model.rows.put(LEASES, LEASE_ROW, encoded)
        second = await next_leader(model)
        await asyncio.sleep(second.leadership.lease_seconds)
        await second.kill()
        third = await next_leader(model)
        assert third.leadership.handover.health_records == {name: quarantined}

    run_virtual(check())


def decode_lease(value):
    return msgspec.msgpack.decode(value, type=LeaseRecord)


async def next_leader(model):
    while model.leader() is None:
        await asyncio.sleep(0.02)
    return model.leader()
