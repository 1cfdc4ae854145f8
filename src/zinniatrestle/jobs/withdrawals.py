"""Marks of jobs that were cancelled before any host had stored them.

A write of an acceptance that got no answer may be applied seconds later. It expects
that its job has no mark, so a job whose cancellation has stored one is never accepted.
"""

from collections.abc import Callable
from dataclasses import dataclass

import msgspec

from zinniatrestle.clock import boot_time
from zinniatrestle.decoding import decode_msgpack
from zinniatrestle.deployment import Deployment
from zinniatrestle.errors import (
    MalformedInputError,
    NotRunError,
    ResultCode,
    SettingsError,
    StoreUnavailableError,
    StoreUncertainError,
    UnknownOutcomeError,
)
from zinniatrestle.events import Event, EventLog, RejectionLog
from zinniatrestle.ids import (
    BootSeconds,
    ClientAccountId,
    JobId,
    RowName,
    RowVersion,
    StoreMilliseconds,
    TableName,
)
from zinniatrestle.jobs.messages import PROGRESS, row_name
from zinniatrestle.rows import ABSENT, Expect, RowStore, TransactionResult, Write
from zinniatrestle.rows.retries import transact_with_retries

WITHDRAWALS = TableName("withdrawn")
# The version of this row is expected by each acceptance and changes before rows are
# removed that keep an acceptance from being applied.
INTAKE_EPOCHS = TableName("intake")
EPOCH_ROW = RowName("epoch")
# Marks that a host stores at once, as a time of its rate.
BURST_SECONDS = 4.0
# Share of the marks of a host for one client account.
ACCOUNT_SHARE = 0.5
# A mark that is older than this share of the retention is written anew.
REFRESH_SHARE = 0.5
MS_PER_SECOND = 1000.0


@dataclass(frozen=True)
class IntakeSettings:
    """Settings of the intake of jobs.

    `unknown_cancel_rate` is the number of cancellations of unknown jobs that a host
    stores in a second. With the retention it bounds the number of stored marks.
    """

    unknown_cancel_rate: float = 4.0

    def check(self, error: Callable[[str, str], SettingsError]):
        """Check the settings; raises what `error` returns for a name and a problem."""
        if not 0 < self.unknown_cancel_rate < float("inf"):
            raise error(
                "unknown_cancel_rate",
                "The unknown_cancel_rate must be finite and greater than 0.",
            )


class WithdrawalError(NotRunError):
    """Base of the errors about marks; `seconds` is after which time to try again."""

    def __init__(self, detail: str, seconds: float):
        super().__init__(detail, self.code)
        self.seconds = seconds


class WithdrawnError(WithdrawalError):
    """Signal a job that is not accepted, since it was cancelled before."""

    code = ResultCode.JOB_WITHDRAWN


class TooManyWithdrawalsError(WithdrawalError):
    """Signal a cancellation of an unknown job that was not carried out."""

    code = ResultCode.TOO_MANY_CANCELLATIONS


class Withdrawal(msgspec.Struct, frozen=True, array_like=True):
    """The mark of a job: when it was cancelled, in ms of the store's clock."""

    at: StoreMilliseconds


def decode_withdrawal(value: bytes) -> Withdrawal:
    """Decode a mark from the store; raises MalformedInputError."""
    return decode_msgpack(value, Withdrawal, "The mark of a cancelled job")


class IntakeEpoch:
    """What a host knows of the epoch under which it accepts jobs."""

    def __init__(self):
        self.version = ABSENT

    def expectation(self) -> Expect:
        """Return the check that each acceptance carries."""
        return Expect(INTAKE_EPOCHS, EPOCH_ROW, self.version)

    def update(self, result: TransactionResult):
        """Take the epoch from a transaction that did not apply."""
        row = result.current.get((INTAKE_EPOCHS, EPOCH_ROW))
        self.version = row.version if row is not None else ABSENT


async def begin_epoch(store: RowStore, fence: Expect, timeout: float) -> RowVersion:
    """Begin an epoch, so that no earlier write of an acceptance can be applied.

    Raises StoreUnavailableError and StoreUncertainError, in which case it may have
    begun or may begin yet.
    """
    now = StoreMilliseconds(int(store.clock.earliest(boot_time())))
    write = Write(INTAKE_EPOCHS, EPOCH_ROW, msgspec.msgpack.encode(now))
    result = await store.transact([fence], [write], timeout)
    if not result.applied:
        raise StoreUnavailableError("Another host has acquired the lease.")
    return result.version


