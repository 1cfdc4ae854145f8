"""Abstract transport of requests to minions."""

from abc import ABC, abstractmethod

from zinniatrestle.ids import ClientAccountId
from zinniatrestle.upstreams.messages import (
    MinionAddress,
    UpstreamAnswer,
    UpstreamRequest,
)


class UpstreamTransport(ABC):
    """Send single attempts to minions, without retries of its own."""

    @abstractmethod
    async def send(
        self, minion: MinionAddress, request: UpstreamRequest
    ) -> UpstreamAnswer:
        """Return the complete answer.

        Raises DeclinedError if nothing ran and AnswerLostError if the request may
        have run.
        """

    @abstractmethod
    async def running(self, minion: MinionAddress, account: ClientAccountId) -> int:
        """Return the number of attempts of an account that the minion runs now.

        Raises AnswerLostError if the minion does not answer.
        """

    @abstractmethod
    async def close(self):
        """Release the connections."""
