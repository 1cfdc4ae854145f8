"""Find out from the list of machines which unreachable workers have ended."""

import asyncio
from dataclasses import dataclass

from zinniatrestle.errors import PlatformError
from zinniatrestle.events import Event, EventLog, RejectionLog
from zinniatrestle.ids import MachineId, WorkerId
from zinniatrestle.machines.interfaces import MachineCalls
from zinniatrestle.machines.messages import Machine, MachineState
from zinniatrestle.scheduling.cluster_state import ClusterState
from zinniatrestle.scheduling.leader_task import LeaderTask
from zinniatrestle.scheduling.state import Worker

# Interval of checks for unreachable workers, and of readings while there are any.
POLL_SECONDS = 0.4
CALL_TIMEOUT_SECONDS = 1.0


@dataclass(frozen=True)
class Reading:
    """The machines and the workers on them, as listed while some were unreachable."""

    machines: frozenset[MachineId]
    workers: frozenset[WorkerId]
    unreachable: frozenset[Worker]


class MachineWatch(LeaderTask):
    """End the runs of unreachable workers that no machine runs any more.

    A machine is listed with the id of its worker for as long as that one lasts, also
    while a partition hides the worker from the hosts and from the registry.
    """

    name = "machines"

    def __init__(self, calls: MachineCalls, events: EventLog):
        self.calls = calls
        self.events = events
        self.rejections = RejectionLog(events, "workers on machines")

    async def run(self, cluster: ClusterState):
        """Read the list while workers with runs are unreachable, until cancelled."""
        previous = None
        while True:
            await asyncio.sleep(POLL_SECONDS)
            unreachable = frozenset(cluster.fleet.unreachable_with_tasks())
            if not unreachable:
                previous = None
                continue
            reading = await self.read(unreachable)
            if reading is not None and previous is not None:
                for worker in ended_workers(previous, reading):
                    cluster.fleet.end_runs(worker, "no machine runs it")
            previous = reading

    async def read(self, unreachable: frozenset[Worker]) -> Reading | None:
        """Return a reading, or None if there is none that says where workers are."""
        try:
            machines = await self.calls.machines(CALL_TIMEOUT_SECONDS)
        except PlatformError as error:
            self.events.write_deduplicated(
                Event.DEPENDENCY_LOST, error.detail, dependency="list of machines"
            )
            return None
        for machine in machines:
            if not _names_worker(machine):
                self.rejections.reject(
                    "", f"Machine {machine.machine} may run a worker that isn't named."
                )
                return None
        self.rejections.accept("")
        return Reading(
            frozenset(machine.machine for machine in machines),
            frozenset(machine.worker for machine in machines),
            unreachable,
        )


def ended_workers(previous: Reading, reading: Reading) -> list[Worker]:
    """Return the workers that are unreachable and not listed in both readings.

    The list is read in pages, and one machine that is removed meanwhile could hide
    another one at the border of two pages. Both readings would show that one only if
    their machines differ.
    """
    if previous.machines != reading.machines:
        return []
    listed = previous.workers | reading.workers
    return [
        worker
        for worker in previous.unreachable & reading.unreachable
        if worker.id not in listed
    ]


def _names_worker(machine: Machine) -> bool:
    """Return whether a machine names its worker, or can't have one."""
    if machine.worker:
        return True
    return machine.state not in (MachineState.UP, MachineState.UNKNOWN)
