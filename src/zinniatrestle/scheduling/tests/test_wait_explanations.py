"""The log alone tells what a job waited for, since when, and what ends the wait."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any
from unittest import mock

import pytest
from common.wait_scenarios import (
    STRAY_TASK,
    STRAY_WORKER,
    WORKERS_IN_RACK,
    wait_behind_wide_gang,
    wait_beside_full_rack,
    wait_for_unanswered_member,
    wait_for_unknown_run,
)

from zinniatrestle.events.explain import cause, job_lines
from zinniatrestle.ids import JobId
from zinniatrestle.scheduling import session
from zinniatrestle.standins.model import Model, run_virtual
from zinniatrestle.standins.runs import OrderMode

# Longer than the limit on waits beside idle workers.
WATCHED_SECONDS = 12.0
# Time between two lines about a step, and a round.
LINE_SECONDS = 3.5
LOG_DELAY_SECONDS = 0.5
# Time in which a worker reports its runs again.
REPORT_SECONDS = 1.0


@dataclass
class Explanation:
    """What is known of a job that waited: its log lines, and the metrics meanwhile."""

    job: JobId
    lines: list[dict[str, Any]]
    steps_waiting: dict[str, int]

    def of(self, event: str) -> list[dict[str, Any]]:
        return [line for line in self.lines if line["event"] == event]

    @property
    def cause(self) -> str:
        return cause(self.lines, self.job)


def explain_wait(scenario: Callable, end_wait: Callable | None = None) -> Explanation:
    """Return what `explain` selects from the lines about the job of a scenario."""

    async def play() -> Explanation:
        model = Model(1)
        await model.start(workers=3 * WORKERS_IN_RACK, rack=WORKERS_IN_RACK)
        job = await scenario(model)
        await asyncio.sleep(WATCHED_SECONDS / 2)
        steps_waiting = dict(model.metrics.steps_waiting)
        if end_wait is not None:
            end_wait(model)
        await asyncio.sleep(WATCHED_SECONDS / 2)
        lines = job_lines(model.lines, job)
        await model.stop()
        return Explanation(job, lines, steps_waiting)

    return run_virtual(play())


def check_that_waits_are_timed(explanation: Explanation):
    """Check that each line dates the wait back to the time of the acceptance."""
    (accepted,) = explanation.of("job_accepted")
    waits = explanation.of("job_waits")
    assert waits
    for line in waits:
        began_at = line["at"] - line["since"]
        assert began_at == pytest.approx(accepted["at"], abs=LOG_DELAY_SECONDS)
    (placed, *_) = explanation.of("run_placed")
    assert placed["at"] - waits[-1]["at"] < LINE_SECONDS


def check_that_limit_ended_wait(explanation: Explanation):
    """Check that the lines foretold when the limit on waits ended this one."""
    (placed,) = explanation.of("run_placed")
    for line in explanation.of("job_waits"):
        assert line["despite_room"]
        foretold_at = line["at"] + line["limit_in"]
        assert foretold_at == pytest.approx(placed["at"], abs=LOG_DELAY_SECONDS)


def test_wait_for_a_full_rack_is_told_with_its_limit():
    explanation = explain_wait(wait_beside_full_rack)
    for line in explanation.of("job_waits"):
        assert (line["reason"], line["rack"]) == ("locality", "rack-0")
        assert line["slots_near"] == 0
        assert line["slots"] == 2 * WORKERS_IN_RACK
        # A run of the rack is expected to end later than the limit.
        assert line["until"] > line["limit_in"]
    assert explanation.steps_waiting["locality"] == 1
    assert "It waited for: locality (" in explanation.cause
    check_that_waits_are_timed(explanation)
    check_that_limit_ended_wait(explanation)


def test_wait_for_a_reservation_is_told_with_the_job_that_reserves_and_its_limit():
    explanation = explain_wait(wait_behind_wide_gang)
    for line in explanation.of("job_waits"):
        assert line["reason"] == "backfill"
        assert line["for_job"] != explanation.job
        assert line["slots_near"] >= 2
        assert line["until"] > line["limit_in"]
    assert explanation.steps_waiting["backfill"] == 1
    assert "It waited for: backfill for job " in explanation.cause
    check_that_waits_are_timed(explanation)
    check_that_limit_ended_wait(explanation)


def answer_orders(model: Model):
    model.fleet.workers[STRAY_WORKER].order_mode = OrderMode.ANSWERED


def test_wait_for_an_unknown_run_is_told_with_its_worker_and_unanswered_stops():
    explanation = explain_wait(wait_for_unknown_run, answer_orders)
    for line in explanation.of("job_waits"):
        assert line["reason"] == "unusable_workers"
        assert line["unusable"] == {STRAY_WORKER: "unknown_runs"}
        assert line["limit_in"] is None
    (unusable,) = explanation.of("worker_unusable")
    assert unusable["reason"] == "unknown_runs"
    assert unusable["unknown_runs"] == [STRAY_TASK]
    (accepted,) = explanation.of("job_accepted")
    assert unusable["at"] - unusable["since"] < accepted["at"]
    stops = explanation.of("run_unanswered")
    assert stops
    for line in stops:
        assert (line["task"], line["order"]) == (STRAY_TASK, "stop")
    assert explanation.steps_waiting["unusable_workers"] == 1
    assert (
        f"It waited for: unusable_workers {STRAY_WORKER} unknown_runs ("
        in explanation.cause
    )
    check_that_waits_are_timed(explanation)


def test_wait_for_a_gang_member_is_told_with_the_orders_that_got_no_answer():
    # By default a start expires before a wait for it is logged.
    with mock.patch.object(session, "START_VALID_SECONDS", WATCHED_SECONDS / 2):
        explanation = explain_wait(wait_for_unanswered_member)
    waits = [
        line for line in explanation.of("job_waits") if line["reason"] == "gang_members"
    ]
    (lost,) = explanation.of("run_lost")
    assert lost["reason"] == "its start order has expired"
    assert waits
    for line in waits:
        assert (line["held_by"], line["held_worker"]) == (lost["task"], STRAY_WORKER)
        assert line["held_status"] == "stopping"
        expires_at = line["at"] + line["until"]
        assert expires_at <= lost["at"] <= expires_at + REPORT_SECONDS
    unanswered = [
        line["order"]
        for line in explanation.of("run_unanswered")
        if line["task"] == lost["task"]
    ]
    assert unanswered[0] == "start"
    assert set(unanswered[1:]) == {"stop"}
    assert explanation.steps_waiting["gang_members"] == 1
    assert f"gang_members {lost['task']} stopping at {STRAY_WORKER}" in (
        explanation.cause
    )
