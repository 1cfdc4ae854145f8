"""Log why steps wait, within limits on the number of lines, and count the reasons."""

from typing import Any

from zinniatrestle.events import Event, EventLog
from zinniatrestle.ids import BootSeconds
from zinniatrestle.metrics import Metrics
from zinniatrestle.scheduling.preemption import HIGHEST_PRIORITY
from zinniatrestle.scheduling.state import Job, StepRun, Task, TaskStatus, Worker
from zinniatrestle.scheduling.unusable import unusable_reason
from zinniatrestle.scheduling.waits import (
    Room,
    Wait,
    WaitReason,
    is_at_work,
    is_known_to_run,
)

# Time in seconds for which nothing of a job runs before its steps are logged: short
# waits for capacity are normal, but 3 s of them can break the promise to callers.
LOGGED_WAIT_SECONDS = 2.0
# The same for a step of the highest priority that waits for an order or for a run to
# end. One that waits for room is logged at once.
URGENT_WAIT_SECONDS = 1.0
# Minimum time in seconds between two lines on a step of the highest priority, and on
# any other, to bound the log volume.
URGENT_REPEAT_SECONDS = 1.0
REPEAT_SECONDS = 3.0
# Interval in seconds at which all waiting steps are looked at; rounds may follow each
# other much faster.
SURVEY_SECONDS = 0.2
# Limit on the lines per survey, for urgent and for other steps, to bound their
# processor time.
MAX_LINES_PER_SURVEY = 4
# The same for a step of which tasks wait while others of its job run: time before its
# first line, minimum time between two lines, and limit on the lines per survey.
PARTIAL_WAIT_SECONDS = 3.0
PARTIAL_REPEAT_SECONDS = 10.0
MAX_PARTIAL_LINES_PER_SURVEY = 1
# Limit on the unusable workers that a line names.
MAX_NAMED_WORKERS = 5


