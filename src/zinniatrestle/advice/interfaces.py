"""Abstract base of the service that advises."""

from abc import ABC, abstractmethod

from zinniatrestle.errors import PlatformError
from zinniatrestle.ids import WorkerId


class AdviserError(PlatformError):
    """Signal that no advice was given."""


class Adviser(ABC):
    """Tell which workers may run a step."""

    @abstractmethod
    async def advise(
        self, step: str, workers: list[WorkerId], timeout: float
    ) -> dict[WorkerId, str]:
        """Return the tickets of the workers that may; raises AdviserError."""
