"""Decisions on which machine is drained next, and when its tasks are stopped."""

import math

from zinniatrestle.deployment import Bounds
from zinniatrestle.ids import BootSeconds, MachineId
from zinniatrestle.machines.messages import MachineState
from zinniatrestle.scheduling.preemption_costs import PreemptionCosts
from zinniatrestle.scheduling.state import StepRun, Task, TaskStatus, Worker
from zinniatrestle.upkeep.state import WaveProgress

# Time for listing, calls and the return of a machine, besides its maintenance.
OVERHEAD_SECONDS = 1.5
# Share of a wave's remaining time that is kept in reserve for failures.
RESERVE_SHARE = 0.2
FULL_PACE_PERCENT = 100


def drain_timeout(progress: WaveProgress, bounds: Bounds, now: BootSeconds) -> float:
    """Return the seconds for which a machine may be drained.

    The limit keeps enough time for all remaining machines to be done by the deadline
    of the wave.
    """
    wave = progress.wave
    remaining_machines = len(progress.remaining())
    if not remaining_machines:
        return 0.0
    batches = math.ceil(remaining_machines / wave.max_concurrent)
    remaining = progress.started_at + wave.duration - now
    remaining *= 1 - RESERVE_SHARE
    return max(0.0, remaining / batches - bounds.upkeep - OVERHEAD_SECONDS)


def next_machines(
    progress: WaveProgress,
    workers: dict[MachineId, Worker],
    costs: PreemptionCosts,
    bounds: Bounds,
    now: BootSeconds,
) -> list[MachineId]:
    """Return the machines to drain next, up to the wave's concurrency limit.

    Machines with the fewest long-running tasks come first, then those whose
    preemption loses the least work.
    """
    occupied = progress.down(now, bounds.upkeep) | set(progress.draining)
    free = progress.wave.max_concurrent - len(occupied)
    if free <= 0:
        return []
    found = []
    for machine in progress.remaining():
        entry = progress.machines.get(machine)
        if machine in occupied or entry is None:
            continue
        if entry.state is not MachineState.UP:
            continue
        worker = workers.get(machine)
        lost = sum(unit.loss for unit in costs.units_at(worker)) if worker else 0.0
        serving = sum(task.step.shape.long_running for task in _tasks(worker))
        found.append((serving, lost, machine))
    found.sort()
    return [machine for _, _, machine in found[:free]]


def tasks_to_stop(worker: Worker, waited: float, timeout_seconds: float) -> list[Task]:
    """Return the tasks to stop now on a machine that is being drained.

    Tasks that save checkpoints are stopped at once, long-running tasks as the
    `max_unavailable` of their step allows. A long-running task that no worker has
    reported yet may be at work, and counts for others as unavailable. All other tasks
    may run to their end until the drain timeout.
    """
    found: list[Task] = []
    stopping: dict[StepRun, int] = {}
    for task in _tasks(worker):
        shape = task.step.shape
        if task.status is TaskStatus.STOPPING:
            continue
        if shape.long_running:
            unavailable = count_unavailable(task.step) + stopping.get(task.step, 0)
            may_work = task.percent >= FULL_PACE_PERCENT or not task.reported
            if (
                may_work
                and shape.max_unavailable
                and unavailable >= shape.max_unavailable
            ):
                continue
            if may_work and not shape.max_unavailable and stopping.get(task.step):
                continue
            stopping[task.step] = stopping.get(task.step, 0) + int(may_work)
            found.append(task)
            continue
        if shape.checkpointing or waited >= timeout_seconds:
            found.append(task)
    return found


def count_unavailable(step: StepRun) -> int:
    """Return the number of tasks of a long-running step that don't run at full pace."""
    unavailable = 0
    for task in step.tasks:
        running = task.status is TaskStatus.RUNNING
        if not running or task.percent < FULL_PACE_PERCENT:
            unavailable += 1
    return unavailable


def _tasks(worker: Worker | None) -> list[Task]:
    if worker is None:
        return []
    return list(worker.tasks.values())
