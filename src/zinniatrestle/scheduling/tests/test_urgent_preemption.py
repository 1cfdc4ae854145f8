"""When urgent steps preempt: as soon as a start without it would be late."""

from types import SimpleNamespace
from unittest import mock

from common.scheduling import (
    NOW,
    constraints,
    first_step,
    job,
    run_on,
    workers_in_racks,
)

from zinniatrestle.deployment import Bounds
from zinniatrestle.jobs.messages import Step
from zinniatrestle.scheduling.backfill import EarliestStart
from zinniatrestle.scheduling.context import Policy
from zinniatrestle.scheduling.draining import ORDER_LATENCY_SECONDS
from zinniatrestle.scheduling.durations import TRUSTED_RUNS, Durations
from zinniatrestle.scheduling.forecast import Forecast
from zinniatrestle.scheduling.preemption import RETRY_INTERVAL_SECONDS, Preemptor
from zinniatrestle.scheduling.state import TaskStatus

BOUNDS = Bounds(stop=0.9, reclaim=3.4, restore=0.1)
STOP_SECONDS = BOUNDS.stop + ORDER_LATENCY_SECONDS
# Stretch and target (s) of urgent jobs.
OBJECTIVE = dict(stretch=1.5, target=0.4)


class Scenario:
    """An urgent gang that waits for a worker with a cheap run."""

    def __init__(self, estimate: float):
        self.durations = Durations()
        tracker = SimpleNamespace(
            durations=self.durations, jobs={}, stop=mock.Mock(side_effect=stop)
        )
        context = SimpleNamespace(
            deployment=SimpleNamespace(bounds=BOUNDS),
            operator=SimpleNamespace(accounts={}),
            metrics=mock.Mock(),
            events=mock.Mock(),
        )
        self.preemptor = Preemptor(context, tracker, Policy())
        self.workers = workers_in_racks(1, size=1)
        background = Step(gpus=8, cpu=1000, checkpointing=True, estimated_ms=60_000)
        running = first_step(job("b" * 16, background, priority=2, arrived=NOW - 5))
        self.victim = run_on(running.tasks[0], self.workers[0], NOW - 4)
        shape = Step(gpus=8, cpu=1000, gang=True, estimated_ms=int(estimate * 1000))
        self.step = first_step(
            job("a" * 16, shape, priority=0, queue="urgent", **OBJECTIVE)
        )

    def preempts(self, at: float, room_in: float | None = None) -> bool:
        """Return whether the gang preempts `at` s after it is due.

        Without preemption it is expected to start `room_in` s after it is due.
        """
        now = NOW + at
        earliest = None
        if room_in is not None:
            earliest = EarliestStart(self.step, NOW + room_in, self.workers)
        self.preemptor.begin_round(Forecast(self.durations, now))
        return self.preemptor.preempt_for(
            self.step, self.workers, constraints(), earliest, now
        )


def stop(task, reason):
    task.status = TaskStatus.STOPPING


def test_a_gang_preempts_at_once_if_a_start_without_it_would_be_late():
    # It is on time if it starts within 1.4 s.
    scenario = Scenario(estimate=2.0)
    assert not scenario.preempts(0.0, room_in=1.3)
    assert scenario.preempts(0.01, room_in=1.5)
    assert scenario.victim.status is TaskStatus.STOPPING
    assert scenario.step.tasks[0].status is TaskStatus.RESERVED


# Guards against urgent gangs that are late because the round in which the need shows
# comes too soon after one in which there was none.
def test_a_round_without_need_does_not_delay_the_next_attempt():
    scenario = Scenario(estimate=2.0)
    assert not scenario.preempts(0.1, room_in=1.3)
    assert scenario.preempts(0.1 + RETRY_INTERVAL_SECONDS / 2)


# Guards against rounds that plan for each waiting step although nothing has changed.
def test_a_plan_that_fails_is_not_repeated_at_once():
    scenario = Scenario(estimate=2.0)
    scenario.victim.step.shape = Step(gpus=8, long_running=True)
    assert not scenario.preempts(0.0)
    with mock.patch.object(scenario.preemptor.planner, "plan") as planned:
        scenario.preempts(RETRY_INTERVAL_SECONDS / 2)
        assert not planned.called
        planned.return_value = None
        scenario.preempts(RETRY_INTERVAL_SECONDS * 1.5)
        assert planned.called


# Guards against urgent jobs that are given up although they could be on time: the
# estimate of their callers is too short, and so is the objective that follows from it.
def test_a_job_is_not_given_up_while_jobs_like_it_would_be_on_time():
    scenario = Scenario(estimate=1.0)
    # By its estimate it is late unless it starts within 0.9 s, too soon for a stop.
    assert not scenario.preempts(0.0, room_in=2.0)
    assert scenario.victim.status is TaskStatus.RUNNING
    similar = first_step(
        job("c" * 16, Step(gpus=8, estimated_ms=1000), queue="urgent")
    ).tasks[0]
    for _ in range(TRUSTED_RUNS):
        scenario.durations.learn(similar, 2.5)
    # Those of its queue are on time if they start within 1.65 s.
    assert scenario.preempts(1.65 - STOP_SECONDS - 0.01, room_in=2.0)


def test_a_job_that_is_late_in_any_case_preempts_nothing():
    scenario = Scenario(estimate=2.0)
    assert not scenario.preempts(1.4 - STOP_SECONDS + 0.1, room_in=1.5)
