"""Decide which machine is emptied next, and what is stopped on it when."""

import math

from zinniatrestle.deployment import Bounds
from zinniatrestle.ids import BootSeconds, MachineId
from zinniatrestle.scheduling.preemption_costs import PreemptionCosts
from zinniatrestle.scheduling.state import StepRun, Task, TaskStatus, Worker
from zinniatrestle.upkeep.messages import MachineState
from zinniatrestle.upkeep.state import WaveProgress

# s; what listing, orders and the return of a machine take besides its upkeep.
OVERHEAD_SECONDS = 1.5
# Share of the time that a wave has left that is kept for what goes wrong.
RESERVE_SHARE = 0.2
AT_WORK_PERCENT = 100


def emptying_timeout(progress: WaveProgress, bounds: Bounds, now: BootSeconds) -> float:
    """Return for how many seconds a machine may be emptied so that all are in time."""
    wave = progress.wave
    left = len(progress.left())
    if not left:
        return 0.0
    batches = math.ceil(left / wave.max_concurrent)
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
    """Return the machines to empty next, those with the least to lose first."""
    taken = progress.down(now, bounds.upkeep) | set(progress.emptying)
    free = progress.wave.max_concurrent - len(taken)
    if free <= 0:
        return []
    found = []
    for machine in progress.left():
        entry = progress.machines.get(machine)
        if machine in taken or entry is None:
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
    """Return the runs to stop now on a machine that is being emptied.

    What saves its progress moves at once, tasks that last one by one as their step
    allows; the rest may end by itself while there is time.
    """
    found: list[Task] = []
    stopping: dict[StepRun, int] = {}
    for task in _tasks(worker):
        shape = task.step.shape
        if task.status is TaskStatus.STOPPING:
            continue
        if shape.long_running:
            away = count_unavailable(task.step) + stopping.get(task.step, 0)
            at_work = task.percent >= AT_WORK_PERCENT
            if at_work and shape.max_unavailable and away >= shape.max_unavailable:
                continue
            if at_work and not shape.max_unavailable and stopping.get(task.step):
                continue
            stopping[task.step] = stopping.get(task.step, 0) + int(at_work)
            found.append(task)
            continue
        if shape.checkpointing or waited >= timeout_seconds:
            found.append(task)
    return found


def count_unavailable(step: StepRun) -> int:
    """Return how many tasks of a step that lasts are not at work."""
    away = 0
    for task in step.tasks:
        running = task.status is TaskStatus.RUNNING
        if not running or task.percent < AT_WORK_PERCENT:
            away += 1
    return away


def _tasks(worker: Worker | None) -> list[Task]:
    if worker is None:
        return []
    return list(worker.tasks.values())
