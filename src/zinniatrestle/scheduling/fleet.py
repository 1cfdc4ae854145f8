"""Which workers there are, and when what ran on lost ones must have ended."""

from abc import ABC, abstractmethod

from zinniatrestle.clock import boot_time
from zinniatrestle.deployment import Deployment
from zinniatrestle.events import Event, EventLog
from zinniatrestle.ids import (
    BootSeconds,
    FailureDomainId,
    InstanceId,
    RackId,
    RegionId,
    RowName,
    ServiceName,
    WorkerId,
)
from zinniatrestle.rows import Change, StoredRow
from zinniatrestle.rows.feed import TableReader
from zinniatrestle.scheduling.state import Worker
from zinniatrestle.workers.interfaces import WorkerRows
from zinniatrestle.workers.messages import WorkerEntry, WorkerState

# Heartbeats; an entry is removed after three of silence, and may be read late by half
# of one.
MIN_EXPIRY_HEARTBEATS = 2.5


class FleetListener(ABC):
    """What the scheduler does as workers come and go."""

    @abstractmethod
    def joined(self, worker: Worker):
        """Begin to hold a worker."""

    @abstractmethod
    def drained(self, worker: Worker):
        """Note that a worker is leaving."""

    @abstractmethod
    def lease_expired(self, worker: Worker):
        """Note that everything on a worker out of reach was killed by its lease."""

    @abstractmethod
    def ended(self, worker: Worker, reason: str, replaced: bool):
        """Note that a worker's life is over; `replaced`: another one answers.

        What stays on a life that was replaced may run in the new one.
        """


