"""Cancellations of jobs that no host has stored yet: none of them runs later."""

import asyncio
from unittest import mock

import pytest

from zinniatrestle.clock import boot_time, monotonic
from zinniatrestle.deployment import Bounds
from zinniatrestle.errors import NotFoundError, ResultCode, UnknownOutcomeError
from zinniatrestle.ids import ApiKey, ClientAccountId, JobId
from zinniatrestle.jobs import JobState
from zinniatrestle.jobs import intake as intake_module
from zinniatrestle.jobs.intake import JobRequest
from zinniatrestle.jobs.messages import PROGRESS, row_name
from zinniatrestle.jobs.withdrawals import (
    ACCOUNT_SHARE,
    BURST_SECONDS,
    EPOCH_ROW,
    INTAKE_EPOCHS,
    REFRESH_SHARE,
    WITHDRAWALS,
    IntakeSettings,
    TooManyWithdrawalsError,
    WithdrawalLimit,
    decode_withdrawal,
)
from zinniatrestle.rows.messages import Outcome
from zinniatrestle.scheduling.withdrawal_purge import INTERVAL_SHARE
from zinniatrestle.serving import RetryLaterError
from zinniatrestle.standins.model import Model, run_virtual, step
from zinniatrestle.standins.rows import Reachability

JOB = JobId("00000000000000aa")
JOB_REQUEST = JobRequest('{"seconds":1}', (step(),))
CALL_SECONDS = 3.0
# The longest time after which the stand-in applies a write that got no answer.
LATE_SECONDS = 6.0
RETENTION = 20.0
# Within this time after its retention a mark is removed.
RATE = IntakeSettings.unknown_cancel_rate
PURGE_SECONDS = 2 * INTERVAL_SHARE * RETENTION


def run_with_model(check, hosts=3, **bounds):
    async def run():
        model = Model(1, hosts=hosts, bounds=Bounds(**bounds))
        await model.start(workers=2)
        await check(model)

    run_virtual(run())


def run_with_short_retention(check):
    run_with_model(check, status_retention=RETENTION)


def admit(host, key="key-first"):
    return host.frontend.admit("queues.example", "/usual/x", ApiKey(key))


def accept(host, job=JOB):
    return host.frontend.accept(
        admit(host), job, JOB_REQUEST, monotonic() + CALL_SECONDS
    )


def cancel(host, job=JOB, key="key-first"):
    return host.frontend.cancel(admit(host, key), job, monotonic() + CALL_SECONDS)


async def lose_acceptance(host, job=JOB):
    """Submit a job whose writes get no answer, and are applied seconds later."""
    host.store.lost_answer_share = host.store.late_commit_share = 1.0
    with pytest.raises(UnknownOutcomeError):
        await accept(host, job)
    host.store.lost_answer_share = 0.0


def mark(model, job=JOB):
    return model.rows.row(WITHDRAWALS, row_name(job))


def starts(model):
    return [event.task for event in model.fleet.history]


# Guards against a job that runs although its cancellation was acknowledged before the
# store applied its acceptance.
def test_a_job_that_was_cancelled_before_its_acceptance_is_applied_never_runs():
    async def check(model):
        first, second, _ = model.hosts
        await lose_acceptance(first)
        with pytest.raises(NotFoundError):
            await cancel(second)
        await asyncio.sleep(LATE_SECONDS + 10.0)
        assert model.state(JOB) is None
        assert starts(model) == []

    run_with_model(check)


# Guards against marks that are only remembered.
def test_the_mark_outlives_the_host_that_acknowledged_it_and_the_leader():
    async def check(model):
        first, second, third = model.hosts
        await lose_acceptance(first)
        with pytest.raises(NotFoundError):
            await cancel(second)
        await second.kill()
        leader = model.leader() or third
        await leader.kill()
        leader.start()
        await asyncio.sleep(LATE_SECONDS + 10.0)
        assert starts(model) == []

    run_with_model(check)


