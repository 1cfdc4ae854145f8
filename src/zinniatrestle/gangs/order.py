"""In which order gangs start, and which may make room for which."""

from abc import ABC, abstractmethod

from zinniatrestle.gangs.state import Gang

# Accelerator-seconds that a gang may attain before it yields to younger ones.
YOUNG_SERVICE = 4 * 3600.0
GROWN_SERVICE = 32 * 3600.0
# A waiting gang is served next once it has waited this many times its service.
AGEING_FACTOR = 2.0
SHORTEST_AGEING_SECONDS = 1800.0
# A gang that has just started is left alone for this long.
QUANTUM_SECONDS = 300.0
AGED_LEVEL = -1


class OrderPolicy(ABC):
    """Order waiting gangs and decide on preemption."""

    @abstractmethod
    def key(self, gang: Gang, now: float) -> tuple:
        """Return the sort key of a waiting gang; the lowest starts first."""

    @abstractmethod
    def is_preemptible(self, running: Gang, waiting: Gang, now: float) -> bool:
        """Tell whether a running borrower makes room for a waiting gang."""


class AttainedServiceOrder(OrderPolicy):
    """Serve the gangs that had least service so far, as Tiresias does.

    Declared run times are far off, so they are not used. Ageing keeps large gangs
    from starving.
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
        """Tell whether a running borrower makes room for a waiting gang."""
        # Urgent work has a bound on its start, so no quantum holds it up.
        if waiting.row.spec.urgent and not running.row.spec.urgent:
            return True
        if now - running.row.started < QUANTUM_SECONDS:
            return False
        return self.level(waiting, now) < service_level(running.attained_service(now))

    def level(self, gang: Gang, now: float) -> int:
        """Return a waiting gang's level; the lowest is served first."""
        waited = now - gang.row.queued
        width = max(1.0, gang.accelerator_equivalent)
        patience = AGEING_FACTOR * gang.row.service / width
        if waited > max(SHORTEST_AGEING_SECONDS, patience):
            return AGED_LEVEL
        return service_level(gang.row.service)


def service_level(service: float) -> int:
    """Return the level of a gang by its attained accelerator-seconds."""
    if service < YOUNG_SERVICE:
        return 0
    if service < GROWN_SERVICE:
        return 1
    return 2
