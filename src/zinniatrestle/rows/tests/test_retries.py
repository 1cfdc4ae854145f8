"""Outcomes of retried transactions are reported correctly, however the tries end."""

import asyncio

import pytest

from zinniatrestle.clock import monotonic
from zinniatrestle.errors import StoreUnavailableError, StoreUncertainError
from zinniatrestle.ids import RowName, TableName
from zinniatrestle.rows import ABSENT, Expect, TransactionResult, Write
from zinniatrestle.rows.retries import HEDGE_DELAY_SECONDS, transact_with_retries
from zinniatrestle.standins.model import run_virtual
from zinniatrestle.standins.rows import HostRows, MemoryRows

TABLE = TableName("table")
NAME = RowName("row")
GIVE_UP_SECONDS = 1.5
SILENT = 60.0


class ScriptedRows(HostRows):
    """A store on which each try does the next action of a script.

    The actions are answer, lose, slow, refuse, hang and connect (no connection).
    """

    def __init__(self, rows: MemoryRows, *script: str):
        super().__init__(rows)
        self.script = list(script)
        self.started_at: list[float] = []

    async def transact(self, expects, writes, timeout) -> TransactionResult:
        """Perform the next action of the script."""
        self.started_at.append(monotonic())
        action = self.script.pop(0) if self.script else "answer"
        if action == "refuse":
            raise StoreUnavailableError("refused")
        if action == "hang":
            await asyncio.sleep(timeout)
            raise StoreUncertainError("no answer")
        if action == "connect":
            await asyncio.sleep(timeout)
            raise StoreUnavailableError("no connection")
        result = self.rows.apply(expects, writes)
        if action == "lose":
            await asyncio.sleep(timeout)
            raise StoreUncertainError("the answer was lost")
        if action == "slow":
            await asyncio.sleep(0.9)
        return result


def run_transaction(*script, prepare=None, max_refusal_seconds=0.25):
    """Return the outcome of a transaction, its seconds and the store."""

    async def play():
        rows = MemoryRows()
        if prepare is not None:
            prepare(rows)
        store = ScriptedRows(rows, *script)
        started_at = monotonic()
        try:
            outcome = await transact_with_retries(
                store,
                [Expect(TABLE, NAME, ABSENT)],
                [Write(TABLE, NAME, b"mine")],
                monotonic() + GIVE_UP_SECONDS,
                max_refusal_seconds,
            )
        except (StoreUnavailableError, StoreUncertainError) as error:
            outcome = type(error)
        return outcome, monotonic() - started_at, store

    return run_virtual(play())


@pytest.mark.parametrize(
    "script, max_seconds",
    [
        ((), 0.01),
        (("refuse",), 0.15),
        (("lose",), HEDGE_DELAY_SECONDS + 0.01),
        (("hang",), HEDGE_DELAY_SECONDS + 0.01),
        (("hang", "hang"), 2 * HEDGE_DELAY_SECONDS + 0.01),
        (("slow",), 0.91),
        (("lose", "lose", "lose"), 3 * HEDGE_DELAY_SECONDS + 0.01),
    ],
)
def test_a_transaction_applies_once_and_in_time(script, max_seconds):
    result, seconds, store = run_transaction(*script)
    assert result.applied
    assert seconds <= max_seconds
    assert store.rows.row(TABLE, NAME).value == b"mine"
    assert store.rows.version == 1


def test_a_try_without_an_answer_is_hedged():
    _, _, store = run_transaction("hang", "slow")
    assert store.started_at[1] - store.started_at[0] == pytest.approx(
        HEDGE_DELAY_SECONDS, abs=0.01
    )


def test_a_mismatch_returns_the_row_of_another_writer():
    def prepare(rows):
        rows.put(TABLE, NAME, b"theirs")

    result, _, _ = run_transaction("hang", prepare=prepare)
    assert not result.applied
    assert result.current[(TABLE, NAME)].value == b"theirs"


@pytest.mark.parametrize(
    "script, error",
    [
        (("refuse",) * 99, StoreUnavailableError),
        (("connect",) * 9, StoreUnavailableError),
        (("hang",) * 9, StoreUncertainError),
        (("lose", *("refuse",) * 99), StoreUncertainError),
        (("refuse", *("hang",) * 9), StoreUncertainError),
        (("connect", *("hang",) * 9), StoreUncertainError),
    ],
)
def test_a_failure_shows_whether_the_transaction_may_have_applied(script, error):
    outcome, seconds, store = run_transaction(*script)
    assert outcome is error
    assert seconds <= GIVE_UP_SECONDS + 0.1
    if error is StoreUnavailableError:
        assert store.rows.row(TABLE, NAME) is None


def test_refused_calls_are_repeated_no_longer_than_allowed():
    _, seconds, _ = run_transaction(*("refuse",) * 99, max_refusal_seconds=0.25)
    assert seconds <= 0.36
