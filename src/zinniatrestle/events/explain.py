"""Find in log lines what happened to one job, and why."""

from collections.abc import Iterable, Iterator
from typing import Any

import msgspec

from zinniatrestle.events.messages import Event

# Events about workers that explain what a job's runs met there.
WORKER_EVENTS = frozenset(
    {
        Event.WORKER_SILENT.value,
        Event.WORKER_GONE.value,
        Event.WORKER_QUARANTINED.value,
    }
)
# Events about the scheduler that explain why nothing was decided.
SCHEDULER_EVENTS = frozenset(
    {
        Event.LEASE_TAKEN.value,
        Event.LEASE_LOST.value,
        Event.EVACUATION.value,
        Event.HISTORY_LOST.value,
        Event.DEPENDENCY_LOST.value,
        Event.DEPENDENCY_REGAINED.value,
    }
)
HIDDEN_FIELDS = frozenset({"at", "host", "event"})

Line = dict[str, Any]


def read_lines(texts: Iterable[str]) -> Iterator[Line]:
    """Return the structured lines, whatever a collector has put before them."""
    for text in texts:
        start = text.find("{")
        if start < 0:
            continue
        try:
            line = msgspec.json.decode(text[start:].encode())
        except msgspec.DecodeError:
            # Other programs may write to the same log.
            continue
        if isinstance(line, dict) and "event" in line and "at" in line:
            yield line


def job_lines(lines: Iterable[Line], job: str) -> list[Line]:
    """Return the lines about a job, and those that explain what it met."""
    ordered = sorted(lines, key=lambda line: line["at"])
    own = [line for line in ordered if _is_about(line, job)]
    if not own:
        return []
    first, last = own[0]["at"], own[-1]["at"]
    workers = {line["worker"] for line in own if "worker" in line}
    found = []
    for line in ordered:
        if _is_about(line, job):
            found.append(line)
            continue
        if not first <= line["at"] <= last:
            continue
        if line["event"] in SCHEDULER_EVENTS:
            found.append(line)
            continue
        if line["event"] in WORKER_EVENTS and line.get("worker") in workers:
            found.append(line)
    return found


def cause(lines: list[Line], job: str) -> str:
    """Return the likely cause of a job's fate in one sentence."""
    own = [line for line in lines if _is_about(line, job)]
    events = [line["event"] for line in own]
    if Event.JOB_ACCEPTED.value not in events:
        return _refusal(own)
    ended = [line for line in own if line["event"] == Event.JOB_ENDED.value]
    parts = []
    if ended:
        parts.append(f"It ended as {ended[-1]['state']}: {ended[-1]['reason']}.")
    else:
        parts.append("It has not ended.")
    parts.extend(_waits(own))
    parts.extend(_reruns(own))
    return " ".join(parts)


def _refusal(own: list[Line]) -> str:
    refusals = [line for line in own if line["event"] == Event.REQUEST_REFUSED.value]
    if not refusals:
        return "No host has accepted it in these lines."
    last = refusals[-1]
    return f"It was refused by {last['host']}: {last['reason']}."


def _waits(own: list[Line]) -> list[str]:
    accepted = min(
        line["at"] for line in own if line["event"] == Event.JOB_ACCEPTED.value
    )
    placed = [line for line in own if line["event"] == Event.RUN_PLACED.value]
    if not placed:
        return ["Nothing of it was placed."]
    waited = placed[0]["at"] - accepted
    return [f"Its first run was placed {waited:.2f} s after it was accepted."]


def _reruns(own: list[Line]) -> list[str]:
    reasons: dict[str, int] = {}
    for line in own:
        event = line["event"]
        if event == Event.RUN_ENDED.value and line["how"] != "done":
            text = f"ended {line['how']} at {line['worker']}"
        elif event in (Event.RUN_LOST.value, Event.RUN_STOPPED.value):
            text = f"{event.removeprefix('run_')}: {line['reason']}"
        elif event == Event.RUN_REFUSED.value:
            text = f"refused by {line['worker']}: {line['reason']}"
        elif event == Event.RUN_UNANSWERED.value:
            text = f"order without an answer at {line['worker']}"
        else:
            continue
        reasons[text] = reasons.get(text, 0) + 1
    if not reasons:
        return []
    told = ", ".join(f"{text} ({count})" for text, count in reasons.items())
    return [f"Runs that did not end well: {told}."]


def render(line: Line, since: float) -> str:
    """Return a line as text, with seconds since the job's first line."""
    fields = " ".join(
        f"{name}={value}" for name, value in line.items() if name not in HIDDEN_FIELDS
    )
    return f"{line['at'] - since:+9.3f}  {line['host']}  {line['event']}  {fields}"


def _is_about(line: Line, job: str) -> bool:
    if line.get("job") == job:
        return True
    return str(line.get("task", "")).startswith(job + ".")
