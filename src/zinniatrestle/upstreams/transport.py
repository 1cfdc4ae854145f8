"""How requests reach minions."""

from abc import ABC, abstractmethod

from zinniatrestle.ids import ClientAccountId
from zinniatrestle.upstreams.messages import (
    MinionAddress,
    UpstreamAnswer,
    UpstreamRequest,
)


class UpstreamTransport(ABC):
    """Carry single attempts to minions and never repeat them."""

    @abstractmethod
    async def send(
        self, minion: MinionAddress, request: UpstreamRequest
    ) -> UpstreamAnswer:
        """Return the whole answer.

        Raises DeclinedError when nothing ran and AnswerLostError when that can't
        be told.
        """

    @abstractmethod
    async def running(self, minion: MinionAddress, account: ClientAccountId) -> int:
        """Return how many attempts of an account the minion runs at this instant.

        Raises AnswerLostError when the minion can't be asked.
        """

    @abstractmethod
    async def close(self):
        """Give back connections."""
