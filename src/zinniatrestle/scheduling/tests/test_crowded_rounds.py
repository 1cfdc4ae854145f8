"""Rounds with many waiting urgent jobs: which guarantees cover them, at what cost."""

from types import SimpleNamespace

import pytest
from common.scheduling import NOW, first_step, job

from zinniatrestle.deployment import Bounds
from zinniatrestle.ids import ClientAccountId
from zinniatrestle.jobs.messages import Step
from zinniatrestle.scheduling.context import Policy
from zinniatrestle.scheduling.durations import Durations
from zinniatrestle.scheduling.forecast import Forecast
from zinniatrestle.scheduling.preemption import Preemptor
from zinniatrestle.scheduling.state import Job

GUARANTEED = 10


def preemptor_of(jobs: list[Job]) -> Preemptor:
    accounts = {}
    for name in ("one", "two"):
        account = ClientAccountId(name)
        accounts[account] = SimpleNamespace(name=account, guaranteed=GUARANTEED)
    context = SimpleNamespace(
        deployment=SimpleNamespace(bounds=Bounds()),
        operator=SimpleNamespace(accounts=accounts),
    )
    durations = Durations()
    tracker = SimpleNamespace(
        durations=durations, jobs={waiting.id: waiting for waiting in jobs}
    )
    preemptor = Preemptor(context, tracker, Policy())
    preemptor.begin_round(Forecast(durations, NOW))
    return preemptor


def urgent_jobs(count: int, account: str = "one", gpus: int = 2) -> list[Job]:
    return [
        job(
            f"{account}-{number:04}",
            Step(count=2, gpus=gpus, cpu=1000),
            Step(gpus=8, after=(0,)),
            priority=0,
            account=account,
            arrived=NOW + number,
        )
        for number in range(count)
    ]


def test_the_oldest_urgent_jobs_of_an_account_are_within_its_guarantee():
    jobs = [*urgent_jobs(5, "one"), *urgent_jobs(5, "two", gpus=1)]
    preemptor = preemptor_of(jobs)
    covered = [preemptor.is_guaranteed(first_step(waiting)) for waiting in jobs]
    # Each needs 4 accelerators, or 2; the second steps don't count before their turn.
    assert covered == [True] * 2 + [False] * 3 + [True] * 5


def test_jobs_that_are_due_at_once_count_together():
    jobs = urgent_jobs(3)
    for waiting in jobs:
        waiting.due_at = NOW
    preemptor = preemptor_of(jobs)
    assert not any(preemptor.is_guaranteed(first_step(waiting)) for waiting in jobs)


# Guards against rounds of seconds, in which the host answers neither callers nor the
# store: each waiting job looked at all the others.
@pytest.mark.parametrize("count", [50, 500])
def test_each_waiting_job_is_looked_at_once_for_guarantees(count, monkeypatch):
    looks = []
    is_ready = Job.is_ready

    def counted(self, step):
        looks.append(step)
        return is_ready(self, step)

    monkeypatch.setattr(Job, "is_ready", counted)
    jobs = urgent_jobs(count)
    preemptor = preemptor_of(jobs)
    for waiting in jobs:
        preemptor.is_guaranteed(first_step(waiting))
    assert len(looks) <= 2 * count