# Guards against a host that goes on trying to store a job which is cancelled elsewhere.
def test_a_host_that_still_tries_to_accept_a_cancelled_job_refuses_it():
    async def check(model):
        first, second, _ = model.hosts
        first.store.reachability = Reachability.REFUSED
        accepting = asyncio.create_task(accept(first))
        await asyncio.sleep(0.05)
        with pytest.raises(NotFoundError):
            await cancel(second)
        first.store.reachability = Reachability.SERVED
        with pytest.raises(RetryLaterError) as caught:
            await accepting
        assert caught.value.code is ResultCode.JOB_WITHDRAWN
        await asyncio.sleep(10.0)
        assert starts(model) == []

    run_with_model(check)


def test_all_hosts_give_the_same_answers_about_a_withdrawn_job():
    async def check(model):
        with pytest.raises(NotFoundError):
            await cancel(model.hosts[0])
        for host in model.hosts:
            with pytest.raises(NotFoundError) as caught:
                await host.frontend.show(admit(host), JOB)
            assert caught.value.code is ResultCode.NO_SUCH_JOB
            with pytest.raises(RetryLaterError) as caught:
                await accept(host)
            assert caught.value.code is ResultCode.JOB_WITHDRAWN
            assert caught.value.seconds == model.bounds.status_retention
            with pytest.raises(NotFoundError) as caught:
                await cancel(host)
            assert caught.value.code is ResultCode.NO_SUCH_JOB

    run_with_model(check)


# Guards against an acknowledgement of a mark that may not be stored.
def test_a_cancellation_without_an_answer_of_the_store_is_not_acknowledged():
    async def check(model):
        model.hosts[0].store.lost_answer_share = 1.0
        with pytest.raises(UnknownOutcomeError):
            await cancel(model.hosts[0])

    run_with_model(check)


@pytest.mark.parametrize("reachability", [Reachability.REFUSED, Reachability.SILENT])
def test_a_cancellation_without_the_store_is_not_acknowledged(reachability):
    async def check(model):
        host = model.hosts[0]
        admission = admit(host)
        host.store.reachability = reachability
        with pytest.raises(UnknownOutcomeError):
            await host.frontend.cancel(admission, JOB, monotonic() + CALL_SECONDS)
        assert mark(model) is None

    run_with_model(check)


# Guards against a job that is stored between the read and the mark.
def test_a_job_that_is_accepted_during_its_cancellation_is_cancelled():
    async def check(model):
        first, second, _ = model.hosts
        withdraw = second.intake.withdrawals.withdraw

        async def withdraw_late(*arguments):
            await accept(first)
            return await withdraw(*arguments)

        with mock.patch.object(second.intake.withdrawals, "withdraw", withdraw_late):
            await cancel(second)
        assert model.state(JOB) is JobState.CANCELLED
        assert mark(model) is None

    run_with_model(check)


def test_a_repeated_cancellation_writes_nothing_while_the_mark_is_recent():
    async def check(model):
        with pytest.raises(NotFoundError):
            await cancel(model.hosts[0])
        version = mark(model).version
        await asyncio.sleep(REFRESH_SHARE * RETENTION - 1.0)
        with pytest.raises(NotFoundError):
            await cancel(model.hosts[1])
        assert mark(model).version == version

    run_with_short_retention(check)


# Guards against an acknowledgement that rests on a mark which is about to be removed.
def test_a_repeated_cancellation_renews_an_old_mark():
    async def check(model):
        with pytest.raises(NotFoundError):
            await cancel(model.hosts[0])
        await asyncio.sleep(RETENTION - 1.0)
        with pytest.raises(NotFoundError):
            await cancel(model.hosts[1])
        await asyncio.sleep(RETENTION - 2.0)
        assert mark(model) is not None

    run_with_short_retention(check)


def test_a_damaged_mark_is_written_anew():
    async def check(model):
        model.rows.put(WITHDRAWALS, row_name(JOB), b"\xc1")
        with pytest.raises(NotFoundError):
            await cancel(model.hosts[0])
        assert decode_withdrawal(mark(model).value).at > 0

    run_with_model(check)


