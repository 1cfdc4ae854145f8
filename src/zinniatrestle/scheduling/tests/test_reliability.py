"""Estimates of how likely runs on a worker end badly, each for one kind of failure."""

import msgspec
import pytest
from common.scheduling import NOW

from zinniatrestle.ids import BootSeconds, JobId, WorkerId
from zinniatrestle.scheduling.messages import Handover, ReliabilityRecord
from zinniatrestle.scheduling.reliability import (
    HALF_LIFE_SECONDS,
    MAX_HANDED_OVER,
    MAX_JOBS,
    MAX_JOBS_PER_WORKER,
    MAX_RESTORED_WEIGHT,
    MAX_WORKERS,
    MIN_WEIGHT,
    Evidence,
    Reliability,
)

SHORT, LONG = 2.0, 8.0
WORKER, OTHER = WorkerId("w1"), WorkerId("w2")


def at(seconds: float = 0.0) -> BootSeconds:
    return BootSeconds(NOW + seconds)


def fail(reliability, worker, *jobs, now=NOW):
    for job in jobs:
        reliability.record_failure(worker, JobId(str(job)), BootSeconds(now))


def succeed(reliability, worker, times, now=NOW):
    for _ in range(times):
        reliability.record_success(worker, BootSeconds(now))


def test_a_worker_without_bad_evidence_has_no_risk():
    reliability = Reliability()
    succeed(reliability, WORKER, 3)
    for worker in (WORKER, OTHER):
        assert reliability.risk(worker, LONG, at()) == 0.0
        assert reliability.risk_class(worker, LONG, at()) == 0
    assert not reliability.suspects


# Guards against gangs on a worker that fails everything it starts.
def test_a_worker_that_fails_everything_it_starts_is_known_after_few_failures():
    reliability = Reliability()
    risks = []
    for job in range(3):
        fail(reliability, WORKER, job)
        risks.append(reliability.risk(WORKER, SHORT, at()))
    assert risks == sorted(risks)
    assert risks[0] >= 0.5
    assert risks[2] >= 0.7


# Guards against a worker that is avoided by gangs for one failure among many successes.
def test_one_failure_on_a_worker_with_a_proven_record_counts_little():
    reliability = Reliability()
    succeed(reliability, WORKER, 20)
    fail(reliability, WORKER, 1)
    assert reliability.risk(WORKER, SHORT, at()) < 0.05


# Guards against a flapping worker that takes part in a gang each time it answers again.
def test_a_flapping_worker_is_the_riskier_the_longer_a_run_takes():
    reliability = Reliability()
    for flap in range(3):
        reliability.record(WORKER, Evidence.SILENCE, at(4 * flap))
        reliability.record(WORKER, Evidence.RETURN, at(4 * flap + 2))
    short = reliability.risk(WORKER, SHORT, at(10))
    long = reliability.risk(WORKER, LONG, at(10))
    assert 0.05 < short < long < 0.6
    # Short runs that end well between two silences refute nothing.
    succeed(reliability, WORKER, 5, now=at(10))
    assert reliability.risk(WORKER, LONG, at(10)) == pytest.approx(long)


# Guards against gangs on a worker that has just joined or returned, unproven.
@pytest.mark.parametrize("kind", [Evidence.JOIN, Evidence.RETURN])
def test_a_worker_that_just_joined_or_returned_is_riskier_than_others(kind):
    reliability = Reliability()
    reliability.record(WORKER, kind, at())
    assert 0.05 < reliability.risk(WORKER, LONG, at()) < 0.3


def test_a_success_proves_a_worker_that_joined():
    reliability = Reliability()
    reliability.record(WORKER, Evidence.JOIN, at())
    assert not reliability.needs_probe(WORKER, at())
    succeed(reliability, WORKER, 1)
    assert reliability.risk(WORKER, LONG, at()) == 0.0


