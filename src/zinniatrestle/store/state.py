"""State of the in-memory table and of simulated workers."""

from zinniatrestle.clock import Clock
from zinniatrestle.errors import ResultCode, WorkerError
from zinniatrestle.ids import AttemptId, Epoch, JobId, RowKey, WorkerId
from zinniatrestle.store.messages import (
    ABSENT,
    Commit,
    LeaseState,
    ListedHost,
    Renew,
    Reserve,
    Row,
    Start,
    Stop,
    TaskLease,
    Transaction,
    WorkerReport,
)

SLEEP_PROGRAM = "sleep"
FAIL_PROGRAM = "fail"


class TableState:
    """Rows of a table, with transactions applied one at a time."""

    def __init__(self):
        self.rows: dict[RowKey, Row] = {}
        self.commits = 0
        self.reads = 0

    def read(self, keys: list[RowKey]) -> dict[RowKey, Row]:
        """Return the rows that exist among `keys`."""
        self.reads += 1
        return {key: self.rows[key] for key in keys if key in self.rows}

    def scan(self, prefix: str, after: RowKey, limit: int) -> list[Row]:
        """Return at most `limit` rows under `prefix` after the key `after`, by key."""
        self.reads += 1
        keys = sorted(key for key in self.rows if key.startswith(prefix))
        return [self.rows[key] for key in keys if key > after][:limit]

    def commit(self, transaction: Transaction) -> Commit:
        """Apply a transaction if all its checks pass."""
        failed = []
        for check in transaction.checks:
            row = self.rows.get(check.key)
            version = row.version if row else ABSENT
            if version != check.version:
                failed.append(check.key)
        self.commits += 1
        if failed:
            return Commit(committed=False, failed=failed)
        for put in transaction.puts:
            old = self.rows.get(put.key)
            version = old.version + 1 if old else ABSENT + 1
            self.rows[put.key] = Row(put.key, version, put.value)
        for key in transaction.deletes:
            self.rows.pop(key, None)
        return Commit(committed=True)


def command_seconds(command: list[str]) -> float:
    """Return the run time of a `sleep SECONDS` command; 0 for any other command."""
    if len(command) != 2 or command[0] != SLEEP_PROGRAM:
        return 0.0
    try:
        return float(command[1])
    except ValueError:
        return 0.0


class HeldAttempt:
    """An attempt that a worker holds; times are in wall-clock seconds."""

    def __init__(self, command: Reserve):
        self.command = command
        self.state = LeaseState.RESERVED
        self.expires = command.expires
        self.work_seconds = 0.0
        self.progress = 0.0
        self.checkpointed = 0.0
        self.started = 0.0


