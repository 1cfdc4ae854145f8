"""Backfill reservations: small steps don't delay a gang that waits for workers."""

from typing import NamedTuple

from zinniatrestle.scheduling.forecast import Forecast
from zinniatrestle.scheduling.placement import (
    PlacementConstraints,
    candidates,
    locality_groups,
)
from zinniatrestle.scheduling.state import StepRun, Worker

# Limit on the steps with reservations at a time; more would leave workers idle for
# work that starts far in the future.
MAX_RESERVING_STEPS = 4


class EarliestStart(NamedTuple):
    """Estimated start (boot seconds) of a step without preemption, and its workers."""

    step: StepRun
    at: float
    workers: list[Worker]


class FreedRoom(NamedTuple):
    """What runs that have ended by some time leave free; `cpu` in millicores."""

    cpu: int
    memory_mb: int
    gpus: int


class BackfillReservations:
    """Reserve workers for gangs that rank first but don't fit yet.

    A step that ranks later may use a reserved worker only if it is expected to end
    before the reservation starts.
    """

    def __init__(self, forecast: Forecast):
        self.forecast = forecast
        self.now = forecast.now
        self.reserved_from: dict[Worker, float] = {}
        self.reserved_for: dict[Worker, StepRun] = {}
        self.reserving_steps = 0
        # By worker: the revision of its tasks, and the ends of these.
        self.ends_by_worker: dict[
            Worker, tuple[int, list[tuple[float, FreedRoom]]]
        ] = {}

    def eligible_workers(self, step: StepRun, workers: list[Worker]) -> list[Worker]:
        """Return the workers on which a step delays no reservation."""
        if not self.reserved_from:
            return workers
        seconds = self.forecast.durations.expected_seconds(
            step.job.submission.queue, step.shape
        )
        ends_at = self.now + seconds
        eligible = []
        for worker in workers:
            if ends_at <= self.reserved_from.get(worker, ends_at):
                eligible.append(worker)
        return eligible

    def earliest_start(
        self,
        step: StepRun,
        count: int,
        workers: list[Worker],
        constraints: PlacementConstraints,
    ) -> EarliestStart | None:
        """Return the earliest start of `count` tasks of a gang without preemption.

        Returns None for a step that is no gang, if no further reservation is allowed,
        or if the tasks would not fit even after all current runs have ended.
        """
        if not step.shape.gang or self.reserving_steps >= MAX_RESERVING_STEPS:
            return None
        usable = []
        for worker in candidates(step, workers, constraints):
            if worker not in self.reserved_from:
                usable.append(worker)
        best: list[tuple[float, Worker]] = []
        for group in locality_groups(step, usable, constraints):
            chosen = self._earliest_start(step, count, group)
            if chosen and (not best or chosen[-1][0] < best[-1][0]):
                best = chosen
        if not best:
            return None
        return EarliestStart(step, best[-1][0], [worker for _, worker in best])

    def next_slot(self, step: StepRun, workers: list[Worker]) -> float | None:
        """Return when a task of a step fits next on one of the workers, if known."""
        times = [at for worker in workers for at, _ in self._slot_times(step, worker)]
        return min(times, default=None)

    def first_reserving(self) -> StepRun | None:
        """Return the step whose reservation starts first."""
        if not self.reserved_from:
            return None
        return self.reserved_for[min(self.reserved_from, key=self.reserved_from.get)]

    def reserve(self, earliest: EarliestStart):
        """Reserve the workers for a step, from its earliest start on."""
        self.reserving_steps += 1
        for worker in earliest.workers:
            self.reserved_from[worker] = earliest.at
            self.reserved_for[worker] = earliest.step

    def _earliest_start(
        self, step: StepRun, count: int, group: list[Worker]
    ) -> list[tuple[float, Worker]]:
        """Return the workers with which `count` tasks fit first within one group.

        Each comes with the time at which its slots for the step are free, in order of
        time. The list is empty if the tasks don't fit.
        """
        slot_times: list[tuple[float, int, Worker]] = []
        for worker in group:
            for at, slots in self._slot_times(step, worker):
                slot_times.append((at, slots, worker))
        slot_times.sort(key=lambda slot_time: (slot_time[0], slot_time[2].id))
        chosen: dict[Worker, tuple[float, int]] = {}
        slots_found = 0
        for at, slots, worker in slot_times:
            slots_found += slots - chosen.get(worker, (0.0, 0))[1]
            chosen[worker] = (at, slots)
            if slots_found >= count:
                return sorted(
                    ((at, worker) for worker, (at, _) in chosen.items()),
                    key=lambda choice: choice[0],
                )
        return []

    def _slot_times(self, step: StepRun, worker: Worker) -> list[tuple[float, int]]:
        """Return (time, slots) for each time at which a worker has more free slots.

        Long-running tasks are assumed not to end.
        """
        shape = step.shape
        cpu, memory, gpus = worker.free_cpu, worker.free_memory, worker.free_gpus
        slot_times = []
        slots = worker.slots(step)
        if slots:
            slot_times.append((self.now, slots))
        most = shape.max_per_worker or shape.count
        for at, freed in self._ends(worker):
            if slots >= most:
                break
            fits = shape.fitting(
                cpu + freed.cpu, memory + freed.memory_mb, gpus + freed.gpus
            )
            fits = fits if fits < most else most
            if fits > slots:
                slots = fits
                slot_times.append((at, slots))
        return slot_times

    def _ends(self, worker: Worker) -> list[tuple[float, FreedRoom]]:
        """Return when the runs at a worker end and what is free from then on.

        They are kept until runs are added or removed there, since many steps ask.
        """
        kept = self.ends_by_worker.get(worker)
        if kept is not None and kept[0] == worker.tasks_revision:
            return kept[1]
        runs = []
        for task in worker.tasks.values():
            if task.step.shape.long_running:
                continue
            remaining = self.forecast.remaining(task)
            runs.append((self.now + remaining, task.id, task.step.shape))
        runs.sort(key=lambda run: run[:2])
        ends = []
        cpu = memory = gpus = 0
        for at, _, shape in runs:
            cpu += 0 if shape.best_effort else shape.cpu
            memory += shape.memory_mb
            gpus += shape.gpus
            ends.append((at, FreedRoom(cpu, memory, gpus)))
        self.ends_by_worker[worker] = (worker.tasks_revision, ends)
        return ends
