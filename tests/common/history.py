"""Events of a model's workers, for tests of when and where tasks run."""

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
