"""Sample workers to check that gangs run completely, once, and only if permitted."""

import asyncio
from collections import defaultdict

from zinniatrestle.clock import Clock, monotonic
from zinniatrestle.store.embedded import EmbeddedWorkers
from zinniatrestle.store.messages import LeaseState

SAMPLE_SECONDS = 0.05
LIVE_STATES = frozenset({LeaseState.RUNNING, LeaseState.FINISHED})


class GangWatcher:
    """Sample the task leases of all workers.

    `most_running` has the most tasks of an attempt that were live at the same time, by
    job and attempt; `double_runs` the jobs of which two attempts ran at once.
    `longest_partial` is the longest time in seconds for which an attempt ran with fewer
    tasks than before.
    """

    def __init__(self, workers: EmbeddedWorkers, clock: Clock):
        self.workers = workers
        self.clock = clock
        self.most_running: dict[tuple[str, str], int] = {}
        self.partial_since: dict[tuple[str, str], float] = {}
        self.longest_partial = 0.0
        self.double_runs: list[str] = []

    async def watch(self):
        """Sample until cancelled."""
        while True:
            self.sample()
            await asyncio.sleep(SAMPLE_SECONDS)

    def sample(self):
        """Take one sample."""
        running = defaultdict(int)
        attempts = defaultdict(set)
        for state in self.workers.states.values():
            for lease in state.report().leases:
                if lease.state not in LIVE_STATES:
                    continue
                running[(lease.job, lease.attempt)] += 1
                if lease.state is LeaseState.RUNNING:
                    attempts[lease.job].add(lease.attempt)
        for job, running_attempts in attempts.items():
            if len(running_attempts) > 1:
                self.double_runs.append(job)
        now = monotonic()
        for key, count in running.items():
            most_seen = self.most_running.get(key, 0)
            self.most_running[key] = max(most_seen, count)
            if count >= most_seen:
                self.partial_since.pop(key, None)
                continue
            partial_from = self.partial_since.setdefault(key, now)
            self.longest_partial = max(self.longest_partial, now - partial_from)
        for key in list(self.partial_since):
            if key not in running:
                del self.partial_since[key]

    def starts_after(self, wall: float) -> list[float]:
        """Return the delay in seconds of each start after a wall time."""
        late = []
        for state in self.workers.states.values():
            for at, _, _ in state.starts:
                if at > wall:
                    late.append(at - wall)
        return late

    def all_starts(self) -> list[tuple[float, str, str]]:
        """Return wall time, job and attempt of each start, on all workers."""
        starts = []
        for state in self.workers.states.values():
            starts.extend(state.starts)
        return starts
