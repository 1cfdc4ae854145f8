"""What a successor is told against workers."""

import pytest
from common.scheduling import NOW, worker, workers_in_racks

from zinniatrestle.ids import InstanceId
from zinniatrestle.scheduling.health import QUARANTINE_SECONDS, HealthMonitor
from zinniatrestle.scheduling.health_records import (
    MAX_HEALTH_RECORDS,
    export_health_records,
    restore_health,
)
from zinniatrestle.scheduling.speeds import is_slow
from zinniatrestle.scheduling.state import WorkerHealth


def told(workers, at=NOW):
    return export_health_records(workers, at)


def test_nothing_is_told_of_sound_workers():
    assert told(workers_in_racks(2)) == {}


def test_a_quarantine_goes_on_for_the_rest_of_its_time():
    workers = workers_in_racks(2)
    sick = workers[0]
    HealthMonitor().quarantine(sick, workers, NOW)
    health_records = told(workers, NOW + 1)
    again = worker(sick.id, sick.rack)
    restore_health(again, health_records[sick.id], NOW + 100)
    assert again.health is WorkerHealth.QUARANTINED
    assert again.quarantined_until == pytest.approx(NOW + 99 + QUARANTINE_SECONDS)


def test_a_worker_on_trial_stays_on_trial():
    judge, workers = HealthMonitor(), workers_in_racks(2)
    sick = workers[0]
    judge.quarantine(sick, workers, NOW)
    judge.review(sick, NOW + QUARANTINE_SECONDS)
    health_records = told(workers, NOW + QUARANTINE_SECONDS + 1)
    again = worker(sick.id, sick.rack)
    restore_health(again, health_records[sick.id], NOW)
    judge.review(again, NOW)
    assert again.health is WorkerHealth.CANARY
    assert again.quarantines == 1


def test_a_crawling_worker_is_known_to_crawl():
    workers = workers_in_racks(1)
    workers[0].speed, workers[0].speed_measured_at = 0.2, NOW
    health_records = told(workers)
    again = worker(workers[0].id, workers[0].rack)
    restore_health(again, health_records[workers[0].id], NOW + 50)
    assert is_slow(again, NOW + 50)
    assert again.health is WorkerHealth.SOUND


def test_another_life_of_a_worker_is_not_doubted():
    workers = workers_in_racks(2)
    sick = workers[0]
    HealthMonitor().quarantine(sick, workers, NOW)
    again = worker(sick.id, sick.rack, instance=InstanceId(2))
    restore_health(again, told(workers)[sick.id], NOW)
    assert again.health is WorkerHealth.SOUND


def test_what_is_told_is_bounded():
    workers = workers_in_racks(50)
    for found in workers:
        found.speed, found.speed_measured_at = 0.2, NOW
    assert len(told(workers)) == MAX_HEALTH_RECORDS
