"""Abstract base class of the advice service's client."""

from abc import ABC, abstractmethod

from zinniatrestle.errors import PlatformError
from zinniatrestle.ids import WorkerId


class AdviserError(PlatformError):
    """Raised when a request for advice failed."""


class Adviser(ABC):
    """Client of a service that decides which workers may run a step."""

    @abstractmethod
    async def advise(
        self, step: str, workers: list[WorkerId], timeout: float
    ) -> dict[WorkerId, str]:
        """Return a ticket for each of `workers` that may run the step.

        Workers without a ticket are denied. The call takes at most `timeout` seconds;
        raises AdviserError if it fails.
        """
