"""Measure the processor time of scheduling rounds with many workers and waiting steps.

`python benchmarks/scheduling_round.py [WORKERS] [ROUNDS]` fills workers with tasks of
the two deployments of docs/design/demanding-load.md until `WAITING` steps wait, then
plays rounds in which some runs end and new jobs arrive. It prints the median and the
largest time of a round in milliseconds. No orders are sent and nothing is stored.
"""

import random
import statistics
import sys
import time
from pathlib import Path
from types import SimpleNamespace

sys.path.insert(0, str(Path(__file__).parents[1] / "tests"))

from common.scheduling import NOW, SERVICE, job, worker

from zinniatrestle.deployment import Bounds, Identity
from zinniatrestle.ids import FailureDomainId, HostId, RegionId
from zinniatrestle.jobs.messages import Step
from zinniatrestle.metrics import Metrics
from zinniatrestle.queues import OperatorState
from zinniatrestle.scheduling.durations import Durations
from zinniatrestle.scheduling.health import HealthMonitor
from zinniatrestle.scheduling.rounds import Planner
from zinniatrestle.scheduling.state import TaskStatus

WORKERS = 176
WAITING = 300
ROUNDS = 200
ROUND_SECONDS = 0.05
GPUS = (1, 2, 4, 8, 8)
# Priority, share of jobs, tasks, seconds, cores and MB of a task.
CLASSES = (
    (0, 0.5, 5, 2.5, 15, 79_000),
    (1, 0.25, 13, 6.8, 52, 150_000),
    (2, 0.25, 39, 9.5, 11, 59_000),
)


class IdleTracker:
    """The state of a scheduler without sessions: stopped runs end at once."""

    def __init__(self, workers: int):
        created = [
            worker(
                f"w{number:03}", f"r{number // 12:02}", cpu=128_000, memory_mb=512_000
            )
            for number in range(workers)
        ]
        self.fleet = SimpleNamespace(
            workers={found.id: found for found in created},
            expire_leases=lambda now: None,
        )
        self.durations = Durations()
        self.health = HealthMonitor()
        self.jobs = {}
        self.unsaved_jobs = set()
        self.advice = None

    def stalled_tasks(self):
        """Return no task."""
        return []

    def stop(self, task, reason: str):
        """End a run at once."""
        self.unassign(task)

    def stop_gang(self, step):
        """Do nothing: runs end by themselves here."""

    def unassign(self, task):
        """Let a task wait again."""
        task.worker.remove_task(task)
        task.worker = None
        task.status = TaskStatus.WAITING

    def release_reservation(self, task):
        """Release the reservations of a gang."""
        for member in task.step.tasks:
            if member.status is TaskStatus.RESERVED:
                member.worker.release_reservation(member)
                member.worker = None
                member.status = TaskStatus.WAITING


def planner_of(tracker: IdleTracker) -> Planner:
    """Return a planner of which starts are ignored."""
    context = SimpleNamespace(
        deployment=SimpleNamespace(
            bounds=Bounds(stop=0.9),
            identity=Identity(
                HostId("host"), "host", FailureDomainId("a"), RegionId("region")
            ),
        ),
        policy=None,
        operator=OperatorState(),
        metrics=Metrics(),
        events=SimpleNamespace(
            write=lambda *args, **fields: None,
            write_deduplicated=lambda *args, **fields: None,
        ),
    )
    planner = Planner(context, tracker)
    planner._start = lambda placed: None
    return planner


class Load:
    """Jobs that arrive whenever fewer than `WAITING` steps wait."""

    def __init__(self, tracker: IdleTracker):
        self.tracker = tracker
        self.random = random.Random(1)
        self.count = 0
        self.ends = {}

    def add_jobs(self, now: float):
        """Add jobs until `WAITING` of them wait."""
        waiting = 0
        for known in self.tracker.jobs.values():
            tasks = known.steps["0.0"].tasks
            waiting += any(task.status is TaskStatus.WAITING for task in tasks)
        for _ in range(WAITING - waiting):
            priority, _, tasks, seconds, cores, memory = self.random.choices(
                CLASSES, [entry[1] for entry in CLASSES]
            )[0]
            shape = Step(
                count=tasks,
                cpu=cores * 1000,
                memory_mb=memory,
                gpus=1 if priority == 2 else self.random.choice(GPUS),
                gang=priority < 2,
                checkpointing=True,
                estimated_ms=round(seconds * 1000),
            )
            name = f"{self.count:016}"
            self.count += 1
            new = job(name, shape, priority=priority, arrived=now, stretch=20.0)
            self.tracker.jobs[new.id] = new

    def advance(self, now: float):
        """Confirm placed runs, and end those whose time is over."""
        for known in list(self.tracker.jobs.values()):
            step = known.steps["0.0"]
            for task in step.tasks:
                if task.status is TaskStatus.PLACED:
                    task.status = TaskStatus.RUNNING
                    task.started_at = task.baseline_at = now
                    task.start_time_known = True
                if task.status is not TaskStatus.RUNNING:
                    continue
                if now - task.started_at >= step.shape.estimated_ms / 1000:
                    task.worker.remove_task(task)
                    task.worker = None
                    task.completed = True
                    task.status = TaskStatus.DONE
            if step.completed:
                del self.tracker.jobs[known.id]


def main(workers: int = WORKERS, rounds: int = ROUNDS):
    """Print the times of the rounds."""
    tracker = IdleTracker(workers)
    planner = planner_of(tracker)
    load = Load(tracker)
    now = NOW
    times = []
    for number in range(2 * rounds):
        load.advance(now)
        load.add_jobs(now)
        began = time.process_time()
        planner.run_round(now)
        # The first half fills the workers.
        if number >= rounds:
            times.append(1000 * (time.process_time() - began))
        now += ROUND_SECONDS
    used = sum(bool(found.tasks) for found in tracker.fleet.workers.values())
    print(
        f"{workers} workers, {used} in use, {WAITING} waiting steps of {SERVICE}: "
        f"median {statistics.median(times):.1f} ms, largest {max(times):.1f} ms, "
        f"mean {statistics.mean(times):.1f} ms"
    )


if __name__ == "__main__":
    main(*map(int, sys.argv[1:]))