class WaitLog:
    """Decide which waits are logged, and count the waiting steps by reason."""

    def __init__(self, events: EventLog, metrics: Metrics):
        self.events = events
        self.metrics = metrics
        self.now = BootSeconds(0.0)
        self.is_surveying = False
        self.surveyed_at = BootSeconds(float("-inf"))
        self.lines_left = self.urgent_lines_left = self.partial_lines_left = 0
        self.repeat_seconds = REPEAT_SECONDS
        self.urgent_repeat_seconds = URGENT_REPEAT_SECONDS
        # Since when each step has waited while nothing of its job ran.
        self.idle_since: dict[StepRun, BootSeconds] = {}
        self.still_idle: dict[StepRun, BootSeconds] = {}
        self.logged_at: dict[StepRun, BootSeconds] = {}
        # The reason last found for a step, and whether there was ample room for it.
        self.found: dict[StepRun, tuple[WaitReason, bool]] = {}
        self.job_is_idle: dict[Job, bool] = {}

    def begin_round(self, now: BootSeconds):
        """Start a round, and a survey if one is due."""
        self.now = now
        self.is_surveying = now - self.surveyed_at >= SURVEY_SECONDS
        if self.is_surveying:
            self.surveyed_at = now
            self.lines_left = self.urgent_lines_left = MAX_LINES_PER_SURVEY
            self.partial_lines_left = MAX_PARTIAL_LINES_PER_SURVEY
            urgent = sum(_is_urgent(step) for step in self.idle_since)
            others = len(self.idle_since) - urgent
            self.urgent_repeat_seconds = max(
                URGENT_REPEAT_SECONDS, _turn_seconds(urgent)
            )
            self.repeat_seconds = max(REPEAT_SECONDS, _turn_seconds(others))
            self.still_idle = {}
            self.job_is_idle = {}

    def is_due(self, step: StepRun, is_short: bool = False) -> bool:
        """Return whether to log why a step waits; to be called for each that waits.

        `is_short` states that such waits are usually too short to be of interest.
        """
        is_idle = self.is_surveying and self._is_idle(step)
        if is_idle:
            self.still_idle[step] = self.idle_since.get(step, self.now)
        since_logged = self.now - self.logged_at.get(step, float("-inf"))
        if _is_urgent(step):
            if is_short and not self._has_waited(step, URGENT_WAIT_SECONDS):
                return False
            if not self.urgent_lines_left or since_logged < self.urgent_repeat_seconds:
                return False
            self.urgent_lines_left -= 1
            return True
        if not is_idle:
            return self._is_partial_wait_due(step, since_logged)
        if not self.lines_left or since_logged < self.repeat_seconds:
            return False
        if not self._has_waited(step, LOGGED_WAIT_SECONDS):
            return False
        self.lines_left -= 1
        return True

    def _is_partial_wait_due(self, step: StepRun, since_logged: float) -> bool:
        """Return whether to log a step of which tasks wait while its job runs."""
        if not self.is_surveying or not self.partial_lines_left:
            return False
        if since_logged < PARTIAL_REPEAT_SECONDS:
            return False
        if step.waited(self.now) < PARTIAL_WAIT_SECONDS:
            return False
        self.partial_lines_left -= 1
        return True

    def _has_waited(self, step: StepRun, seconds: float) -> bool:
        idle_since = self.idle_since.get(step)
        return idle_since is not None and self.now - idle_since >= seconds

    def write(self, step: StepRun, wait: Wait, room: Room, **fields: Any):
        """Log why a step waits, with further fields."""
        now, shape = self.now, step.shape
        waiting = sum(
            task.status is not TaskStatus.DONE and not is_known_to_run(task)
            for task in step.tasks
        )
        has_ample_room = room.is_ample(waiting if shape.gang else 1)
        self.logged_at[step] = now
        self.found[step] = (wait.reason, has_ample_room)
        idle_since = self.idle_since.get(step, now)
        if wait.held_by is not None:
            fields.update(_held_fields(wait.held_by, now))
        if wait.unusable:
            fields["unusable_count"] = len(wait.unusable)
            fields["unusable"] = {
                worker.id: _unusable_text(worker, now)
                for worker in wait.unusable[:MAX_NAMED_WORKERS]
            }
        self.events.write(
            Event.JOB_WAITS,
            job=step.job.id,
            step=step.key,
            reason=wait.reason.value,
            since=round(now - idle_since, 2),
            ready=round(now - (step.ready_at or now), 2),
            job_runs=not self._is_idle(step),
            longest=round(step.waited(now), 2),
            for_job=wait.for_job,
            until=round(wait.until - now, 2) if wait.until is not None else None,
            priority=step.job.submission.priority,
            tasks=waiting,
            gang=shape.gang,
            cpu=shape.cpu,
            gpus=shape.gpus,
            rack=shape.data_rack,
            rack_bound=shape.rack_bound,
            slots_near=room.near,
            slots=room.anywhere,
            idle=round(room.idle_share, 2),
            despite_room=has_ample_room,
            **fields,
        )

    def end_round(self):
        """End a round; after a survey, forget the steps that no longer wait."""
        if not self.is_surveying:
            return
        for step, since in self.idle_since.items():
            # A step that was placed waits on until it runs: its start may be refused.
            if step.done or step.job.ended or not self._is_idle(step):
                continue
            self.still_idle[step] = since
        self.idle_since, self.still_idle = self.still_idle, {}
        self.job_is_idle = {}
        repeated = self.now - max(self.repeat_seconds, PARTIAL_REPEAT_SECONDS)
        for step, at in list(self.logged_at.items()):
            if step not in self.idle_since and at < repeated:
                del self.logged_at[step]
        counts = dict.fromkeys((reason.value for reason in WaitReason), 0)
        despite_room = 0
        self.found = {
            step: found for step, found in self.found.items() if step in self.idle_since
        }
        for reason, has_ample_room in self.found.values():
            counts[reason.value] += 1
            despite_room += has_ample_room
        self.metrics.steps_waiting = counts
        self.metrics.steps_waiting_despite_room = despite_room

    def close(self):
        """Clear the counts, since this host no longer schedules."""
        self.metrics.steps_waiting = {}
        self.metrics.steps_waiting_despite_room = 0

    def _is_idle(self, step: StepRun) -> bool:
        """Return whether nothing of a step's job runs.

        A long-running task is to run whether others of its job run or not.
        """
        if step.shape.long_running:
            return any(not is_known_to_run(task) for task in step.tasks)
        job = step.job
        if job not in self.job_is_idle:
            self.job_is_idle[job] = not any(
                is_at_work(other) for other in job.steps.values() if not other.done
            )
        return self.job_is_idle[job]


def _is_urgent(step: StepRun) -> bool:
    return step.job.submission.priority == HIGHEST_PRIORITY


def _turn_seconds(steps: int) -> float:
    """Return the time after which each of many waiting steps has had a line."""
    return steps * SURVEY_SECONDS / MAX_LINES_PER_SURVEY


def _held_fields(held_by: Task, now: BootSeconds) -> dict[str, Any]:
    """Return the fields on a run that a step waits for, and on its worker."""
    fields: dict[str, Any] = {
        "held_by": held_by.id,
        "held_status": held_by.status.value,
        "held_s": round(now - held_by.status_at, 2),
    }
    worker = held_by.worker
    if worker is None:
        return fields
    fields["held_worker"] = worker.id
    fields["held_silent"] = worker.silent
    if worker.reported_at:
        fields["held_reported"] = round(now - worker.reported_at, 2)
    if worker.missing_since is not None:
        fields["held_missing"] = round(now - worker.missing_since, 2)
    return fields


def _unusable_text(worker: Worker, now: BootSeconds) -> str:
    if worker.silent:
        return "silent"
    reason = unusable_reason(worker, now)
    return reason.value if reason is not None else "usable"
