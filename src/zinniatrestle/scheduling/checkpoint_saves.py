"""Choose which jobs to store for the checkpoints of their runs, at a bounded rate.

A successor learns the checkpoints of lost workers from the store alone. Each change of
a job stores its latest ones, too.
"""

from collections.abc import Iterable

from zinniatrestle.ids import BootSeconds
from zinniatrestle.scheduling.state import Job

# About 4 KB a second at some 60 bytes for each task in a job's row.
MAX_TASKS_PER_SECOND = 64


class CheckpointSaves:
    """Limit how often jobs are stored for checkpoints alone."""

    def __init__(self):
        self.next_at = BootSeconds(0.0)

    def due_jobs(self, jobs: Iterable[Job], now: BootSeconds) -> list[Job]:
        """Return the jobs to store now, those first that were stored longest ago."""
        if now < self.next_at:
            return []
        changed = [job for job in jobs if job.checkpoints_changed and not job.ended]
        changed.sort(key=lambda job: job.checkpoints_saved_at)
        due: list[Job] = []
        tasks = 0
        for job in changed:
            if tasks >= MAX_TASKS_PER_SECOND:
                break
            tasks += job.unfinished_task_count()
            job.checkpoints_changed = False
            job.checkpoints_saved_at = now
            due.append(job)
        self.next_at = BootSeconds(now + max(1.0, tasks / MAX_TASKS_PER_SECOND))
        return due
