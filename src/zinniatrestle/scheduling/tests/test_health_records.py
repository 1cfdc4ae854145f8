"""Health records that a leader leaves to its successor."""

import pytest
from common.scheduling import NOW, worker, workers_in_racks

from zinniatrestle.ids import InstanceId
from zinniatrestle.scheduling.health import FIRST_QUARANTINE_SECONDS, HealthMonitor
from zinniatrestle.scheduling.health_records import (
    MAX_HEALTH_RECORDS,
    export_health_records,
    restore_health,
)
from zinniatrestle.scheduling.speeds import is_slow
from zinniatrestle.scheduling.state import WorkerHealth


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