# Purge


@pytest.mark.parametrize("value", [None, b"\xc1"])
def test_marks_are_removed_after_their_retention(value):
    async def check(model):
        for number in range(3):
            with pytest.raises(NotFoundError):
                await cancel(model.hosts[number], JobId(f"{number:016x}"))
        if value is not None:
            model.rows.put(WITHDRAWALS, row_name(JobId(f"{2:016x}")), value)
        await asyncio.sleep(RETENTION - 1.0)
        assert len(model.rows.tables[WITHDRAWALS]) == 3
        await asyncio.sleep(1.0 + 2 * PURGE_SECONDS)
        assert model.rows.tables[WITHDRAWALS] == {}

    run_with_short_retention(check)


def test_marks_are_removed_by_a_successor():
    async def check(model):
        with pytest.raises(NotFoundError):
            await cancel(model.hosts[0])
        await asyncio.sleep(RETENTION / 2)
        await model.leader().kill()
        await asyncio.sleep(RETENTION)
        assert mark(model) is None

    run_with_short_retention(check)


def test_more_marks_than_a_transaction_holds_are_removed():
    async def check(model):
        for number in range(120):
            job = JobId(f"{number:016x}")
            model.rows.put(WITHDRAWALS, row_name(job), b"\x91\x00")
        await asyncio.sleep(PURGE_SECONDS)
        assert model.rows.tables[WITHDRAWALS] == {}

    run_with_short_retention(check)


class HeldWrites:
    """Keep the transactions of a host, which get no answer, to apply them later."""

    def __init__(self, model, host):
        self.rows = model.rows
        self.held = []
        host.store._apply_later = lambda *call: self.held.append(call)

    def apply(self):
        """Apply the transactions, and return their outcomes."""
        return {self.rows.apply(*call).outcome for call in self.held}


# Guards against a late write that finds the mark removed.
def test_no_acceptance_from_before_a_purge_is_applied_after_it():
    async def check(model):
        first, second, _ = model.hosts
        writes = HeldWrites(model, first)
        await lose_acceptance(first)
        with pytest.raises(NotFoundError):
            await cancel(second)
        await asyncio.sleep(RETENTION + PURGE_SECONDS)
        assert mark(model) is None
        assert writes.apply() == {Outcome.MISMATCH}
        assert model.state(JOB) is None

    run_with_short_retention(check)


# Guards against a repetition that is applied after the row of its job was removed.
def test_no_acceptance_is_applied_after_the_purge_of_its_ended_job():
    async def check(model):
        first, second, _ = model.hosts
        writes = HeldWrites(model, first)
        await lose_acceptance(first)
        await accept(second)
        await asyncio.sleep(3 * RETENTION)
        assert model.state(JOB) is None
        assert len(starts(model)) > 0
        assert writes.apply() == {Outcome.MISMATCH}

    run_with_short_retention(check)


def test_a_purge_waits_until_a_new_epoch_has_begun():
    async def check(model):
        with pytest.raises(NotFoundError):
            await cancel(model.hosts[0])
        model.leader().store.lost_answer_share = 1.0
        model.leader().store.late_commit_share = 1.0
        for _ in range(100):
            await asyncio.sleep(RETENTION / 50)
            epoch = model.rows.row(INTAKE_EPOCHS, EPOCH_ROW)
            assert epoch is not None or mark(model) is not None

    run_with_short_retention(check)


# Epochs


def begin_epoch(model):
    model.rows.put(INTAKE_EPOCHS, EPOCH_ROW, b"\x01")


def test_a_job_is_accepted_by_a_host_that_does_not_know_the_epoch():
    async def check(model):
        for number, host in enumerate([*model.hosts, *model.hosts]):
            begin_epoch(model)
            job = JobId(f"{number:016x}")
            await accept(host, job)
            assert model.state(job) is not None
        await accept(model.hosts[0], JobId(f"{0:016x}"))

    run_with_model(check)


