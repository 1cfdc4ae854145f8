"""Choose which jobs to store for checkpoints or their begin, at a bounded rate.

A successor learns from the store alone which checkpoints lost workers had and which
jobs have begun. Each other change of a job stores that, too.
"""

from collections.abc import Collection

from zinniatrestle.ids import BootSeconds
from zinniatrestle.scheduling.state import Job

# About 4 KB a second at some 60 bytes for each task in a job's row.
MAX_TASKS_PER_SECOND = 64


class CheckpointSaves:
    """Limit how often jobs are stored for checkpoints or their begin alone."""

    def __init__(self):
        self.next_at = BootSeconds(0.0)

    def due_jobs(self, jobs: Collection[Job], now: BootSeconds) -> list[Job]:
        """Return the jobs to store now, those first that were stored longest ago.

        Jobs that have begun take what checkpoints leave of the rate.
        """
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
            job.checkpoints_changed = job.start_unsaved = False
            job.checkpoints_saved_at = now
            due.append(job)
        for job in jobs:
            if not job.start_unsaved or job.ended:
                continue
            if tasks and tasks + job.unfinished_task_count() > MAX_TASKS_PER_SECOND:
                continue
            tasks += job.unfinished_task_count()
            job.start_unsaved = False
            due.append(job)
        self.next_at = BootSeconds(now + max(1.0, tasks / MAX_TASKS_PER_SECOND))
        return due
