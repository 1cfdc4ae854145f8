"""Lines about waits are limited in number, and the waiting steps are counted."""

from common.events import EventList
from common.scheduling import NOW, first_step, job, run_on, worker

from zinniatrestle.metrics import Metrics
from zinniatrestle.scheduling.state import StepRun, TaskStatus
from zinniatrestle.scheduling.wait_log import (
    MAX_NAMED_WORKERS,
    ORDINARY,
    PARTIAL,
    SURVEY_SECONDS,
    URGENT,
    WaitLog,
)
from zinniatrestle.scheduling.waits import Room, Wait, WaitReason

WAIT = Wait(WaitReason.CAPACITY)
ROOM = Room(near=0, anywhere=2, idle_share=0.6)


class Rounds:
    """Rounds at the interval of surveys, in which the same steps wait."""

    def __init__(self):
        events = EventList()
        self.lines = events.lines
        self.metrics = Metrics()
        self.log = WaitLog(events, self.metrics)
        self.now = NOW

    def run(self, steps, seconds: float, is_short: bool = False):
        until = self.now + seconds
        while self.now < until:
            self.log.begin_round(self.now)
            for step in steps:
                if self.log.is_due(step, is_short):
                    self.log.write(step, WAIT, ROOM)
            self.log.end_round()
            self.now += SURVEY_SECONDS


def test_an_ordinary_step_is_logged_only_after_a_long_wait_and_then_seldom():
    rounds = Rounds()
    step = first_step(job("1" * 16))
    rounds.run([step], ORDINARY.first_seconds - SURVEY_SECONDS)
    assert rounds.lines == []
    rounds.run([step], 3 * ORDINARY.repeat_seconds)
    assert 2 <= len(rounds.lines) <= 4
    line = rounds.lines[0]
    assert line["reason"] == "capacity"
    assert line["since"] >= ORDINARY.first_seconds
    assert line["despite_room"]


def test_an_urgent_step_without_room_is_logged_at_once_and_each_second():
    rounds = Rounds()
    step = first_step(job("1" * 16, priority=0))
    rounds.run([step], 3.0)
    assert 3 <= len(rounds.lines) <= 4


def test_an_urgent_step_that_waits_for_an_order_is_not_logged_at_once():
    rounds = Rounds()
    step = first_step(job("1" * 16, priority=0))
    rounds.run([step], 0.8, is_short=True)
    assert rounds.lines == []
    rounds.run([step], 1.0, is_short=True)
    assert len(rounds.lines) == 1


def test_many_waiting_steps_share_a_limit_on_lines():
    rounds = Rounds()
    steps = [first_step(job(f"{number:016}")) for number in range(200)]
    rounds.run(steps, ORDINARY.first_seconds + 2.0)
    assert (
        0 < len(rounds.lines) <= ORDINARY.lines_per_survey * (2.0 / SURVEY_SECONDS + 1)
    )


def test_each_of_many_waiting_steps_is_logged_in_turn():
    rounds = Rounds()
    steps = [first_step(job(f"{number:016}")) for number in range(200)]
    turn_seconds = len(steps) / ORDINARY.lines_per_survey * SURVEY_SECONDS
    rounds.run(steps, ORDINARY.first_seconds + turn_seconds + 2 * SURVEY_SECONDS)
    assert {line["job"] for line in rounds.lines} == {step.job.id for step in steps}


def test_urgent_steps_share_a_limit_on_lines_and_are_logged_in_turn():
    rounds = Rounds()
    steps = [first_step(job(f"{number:016}", priority=0)) for number in range(200)]
    rounds.run(steps, URGENT.repeat_seconds)
    surveys = URGENT.repeat_seconds / SURVEY_SECONDS + 1
    assert 0 < len(rounds.lines) <= URGENT.lines_per_survey * surveys
    turn_seconds = len(steps) / URGENT.lines_per_survey * SURVEY_SECONDS
    rounds.run(steps, turn_seconds)
    assert {line["job"] for line in rounds.lines} == {step.job.id for step in steps}


def logged_line(wait: Wait) -> dict:
    events = EventList()
    log = WaitLog(events, Metrics())
    log.begin_round(NOW)
    log.write(first_step(job("1" * 16)), wait, ROOM)
    return events.lines[0]


