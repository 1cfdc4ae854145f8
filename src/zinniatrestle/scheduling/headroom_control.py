"""Apply headroom in scheduling rounds: evidence, demand, metrics and log lines."""

from collections import defaultdict
from typing import Any

from zinniatrestle.clock import boot_time
from zinniatrestle.events import Event
from zinniatrestle.ids import BootSeconds, RegionId, ServiceName
from zinniatrestle.queues import permitted_regions
from zinniatrestle.scheduling.arrivals import ArrivalForecast, ArrivalPair
from zinniatrestle.scheduling.context import SchedulerContext
from zinniatrestle.scheduling.forecast import Forecast
from zinniatrestle.scheduling.headroom import (
    Headroom,
    HeadroomPhase,
    HeadroomPlan,
    UrgentDemand,
)
from zinniatrestle.scheduling.preemption import HIGHEST_PRIORITY
from zinniatrestle.scheduling.state import Job, StepRun, Worker
from zinniatrestle.scheduling.wait_limits import WaitLimits

# Minimum time between two plans, since rounds may follow each other faster.
PLAN_SECONDS = 0.05
# Interval at which the state is reviewed if no step asks for it.
REVIEW_SECONDS = 0.2
# Interval at which the handover to a successor is computed anew.
EXPORT_SECONDS = 1.0
# A change of headroom is logged if it exceeds this share of the last logged value and
# this many accelerators, at most once in so many seconds.
LOGGED_CHANGE_SHARE = 0.5
LOGGED_CHANGE_GPUS = 16
LOG_SECONDS = 5.0