# Guards against runs that a worker interrupts which gave notice that it leaves.
def test_a_worker_that_gave_notice_has_a_risk_for_runs_that_it_interrupts():
    reliability = Reliability()
    assert reliability.risk(WORKER, LONG, at(), leaves_at=at(5.5)) == 1.0
    assert reliability.risk(WORKER, SHORT, at(), leaves_at=at(5.5)) == 0.0


# Guards against jobs that are blamed while many workers fail at once.
def test_many_workers_that_fail_at_once_are_all_known():
    reliability = Reliability()
    workers = [WorkerId(f"w{number}") for number in range(10)]
    # Each job fails on two of the workers, and each worker fails four jobs.
    for job in range(20):
        for offset in (0, 3):
            fail(reliability, workers[(job + offset) % 10], job)
    for worker in workers:
        assert reliability.risk(worker, SHORT, at()) >= 0.5


# Guards against sound workers that gangs avoid because of a faulty job.
def test_a_faulty_job_says_little_against_the_workers_where_it_fails():
    reliability = Reliability()
    workers = [WorkerId(f"w{number}") for number in range(3)]
    for worker in workers:
        fail(reliability, worker, "faulty")
    for worker in workers:
        assert reliability.risk(worker, SHORT, at()) <= 0.1
    fail(reliability, workers[0], "faulty")
    assert reliability.risk(workers[0], SHORT, at()) <= 0.1


# Guards against a faulty worker that a job excuses which fails on two faulty ones.
def test_a_job_excuses_no_worker_if_other_jobs_fail_where_it_failed():
    reliability = Reliability()
    fail(reliability, WORKER, "first")
    fail(reliability, OTHER, "first")
    excused = reliability.risk(WORKER, SHORT, at())
    fail(reliability, OTHER, "second", "third")
    assert reliability.risk(WORKER, SHORT, at()) > excused
    assert reliability.risk(OTHER, SHORT, at()) > 0.5


# Guards against a worker that failed once and is never used for gangs again.
def test_a_worker_that_has_recovered_counts_as_reliable_again():
    reliability = Reliability()
    fail(reliability, WORKER, 1, 2, 3)
    assert reliability.needs_probe(WORKER, at())
    succeed(reliability, WORKER, 5)
    assert reliability.risk_class(WORKER, SHORT, at()) == 0
    assert not reliability.needs_probe(WORKER, at())


def test_a_failure_counted_before_a_success_is_not_weighted_anew():
    reliability = Reliability()
    fail(reliability, WORKER, "first")
    fail(reliability, OTHER, "first")
    succeed(reliability, WORKER, 5)
    recovered = reliability.risk(WORKER, SHORT, at())
    fail(reliability, OTHER, "second", "third")
    assert reliability.risk(WORKER, SHORT, at()) == recovered


@pytest.mark.parametrize("kind", [*Evidence])
def test_all_evidence_decays(kind):
    reliability = Reliability()
    reliability.record(WORKER, kind, at())
    risk = reliability.risk(WORKER, LONG, at())
    later = reliability.risk(WORKER, LONG, at(HALF_LIFE_SECONDS))
    assert 0 < later < risk
    assert reliability.risk(WORKER, LONG, at(10 * HALF_LIFE_SECONDS)) == 0.0


def test_a_shared_suspicion_counts_in_part():
    reliability = Reliability()
    reliability.record(WORKER, Evidence.STALL, at())
    reliability.record(OTHER, Evidence.STALL, at(), share=0.25)
    whole, part = (reliability.risk(name, SHORT, at()) for name in (WORKER, OTHER))
    assert 0 < part < whole


def test_the_evidence_is_named():
    reliability = Reliability()
    assert reliability.evidence(WORKER, at()) == {}
    fail(reliability, WORKER, 1, 2)
    reliability.record(WORKER, Evidence.SILENCE, at())
    assert reliability.evidence(WORKER, at()) == {"failures": 2.0, "silences": 0.5}


