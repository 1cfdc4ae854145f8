"""The known workers, and when the leases on lost ones have expired."""

from abc import ABC, abstractmethod

import msgspec

from zinniatrestle.clock import boot_time
from zinniatrestle.deployment import Deployment
from zinniatrestle.errors import MalformedInputError
from zinniatrestle.events import Event, EventLog, RejectionLog
from zinniatrestle.ids import (
    BootSeconds,
    FailureDomainId,
    InstanceId,
    RackId,
    RegionId,
    RowName,
    RowVersion,
    ServiceName,
    WorkerId,
)
from zinniatrestle.rows import Change
from zinniatrestle.rows.feed import TableReader
from zinniatrestle.rows.version_times import VersionTimes
from zinniatrestle.scheduling.state import Worker
from zinniatrestle.workers.interfaces import WorkerRows
from zinniatrestle.workers.messages import WorkerEntry, WorkerState

# The registry removes an entry after this many heartbeat intervals without a new one.
EXPIRY_HEARTBEATS = 3
# An entry that was listed for less than this was removed by its worker, which sent the
# last heartbeat about an interval before at most. The rest of the time until an entry
# expires allows for slow writes of heartbeats and for early checks of the registry.
MIN_EXPIRY_HEARTBEATS = 2.0


class FleetListener(ABC):
    """Receiver of changes in the set of workers."""

    @abstractmethod
    def joined(self, worker: Worker):
        """Start a session with a worker that joined."""

    @abstractmethod
    def drain_started(self, worker: Worker):
        """Handle that a worker has started to drain."""

    @abstractmethod
    def lease_expired(self, worker: Worker):
        """Handle that the leases at an unreachable worker expired, ending its runs."""

    @abstractmethod
    def runs_ended(self, worker: Worker, reason: str):
        """Handle that all runs that have begun on an unreachable worker have ended."""

    @abstractmethod
    def ended(self, worker: Worker, reason: str, replaced: bool):
        """Handle that a worker's instance has ended.

        `replaced` means that a new instance answers. Tasks that stay assigned to the
        replaced instance may run in the new one.
        """


