"""Start order of waiting gangs, and which running gangs they may preempt."""

from abc import ABC, abstractmethod

from zinniatrestle.gangs.state import Gang

# Accelerator-seconds of attained service at which a gang drops to the next level.
LEVEL_0_MAX_SERVICE = 4 * 3600.0
LEVEL_1_MAX_SERVICE = 32 * 3600.0
# A gang moves to AGED_LEVEL, ahead of all other levels, once it has waited this many
# times as long as it ran, and for at least MIN_AGEING_SECONDS.
AGEING_FACTOR = 2.0
MIN_AGEING_SECONDS = 1800.0
# A gang is not preempted for this long after its start, except by urgent work.
QUANTUM_SECONDS = 300.0
AGED_LEVEL = -1


class OrderPolicy(ABC):
    """Order waiting gangs and decide which running gangs are preempted."""

    @abstractmethod
    def key(self, gang: Gang, now: float) -> tuple:
        """Return the sort key of a waiting gang; the lowest starts first."""

    @abstractmethod
    def is_preemptible(self, running: Gang, waiting: Gang, now: float) -> bool:
        """Return whether a waiting gang may preempt a running borrower."""


class AttainedServiceOrder(OrderPolicy):
    """Start the gangs with the least attained service first, as in Tiresias.

    Declared run times are not used, because they are inaccurate. Service is split into
    levels, as in a multi-level feedback queue; ageing keeps large gangs from starving.
    """

    def key(self, gang: Gang, now: float) -> tuple:
        """Return the sort key of a waiting gang."""
        return (
            not gang.row.spec.urgent,
            self.level(gang, now),
            gang.row.submitted,
            gang.row.job,
        )

    def is_preemptible(self, running: Gang, waiting: Gang, now: float) -> bool:
        """Return whether a waiting gang may preempt a running borrower."""
        # Urgent gangs must start within a fixed time, so the quantum does not apply.
        if waiting.row.spec.urgent and not running.row.spec.urgent:
            return True
        if now - running.row.started < QUANTUM_SECONDS:
            return False
        return self.level(waiting, now) < service_level(running.attained_service(now))

    def level(self, gang: Gang, now: float) -> int:
        """Return a waiting gang's priority level; the lowest starts first."""
        waited = now - gang.row.queued
        size = max(1.0, gang.accelerator_equivalent)
        ageing_seconds = AGEING_FACTOR * gang.row.service / size
        if waited > max(MIN_AGEING_SECONDS, ageing_seconds):
            return AGED_LEVEL
        return service_level(gang.row.service)


def service_level(service: float) -> int:
    """Return the level for a number of attained accelerator-seconds."""
    if service < LEVEL_0_MAX_SERVICE:
        return 0
    if service < LEVEL_1_MAX_SERVICE:
        return 1
    return 2