class HeadroomControl:
    """Hold workers back from less urgent steps while a measured state calls for it."""

    def __init__(self, context: SchedulerContext):
        self.context = context
        # Headroom bridges the time in which preemption makes room, so that a policy
        # without preemption gets none.
        self.is_enabled = context.policy is None or context.policy.preempts
        self.arrivals = ArrivalForecast()
        self.headroom = Headroom(context.deployment.bounds)
        handover = context.leadership.handover
        now = boot_time()
        self.arrivals.restore(handover.arrivals, now)
        if self.is_enabled:
            self.headroom.restore(
                handover.headroom_pressure, handover.headroom_active, now
            )
        self.forecast: Forecast | None = None
        self.workers: list[Worker] = []
        # The workers that less urgent steps see in this round; None: not planned yet.
        self.visible: list[Worker] | None = None
        self.planned_at = float("-inf")
        # The fields of the handover, which is published with every round.
        self.exported: dict[str, Any] = {}
        self.exported_at = float("-inf")
        self.logged_at = float("-inf")
        self.logged_gpus = 0
        self.logged_phase = HeadroomPhase.INACTIVE

    def learn_arrival(self, job: Job):
        """Learn from the arrival of a job, if it is urgent."""
        if not _is_urgent(job):
            return
        submission = job.submission
        shapes = []
        for shape in submission.steps:
            if not shape.after and not shape.long_running:
                shapes.append(shape)
        pair = ArrivalPair(submission.account, submission.queue)
        self.arrivals.learn(pair, job.accepted_at, shapes)

    def begin_round(self, workers: list[Worker], forecast: Forecast):
        """Start a round; headroom is planned once a less urgent step asks for it."""
        self.workers = workers
        self.forecast = forecast
        self.visible = None

    def workers_for(
        self, step: StepRun, limits: WaitLimits, service: ServiceName
    ) -> list[Worker]:
        """Return the workers that a step sees in this round.

        Urgent steps see all, and so do those that must not wait any longer.
        """
        if step.job.submission.priority == HIGHEST_PRIORITY:
            return self.workers
        if self.visible is None:
            self._update_visible()
        if len(self.visible) == len(self.workers):
            return self.workers
        if limits.may_use_headroom(step, service):
            return self.workers
        return self.visible

    def may_record_wait(self, step: StepRun) -> bool:
        """Return whether a step is urgent and no wait of it has been recorded."""
        if not self.is_enabled:
            return False
        return _is_urgent(step.job) and not step.lacked_capacity

    def record_wait(self, step: StepRun):
        """Record once that an urgent step waits for capacity or has preempted."""
        if self.may_record_wait(step):
            step.lacked_capacity = True
            self.headroom.record_wait(self.forecast.now)

    def record_placed(self, step: StepRun, now: BootSeconds):
        """Record how long an urgent step has waited until it was placed at first."""
        if not _is_urgent(step.job) or step.ready_at is None:
            return
        if not any(task.run for task in step.tasks):
            self.context.metrics.urgent_wait.record(max(0.0, now - step.ready_at))

    def end_round(self):
        """Review the state if no less urgent step has asked for it."""
        if (
            self.visible is None
            and self.forecast.now - self.planned_at > REVIEW_SECONDS
        ):
            self._plan()

    def export(self) -> dict[str, Any]:
        """Return the fields of the handover to a successor."""
        now = boot_time()
        if now - self.exported_at >= EXPORT_SECONDS:
            self.exported_at = now
            self.exported = {
                "arrivals": self.arrivals.export(now),
                "headroom_pressure": round(self.headroom.pressure_now(now), 2),
                "headroom_active": self.headroom.phase is HeadroomPhase.ACTIVE,
            }
        return self.exported

    def close(self):
        """Clear the metrics, since this host no longer schedules."""
        self.context.metrics.headroom_workers = 0
        self.context.metrics.headroom_accelerators = 0

    def _update_visible(self):
        if self.forecast.now - self.planned_at >= PLAN_SECONDS:
            self._plan()
        held = self.headroom.held
        self.visible = self.workers
        if held:
            self.visible = [worker for worker in self.workers if worker not in held]

    def _plan(self):
        now = self.forecast.now
        self.planned_at = now
        plan = self.headroom.plan(
            now,
            self._demands(now),
            self.workers,
            self.context.operator.evacuated,
            self.forecast,
        )
        self.context.metrics.headroom_workers = len(plan.workers)
        self.context.metrics.headroom_accelerators = plan.gpus
        self._log(now, plan)

    def _demands(self, now: float) -> list[UrgentDemand]:
        """Return the expected demand by service, permitted regions and accelerators."""
        totals: dict[tuple, list[float]] = defaultdict(lambda: [0.0, 0.0, 0.0])
        for expected in self.arrivals.expected(now, self.headroom.horizon):
            target = self._target_of(expected.pair)
            if target is None:
                continue
            total = totals[*target, expected.gpus]
            total[0] += expected.tasks
            total[1] += expected.tasks * expected.cpu
            total[2] += expected.tasks * expected.memory_mb
        demands = []
        for (service, regions, gpus), (tasks, cpu, memory_mb) in totals.items():
            rounded = round(tasks)
            if rounded:
                demands.append(
                    UrgentDemand(
                        service,
                        regions,
                        gpus,
                        round(cpu / tasks),
                        round(memory_mb / tasks),
                        rounded,
                    )
                )
        return demands

    def _target_of(
        self, pair: ArrivalPair
    ) -> tuple[ServiceName, frozenset[RegionId] | None] | None:
        """Return the service and the permitted regions of an account's jobs."""
        operator = self.context.operator
        queue = operator.queues.get(pair.queue)
        if queue is None:
            return None
        account = operator.accounts.get(pair.account)
        return queue.service, permitted_regions(queue, account)

    def _log(self, now: float, plan: HeadroomPlan):
        phase = self.headroom.phase
        change = abs(plan.gpus - self.logged_gpus)
        if phase is self.logged_phase:
            if phase is HeadroomPhase.INACTIVE or now - self.logged_at < LOG_SECONDS:
                return
            if change < LOGGED_CHANGE_GPUS:
                return
            if change < LOGGED_CHANGE_SHARE * self.logged_gpus:
                return
        self.logged_at = now
        self.logged_gpus = plan.gpus
        self.logged_phase = phase
        self.context.events.write(
            Event.HEADROOM,
            phase=phase.value,
            workers=len(plan.workers),
            gpus=plan.gpus,
            needed=plan.needed,
            missing_tasks=plan.missing_tasks,
            waits=round(self.headroom.pressure_now(now), 1),
        )


def _is_urgent(job: Job) -> bool:
    submission = job.submission
    return submission.priority == HIGHEST_PRIORITY and not submission.timed