# Guards against a state that grows with the number of jobs and workers ever seen.
def test_the_state_is_bounded():
    reliability = Reliability()
    for number in range(2 * MAX_WORKERS):
        worker = WorkerId(f"w{number}")
        fail(reliability, worker, f"job-{number}", now=at(number))
    fail(reliability, WORKER, *range(100), now=at(3 * MAX_WORKERS))
    assert len(reliability.histories) <= MAX_WORKERS
    assert reliability.suspects.keys() <= reliability.histories.keys()
    assert len(reliability.failed_on) <= MAX_JOBS
    failed_jobs = reliability.histories[WORKER].failed_jobs
    assert len(failed_jobs) == MAX_JOBS_PER_WORKER


def test_a_worker_with_evidence_is_kept_longer_than_one_without():
    reliability = Reliability()
    fail(reliability, WORKER, 1)
    for number in range(2 * MAX_WORKERS):
        succeed(reliability, WorkerId(f"w-{number}"), 1, now=at(1))
    assert reliability.risk(WORKER, SHORT, at(1)) > 0


# Guards against a successor that gives gangs to workers known to fail.
def test_a_successor_knows_the_worst_workers():
    reliability = Reliability()
    fail(reliability, WORKER, 1, 2)
    succeed(reliability, WORKER, 1)
    reliability.record(OTHER, Evidence.SILENCE, at())
    row = msgspec.msgpack.encode(Handover(reliability=reliability.export(at(5))))
    successor = Reliability()
    handover = msgspec.msgpack.decode(row, type=Handover)
    successor.restore(handover.reliability, BootSeconds(50.0))
    for worker in (WORKER, OTHER):
        expected = reliability.risk(worker, LONG, at(5))
        restored = successor.risk(worker, LONG, BootSeconds(50.0))
        assert restored == pytest.approx(expected, abs=0.01)


def test_the_handover_is_bounded_to_the_worst_workers():
    reliability = Reliability()
    for number in range(3 * MAX_HANDED_OVER):
        worker = WorkerId(f"w{number:03}")
        fail(reliability, worker, *(f"{number}-{job}" for job in range(number % 3)))
        reliability.record(worker, Evidence.RETURN, at())
    exported = reliability.export(at())
    assert len(exported) == MAX_HANDED_OVER
    assert all(record.failures == 2.0 for record in exported.values())
    assert len(msgspec.msgpack.encode(Handover(reliability=exported))) < 4096


def test_workers_whose_evidence_has_decayed_are_not_handed_over():
    reliability = Reliability()
    fail(reliability, WORKER, 1)
    assert set(reliability.export(at())) == {WORKER}
    assert reliability.export(at(20 * HALF_LIFE_SECONDS)) == {}
    assert not reliability.suspects


# Guards against a row of an earlier version, and one that is damaged.
def test_a_row_without_the_field_is_read():
    row = msgspec.msgpack.encode({"times": {}, "doubts": {}})
    handover = msgspec.msgpack.decode(row, type=Handover)
    reliability = Reliability()
    reliability.restore(handover.reliability, at())
    assert not reliability.histories


@pytest.mark.parametrize("weight", [float("nan"), -3.0, 1e300, float("inf")])
def test_odd_weights_of_a_predecessor_are_limited(weight):
    reliability = Reliability()
    record = ReliabilityRecord(successes=weight, failures=weight, silences=weight)
    reliability.restore({WORKER: record}, at())
    assert 0.0 <= reliability.risk(WORKER, LONG, at()) <= 1.0
    total = sum(reliability.evidence(WORKER, at()).values())
    assert total <= 2 * MAX_RESTORED_WEIGHT


def test_evidence_below_the_least_weight_is_dropped():
    reliability = Reliability()
    reliability.record(WORKER, Evidence.JOIN, at(), share=MIN_WEIGHT)
    assert not reliability.suspects


# Guards against urgent gangs, whose runs take 2 s, on a worker that has just flapped.
def test_one_recent_silence_ranks_a_worker_last_even_for_short_runs():
    reliability = Reliability()
    reliability.record(WORKER, Evidence.SILENCE, at())
    reliability.record(WORKER, Evidence.RETURN, at(2))
    assert reliability.risk_class(WORKER, SHORT, at(2)) > 0