class Fleet(TableReader):
    """Track the workers in the registry."""

    def __init__(
        self,
        rows: WorkerRows,
        deployment: Deployment,
        version_times: VersionTimes,
        listener: FleetListener,
        events: EventLog,
    ):
        self.rows = rows
        self.version_times = version_times
        self.table = rows.table
        self.regions = deployment.regions
        self.heartbeat = deployment.bounds.heartbeat
        self.drain = deployment.bounds.drain
        self.max_hold = deployment.bounds.max_hold
        self.listener = listener
        self.events = events
        self.rejections = RejectionLog(events, f"table {self.table}")
        self.workers: dict[WorkerId, Worker] = {}
        self.has_read_all = False
        # Instances that are not in the registry but on which tasks may still run.
        self.unregistered: list[Worker] = []
        # Instances in whose place another one has answered. Their entries may still be
        # written, and have higher numbers if the worker's clock was set back.
        self.ended_instances: dict[WorkerId, set[InstanceId]] = {}
        # When leases that only the predecessor could extend have expired.
        self.inherited_lease_end = BootSeconds(0.0)
        # When each worker was last sent a deadline on the clock of an instance that
        # has ended, at the latest.
        self.former_deadlines_at: dict[WorkerId, BootSeconds] = {}

    def change(self, change: Change):
        """Apply a change of one entry."""
        if change.value is not None:
            self._apply_entry(change.name, change.version, change.value)
            return
        self.rejections.accept(change.name)
        worker = self.workers.get(WorkerId(change.name))
        if worker is not None:
            self._mark_missing(worker)

    def caught_up(self, asked_at: BootSeconds):
        """Record that the entries of the first full read have been applied."""
        self.has_read_all = True

    def retain(self, names: set[RowName]):
        """Handle that the registry lists no other entries than these."""
        self.rejections.retain(names)
        for name, worker in list(self.workers.items()):
            if name not in names:
                self._mark_missing(worker)

    def _apply_entry(self, name: RowName, version: RowVersion, value: bytes):
        """Apply an entry; a damaged one names no worker, and replaces no valid one."""
        try:
            entry = self.rows.decode(name, value)
        except MalformedInputError as error:
            self.rejections.reject(name, error.detail)
            return
        self.rejections.accept(name)
        written_after = self._written_after(version)
        worker = self.workers.get(entry.worker)
        if worker is None:
            if not self._has_been_replaced(entry):
                self._join(entry, written_after)
            return
        if _same_instance(worker.entry, entry):
            self._update_entry(worker, entry, written_after)
            return
        if entry.instance in self.ended_instances.get(worker.id, ()):
            return
        if entry.instance < worker.entry.instance:
            # A late write of an earlier instance, or the first one of a new instance
            # whose clock was set back: a hold shows which one answers.
            worker.earlier_entry = entry
            worker.earlier_entry_written_after = written_after
            return
        worker.earlier_entry = None
        self.end(worker, "replaced by a new instance", replaced=True)
        self._join(entry, written_after)

    def _update_entry(
        self, worker: Worker, entry: WorkerEntry, written_after: BootSeconds
    ):
        """Apply a newer entry of a known instance."""
        starts_draining = (
            entry.state is WorkerState.DRAINING
            and worker.entry.state is not WorkerState.DRAINING
        )
        if entry != worker.entry:
            worker.entry_written_after = written_after
        worker.update_entry(entry)
        worker.entry_seen_at = boot_time()
        self._update_drain_deadline(worker)
        if worker.missing_since is not None:
            worker.missing_since = None
            self.events.write(Event.WORKER_SEEN, worker=worker.id, again=True)
        if starts_draining:
            self.events.write(
                Event.WORKER_GONE,
                worker=worker.id,
                reason="draining",
                remaining=entry.remaining,
            )
            self.listener.drain_started(worker)

    def _written_after(self, version: RowVersion) -> BootSeconds:
        """Return a time before which an entry that is read now was not written.

        Only its version proves that it is younger than entries get: that feeds did not
        tell of it earlier doesn't.
        """
        oldest = BootSeconds(boot_time() - EXPIRY_HEARTBEATS * self.heartbeat)
        return max(self.version_times.written_after(version), oldest)

    def _has_been_replaced(self, entry: WorkerEntry) -> bool:
        """Return whether another instance has answered in place of an entry's.

        Each further session with the replaced one would extend the wait for its runs.
        """
        for former in self.unregistered:
            if former.has_ended and _same_instance(former.entry, entry):
                return True
        return False

    def _update_drain_deadline(self, worker: Worker):
        """Set or lower a draining worker's deadline; later entries may shorten it.

        A worker that is ready again has none.
        """
        if worker.entry.state is not WorkerState.DRAINING:
            worker.drain_deadline = None
            return
        remaining = worker.entry.remaining
        if remaining is None:
            remaining = self.drain
        deadline = BootSeconds(worker.entry_seen_at + remaining)
        worker.drain_deadline = (
            deadline
            if worker.drain_deadline is None
            else min(worker.drain_deadline, deadline)
        )

    def replace(self, worker: Worker, instance: InstanceId):
        """End an instance, and open a session with the one that answers in its place.

        The new one's entry may come much later, if the worker can't reach the registry.
        It gets no tasks before, but its reports show what it runs.
        """
        ended = self.ended_instances.setdefault(worker.id, set())
        ended.add(worker.entry.instance)
        ended.discard(instance)
        self.end(worker, "another instance answers", replaced=True)
        if worker.id in self.workers:
            return
        entry = msgspec.structs.replace(
            worker.entry, instance=instance, state=WorkerState.READY
        )
        self._join(entry, BootSeconds(0.0), listed=False)

    def add_missing(self, entry: WorkerEntry, written_after: BootSeconds):
        """Add a worker that is not listed; its entry was written after a time."""
        worker = Worker(entry, self._region_of(entry))
        worker.entry_seen_at = worker.entry_written_after = written_after
        worker.missing_since = boot_time()
        self._add(worker)

    def _join(
        self, entry: WorkerEntry, written_after: BootSeconds, listed: bool = True
    ):
        worker = Worker(entry, self._region_of(entry))
        worker.entry_seen_at = boot_time()
        worker.entry_written_after = written_after
        if not listed:
            worker.missing_since = boot_time()
        self._add(worker)

    def _region_of(self, entry: WorkerEntry) -> RegionId:
        return self.regions.get(entry.domain, RegionId(""))

    def _add(self, worker: Worker):
        """Add a worker, and open a session with it."""
        self._update_drain_deadline(worker)
        self.transfer_tasks(worker)
        sent_at = self.former_deadlines_at.get(worker.id)
        if sent_at is not None:
            # On the clock of this instance the deadlines may be far ahead, and a hold
            # extends the leases before its answer names the instance.
            worker.lease.assume_granted(sent_at, self.max_hold)
        self.workers[worker.id] = worker
        self.events.write(
            Event.WORKER_SEEN,
            worker=worker.id,
            domain=worker.domain,
            born=worker.entry.instance,
        )
        self.listener.joined(worker)

    def transfer_tasks(self, worker: Worker):
        """Transfer the tasks of its former instances to the one that answers now.

        Orders carry only the worker's id, so they may have reached the new instance.
        Its next report shows which of the tasks it runs.
        """
        for former in list(self.unregistered):
            if former.id != worker.id:
                continue
            self.unregistered.remove(former)
            if former.tasks:
                self._inherit_lease(worker, former)
            for task in list(former.tasks.values()):
                former.remove_task(task)
                task.worker = worker
                task.start_deadline_ms = None
                worker.add_task(task)

    def _inherit_lease(self, worker: Worker, former: Worker):
        worker.lease.inherit(former.lease)
        if former.entry.instance != worker.entry.instance:
            # A recorded expiry holds for one instance only.
            worker.lease.expires_at = max(
                worker.lease.expires_at, self.inherited_lease_end
            )

    def get_or_add_unregistered(
        self, worker_id: WorkerId, instance: InstanceId
    ) -> Worker:
        """Return an instance that is not in the registry, adding an unknown one."""
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
                # Since the last heartbeat, at the most.
                listed=round(worker.missing_since - worker.entry_written_after, 2),
            )
            self._end_if_deregistered(worker)

    def _end_if_deregistered(self, worker: Worker):
        """End a silent instance that has removed its own entry."""
        if worker.missing_since is None or not worker.silent:
            return
        if worker.entry.state is not WorkerState.DRAINING:
            return
        # An entry that the registry expires after missed heartbeats lasts longer. It
        # may have been written long before it was read.
        listed_seconds = worker.missing_since - worker.entry_written_after
        if listed_seconds < MIN_EXPIRY_HEARTBEATS * self.heartbeat:
            self.end(worker, "deregistered and silent")

    def end(self, worker: Worker, reason: str, replaced: bool = False):
        """End an instance on which nothing runs any more.

        If tasks stay assigned to it, as the instance that replaced it may run them, it
        is kept in `unregistered`.
        """
        if worker in self.unregistered:
            self.unregistered.remove(worker)
        elif worker.has_ended:
            return
        worker.has_ended = True
        if worker.lease.granted_until_ms:
            self.former_deadlines_at[worker.id] = boot_time()
        if self.workers.get(worker.id) is worker:
            del self.workers[worker.id]
        self.events.write(Event.WORKER_GONE, worker=worker.id, reason=reason)
        self.listener.ended(worker, reason, replaced)
        if worker.tasks:
            self._keep_unregistered(worker)
        if replaced and worker.earlier_entry is not None:
            self._join(worker.earlier_entry, worker.earlier_entry_written_after)

    def _keep_unregistered(self, worker: Worker):
        """Keep an ended instance whose tasks may run in the one that replaced it."""
        # A new instance has another clock, on which the deadlines of orders may be far
        # ahead: assume the longest lease. It is assumed already for the tasks of an
        # instance that never answered.
        if worker.generation_confirmed or not worker.lease.is_assumed:
            worker.lease.assume_granted(boot_time(), self.max_hold)
        worker.missing_since = worker.missing_since or boot_time()
        self.unregistered.append(worker)

    def mark_silent(self, worker: Worker, refused: bool):
        """Mark a worker as silent.

        Its runs may go on until their leases have expired, also if connections are
        `refused` and its entry is gone: a network partition that cuts it off from the
        hosts and from the registry gives both signs.
        """
        if not worker.silent:
            worker.silent = True
            self.events.write(
                Event.WORKER_SILENT,
                worker=worker.id,
                refused=refused,
                tasks=len(worker.tasks),
                # Its runs are lost at the latest then.
                until=round(max(0.0, worker.lease.expires_at - boot_time()), 2),
            )
        self._end_if_deregistered(worker)

    def unreachable_with_tasks(self) -> list[Worker]:
        """Return the instances out of reach on which tasks may still run."""
        found = [worker for worker in self.workers.values() if worker.silent]
        return [worker for worker in [*found, *self.unregistered] if worker.tasks]

    def end_runs(self, worker: Worker, reason: str):
        """End the runs of an instance that is out of reach and known to have ended."""
        if worker not in self.unreachable_with_tasks():
            # It has answered meanwhile.
            return
        if not worker.runs_ended:
            worker.runs_ended = True
            self.events.write(Event.WORKER_GONE, worker=worker.id, reason=reason)
        self.listener.runs_ended(worker, reason)

    def expire_leases(self, now: BootSeconds):
        """End lost instances and their runs once their leases have expired."""
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
    if known.worker != entry.worker:
        return False
    if not known.address:
        # An instance that is known only from a job's progress has no address.
        return known.instance == entry.instance
    return known.instance == entry.instance and known.address == entry.address
