"""Check recorded histories of requests against what must always hold."""

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
    """One request as its caller saw it; its body names the key."""

    key: str
    answer: Answer


class HistoryError(AssertionError):
    """Signal a history that breaks a promise."""


def check_at_most_once(asked: list[RecordedRequest], runs: list[Run]):
    """Check runs and answers of at-most-once requests, key by key."""
    runs_of = defaultdict(list)
    for run in runs:
        if run.kind == "enrol":
            runs_of[run.body].append(run)
    answers_of = defaultdict(list)
    for entry in asked:
        answers_of[entry.key].append(entry.answer)
    for key, found in runs_of.items():
        if len(found) > 1:
            raise HistoryError(f"key {key} ran {len(found)} times")
    for key, answers in answers_of.items():
        _check_key(key, answers, runs_of[key])


def _check_key(key: str, answers: list[Answer], runs: list[Run]):
    done = [answer for answer in answers if answer.code is ResultCode.OK]
    for answer in done:
        told = msgspec.json.decode(answer.body, type=MinionAnswer)
        if not runs or told.attempt != runs[0].attempt or told.body != key:
            raise HistoryError(f"key {key} got an answer that is not its own")
    closed = [answer for answer in answers if _closed_as_not_run(answer)]
    if closed and runs:
        raise HistoryError(f"key {key} was closed as not run and ran")
    if runs and all(answer.code in NOT_RUN_CODES for answer in answers):
        raise HistoryError(f"key {key} was only ever refused and ran")


def _closed_as_not_run(answer: Answer) -> bool:
    return answer.key_state is KeyState.CLOSED and answer.code in NOT_RUN_CODES
