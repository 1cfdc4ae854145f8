"""Checks of recorded request histories for at-most-once semantics."""

from collections import defaultdict

import msgspec

from zinniatrestle.errors import ResultCode
from zinniatrestle.requests import Answer, KeyState
from zinniatrestle.standins.messages import Run
from zinniatrestle.standins.minion import MinionAnswer

NOT_RUN_CODES = frozenset(
    {
        ResultCode.NOT_RUN,
        ResultCode.QUEUE_FULL,
        ResultCode.DEADLINE_PASSED,
        ResultCode.NO_UPSTREAM,
        ResultCode.ACCOUNT_RETIRED,
        ResultCode.ACCOUNT_UNCONFIRMED,
        ResultCode.CLAIMS_UNAVAILABLE,
        ResultCode.NO_CONFIGURATION,
    }
)


class RecordedRequest(msgspec.Struct):
    """A request and its answer, as seen by the caller; its body is the key."""

    key: str
    answer: Answer


class HistoryError(AssertionError):
    """Signal a history that violates at-most-once semantics."""


def check_at_most_once(requests: list[RecordedRequest], runs: list[Run]):
    """Check the runs and answers of each key; raises HistoryError.

    A key runs at most once, its successful answers are those of its own run, and a
    key that was closed as not run, or was only refused, has no run.
    """
    runs_by_key = defaultdict(list)
    for run in runs:
        if run.kind == "enrol":
            runs_by_key[run.body].append(run)
    answers_by_key = defaultdict(list)
    for entry in requests:
        answers_by_key[entry.key].append(entry.answer)
    for key, key_runs in runs_by_key.items():
        if len(key_runs) > 1:
            raise HistoryError(f"key {key} ran {len(key_runs)} times")
    for key, answers in answers_by_key.items():
        _check_key(key, answers, runs_by_key[key])


def _check_key(key: str, answers: list[Answer], runs: list[Run]):
    done = [answer for answer in answers if answer.code is ResultCode.OK]
    for answer in done:
        minion_answer = msgspec.json.decode(answer.body, type=MinionAnswer)
        if (
            not runs
            or minion_answer.attempt != runs[0].attempt
            or minion_answer.body != key
        ):
            raise HistoryError(f"key {key} got the answer of another run")
    closed = [answer for answer in answers if _closed_as_not_run(answer)]
    if closed and runs:
        raise HistoryError(f"key {key} was closed as not run, but it ran")
    if runs and all(answer.code in NOT_RUN_CODES for answer in answers):
        raise HistoryError(f"key {key} was refused by every answer, but it ran")


def _closed_as_not_run(answer: Answer) -> bool:
    return answer.key_state is KeyState.CLOSED and answer.code in NOT_RUN_CODES
