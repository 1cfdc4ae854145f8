"""Watch workers and check that gangs run whole, once, and only when permitted."""

import asyncio
from collections import defaultdict

from zinniatrestle.clock import Clock, monotonic
from zinniatrestle.store.embedded import EmbeddedWorkers
from zinniatrestle.store.messages import LeaseState

SAMPLE_SECONDS = 0.05
LIVE = frozenset({LeaseState.RUNNING, LeaseState.FINISHED})


class GangWatcher:
    """Sample what all workers run."""

    def __init__(self, workers: EmbeddedWorkers, clock: Clock):
        self.workers = workers
        self.clock = clock
        self.whole: dict[tuple[str, str], int] = {}
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
                if lease.state not in LIVE:
                    continue
                running[(lease.job, lease.attempt)] += 1
                if lease.state is LeaseState.RUNNING:
                    attempts[lease.job].add(lease.attempt)
        for job, found in attempts.items():
            if len(found) > 1:
                self.double_runs.append(job)
        now = monotonic()
        for key, count in running.items():
            most = self.whole.get(key, 0)
            self.whole[key] = max(most, count)
            if count >= most:
                self.partial_since.pop(key, None)
                continue
            since = self.partial_since.setdefault(key, now)
            self.longest_partial = max(self.longest_partial, now - since)
        for key in list(self.partial_since):
            if key not in running:
                del self.partial_since[key]

    def starts_after(self, wall: float) -> list[float]:
        """Return how long after a wall time each later start came."""
        late = []
        for state in self.workers.states.values():
            for at, _, _ in state.starts:
                if at > wall:
                    late.append(at - wall)
        return late

    def all_starts(self) -> list[tuple[float, str, str]]:
        """Return all starts on all workers."""
        found = []
        for state in self.workers.states.values():
            found.extend(state.starts)
        return found
