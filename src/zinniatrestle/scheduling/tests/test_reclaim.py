"""A burst of guaranteed work in a full cluster: the cheapest loss makes room."""

from common.scheduling import NOW, first_step, job, racks, run_on, terms

from zinniatrestle.jobs.messages import Step
from zinniatrestle.scheduling.reclaim import ReclaimPlanner
from zinniatrestle.scheduling.state import TaskStatus

PLANNER = ReclaimPlanner(checkpoint_interval=2.0)


def plan(count, workers, gpus=8):
    step = first_step(
        job("a" * 16, Step(count=count, gpus=gpus, gang=True), priority=0)
    )
    return PLANNER.plan(step, step.waiting(), workers, terms(), NOW)


def busy(name, where, priority, since, gpus=8, **shape):
    made = job(name * 16, Step(cpu=1000, gpus=gpus, **shape), priority=priority)
    return run_on(first_step(made).tasks[0], where, since)


def test_the_work_that_has_done_least_is_stopped():
    workers = racks(1, size=3)
    busy("1", workers[0], 2, NOW - 9)
    cheap = busy("2", workers[1], 2, NOW - 1)
    busy("3", workers[2], 2, NOW - 5)
    found = plan(1, workers)
    assert found.victims == [cheap]
    assert list(found.places.values()) == [workers[1]]


def test_work_with_a_checkpoint_goes_before_work_without():
    workers = racks(1, size=2)
    busy("1", workers[0], 2, NOW - 3)
    saved = busy("2", workers[1], 2, NOW - 9, checkpointing=True)
    assert plan(1, workers).victims == [saved]


def test_the_less_urgent_queue_goes_first():
    workers = racks(1, size=2)
    busy("1", workers[0], 1, NOW - 4)
    patient = busy("2", workers[1], 2, NOW - 4)
    assert plan(1, workers).victims == [patient]


def test_urgent_work_is_never_stopped():
    workers = racks(1, size=1)
    busy("1", workers[0], 0, NOW - 1)
    assert plan(1, workers) is None


def test_nothing_is_stopped_unless_the_whole_step_fits():
    workers = racks(1, size=2)
    busy("1", workers[0], 0, NOW - 1)
    busy("2", workers[1], 2, NOW - 1)
    assert plan(2, workers) is None


def test_a_gang_is_stopped_as_a_whole_and_all_its_room_counts():
    workers = racks(1, size=2)
    gang = first_step(job("1" * 16, Step(count=2, gpus=8, gang=True), priority=2))
    members = [run_on(task, workers[n], NOW - 2) for n, task in enumerate(gang.tasks)]
    found = plan(2, workers)
    assert set(found.victims) == set(members)


def test_room_that_is_being_freed_already_is_used_first():
    workers = racks(1, size=2)
    leaving = busy("1", workers[0], 2, NOW - 9)
    leaving.status = TaskStatus.STOPPING
    busy("2", workers[1], 2, NOW - 1)
    found = plan(1, workers)
    assert found.victims == []
    assert list(found.places.values()) == [workers[0]]


def test_lasting_work_is_not_stopped():
    workers = racks(1, size=1)
    busy("1", workers[0], 2, NOW - 1, lasting=True)
    assert plan(1, workers) is None