def test_a_line_states_which_run_is_waited_for_and_until_when_at_most():
    target = worker("w")
    target.reported_at, target.missing_since = NOW - 4.0, NOW - 3.0
    target.silent = True
    held_by = run_on(first_step(job("2" * 16)).tasks[0], target)
    held_by.status_at = NOW - 5.0
    line = logged_line(
        Wait(WaitReason.UNREACHABLE_RUNS, None, held_by, until=NOW + 2.5)
    )
    assert (line["held_by"], line["held_worker"]) == (held_by.id, "w")
    assert (line["held_status"], line["held_silent"]) == ("running", True)
    assert (line["held_s"], line["held_reported"], line["held_missing"]) == (5, 4, 3)
    assert line["until"] == 2.5


def test_a_line_names_some_unusable_workers_with_the_reason():
    workers = [worker(f"w{number}") for number in range(10)]
    for unusable in workers:
        unusable.reported_at = NOW
    workers[0].silent = True
    workers[1].cordoned = True
    workers[2].unknown_runs.add("t")
    line = logged_line(Wait(WaitReason.UNUSABLE_WORKERS, unusable=workers))
    assert line["unusable_count"] == 10
    assert len(line["unusable"]) == MAX_NAMED_WORKERS
    reasons = [line["unusable"][f"w{number}"] for number in range(3)]
    assert reasons == ["silent", "cordoned", "unknown_runs"]


def step_of_a_job_at_work(number: int = 1) -> StepRun:
    at_work = job(f"{number:016}", *[first_step(job("2" * 16)).shape] * 2)
    run_on(at_work.steps["0.0"].tasks[0], worker("w"))
    step = at_work.steps["0.1"]
    step.ready_at = NOW
    return step


def test_a_step_whose_job_runs_is_logged_later_and_more_seldom():
    rounds = Rounds()
    step = step_of_a_job_at_work()
    rounds.run([step], PARTIAL.first_seconds - SURVEY_SECONDS)
    assert rounds.lines == []
    rounds.run([step], 2 * PARTIAL.repeat_seconds)
    assert 1 <= len(rounds.lines) <= 2
    assert rounds.lines[0]["longest"] >= PARTIAL.first_seconds
    assert rounds.lines[0]["job_runs"]


def test_steps_whose_jobs_run_take_no_lines_from_others():
    rounds = Rounds()
    at_work = [step_of_a_job_at_work(number) for number in range(100, 300)]
    idle = [first_step(job(f"{number:016}")) for number in range(4)]
    seconds = PARTIAL.first_seconds + 2.0
    rounds.run([*at_work, *idle], seconds)
    logged = [line["job"] for line in rounds.lines if not line["job_runs"]]
    assert set(logged) == {step.job.id for step in idle}
    surveys = 2.0 / SURVEY_SECONDS + 1
    assert len(rounds.lines) - len(logged) <= PARTIAL.lines_per_survey * surveys


def test_a_start_that_is_refused_again_and_again_does_not_end_the_wait():
    rounds = Rounds()
    step = first_step(job("1" * 16))
    for _ in range(10):
        rounds.run([step], 0.4)
        step.tasks[0].status = TaskStatus.PLACED
        rounds.run([], 0.4)
        step.tasks[0].status = TaskStatus.WAITING
    assert rounds.lines
    assert rounds.lines[-1]["since"] >= ORDINARY.first_seconds


def test_waiting_steps_are_counted_by_reason_until_they_run():
    rounds = Rounds()
    step = first_step(job("1" * 16))
    rounds.run([step], ORDINARY.first_seconds + 1.0)
    assert rounds.metrics.steps_waiting["capacity"] == 1
    assert set(rounds.metrics.steps_waiting) == {reason.value for reason in WaitReason}
    assert rounds.metrics.steps_waiting_despite_room == 1
    run_on(step.tasks[0], worker("w"))
    rounds.run([], SURVEY_SECONDS)
    assert rounds.metrics.steps_waiting["capacity"] == 0
    assert rounds.metrics.steps_waiting_despite_room == 0