class WorkerState:
    """A simulated worker that refuses commands that are late, stale or don't fit."""

    def __init__(self, listed: ListedHost, clock: Clock):
        self.listed = listed
        self.worker = WorkerId(listed.name)
        self.clock = clock
        self.held_attempts: dict[AttemptId, HeldAttempt] = {}
        self.ended: set[AttemptId] = set()
        self.epoch = Epoch(0)
        self.fails_everything = False
        self.starts: list[tuple[float, JobId, AttemptId]] = []

    def reserve(self, command: Reserve):
        """Reserve capacity for an attempt; a repeated command has no effect."""
        self.expire_and_finish()
        self._require_epoch(command.epoch)
        self._require_in_time(command.start_by)
        if command.attempt in self.ended:
            raise WorkerError(
                "The attempt has already ended at this worker.", ResultCode.JOB_ENDED
            )
        if command.attempt in self.held_attempts:
            return
        wanted = set(command.accelerators)
        if not wanted <= set(range(self.listed.accelerators)):
            raise WorkerError(
                "The worker lacks some of the accelerators asked for.",
                ResultCode.BAD_INPUT,
            )
        for held in self.held_attempts.values():
            if wanted & set(held.command.accelerators):
                raise WorkerError(
                    "Another attempt holds some of the accelerators asked for.",
                    ResultCode.WORKER_BUSY,
                )
        self._require_capacity(command)
        self.held_attempts[command.attempt] = HeldAttempt(command)

    def start(self, command: Start):
        """Start the tasks of a reserved attempt; a repeated command has no effect."""
        self.expire_and_finish()
        self._require_epoch(command.epoch)
        self._require_in_time(command.start_by)
        held = self.held_attempts.get(command.attempt)
        if held is None:
            raise WorkerError(
                "The attempt has no reservation at this worker.", ResultCode.JOB_ENDED
            )
        if held.state is not LeaseState.RESERVED:
            return
        now = self.clock.wall()
        held.state = LeaseState.RUNNING
        held.expires = command.expires
        held.work_seconds = command_seconds(command.command)
        held.progress = command.progress
        held.checkpointed = command.progress
        held.started = now
        self.starts.append((now, command.job, command.attempt))
        if self.fails_everything or command.command == [FAIL_PROGRAM]:
            held.state = LeaseState.FAILED

    def renew(self, command: Renew) -> WorkerReport:
        """Extend the leases of attempts and return a report."""
        self.expire_and_finish()
        self._require_epoch(command.epoch)
        for renewal in command.renewals:
            held = self.held_attempts.get(renewal.attempt)
            if held is None:
                continue
            held.expires = max(held.expires, renewal.expires)
            if renewal.checkpoint:
                held.checkpointed = self._progress(held)
        return self.report()

    def stop(self, command: Stop) -> float:
        """Stop an attempt and return its checkpointed progress in seconds."""
        self.expire_and_finish()
        self._require_epoch(command.epoch)
        self.ended.add(command.attempt)
        held = self.held_attempts.pop(command.attempt, None)
        if held is None or not command.checkpoint:
            return 0.0
        return self._progress(held)

    def report(self) -> WorkerReport:
        """Return the attempts that the worker holds now."""
        self.expire_and_finish()
        leases = []
        for attempt, held in self.held_attempts.items():
            command = held.command
            lease = TaskLease(
                job=command.job,
                attempt=attempt,
                account=command.account,
                incarnation=command.incarnation,
                accelerators=command.accelerators,
                state=held.state,
                expires=held.expires,
                progress=self._progress(held),
                checkpointed=held.checkpointed,
            )
            leases.append(lease)
        return WorkerReport(self.worker, leases, self.epoch, self.clock.wall())

    def expire_and_finish(self):
        """End attempts whose lease expired and finish those whose work is complete."""
        now = self.clock.wall()
        for attempt, held in list(self.held_attempts.items()):
            finished = held.state is LeaseState.RUNNING and (
                self._progress(held) >= held.work_seconds
            )
            if finished:
                held.state = LeaseState.FINISHED
                continue
            if held.state is LeaseState.FINISHED or held.expires > now:
                continue
            del self.held_attempts[attempt]
            self.ended.add(attempt)

    def _require_epoch(self, epoch: Epoch):
        if epoch < self.epoch:
            raise WorkerError(
                "The worker has accepted a newer epoch.", ResultCode.STALE_EPOCH
            )
        self.epoch = epoch

    def _require_in_time(self, start_by: float):
        if start_by < self.clock.wall():
            raise WorkerError(
                "The start permit has expired.", ResultCode.START_TOO_LATE
            )

    def _require_capacity(self, command: Reserve):
        cores = command.cores
        memory_gb = command.memory_gb
        for held in self.held_attempts.values():
            cores += held.command.cores
            memory_gb += held.command.memory_gb
        if cores > self.listed.cores or memory_gb > self.listed.memory_gb:
            raise WorkerError(
                "The worker has too few free cores or too little free memory.",
                ResultCode.WORKER_BUSY,
            )

    def _progress(self, held: HeldAttempt) -> float:
        if held.state is LeaseState.RESERVED:
            return 0.0
        if held.state is LeaseState.FINISHED:
            return held.work_seconds
        run_seconds = min(self.clock.wall(), held.expires) - held.started
        return min(held.work_seconds, held.progress + run_seconds)
