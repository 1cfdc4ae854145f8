"""Estimate how likely a run on a worker does not end well, by its recent history.

Nothing here reads a clock or the network: callers pass the time in boot seconds.
"""

import math
from collections.abc import Iterable
from enum import Enum

from zinniatrestle.ids import BootSeconds, JobId, WorkerId
from zinniatrestle.scheduling.messages import ReliabilityRecord

# Evidence loses half of its weight in this time: faults of workers last for seconds to
# a minute, and the longest quarantine takes 60 s.
HALF_LIFE_SECONDS = 30.0
DECAY_RATE = math.log(2) / HALF_LIFE_SECONDS
# Weights are brought up to date no more often than this, in which they lose 0.6%: a
# placement looks at all workers, and a round may place many steps.
DECAY_STEP_SECONDS = 0.25
# Records are made no more often than this, as the lease's row is written less often.
EXPORT_SECONDS = 0.5
# Runs that are assumed to have ended well on each worker. A worker on which the only
# run failed has a risk of a half.
ASSUMED_SUCCESSES = 1.0
# Share of the evidence against a worker's runs that is left after a success.
LEFT_AFTER_SUCCESS = 0.5
# Evidence of less weight is dropped.
MIN_WEIGHT = 0.02
# Workers are ranked by their risk in multiples of this, so that one that flapped within
# half a minute ranks last even for runs of 2 s, and smaller differences do not count.
RISK_CLASS_WIDTH = 0.05
# Least weight of the evidence against a worker's runs for a run that probes it.
MIN_PROBED_WEIGHT = 0.1
# The worst workers are handed over in the lease's row, which is written several times a
# second; 32 records take about 1.5 KB.
MAX_HANDED_OVER = 32
# Bounds of the state.
MAX_WORKERS = 1024
MAX_JOBS = 256
MAX_JOBS_PER_WORKER = 8
MAX_RESTORED_WEIGHT = 100.0


class Evidence(Enum):
    """What speaks against a worker."""

    # A run failed there.
    FAILURE = "failures"
    # A run made no progress.
    STALL = "stalls"
    # It left a start without an answer although it answers holds.
    UNANSWERED = "unanswered"
    # It refused a start as unhealthy.
    REFUSAL = "refusals"
    # It joined, and no run has ended well there yet.
    JOIN = "joins"
    # It stopped answering.
    SILENCE = "silences"
    # It answers again, or another instance of it does.
    RETURN = "returns"


# Evidence that a share of the worker's runs ends badly, which successes refute.
RUN_EVIDENCE = (
    Evidence.FAILURE,
    Evidence.STALL,
    Evidence.UNANSWERED,
    Evidence.REFUSAL,
    Evidence.JOIN,
)
# Evidence that the worker interrupts its runs, the likelier the longer they take.
INTERRUPTIONS = (Evidence.SILENCE, Evidence.RETURN)
# Weights, where 1 is a bad run or an interruption. A silence and the return from it
# are one interruption.
WEIGHTS = {
    Evidence.FAILURE: 1.0,
    Evidence.STALL: 1.0,
    Evidence.UNANSWERED: 1.0,
    Evidence.REFUSAL: 1.0,
    Evidence.JOIN: 0.25,
    Evidence.SILENCE: 0.5,
    Evidence.RETURN: 0.5,
}


class WorkerHistory:
    """Decayed evidence for and against one worker, over all of its instances."""

    def __init__(self, now: BootSeconds):
        self.weights = dict.fromkeys(Evidence, 0.0)
        self.successes = 0.0
        self.decayed_at = now
        # Jobs of which runs failed here since the last success, the oldest first.
        self.failed_jobs: dict[JobId, None] = {}
        # Share of its runs that ends badly, and its interruptions per second.
        self.bad_share = 0.0
        self.interruption_rate = 0.0

    def decay(self, now: BootSeconds):
        """Let the evidence decay up to a time."""
        seconds = now - self.decayed_at
        if seconds < DECAY_STEP_SECONDS:
            return
        factor = math.exp(-DECAY_RATE * seconds)
        self.decayed_at = now
        self.successes *= factor
        for kind, weight in self.weights.items():
            if weight:
                weight *= factor
                self.weights[kind] = weight if weight >= MIN_WEIGHT else 0.0
        self.update_rates()

    def update_rates(self):
        """Compute the rates anew, after a change of the weights."""
        bad = self.run_weight()
        self.bad_share = bad / (bad + self.successes + ASSUMED_SUCCESSES)
        interruptions = sum(self.weights[kind] for kind in INTERRUPTIONS)
        # Events at a steady rate r add up to r / DECAY_RATE under the decay.
        self.interruption_rate = interruptions * DECAY_RATE

    def run_weight(self) -> float:
        """Return the weight of the evidence against the worker's runs."""
        return sum(self.weights[kind] for kind in RUN_EVIDENCE)

    def total_weight(self) -> float:
        """Return the weight of all evidence against the worker."""
        return sum(self.weights.values())

    def risk(self, seconds: float) -> float:
        """Return the probability that a run of some seconds does not end well."""
        uninterrupted = math.exp(-self.interruption_rate * seconds)
        return 1.0 - (1.0 - self.bad_share) * uninterrupted


