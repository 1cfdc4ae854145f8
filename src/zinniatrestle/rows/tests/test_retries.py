"""A transaction's fate is told truly, whatever becomes of its tries."""

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
    """Let each try do what a script says: answer, lose, refuse, hang."""

    def __init__(self, rows: MemoryRows, *script: str):
        super().__init__(rows)
        self.script = list(script)
        self.begun: list[float] = []

    async def transact(self, expects, writes, timeout) -> TransactionResult:
        """Do what is next in the script."""
        self.begun.append(monotonic())
        act = self.script.pop(0) if self.script else "answer"
        if act == "refuse":
            raise StoreUnavailableError("refused")
        if act == "hang":
            await asyncio.sleep(timeout)
            raise StoreUncertainError("no answer")
        if act == "connect":
            await asyncio.sleep(timeout)
            raise StoreUnavailableError("no connection")
        result = self.rows.apply(expects, writes)
        if act == "lose":
            await asyncio.sleep(timeout)
            raise StoreUncertainError("the answer was lost")
        if act == "slow":
            await asyncio.sleep(0.9)
        return result


def settle(*script, prepare=None, max_refusal_seconds=0.25):
    """Return what came of a transaction, its tries and the rows."""

    async def play():
        rows = MemoryRows()
        if prepare is not None:
            prepare(rows)
        store = ScriptedRows(rows, *script)
        begun = monotonic()
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
        return outcome, monotonic() - begun, store

    return run_virtual(play())


@pytest.mark.parametrize(
    "script, most_seconds",
    [
        ((), 0.01),
        (("refuse",), 0.15),
        (("lose",), HEDGE_DELAY_SECONDS + 0.01),
        (("hang",), HEDGE_DELAY_SECONDS + 0.01),
        (("hang", "hang"), 2 * HEDGE_DELAY_SECONDS + 0.01),
        (("slow",), 0.91),
    ],
)
def test_it_applies_once_and_soon(script, most_seconds):
    result, seconds, store = settle(*script)
    assert result.applied
    assert seconds <= most_seconds
    assert store.rows.row(TABLE, NAME).value == b"mine"
    assert store.rows.version == 1


def test_a_try_without_an_answer_gets_another_one_beside_it():
    _, _, store = settle("hang", "slow")
    assert store.begun[1] - store.begun[0] == pytest.approx(
        HEDGE_DELAY_SECONDS, abs=0.01
    )


def test_a_row_of_someone_else_is_told_as_it_is():
    def prepare(rows):
        rows.put(TABLE, NAME, b"theirs")

    result, _, _ = settle("hang", prepare=prepare)
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
def test_a_failure_tells_whether_it_may_have_applied(script, error):
    outcome, seconds, store = settle(*script)
    assert outcome is error
    assert seconds <= GIVE_UP_SECONDS + 0.1
    if error is StoreUnavailableError:
        assert store.rows.row(TABLE, NAME) is None


def test_a_store_that_turns_a_host_away_is_asked_no_longer_than_told():
    _, seconds, _ = settle(*("refuse",) * 99, max_refusal_seconds=0.25)
    assert seconds <= 0.36