# Guards against jobs that are reported as accepted, but were not stored since another
# call had learned of the epoch before.
def test_jobs_that_meet_a_new_epoch_at_the_same_time_are_all_stored():
    async def check(model):
        host = model.hosts[0]
        jobs = [JobId(f"{number:016x}") for number in range(20)]
        for first in range(0, len(jobs), 5):
            begin_epoch(model)
            await asyncio.gather(*(accept(host, job) for job in jobs[first:][:5]))
        assert [job for job in jobs if model.state(job) is None] == []

    run_with_model(check)


def test_a_job_whose_acceptance_was_applied_is_accepted_under_a_later_epoch():
    async def check(model):
        host = model.hosts[0]
        host.store.lost_answer_share = 1.0
        accepting = asyncio.create_task(accept(host))
        await asyncio.sleep(0.1)
        assert model.state(JOB) is not None
        begin_epoch(model)
        host.store.lost_answer_share = 0.0
        await accepting

    run_with_model(check)


# Guards against a host that was suspended and accepts a job under a later epoch, after
# its cancellation and the purge of the mark.
def test_an_acceptance_is_not_taken_to_a_new_epoch_after_a_suspension():
    async def check(model):
        host = model.hosts[0]
        begin_epoch(model)
        times = iter([boot_time(), boot_time(), boot_time() + 300.0])
        with (
            mock.patch.object(
                intake_module, "boot_time", lambda: next(times, boot_time() + 300.0)
            ),
            pytest.raises(RetryLaterError),
        ):
            await accept(host)
        assert model.rows.row(PROGRESS, row_name(JOB)) is None

    run_with_model(check)


# Limits


# Guards against marks without a bound, which any client could write.
def test_many_cancellations_of_unknown_jobs_store_few_marks():
    async def check(model):
        host = model.hosts[0]
        acknowledged, refused = [], []
        began_at = monotonic()

        async def cancel_all(numbers):
            for number in numbers:
                job = JobId(f"{number:016x}")
                try:
                    await cancel(host, job)
                except NotFoundError:
                    acknowledged.append(job)
                except RetryLaterError as error:
                    assert error.code is ResultCode.TOO_MANY_CANCELLATIONS
                    refused.append(job)

        await asyncio.gather(*(cancel_all(range(i, 2000, 50)) for i in range(50)))
        seconds = monotonic() - began_at
        assert len(acknowledged) + len(refused) == 2000
        marks = model.rows.tables[WITHDRAWALS]
        assert marks.keys() == set(acknowledged)
        assert len(marks) <= ACCOUNT_SHARE * RATE * (BURST_SECONDS + seconds)
        with pytest.raises(NotFoundError):
            await cancel(host, JobId(f"{9999:016x}"), key="key-second")

    run_with_model(check)


def test_the_limit_of_marks_holds_for_each_account_and_for_all():
    async def check():
        limit = WithdrawalLimit(IntakeSettings())
        taken = 0
        for number in range(100):
            account = ClientAccountId(f"account-{number % 4}")
            try:
                limit.take(account)
            except TooManyWithdrawalsError as error:
                assert error.seconds <= 1 / (ACCOUNT_SHARE * RATE)
                continue
            taken += 1
        assert taken == RATE * BURST_SECONDS
        await asyncio.sleep(60.0)
        limit.take(ClientAccountId("account-0"))
        assert list(limit.by_account) == ["account-0"]

    run_virtual(check())


def test_a_limited_cancellation_does_not_keep_stored_jobs_from_being_cancelled():
    async def check(model):
        host = model.hosts[0]
        await accept(host)
        with pytest.raises(RetryLaterError):
            for number in range(100):
                try:
                    await cancel(host, JobId(f"{number:016x}"))
                except NotFoundError:
                    continue
        await cancel(host)
        assert model.state(JOB) is JobState.CANCELLED

    run_with_model(check)