class Reliability:
    """Collect the evidence about workers, and estimate the risk of runs there.

    A worker without evidence against it has no risk. The blame for the failures of one
    job shrinks for each worker as more workers fail it that fail no other job.
    """

    def __init__(self):
        self.histories: dict[WorkerId, WorkerHistory] = {}
        # Those with evidence against them, so that the others cost nothing.
        self.suspects: dict[WorkerId, WorkerHistory] = {}
        # The workers on which runs of a job failed, with the weight counted for each
        # and since when; None once a later success there has been counted.
        self.failed_on: dict[
            JobId, dict[WorkerId, tuple[float, BootSeconds] | None]
        ] = {}

        # The latest records for a successor, and when they were made.
        self.exported: dict[WorkerId, ReliabilityRecord] = {}
        self.exported_at = BootSeconds(float("-inf"))

    # Evidence

    def record(
        self, worker: WorkerId, kind: Evidence, now: BootSeconds, share: float = 1.0
    ):
        """Record evidence against a worker, or its `share` if others may be at fault.

        Failures of runs are recorded by `record_failure`.
        """
        self._add(worker, kind, WEIGHTS[kind] * share, now)

    def record_failure(self, worker: WorkerId, job: JobId, now: BootSeconds):
        """Record that a run of a job failed; a job counts once for each worker."""
        history = self._history(worker, now)
        history.failed_jobs.pop(job, None)
        history.failed_jobs[job] = None
        if len(history.failed_jobs) > MAX_JOBS_PER_WORKER:
            del history.failed_jobs[next(iter(history.failed_jobs))]
        if job not in self.failed_on and len(self.failed_on) >= MAX_JOBS:
            del self.failed_on[next(iter(self.failed_on))]
        blamed = self.failed_on.setdefault(job, {})
        if worker in blamed:
            return
        blamed[worker] = (0.0, now)
        # That other jobs fail here too excuses those that failed here before.
        for failed_job in history.failed_jobs:
            self._divide_blame(failed_job, now)

    def record_success(self, worker: WorkerId, now: BootSeconds):
        """Record that a run ended well."""
        history = self._history(worker, now)
        history.successes += 1.0
        for job in history.failed_jobs:
            if worker in self.failed_on.get(job, ()):
                self.failed_on[job][worker] = None
        history.failed_jobs.clear()
        for kind in RUN_EVIDENCE:
            history.weights[kind] *= LEFT_AFTER_SUCCESS
        history.weights[Evidence.JOIN] = 0.0
        history.update_rates()
        if history.total_weight() < MIN_WEIGHT:
            self.suspects.pop(worker, None)

    def _divide_blame(self, job: JobId, now: BootSeconds):
        """Weight the failures of a job anew on all workers where it failed.

        The weight is 1 / n^2 with n - 1 other workers on which only this job failed:
        each of them makes it likelier that the job is at fault.
        """
        blamed = self.failed_on.get(job, {})
        unsuspected = set()
        for worker in blamed:
            history = self.histories.get(worker)
            if history is None or len(history.failed_jobs) < 2:
                unsuspected.add(worker)
        for worker, counted in blamed.items():
            if counted is None:
                continue
            counted_weight, counted_at = counted
            others = len(unsuspected - {worker})
            weight = WEIGHTS[Evidence.FAILURE] / (1 + others) ** 2
            left = math.exp(-DECAY_RATE * (now - counted_at))
            self._add(worker, Evidence.FAILURE, (weight - counted_weight) * left, now)
            blamed[worker] = (weight, counted_at)

    def _add(self, worker: WorkerId, kind: Evidence, weight: float, now: BootSeconds):
        history = self._history(worker, now)
        history.weights[kind] = max(0.0, history.weights[kind] + weight)
        history.update_rates()
        if history.total_weight() >= MIN_WEIGHT:
            self.suspects[worker] = history
        else:
            self.suspects.pop(worker, None)

    def _history(self, worker: WorkerId, now: BootSeconds) -> WorkerHistory:
        """Return a worker's history, decayed up to `now`; the least useful is dropped.

        Those without evidence against them go first.
        """
        history = self.histories.get(worker)
        if history is None:
            if len(self.histories) >= MAX_WORKERS:
                least = min(
                    self.histories,
                    key=lambda known: (
                        known in self.suspects,
                        self.histories[known].decayed_at,
                    ),
                )
                del self.histories[least]
                self.suspects.pop(least, None)
            history = self.histories[worker] = WorkerHistory(now)
        history.decay(now)
        return history

    # Estimates

    def risk(
        self,
        worker: WorkerId,
        seconds: float,
        now: BootSeconds,
        leaves_at: BootSeconds | None = None,
    ) -> float:
        """Return the probability that a run of some seconds does not end well there.

        `leaves_at` is when a worker may leave that has given notice of it.
        """
        if leaves_at is not None and now + seconds > leaves_at:
            return 1.0
        history = self.suspects.get(worker)
        if history is None:
            return 0.0
        history.decay(now)
        return history.risk(seconds)

    def risk_class(
        self,
        worker: WorkerId,
        seconds: float,
        now: BootSeconds,
        leaves_at: BootSeconds | None = None,
    ) -> int:
        """Return the risk in multiples of `RISK_CLASS_WIDTH`; 0 without evidence."""
        return round(self.risk(worker, seconds, now, leaves_at) / RISK_CLASS_WIDTH)

    def needs_probe(self, worker: WorkerId, now: BootSeconds) -> bool:
        """Return whether a run may show that the runs of a worker end well again.

        One that has only joined is left to ordinary placement, so that it stays whole
        for gangs that need whole workers.
        """
        history = self.suspects.get(worker)
        if history is None:
            return False
        history.decay(now)
        weight = history.run_weight() - history.weights[Evidence.JOIN]
        return weight >= MIN_PROBED_WEIGHT

    def evidence(self, worker: WorkerId, now: BootSeconds) -> dict[str, float]:
        """Return the weights of the evidence against a worker, by its names."""
        history = self.suspects.get(worker)
        if history is None:
            return {}
        history.decay(now)
        return {
            kind.value: round(weight, 2)
            for kind, weight in history.weights.items()
            if weight
        }

    # Handover

    def export(self, now: BootSeconds) -> dict[WorkerId, ReliabilityRecord]:
        """Return recent records of the worst workers, and drop what has decayed."""
        if now - self.exported_at < EXPORT_SECONDS:
            return self.exported
        self.exported_at = now
        for worker, history in list(self.suspects.items()):
            history.decay(now)
            if history.total_weight() < MIN_WEIGHT:
                del self.suspects[worker]
        worst: Iterable[WorkerId] = self.suspects
        if len(self.suspects) > MAX_HANDED_OVER:
            worst = sorted(
                self.suspects,
                key=lambda worker: (-self.suspects[worker].total_weight(), worker),
            )[:MAX_HANDED_OVER]
        self.exported = {worker: _to_record(self.suspects[worker]) for worker in worst}
        return self.exported

    def restore(self, records: dict[WorkerId, ReliabilityRecord], now: BootSeconds):
        """Restore what a predecessor handed over."""
        for worker, record in records.items():
            history = self._history(worker, now)
            history.successes = _restored_weight(record.successes)
            for kind in Evidence:
                weight = _restored_weight(getattr(record, kind.value))
                self._add(worker, kind, weight, now)


def _to_record(history: WorkerHistory) -> ReliabilityRecord:
    weights = {kind.value: round(history.weights[kind], 2) for kind in Evidence}
    return ReliabilityRecord(successes=round(history.successes, 2), **weights)


def _restored_weight(weight: float) -> float:
    return min(max(0.0, weight), MAX_RESTORED_WEIGHT)