class TokenBucket:
    """A rate limit, in calls a second, that lets some through at once."""

    def __init__(self, rate: float):
        self.rate = rate
        self.burst = max(1.0, rate * BURST_SECONDS)
        self.tokens = self.burst
        self.filled_at = BootSeconds(boot_time())

    def seconds_until_free(self) -> float:
        """Return after how many seconds one more is let through."""
        now = boot_time()
        added = max(0.0, now - self.filled_at) * self.rate
        self.tokens = min(self.burst, self.tokens + added)
        self.filled_at = BootSeconds(now)
        return max(0.0, (1.0 - self.tokens) / self.rate)

    def take(self):
        """Count one as let through."""
        self.tokens -= 1.0


class WithdrawalLimit:
    """Limit the marks that a host stores, and those of each client account."""

    def __init__(self, settings: IntakeSettings):
        self.settings = settings
        self.all_accounts = TokenBucket(settings.unknown_cancel_rate)
        self.by_account: dict[ClientAccountId, TokenBucket] = {}

    def take(self, account: ClientAccountId):
        """Count a mark of an account; raises TooManyWithdrawalsError."""
        self._drop_full_buckets()
        bucket = self.by_account.get(account)
        if bucket is None:
            bucket = TokenBucket(self.settings.unknown_cancel_rate * ACCOUNT_SHARE)
            self.by_account[account] = bucket
        seconds = max(
            bucket.seconds_until_free(), self.all_accounts.seconds_until_free()
        )
        if seconds > 0.0:
            raise TooManyWithdrawalsError(
                "Too many unknown jobs are being cancelled; this one is not.", seconds
            )
        bucket.take()
        self.all_accounts.take()

    def _drop_full_buckets(self):
        """Forget the accounts that have cancelled nothing unknown for some time."""
        for account, bucket in list(self.by_account.items()):
            bucket.seconds_until_free()
            if bucket.tokens >= bucket.burst:
                del self.by_account[account]


class Withdrawals:
    """Store marks of cancelled jobs that have no row."""

    def __init__(
        self,
        store: RowStore,
        events: EventLog,
        deployment: Deployment,
        settings: IntakeSettings,
    ):
        self.store = store
        self.events = events
        self.retention_ms = deployment.bounds.status_retention * MS_PER_SECOND
        self.limit = WithdrawalLimit(settings)
        self.rejections = RejectionLog(events, f"table {WITHDRAWALS}")

    def refusal(self) -> WithdrawnError:
        """Return the error for the acceptance of a job that has a mark."""
        return WithdrawnError(
            "The job was cancelled before it was accepted; submit it under another id.",
            self.retention_ms / MS_PER_SECOND,
        )

    async def withdraw(
        self, job: JobId, account: ClientAccountId, give_up_at: float
    ) -> bool:
        """Return whether a job has a mark now; else it has been stored meanwhile.

        Raises StoreUnavailableError, TooManyWithdrawalsError and UnknownOutcomeError.
        """
        name = row_name(job)
        row = await self.store.row(WITHDRAWALS, name)
        version = ABSENT
        if row is not None:
            if self._is_recent(row.name, row.value):
                return True
            version = row.version
        self.limit.take(account)
        now = StoreMilliseconds(int(self.store.clock.earliest(boot_time())))
        expects = [Expect(PROGRESS, name), Expect(WITHDRAWALS, name, version)]
        mark = Write(WITHDRAWALS, name, msgspec.msgpack.encode(Withdrawal(now)))
        try:
            result = await transact_with_retries(
                self.store, expects, [mark], give_up_at
            )
        except StoreUncertainError as error:
            raise UnknownOutcomeError(error.detail) from error
        if not result.applied:
            return False
        self.events.write(
            Event.JOB_WITHDRAWN, job=job, account=account, version=result.version
        )
        return True

    def _is_recent(self, name: RowName, value: bytes) -> bool:
        """Return whether a mark lasts long enough to be relied on."""
        try:
            withdrawal = decode_withdrawal(value)
        except MalformedInputError as error:
            self.rejections.reject(name, error.detail)
            return False
        age_ms = self.store.clock.latest(boot_time()) - withdrawal.at
        return 0 <= age_ms < self.retention_ms * REFRESH_SHARE
