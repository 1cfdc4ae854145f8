"""Check that accepted jobs run once traffic and faults have ended."""

import asyncio
from dataclasses import dataclass, field

from zinniatrestle.clock import monotonic
from zinniatrestle.jobs.messages import Step
from zinniatrestle.standins.fleet import SimulatedFleet
from zinniatrestle.standins.runs import EventKind, SimulatedWorker
from zinniatrestle.workers.messages import RunOutcome

# A job is lost if nothing of it runs for IDLE_SECONDS despite ample room, later than
# FINISH_SECONDS (`finish_s`) after the end of traffic and faults.
FINISH_SECONDS = 14.0
IDLE_SECONDS = 3.0
SAMPLE_SECONDS = 0.1


@dataclass
class IdleJobs:
    """Sample the workers for jobs that run nothing despite ample room.

    `unfinished` has the steps of each job that is to run, each of which follows the one
    before it. The only resource of tasks is accelerators.
    """

    fleet: SimulatedFleet
    unfinished: dict[str, list[Step]] = field(default_factory=dict)
    lost: list[str] = field(default_factory=list)
    idle_since: dict[str, float] = field(default_factory=dict)
    done: set[str] = field(default_factory=set)
    events_read: int = 0

    async def watch(self, quiet_from: float):
        """Sample until cancelled; traffic and faults ended at `quiet_from`."""
        await asyncio.sleep(max(0.0, quiet_from + FINISH_SECONDS - monotonic()))
        while True:
            self.sample(monotonic())
            await asyncio.sleep(SAMPLE_SECONDS)

    def sample(self, now: float):
        """Take one sample; a job that is idle for too long is added to `lost`."""
        self._read_ends()
        workers = [worker for worker in self.fleet.workers.values() if worker.alive]
        free = [_free_gpus(worker) for worker in workers]
        capacity = sum(worker.entry.gpus for worker in workers)
        running = {task.split(".")[0] for worker in workers for task in worker.running}
        half_is_free = sum(free) > capacity / 2
        idle_since: dict[str, float] = {}
        for job, steps in self.unfinished.items():
            if not half_is_free or job in running:
                continue
            step, waiting = self._next_step(job, steps)
            if step is None:
                continue
            slots = sum(gpus // step.gpus for gpus in free)
            if slots < 2 * (waiting if step.gang else 1):
                continue
            idle_since[job] = self.idle_since.get(job, now)
            if now - idle_since[job] >= IDLE_SECONDS and job not in self.lost:
                self.lost.append(job)
        self.idle_since = idle_since

    def _read_ends(self):
        """Note the tasks whose ends were acknowledged since the last sample."""
        for event in self.fleet.history[self.events_read :]:
            if event.kind is not EventKind.ACKNOWLEDGED:
                continue
            if event.outcome is RunOutcome.DONE:
                self.done.add(event.task)
        self.events_read = len(self.fleet.history)

    def _next_step(self, job: str, steps: list[Step]) -> tuple[Step | None, int]:
        """Return the first step with tasks that aren't done, and their number."""
        for number, step in enumerate(steps):
            tasks = {f"{job}.0.{number}.{index}" for index in range(step.count)}
            if tasks - self.done:
                return step, len(tasks - self.done)
        return None, 0


def _free_gpus(worker: SimulatedWorker) -> int:
    used = sum(run.shape.gpus for run in worker.running.values())
    return worker.entry.gpus - used
