"""Explain from structured log lines what happened to a job, and why."""

from collections.abc import Iterable, Iterator
from typing import Any

from zinniatrestle.decoding import decode_json
from zinniatrestle.errors import MalformedInputError
from zinniatrestle.events.messages import Event

# Worker events that explain what happened to a job's runs on a worker.
WORKER_EVENTS = frozenset(
    {
        Event.RUN_UNANSWERED.value,
        Event.WORKER_SILENT.value,
        Event.WORKER_GONE.value,
        Event.WORKER_QUARANTINED.value,
        Event.WORKER_UNUSABLE.value,
    }
)
# Scheduler events that explain why no decisions were made.
SCHEDULER_EVENTS = frozenset(
    {
        Event.LEASE_TAKEN.value,
        Event.LEASE_LOST.value,
        Event.STATE_LOADED.value,
        Event.EVACUATION.value,
        Event.HISTORY_LOST.value,
        Event.DEPENDENCY_LOST.value,
        Event.DEPENDENCY_REGAINED.value,
    }
)
HIDDEN_FIELDS = frozenset({"at", "host", "event"})

Line = dict[str, Any]


def read_lines(raw_lines: Iterable[str]) -> Iterator[Line]:
    """Yield the structured lines, without the prefix that a log collector adds."""
    for text in raw_lines:
        start = text.find("{")
        if start < 0:
            continue
        try:
            line = decode_json(text[start:].encode(errors="replace"), dict, "A line")
        except MalformedInputError:
            # Not an event: other programs may write to the same log.
            continue
        if "event" in line and isinstance(line.get("at"), int | float):
            yield line


def job_lines(lines: Iterable[Line], job: str) -> list[Line]:
    """Return the lines about a job, with related scheduler and worker events.

    Related events are those between the job's first and last line, and of workers
    only those that the job used or waited for. Of a worker that became unusable before,
    the last such line is related as well.
    """
    ordered = sorted(lines, key=lambda line: line["at"])
    job_events = [line for line in ordered if _concerns_job(line, job)]
    if not job_events:
        return []
    first, last = job_events[0]["at"], job_events[-1]["at"]
    workers: set[str] = set()
    for line in job_events:
        workers.update(_workers_of(line))
    earlier: dict[str, Line] = {}
    for line in ordered:
        if line["at"] >= first:
            break
        if line["event"] == Event.WORKER_UNUSABLE.value and line["worker"] in workers:
            earlier[line["worker"]] = line
    selected = sorted(earlier.values(), key=lambda line: line["at"])
    for line in ordered:
        if _concerns_job(line, job):
            selected.append(line)
            continue
        if not first <= line["at"] <= last:
            continue
        if line["event"] in SCHEDULER_EVENTS:
            selected.append(line)
            continue
        if line["event"] in WORKER_EVENTS and line.get("worker") in workers:
            selected.append(line)
    return selected


def first_line(lines: Iterable[Line], job: str) -> Line:
    """Return the first of `job_lines` that is about the job itself."""
    return next(line for line in lines if _concerns_job(line, job))


def cause(lines: list[Line], job: str) -> str:
    """Return a short text on how a job ended, and the likely cause."""
    job_events = [line for line in lines if _concerns_job(line, job)]
    events = [line["event"] for line in job_events]
    if Event.JOB_ACCEPTED.value not in events:
        return _refusal(job_events)
    ended = [line for line in job_events if line["event"] == Event.JOB_ENDED.value]
    sentences = []
    if ended:
        sentences.append(f"It ended as {ended[-1]['state']}: {ended[-1]['reason']}.")
    else:
        sentences.append("It has not ended.")
    sentences.extend(_placement_delay(job_events))
    sentences.extend(_waits(job_events))
    sentences.extend(_incomplete_runs(job_events))
    return " ".join(sentences)


