"""Log why steps wait, within limits on the number of lines, and count the reasons."""

from collections import Counter
from dataclasses import dataclass
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
    does_new_work,
    is_at_work,
    is_known_to_run,
)

# Interval in seconds at which all waiting steps are looked at; rounds may follow each
# other much faster.
SURVEY_SECONDS = 0.2
# Limit on the unusable workers that a line names.
MAX_NAMED_WORKERS = 5


@dataclass(frozen=True)
class LineLimits:
    """Limits on the lines about waiting steps of one kind, in seconds and lines."""

    # How long a step waits before its first line.
    first_seconds: float
    # Minimum time between two lines about a step.
    repeat_seconds: float
    # Bounds the processor time of a survey.
    lines_per_survey: int


# Steps of the highest priority. One that waits for room is logged at once, one that
# waits for an order or for a run to end after `first_seconds`.
URGENT = LineLimits(first_seconds=1.0, repeat_seconds=1.0, lines_per_survey=4)
# Steps of which no task of the job runs: short waits for capacity are normal, but 3 s
# of them can break the promise to callers.
ORDINARY = LineLimits(first_seconds=2.0, repeat_seconds=3.0, lines_per_survey=4)
# Steps of which tasks wait while others of the job run.
PARTIAL = LineLimits(first_seconds=3.0, repeat_seconds=10.0, lines_per_survey=1)


class LineBudget:
    """Bound the lines of one survey so that each of many waiting steps has its turn."""

    def __init__(self, limits: LineLimits):
        self.limits = limits
        self.repeat_seconds = limits.repeat_seconds
        self.lines_left = 0

    def renew(self, steps: int):
        """Allow the lines of another survey, in which `steps` wait."""
        self.lines_left = self.limits.lines_per_survey
        turn_seconds = steps * SURVEY_SECONDS / self.limits.lines_per_survey
        self.repeat_seconds = max(self.limits.repeat_seconds, turn_seconds)

    def take_line(self, since_logged: float) -> bool:
        """Return whether a step may be logged this long after its last line."""
        if not self.lines_left or since_logged < self.repeat_seconds:
            return False
        self.lines_left -= 1
        return True


@dataclass(frozen=True)
class LoggedWait:
    """What the last line about a step says."""

    reason: WaitReason
    has_ample_room: bool


