"""Events of a model's workers and lines of its hosts, for tests of what runs when."""

from typing import Any

from zinniatrestle.standins.model import Model
from zinniatrestle.standins.runs import EventKind, WorkerEvent


def start_events(model: Model, task_prefix: str = "") -> list[WorkerEvent]:
    """Return the starts of the tasks whose ids have a prefix, in order of time."""
    found = []
    for event in model.fleet.history:
        if event.kind is EventKind.START and event.task.startswith(task_prefix):
            found.append(event)
    return found


def start_times(model: Model, task_prefix: str = "") -> list[float]:
    """Return the times of these starts."""
    return [event.at for event in start_events(model, task_prefix)]


def lines_of(model: Model, event: str, **fields: Any) -> list[dict[str, Any]]:
    """Return the lines of an event with these fields."""
    found = []
    for line in model.lines:
        if line["event"] != event:
            continue
        if all(line.get(name) == value for name, value in fields.items()):
            found.append(line)
    return found