def _refusal(job_events: list[Line]) -> str:
    withdrawn = [
        line for line in job_events if line["event"] == Event.JOB_WITHDRAWN.value
    ]
    if withdrawn:
        host = withdrawn[-1]["host"]
        return f"It was cancelled at {host} before any host had accepted it."
    refusals = [
        line for line in job_events if line["event"] == Event.REQUEST_REFUSED.value
    ]
    if not refusals:
        return "These lines have no acceptance or refusal of it."
    last = refusals[-1]
    return f"It was refused by {last['host']}: {last['reason']}."


def _placement_delay(job_events: list[Line]) -> list[str]:
    accepted = min(
        line["at"] for line in job_events if line["event"] == Event.JOB_ACCEPTED.value
    )
    placed = [line for line in job_events if line["event"] == Event.RUN_PLACED.value]
    if not placed:
        return ["None of its runs was placed."]
    waited = placed[0]["at"] - accepted
    return [f"Its first run was placed {waited:.2f} s after it was accepted."]


def _waits(job_events: list[Line]) -> list[str]:
    """Return what the job waited for while nothing of it ran, and for how long."""
    longest: dict[str, float] = {}
    idle: list[float] = []
    for line in job_events:
        if line["event"] != Event.JOB_WAITS.value or "since" not in line:
            continue
        if line.get("job_runs"):
            continue
        text = line["reason"]
        if line.get("for_job"):
            text += f" for job {line['for_job']}"
        if line.get("held_by"):
            text += f" {line['held_by']} {line['held_status']}"
        if line.get("held_worker"):
            text += f" at {line['held_worker']}"
        if line.get("lost_worker"):
            text += (
                f", of which run {line['lost_run']} was lost at {line['lost_worker']} "
                f"({line['lost_worker_state']})"
            )
        for worker, condition in line.get("unusable", {}).items():
            text += f" {worker} {condition}"
        longest[text] = max(longest.get(text, 0.0), line["since"])
        if line["despite_room"]:
            idle.append(line["idle"])
    if not longest:
        return []
    summary = ", ".join(f"{text} ({since:.1f} s)" for text, since in longest.items())
    sentences = [f"It waited for: {summary}."]
    if idle:
        sentences.append(
            f"Up to {max(idle):.0%} of the capacity was free then, with room for it "
            "twice."
        )
    return sentences


def _incomplete_runs(job_events: list[Line]) -> list[str]:
    reasons: dict[str, int] = {}
    for line in job_events:
        event = line["event"]
        if event == Event.RUN_ENDED.value and line["how"] != "done":
            text = f"ended {line['how']} at {line['worker']}"
        elif event in (Event.RUN_LOST.value, Event.RUN_STOPPED.value):
            text = f"{event.removeprefix('run_')}: {line['reason']}"
        elif event == Event.RUN_REFUSED.value:
            text = f"refused by {line['worker']}: {line['reason']}"
        elif event == Event.RUN_UNANSWERED.value:
            text = f"no answer from {line['worker']}"
            if line.get("order") == "stop":
                text += " to a stop"
        else:
            continue
        reasons[text] = reasons.get(text, 0) + 1
    if not reasons:
        return []
    summary = ", ".join(f"{text} ({count})" for text, count in reasons.items())
    return [f"Runs that did not complete: {summary}."]


def render(line: Line, since: float) -> str:
    """Format a line as text; its time is in seconds relative to `since`."""
    fields = " ".join(
        f"{name}={value}" for name, value in line.items() if name not in HIDDEN_FIELDS
    )
    return f"{line['at'] - since:+9.3f}  {line['host']}  {line['event']}  {fields}"


def _workers_of(line: Line) -> Iterator[str]:
    """Yield the workers that a line about a job names."""
    for name in ("worker", "held_worker", "lost_worker"):
        if line.get(name):
            yield line[name]
    yield from line.get("unusable", {})


def _concerns_job(line: Line, job: str) -> bool:
    if line.get("job") == job:
        return True
    return str(line.get("task", "")).startswith(job + ".")