class WaitLog:
    """Decide which waits are logged, and count the waiting steps by reason."""

    def __init__(self, events: EventLog, metrics: Metrics):
        self.events = events
        self.metrics = metrics
        self.now = BootSeconds(0.0)
        self.is_surveying = False
        self.surveyed_at = BootSeconds(float("-inf"))
        self.urgent_budget = LineBudget(URGENT)
        self.ordinary_budget = LineBudget(ORDINARY)
        self.partial_budget = LineBudget(PARTIAL)
        # Since when each step has waited while its job has run nothing.
        self.idle_since: dict[StepRun, BootSeconds] = {}
        self.still_idle: dict[StepRun, BootSeconds] = {}
        self.logged_at: dict[StepRun, BootSeconds] = {}
        # The last lines about the steps in `idle_since`.
        self.logged_waits: dict[StepRun, LoggedWait] = {}
        self.job_is_idle: dict[Job, bool] = {}
        # Jobs of which at most repetitions of runs that may be done run.
        self.job_repeats: dict[Job, bool] = {}

    def begin_round(self, now: BootSeconds):
        """Start a round, and a survey if one is due."""
        self.now = now
        self.is_surveying = now - self.surveyed_at >= SURVEY_SECONDS
        if not self.is_surveying:
            return
        self.surveyed_at = now
        urgent = sum(_is_urgent(step) for step in self.idle_since)
        self.urgent_budget.renew(urgent)
        self.ordinary_budget.renew(len(self.idle_since) - urgent)
        self.partial_budget.renew(0)
        self.still_idle = {}
        self.job_is_idle = {}
        self.job_repeats = {}

    def is_due(self, step: StepRun, is_short: bool = False) -> bool:
        """Return whether to log why a step waits; to be called for each that waits.

        `is_short` states that such waits are usually too short to be of interest.
        """
        is_idle = self.is_surveying and self._is_idle(step)
        if is_idle:
            self.still_idle[step] = self.idle_since.get(step, self.now)
        since_logged = self.now - self.logged_at.get(step, float("-inf"))
        if _is_urgent(step):
            if is_short and not self._has_waited(step, URGENT.first_seconds):
                return False
            return self.urgent_budget.take_line(since_logged)
        if is_idle:
            if not self._has_waited(step, ORDINARY.first_seconds):
                return False
            return self.ordinary_budget.take_line(since_logged)
        if not self.is_surveying or step.waited(self.now) < PARTIAL.first_seconds:
            return False
        return self.partial_budget.take_line(since_logged)

    def write(self, step: StepRun, wait: Wait, room: Room, **fields: Any):
        """Log why a step waits, with further fields."""
        now, shape = self.now, step.shape
        waiting = sum(
            task.status is not TaskStatus.DONE and not is_known_to_run(task)
            for task in step.tasks
        )
        has_ample_room = room.is_ample(waiting if shape.gang else 1)
        self.logged_at[step] = now
        self.logged_waits[step] = LoggedWait(wait.reason, has_ample_room)
        if wait.held_by is not None:
            fields.update(_held_fields(wait.held_by, now))
            fields.update(_lost_fields(wait, now))
        if wait.unusable:
            fields.update(_unusable_fields(wait.unusable, now))
        self.events.write(
            Event.JOB_WAITS,
            job=step.job.id,
            step=step.key,
            reason=wait.reason.value,
            since=round(now - self.idle_since.get(step, now), 2),
            ready=round(now - step.ready_at, 2) if step.ready_at else None,
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
            if step.completed or step.job.ended or not self._is_idle(step):
                continue
            self.still_idle[step] = since
        self.idle_since, self.still_idle = self.still_idle, {}
        self.job_is_idle = {}
        self.job_repeats = {}
        self._forget_old_lines()
        self._count_waits()

    def close(self):
        """Clear the counts, since this host no longer schedules."""
        self.metrics.steps_waiting = {}
        self.metrics.steps_waiting_despite_room = 0

    def _forget_old_lines(self):
        repeat_seconds = max(
            self.ordinary_budget.repeat_seconds, self.partial_budget.repeat_seconds
        )
        for step, at in list(self.logged_at.items()):
            if step not in self.idle_since and self.now - at > repeat_seconds:
                del self.logged_at[step]
        for step in list(self.logged_waits):
            if step not in self.idle_since:
                del self.logged_waits[step]

    def _count_waits(self):
        counts = Counter({reason.value: 0 for reason in WaitReason})
        counts.update(logged.reason.value for logged in self.logged_waits.values())
        self.metrics.steps_waiting = dict(counts)
        self.metrics.steps_waiting_despite_room = sum(
            logged.has_ample_room for logged in self.logged_waits.values()
        )

    def _has_waited(self, step: StepRun, seconds: float) -> bool:
        idle_since = self.idle_since.get(step)
        return idle_since is not None and self.now - idle_since >= seconds

    def _is_idle(self, step: StepRun) -> bool:
        """Return whether nothing of a step's job runs.

        A long-running task is to run whether others of its job run or not. For a step
        whose turn has not come, repetitions of runs that may be done don't count.
        """
        if step.shape.long_running:
            return any(not is_known_to_run(task) for task in step.tasks)
        job = step.job
        if not job.is_ready(step):
            return self._only_repeats(job)
        if job not in self.job_is_idle:
            self.job_is_idle[job] = not any(
                is_at_work(other) for other in job.steps.values() if not other.done
            )
        return self.job_is_idle[job]

    def _only_repeats(self, job: Job) -> bool:
        if job not in self.job_repeats:
            self.job_repeats[job] = not any(
                does_new_work(other) for other in job.steps.values() if not other.done
            )
        return self.job_repeats[job]


def _is_urgent(step: StepRun) -> bool:
    return step.job.submission.priority == HIGHEST_PRIORITY


def _held_fields(held_by: Task, now: BootSeconds) -> dict[str, Any]:
    """Return the fields on a run that a step waits for, and on its worker."""
    fields: dict[str, Any] = {
        "held_by": held_by.id,
        "held_run": held_by.run,
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


def _lost_fields(wait: Wait, now: BootSeconds) -> dict[str, Any]:
    """Return the fields on the lost run that the run which is waited for repeats."""
    lost = wait.held_by.lost_run
    if lost is None or wait.former_worker is None:
        return {}
    return {
        "lost_run": lost.run,
        "lost_s": round(now - lost.lost_at, 2),
        "lost_reason": lost.reason,
        "lost_worker": lost.worker,
        "lost_worker_state": wait.former_worker.value,
    }


def _unusable_fields(workers: list[Worker], now: BootSeconds) -> dict[str, Any]:
    """Return the fields on the unusable workers that a step waits for."""
    conditions = {
        worker.id: _unusable_condition(worker, now)
        for worker in workers[:MAX_NAMED_WORKERS]
    }
    return {"unusable_count": len(workers), "unusable": conditions}


def _unusable_condition(worker: Worker, now: BootSeconds) -> str:
    if worker.silent:
        return "silent"
    reason = unusable_reason(worker, now)
    return reason.value if reason is not None else "usable"
