"""Keep workers from filling up with small work while wide work waits for them."""

from typing import NamedTuple

from zinniatrestle.scheduling.forecast import Forecast
from zinniatrestle.scheduling.placement import PlacementConstraints, candidates, groups
from zinniatrestle.scheduling.state import StepRun, Worker

# Steps that may hold workers back at once; more would leave workers idle for work
# that starts far in the future.
MOST_HELD_BACK = 4


class EarliestStart(NamedTuple):
    """When a step that waits will find room without a stop, and on which workers."""

    at: float
    workers: list[Worker]


class BackfillReservations:
    """Hold workers back for the steps that go first but don't fit yet.

    A later step may use a worker that is held back only if it most likely ends before
    the earlier one could start there.
    """

    def __init__(self, forecast: Forecast):
        self.forecast = forecast
        self.now = forecast.now
        self.reserved_from: dict[Worker, float] = {}
        self.steps = 0

    def eligible_workers(self, step: StepRun, workers: list[Worker]) -> list[Worker]:
        """Return the workers on which a step delays no step that goes first."""
        if not self.reserved_from:
            return workers
        seconds = self.forecast.durations.task(step.job.submission.queue, step.shape)
        ends_at = self.now + seconds
        found = []
        for worker in workers:
            if ends_at <= self.reserved_from.get(worker, ends_at):
                found.append(worker)
        return found

    def earliest_start(
        self,
        step: StepRun,
        count: int,
        workers: list[Worker],
        constraints: PlacementConstraints,
    ) -> EarliestStart | None:
        """Return where and when a gang could start soonest, if that can be told."""
        if not step.shape.gang or self.steps >= MOST_HELD_BACK:
            return None
        usable = []
        for worker in candidates(step, workers, constraints):
            if worker not in self.reserved_from:
                usable.append(worker)
        best: list[tuple[float, Worker]] = []
        for group in groups(step, usable, constraints):
            chosen = self._earliest_start(step, count, group)
            if chosen and (not best or chosen[-1][0] < best[-1][0]):
                best = chosen
        if not best:
            return None
        return EarliestStart(best[-1][0], [worker for _, worker in best])

    def reserve(self, room: EarliestStart):
        """Hold workers back for the step that is to start there."""
        self.steps += 1
        for worker in room.workers:
            self.reserved_from[worker] = room.at

    def _earliest_start(
        self, step: StepRun, count: int, group: list[Worker]
    ) -> list[tuple[float, Worker]]:
        """Return when each of the workers needed has room, the last one last."""
        offers: list[tuple[float, int, Worker]] = []
        for worker in group:
            for at, slots in self._offers(step, worker):
                offers.append((at, slots, worker))
        offers.sort(key=lambda offer: (offer[0], offer[2].id))
        chosen: dict[Worker, tuple[float, int]] = {}
        found = 0
        for at, slots, worker in offers:
            found += slots - chosen.get(worker, (0.0, 0))[1]
            chosen[worker] = (at, slots)
            if found >= count:
                return sorted(
                    ((at, worker) for worker, (at, _) in chosen.items()),
                    key=lambda choice: choice[0],
                )
        return []

    def _offers(self, step: StepRun, worker: Worker) -> list[tuple[float, int]]:
        """Return the times at which a worker has room for more tasks of a step."""
        shape = step.shape
        cpu, memory, gpus = worker.free_cpu, worker.free_memory, worker.free_gpus
        offers = []
        slots = worker.slots(step)
        if slots:
            offers.append((self.now, slots))
        ends = []
        for task in worker.tasks.values():
            if task.step.shape.long_running:
                continue
            left = self.forecast.remaining(task)
            ends.append((self.now + left, task.id, task.step.shape))
        ends.sort(key=lambda end: end[:2])
        for at, _, ended in ends:
            cpu += 0 if ended.best_effort else ended.cpu
            memory += ended.memory_mb
            gpus += ended.gpus
            fits = shape.count
            if shape.cpu and not shape.best_effort:
                fits = min(fits, cpu // shape.cpu)
            if shape.memory_mb:
                fits = min(fits, memory // shape.memory_mb)
            if shape.gpus:
                fits = min(fits, gpus // shape.gpus)
            if fits > slots:
                slots = fits
                offers.append((at, slots))
        return offers