class Fleet(TableReader):
    """Follow the registry of workers."""

    def __init__(
        self,
        rows: WorkerRows,
        deployment: Deployment,
        listener: FleetListener,
        events: EventLog,
    ):
        self.rows = rows
        self.table = rows.table
        self.regions = deployment.regions
        self.heartbeat = deployment.bounds.heartbeat
        self.drain = deployment.bounds.drain
        self.max_hold = deployment.bounds.max_hold
        self.listener = listener
        self.events = events
        self.workers: dict[WorkerId, Worker] = {}
        # Lives that are out of the registry while something may still run there.
        self.unregistered: list[Worker] = []

    def snapshot(self, rows: list[StoredRow]):
        """Take all entries in place of what was known."""
        present = set()
        for row in rows:
            present.add(row.name)
            self._apply_entry(row.name, row.value)
        for name, worker in self.workers.items():
            if name not in present:
                self._mark_missing(worker)

    def change(self, change: Change):
        """Take one change of an entry."""
        if change.value is not None:
            self._apply_entry(change.name, change.value)
            return
        worker = self.workers.get(WorkerId(change.name))
        if worker is not None:
            self._mark_missing(worker)

    def _apply_entry(self, name: RowName, value: bytes):
        entry = self.rows.decode(name, value)
        if entry is None:
            self.events.write_deduplicated(
                Event.WORKER_GONE, "damaged entry", worker=name
            )
            return
        worker = self.workers.get(entry.worker)
        if worker is not None and _same_instance(worker.entry, entry):
            drains = (
                entry.state is WorkerState.DRAINING
                and worker.entry.state is not WorkerState.DRAINING
            )
            worker.entry = entry
            worker.entry_seen_at = boot_time()
            self._update_drain_deadline(worker)
            if worker.missing_since is not None:
                worker.missing_since = None
                self.events.write(Event.WORKER_SEEN, worker=worker.id, again=True)
            if drains:
                self.events.write(
                    Event.WORKER_GONE,
                    worker=worker.id,
                    reason="draining",
                    remaining=entry.remaining,
                )
                self.listener.drained(worker)
            return
        if worker is not None:
            if entry.instance < worker.entry.instance:
                return
            self.end(worker, "started anew", replaced=True)
        self._join(entry)

    def _update_drain_deadline(self, worker: Worker):
        """Note until when a leaving worker works; later entries may tell less."""
        if worker.entry.state is not WorkerState.DRAINING:
            return
        remaining = worker.entry.remaining
        if remaining is None:
            remaining = self.drain
        at = BootSeconds(worker.entry_seen_at + remaining)
        worker.drain_deadline = (
            at if worker.drain_deadline is None else min(worker.drain_deadline, at)
        )

    def _join(self, entry: WorkerEntry):
        region = self.regions.get(entry.domain, RegionId(""))
        worker = Worker(entry, region)
        worker.entry_seen_at = boot_time()
        self._update_drain_deadline(worker)
        for former in list(self.unregistered):
            if former.id == entry.worker:
                self._transfer_tasks(former, worker)
        self.workers[entry.worker] = worker
        self.events.write(
            Event.WORKER_SEEN,
            worker=worker.id,
            domain=worker.domain,
            born=entry.instance,
        )
        self.listener.joined(worker)

    def _transfer_tasks(self, former: Worker, worker: Worker):
        """Move what a former life may run to the life that answers now.

        Orders name a worker's id alone, so they may have reached the new life; its
        first report tells.
        """
        self.unregistered.remove(former)
        for task in list(former.tasks.values()):
            former.remove_task(task)
            task.worker = worker
            worker.add_task(task)

    def get_or_add_unregistered(
        self, worker_id: WorkerId, instance: InstanceId, until: BootSeconds
    ) -> Worker:
        """Return a life that is not in the registry, held until `until` at most."""
        for former in self.unregistered:
            if former.id == worker_id and former.entry.instance == instance:
                return former
        entry = WorkerEntry(
            worker=worker_id,
            service=ServiceName(""),
            address="",
            domain=FailureDomainId(""),
            state=WorkerState.DRAINING,
            cpu=0,
            memory_mb=0,
            gpus=0,
            labels=frozenset(),
            rack=RackId(""),
            instance=instance,
            sequence=0,
        )
        worker = Worker(entry, RegionId(""))
        worker.missing_since = boot_time()
        worker.lease.expires_at = until
        self.unregistered.append(worker)
        return worker

    def _mark_missing(self, worker: Worker):
        if worker.missing_since is None:
            worker.missing_since = boot_time()
            self.events.write(
                Event.WORKER_GONE,
                worker=worker.id,
                reason="entry removed",
                silent=worker.silent,
            )
            self._end_if_deregistered(worker)

    def _end_if_deregistered(self, worker: Worker):
        """End a life that has taken its own entry away and answers no more."""
        if worker.missing_since is None or not worker.silent:
            return
        if worker.entry.state is not WorkerState.DRAINING:
            return
        # After a silence its entry would have lasted longer.
        kept = worker.missing_since - worker.entry_seen_at
        if kept < MIN_EXPIRY_HEARTBEATS * self.heartbeat:
            self.end(worker, "it has left")

    def end(self, worker: Worker, reason: str, replaced: bool = False):
        """End a life on which nothing runs any more, but what a new one may run."""
        if worker in self.unregistered:
            self.unregistered.remove(worker)
        elif worker.has_ended:
            return
        worker.has_ended = True
        if self.workers.get(worker.id) is worker:
            del self.workers[worker.id]
        self.events.write(Event.WORKER_GONE, worker=worker.id, reason=reason)
        self.listener.ended(worker, reason, replaced)
        if not worker.tasks:
            return
        # On the new life's clock the orders' deadlines are far ahead.
        worker.lease.assume_granted(boot_time(), self.max_hold)
        worker.missing_since = worker.missing_since or boot_time()
        self.unregistered.append(worker)

    def mark_silent(self, worker: Worker, refused: bool):
        """Note that a worker does not answer."""
        if not worker.silent:
            worker.silent = True
            self.events.write(Event.WORKER_SILENT, worker=worker.id, refused=refused)
        # A cut may look like a refusal, so the registry has to say the same.
        if refused and worker.missing_since is not None:
            self.end(worker, "nothing listens and its entry is gone")
            return
        self._end_if_deregistered(worker)

    def review(self, now: BootSeconds):
        """Give up what ran under leases that have run out for good."""
        for worker in [*self.workers.values(), *self.unregistered]:
            if not worker.silent and worker not in self.unregistered:
                continue
            if not worker.lease.expired(now):
                continue
            if worker.missing_since is not None:
                self.end(worker, "lease expired")
                continue
            if worker.tasks:
                self.listener.lease_expired(worker)


def _same_instance(known: WorkerEntry, entry: WorkerEntry) -> bool:
    if not known.address:
        # The address of a life that is known only from a job's progress.
        return known.instance == entry.instance
    return known.instance == entry.instance and known.address == entry.address
