"""The ranking of waiting steps, and the run time estimates it depends on."""

import pytest
from common.scheduling import NOW, first_step, job, run_on, with_progress, worker

from zinniatrestle.jobs.messages import Step
from zinniatrestle.scheduling.durations import TRUSTED_RUNS, Durations
from zinniatrestle.scheduling.order import PriorityDeadlineOrder, start_deadlines

SHORT = Step(gpus=1, estimated_ms=2000)


def ranked(*jobs, now=NOW):
    policy = PriorityDeadlineOrder(Durations())
    steps = [first_step(job) for job in jobs]
    steps.sort(key=lambda step: policy.key(step, now))
    return [step.job for step in steps]


def test_the_queue_of_higher_priority_goes_first():
    low_priority = job("1" * 16, SHORT, priority=2, arrived=NOW - 1)
    urgent = job("2" * 16, SHORT, priority=0)
    assert ranked(low_priority, urgent) == [urgent, low_priority]


def test_a_job_that_can_be_on_time_goes_before_a_late_one_of_its_queue():
    late = job("1" * 16, SHORT, arrived=NOW - 8)
    timely = job("2" * 16, SHORT)
    assert ranked(late, timely) == [timely, late]


def test_late_jobs_of_an_urgent_queue_go_before_jobs_of_lower_priority():
    late = job("1" * 16, SHORT, priority=0, arrived=NOW - 8)
    low_priority = job("2" * 16, SHORT, priority=2)
    assert ranked(low_priority, late) == [late, low_priority]


def test_a_job_too_late_to_be_useful_goes_last():
    useless = job("1" * 16, SHORT, priority=0, arrived=NOW - 100)
    late = job("2" * 16, SHORT, priority=2, arrived=NOW - 8)
    assert ranked(useless, late) == [late, useless]


def test_the_job_with_less_slack_goes_first_within_a_queue():
    first = job("2" * 16, SHORT, arrived=NOW - 2)
    second = job("1" * 16, SHORT, arrived=NOW - 1)
    assert ranked(second, first) == [first, second]


def test_the_deadline_of_a_later_step_leaves_time_only_for_the_remaining_steps():
    new_job = job("1" * 16, SHORT, Step(gpus=1, estimated_ms=4000, after=(0,)))
    durations = Durations()
    first = start_deadlines(new_job.steps["0.0"], durations).latest_on_time_start
    second = start_deadlines(new_job.steps["0.1"], durations).latest_on_time_start
    assert second - first == 2.0


def test_observed_run_times_override_estimates():
    durations = Durations()
    new_job = job("1" * 16, SHORT)
    task = first_step(new_job).tasks[0]
    for _ in range(TRUSTED_RUNS):
        durations.learn(task, 9.0)
    assert durations.expected_seconds(new_job.submission.queue, SHORT) == 9.0


def test_the_on_time_deadline_assumes_the_shortest_likely_run_time():
    durations = Durations()
    new_job = job("1" * 16, Step(estimated_ms=9000), stretch=1.5, target=0.4)
    for _ in range(TRUSTED_RUNS):
        durations.learn(first_step(new_job).tasks[0], 9.0)
    short = job("2" * 16, Step(estimated_ms=2000), stretch=1.5, target=0.4)
    deadlines = start_deadlines(first_step(short), durations)
    assert deadlines.latest_on_time_start == pytest.approx(NOW + 1.0 + 0.4)
    assert deadlines.latest_useful_start > deadlines.latest_on_time_start + 2 * (
        1.5 * 2 + 0.4
    )


def test_the_remaining_time_follows_progress():
    durations = Durations()
    task = first_step(job("1" * 16, SHORT)).tasks[0]
    run_on(task, worker("w"), NOW)
    with_progress(task, (25, NOW + 3))
    assert durations.remaining(task, NOW + 3) == 9.0
    assert durations.remaining(task, NOW + 5) == 7.0


def test_the_remaining_time_of_a_run_that_slowed_down_follows_its_recent_rate():
    durations = Durations()
    task = run_on(first_step(job("1" * 16, SHORT)).tasks[0], worker("w"), NOW)
    with_progress(task, (50, NOW + 1), (60, NOW + 3))
    assert durations.remaining(task, NOW + 3) == 8.0


def test_a_run_without_recent_progress_is_expected_to_need_its_whole_time_again():
    durations = Durations()
    task = first_step(job("1" * 16, SHORT)).tasks[0]
    run_on(task, worker("w"), NOW)
    with_progress(task, (50, NOW + 2), (50, NOW + 6))
    whole = durations.expected_seconds(task.step.job.submission.queue, SHORT)
    assert durations.remaining(task, NOW + 6) == whole


def test_an_overdue_run_that_reports_no_progress_is_not_expected_to_end_soon():
    durations = Durations()
    task = first_step(job("1" * 16, Step(estimated_ms=2000))).tasks[0]
    task.started_at = task.baseline_at = task.reported_at = NOW
    assert durations.remaining(task, NOW + 1) == 1.0
    assert durations.remaining(task, NOW + 8) == 2.0


def test_the_remaining_time_after_a_checkpoint_follows_progress_since_then():
    durations = Durations()
    task = first_step(job("1" * 16, SHORT)).tasks[0]
    with_progress(task, (60, NOW), (80, NOW + 2))
    assert durations.remaining(task, NOW + 2) == 2.0


@pytest.mark.parametrize(
    "estimate_factor, expected",
    [(1.1, "estimate"), (3.0, "mean"), (0.3, "mean")],
)
def test_the_predictor_with_the_smaller_past_error_is_used(estimate_factor, expected):
    durations = Durations()
    for number, seconds in enumerate([2.0, 3.0, 4.0, 2.0, 3.0, 4.0, 2.0, 3.0]):
        shape = Step(estimated_ms=int(seconds * estimate_factor * 1000))
        new_job = job(f"{number:016x}", shape)
        durations.learn(first_step(new_job).tasks[0], seconds)
    asked = Step(estimated_ms=60_000)
    found = durations.expected_seconds(new_job.submission.queue, asked)
    if expected == "estimate":
        assert found == 60.0
    else:
        assert 2.0 <= found <= 4.0
